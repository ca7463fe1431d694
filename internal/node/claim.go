package node

import (
	"hash/fnv"
	"time"
)

const (
	// claimSpread spreads the claims of nodes that may claim at the same time.
	claimSpread = 100 * time.Millisecond
	// smallShare is the share of a core below which a node claims by smallDelay
	// later: all nodes start within 0.3 s.
	smallShare = 0.3
	smallDelay = 400 * time.Millisecond
)

// ClaimDelay spreads the claims of nodes by their names.
func ClaimDelay(name string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(name))
	return time.Duration(h.Sum32()%uint32(claimSpread/time.Millisecond)) * time.Millisecond
}

// deferral returns how much longer a node with the share of a core leaves a free
// right to others.
func deferral(share float64) time.Duration {
	if share > 0 && share < smallShare {
		return smallDelay
	}
	return 0
}
