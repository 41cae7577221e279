package cli

import (
	"fmt"
	"os"
	"time"

	"github.com/plantainseam/plantainseam/internal/model"
	"github.com/plantainseam/plantainseam/internal/timeline"
)

type timelineCommand struct {
	app     *app
	Process []string `long:"process" value-name:"ADDRESS:PORT" description:"RPC address of a process, once for each; the control VMs if not given"`
	Service uint32   `long:"service" value-name:"ID" description:"only events of this service"`
	Host    string   `long:"host" description:"only events of or at this host"`
	Intent  uint64   `long:"intent" description:"only events of this intent"`
	Caller  string   `long:"caller" value-name:"ADDRESS" description:"only events of this caller"`
	From    string   `long:"from" value-name:"TIME" description:"RFC 3339 time"`
	To      string   `long:"to" value-name:"TIME" description:"RFC 3339 time, exclusive"`
	SVG     string   `long:"svg" value-name:"FILE" description:"write a picture to this file instead"`
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	filter, err := c.filter()
	if err != nil {
		return err
	}
	return c.app.connected(func(s session) error {
		events, err := c.collect(s, filter)
		if err != nil {
			return err
		}
		return c.write(events)
	})
}

func (c *timelineCommand) filter() (timeline.Filter, error) {
	f := timeline.Filter{
		Service: model.ServiceID(c.Service), Host: model.HostID(c.Host), Intent: c.Intent, Caller: c.Caller,
	}
	var err error
	if f.From, err = parseTime(c.From); err != nil {
		return f, err
	}
	f.To, err = parseTime(c.To)
	return f, err
}

func parseTime(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, usage("%q is no RFC 3339 time", text)
	}
	return at, nil
}

// collect merges the events of the processes. A process that does not answer is named and left out.
func (c *timelineCommand) collect(s session, filter timeline.Filter) ([]timeline.Event, error) {
	processes := c.Process
	if len(processes) == 0 {
		processes = c.app.connection.Servers
	}
	var rings [][]timeline.Event
	answered := 0
	for _, address := range processes {
		ring, dropped, err := s.client.Events(s.ctx, address)
		if err != nil {
			fmt.Fprintf(os.Stderr, "plantainseam: %s is left out: %v\n", address, err)
			continue
		}
		if dropped > 0 {
			fmt.Fprintf(os.Stderr, "plantainseam: %s has overwritten %d older events\n", address, dropped)
		}
		answered++
		rings = append(rings, ring)
	}
	if answered == 0 {
		return nil, fmt.Errorf("no process answered")
	}
	return timeline.Merge(filter, rings...), nil
}

func (c *timelineCommand) write(events []timeline.Event) error {
	if c.SVG != "" {
		file, err := os.Create(c.SVG)
		if err != nil {
			return err
		}
		if err := timeline.WriteSVG(file, events); err != nil {
			_ = file.Close()
			return err
		}
		return file.Close()
	}
	if c.app.connection.Output == "json" {
		return timeline.WriteJSON(c.app.out, events)
	}
	return timeline.WriteText(c.app.out, events)
}
