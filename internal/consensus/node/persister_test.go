package node

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/consensus"
)

// Guards against grouped appends that overwrite entries which messages in the send queues still refer to.
func TestGroupLeavesInputAlone(t *testing.T) {
	g := NewWithT(t)
	first := []consensus.Entry{{Index: 5, Term: 1}, {Index: 6, Term: 1}, {Index: 7, Term: 1}}
	var grouped group
	grouped.add(first)
	grouped.add([]consensus.Entry{{Index: 6, Term: 2}})
	g.Expect(grouped.entries).To(Equal([]consensus.Entry{{Index: 5, Term: 1}, {Index: 6, Term: 2}}))
	g.Expect(first[1].Term).To(Equal(uint64(1)))
}
