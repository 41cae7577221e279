package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/plantainseam/plantainseam/internal/result"
)

// Exit statuses besides those that follow the result codes.
const (
	exitOK    = 0
	exitUsage = 2
)

// app is what every command needs.
type app struct {
	connection Connection
	out        io.Writer
}

// Run executes the command line and returns the exit status: 0 for success, 2 for wrong arguments, and otherwise the
// number of the result code divided by 100.
func Run(args []string, out, faults io.Writer) int {
	a := &app{out: out}
	parser := flags.NewNamedParser("plantainseam", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "operates a plantainseam deployment"
	if _, err := parser.AddGroup("Connection", "how to reach the control VMs", &a.connection); err != nil {
		panic(err) // the options are constant
	}
	for _, c := range a.commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.short, c.command); err != nil {
			panic(err)
		}
	}
	_, err := parser.ParseArgs(args)
	return status(err, out, faults)
}

// status prints an error and returns its exit status.
func status(err error, out, faults io.Writer) int {
	if err == nil {
		return exitOK
	}
	var parse *flags.Error
	if errors.As(err, &parse) {
		if parse.Type == flags.ErrHelp {
			fmt.Fprintln(out, parse.Message)
			return exitOK
		}
		fmt.Fprintln(faults, parse.Message)
		return exitUsage
	}
	fmt.Fprintln(faults, "plantainseam:", err)
	var wrong *UsageError
	if errors.As(err, &wrong) {
		return exitUsage
	}
	return result.CodeOf(err).Exit()
}

type command struct {
	name    string
	short   string
	command any
}

func (a *app) commands() []command {
	return []command{
		{"create-service", "plan a new service", &createService{app: a}},
		{"declare-rights", "plan which hosts may carry a service", &declareRights{app: a}},
		{"set-limits", "plan limits of a service or a host", &setLimits{app: a}},
		{"retire-host", "plan to drain a host and take it out", &retireHost{app: a}},
		{"return-host", "plan to take a retired host back", &returnHost{app: a}},
		{"close-service", "plan to end a service", &closeService{app: a}},
		{"move-load", "plan to move a service to another failure domain", &moveLoad{app: a}},
		{"replace-control", "plan to replace a control VM", &replaceControl{app: a}},
		{"rotate-key", "plan to change the tunnel key", &rotateKey{app: a}},
		{"confirm", "start a plan that you have read", &confirm{app: a}},
		{"show", "show an intent, its plan and its progress", &show{app: a}},
		{"list", "list intents and the configuration in force at each VM", &list{app: a}},
		{"leader", "print the RPC address of the leading control VM", &leader{app: a}},
		{"pause", "pause a running plan", &pause{app: a}},
		{"resume", "continue a paused plan", &resume{app: a}},
		{"abort", "end a plan and restore what can be restored", &abort{app: a}},
		{"report", "fetch, sign, verify and print closing reports", newReport(a)},
		{"timeline", "merge the events of processes in causal order", &timelineCommand{app: a}},
		{"explain", "time line and likely cause of one flow, from the logs of all processes", &explainCommand{app: a}},
		{"pki", "make the certificates and keys of a deployment", newPKI(a)},
	}
}
