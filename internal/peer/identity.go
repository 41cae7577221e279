// Package peer carries calls between the system's processes and from operators: mutual TLS with files that are read
// again when they change, role checks per twirp service, and the hybrid logical clock in headers.
package peer

import (
	"context"
	"crypto/x509"
	"fmt"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"

	"github.com/plantainseam/plantainseam/internal/result"
)

// Role says what a peer may call. It is the organizational unit of the peer's certificate.
type Role string

// Roles of peers.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
)

// Identity is who makes a call.
type Identity struct {
	Name  string // common name of the certificate
	Roles []Role
}

// Has tells whether the peer has a role.
func (id Identity) Has(r Role) bool {
	for _, have := range id.Roles {
		if have == r {
			return true
		}
	}
	return false
}

type contextKey struct{}

// FromContext returns the identity of the caller of a twirp method.
func FromContext(ctx context.Context) (Identity, bool) {
	id, ok := ctx.Value(contextKey{}).(Identity)
	return id, ok
}

// WithIdentity returns a context that carries an identity.
func WithIdentity(ctx context.Context, id Identity) context.Context {
	return context.WithValue(ctx, contextKey{}, id)
}

// Headers that name the caller when plain text is allowed.
const (
	nameHeader = "Plantainseam-Peer"
	roleHeader = "Plantainseam-Role"
)

// Rules lists the roles that may call each twirp service, by the service's path prefix.
type Rules map[string][]Role

// Authorize admits calls whose identity has a role that the rules allow. With insecure set the identity is taken from
// headers, otherwise from the verified client certificate. A path without a rule is refused.
func Authorize(rules Rules, insecure bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, err := identify(r, insecure)
		if err == nil {
			err = rules.check(id, r.URL.Path)
		}
		if err != nil {
			_ = twirp.WriteError(w, twirp.NewError(twirp.PermissionDenied, err.Error()))
			return
		}
		next.ServeHTTP(w, r.WithContext(WithIdentity(r.Context(), id)))
	})
}

func identify(r *http.Request, insecure bool) (Identity, error) {
	if insecure {
		id := Identity{Name: r.Header.Get(nameHeader)}
		for _, role := range strings.Split(r.Header.Get(roleHeader), ",") {
			id.Roles = append(id.Roles, Role(role))
		}
		return id, nil
	}
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return Identity{}, result.Errorf(result.PeerNotPermitted, "no verified client certificate")
	}
	return identityOf(r.TLS.VerifiedChains[0][0]), nil
}

func identityOf(cert *x509.Certificate) Identity {
	id := Identity{Name: cert.Subject.CommonName}
	for _, unit := range cert.Subject.OrganizationalUnit {
		id.Roles = append(id.Roles, Role(unit))
	}
	return id
}

func (r Rules) check(id Identity, path string) error {
	for prefix, roles := range r {
		if !strings.HasPrefix(path, prefix) {
			continue
		}
		for _, role := range roles {
			if id.Has(role) {
				return nil
			}
		}
		return result.Errorf(result.PeerNotPermitted, "%s with roles %v may not call %s", id.Name, id.Roles, path)
	}
	return result.Errorf(result.PeerNotPermitted, "no service at %s", path)
}

// CheckHost refuses a call in which a peer speaks for another host than its certificate names.
func CheckHost(ctx context.Context, host string) error {
	id, ok := FromContext(ctx)
	if !ok {
		return result.Errorf(result.PeerNotPermitted, "the call has no identity")
	}
	if id.Name != host {
		return result.Errorf(result.PeerNotPermitted, "%s may not speak for %s", id.Name, host)
	}
	return nil
}

// String returns name and roles for logs.
func (id Identity) String() string { return fmt.Sprintf("%s%v", id.Name, id.Roles) }
