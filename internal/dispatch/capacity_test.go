package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// resize queues a list with the worker's new capacity.
func (b *harness) resize(id string, milliCPU int64) {
	info := testInfo(id, b.workers[id].lists.Born)
	info.Capacity.MilliCPU = milliCPU
	b.queuedEvents = append(b.queuedEvents, WorkersListed{[]worker.Info{info}})
}

func TestShrunkWorkerGetsNothingUntilItHasRoomAgain(t *testing.T) {
	b := newHarness(t, "w1")
	b.listWorkers()
	b.advance(500 * time.Millisecond)
	b.acceptFifths("running", workflow.Step{Count: 4, EstimateMillis: 60_000}, workflow.Progress{})
	b.advance(500 * time.Millisecond)
	b.Expect(b.startHosts("running")).To(HaveLen(4))
	b.resize("w1", 600)
	b.acceptFifths("waiting", workflow.Step{Count: 2, EstimateMillis: 60_000}, workflow.Progress{})
	b.advance(500 * time.Millisecond)
	b.workers["w1"].stopsSlowly = true
	b.queuedEvents = append(b.queuedEvents, JobCancelled{ID: "running"})
	b.advance(500 * time.Millisecond)
	b.Expect(b.stops).NotTo(BeEmpty())
	b.Expect(b.startHosts("waiting")).To(BeEmpty(), "what is being stopped still counts")
	for i := range 2 {
		b.workers["w1"].end(testTaskID("running", i), worker.Stopped)
	}
	b.advance(500 * time.Millisecond)
	b.Expect(b.startHosts("waiting")).To(HaveLen(1), "two of three fifths are still taken")
	b.resize("w1", 1000)
	b.advance(500 * time.Millisecond)
	b.Expect(b.startHosts("waiting")).To(HaveLen(2))
}

func TestStartIsNotSentAgainToShrunkWorker(t *testing.T) {
	b := newHarness(t, "w1")
	b.listWorkers()
	b.advance(500 * time.Millisecond)
	b.acceptFifths("running", workflow.Step{Count: 4, EstimateMillis: 60_000}, workflow.Progress{})
	b.advance(500 * time.Millisecond)
	b.workers["w1"].startCode = worker.Unknown
	b.acceptFifths("late", workflow.Step{EstimateMillis: 60_000}, workflow.Progress{})
	for len(b.startHosts("late")) == 0 {
		b.advance(tick)
	}
	b.resize("w1", 800)
	b.advance(2 * time.Second)
	b.Expect(b.startHosts("late")).To(HaveLen(1))
}
