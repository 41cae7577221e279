package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// columnGap is the space between columns of tables.
const columnGap = 2

// writeIntent prints an intent, its plan and its progress.
func writeIntent(w io.Writer, in *intentpb.Intent) {
	fmt.Fprintf(w, "intent %d by %s, key %q: %s\n", in.Id, in.Operator, in.Key, stateName(in.State))
	if in.Code != 0 {
		fmt.Fprintf(w, "refused: PS%04d %s: %s\n", in.Code, result.Code(in.Code), in.Detail)
	}
	if in.Plan != nil {
		writePlan(w, in)
	}
	if in.ConfirmedBy != "" {
		fmt.Fprintf(w, "confirmed by %s at %s\n", in.ConfirmedBy, clock(in.ConfirmedUnixMs))
	}
	if in.Waiting != "" {
		fmt.Fprintf(w, "waits: %s\n", in.Waiting)
	}
	if in.Overdue {
		fmt.Fprintf(w, "the deadline passed with %d flows and requests open; none was interrupted\n", in.RemainingWork)
		for _, caller := range in.Remaining {
			fmt.Fprintf(w, "  %s\n", caller)
		}
		if in.RemainingDropped > 0 {
			fmt.Fprintf(w, "  and %d more callers\n", in.RemainingDropped)
		}
	}
}

func writePlan(w io.Writer, in *intentpb.Intent) {
	p := in.Plan
	expected := time.Duration(p.ExpectedMs) * time.Millisecond
	fmt.Fprintf(w, "plan %d for revision %d, expected time %s, touches %d flows and %d requests\n",
		p.Number, p.Revision, expected, p.Flows, p.Requests)
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for i, step := range p.Steps {
		state := "later"
		switch {
		case step.DoneUnixMs != 0:
			state = "done " + clock(step.DoneUnixMs)
		case uint32(i) == in.Step && in.State == intentpb.State_STATE_RUNNING:
			state = "now"
		}
		fmt.Fprintf(table, "  %d.\t%s\t%s\t%d flows, %d requests\n", i+1, step.Text, state, step.Flows, step.Requests)
	}
	for _, c := range p.Capacity {
		fmt.Fprintf(table, "  left in %s\t%d hosts, %d slots, %d connections\t\t%d flows, %d requests now\n",
			c.FailureDomain, c.Hosts, c.Slots, c.Connections, c.Flows, c.Requests)
	}
	_ = table.Flush()
	for _, risk := range p.Risks {
		fmt.Fprintf(w, "  risk: %s\n", risk)
	}
	if in.State == intentpb.State_STATE_PLANNED {
		fmt.Fprintf(w, "nothing has changed; to start: plantainseam confirm --intent %d --plan %d\n", in.Id, p.Number)
	}
}

// writeList prints intents and the revision in force at each VM.
func writeList(w io.Writer, resp *intentpb.ListResponse) {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintf(table, "INTENT\tOPERATOR\tKEY\tSTATE\tSTEP\n")
	for _, in := range resp.Intents {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%d of %d\n", in.Id, in.Operator, in.Key, stateName(in.State), in.Step, len(in.Plan.GetSteps()))
	}
	_ = table.Flush()
	fmt.Fprintf(w, "newest revision %d\n", resp.Revision)
	fmt.Fprintf(table, "HOST\tROLE\tREVISION IN FORCE\tLEASE\n")
	for _, vm := range resp.InForce {
		role, lease := "upstream", "none"
		if vm.Entry {
			role = "entry"
		}
		if vm.Leased {
			lease = "valid"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", vm.Host, role, vm.Revision, lease)
	}
	_ = table.Flush()
}

func stateName(s intentpb.State) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "STATE_"))
}

func clock(unixMS int64) string {
	return time.UnixMilli(unixMS).UTC().Format(time.RFC3339)
}
