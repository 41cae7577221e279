package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// drainDeadline is that of the retired host and the closed service.
const drainDeadline = 5 * time.Minute

// outcome is what a walk found.
type outcome struct {
	plan    plan
	tally   *tally
	doubled int // keys that ran more than once
	missing int // keys that were answered and did not run
	steps   []string
	report  []byte
}

// walk runs one deployment from start to close.
func walk(ctx context.Context, o options, p plan, dir string) (out *outcome, err error) {
	d, err := start(o, p, dir)
	if err != nil {
		return nil, err
	}
	defer func() {
		if closed := d.close(); err == nil {
			err = closed
		}
	}()
	out = &outcome{plan: p, tally: &tally{}}
	if err := d.createServices(ctx, out); err != nil {
		return out, err
	}
	first, err := d.newCaller(1)
	if err != nil {
		return out, err
	}
	for _, svc := range []service{p.requests, p.images} {
		if err := d.waitUntilServed(ctx, first, svc); err != nil {
			return out, err
		}
	}
	out.step("both services answer at their frontends")
	if err := d.underTraffic(ctx, o, out); err != nil {
		return out, err
	}
	out.checkRuns(d)
	return out, d.closeImages(ctx, out)
}

func (o *outcome) step(format string, args ...any) {
	o.steps = append(o.steps, fmt.Sprintf(format, args...))
}

func (d *deployment) createServices(ctx context.Context, out *outcome) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, svc := range []service{d.plan.requests, d.plan.images} {
		spec := &intentpb.Spec{Want: &intentpb.Spec_Create{Create: &intentpb.CreateService{
			Name: svc.name, Frontend: svc.frontend.String(), Kind: svc.kind, Hosts: hostNames(svc), QueueLimit: 64,
		}}}
		in, err := d.ada.Carry(ctx, "create-"+svc.name, spec)
		if err != nil {
			return fmt.Errorf("create %s: %w", svc.name, err)
		}
		out.step("intent %d created %s in %d steps", in.Id, svc.name, len(in.Plan.Steps))
	}
	return nil
}

// underTraffic retires a host, and loses an entry VM and the leader while the plan runs.
func (d *deployment) underTraffic(ctx context.Context, o options, out *outcome) error {
	running, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	callers, err := d.load(running, o.Seed, out.tally)
	if err != nil {
		return err
	}
	defer callers.Wait()
	defer cancel()
	time.Sleep(o.Duration / 8)

	retired := hostName(d.plan.requests, 1)
	in, err := d.ada.Plan(ctx, "retire-"+retired, &intentpb.Spec{Want: &intentpb.Spec_Retire{Retire: &intentpb.RetireHost{
		Host: retired, DeadlineUnixMs: time.Now().Add(drainDeadline).UnixMilli(),
	}}})
	if err != nil {
		return fmt.Errorf("plan to retire %s: %w", retired, err)
	}
	if _, err := d.ada.Confirm(ctx, in.Id, in.Plan.Number); err != nil {
		return fmt.Errorf("confirm to retire %s: %w", retired, err)
	}
	out.step("intent %d retires %s: %d steps, %d flows touched", in.Id, retired, len(in.Plan.Steps), in.Plan.Flows)
	time.Sleep(o.Duration / 8)

	d.loseEntry(200 * time.Millisecond)
	out.step("entry VM e1 was lost")
	time.Sleep(o.Duration / 8)

	if err := d.loseLeader(ctx); err != nil {
		return err
	}
	out.step("the leader of the control VMs was lost")

	callers.Wait()
	awaiting, done := context.WithTimeout(ctx, startTimeout)
	defer done()
	in, err = d.ada.Await(awaiting, in.Id)
	if err != nil {
		return fmt.Errorf("retire %s: %w", retired, err)
	}
	if in.State != intentpb.State_STATE_DONE {
		return fmt.Errorf("retire %s ended as %s: %s", retired, in.State, in.Detail)
	}
	out.step("%s was retired after its flows had ended", retired)
	return nil
}

// checkRuns compares what callers were told with what the upstream processes ran.
func (o *outcome) checkRuns(d *deployment) {
	for _, key := range o.tally.keys {
		runs := 0
		for _, b := range d.backends {
			runs += b.Runs(key)
		}
		switch {
		case runs == 0:
			o.missing++
		case runs > 1:
			o.doubled++
		}
	}
}

// closeImages closes the image service and fetches its report.
func (d *deployment) closeImages(ctx context.Context, out *outcome) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	name := d.plan.images.name
	in, err := d.ada.Carry(ctx, "close-"+name, &intentpb.Spec{Want: &intentpb.Spec_Close{Close: &intentpb.CloseService{
		Service: name, DeadlineUnixMs: time.Now().Add(drainDeadline).UnixMilli(),
	}}})
	if err != nil {
		return fmt.Errorf("close %s: %w", name, err)
	}
	out.step("intent %d closed %s", in.Id, name)
	out.report, err = d.ada.Report(ctx, name)
	return err
}

// clean tells whether every promise was kept.
func (o *outcome) clean() bool {
	t := o.tally
	return t.brokenFlows.Load() == 0 && t.lost.Load() == 0 && t.unknown.Load() == 0 && t.wrong.Load() == 0 &&
		t.cutImages.Load() == 0 && o.doubled == 0 && o.missing == 0 && t.answered.Load() > 0 && t.images.Load() > 0 &&
		t.issued.Load() == t.answered.Load()+t.refused.Load()
}

func (o *outcome) print(w io.Writer) {
	t := o.tally
	fmt.Fprintf(w, "%s\n", o.plan.name)
	for _, s := range o.steps {
		fmt.Fprintf(w, "  - %s\n", s)
	}
	fmt.Fprintf(w, "  flows: opened %d, broken %d\n", t.flows.Load(), t.brokenFlows.Load())
	fmt.Fprintf(w, "  requests: issued %d = answered %d + refused as not run %d + unknown %d + lost %d + wrong %d\n",
		t.issued.Load(), t.answered.Load(), t.refused.Load(), t.unknown.Load(), t.lost.Load(), t.wrong.Load())
	fmt.Fprintf(w, "  keyed requests: answered %d, run twice %d, answered without a run %d\n", len(t.keys), o.doubled, o.missing)
	fmt.Fprintf(w, "  images: asked for %d, truncated or missing %d\n", t.images.Load(), t.cutImages.Load())
	if len(o.report) > 0 {
		var fields map[string]any
		if json.Unmarshal(o.report, &fields) == nil {
			fmt.Fprintf(w, "  report of %s: %d bytes, signed by the system\n", o.plan.images.name, len(o.report))
		}
	}
	for _, f := range t.failures {
		fmt.Fprintf(w, "  ! %s\n", f)
	}
}
