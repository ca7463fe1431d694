package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// markAvailable marks the task's newest run as working.
func (b *harness) markAvailable(id workflow.TaskID) {
	t := b.core.findTask(id)
	t.runs[len(t.runs)-1].percent = 100
}

func (b *harness) evacuate(by time.Duration, workers ...string) {
	for _, w := range workers {
		b.queuedEvents = append(b.queuedEvents, Evacuate{Worker: w, Deadline: b.now + by})
	}
}

// A second task must be stopped only when the first is certain to work again.
func TestEvacuationRespectsDisruptionBudget(t *testing.T) {
	b := newHarness(t, "w1", "w2", "w3")
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{Count: 2, LongRunning: true, DisruptionBudget: 1}, workflow.Progress{})
	b.advance(time.Second)
	on := b.startHosts("j")
	b.Expect(on).To(HaveLen(2))
	b.evacuate(time.Second, on...)
	b.advance(5 * time.Second)
	b.Expect(b.stops).To(BeEmpty(), "neither is available")
	b.markAvailable(testTaskID("j", 0))
	b.markAvailable(testTaskID("j", 1))
	b.advance(5 * time.Second)
	b.Expect(b.stops).To(HaveLen(1))
	moved := b.stops[0].Stop.Task
	b.Expect(b.startHosts("j")).To(HaveLen(3))
	b.Expect(b.core.Evacuated(b.stops[0].Stop.Worker)).To(BeTrue())
	b.markAvailable(moved)
	b.Expect(b.core.Evacuated(b.startHosts("j")[2])).To(BeFalse(), "it isn't evacuated")
	b.advance(5 * time.Second)
	b.Expect(b.stops).To(HaveLen(2))
	b.Expect(b.startHosts("j")).To(HaveLen(3), "there is no free capacity")
	b.queuedEvents = append(b.queuedEvents, EndEvacuation{on[0]}, EndEvacuation{on[1]})
	b.advance(time.Second)
	b.Expect(b.startHosts("j")).To(HaveLen(4))
}

// Checkpointing runs, and long-running ones without a disruption budget, are stopped once
// no other run is waited for. Other runs are stopped only if they can't finish before the
// deadline.
func TestEvacuationStopsCheckpointingRunsAndLetsOthersFinish(t *testing.T) {
	for _, x := range []struct {
		step  workflow.Step
		by    time.Duration
		stops int
	}{
		{workflow.Step{Checkpointing: true}, 3 * time.Hour, 1},
		{workflow.Step{LongRunning: true}, 3 * time.Hour, 1},
		{workflow.Step{}, 3 * time.Hour, 0},
		{workflow.Step{}, time.Minute, 1},
	} {
		b := newHarness(t, "w1")
		b.listWorkers()
		b.acceptJob("j", testOffset+1, x.step, workflow.Progress{})
		b.advance(3 * time.Second)
		b.evacuate(x.by, "w1")
		b.advance(3 * time.Second)
		b.Expect(b.stops).To(HaveLen(x.stops))
		b.Expect(b.startHosts("j")).To(HaveLen(1))
		b.Expect(b.core.Evacuated("w1")).To(Equal(x.stops == 1))
	}
}

// The tasks of an ended incarnation must start elsewhere at once, but the end of an
// earlier incarnation must not affect the current one.
func TestEndedIncarnationIsRemoved(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(500 * time.Millisecond)
	first := b.startHosts("j")[0]
	b.queuedEvents = append(b.queuedEvents, IncarnationEnded{Worker: first, Born: 0})
	b.advance(200 * time.Millisecond)
	b.Expect(b.startHosts("j")).To(HaveLen(1), "the current incarnation is a later one")
	b.queuedEvents = append(b.queuedEvents, IncarnationEnded{Worker: first, Born: 1})
	b.advance(200 * time.Millisecond)
	b.Expect(b.startHosts("j")).To(HaveLen(2))
}

// Only work that waits for nothing but capacity counts as a shortage.
func TestShortagesReportOnlyMissingCapacity(t *testing.T) {
	b := newHarness(t, "w1")
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{Count: 2, EstimateMillis: longTask.Milliseconds()}, workflow.Progress{})
	b.acceptJob("k", testOffset+2, workflow.Step{Requires: "gpu", EstimateMillis: longTask.Milliseconds()}, workflow.Progress{})
	b.advance(time.Second)
	b.Expect(b.core.Shortages(5 * time.Second)).To(BeEmpty())
	b.advance(5 * time.Second)
	size := workflow.Size{MilliCPU: 1000}
	b.Expect(b.core.Shortages(5 * time.Second)).To(ConsistOf(Shortage{Pool: "p", Size: size}, Shortage{Pool: "p", Requires: "gpu", Size: size}))
	b.Expect(b.core.Idle("w1")).To(BeFalse())
}

// An entry with a start time in the future names an ended incarnation that the worker never had.
func TestEndOfIncarnationFromTheFutureDoesNotEndTheLivingOne(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(500 * time.Millisecond)
	b.queuedEvents = append(b.queuedEvents, IncarnationEnded{Worker: b.startHosts("j")[0], Born: 1 << 40})
	b.advance(200 * time.Millisecond)
	b.Expect(b.startHosts("j")).To(HaveLen(1), "it runs on")
}
