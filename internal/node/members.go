package node

import (
	"context"
	"encoding/json"
	"slices"
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

// policyNode is a registered node through which the policy service can be called.
type policyNode struct {
	node    string
	address string
	// busyUntil is when the node's pending calls to the policy service are expected to
	// be answered.
	busyUntil time.Duration
	// downUntil is when the node may be called again after a failed call.
	downUntil time.Duration
	failures  int
}

func (m *policyNode) backlog(now time.Duration) time.Duration { return max(0, m.busyUntil-now) }

// memberRecord is what a node stores about itself.
type memberRecord struct {
	Address string `json:"a"`
	// Leaving is set by a process that is shutting down as planned.
	Leaving bool `json:"l,omitempty"`
	// CPUShare is the process's share of a core.
	CPUShare float64 `json:"c,omitempty"`
	// Domain is the node's failure domain.
	Domain string `json:"d,omitempty"`
}

// memberSet holds the registered nodes and, for the leader, the load of their calls
// to the policy service.
type memberSet struct {
	self        string
	policyNodes map[string]*policyNode
	// records are the newest records by node name, including this node's.
	records map[string][]byte
	// token is the leadership token on which the published membership is based.
	token int64
}

// policyCallDone reports that a policy call through a node has ended.
type policyCallDone struct {
	node   string
	failed bool
}

func newMemberSet(self string) *memberSet {
	return &memberSet{self: self, policyNodes: map[string]*policyNode{self: {node: self}}}
}

// resetPolicyNodes forgets the pending and failed calls of a former term.
func (m *memberSet) resetPolicyNodes() {
	for _, x := range m.policyNodes {
		x.busyUntil, x.downUntil, x.failures = 0, 0, 0
	}
}

// addresses returns the other nodes' addresses, with the address first in front.
func (m *memberSet) addresses(first string) []string {
	var out []string
	for name, x := range m.policyNodes {
		if name != m.self && x.address != first {
			out = append(out, x.address)
		}
	}
	sort.Strings(out)
	if first != "" {
		out = append([]string{first}, out...)
	}
	return out
}

func (m *memberSet) update(records []store.StoredRecord, whole bool) {
	m.storeRecords(records, whole)
	for _, r := range records {
		if r.Key == m.self {
			continue
		}
		if len(r.Value) == 0 {
			delete(m.policyNodes, r.Key)
			continue
		}
		var rec memberRecord
		if err := json.Unmarshal(r.Value, &rec); err != nil {
			continue
		}
		old := m.policyNodes[r.Key]
		if old == nil || old.address != rec.Address || !whole {
			m.policyNodes[r.Key] = &policyNode{node: r.Key, address: rec.Address}
		}
	}
}

const (
	// policyNodeBackoff is how long a node is not called after a failed call. It
	// doubles with each further failure.
	policyNodeBackoff    = 500 * time.Millisecond
	maxPolicyNodeBackoff = 10 * time.Second
	// maxPolicyNodeBacklog is the backlog above which a node gets only urgent calls.
	maxPolicyNodeBacklog = 100 * time.Millisecond
	// Calls that cost more than longPolicyCall are kept off one node in reservedShare.
	longPolicyCall = 120 * time.Millisecond
	reservedShare  = 3
	// remoteCallCost is added to the cost of a call through another node.
	remoteCallCost = 15 * time.Millisecond
)

// reservePolicyNode assigns a call to the node that is expected to complete it
// first. Long calls are kept off some of the nodes, unless they are overdue, and
// non-urgent calls off busy nodes, so that urgent calls, which are short, never
// wait for many others. A node whose calls fail gets none for a while, except this
// one if there is no other. It returns nil if the caller should retry later.
func (m *memberSet) reservePolicyNode(now, cost time.Duration, urgent, overdue bool) *policyNode {
	names := make([]string, 0, len(m.policyNodes))
	for n := range m.policyNodes {
		names = append(names, n)
	}
	sort.Strings(names)
	var best *policyNode
	var earliest time.Duration
	others := slices.ContainsFunc(names, func(name string) bool { return name != m.self && now >= m.policyNodes[name].downUntil })
	reserved := len(names) / reservedShare
	for i, name := range names {
		x := m.policyNodes[name]
		if !urgent && (x.backlog(now) > maxPolicyNodeBacklog || cost > longPolicyCall && !overdue && i < reserved) {
			continue
		}
		if now < x.downUntil && (name != m.self || others) {
			continue
		}
		done := max(x.busyUntil, now) + cost
		if name != m.self {
			done += remoteCallCost
		}
		if best == nil || done < earliest {
			best, earliest = x, done
		}
	}
	if best == nil {
		return nil
	}
	best.busyUntil = max(best.busyUntil, now) + cost
	return best
}

func (m *memberSet) handlePolicyCallDone(node string, failed bool, now time.Duration) {
	x := m.policyNodes[node]
	if x == nil {
		return
	}
	if !failed {
		x.failures = 0
		return
	}
	x.failures++
	x.downUntil = now + min(policyNodeBackoff<<min(x.failures, 6), maxPolicyNodeBackoff)
	if node != m.self {
		x.busyUntil = now
	}
}

// registerMember writes this node's record to the store, so that the leader finds
// it.
func (n *Node) registerMember(ctx context.Context) {
	for ctx.Err() == nil {
		value, _ := json.Marshal(memberRecord{Address: n.address, Leaving: n.desk.leaving.Load(), CPUShare: n.settings.Limits.CPUShare, Domain: n.settings.Domain})
		callCtx, cancel := context.WithTimeout(ctx, acceptTimeout)
		_, err := n.deps.Store.Append(callCtx, memberPartition, []store.Record{{Key: n.settings.Node, Value: value}}, store.AppendOptions{})
		cancel()
		if err == nil {
			return
		}
		sleepContext(ctx, readRetryDelay)
	}
}
