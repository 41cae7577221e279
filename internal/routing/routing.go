// Package routing derives the bucket table of each service from a configuration snapshot. Every process that has the
// same revision derives the same table.
package routing

import (
	"net/netip"

	"github.com/plantainseam/plantainseam/internal/model"
)

// Buckets is the number of buckets of a service.
const Buckets = 256

// MaxCandidates bounds the candidates in a routing header.
const MaxCandidates = 4

// Table holds the buckets of every service of one snapshot. It is immutable after Build.
type Table struct {
	revision   model.Revision
	byFrontend map[netip.AddrPort]*model.Service
	candidates map[model.ServiceID][][]model.HostID // by bucket
}
