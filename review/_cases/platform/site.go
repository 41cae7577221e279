package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine. Machines differ by their loopback address.
const (
	portPackets   = 18172
	portOutbound  = 18173
	portReadiness = 18174
	portControl   = 18175
	portReports   = 18176
	portApp       = 18177
	portInternal  = 17720
)

// Bounds of the small deployments.
const (
	heartbeat     = 770 * time.Millisecond
	drainTime     = 3 * time.Second // drainMs
	graceTime     = 6 * time.Second // graceS
	rollbackSlack = 250 * time.Millisecond
	catchUp       = 4 * time.Second
	restartDelay  = 500 * time.Millisecond
)

// errCannotRun is returned when the machine does not allow the case to run.
var errCannotRun = errors.New("the case cannot run")

// record is the log of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as the record prints it.
func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// machine is a VM with one process of the system.
type machine struct {
	name, class, zone, service string
	ip                         netip.Addr
	folder                     string
	record                     *record

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	status  string        // how the process ended
	code    int
}

// site is a deployment.
type site struct {
	folder   string
	daemon   string
	network  byte
	reserved net.Listener // keeps other cases from the same network
	machines []*machine
	record   *record
}

// newSite returns a site without machines on a loopback network that no process uses.
func newSite(r *record) (*site, error) {
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	daemon, err := filepath.Abs("target/plantainseamd")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	if _, err := os.Stat(daemon); err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	for i := range 100 {
		network := byte(100 + (os.Getpid()+i)%100)
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", network, portControl))
		if err == nil {
			return &site{folder: folder, daemon: daemon, network: network, reserved: l, record: r}, nil
		}
	}
	return nil, fmt.Errorf("%w: no free loopback network", errCannotRun)
}

// add adds a machine. number tells the machines of a class apart.
func (s *site) add(class string, number int, zone, service string) *machine {
	third := map[string]byte{"core": 1, "edge": 2, "side": 3}[class]
	m := &machine{
		name: fmt.Sprintf("%s-%s-%d", class, zone, number), class: class, zone: zone, service: service, record: s.record,
		ip: netip.AddrFrom4([4]byte{127, s.network, third, byte(number)}), folder: filepath.Join(s.folder, fmt.Sprintf("%s-%d", class, number)),
	}
	s.machines = append(s.machines, m)
	return m
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (m *machine) addrPort(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }

// writeSettings writes the settings file of a machine. first says that the whole system starts for the first time.
func (s *site) writeSettings(m *machine, first bool) error {
	var seeds []string
	for _, c := range s.class("core") {
		if len(seeds) < 3 {
			seeds = append(seeds, c.address(portControl))
		}
	}
	serves := map[string]string{"edge": "edge", "side": "side", "core": "control"}[m.class]
	listen := map[string]string{}
	content := map[string]any{}
	switch m.class {
	case "edge":
		listen = map[string]string{"datagramAddr": m.address(portPackets), "readinessAddr": m.address(portReadiness)}
	case "side":
		listen = map[string]string{"datagramAddr": m.address(portPackets), "readinessAddr": m.address(portReadiness),
			"outbound": m.address(portOutbound), "controlPlane": m.address(portReports)}
		content["app"], content["service"] = m.address(portApp), m.service
	case "core":
		listen = map[string]string{"controlPlane": m.address(portControl)}
		content["dataDir"] = filepath.Join(m.folder, "data")
	}
	zones := map[string]string{}
	for _, o := range s.machines {
		zones[o.zone] = "r1"
	}
	for k, v := range map[string]any{
		"nodeName": m.name, "role": m.class, "machineClass": m.class, "serves": []string{serves}, "ip": m.ip.String(),
		"zone": m.zone, "region": "r1", "zones": zones, "listen": listen, "internalPorts": []int{portInternal, portInternal + 15},
		"seedNodes": seeds, "bootstrap": first, "inTolerance": m.class == "core",
		"limits":    map[string]any{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 128},
		"discovery": "local", "entry": "announce", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "flows"},
		"faultTolerance": map[string]int{"machines": (len(s.class("core")) - 1) / 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "addrReuseS": 2, "stabilityWindowMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000,
			"graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "maxSkewMs": 12000, "recoveryS": 12,
			"reorderMs": 2000, "maxFlowS": 60},
		"config_mode": "highest", "flowHash": "mod", "deploymentMode": "agent",
	} {
		content[k] = v
	}
	b, err := json.Marshal(content)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(m.folder, "settings.json"), b, 0o600)
}

func (s *site) class(class string) []*machine {
	var out []*machine
	for _, m := range s.machines {
		if m.class == class {
			out = append(out, m)
		}
	}
	return out
}

// startAll starts all processes for the first time.
func (s *site) startAll() error {
	for _, m := range s.machines {
		if err := s.writeSettings(m, true); err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	for _, m := range s.machines {
		if err := s.start(m); err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	return nil
}

// declareFirst sends the first manifest and writes the settings that later starts of the processes find.
func (s *site) declareFirst(manifest []byte) error {
	if _, err := s.put(1, manifest, 20*time.Second, s.class("core")); err != nil {
		return err
	}
	for _, m := range s.machines {
		if err := s.writeSettings(m, false); err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	return nil
}

// start starts the process of a machine with the command of the deploy file.
func (s *site) start(m *machine) error {
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(s.daemon, "--platform")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.folder, "PLANTAINSEAM_NODE_FILE=" + filepath.Join(m.folder, "settings.json")}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.command, m.ended = command, ended
	m.mu.Unlock()
	go func() {
		_ = command.Wait()
		m.mu.Lock()
		m.status, m.code = command.ProcessState.String(), command.ProcessState.ExitCode()
		m.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(sig) // it may have ended just now
	}
	m.record.note("%s gets %s", m.name, sig)
}

// wait waits until the process has ended and returns its exit status.
func (m *machine) wait(patience time.Duration) (status string, code int, ended bool) {
	m.mu.Lock()
	done := m.ended
	m.mu.Unlock()
	select {
	case <-done:
	case <-time.After(patience):
		return "", 0, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status, m.code, true
}

// log returns what the process of a machine has printed.
func (m *machine) log() string {
	b, err := os.ReadFile(filepath.Join(m.folder, "log"))
	if err != nil {
		return ""
	}
	return string(b)
}

// stop ends all processes and removes the files.
func (s *site) stop() {
	for _, m := range s.machines {
		m.mu.Lock()
		if m.command != nil {
			_ = m.command.Process.Signal(syscall.SIGCONT)
			_ = m.command.Process.Kill()
		}
		m.mu.Unlock()
	}
	for _, m := range s.machines {
		if m.command != nil {
			m.wait(5 * time.Second)
		}
	}
	_ = s.reserved.Close()
	_ = os.RemoveAll(s.folder)
}

// exchange makes one HTTP call on a connection of its own.
func exchange(within time.Duration, method, url string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// put sends a manifest to control VMs in turn until one acknowledges it. It returns when that was.
func (s *site) put(version int, manifest []byte, patience time.Duration, cores []*machine) (time.Time, error) {
	deadline := time.Now().Add(patience)
	for n := 0; time.Now().Before(deadline); n++ {
		m := cores[n%len(cores)]
		status, _, err := exchange(time.Second, http.MethodPut, fmt.Sprintf("http://%s/api/config", m.address(portControl)), manifest)
		s.record.note("operator sends version %d to %s: status %d, error %v", version, m.name, status, err)
		if err == nil && status == http.StatusOK {
			return time.Now(), nil
		}
		if err == nil && status >= 400 && status < 500 {
			return time.Time{}, fmt.Errorf("%w: version %d refused with %d", errCannotRun, version, status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("%w: version %d was not acknowledged within %s", errCannotRun, version, patience)
}

// route is a route of a manifest.
type route struct {
	name    string
	at      netip.AddrPort
	service string
}

// manifest returns a manifest with the routes.
func manifest(version int, routes ...route) []byte {
	var list, services []map[string]any
	named := map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": r.at.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", r.at.Port()), "type": "safe",
			"timeoutMs": 1200, "targetLatencyMs": 150, "priority": 2, "service": r.service, "maxAttempts": 2,
		})
	}
	for _, name := range []string{"match", "vault"} {
		if !named[name] {
			services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 2000, "protocol": "h1", "tls": false})
			named[name] = true
		}
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // all values can be encoded
	}
	return b
}
