package settings

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/result"
)

// checker validates a settings file and keeps the first error.
type checker struct {
	path  string
	lines map[string]int
	err   error
}

// recordError records an error at a key, unless one has been recorded before.
func (c *checker) recordError(code result.Code, key, format string, args ...any) {
	if c.err != nil {
		return
	}
	c.err = result.Errorf(code, "%s:%d: key %q: %s", c.path, c.lineOf(key), key, fmt.Sprintf(format, args...))
}

// lineOf returns the line of a key or, if the key is absent, of its nearest parent in the file.
func (c *checker) lineOf(key string) int {
	for {
		if line, ok := c.lines[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 1
		}
		key = key[:cut]
	}
}

// check validates f and converts it to Settings. Errors are in c.err.
func (c *checker) check(f *file) *Settings {
	s := &Settings{DataDir: f.DataDir, Pprof: f.Pprof}
	s.Host = model.HostID(c.name("host", f.Host))
	s.FailureDomain = model.FailureDomain(c.name("failure_domain", f.FailureDomain))
	s.Roles = c.roles(f.Roles)
	s.LogLevel = c.logLevel(f.LogLevel)
	s.RPC = c.address("rpc", f.RPC)
	if f.Metrics != "" {
		s.Metrics = c.address("metrics", f.Metrics)
	}
	if f.Pprof && f.Metrics == "" {
		c.recordError(result.SettingsContradictory, "pprof", "pprof is served on the metrics port, and metrics is not set")
	}
	s.TLS = c.tls(f.TLS)
	s.Control = c.control(s, f.Control)
	s.Tunnel = c.tunnel(s, f.Tunnel)
	s.Upstream = c.upstream(s, f.Upstream)
	if s.Has(RoleControl) && f.DataDir == "" {
		c.recordError(result.SettingsMissing, "data_dir", "the control role needs a data directory")
	}
	return s
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62})$`)

func (c *checker) name(key, value string) string {
	if value == "" {
		c.recordError(result.SettingsMissing, key, "a value is required")
		return ""
	}
	if !namePattern.MatchString(value) {
		c.recordError(result.SettingsBadValue, key, "%q is not a name of lower-case letters, digits, dots and dashes", value)
	}
	return value
}

func (c *checker) roles(values []string) []Role {
	if len(values) == 0 {
		c.recordError(result.SettingsMissing, "roles", "at least one role is required")
	}
	seen := map[Role]bool{}
	var roles []Role
	for i, value := range values {
		key := fmt.Sprintf("roles[%d]", i)
		role := Role(value)
		switch role {
		case RoleEntry, RoleUpstream, RoleControl:
		default:
			c.recordError(result.SettingsBadValue, key, "%q is not entry, upstream or control", value)
		}
		if seen[role] {
			c.recordError(result.SettingsContradictory, key, "role %q is listed twice", value)
		}
		seen[role] = true
		roles = append(roles, role)
	}
	if seen[RoleEntry] && seen[RoleUpstream] {
		c.recordError(result.SettingsContradictory, "roles", "entry and upstream need a tunnel port each and exclude each other in one process")
	}
	return roles
}

func (c *checker) logLevel(value string) string {
	switch value {
	case "":
		return "info"
	case "debug", "info", "warn", "error":
		return value
	}
	c.recordError(result.SettingsBadValue, "log_level", "%q is not debug, info, warn or error", value)
	return ""
}

func (c *checker) address(key, value string) netip.AddrPort {
	if value == "" {
		c.recordError(result.SettingsMissing, key, "an address and port are required")
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.recordError(result.SettingsBadValue, key, "%q is not an IP address and port", value)
		return netip.AddrPort{}
	}
	if address.Port() == 0 {
		c.recordError(result.SettingsBadValue, key, "port 0 is not allowed")
	}
	return address
}

func (c *checker) tls(f fileTLS) TLS {
	t := TLS(f)
	files := map[string]string{"tls.certificate": f.Certificate, "tls.key": f.Key, "tls.authority": f.Authority}
	for _, key := range []string{"tls.certificate", "tls.key", "tls.authority"} {
		if f.Insecure && files[key] != "" {
			c.recordError(result.SettingsContradictory, key, "tls.insecure is set as well")
		}
		if !f.Insecure && files[key] == "" {
			c.recordError(result.SettingsMissing, key, "a file is required unless tls.insecure is set")
		}
	}
	return t
}

func (c *checker) control(s *Settings, f fileControl) Control {
	out := Control{Bootstrap: f.Bootstrap, SigningKey: f.SigningKey}
	if len(f.Servers) < minControlServers || len(f.Servers) > maxControlServers {
		c.recordError(result.SettingsBadValue, "control.servers", "%d servers; %d to %d are allowed", len(f.Servers), minControlServers, maxControlServers)
	}
	names := map[model.HostID]bool{}
	for i, server := range f.Servers {
		key := fmt.Sprintf("control.servers[%d]", i)
		name := model.HostID(c.name(key+".name", server.Name))
		if names[name] {
			c.recordError(result.SettingsContradictory, key+".name", "server %q is listed twice", name)
		}
		names[name] = true
		if f.Bootstrap && server.Identity == "" {
			c.recordError(result.SettingsMissing, key+".identity", "the initial control VMs need the identity that --init-data prints")
		}
		out.Servers = append(out.Servers, ControlServer{Name: name, RPC: c.address(key+".rpc", server.RPC), Identity: server.Identity})
	}
	c.controlRole(s, f, names)
	return out
}

// controlRole checks the keys that only control VMs may or must set. names are the names in control.servers.
func (c *checker) controlRole(s *Settings, f fileControl, names map[model.HostID]bool) {
	if !s.Has(RoleControl) {
		if f.Bootstrap {
			c.recordError(result.SettingsContradictory, "control.bootstrap", "the process has no control role")
		}
		if f.SigningKey != "" {
			c.recordError(result.SettingsContradictory, "control.signing_key", "the process has no control role")
		}
		return
	}
	if f.Bootstrap && !names[s.Host] {
		c.recordError(result.SettingsContradictory, "control.bootstrap", "host %q is not in control.servers", s.Host)
	}
	if f.SigningKey == "" {
		c.recordError(result.SettingsMissing, "control.signing_key", "the control role signs reports and needs a key file")
	}
}

func (c *checker) tunnel(s *Settings, f fileTunnel) Tunnel {
	var t Tunnel
	if !s.Has(RoleEntry) && !s.Has(RoleUpstream) {
		if f.Listen != "" {
			c.recordError(result.SettingsContradictory, "tunnel.listen", "the process has neither the entry nor the upstream role")
		}
		return t
	}
	t.Listen = c.address("tunnel.listen", f.Listen)
	if s.Has(RoleUpstream) {
		t.Fabric = c.address("tunnel.fabric", f.Fabric)
	} else if f.Fabric != "" {
		c.recordError(result.SettingsContradictory, "tunnel.fabric", "only the upstream role sends to the fabric")
	}
	t.Keys = c.keys(f.Keys)
	return t
}

func (c *checker) keys(files []fileKey) []TunnelKey {
	if len(files) < 1 || len(files) > 2 {
		c.recordError(result.SettingsBadValue, "tunnel.keys", "%d keys; one, or two during rotation, are allowed", len(files))
	}
	ids := map[int]bool{}
	var keys []TunnelKey
	for i, f := range files {
		key := fmt.Sprintf("tunnel.keys[%d]", i)
		if f.ID < 1 || f.ID > 255 {
			c.recordError(result.SettingsBadValue, key+".id", "%d is not between 1 and 255", f.ID)
		}
		if ids[f.ID] {
			c.recordError(result.SettingsContradictory, key+".id", "id %d is used twice", f.ID)
		}
		ids[f.ID] = true
		secret, err := base64.StdEncoding.DecodeString(f.Secret)
		if err != nil {
			c.recordError(result.SettingsBadValue, key+".secret", "not base64: %v", err)
		} else if len(secret) < minSecretBytes {
			c.recordError(result.SettingsBadValue, key+".secret", "%d bytes; at least %d are required", len(secret), minSecretBytes)
		}
		keys = append(keys, TunnelKey{ID: uint8(f.ID), Secret: secret})
	}
	return keys
}

func (c *checker) upstream(s *Settings, f fileUpstream) Upstream {
	var u Upstream
	if !s.Has(RoleUpstream) {
		if f.Backend != "" || len(f.Carries) > 0 {
			c.recordError(result.SettingsContradictory, "upstream", "the process has no upstream role")
		}
		return u
	}
	if len(f.Carries) == 0 {
		c.recordError(result.SettingsMissing, "upstream.carries", "at least one service is required")
	}
	for i, name := range f.Carries {
		u.Carries = append(u.Carries, c.name(fmt.Sprintf("upstream.carries[%d]", i), name))
	}
	u.Backend = c.address("upstream.backend", f.Backend)
	u.Slots = c.intInRange("upstream.slots", f.Slots, defaultSlots, maxSlots)
	u.MaxConnections = c.intInRange("upstream.max_connections", f.MaxConnections, defaultMaxConnections, maxConnectionsLimit)
	u.ProbeCount = c.intInRange("upstream.probe_count", f.ProbeCount, defaultProbeCount, 10)
	u.ProbeInterval = defaultProbeInterval
	if f.ProbeInterval != nil {
		u.ProbeInterval = *f.ProbeInterval
	}
	c.checkProbeTime(u)
	return u
}

// checkProbeTime checks that unanswered probes end a silent flow in time. One interval passes before the first probe.
func (c *checker) checkProbeTime(u Upstream) {
	if u.ProbeInterval < time.Second {
		c.recordError(result.SettingsBadValue, "upstream.probe_interval", "%s is shorter than 1 s", u.ProbeInterval)
		return
	}
	total := u.ProbeInterval * time.Duration(u.ProbeCount+1)
	if total > maxProbeTime {
		c.recordError(result.SettingsContradictory, "upstream.probe_interval", "%d probes every %s need %s; a silent flow must end within %s", u.ProbeCount, u.ProbeInterval, total, maxProbeTime)
	}
}

// intInRange returns the value, or defaultValue if it is nil. It checks that the value is between 1 and limit.
func (c *checker) intInRange(key string, value *int, defaultValue, limit int) int {
	if value == nil {
		return defaultValue
	}
	if *value < 1 || *value > limit {
		c.recordError(result.SettingsBadValue, key, "%d is not between 1 and %d", *value, limit)
	}
	return *value
}
