package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// atWork has the task's newest run listed as at work.
func (b *bed) atWork(id workflow.TaskID) {
	t := b.core.taskOf(id)
	t.runs[len(t.runs)-1].percent = 100
}

func (b *bed) evacuate(by time.Duration, workers ...string) {
	for _, w := range workers {
		b.next = append(b.next, Evacuate{Worker: w, By: b.now + by})
	}
}

// TestEvacuationKeepsTheDisruptionBudget checks that a second task is stopped
// only when the first is surely at work again.
func TestEvacuationKeepsTheDisruptionBudget(t *testing.T) {
	b := newBed(t, "w1", "w2", "w3")
	b.list()
	b.accept("j", testOffset+1, workflow.Step{Count: 2, LongRunning: true, DisruptionBudget: 1}, workflow.Progress{})
	b.run(time.Second)
	on := b.startsOn("j")
	b.Expect(on).To(HaveLen(2))
	b.evacuate(time.Second, on...)
	b.run(5 * time.Second)
	b.Expect(b.stops).To(BeEmpty(), "neither is at work")
	b.atWork(taskName("j", 0))
	b.atWork(taskName("j", 1))
	b.run(5 * time.Second)
	b.Expect(b.stops).To(HaveLen(1))
	moved := b.stops[0].Stop.Task
	b.Expect(b.startsOn("j")).To(HaveLen(3))
	b.Expect(b.core.Evacuated(b.stops[0].Stop.Worker)).To(BeTrue())
	b.atWork(moved)
	b.Expect(b.core.Evacuated(b.startsOn("j")[2])).To(BeFalse(), "it isn't evacuated")
	b.run(5 * time.Second)
	b.Expect(b.stops).To(HaveLen(2))
	b.Expect(b.startsOn("j")).To(HaveLen(3), "there is no room")
	b.next = append(b.next, Resume{on[0]}, Resume{on[1]})
	b.run(time.Second)
	b.Expect(b.startsOn("j")).To(HaveLen(4))
}

func TestEvacuationStopsWhatSavesAndLetsTheRestEnd(t *testing.T) {
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
		b := newBed(t, "w1")
		b.list()
		b.accept("j", testOffset+1, x.step, workflow.Progress{})
		b.run(3 * time.Second)
		b.evacuate(x.by, "w1")
		b.run(3 * time.Second)
		b.Expect(b.stops).To(HaveLen(x.stops))
		b.Expect(b.startsOn("j")).To(HaveLen(1))
		b.Expect(b.core.Evacuated("w1")).To(Equal(x.stops == 1))
	}
}

func TestEndedLifeIsForgotten(t *testing.T) {
	b := newBed(t, "w1", "w2")
	b.list()
	b.accept("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.run(500 * time.Millisecond)
	first := b.startsOn("j")[0]
	b.next = append(b.next, LifeEnded{Worker: first, Born: 0})
	b.run(200 * time.Millisecond)
	b.Expect(b.startsOn("j")).To(HaveLen(1), "a later life is there")
	b.next = append(b.next, LifeEnded{Worker: first, Born: 1})
	b.run(200 * time.Millisecond)
	b.Expect(b.startsOn("j")).To(HaveLen(2))
}

// TestShortagesAreOfRoomOnly checks what counts as work that waits for room.
func TestShortagesAreOfRoomOnly(t *testing.T) {
	b := newBed(t, "w1")
	b.list()
	b.accept("j", testOffset+1, workflow.Step{Count: 2, EstimateMillis: longTask.Milliseconds()}, workflow.Progress{})
	b.accept("k", testOffset+2, workflow.Step{Requires: "gpu", EstimateMillis: longTask.Milliseconds()}, workflow.Progress{})
	b.run(time.Second)
	b.Expect(b.core.Shortages(5 * time.Second)).To(BeEmpty())
	b.run(5 * time.Second)
	size := workflow.Size{MilliCPU: 1000}
	b.Expect(b.core.Shortages(5 * time.Second)).To(ConsistOf(Shortage{Pool: "p", Size: size}, Shortage{Pool: "p", Requires: "gpu", Size: size}))
	b.Expect(b.core.Idle("w1")).To(BeFalse())
}
