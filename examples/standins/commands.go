package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/plantainseam/plantainseam/standin/backend"
	"github.com/plantainseam/plantainseam/standin/fabric"
	"github.com/plantainseam/plantainseam/standin/load"
)

// commander executes the commands:
//
//	start [KIND...]          starts the callers, or only those of the given kinds
//	tally                    returns the tally so far
//	stop                     ends the callers, waits for what they had begun, and returns the tally
//	fresh COUNT              opens new flows and returns how many were served
//	cut COUNT                silently loses every packet of open flows and returns how many
//	entries ADDRESS:PORT...  replaces the entry VMs that the fabric sends to
//	behave ADDRESS:PORT MODE [DELAY]  makes an upstream process answer normally, shed, truncate or cold
type commander struct {
	seed     uint64
	target   load.Target
	fabric   *fabric.Fabric
	backends []*backend.HTTP
	tally    *load.Tally
	cancel   context.CancelFunc // of the running callers
	wait     func()
}

// serve executes commands until the input ends.
func (c *commander) serve(in io.Reader, out io.Writer) error {
	encoder := json.NewEncoder(out)
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) == 0 {
			continue
		}
		answer, err := c.execute(words[0], words[1:])
		if err != nil {
			answer = map[string]string{"error": err.Error()}
		}
		if err := encoder.Encode(answer); err != nil {
			return err
		}
	}
	return lines.Err()
}

func (c *commander) execute(command string, args []string) (any, error) {
	switch command {
	case "start":
		return count{}, c.start(args)
	case "tally":
		return c.summary(), nil
	case "stop":
		c.end()
		s := c.summary()
		c.tally.Write(os.Stderr, s.Runs)
		return s, nil
	case "fresh":
		return c.fresh(args)
	case "cut":
		return c.cut(args)
	case "entries":
		entries, err := parseAddresses(args)
		if err == nil {
			c.fabric.SetEntries(entries...)
		}
		return count{len(entries)}, err
	case "behave":
		return count{1}, c.behave(args)
	}
	return nil, fmt.Errorf("unknown command %q", command)
}

// count is the answer of commands that act on a number of things.
type count struct {
	Count int `json:"count"`
}

// summary is the tally in the form that scripts read.
type summary struct {
	Clean          bool           `json:"clean"`
	Flows          int64          `json:"flows"`
	Open           int            `json:"open"`
	Broken         int64          `json:"broken"`
	Issued         int64          `json:"issued"`
	Answered       int64          `json:"answered"`
	Refused        int64          `json:"refused"`
	Unknown        int64          `json:"unknown"`
	Lost           int64          `json:"lost"`
	Wrong          int64          `json:"wrong"`
	Images         int64          `json:"images"`
	CutImages      int64          `json:"cut_images"`
	Keyed          int            `json:"keyed"`
	Resent         int64          `json:"resent"`
	ResentAnswered int64          `json:"resent_answered"`
	ResentUnknown  int64          `json:"resent_unknown"`
	Runs           load.Runs      `json:"runs"`
	Codes          map[string]int `json:"codes"`
	Upstreams      map[string]int `json:"upstreams"` // runs that began
	Failures       []string       `json:"failures"`
}

func (c *commander) summary() summary {
	t := c.tally
	runs := t.CheckRuns(c.backends)
	s := summary{
		Clean: t.Clean() && runs == (load.Runs{}),
		Flows: t.Flows.Load(), Open: len(t.Open()), Broken: t.BrokenFlows.Load(),
		Issued: t.Issued.Load(), Answered: t.Answered.Load(), Refused: t.Refused.Load(),
		Unknown: t.Unknown.Load(), Lost: t.Lost.Load(), Wrong: t.Wrong.Load(),
		Images: t.Images.Load(), CutImages: t.CutImages.Load(), Keyed: len(t.Keys()),
		Resent: t.Resent.Load(), ResentAnswered: t.ResentAnswered.Load(), ResentUnknown: t.ResentUnknown.Load(),
		Runs: runs, Codes: t.Codes(), Upstreams: map[string]int{}, Failures: t.Failures(),
	}
	for _, b := range c.backends {
		s.Upstreams[b.Addr().String()] = b.Total()
	}
	return s
}

func (c *commander) start(args []string) error {
	if c.cancel != nil {
		return fmt.Errorf("the callers run already")
	}
	var kinds []load.Kind
	for _, arg := range args {
		kinds = append(kinds, load.Kind(arg))
	}
	ctx, cancel := context.WithCancel(context.Background())
	wait, err := load.Start(ctx, c.target, c.seed, c.tally, kinds...)
	c.cancel, c.wait = cancel, wait
	return err
}

// end ends the callers, if they run.
func (c *commander) end() {
	if c.cancel == nil {
		return
	}
	c.cancel()
	c.wait()
	c.cancel = nil
}

func (c *commander) fresh(args []string) (any, error) {
	wanted, err := number(args)
	if err != nil {
		return nil, err
	}
	served, err := load.Fresh(c.target, wanted, c.tally)
	return count{served}, err
}

func (c *commander) cut(args []string) (any, error) {
	wanted, err := number(args)
	if err != nil {
		return nil, err
	}
	open := c.tally.Open()
	open = open[:min(wanted, len(open))]
	for _, caller := range open {
		c.fabric.Cut(caller)
	}
	return count{len(open)}, nil
}

func (c *commander) behave(args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("behave needs an address and a mode")
	}
	b := backend.Behaviour{Delay: runTime}
	switch args[1] {
	case "normally":
	case "shed":
		b.Shed = true
	case "truncate":
		b.Truncate = true
	case "cold":
		b.Cold = true
	default:
		return fmt.Errorf("unknown mode %q", args[1])
	}
	if len(args) > 2 {
		delay, err := time.ParseDuration(args[2])
		if err != nil {
			return err
		}
		b.Delay = delay
	}
	for _, upstream := range c.backends {
		if upstream.Addr().String() == args[0] {
			upstream.Set(b)
			return nil
		}
	}
	return fmt.Errorf("no upstream process at %s", args[0])
}

func number(args []string) (int, error) {
	if len(args) != 1 {
		return 0, fmt.Errorf("one number is needed")
	}
	return strconv.Atoi(args[0])
}
