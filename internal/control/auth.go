package control

import (
	"context"
	"errors"

	"github.com/twitchtv/twirp"

	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/rpc/configpb"
)

// Caller is who makes a call, as an authentication hook found in the peer's certificate.
type Caller struct {
	Name string // operator or host
	Role string // role in the certificate
}

// Roles that a certificate may carry.
const (
	RoleOperator = "operator"
	RoleEntry    = "entry"
	RoleUpstream = "upstream"
	RoleControl  = "control"
)

type callerKey struct{}

// WithCaller returns a context that carries the authenticated caller.
func WithCaller(ctx context.Context, c Caller) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// CallerFrom returns the authenticated caller.
func CallerFrom(ctx context.Context) (Caller, bool) {
	c, ok := ctx.Value(callerKey{}).(Caller)
	return c, ok
}

// Auth checks the role of callers. Open is for settings without mutual TLS: roles are then not checked, but an operator
// must still be named.
type Auth struct {
	Open bool
}

// operator returns the name of the calling operator.
func (a Auth) operator(ctx context.Context) (string, error) {
	c, ok := CallerFrom(ctx)
	if !ok || c.Name == "" {
		return "", result.Errorf(result.PeerNotPermitted, "the call names no operator")
	}
	if !a.Open && c.Role != RoleOperator {
		return "", result.Errorf(result.PeerNotPermitted, "role %q may not submit intents", c.Role)
	}
	return c.Name, nil
}

// host checks that a host announces only itself.
func (a Auth) host(ctx context.Context, host string) error {
	if a.Open {
		return nil
	}
	c, _ := CallerFrom(ctx)
	if c.Role != RoleEntry && c.Role != RoleUpstream {
		return result.Errorf(result.PeerNotPermitted, "role %q may not announce", c.Role)
	}
	if c.Name != host {
		return result.Errorf(result.PeerNotPermitted, "%s may not announce %s", c.Name, host)
	}
	return nil
}

// ConfigurationServer serves the configuration to the system's own processes only. It implements
// configpb.Configuration; a Fetch is bounded by dissemination.MaxWait.
type ConfigurationServer struct {
	server configpb.Configuration
	auth   Auth
}

// NewConfigurationServer returns a server that checks the role of its callers.
func NewConfigurationServer(s configpb.Configuration, auth Auth) *ConfigurationServer {
	return &ConfigurationServer{server: s, auth: auth}
}

// Fetch checks the caller's role and passes the call on. A refusal is a twirp error with the code permission_denied.
func (s *ConfigurationServer) Fetch(ctx context.Context, req *configpb.FetchRequest) (*configpb.FetchResponse, error) {
	c, _ := CallerFrom(ctx)
	if !s.auth.Open && c.Role != RoleEntry && c.Role != RoleUpstream && c.Role != RoleControl {
		return nil, twirp.NewError(twirp.PermissionDenied, result.Errorf(result.PeerNotPermitted, "role %q may not fetch", c.Role).Error())
	}
	return s.server.Fetch(ctx, req)
}

func detailOf(err error) string {
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded.Detail()
	}
	return err.Error()
}
