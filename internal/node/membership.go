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

// Member is a node according to the store's records. A killed node stays a member
// until another process takes its name.
type Member struct {
	Node, Address string
	// Leader is set if the node is the leader, with the given Token.
	Leader bool
	Token  int64
	// Leaving is set if the node's process is shutting down as planned, or has done
	// so.
	Leaving bool
	// CPUShare is the node's share of a core.
	CPUShare float64
	// Domain is the node's failure domain, empty if unknown.
	Domain string
}

// BuildMembership returns the members, who of them is the leader and who is
// leaving, sorted by name. It takes the newest record of each key in the members'
// partition, and the leader's record with its token, 0 if there is no leader. The
// entry, the dispatcher and the operators' command line all use it.
func BuildMembership(records map[string][]byte, leader tenure.Record, token int64) []Member {
	var out []Member
	held := token == 0
	for name, value := range records {
		var rec memberRecord
		if json.Unmarshal(value, &rec) != nil {
			continue
		}
		m := Member{Node: name, Address: rec.Address, Leaving: rec.Leaving, CPUShare: rec.CPUShare, Domain: rec.Domain}
		if token != 0 && name == leader.Node {
			// The leadership record is newer than what the leader registered at its start.
			m.Leader, m.Token, held = true, token, true
			if leader.Address != "" {
				m.Address = leader.Address
			}
		}
		out = append(out, m)
	}
	if !held {
		out = append(out, Member{Node: leader.Node, Address: leader.Address, Leader: true, Token: token})
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Node, b.Node) })
	return out
}

// candidateCount is how many nodes besides the leader see each of its heartbeats at
// once. The others notice the loss of the leader later, by up to the interval
// between their reads.
const candidateCount = 3

// takeoverCandidates returns the names of the members that take over first: those
// with the highest CPU share, because the leader works for all workers. All nodes
// that know the same members choose the same candidates. Among members of equal
// share the choice is spread over the names, and thus over the failure domains that
// names begin with.
func takeoverCandidates(ms []Member) []string {
	eligible := eligibleMembers(ms)
	var out []string
	for _, r := range eligible[:min(len(eligible), candidateCount)] {
		out = append(out, r.Node)
	}
	return out
}

// eligibleMembers returns the members that are neither the leader nor leaving, in
// the order of sortedByCPUShare.
func eligibleMembers(ms []Member) []Member {
	return sortedByCPUShare(slices.DeleteFunc(slices.Clone(ms), func(m Member) bool { return m.Leader || m.Leaving }))
}

// sortedByCPUShare returns the members by descending CPU share, and among equals by
// a hash of their names.
func sortedByCPUShare(ms []Member) []Member {
	sorted := slices.Clone(ms)
	nameHash := make(map[string]uint32, len(sorted))
	for _, m := range sorted {
		h := fnv.New32a()
		h.Write([]byte(m.Node))
		nameHash[m.Node] = h.Sum32()
	}
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(nameHash[a.Node], nameHash[b.Node]), strings.Compare(a.Node, b.Node))
	})
	return sorted
}

// logSource says from where a node follows the job log.
type logSource struct {
	// domainReaders are the addresses of the nodes that precede this one in its
	// failure domain; the first that answers is the domain's reader. If there are
	// none, the node reads from the leader.
	domainReaders []string
	// servesDomain is set if other nodes of the failure domain may follow the log
	// through this one.
	servesDomain bool
}

// logSourceFor returns the log source of a member. A failure domain has one reader,
// so that the leader serves one node of each domain and not all of them. In the
// leader's own domain, and where a domain is unknown, each node reads from the
// leader itself.
func logSourceFor(ms []Member, node string) logSource {
	leader := slices.IndexFunc(ms, func(m Member) bool { return m.Leader })
	self := slices.IndexFunc(ms, func(m Member) bool { return m.Node == node })
	if leader < 0 || self < 0 || ms[leader].Domain == "" || ms[self].Domain == "" || ms[self].Domain == ms[leader].Domain {
		return logSource{}
	}
	domain := slices.DeleteFunc(eligibleMembers(ms), func(m Member) bool { return m.Domain != ms[self].Domain })
	at := slices.IndexFunc(domain, func(m Member) bool { return m.Node == node })
	if at < 0 {
		return logSource{} // the node is leaving
	}
	out := logSource{servesDomain: len(domain) > 1}
	for _, m := range domain[:at] {
		out.domainReaders = append(out.domainReaders, m.Address)
	}
	return out
}

// isTakeoverCandidate reports whether this node reads each heartbeat of the leader,
// or is the leader, or may be either as far as it knows.
func (n *Node) isTakeoverCandidate() bool {
	ms := n.Members()
	others := slices.ContainsFunc(ms, func(m Member) bool { return m.Leader && m.Node != n.settings.Node })
	return !others || slices.Contains(takeoverCandidates(ms), n.settings.Node)
}

// storeRecords keeps the newest record of each member.
func (m *memberSet) storeRecords(records []store.StoredRecord, whole bool) {
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

// publishMembership publishes the membership and removes leaving nodes from those
// that are sent calls. It returns the address of the leader, or of the previous
// leader during a handover, or "" if that is this node.
func (n *Node) publishMembership() string {
	h, _ := n.leadership.Leader()
	ms := BuildMembership(n.members.records, h, n.leadership.Token())
	n.membership.Store(&ms)
	n.updateClaimDeferral(ms)
	rs := logSourceFor(ms, n.settings.Node)
	n.logSource.Store(&rs)
	sources := loadSourcesFor(ms, n.settings.Node)
	n.bulkSources.Store(&sources)
	n.members.token = n.leadership.Token()
	address := ""
	if previous, ok := n.leadership.PreviousLeader(); ok && previous.Address != n.address {
		address = previous.Address
	}
	for _, m := range ms {
		if m.Leaving && m.Node != n.settings.Node {
			delete(n.members.policyNodes, m.Node)
		}
		if m.Leader && m.Address != n.address {
			address = m.Address
		}
	}
	return address
}

// publishLeadershipChange publishes the membership again if leadership has changed
// by this node's own action.
func (n *Node) publishLeadershipChange() {
	if n.leadership.Token() != n.members.token {
		n.publishPeerAddresses()
	}
}

// Members returns the membership as this node knows it. It may be called
// concurrently. The result must not be modified.
func (n *Node) Members() []Member {
	if p := n.membership.Load(); p != nil {
		return *p
	}
	return nil
}
