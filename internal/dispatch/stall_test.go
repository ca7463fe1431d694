package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// acceptSmallJob queues a job of one task, ten of which fit on a worker.
func (b *harness) acceptSmallJob(id string, offset int64) {
	b.queuedEvents = append(b.queuedEvents, JobAccepted{Offset: offset, Job: &workflow.Job{ID: id, Queue: "q", Spec: "s",
		Steps: []workflow.Step{{Count: 1, Size: workflow.Size{MilliCPU: 100}}}}})
}

// While a heartbeat is delayed, progress isn't visible. Its runs must not be stopped as
// stalled.
func TestRunIsNotStalledWhileItsWorkersListIsOld(t *testing.T) {
	b := newHarness(t, "w1")
	b.listWorkers()
	b.acceptSmallJob("works", 1)
	b.advance(2 * time.Second)
	b.workers["w1"].holdsHeartbeats = true // its next list is delayed
	for i := range 5 {
		b.acceptSmallJob("later"+string(rune('0'+i)), int64(2+i))
		b.advance(400 * time.Millisecond)
	}
	b.Expect(b.starts).To(HaveLen(6), "the worker answers starts")
	b.Expect(b.stops).To(BeEmpty(), "no list shows that the runs are stalled")
}

// newRunningGang returns a harness with a gang that runs one task on each of two
// workers.
func newRunningGang(t *testing.T) *harness {
	b := newHarness(t, "w1", "w2")
	b.listWorkers()
	b.acceptJob("gang", 1, workflow.Step{Count: 2, Gang: true}, workflow.Progress{})
	b.advance(time.Second)
	b.Expect(b.startHosts("gang")).To(ConsistOf("w1", "w2"))
	return b
}

// A gang member that is finished waits for the others and makes no progress. The gang
// must not be stopped for it.
func TestGangIsNotStalledWhileAMemberThatIsThroughWaitsForTheOthers(t *testing.T) {
	b := newRunningGang(t)
	b.workers["w1"].stuckPercent = 100
	b.advance(5 * time.Second)
	b.Expect(b.stops).To(BeEmpty(), "all members progress or are finished")
}

// A gang in which no member makes progress must be stopped.
func TestGangIsStalledWhenNoMemberProgresses(t *testing.T) {
	b := newRunningGang(t)
	b.workers["w1"].stuckPercent, b.workers["w2"].stuckPercent = 100, 50
	b.advance(5 * time.Second)
	b.Expect(b.stops).NotTo(BeEmpty())
}

// While the heartbeat of one member is delayed, its progress isn't visible. The gang must
// not be stopped.
func TestGangIsNotStalledWhileMemberListIsOld(t *testing.T) {
	b := newRunningGang(t)
	b.workers["w1"].stuckPercent = 100
	b.advance(time.Second)
	b.workers["w2"].holdsHeartbeats = true // its next list is delayed
	b.advance(2 * time.Second)
	b.Expect(b.stops).To(BeEmpty())
}
