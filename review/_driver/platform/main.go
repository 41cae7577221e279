package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: driver CASE DAEMON RECORD")
		os.Exit(failed)
	}
	cases := map[string]func(r *record, daemon string, trouble bool) (int, error){
		"isolated-roster": isolatedRoster,
		"odd-report":      oddReport,
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(failed)
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	violations, err := run(r, os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	r.note("%d violations", violations)
	fmt.Println(violations, "violations")
	if violations > 0 {
		os.Exit(broken)
	}
	os.Exit(held)
}
