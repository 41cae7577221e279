package cli

import (
	"fmt"

	"github.com/plantainseam/plantainseam/internal/explain"
)

type explainCommand struct {
	app  *app
	Logs string `long:"logs" value-name:"FOLDER" required:"true" description:"folder with the logs of all processes, *.log"`
	Args struct {
		ID string `positional-arg-name:"ID" description:"flow as in the logs, or address:port of its caller"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	lines, err := explain.Read(c.Logs)
	if err != nil {
		return err
	}
	timeline := explain.FlowTimeline(lines, c.Args.ID)
	if err := explain.Write(c.app.out, timeline); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.app.out, "cause: %s\n", explain.Cause(timeline, c.Args.ID))
	return err
}
