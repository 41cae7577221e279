package main

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/plantainseam/plantainseam/platform/standin"
)

const (
	// outageEvery is how many faults of one machine come on the mean before a common one.
	outageEvery = 12
	// outagePause lets callers open flows again before the next fault.
	outagePause = 3 * time.Second
	// maxTorn is the length in bytes of the longest torn write: an interrupted append leaves the beginning of a record, and
	// less than a record's header of 16 bytes can have any content (decision 0004).
	maxTorn = 15
)

// outage kills all processes at once, in half of the cases together with the hosts: a loss of all power. It starts once the
// faults under way have ended.
func (s *soak) outage() error {
	s.faults.Wait()
	power := s.random.IntN(2) == 0
	away := time.Duration(s.random.IntN(1500)) * time.Millisecond
	s.injected["outage"]++
	s.site.Watch.Note("outage, with the hosts %t", power)
	s.all(func(p *process) error { p.stop(syscall.SIGKILL); return nil })
	if power {
		for _, h := range s.site.Hosts() {
			h.Stop()
		}
		if err := s.tear(); err != nil {
			return err
		}
	}
	time.Sleep(away)
	err := s.all(func(p *process) error {
		if power && p.machine.Class == "side" {
			if err := s.site.StartHost(p.machine); err != nil {
				return err
			}
		}
		return p.start()
	})
	time.Sleep(outagePause)
	return err
}

// all calls f for all processes at the same time and returns one of the errors.
func (s *soak) all(f func(p *process) error) error {
	failed := make(chan error, len(s.processes))
	var running sync.WaitGroup
	for _, p := range s.processes {
		if p.retired.Load() || p.machine.Spare && p.absent.Load() {
			failed <- nil
			continue
		}
		running.Add(1)
		go func() {
			defer running.Done()
			failed <- f(p)
		}()
	}
	running.Wait()
	for range s.processes {
		if err := <-failed; err != nil {
			return err
		}
	}
	return nil
}

// tear leaves on the disks of some control VMs what a loss of power may leave: a torn write behind the last record that was
// synced, and no files that are only hints.
func (s *soak) tear() error {
	for _, m := range s.site.Machines {
		if m.Class != "core" || s.random.IntN(2) == 0 {
			continue
		}
		if err := s.tearLog(m); err != nil {
			return fmt.Errorf("tear %s: %w", m.Name, err)
		}
		if s.random.IntN(4) > 0 {
			continue
		}
		for _, hint := range []string{"agents", "flows"} {
			if err := os.Remove(filepath.Join(m.DataDir, hint)); err != nil && !os.IsNotExist(err) {
				return err
			}
		}
	}
	return nil
}

// logFiles is the suffix of the files of the replicated log.
const logFiles = ".log"

// tearLog appends a torn write to the file of the replicated log that was written last.
func (s *soak) tearLog(m *standin.Machine) error {
	var last string
	var at time.Time
	err := filepath.WalkDir(m.DataDir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != logFiles {
			return err
		}
		info, err := d.Info()
		if err == nil && info.ModTime().After(at) {
			last, at = path, info.ModTime()
		}
		return err
	})
	if err != nil || last == "" {
		return err
	}
	f, err := os.OpenFile(last, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	torn := make([]byte, 1+s.random.IntN(maxTorn))
	for i := range torn {
		torn[i] = byte(s.random.Uint32())
	}
	if _, err := f.Write(torn); err != nil {
		_ = f.Close() // the first error says more
		return err
	}
	return f.Close()
}
