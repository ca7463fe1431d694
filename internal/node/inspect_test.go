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

// TestMembership guards against wrong members, leaders or addresses when a record
// is deleted, malformed, or missing for the leader.
func TestMembership(t *testing.T) {
	g := NewWithT(t)
	m := newMemberSet("a")
	m.storeRecords([]store.StoredRecord{
		{Record: store.Record{Key: "b", Value: []byte(`{"a":"b:1"}`)}}, {Record: store.Record{Key: "a", Value: []byte(`{"a":"a:1","l":true}`)}},
		{Record: store.Record{Key: "c", Value: []byte(`{"a":"c:1"}`)}}, {Record: store.Record{Key: "d", Value: []byte(`?`)}},
	}, true)
	m.storeRecords([]store.StoredRecord{{Record: store.Record{Key: "c"}}}, false)
	a, b := Member{Node: "a", Address: "a:1", Leaving: true}, Member{Node: "b", Address: "b:1"}
	g.Expect(BuildMembership(m.records, tenure.Record{Node: "b"}, 0)).To(Equal([]Member{a, b}), "there is no leader")
	held := Member{Node: "b", Address: "b:2", Leader: true, Token: 7}
	g.Expect(BuildMembership(m.records, tenure.Record{Node: "b", Address: "b:2"}, 7)).To(Equal([]Member{a, held}))
	unknown := Member{Node: "z", Address: "z:1", Leader: true, Token: 8}
	g.Expect(BuildMembership(m.records, tenure.Record{Node: "z", Address: "z:1"}, 8)).To(Equal([]Member{a, b, unknown}), "the leader is not registered yet")
	m.storeRecords(nil, true)
	g.Expect(BuildMembership(m.records, tenure.Record{}, 0)).To(BeEmpty())
}

// TestInspect guards against inspections that are published more often than
// inspectionInterval, or that are wrong or incomplete while many goroutines request
// them. It also covers nodes that are not the leader or are leaving.
func TestInspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standardOptions)
		defer c.close()
		for _, name := range []string{"a", "b"} {
			c.startNode(name)
		}
		time.Sleep(2 * time.Second)
		h := c.leader()
		other := c.other(h)
		const id = "00000000000000aa"
		job := workflow.Job{ID: id, Steps: []workflow.Step{{Count: 40, Size: workflow.Size{MilliCPU: 4000}, EstimateMillis: 60000}}}
		c.Expect(c.submit(job, "plain", other).accepted).To(BeTrue())
		time.Sleep(4 * time.Second)

		published := map[*Inspection]bool{}
		seen := make(chan *Inspection, 100)
		began := time.Now()
		for range cap(seen) {
			go func() {
				i, err := h.node.Inspect(c.ctx, InspectRequest{Jobs: true, Workers: true, Job: id})
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
		c.Expect(len(published)).To(BeNumerically("<=", int(time.Since(began)/inspectionInterval)+1))
		c.Expect(i.Dispatching).To(BeTrue())
		c.Expect(i.Workers).To(HaveLen(8))
		c.Expect(i.AllJobs()).To(HaveLen(1))
		c.Expect(i.AllJobs()[0].State).To(Equal(workflow.Running))
		s := i.JobDetails[id].Steps[0]
		c.Expect([]int{s.Tasks, s.Running, s.Waiting}).To(Equal([]int{40, 6, 34}))
		c.Expect(s.Reason).To(Equal("room"))

		i, err := other.node.Inspect(c.ctx, InspectRequest{Job: id})
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(i.Dispatching).To(BeFalse())
		c.Expect(i.JobDetails[id].Known).To(BeFalse())
		_, o := other.node.Queue("plain")
		c.Expect(o.Code).To(Equal(intake.OK))
		_, o = other.node.Queue("none")
		c.Expect(o.Code).To(Equal(intake.QueueNotFound))

		states := func(n *Node) map[string]string {
			out := map[string]string{}
			for _, m := range n.Members() {
				out[m.Node] = map[bool]string{true: "holds"}[m.Leader] + map[bool]string{true: "leaving"}[m.Leaving]
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
		_, err = h.node.Inspect(ctx, InspectRequest{Workers: true})
		c.Expect(err).To(MatchError(ErrInspectionTimeout))
	})
}

// TestTakeoverCandidatesHaveMostCPU guards against takeover candidates with little
// processor time, and against leaving nodes and the leader among them.
func TestTakeoverCandidatesHaveMostCPU(t *testing.T) {
	g := NewWithT(t)
	ms := []Member{{Node: "a", CPUShare: 0.2}, {Node: "b", CPUShare: 0.8, Leader: true}, {Node: "c", CPUShare: 0.8}, {Node: "d", CPUShare: 0.2},
		{Node: "e", CPUShare: 0.8, Leaving: true}, {Node: "f", CPUShare: 0.4}, {Node: "g", CPUShare: 0.8}}
	g.Expect(takeoverCandidates(ms)).To(ConsistOf("c", "g", "f"))
	ms[2].Leaving = true
	g.Expect(takeoverCandidates(ms)).To(ContainElements("g", "f"))
	g.Expect(takeoverCandidates(ms)).To(HaveLen(candidateCount))
}
