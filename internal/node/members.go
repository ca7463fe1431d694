package node

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

// member is another node, as it has written itself into the store.
type member struct {
	node    string
	address string
	// busyUntil is when its calls to the policy service are expected to be answered.
	busyUntil time.Duration
	// downUntil keeps calls away after one that failed.
	downUntil time.Duration
	failures  int
}

func (m *member) busy(now time.Duration) time.Duration { return max(0, m.busyUntil-now) }

// memberRecord is what a node writes of itself.
type memberRecord struct {
	Address string `json:"a"`
	// Leaving is set by a process that stops as planned.
	Leaving bool `json:"l,omitempty"`
	// CPUShare is the share of a core that the process has.
	CPUShare float64 `json:"c,omitempty"`
	// Domain is the failure domain that the node is in.
	Domain string `json:"d,omitempty"`
}

// members is the holder's view of the nodes that can ask the policy service.
type members struct {
	self  string
	nodes map[string]*member
	// records are the newest ones by name, this node's included.
	records map[string][]byte
	// token is the one that the published membership goes by.
	token int64
}

// adviceEnded tells that a call through a node is over.
type adviceEnded struct {
	node   string
	failed bool
}

func newMembers(self string) *members {
	return &members{self: self, nodes: map[string]*member{self: {node: self}}}
}

// calm forgets what calls were out in a former term.
func (m *members) calm() {
	for _, x := range m.nodes {
		x.busyUntil, x.downUntil, x.failures = 0, 0, 0
	}
}

// addresses returns the other nodes' addresses, the given one first.
func (m *members) addresses(first string) []string {
	var out []string
	for name, x := range m.nodes {
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

func (m *members) read(records []store.StoredRecord, whole bool) {
	m.noteRecords(records, whole)
	for _, r := range records {
		if r.Key == m.self {
			continue
		}
		if len(r.Value) == 0 {
			delete(m.nodes, r.Key)
			continue
		}
		var rec memberRecord
		if err := json.Unmarshal(r.Value, &rec); err != nil {
			continue
		}
		old := m.nodes[r.Key]
		if old == nil || old.address != rec.Address || !whole {
			m.nodes[r.Key] = &member{node: r.Key, address: rec.Address}
		}
	}
}

const (
	// memberPenalty is how long a node is left alone after a failed call; it doubles.
	memberPenalty     = 500 * time.Millisecond
	memberPenaltyMost = 10 * time.Second
	// busyBound is the backlog above which a node takes no calls that aren't urgent.
	busyBound = 100 * time.Millisecond
	// longCall is from what cost on a call is kept off one node in keptShare.
	longCall  = 120 * time.Millisecond
	keptShare = 3
	// remoteAdvice is added to the cost of a call through another node.
	remoteAdvice = 15 * time.Millisecond
)

// choose books a call on the node that is expected to be done with it first.
// Long calls are kept off a part of the nodes, unless they are overdue, and off
// busy ones, so that urgent calls, which are short, never wait for many: nil
// asks to come back.
func (m *members) choose(now, cost time.Duration, urgent, overdue bool) *member {
	names := make([]string, 0, len(m.nodes))
	for n := range m.nodes {
		names = append(names, n)
	}
	sort.Strings(names)
	var best *member
	var top time.Duration
	kept := len(names) / keptShare
	for i, name := range names {
		x := m.nodes[name]
		if !urgent && (x.busy(now) > busyBound || cost > longCall && !overdue && i < kept) {
			continue
		}
		if now < x.downUntil && name != m.self {
			continue
		}
		done := max(x.busyUntil, now) + cost
		if name != m.self {
			done += remoteAdvice
		}
		if best == nil || done < top {
			best, top = x, done
		}
	}
	if best == nil {
		return nil
	}
	best.busyUntil = max(best.busyUntil, now) + cost
	return best
}

func (m *members) ended(node string, failed bool, now time.Duration) {
	x := m.nodes[node]
	if x == nil {
		return
	}
	if !failed {
		x.failures = 0
		return
	}
	x.failures++
	x.downUntil = now + min(memberPenalty<<min(x.failures, 6), memberPenaltyMost)
	x.busyUntil = now
}

// register writes this node into the store, so that the holder finds it.
func (n *Node) register(ctx context.Context) {
	for ctx.Err() == nil {
		value, _ := json.Marshal(memberRecord{Address: n.address, Leaving: n.desk.leaving.Load(), CPUShare: n.set.Limits.CPUShare, Domain: n.set.Domain})
		callCtx, cancel := context.WithTimeout(ctx, acceptTimeout)
		_, err := n.ports.Store.Append(callCtx, memberPartition, []store.Record{{Key: n.set.Node, Value: value}}, store.AppendOptions{})
		cancel()
		if err == nil {
			return
		}
		pauseFor(ctx, readRetry)
	}
}
