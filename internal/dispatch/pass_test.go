package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// newFullHarness returns a harness whose only worker is busy while a second job
// waits.
func newFullHarness(t *testing.T) *harness {
	b := newHarness(t, "w1")
	b.listWorkers()
	b.advance(200 * time.Millisecond)
	b.acceptJob("first", 1, workflow.Step{EstimateMillis: 60000}, workflow.Progress{})
	b.acceptJob("waits", 2, workflow.Step{EstimateMillis: 60000}, workflow.Progress{})
	b.advance(200 * time.Millisecond)
	b.Expect(b.core.waitingSteps).To(HaveLen(1))
	return b
}

// The cost of a pass grows with the backlog. Events in quick succession must not cause a
// pass each.
func TestEventsInQuickSuccessionShareAPlacementPass(t *testing.T) {
	b := newFullHarness(t)

	passes, last := 0, b.core.lastPass
	for range 100 {
		b.now += time.Millisecond
		b.core.Step(b.now, b.now.Milliseconds(), JobAccepted{Job: b.waitingJob(), Offset: 3}, LeadershipConfirmed{b.now + time.Second})
		if b.core.lastPass != last {
			passes, last = passes+1, b.core.lastPass
		}
	}
	b.Expect(passes).To(BeNumerically("<=", 11), "passes in 100 ms with a change each millisecond")
	b.Expect(passes).To(BeNumerically(">=", 9))
}

// A pass deferred after a recent one must run at the time that DeferredPass returns.
func TestDeferredPassRunsWhenDue(t *testing.T) {
	b := newHarness(t, "w1")
	b.listWorkers()
	b.advance(200 * time.Millisecond)
	b.acceptJob("first", 1, workflow.Step{EstimateMillis: 60000}, workflow.Progress{})
	b.advance(200 * time.Millisecond)
	b.core.Step(b.now, b.now.Milliseconds(), JobAccepted{Job: b.waitingJob(), Offset: 2}, LeadershipConfirmed{b.now + time.Second})
	placed := b.core.lastPass
	b.now += time.Millisecond
	b.core.Step(b.now, b.now.Milliseconds(), JobAccepted{Job: b.waitingJob(), Offset: 3})
	at, due := b.core.DeferredPass()
	b.Expect(due).To(BeTrue())
	b.Expect(b.core.lastPass).To(Equal(placed))
	b.core.Step(at, at.Milliseconds())
	b.Expect(b.core.lastPass).To(Equal(at))
}

// A core that has stepped down makes no more passes, so none may be reported as due.
func TestFencedCoreHasNoDeferredPass(t *testing.T) {
	b := newFullHarness(t)
	b.core.Step(b.now, b.now.Milliseconds(), JobAccepted{Job: b.waitingJob(), Offset: 3},
		HeartbeatAnswered{Worker: "w1", Incarnation: b.core.hosts["w1"].incarnation, Code: worker.Fenced, SentAt: b.now})
	_, due := b.core.DeferredPass()
	b.Expect(due).To(BeFalse())
}

// waitingJob returns a job with a new ID for which there is no free capacity.
func (b *harness) waitingJob() *workflow.Job {
	return &workflow.Job{ID: b.now.String(), Queue: "q", Spec: "s",
		Steps: []workflow.Step{{Count: 1, Size: workflow.Size{MilliCPU: 1000}, EstimateMillis: 60000}}}
}
