package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// acceptAhead brings a job of two occurrences, the first of them due in 3 s by
// this holder's clock; a former one, whose clock was ahead, has begun it.
func acceptAhead(b *bed, p workflow.Progress) {
	b.next = append(b.next,
		WorkerEngaged{Engagement{Worker: "w1", Address: "w1:1", Pool: "p", Born: 1}},
		JobAccepted{Offset: testOffset - 1, Progress: p, Job: &workflow.Job{ID: "j", Queue: "q", Times: 2,
			FirstMillis: (b.now + 3*time.Second).Milliseconds(), IntervalMillis: time.Hour.Milliseconds(),
			Steps: []workflow.Step{{Count: 2, Size: workflow.Size{MilliCPU: 400}}}}})
	b.list()
}

func TestEndOfAnOccurrenceNotYetDueHereIsTakenNoteOf(t *testing.T) {
	b := newBed(t, "w1")
	b.workers["w1"].lastEnd = 1
	b.workers["w1"].lists.Ends = []worker.End{{Number: 1, Task: taskName("j", 0), Run: 7, How: worker.Done}}
	acceptAhead(b, workflow.Progress{Started: true})
	b.run(5 * time.Second)
	for _, s := range b.starts {
		b.Expect(s.Start.Task.Index).To(Equal(1), "task 0 has ended done")
	}
	b.Expect(b.starts).To(HaveLen(1))
}

func TestRunOfAnOccurrenceNotYetDueHereIsAdopted(t *testing.T) {
	b := newBed(t, "w1")
	b.workers["w1"].lists.Running = []worker.Running{{Task: taskName("j", 0), Run: 7}}
	acceptAhead(b, workflow.Progress{Started: true})
	b.run(2 * time.Second)
	b.Expect(b.stops).To(BeEmpty())
}

func TestProgressOfAnOccurrenceNotYetDueHereIsKept(t *testing.T) {
	b := newBed(t, "w1")
	done := workflow.OccurrenceProgress{Steps: []workflow.StepProgress{{Done: workflow.Bitmap{1}}}}
	acceptAhead(b, workflow.Progress{Started: true, Occurrences: []workflow.OccurrenceProgress{done}})
	b.run(2 * time.Second)
	for _, s := range b.starts {
		b.Expect(s.Start.Task.Index).To(Equal(1), "task 0 has ended done")
	}
	b.Expect(b.core.jobs["j"].progress().Occurrences).To(HaveLen(1))
}
