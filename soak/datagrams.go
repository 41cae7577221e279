package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/platform/standin"
)

// harm is what happens to the datagrams between a process and the other processes.
type harm uint8

// Kinds of harm.
const (
	unharmed harm = iota
	lossy         // some are lost, either way
	late          // some are late and overtaken by others, either way
	deaf          // none arrives
	mute          // none leaves
)

const (
	// lossShare is the part of datagrams that are lost or late: many times that of the platform's links.
	lossShare = 0.3
	// lateness bounds the delay of a late datagram: longer than a search, shorter than a caller's patience.
	lateness = 150 * time.Millisecond
	// maxDatagram is larger than any datagram of a packet (1,232 bytes and a header with few visited agents).
	maxDatagram = 8192
)

// datagrams passes datagrams between entries and agents. It has a socket at the address of each machine; what a process sends
// from its own address leaves from the socket of its machine, so that receivers know the sender.
type datagrams struct {
	mu      sync.Mutex
	harms   map[netip.AddrPort]harm         // by the address of the machine
	sockets map[netip.AddrPort]*net.UDPConn // by the address of the machine
	senders map[netip.AddrPort]netip.AddrPort
}

func newDatagrams(machines []*standin.Machine) (*datagrams, error) {
	d := &datagrams{
		harms: map[netip.AddrPort]harm{}, sockets: map[netip.AddrPort]*net.UDPConn{}, senders: map[netip.AddrPort]netip.AddrPort{},
	}
	for _, m := range machines {
		if m.Class == "core" {
			continue
		}
		at := netip.AddrPortFrom(m.IP, standin.DatagramPort)
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
		if err != nil {
			d.close()
			return nil, fmt.Errorf("datagrams of %s: %w", m.Name, err)
		}
		bound := netip.AddrPortFrom(m.Bind, standin.DatagramPort)
		d.sockets[at], d.senders[bound] = conn, at
	}
	for bound, at := range d.senders {
		go d.pass(at, bound)
	}
	return d, nil
}

func (d *datagrams) set(m *standin.Machine, h harm) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.harms[netip.AddrPortFrom(m.IP, standin.DatagramPort)] = h
}

// pass carries datagrams for a machine to its process until the socket is closed.
func (d *datagrams) pass(at, bound netip.AddrPort) {
	in := d.sockets[at]
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := in.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		out, sender := in, d.senders[from]
		if sender.IsValid() {
			out = d.sockets[sender]
		}
		delay, lost := d.fate(sender, at)
		if lost {
			continue
		}
		if delay == 0 {
			_, _ = out.WriteToUDPAddrPort(buf[:n], bound) // a datagram may get lost
			continue
		}
		content := append([]byte(nil), buf[:n]...)
		time.AfterFunc(delay, func() { _, _ = out.WriteToUDPAddrPort(content, bound) })
	}
}

// fate decides about a datagram.
func (d *datagrams) fate(from, to netip.AddrPort) (delay time.Duration, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	hit := rand.Float64() < lossShare
	sends, receives := d.harms[from], d.harms[to]
	switch {
	case sends == mute || receives == deaf:
		return 0, true
	case hit && (sends == lossy || receives == lossy):
		return 0, true
	case hit && (sends == late || receives == late):
		return rand.N(lateness), false
	}
	return 0, false
}

func (d *datagrams) close() {
	for _, conn := range d.sockets {
		_ = conn.Close()
	}
}
