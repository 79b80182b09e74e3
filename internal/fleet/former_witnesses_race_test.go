package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// A new leader that was itself a witness of the former one wrote its own answer while it still looked up
// those of the others, in a map without a lock: the process could end. Only the race detector finds it
// reliably.
func TestNextLeaderAsksItselfBesideOtherWitnesses(t *testing.T) {
	n, c := nodeOfOneCell()
	tm := newTestTerm(1)
	tm.number = 2
	members := []witness{{Node: n.cfg.Node, Process: n.cfg.Process}}
	for i := range maxWitnesses - 1 {
		members = append(members, witness{Node: model.NodeID(fmt.Sprint("other", i)), Process: uint64(i + 1)})
	}
	c.confirmations.confirm(1, at(1))
	for range 100 {
		asked := map[witness]time.Time{}
		n.askFormerWitnesses(tm, members, asked)
		require.Equal(t, map[witness]time.Time{members[0]: at(1)}, asked)
	}
}
