package cli

import (
	"net"
	"time"

	"github.com/plantainseam/plantainseam/internal/pki"
)

// pkiCommand groups the commands that make certificates and keys.
type pkiCommand struct {
	Authority  pkiAuthority  `command:"authority" description:"make a new authority"`
	Issue      pkiIssue      `command:"issue" description:"issue a certificate for a host or an operator"`
	SigningKey pkiSigningKey `command:"signing-key" description:"make a key pair that signs reports"`
}

func newPKI(*app) *pkiCommand { return &pkiCommand{} }

type pkiAuthority struct {
	Dir string `long:"dir" required:"true" description:"folder of the authority"`
}

// Execute implements flags.Commander.
func (c *pkiAuthority) Execute([]string) error { return pki.CreateAuthority(c.Dir, time.Now()) }

type pkiIssue struct {
	Dir       string   `long:"dir" required:"true" description:"folder of the authority"`
	Name      string   `long:"name" required:"true" description:"host or operator"`
	Roles     []string `long:"role" required:"true" choice:"entry" choice:"upstream" choice:"control" choice:"operator" description:"role, once for each"`
	Addresses []string `long:"address" description:"IP address that the process listens on, once for each"`
}

// Execute implements flags.Commander.
func (c *pkiIssue) Execute([]string) error {
	request := pki.Request{Name: c.Name, Roles: c.Roles}
	for _, text := range c.Addresses {
		address := net.ParseIP(text)
		if address == nil {
			return usage("%q is no IP address", text)
		}
		request.Addresses = append(request.Addresses, address)
	}
	return pki.Issue(c.Dir, request, time.Now())
}

type pkiSigningKey struct {
	File string `long:"file" required:"true" description:"private key; the public key goes to FILE.pub"`
}

// Execute implements flags.Commander.
func (c *pkiSigningKey) Execute([]string) error { return pki.CreateSigningKey(c.File) }
