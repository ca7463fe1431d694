package node

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// A leader must not hand over for a burst, to a smaller or leaving node, or again and again
// when the work overloads every leader.
func TestOverloadedLeaderHandsOverOnlyIfThatHelps(t *testing.T) {
	g := NewWithT(t)
	peer := Member{Node: "b", CPUShare: 0.8}
	base := overload{now: time.Minute, termStartedAt: 50 * time.Second, lateFor: handOverAfter, cpuShare: 0.8, others: []Member{peer}}
	g.Expect(base.shouldHandOver()).To(BeTrue())
	for name, change := range map[string]func(o *overload){
		"too much work":    func(o *overload) { o.used = o.lateFor * 4 / 10 },
		"a burst":          func(o *overload) { o.lateFor = handOverAfter - time.Millisecond },
		"a young term":     func(o *overload) { o.termStartedAt = o.now - minHandOverTerm + time.Millisecond },
		"a recent release": func(o *overload) { o.released, o.releasedAt = true, o.now-handOverRest+time.Millisecond },
		"no other node":    func(o *overload) { o.others = nil },
		"a smaller node":   func(o *overload) { o.others[0].CPUShare = 0.5 },
		"a leaving node":   func(o *overload) { o.others[0].Leaving = true },
	} {
		o := base
		o.others = []Member{peer}
		change(&o)
		g.Expect(o.shouldHandOver()).To(BeFalse(), name)
	}
	o := base
	o.released, o.releasedAt = true, o.now-handOverRest
	g.Expect(o.shouldHandOver()).To(BeTrue())
}

// A leader whose processor becomes slow must leave the dispatching to a sound node, and
// callers' jobs must be started again without delay.
func TestSlowLeaderHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScarceCluster(t, 1, callCost)
		defer s.close()
		s.submitLongRunning()
		slow := s.leader().name
		s.processors[slow].SetSlowdown(20)
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			if p := s.leader(); p != nil && p.name != slow {
				break
			}
		}
		s.Expect(s.leader().name).NotTo(Equal(slow))
		time.Sleep(handOverRest)
		s.Expect(s.leader().name).NotTo(Equal(slow), "the slow node must leave claims to others")
		s.Expect(s.violations()).To(BeEmpty())
	})
}

// The time since answers were late in an earlier term, in which the node got little work, must
// not count against the processor of the next term.
func TestLatenessOfEarlierTermDoesNotCount(t *testing.T) {
	g := NewWithT(t)
	n := &Node{lateness: lateness{late: true, since: time.Second}}
	n.deps.ProcessorTime = func() time.Duration { return 0 }
	n.handOverIfOverloaded(t.Context())
	_, since := n.lateness.observe(time.Hour, time.Minute, true)
	g.Expect(since).To(BeZero())
}
