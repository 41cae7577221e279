// Command platform runs the scripted cases of the review. It starts the project's own programs as separate processes on
// loopback addresses, with stand-ins that speak the platform's protocols and with those of platform/standin.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/plantainseam/plantainseam/platform/standin"
)

// Times that the platform's pages and settings give.
const (
	graceTime    = 6 * time.Second        // graceS
	catchUp      = 4 * time.Second        // catchUpS
	stability    = 4 * time.Second        // stabilityWindowMs
	restartPause = 300 * time.Millisecond // a process that ends is started again after a short delay
)

const operatorPort = 18175 // of platform/standin

// deployment is a small site with its processes.
type deployment struct {
	site      *standin.Site
	folder    string
	daemon    string
	mu        sync.Mutex
	processes map[string]*process // mu guards its changes
	proxies   []*proxy
	cuts      *cuts
	seeds     []string // machines that the settings name as seeds
	record    *record
	network   byte
	stopWorld func()
}

// process is one program of the system.
type process struct {
	d       *deployment
	machine *standin.Machine
	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	log     *os.File
}

// newDeployment writes the settings of a site. The first started cores are part of it from the start.
func newDeployment(r *record, daemon string, cfg standin.Config, seeds ...string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	if cfg.Network, err = freeNetwork(); err != nil {
		return nil, err
	}
	cfg.Folder, cfg.Proxied = folder, true
	site, err := standin.New(cfg)
	if err != nil {
		return nil, err
	}
	d := &deployment{site: site, folder: folder, daemon: daemon, processes: map[string]*process{}, seeds: seeds, record: r,
		network: cfg.Network, stopWorld: func() {}}
	d.killOnSignal()
	d.cuts = &cuts{off: map[string]bool{}}
	for _, m := range site.Machines {
		if m.Class != "core" {
			m.Bind = m.IP
			continue
		}
		p, err := newProxy(m, d.cuts)
		if err != nil {
			return nil, err
		}
		d.proxies = append(d.proxies, p)
	}
	return d, nil
}

// freeNetwork returns the second byte of loopback addresses that no process uses with the ports of the stand-ins.
func freeNetwork() (byte, error) {
	for n := byte(100); n < 250; n++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.1.1:%d", n, standin.CallPort))
		if err == nil {
			return n, l.Close()
		}
	}
	return 0, errors.New("no free loopback addresses")
}

func (d *deployment) machine(name string) *standin.Machine {
	for _, m := range d.site.Machines {
		if m.Name == name {
			return m
		}
	}
	panic("no machine " + name)
}

// writeSettings writes the settings file of a machine as the platform's pages describe it.
func (d *deployment) writeSettings(m *standin.Machine, first bool) error {
	if err := d.site.WriteSettings(m, first); err != nil {
		return err
	}
	content, err := os.ReadFile(m.Settings)
	if err != nil {
		return err
	}
	var s map[string]any
	if err := json.Unmarshal(content, &s); err != nil {
		return err
	}
	var seeds []string
	for _, name := range d.seeds {
		seeds = append(seeds, netip.AddrPortFrom(d.machine(name).IP, operatorPort).String())
	}
	s["seedNodes"], s["faultTolerance"] = seeds, map[string]int{"machines": 2}
	if content, err = json.Marshal(s); err != nil {
		return err
	}
	return os.WriteFile(m.Settings, content, 0o600)
}

// setSeeds changes the seeds in all settings files and sends SIGHUP to all processes.
func (d *deployment) setSeeds(seeds ...string) error {
	d.seeds = seeds
	d.record.note("the settings name the seeds %s; SIGHUP to all", strings.Join(seeds, ", "))
	for _, m := range d.site.Machines {
		if err := d.writeSettings(m, false); err != nil {
			return err
		}
	}
	for _, p := range d.processes {
		p.signal(syscall.SIGHUP)
	}
	return nil
}

// surround starts hosts on all side machines, the routers and callers.
func (d *deployment) surround(callers int) (*world, error) {
	var entries, sides []*standin.Machine
	for _, m := range d.site.Machines {
		switch m.Class {
		case "edge":
			entries = append(entries, m)
		case "side":
			sides = append(sides, m)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := newWorld(ctx, d.record, entries)
	d.stopWorld = func() {
		cancel()
		for _, h := range append([]*host(nil), w.hosts...) {
			h.stop()
		}
	}
	for i, m := range sides {
		service := "requests"
		if i%3 == 2 {
			service = "images"
		}
		if _, err := w.startHost(m.Name, fmt.Sprintf("i-%d", i+1), service, m.IP); err != nil {
			return nil, err
		}
	}
	for i := range callers {
		ip := netip.AddrFrom4([4]byte{127, d.network, 9, byte(i + 1)})
		if err := w.startCaller(ip, []netip.AddrPort{standin.Front("requests"), standin.Front("images")}); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (d *deployment) start(m *standin.Machine, first bool) error {
	if err := d.writeSettings(m, first); err != nil {
		return err
	}
	p := d.processes[m.Name]
	if p == nil {
		log, err := os.Create(filepath.Join(d.folder, m.Name+".log"))
		if err != nil {
			return err
		}
		p = &process{d: d, machine: m, log: log}
		d.mu.Lock()
		d.processes[m.Name] = p
		d.mu.Unlock()
	}
	return p.start()
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.d.daemon, "--platform")
	command.Env = append(os.Environ(), standin.SettingsVariable+"="+p.machine.Settings)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s) // it may have ended
	}
}

// stop sends SIGTERM, and SIGKILL after the grace time, and waits for the end.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(graceTime):
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

// restart is a planned restart.
func (p *process) restart() error {
	p.d.record.note("SIGTERM to %s", p.machine.Name)
	p.stop()
	time.Sleep(restartPause)
	err := p.start()
	p.d.record.note("%s runs again", p.machine.Name)
	return err
}

// end stops everything that was started. It keeps the logs if KEEP names a folder.
func (d *deployment) end() {
	d.stopWorld()
	d.killAll()
	for _, p := range d.processes {
		<-p.ended
		_ = p.log.Close()
	}
	for _, p := range d.proxies {
		_ = p.listener.Close()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(d.folder))
	}
	_ = os.RemoveAll(d.folder)
}

// killAll kills all processes that were started.
func (d *deployment) killAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		p.signal(syscall.SIGKILL)
	}
}

// killOnSignal kills all processes and exits if the test itself is stopped.
func (d *deployment) killOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		d.killAll()
		os.Exit(failed)
	}()
}

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{start: time.Now(), file: f}, err
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
