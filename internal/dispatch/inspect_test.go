package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Covers the states and wait reasons that operators see.
func TestInspect(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.workers["w2"].unreachable = true
	b.listWorkers()
	b.queuedEvents = append(b.queuedEvents, JobAccepted{Offset: testOffset + 1, Job: &workflow.Job{ID: "a", Queue: "q", Steps: []workflow.Step{
		{Count: 3, Size: workflow.Size{MilliCPU: 1000}}, {Count: 2, DependsOn: []int{0}}}}})
	b.acceptJob("r", testOffset+2, workflow.Step{Requires: "big"}, workflow.Progress{})
	b.queuedEvents = append(b.queuedEvents, JobAccepted{Offset: testOffset + 3, Job: &workflow.Job{ID: "u", Queue: "x", Steps: []workflow.Step{{Count: 1}}}})
	b.queuedEvents = append(b.queuedEvents, JobAccepted{Offset: testOffset + 4, Job: &workflow.Job{ID: "s", Queue: "q", ScheduledOccurrences: 2, FirstDueMillis: 3600e3, IntervalMillis: 5, Steps: []workflow.Step{{Count: 1}}}})
	b.advance(1500 * time.Millisecond)

	ws := b.core.InspectWorkers()
	b.Expect(ws).To(HaveLen(2))
	b.Expect([]string{ws[0].ID, ws[0].State, ws[0].Rack, ws[1].ID, ws[1].State}).To(Equal([]string{"w1", "ready", "r1", "w2", "no-contact"}))
	b.Expect(ws[0].Running).To(Equal(1))
	b.Expect(ws[0].Free).To(Equal(workflow.Size{}))

	a := b.core.InspectJob("a")
	b.Expect(a.Known).To(BeTrue())
	b.Expect(a.Steps).To(HaveLen(2))
	first, second := a.Steps[0], a.Steps[1]
	b.Expect([]int{first.Tasks, first.Running, first.Waiting, first.Done}).To(Equal([]int{3, 1, 2, 0}))
	b.Expect(first.Reason).To(Equal("unusable")) // as frequent as room, and checked first
	b.Expect(first.Detail).To(Equal("unusable 1, room 1, of 2 workers"))
	b.Expect(first.Workers).To(Equal([]string{"w1"}))
	b.Expect(first.Waited).To(BeNumerically(">", time.Second))
	b.Expect([]string{second.Reason, second.Detail}).To(Equal([]string{"depends-on", "on step 0"}))

	b.Expect(b.core.InspectJob("r").Steps[0].Detail).To(Equal("unusable 1, label 1, of 2 workers"))
	b.Expect(b.core.InspectJob("u").Steps[0].Reason).To(Equal("queue-unknown"))
	b.Expect(b.core.InspectJob("s").NextDue).To(BeEquivalentTo(3600e3))
	b.Expect(b.core.InspectJob("none").Known).To(BeFalse())
	b.queuedEvents = append(b.queuedEvents, JobCancelled{ID: "r"})
	b.advance(tick)
	b.Expect(b.core.InspectJob("r").Final).To(Equal(workflow.Cancelled))
}
