package cli

import (
	"time"

	"github.com/plantainseam/plantainseam/rpc/intentpb"
)

// planOptions are common to the commands that submit an intent.
type planOptions struct {
	Key string `long:"key" value-name:"TEXT" required:"true" description:"your own key of this intent; the same key gives the first answer again"`
}

// deadlineOptions are common to the intents that drain.
type deadlineOptions struct {
	Deadline string `long:"deadline" value-name:"TIME" description:"RFC 3339 time or duration from now by which the drain should end"`
}

// submit plans an intent and prints the plan.
func (a *app) submit(key string, spec *intentpb.Spec) error {
	return a.withIntent(func(s session) (*intentpb.Intent, error) { return s.client.Plan(s.ctx, key, spec) })
}

// unixMS reads a time or a duration from now as Unix milliseconds; an empty text is 0.
func unixMS(text string, now time.Time) (int64, error) {
	if text == "" {
		return 0, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(d).UnixMilli(), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, usage("%q is neither an RFC 3339 time nor a duration", text)
	}
	return at.UnixMilli(), nil
}

type createService struct {
	app *app
	planOptions
	Name       string   `long:"name" required:"true" description:"name of the service"`
	Frontend   string   `long:"frontend" value-name:"ADDRESS:PORT" required:"true" description:"address that callers connect to"`
	Kind       string   `long:"kind" choice:"stream" choice:"request" required:"true" description:"unit of the service"`
	Hosts      []string `long:"host" value-name:"HOST" required:"true" description:"host that may carry it, once for each"`
	QueueLimit uint32   `long:"queue-limit" default:"64" description:"requests that may wait at one upstream"`
}

// Execute implements flags.Commander.
func (c *createService) Execute([]string) error {
	return c.app.submit(c.Key, &intentpb.Spec{Want: &intentpb.Spec_Create{Create: &intentpb.CreateService{
		Name: c.Name, Frontend: c.Frontend, Kind: c.Kind, Hosts: c.Hosts, QueueLimit: c.QueueLimit,
	}}})
}

type declareRights struct {
	app *app
	planOptions
	deadlineOptions
	Service string   `long:"service" required:"true" description:"name of the service"`
	Hosts   []string `long:"host" value-name:"HOST" required:"true" description:"host that may carry it, once for each; others are drained"`
}

// Execute implements flags.Commander.
func (c *declareRights) Execute([]string) error {
	deadline, err := unixMS(c.Deadline, time.Now())
	if err != nil {
		return err
	}
	return c.app.submit(c.Key, &intentpb.Spec{Want: &intentpb.Spec_Rights{Rights: &intentpb.DeclareRights{
		Service: c.Service, Hosts: c.Hosts, DeadlineUnixMs: deadline,
	}}})
}

type setLimits struct {
	app *app
	planOptions
	Service        string `long:"service" description:"service whose queue limit is set"`
	QueueLimit     uint32 `long:"queue-limit" description:"requests that may wait at one upstream"`
	Host           string `long:"host" description:"host whose limits are set"`
	Slots          uint32 `long:"slots" description:"requests that may run at once"`
	MaxConnections uint32 `long:"max-connections" description:"open connections"`
}

// Execute implements flags.Commander.
func (c *setLimits) Execute([]string) error {
	return c.app.submit(c.Key, &intentpb.Spec{Want: &intentpb.Spec_Limits{Limits: &intentpb.SetLimits{
		Service: c.Service, QueueLimit: c.QueueLimit, Host: c.Host, Slots: c.Slots, MaxConnections: c.MaxConnections,
	}}})
}

type retireHost struct {
	app *app
	planOptions
	deadlineOptions
	Host string `long:"host" required:"true" description:"host to retire"`
}

// Execute implements flags.Commander.
func (c *retireHost) Execute([]string) error {
	deadline, err := unixMS(c.Deadline, time.Now())
	if err != nil {
		return err
	}
	return c.app.submit(c.Key, &intentpb.Spec{Want: &intentpb.Spec_Retire{Retire: &intentpb.RetireHost{
		Host: c.Host, DeadlineUnixMs: deadline,
	}}})
}

type returnHost struct {
	app *app
	planOptions
	Host string `long:"host" required:"true" description:"host to take back"`
}

// Execute implements flags.Commander.
func (c *returnHost) Execute([]string) error {
	return c.app.submit(c.Key, &intentpb.Spec{Want: &intentpb.Spec_Return{Return: &intentpb.ReturnHost{Host: c.Host}}})
}

type closeService struct {
	app *app
	planOptions
	deadlineOptions
	Service string `long:"service" required:"true" description:"service to close"`
	By      string `long:"by" value-name:"TIME" description:"RFC 3339 time or duration from now at which new flows stop; at once if not given"`
}

// Execute implements flags.Commander.
func (c *closeService) Execute([]string) error {
	stop, err := unixMS(c.By, time.Now())
	if err != nil {
		return err
	}
	deadline, err := unixMS(c.Deadline, time.Now())
	if err != nil {
		return err
	}
	return c.app.submit(c.Key, &intentpb.Spec{Want: &intentpb.Spec_Close{Close: &intentpb.CloseService{
		Service: c.Service, StopUnixMs: stop, DeadlineUnixMs: deadline,
	}}})
}

type moveLoad struct {
	app *app
	planOptions
	deadlineOptions
	Service string `long:"service" required:"true" description:"service to move"`
	From    string `long:"from" value-name:"DOMAIN" required:"true" description:"failure domain to leave"`
	To      string `long:"to" value-name:"DOMAIN" required:"true" description:"failure domain to go to"`
}

// Execute implements flags.Commander.
func (c *moveLoad) Execute([]string) error {
	deadline, err := unixMS(c.Deadline, time.Now())
	if err != nil {
		return err
	}
	return c.app.submit(c.Key, &intentpb.Spec{Want: &intentpb.Spec_Move{Move: &intentpb.MoveLoad{
		Service: c.Service, From: c.From, To: c.To, DeadlineUnixMs: deadline,
	}}})
}

type replaceControl struct {
	app *app
	planOptions
	Old     string `long:"old" value-name:"IDENTITY" required:"true" description:"identity of the control VM that leaves"`
	New     string `long:"new" value-name:"IDENTITY" required:"true" description:"identity that plantainseamd --init-data printed on the new VM"`
	Address string `long:"address" value-name:"ADDRESS:PORT" required:"true" description:"RPC address of the new VM"`
}

// Execute implements flags.Commander.
func (c *replaceControl) Execute([]string) error {
	return c.app.submit(c.Key, &intentpb.Spec{Want: &intentpb.Spec_Replace{Replace: &intentpb.ReplaceControl{
		Old: c.Old, New: c.New, Address: c.Address,
	}}})
}

type rotateKey struct {
	app *app
	planOptions
	To uint32 `long:"to" value-name:"ID" required:"true" description:"id of a tunnel key that is in the settings of every VM"`
}

// Execute implements flags.Commander.
func (c *rotateKey) Execute([]string) error {
	return c.app.submit(c.Key, &intentpb.Spec{Want: &intentpb.Spec_Rotate{Rotate: &intentpb.RotateKey{Key: c.To}}})
}
