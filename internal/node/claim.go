package node

import (
	"hash/fnv"
	"time"
)

const (
	// claimJitter is the range over which the claims of simultaneous candidates are
	// spread.
	claimJitter = 100 * time.Millisecond
	// largerFactor is how many times a node's CPU share another node must have to
	// claim first.
	largerFactor = 1.5
	// smallCPUShare is the share of a core below which a node assumes that others are
	// larger until it knows them.
	smallCPUShare = 0.3
	// smallNodeDelay is the extra delay of a node while larger nodes read the
	// leadership log without a pause. All nodes start within 0.3 s.
	smallNodeDelay = 400 * time.Millisecond
	// slowPollerDelay is the extra delay if some larger nodes read the leadership log
	// at intervals.
	slowPollerDelay = slowLeadershipPollInterval + claimJitter
)

// ClaimDelay returns a node's claim jitter, derived from its name.
func ClaimDelay(name string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(name))
	return time.Duration(h.Sum32()%uint32(claimJitter/time.Millisecond)) * time.Millisecond
}

// claimDeferral returns how much longer the named node, which has the given share
// of a core, leaves a vacant leadership to larger nodes. It does not wait for the
// previous leader. Unless membersKnown is set, members may be incomplete.
func claimDeferral(name string, share float64, previousLeader string, members []Member, membersKnown bool) time.Duration {
	larger := 0
	for _, m := range members {
		if m.Node != name && m.Node != previousLeader && !m.Leaving && m.CPUShare > largerFactor*share {
			larger++
		}
	}
	switch {
	case larger > candidateCount:
		return slowPollerDelay
	case larger > 0, !membersKnown && share > 0 && share < smallCPUShare:
		return smallNodeDelay
	}
	return 0
}

// updateClaimDeferral sets the claim deferral from the known members. Before the
// very first claim, some nodes may not have registered yet.
func (n *Node) updateClaimDeferral(members []Member) {
	h, _ := n.leadership.Leader()
	known := n.members.records != nil && h.Node != ""
	deferral := claimDeferral(n.settings.Node, n.settings.Limits.CPUShare, h.Node, members, known)
	if n.uptime() < n.restUntil {
		deferral = max(deferral, restDeferral)
	}
	n.leadership.SetDeferral(deferral)
}
