package control

import (
	"context"
	"errors"

	"github.com/plantainseam/plantainseam/internal/peer"
	"github.com/plantainseam/plantainseam/internal/result"
)

// operatorName returns the name of the calling operator.
func operatorName(ctx context.Context) (string, error) {
	id, ok := peer.FromContext(ctx)
	if !ok || id.Name == "" {
		return "", result.Errorf(result.PeerNotPermitted, "the call names no operator")
	}
	if !id.Has(peer.RoleOperator) {
		return "", result.Errorf(result.PeerNotPermitted, "%s may not submit intents", id)
	}
	return id.Name, nil
}

// checkAnnouncer checks that a host announces only itself.
func checkAnnouncer(ctx context.Context, host string) error {
	id, _ := peer.FromContext(ctx)
	if !id.Has(peer.RoleEntry) && !id.Has(peer.RoleUpstream) {
		return result.Errorf(result.PeerNotPermitted, "%s may not announce", id)
	}
	return peer.CheckHost(ctx, host)
}

func detailOf(err error) string {
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded.Detail()
	}
	return err.Error()
}
