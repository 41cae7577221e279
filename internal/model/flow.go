package model

import (
	"fmt"
	"net/netip"
)

// FlowKey identifies a caller's TCP connection to a service.
type FlowKey struct {
	Service ServiceID
	Caller  netip.AddrPort
}

// String returns service and caller for logs.
func (k FlowKey) String() string { return fmt.Sprintf("%d|%s", k.Service, k.Caller) }
