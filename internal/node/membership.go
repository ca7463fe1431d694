package node

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/tenure"
)

// Member is one node as the store's records show it. One that was killed stays
// a member until another process takes its name.
type Member struct {
	Node, Address string
	// Holds tells that it holds the right to place, under Token.
	Holds bool
	Token int64
	// Leaving tells that its process stops as planned, or has done so.
	Leaving bool
	// CPUShare is the share of a core that it has.
	CPUShare float64
	// Domain is the failure domain that it is in, empty if that isn't known.
	Domain string
}

// Membership says who is a member, who holds the right to place and who is
// leaving, in order of names: by the newest records of the members' partition,
// by key, and the holder's record with its token, 0 for none. The entry, the
// dispatcher and the operators' command line all go by it.
func Membership(records map[string][]byte, holder tenure.Record, token int64) []Member {
	var out []Member
	held := token == 0
	for name, value := range records {
		var rec memberRecord
		if json.Unmarshal(value, &rec) != nil {
			continue
		}
		m := Member{Node: name, Address: rec.Address, Leaving: rec.Leaving, CPUShare: rec.CPUShare, Domain: rec.Domain}
		if token != 0 && name == holder.Node {
			// The holder's own record is newer than what it wrote at its start.
			m.Holds, m.Token, held = true, token, true
			if holder.Address != "" {
				m.Address = holder.Address
			}
		}
		out = append(out, m)
	}
	if !held {
		out = append(out, Member{Node: holder.Node, Address: holder.Address, Holds: true, Token: token})
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Node, b.Node) })
	return out
}

// closeFollowers is how many nodes beside the holder see each of its beats at
// once. The others see a loss of the holder later by the pause between their reads.
const closeFollowers = 3

// closest returns the names of the members that are to take over first: those
// with the most processor time, as the holder does the work for all workers.
// All nodes that know the same members name the same ones. Among equals they are
// spread over the names, and so over the domains that names begin with.
func closest(ms []Member) []string {
	rs := ranked(ms)
	var out []string
	for _, r := range rs[:min(len(rs), closeFollowers)] {
		out = append(out, r.Node)
	}
	return out
}

// ranked returns the members that neither hold the right nor are leaving, in the
// order of byProcessor.
func ranked(ms []Member) []Member {
	return byProcessor(slices.DeleteFunc(slices.Clone(ms), func(m Member) bool { return m.Holds || m.Leaving }))
}

// byProcessor returns the members, those with the most processor time first, and
// among equals by a hash of their names.
func byProcessor(ms []Member) []Member {
	rs := slices.Clone(ms)
	rank := make(map[string]uint32, len(rs))
	for _, m := range rs {
		h := fnv.New32a()
		h.Write([]byte(m.Node))
		rank[m.Node] = h.Sum32()
	}
	slices.SortFunc(rs, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(rank[a.Node], rank[b.Node]), strings.Compare(a.Node, b.Node))
	})
	return rs
}

// readers says where a node follows the log of jobs.
type readers struct {
	// ahead are the addresses of the nodes of its failure domain that come
	// before it: the first that answers is the domain's reader. With none the
	// node reads at the holder.
	ahead []string
	// shared tells that other nodes of the domain may follow the log through it.
	shared bool
}

// readersOf returns the readers of a member. A domain has one, so that the
// holder serves one node of each and not all; in the holder's own, and where a
// domain isn't known, each node reads at the holder itself.
func readersOf(ms []Member, node string) readers {
	holder := slices.IndexFunc(ms, func(m Member) bool { return m.Holds })
	self := slices.IndexFunc(ms, func(m Member) bool { return m.Node == node })
	if holder < 0 || self < 0 || ms[holder].Domain == "" || ms[self].Domain == "" || ms[self].Domain == ms[holder].Domain {
		return readers{}
	}
	domain := slices.DeleteFunc(ranked(ms), func(m Member) bool { return m.Domain != ms[self].Domain })
	at := slices.IndexFunc(domain, func(m Member) bool { return m.Node == node })
	if at < 0 {
		return readers{} // it is leaving
	}
	out := readers{shared: len(domain) > 1}
	for _, m := range domain[:at] {
		out.ahead = append(out.ahead, m.Address)
	}
	return out
}

// followsClosely reports whether this node reads each beat of the holder, or is
// the holder, or may be either for all that it knows.
func (n *Node) followsClosely() bool {
	ms := n.Members()
	others := slices.ContainsFunc(ms, func(m Member) bool { return m.Holds && m.Node != n.set.Node })
	return !others || slices.Contains(closest(ms), n.set.Node)
}

// noteRecords keeps the newest record of each member.
func (m *members) noteRecords(records []store.StoredRecord, whole bool) {
	if whole || m.records == nil {
		m.records = map[string][]byte{}
	}
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(m.records, r.Key)
		} else {
			m.records[r.Key] = r.Value
		}
	}
}

// readMembership publishes the membership and takes leaving nodes out of those
// that are asked for something. It returns the address of the holder, or of the
// one that hands over, if that is another node.
func (n *Node) readMembership() string {
	h, _ := n.tenure.Leader()
	ms := Membership(n.members.records, h, n.tenure.Token())
	n.membership.Store(&ms)
	n.deferClaims(ms)
	rs := readersOf(ms, n.set.Node)
	n.readers.Store(&rs)
	sources := bulkSourcesOf(ms, n.set.Node)
	n.bulkSources.Store(&sources)
	n.members.token = n.tenure.Token()
	address := ""
	if former, ok := n.tenure.FormerLeader(); ok && former.Address != n.address {
		address = former.Address
	}
	for _, m := range ms {
		if m.Leaving && m.Node != n.set.Node {
			delete(n.members.nodes, m.Node)
		}
		if m.Holds && m.Address != n.address {
			address = m.Address
		}
	}
	return address
}

// followRight publishes the membership anew when the right has moved by this
// node's own act.
func (n *Node) followRight() {
	if n.tenure.Token() != n.members.token {
		n.publishPeers()
	}
}

// Members returns the membership as this node knows it. It may be called
// concurrently; what it returns must not be changed.
func (n *Node) Members() []Member {
	if p := n.membership.Load(); p != nil {
		return *p
	}
	return nil
}
