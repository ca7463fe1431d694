package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/tenure"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

func TestMembership(t *testing.T) {
	g := NewWithT(t)
	m := newMembers("a")
	m.noteRecords([]store.StoredRecord{
		{Record: store.Record{Key: "b", Value: []byte(`{"a":"b:1"}`)}}, {Record: store.Record{Key: "a", Value: []byte(`{"a":"a:1","l":true}`)}},
		{Record: store.Record{Key: "c", Value: []byte(`{"a":"c:1"}`)}}, {Record: store.Record{Key: "d", Value: []byte(`?`)}},
	}, true)
	m.noteRecords([]store.StoredRecord{{Record: store.Record{Key: "c"}}}, false)
	a, b := Member{Node: "a", Address: "a:1", Leaving: true}, Member{Node: "b", Address: "b:1"}
	g.Expect(Membership(m.records, tenure.Record{Node: "b"}, 0)).To(Equal([]Member{a, b}), "nobody holds the right")
	held := Member{Node: "b", Address: "b:2", Holds: true, Token: 7}
	g.Expect(Membership(m.records, tenure.Record{Node: "b", Address: "b:2"}, 7)).To(Equal([]Member{a, held}))
	unknown := Member{Node: "z", Address: "z:1", Holds: true, Token: 8}
	g.Expect(Membership(m.records, tenure.Record{Node: "z", Address: "z:1"}, 8)).To(Equal([]Member{a, b, unknown}), "one that is not registered yet")
	m.noteRecords(nil, true)
	g.Expect(Membership(m.records, tenure.Record{}, 0)).To(BeEmpty())
}

// TestInspect asks nodes from many goroutines while they work.
func TestInspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standard)
		defer c.close()
		for _, name := range []string{"a", "b"} {
			c.boot(name)
		}
		time.Sleep(2 * time.Second)
		h := c.holder()
		other := c.other(h)
		const id = "00000000000000aa"
		job := workflow.Job{ID: id, Steps: []workflow.Step{{Count: 40, Size: workflow.Size{MilliCPU: 4000}, EstimateMillis: 60000}}}
		c.Expect(c.hand(job, "plain", other).accepted).To(BeTrue())
		time.Sleep(4 * time.Second)

		published := map[*Inspection]bool{}
		seen := make(chan *Inspection, 100)
		began := time.Now()
		for range cap(seen) {
			go func() {
				i, err := h.node.Inspect(c.ctx, Want{Jobs: true, Workers: true, Job: id})
				if err != nil {
					t.Error(err)
				}
				seen <- i
			}()
			time.Sleep(20 * time.Millisecond)
		}
		var i *Inspection
		for range cap(seen) {
			i = <-seen
			published[i] = true
		}
		c.Expect(len(published)).To(BeNumerically("<=", int(time.Since(began)/inspectEvery)+1))
		c.Expect(i.Dispatching).To(BeTrue())
		c.Expect(i.Workers).To(HaveLen(8))
		c.Expect(i.Table()).To(HaveLen(1))
		c.Expect(i.Table()[0].State).To(Equal(workflow.Running))
		s := i.Jobs[id].Steps[0]
		c.Expect([]int{s.Tasks, s.Running, s.Waiting}).To(Equal([]int{40, 6, 34}))
		c.Expect(s.Reason).To(Equal("room"))

		i, err := other.node.Inspect(c.ctx, Want{Job: id})
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(i.Dispatching).To(BeFalse())
		c.Expect(i.Jobs[id].Known).To(BeFalse())
		_, o := other.node.Queue("plain")
		c.Expect(o.Code).To(Equal(intake.OK))
		_, o = other.node.Queue("none")
		c.Expect(o.Code).To(Equal(intake.QueueNotFound))

		states := func(n *Node) map[string]string {
			out := map[string]string{}
			for _, m := range n.Members() {
				out[m.Node] = map[bool]string{true: "holds"}[m.Holds] + map[bool]string{true: "leaving"}[m.Leaving]
			}
			return out
		}
		c.Expect(states(other.node)).To(Equal(map[string]string{h.name: "holds", other.name: ""}))
		c.Expect(states(h.node)).To(Equal(map[string]string{h.name: "holds", other.name: ""}))
		c.leave(h)
		time.Sleep(6 * time.Second)
		c.Expect(states(other.node)).To(Equal(map[string]string{h.name: "leaving", other.name: "holds"}))
		ctx, cancel := context.WithCancel(c.ctx)
		cancel()
		_, err = h.node.Inspect(ctx, Want{Workers: true})
		c.Expect(err).To(MatchError(ErrNoInspection))
	})
}

func TestNodesWithTheMostProcessorTimeTakeOverFirst(t *testing.T) {
	g := NewWithT(t)
	ms := []Member{{Node: "a", CPUShare: 0.2}, {Node: "b", CPUShare: 0.8, Holds: true}, {Node: "c", CPUShare: 0.8}, {Node: "d", CPUShare: 0.2},
		{Node: "e", CPUShare: 0.8, Leaving: true}, {Node: "f", CPUShare: 0.4}, {Node: "g", CPUShare: 0.8}}
	g.Expect(closest(ms)).To(ConsistOf("c", "g", "f"))
	ms[2].Leaving = true
	g.Expect(closest(ms)).To(ContainElements("g", "f"))
	g.Expect(closest(ms)).To(HaveLen(closeFollowers))
}
