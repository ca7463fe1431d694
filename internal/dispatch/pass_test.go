package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// newFullBed returns a bed whose one worker is busy while a second job waits.
func newFullBed(t *testing.T) *bed {
	b := newBed(t, "w1")
	b.list()
	b.run(200 * time.Millisecond)
	b.accept("first", 1, workflow.Step{EstimateMillis: 60000}, workflow.Progress{})
	b.accept("waits", 2, workflow.Step{EstimateMillis: 60000}, workflow.Progress{})
	b.run(200 * time.Millisecond)
	b.Expect(b.core.waiting).To(HaveLen(1))
	return b
}

func TestEventsInQuickSuccessionShareAPlacementPass(t *testing.T) {
	b := newFullBed(t)

	passes, last := 0, b.core.placedAt
	for range 100 {
		b.now += time.Millisecond
		b.core.Step(b.now, b.now.Milliseconds(), JobAccepted{Job: b.waitingJob(), Offset: 3}, RightConfirmed{b.now + time.Second})
		if b.core.placedAt != last {
			passes, last = passes+1, b.core.placedAt
		}
	}
	b.Expect(passes).To(BeNumerically("<=", 11), "passes in 100 ms with a change each millisecond")
	b.Expect(passes).To(BeNumerically(">=", 9))
}

func TestPassThatWasPutOffIsDue(t *testing.T) {
	b := newBed(t, "w1")
	b.list()
	b.run(200 * time.Millisecond)
	b.accept("first", 1, workflow.Step{EstimateMillis: 60000}, workflow.Progress{})
	b.run(200 * time.Millisecond)
	b.core.Step(b.now, b.now.Milliseconds(), JobAccepted{Job: b.waitingJob(), Offset: 2}, RightConfirmed{b.now + time.Second})
	placed := b.core.placedAt
	b.now += time.Millisecond
	b.core.Step(b.now, b.now.Milliseconds(), JobAccepted{Job: b.waitingJob(), Offset: 3})
	at, due := b.core.PassDue()
	b.Expect(due).To(BeTrue())
	b.Expect(b.core.placedAt).To(Equal(placed))
	b.core.Step(at, at.Milliseconds())
	b.Expect(b.core.placedAt).To(Equal(at))
}

func TestCoreThatWasFencedHasNoPassDue(t *testing.T) {
	b := newFullBed(t)
	b.core.Step(b.now, b.now.Milliseconds(), JobAccepted{Job: b.waitingJob(), Offset: 3},
		Held{Worker: "w1", Life: b.core.hosts["w1"].life, Code: worker.Fenced, Sent: b.now})
	_, due := b.core.PassDue()
	b.Expect(due).To(BeFalse())
}

// waitingJob returns a job, of a new ID each time, for which there is no room.
func (b *bed) waitingJob() *workflow.Job {
	return &workflow.Job{ID: b.now.String(), Queue: "q", Spec: "s",
		Steps: []workflow.Step{{Count: 1, Size: workflow.Size{MilliCPU: 1000}, EstimateMillis: 60000}}}
}
