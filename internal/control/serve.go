package control

import (
	"slices"
	"strings"

	"github.com/plantainseam/plantainseam/internal/dissemination"
	"github.com/plantainseam/plantainseam/rpc/configpb"
	"github.com/plantainseam/plantainseam/rpc/intentpb"
	"github.com/plantainseam/plantainseam/rpc/memberpb"
)

// The servers implement the generated interfaces.
var (
	_ intentpb.Intents       = (*IntentsServer)(nil)
	_ memberpb.Membership    = (*MembershipServer)(nil)
	_ configpb.Configuration = (*dissemination.Server)(nil)
)

func sortInForce(list []*intentpb.InForce) {
	slices.SortFunc(list, func(a, b *intentpb.InForce) int { return strings.Compare(a.Host, b.Host) })
}
