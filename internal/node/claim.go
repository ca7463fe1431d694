package node

import (
	"hash/fnv"
	"time"
)

const (
	// claimSpread spreads the claims of nodes that may claim at the same time.
	claimSpread = 100 * time.Millisecond
	// largerBy is by what factor a node must have more processor time to be let claim first.
	largerBy = 1.5
	// smallShare is the share of a core below which a node takes others to be
	// larger while it doesn't know them.
	smallShare = 0.3
	// smallDelay is how much longer a node waits for larger ones that read the
	// tenure without pauses: all nodes start within 0.3 s.
	smallDelay = 400 * time.Millisecond
	// distantDelay is the same if there are larger ones that read it with pauses.
	distantDelay = distantTenurePause + claimSpread
)

// ClaimDelay spreads the claims of nodes by their names.
func ClaimDelay(name string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(name))
	return time.Duration(h.Sum32()%uint32(claimSpread/time.Millisecond)) * time.Millisecond
}

// deferral returns how much longer the named node, which has the share of a
// core, leaves a free right to larger ones. The former holder isn't waited for.
// The members are known to be all only when known is set.
func deferral(name string, share float64, former string, ms []Member, known bool) time.Duration {
	larger := 0
	for _, m := range ms {
		if m.Node != name && m.Node != former && !m.Leaving && m.CPUShare > largerBy*share {
			larger++
		}
	}
	switch {
	case larger > closeFollowers:
		return distantDelay
	case larger > 0, !known && share > 0 && share < smallShare:
		return smallDelay
	}
	return 0
}

// deferClaims has the tenure go by the members that are known. Before the first
// claim of all, not all may have written themselves into the store.
func (n *Node) deferClaims(ms []Member) {
	h, _ := n.tenure.Leader()
	known := n.members.records != nil && h.Node != ""
	n.tenure.SetDeferral(deferral(n.set.Node, n.set.Limits.CPUShare, h.Node, ms, known))
}
