// Package backend stands in for upstream processes: a TCP line server and an HTTP server whose faults can be switched.
package backend

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Lines is a TCP server that answers each line with its own name and the line. It closes a connection when the peer has
// closed its side and every answer is written.
type Lines struct {
	name     string
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
	total int
	wg    sync.WaitGroup
}

// NewLines starts a line server on a loopback port.
func NewLines(name string) (*Lines, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("line server: %w", err)
	}
	s := &Lines{name: name, listener: listener, conns: map[net.Conn]bool{}}
	s.wg.Add(1)
	go s.accept()
	return s, nil
}

// Addr is the address of the server.
func (s *Lines) Addr() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Total returns the number of connections accepted so far.
func (s *Lines) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Open returns the number of open connections.
func (s *Lines) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Lines) accept() {
	defer s.wg.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.total++
		s.mu.Unlock()
		s.wg.Add(1)
		go s.serve(conn)
	}
}

func (s *Lines) serve(conn net.Conn) {
	defer s.wg.Done()
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	scanner := bufio.NewScanner(conn)
	for scanner.Scan() {
		if _, err := fmt.Fprintf(conn, "%s %s\n", s.name, scanner.Text()); err != nil {
			return
		}
	}
}

// Close stops the server and its connections.
func (s *Lines) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
