package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/plantainseam/plantainseam/platform/standin"
)

// oddReport sends one status report of another writer, which lacks a field, to the agent of a host that serves flows.
func oddReport(r *record, daemon string, trouble bool) (int, error) {
	d, err := newDeployment(r, daemon, standin.Config{Edges: 2, Sides: 6, Cores: 5}, "core-1", "core-2", "core-3")
	if err != nil {
		return 0, err
	}
	defer d.end()
	for _, m := range d.site.Machines {
		if err := d.start(m, true); err != nil {
			return 0, err
		}
	}
	if !d.site.Operator.Declare(20 * time.Second) {
		return 0, errors.New("the first manifest was not acknowledged")
	}
	w, err := d.surround(10)
	if err != nil {
		return 0, err
	}
	time.Sleep(12 * time.Second)
	if trouble {
		h := w.busiest()
		fields := h.fields()
		delete(fields, "address")
		fields["born"], fields["sequence"] = time.Now().UnixMilli(), 1
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, err := call(ctx, http.MethodPut, h.reportURL("i-odd"), fields)
		cancel()
		r.note("a report of i-odd without address to the agent of host %s: status %d, error %v", h.id, status, err)
	}
	time.Sleep(10 * time.Second)
	r.note("outcomes: %v", w.counts)
	return w.broken(), nil
}

// busiest returns the host that holds most flows.
func (w *world) busiest() *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	var best *host
	most := -1
	for _, h := range w.hosts {
		h.mu.Lock()
		n := len(h.open)
		h.mu.Unlock()
		if n > most {
			best, most = h, n
		}
	}
	return best
}
