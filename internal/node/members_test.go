package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestLongCallsLeaveNodesFreeUnlessTheyAreOverdue(t *testing.T) {
	g := NewWithT(t)
	m := newMembers("a")
	m.nodes["b"], m.nodes["c"] = &member{node: "b"}, &member{node: "c"}
	const long = 600 * time.Millisecond
	g.Expect(m.choose(0, long, false, false).node).To(Equal("b"))
	g.Expect(m.choose(0, long, false, false).node).To(Equal("c"))
	g.Expect(m.choose(0, long, false, false)).To(BeNil(), "the last node is kept for urgent calls")
	g.Expect(m.choose(0, long, false, true).node).To(Equal("a"))
	g.Expect(m.choose(0, long, false, true)).To(BeNil(), "all nodes are busy")
	g.Expect(m.choose(0, 20*time.Millisecond, true, false)).NotTo(BeNil())
}
