package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// cases are the scripted cases by name. Each returns whether the rule was broken. trouble is false for a run without the
// disruption.
var cases = map[string]func(s *site, trouble bool) (broken bool, err error){
	"late":   lateCase,
	"reborn": rebornCase,
	"handed": handedCase,
	"relay":  relayCase,
	"stop":   stopCase,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		return statusNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, start: time.Now()}
	s, err := newSite(r)
	if err != nil {
		r.note("%v", err)
		return statusNotRun
	}
	defer s.stop() // also after a panic
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.stop()
		os.Exit(statusNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("disruption: %t", trouble)
	broken, err := cases[os.Args[1]](s, trouble)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, m := range s.machines {
			_ = os.WriteFile(filepath.Join(keep, m.name+".log"), []byte(m.log()), 0o600)
		}
	}
	switch {
	case errors.Is(err, errCannotRun):
		r.note("the case could not run: %v", err)
		return statusNotRun
	case err != nil:
		r.note("the case failed to run: %v", err)
		return statusNotRun
	case broken:
		r.note("the rule was BROKEN")
		return statusBroken
	}
	r.note("the rule held")
	return statusHeld
}
