package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/plantainseam/plantainseam/internal/result"
)

// file is the YAML structure of a settings file. checker.check converts it to Settings.
type file struct {
	Host          string       `yaml:"host"`
	FailureDomain string       `yaml:"failure_domain"`
	Roles         []string     `yaml:"roles"`
	DataDir       string       `yaml:"data_dir"`
	LogLevel      string       `yaml:"log_level"`
	RPC           string       `yaml:"rpc"`
	Metrics       string       `yaml:"metrics"`
	Pprof         bool         `yaml:"pprof"`
	TLS           fileTLS      `yaml:"tls"`
	Control       fileControl  `yaml:"control"`
	Tunnel        fileTunnel   `yaml:"tunnel"`
	Upstream      fileUpstream `yaml:"upstream"`
}

type fileTLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
	Insecure    bool   `yaml:"insecure"`
}

type fileControl struct {
	Servers    []fileServer `yaml:"servers"`
	Bootstrap  bool         `yaml:"bootstrap"`
	SigningKey string       `yaml:"signing_key"`
}

type fileServer struct {
	Name     string `yaml:"name"`
	RPC      string `yaml:"rpc"`
	Identity string `yaml:"identity"`
}

type fileTunnel struct {
	Listen string    `yaml:"listen"`
	Fabric string    `yaml:"fabric"`
	Keys   []fileKey `yaml:"keys"`
}

type fileKey struct {
	ID     int    `yaml:"id"`
	Secret string `yaml:"secret"`
}

type fileUpstream struct {
	Carries        []string       `yaml:"carries"`
	Backend        string         `yaml:"backend"`
	Slots          *int           `yaml:"slots"`
	MaxConnections *int           `yaml:"max_connections"`
	ProbeInterval  *time.Duration `yaml:"probe_interval"`
	ProbeCount     *int           `yaml:"probe_count"`
}

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Errorf(result.SettingsUnreadable, "%s: %w", path, err)
	}
	return Parse(path, text)
}

// Parse parses and validates the text of a settings file. The path appears only in errors.
func Parse(path string, text []byte) (*Settings, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return nil, result.Errorf(result.SettingsUnreadable, "%s: %w", path, err)
	}
	var raw file
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&raw); err != nil && !errors.Is(err, io.EOF) {
		return nil, decodeError(path, text, err)
	}
	lines := map[string]int{}
	collectLines(&root, "", lines)
	c := &checker{path: path, lines: lines}
	s := c.check(&raw)
	if c.err != nil {
		return nil, c.err
	}
	return s, nil
}

var (
	unknownField = regexp.MustCompile(`line (\d+): field (\S+) not found`)
	errorOnLine  = regexp.MustCompile(`line (\d+): (.*)`)
)

// decodeError converts an error of the YAML decoder to one with a result code, line and key.
func decodeError(path string, text []byte, err error) error {
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		return result.Errorf(result.SettingsUnknownKey, "%s:%s: key %q does not exist", path, m[1], m[2])
	}
	if m := errorOnLine.FindStringSubmatch(err.Error()); m != nil {
		return result.Errorf(result.SettingsBadValue, "%s:%s: key %q: %s", path, m[1], keyOnLine(text, m[1]), m[2])
	}
	return result.Errorf(result.SettingsUnreadable, "%s: %w", path, err)
}

// keyOnLine returns the key on the line with the given decimal number, counted from 1.
func keyOnLine(text []byte, number string) string {
	n, _ := strconv.Atoi(number)
	lines := strings.Split(string(text), "\n")
	if n < 1 || n > len(lines) {
		return ""
	}
	key, _, _ := strings.Cut(strings.TrimLeft(lines[n-1], " -"), ":")
	return key
}

// collectLines records the line number of each key under its dotted path. List indexes start at 0.
func collectLines(n *yaml.Node, path string, lines map[string]int) {
	switch n.Kind {
	case yaml.DocumentNode:
		for _, child := range n.Content {
			collectLines(child, path, lines)
		}
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			key := joinPath(path, n.Content[i].Value)
			lines[key] = n.Content[i].Line
			collectLines(n.Content[i+1], key, lines)
		}
	case yaml.SequenceNode:
		for i, child := range n.Content {
			key := fmt.Sprintf("%s[%d]", path, i)
			lines[key] = child.Line
			collectLines(child, key, lines)
		}
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
