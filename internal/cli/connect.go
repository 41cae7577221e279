// Package cli implements the operators' commands.
package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/plantainseam/plantainseam/internal/operator"
	"github.com/plantainseam/plantainseam/internal/peer"
)

// Connection are the options that tell how to reach the control VMs.
type Connection struct {
	Servers     []string      `long:"control" value-name:"ADDRESS:PORT" env:"PLANTAINSEAM_CONTROL" env-delim:"," description:"control VMs, once for each"`
	Certificate string        `long:"certificate" value-name:"FILE" env:"PLANTAINSEAM_CERTIFICATE" description:"operator's certificate"`
	Key         string        `long:"key-file" value-name:"FILE" env:"PLANTAINSEAM_KEY_FILE" description:"operator's private key"`
	Authority   string        `long:"authority" value-name:"FILE" env:"PLANTAINSEAM_AUTHORITY" description:"authority of the deployment"`
	Insecure    bool          `long:"insecure" description:"plain text; only for a deployment whose settings say so"`
	Operator    string        `long:"operator" value-name:"NAME" description:"operator's name with --insecure"`
	Timeout     time.Duration `long:"timeout" default:"30s" description:"time for the whole command"`
	Output      string        `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
}

// client connects to the control VMs.
func (c *Connection) client() (*operator.Client, error) {
	if len(c.Servers) == 0 {
		return nil, usage("--control is required")
	}
	options := peer.ClientOptions{Identity: peer.Identity{Name: c.Operator, Roles: []peer.Role{peer.RoleOperator}}}
	if c.Insecure {
		return operator.New(c.Servers, "http", peer.NewClient(options)), nil
	}
	credentials, err := peer.LoadCredentials(peer.Files{
		Certificate: c.Certificate, Key: c.Key, Authority: c.Authority,
	}, time.Now)
	if err != nil {
		return nil, fmt.Errorf("operator's credentials: %w", err)
	}
	options.Credentials = credentials
	return operator.New(c.Servers, "https", peer.NewClient(options)), nil
}

// context bounds a command.
func (c *Connection) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.Timeout)
}

// UsageError is a fault in the arguments.
type UsageError struct{ text string }

// Error returns the text.
func (e *UsageError) Error() string { return e.text }

func usage(format string, args ...any) error { return &UsageError{fmt.Sprintf(format, args...)} }
