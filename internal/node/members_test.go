package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLongAdviceCallsKeepNodesFreeUnlessOverdue guards against long policy calls
// that occupy all nodes, so that urgent calls must wait. Overdue long calls may use
// the reserved nodes.
func TestLongAdviceCallsKeepNodesFreeUnlessOverdue(t *testing.T) {
	g := NewWithT(t)
	m := newMemberSet("a")
	m.policyNodes["b"], m.policyNodes["c"] = &policyNode{node: "b"}, &policyNode{node: "c"}
	const long = 600 * time.Millisecond
	g.Expect(m.reservePolicyNode(0, long, false, false).node).To(Equal("b"))
	g.Expect(m.reservePolicyNode(0, long, false, false).node).To(Equal("c"))
	g.Expect(m.reservePolicyNode(0, long, false, false)).To(BeNil(), "the last node is reserved for urgent calls")
	g.Expect(m.reservePolicyNode(0, long, false, true).node).To(Equal("a"))
	g.Expect(m.reservePolicyNode(0, long, false, true)).To(BeNil(), "all nodes are busy")
	g.Expect(m.reservePolicyNode(0, 20*time.Millisecond, true, false)).NotTo(BeNil())
}

// TestUnansweredPolicyCallsAreNotRepeatedThroughTheLeader guards against a queue at the
// policy service that feeds itself: calls that the leader no longer waits for still
// take their turn there, so that its next ones come too late as well.
func TestUnansweredPolicyCallsAreNotRepeatedThroughTheLeader(t *testing.T) {
	g := NewWithT(t)
	m := newMemberSet("a")
	m.policyNodes["b"], m.policyNodes["c"] = &policyNode{node: "b"}, &policyNode{node: "c"}
	const cost, calls = 70 * time.Millisecond, 50
	through := map[string]int{}
	for i := range calls {
		now := time.Duration(i) * cost
		x := m.reservePolicyNode(now, cost, true, false)
		through[x.node]++
		m.handlePolicyCallDone(x.node, x.node == "a", now+cost)
	}
	g.Expect(through["a"]).To(BeNumerically("<=", 3), "%v", through)

	alone := newMemberSet("a")
	alone.handlePolicyCallDone("a", true, 0)
	g.Expect(alone.reservePolicyNode(0, cost, true, false)).NotTo(BeNil(), "there is no other node")
	alone.handlePolicyCallDone("a", true, 0)
	g.Expect(alone.policyNodes["a"].backlog(0)).To(Equal(cost), "the service still works on it")
}
