package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/plantainseam/plantainseam/platform/standin"
)

// restartPause is how long a process that ended stays away, as on the platform.
const restartPause = 300 * time.Millisecond

// process is one program of the system under the soak. It ends only processes that it started, by their ids.
type process struct {
	machine *standin.Machine
	daemon  string
	log     *os.File
	site    *standin.Site

	absent  atomic.Bool // not started yet, or stopped for good
	retired atomic.Bool // stopped for good

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	expects bool // an end is the soak's own doing
}

func newProcess(daemon, folder string, s *standin.Site, m *standin.Machine) (*process, error) {
	f, err := os.Create(filepath.Join(folder, m.Name+".log"))
	if err != nil {
		return nil, fmt.Errorf("log of %s: %w", m.Name, err)
	}
	p := &process{machine: m, daemon: daemon, log: f, site: s}
	p.absent.Store(true)
	return p, nil
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.daemon, "--platform")
	command.Env = append(os.Environ(), standin.SettingsVariable+"="+p.machine.Settings)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.machine.Name, err)
	}
	p.command, p.expects = command, false
	p.absent.Store(false)
	p.ended = make(chan struct{})
	go p.wait(command, p.ended)
	return nil
}

// wait reports an end that the soak did not cause.
func (p *process) wait(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	p.mu.Lock()
	expected := p.expects
	p.mu.Unlock()
	if !expected {
		p.site.Watch.Violate("ends", "%s ended by itself: %v", p.machine.Name, err)
	}
	close(ended)
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.expects = true
	}
	_ = p.command.Process.Signal(s) // it may have ended just now
}

// retire stops the process for good.
func (p *process) retire(s syscall.Signal) {
	p.retired.Store(true)
	p.stop(s)
	p.absent.Store(true)
}

// stop sends a signal that ends the process and waits for that, killing it after the platform's grace time.
func (p *process) stop(s syscall.Signal) {
	if p.absent.Load() {
		return
	}
	p.signal(s)
	select {
	case <-p.ended:
	case <-time.After(graceTime):
		p.site.Watch.Note("%s outlived its grace time", p.machine.Name)
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

// graceTime is the platform's time between SIGTERM and SIGKILL.
const graceTime = 6 * time.Second

func (p *process) restart(s syscall.Signal, away time.Duration) error {
	p.stop(s)
	time.Sleep(away + restartPause)
	return p.start()
}
