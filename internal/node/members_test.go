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
