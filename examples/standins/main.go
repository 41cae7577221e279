// Standins runs what surrounds a deployment on loopback addresses: the fabric, the upstream processes, and callers. It
// starts the callers on SIGUSR1, ends them on SIGTERM, prints what became of every flow and request, and exits with
// status 0 only if all were served as promised.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
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
	start := make(chan os.Signal, 1)
	stop := make(chan os.Signal, 1)
	signal.Notify(start, syscall.SIGUSR1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	target, backends, closeAll, err := surroundings(o)
	if err != nil {
		return err
	}
	defer closeAll()
	fmt.Println("ready")
	select {
	case <-start:
	case <-stop:
		return nil
	}
	tally := &load.Tally{}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	wait, err := load.Start(running, target, o.Seed, tally)
	if err != nil {
		return err
	}
	<-stop
	cancel()
	wait()
	runs := tally.CheckRuns(backends)
	tally.Write(os.Stdout, runs)
	if !tally.Clean() || runs != (load.Runs{}) {
		return errors.New("some flow or request was not served as promised")
	}
	return nil
}

// surroundings starts fabric and upstream processes.
func surroundings(o options) (load.Target, []*backend.HTTP, func(), error) {
	target := load.Target{Prefix: o.Prefix}
	var backends []*backend.HTTP
	closeAll := func() {
		for _, b := range backends {
			b.Close()
		}
	}
	var err error
	if target.Requests, err = netip.ParseAddrPort(o.Requests); err != nil {
		return target, nil, nil, err
	}
	if target.Images, err = netip.ParseAddrPort(o.Images); err != nil {
		return target, nil, nil, err
	}
	for _, address := range o.Backends {
		b, err := backend.ListenHTTP(address, address, 3)
		if err != nil {
			closeAll()
			return target, nil, nil, err
		}
		b.Set(backend.Behaviour{Delay: runTime})
		backends = append(backends, b)
	}
	f, err := startFabric(o)
	if err != nil {
		closeAll()
		return target, nil, nil, err
	}
	target.Network = f
	return target, backends, func() {
		closeAll()
		_ = f.Close()
	}, nil
}

func startFabric(o options) (*fabric.Fabric, error) {
	listen, err := netip.ParseAddrPort(o.Fabric)
	if err != nil {
		return nil, err
	}
	var entries []netip.AddrPort
	for _, text := range o.Entries {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		entries = append(entries, address)
	}
	f, err := fabric.New(listen, o.Seed)
	if err != nil {
		return nil, err
	}
	f.SetEntries(entries...)
	f.SetFaults(fabric.Faults{Loss: o.Loss, Delay: o.Delay, Jitter: o.Delay / 2})
	return f, nil
}
