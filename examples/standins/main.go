// Standins runs what surrounds a deployment on loopback addresses: the fabric, the upstream processes, and callers. It
// reads commands from standard input, one a line, and answers each with one line of JSON; see commands.go. It ends when
// its input does.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/plantainseam/plantainseam/standin/backend"
	"github.com/plantainseam/plantainseam/standin/fabric"
	"github.com/plantainseam/plantainseam/standin/load"
)

type options struct {
	Fabric   string        `long:"fabric" value-name:"ADDRESS:PORT" required:"true" description:"address of the fabric"`
	Entries  []string      `long:"entry" value-name:"ADDRESS:PORT" required:"true" description:"tunnel address of an entry VM, once for each"`
	Backends []string      `long:"backend" value-name:"ADDRESS:PORT" required:"true" description:"address of an upstream process, once for each"`
	Requests string        `long:"requests" value-name:"ADDRESS:PORT" required:"true" description:"frontend of the request service"`
	Images   string        `long:"images" value-name:"ADDRESS:PORT" required:"true" description:"frontend of the image service"`
	Prefix   byte          `long:"prefix" default:"10" description:"second byte of the callers' addresses"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the fabric and the callers"`
	Loss     float64       `long:"loss" default:"0.001" description:"share of callers' packets that the fabric loses"`
	Delay    time.Duration `long:"delay" default:"1ms" description:"delay of callers' packets, one way"`
}

// runTime is how long the stand-in for an upstream takes for a request.
const runTime = 10 * time.Millisecond

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	target, f, backends, closeAll, err := surroundings(o)
	if err != nil {
		return err
	}
	defer closeAll()
	c := &commander{seed: o.Seed, target: target, fabric: f, backends: backends, tally: &load.Tally{}}
	defer c.end()
	return c.serve(os.Stdin, os.Stdout)
}

// surroundings starts fabric and upstream processes.
func surroundings(o options) (load.Target, *fabric.Fabric, []*backend.HTTP, func(), error) {
	target := load.Target{Prefix: o.Prefix}
	var backends []*backend.HTTP
	closeAll := func() {
		for _, b := range backends {
			b.Close()
		}
	}
	var err error
	if target.Requests, err = netip.ParseAddrPort(o.Requests); err != nil {
		return target, nil, nil, nil, err
	}
	if target.Images, err = netip.ParseAddrPort(o.Images); err != nil {
		return target, nil, nil, nil, err
	}
	for _, address := range o.Backends {
		b, err := backend.ListenHTTP(address, address, 3)
		if err != nil {
			closeAll()
			return target, nil, nil, nil, err
		}
		b.Set(backend.Behaviour{Delay: runTime})
		backends = append(backends, b)
	}
	f, err := startFabric(o)
	if err != nil {
		closeAll()
		return target, nil, nil, nil, err
	}
	target.Network = f
	return target, f, backends, func() {
		closeAll()
		_ = f.Close()
	}, nil
}

func startFabric(o options) (*fabric.Fabric, error) {
	listen, err := netip.ParseAddrPort(o.Fabric)
	if err != nil {
		return nil, err
	}
	entries, err := parseAddresses(o.Entries)
	if err != nil {
		return nil, err
	}
	f, err := fabric.New(listen, o.Seed)
	if err != nil {
		return nil, err
	}
	f.SetEntries(entries...)
	f.SetFaults(fabric.Faults{Loss: o.Loss, Delay: o.Delay, Jitter: o.Delay / 2})
	return f, nil
}

func parseAddresses(texts []string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		out = append(out, address)
	}
	return out, nil
}
