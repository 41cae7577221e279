package cli

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"io"
	"os"

	"github.com/plantainseam/plantainseam/internal/pki"
	"github.com/plantainseam/plantainseam/internal/report"
)

// reportMode is that of written report files.
const reportMode = 0o644

// reportCommand groups the commands about closing reports.
type reportCommand struct {
	Fetch  reportFetch  `command:"fetch" description:"fetch the report of a closed service with the system's signature"`
	Sign   reportSign   `command:"sign" description:"add your signature, the last one"`
	Verify reportVerify `command:"verify" description:"check chain, sums and signatures offline"`
	Print  reportPrint  `command:"print" description:"print a report as text or as a page with plots"`
}

func newReport(a *app) *reportCommand {
	return &reportCommand{
		Fetch: reportFetch{app: a}, Sign: reportSign{app: a}, Verify: reportVerify{app: a}, Print: reportPrint{app: a},
	}
}

type reportFetch struct {
	app     *app
	Service string `long:"service" required:"true" description:"name of the service"`
	File    string `long:"file" required:"true" description:"where to write the report"`
}

// Execute implements flags.Commander.
func (c *reportFetch) Execute([]string) error {
	return c.app.connected(func(s session) error {
		raw, err := s.client.Report(s.ctx, c.Service)
		if err != nil {
			return err
		}
		return os.WriteFile(c.File, raw, reportMode)
	})
}

// reportFile is the file that a command works on.
type reportFile struct {
	File string `long:"file" required:"true" description:"report"`
}

type reportSign struct {
	app *app
	reportFile
	Name       string `long:"name" required:"true" description:"your name in the signature"`
	SigningKey string `long:"signing-key" value-name:"FILE" required:"true" description:"your ed25519 key"`
}

// Execute implements flags.Commander.
func (c *reportSign) Execute([]string) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	key, err := pki.LoadSigningKey(c.SigningKey)
	if err != nil {
		return err
	}
	r, err := report.Parse(raw)
	if err != nil {
		return err
	}
	if err := r.Sign(report.RoleOperator, c.Name, key); err != nil {
		return err
	}
	if raw, err = r.Encode(); err != nil {
		return err
	}
	return os.WriteFile(c.File, raw, reportMode)
}

type reportVerify struct {
	app *app
	reportFile
	SystemKey   string `long:"system-key" value-name:"FILE" required:"true" description:"public key of the system"`
	Name        string `long:"name" required:"true" description:"operator who should have signed"`
	OperatorKey string `long:"operator-key" value-name:"FILE" required:"true" description:"public key of that operator"`
}

// Execute implements flags.Commander.
func (c *reportVerify) Execute([]string) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	system, err := pki.LoadPublicKey(c.SystemKey)
	if err != nil {
		return err
	}
	operator, err := pki.LoadPublicKey(c.OperatorKey)
	if err != nil {
		return err
	}
	trust := report.Trust{System: system, Operators: map[string]ed25519.PublicKey{c.Name: operator}}
	r, err := report.Verify(raw, trust)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.app.out, "%s: %d records, chain, sums and signatures verify\n", c.File, len(r.Records))
	return nil
}

type reportPrint struct {
	app *app
	reportFile
	Page string `long:"page" value-name:"FILE" description:"write a page with plots to this file instead of text"`
}

// Execute implements flags.Commander.
func (c *reportPrint) Execute([]string) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	r, err := report.Parse(raw)
	if err != nil {
		return err
	}
	if c.Page == "" {
		return r.WriteText(c.app.out)
	}
	return writeFile(c.Page, r.WritePage)
}

// writeFile writes a file only when its content could be made.
func writeFile(path string, write func(io.Writer) error) error {
	var buf bytes.Buffer
	if err := write(&buf); err != nil {
		return err
	}
	return os.WriteFile(path, buf.Bytes(), reportMode)
}
