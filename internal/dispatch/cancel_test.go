package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// purged returns the IDs of the jobs whose records were removed.
func (b *harness) purged() []string {
	var ids []string
	for _, c := range b.commits {
		ids = append(ids, c.Purged...)
	}
	return ids
}

// A cancellation that is in the log before its job must hold: the job never starts.
func TestJobCancelledBeforeItsRecordNeverStarts(t *testing.T) {
	b := newHarness(t, "w1")
	b.listWorkers()
	b.queuedEvents = append(b.queuedEvents, JobCancelled{ID: "j", WrittenMillis: b.now.Milliseconds()})
	b.advance(5 * time.Second)
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(5 * time.Second)
	b.Expect(b.starts).To(BeEmpty())
	b.Expect(b.finalState("j")).To(Equal(workflow.Cancelled))
	b.Expect(b.purged()).To(BeEmpty())
	b.advance(b.core.set.StatusRetention)
	b.Expect(b.purged()).To(ConsistOf("j"), "once, with the job")
}

// The cancellation of a job that never comes must be removed after its retention time,
// whichever leader recorded it, but not sooner than minCancelRetention by this leader's own
// clock.
func TestCancelOfUnknownJobIsRemoved(t *testing.T) {
	b := newHarness(t, "w1")
	b.listWorkers()
	now := b.now.Milliseconds()
	b.queuedEvents = append(b.queuedEvents, JobCancelled{ID: "of-former-leader", WrittenMillis: 1}, JobCancelled{ID: "without-time"},
		JobCancelled{ID: "clock-ahead", WrittenMillis: now + time.Hour.Milliseconds()}, JobCancelled{ID: "without-time"})
	b.advance(minCancelRetention - time.Second)
	b.Expect(b.purged()).To(BeEmpty())
	b.advance(2 * time.Second)
	b.Expect(b.purged()).To(ConsistOf("of-former-leader"))
	b.advance(b.core.set.StatusRetention)
	b.Expect(b.purged()).To(ConsistOf("of-former-leader", "without-time", "clock-ahead"))
	b.Expect(b.core.cancels.byID).To(BeEmpty())
	b.Expect(b.core.cancels.order).To(BeEmpty())
}
