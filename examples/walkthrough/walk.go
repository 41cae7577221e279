package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/plantainseam/plantainseam/internal/report"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
	"github.com/plantainseam/plantainseam/standin/caller"
	"github.com/plantainseam/plantainseam/standin/load"
)

// drainDeadline is that of the retired host and the closed service.
const drainDeadline = 5 * time.Minute

// outcome is what a walk found.
type outcome struct {
	plan             plan
	tally            *load.Tally
	runs             load.Runs
	requests, images float64 // peak/mean of the runs over the hosts that stayed
	steps            []string
	report           []byte
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
	out = &outcome{plan: p, tally: &load.Tally{}}
	if err := d.createServices(ctx, out); err != nil {
		return out, err
	}
	first, err := caller.New(netip.AddrFrom4([4]byte{10, p.network, 99, 1}), d.fabric)
	if err != nil {
		return out, err
	}
	defer first.Close()
	for _, svc := range []service{p.requests, p.images} {
		if err := d.waitUntilServed(ctx, first, svc); err != nil {
			return out, err
		}
	}
	out.step("both services answer at their frontends")
	if err := d.underTraffic(ctx, o, out); err != nil {
		return out, err
	}
	out.runs = out.tally.CheckRuns(d.upstreams())
	out.requests = load.Imbalance(d.stayed(p.requests, 2))
	out.images = load.Imbalance(d.stayed(p.images, 1))
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
		in, err := d.ada.Execute(ctx, "create-"+svc.name, spec)
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
	target := load.Target{
		Network: d.fabric, Prefix: d.plan.network, Requests: d.plan.requests.frontend, Images: d.plan.images.frontend,
	}
	wait, err := load.Start(running, target, o.Seed, out.tally)
	finish := sync.OnceFunc(func() {
		cancel()
		wait()
	})
	defer finish()
	if err != nil {
		return err
	}
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

	<-running.Done()
	finish()
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

// closeImages closes the image service and fetches its report.
func (d *deployment) closeImages(ctx context.Context, out *outcome) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	name := d.plan.images.name
	in, err := d.ada.Execute(ctx, "close-"+name, &intentpb.Spec{Want: &intentpb.Spec_Close{Close: &intentpb.CloseService{
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
func (o *outcome) clean() bool { return o.tally.Clean() && o.runs == load.Runs{} }

func (o *outcome) print(w io.Writer) {
	fmt.Fprintf(w, "%s\n", o.plan.name)
	for _, s := range o.steps {
		fmt.Fprintf(w, "  - %s\n", s)
	}
	o.tally.Write(w, o.runs)
	fmt.Fprintf(w, "  imbalance over the hosts that stayed, peak/mean of runs: %s %.2f, %s %.2f\n",
		o.plan.requests.name, o.requests, o.plan.images.name, o.images)
	if len(o.report) == 0 {
		return
	}
	fmt.Fprintf(w, "  report of %s:\n", o.plan.images.name)
	if r, err := report.Parse(o.report); err == nil {
		_ = r.WriteText(w)
	}
}
