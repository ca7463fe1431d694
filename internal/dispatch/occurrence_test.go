package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// acceptStartedOccurrence queues a job of two occurrences. By this leader's clock
// the first is due in 3 s. A previous leader, whose clock was ahead, has already
// started it.
func acceptStartedOccurrence(b *harness, p workflow.Progress) {
	b.queuedEvents = append(b.queuedEvents,
		WorkerRegistered{Registration: Registration{Worker: "w1", Address: "w1:1", Pool: "p", Born: 1}},
		JobAccepted{Offset: testOffset - 1, Progress: p, Job: &workflow.Job{ID: "j", Queue: "q", ScheduledOccurrences: 2,
			FirstDueMillis: (b.now + 3*time.Second).Milliseconds(), IntervalMillis: time.Hour.Milliseconds(),
			Steps: []workflow.Step{{Count: 2, Size: workflow.Size{MilliCPU: 400}}}}})
	b.listWorkers()
}

// The end of a task must be processed even if its occurrence isn't due by this leader's
// clock, or the task runs twice.
func TestEndOfOccurrenceNotYetDueIsProcessed(t *testing.T) {
	b := newHarness(t, "w1")
	b.workers["w1"].lastEnd = 1
	b.workers["w1"].lists.Ended = []worker.EndedRun{{Number: 1, Task: testTaskID("j", 0), Run: 7, How: worker.Done}}
	acceptStartedOccurrence(b, workflow.Progress{Ordered: true, Begun: true})
	b.advance(5 * time.Second)
	for _, s := range b.starts {
		b.Expect(s.Start.Task.Index).To(Equal(1), "task 0 is done")
	}
	b.Expect(b.starts).To(HaveLen(1))
}

// A run must not be stopped because its occurrence isn't due by this leader's clock.
func TestRunOfOccurrenceNotYetDueIsAdopted(t *testing.T) {
	b := newHarness(t, "w1")
	b.workers["w1"].lists.Running = []worker.ActiveRun{{Task: testTaskID("j", 0), Run: 7}}
	acceptStartedOccurrence(b, workflow.Progress{Ordered: true, Begun: true})
	b.advance(2 * time.Second)
	b.Expect(b.stops).To(BeEmpty())
}

// Recorded progress must be kept even if its occurrence isn't due by this leader's clock.
func TestProgressOfOccurrenceNotYetDueIsKept(t *testing.T) {
	b := newHarness(t, "w1")
	done := workflow.OccurrenceProgress{Steps: []workflow.StepProgress{{Done: workflow.Bitmap{1}}}}
	acceptStartedOccurrence(b, workflow.Progress{Ordered: true, Begun: true, Occurrences: []workflow.OccurrenceProgress{done}})
	b.advance(2 * time.Second)
	for _, s := range b.starts {
		b.Expect(s.Start.Task.Index).To(Equal(1), "task 0 is done")
	}
	b.Expect(b.core.jobs["j"].progress().Occurrences).To(HaveLen(1))
}
