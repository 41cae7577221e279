package node

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/plantainseam/plantainseam/internal/consensus"
)

// An append batch must not overwrite entries that messages in the send queues still refer to.
func TestAppendBatchCopiesInput(t *testing.T) {
	g := NewWithT(t)
	first := []consensus.Entry{{Index: 5, Term: 1}, {Index: 6, Term: 1}, {Index: 7, Term: 1}}
	var batch appendBatch
	batch.add(first)
	batch.add([]consensus.Entry{{Index: 6, Term: 2}})
	g.Expect(batch.entries).To(Equal([]consensus.Entry{{Index: 5, Term: 1}, {Index: 6, Term: 2}}))
	g.Expect(first[1].Term).To(Equal(uint64(1)))
}
