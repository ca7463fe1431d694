package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// newLargeHarness returns a harness of many distant workers, each with a task.
func newLargeHarness(t *testing.T, roundTrip time.Duration, count int) *latencyHarness {
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprintf("w%02d", i))
	}
	d := newLatencyHarness(t, roundTrip, ids...)
	var infos []worker.Info
	for _, id := range ids {
		infos = append(infos, testInfo(id, 1))
	}
	d.queuedEvents = append(d.queuedEvents, WorkersListed{infos})
	d.acceptJob("j", testOffset+1, workflow.Step{Count: count}, workflow.Progress{})
	d.advance(3 * time.Second)
	d.Expect(d.startHosts("j")).To(HaveLen(count))
	return d
}

// A node short of CPU time reads answers late. It must not take this for lost contact
// with its workers and start their tasks again.
func TestAnswersThatABusyNodeReadsLateDoNotEndContact(t *testing.T) {
	d := newLargeHarness(t, 5*time.Millisecond, 12)
	d.roundTrip = 450 * time.Millisecond
	d.answersToLose = 1
	d.advance(20 * time.Second)
	d.Expect(d.answersToLose).To(BeZero())
	d.Expect(d.contactsLost).To(BeZero(), "contact was lost although all workers answer")
	d.Expect(d.core.Counters()).To(HaveKeyWithValue("answers-late", BeNumerically(">=", 1)), "the delay is reported")
	d.Expect(d.startHosts("j")).To(HaveLen(12), "no task is restarted")
}

// A few unreachable workers must be detected quickly and not count as local delay.
func TestUnreachableWorkersAreDetectedPromptly(t *testing.T) {
	d := newLargeHarness(t, 5*time.Millisecond, 12)
	for _, id := range []string{"w00", "w01"} {
		d.workers[id].holdsHeartbeats = true
	}
	d.advance(2500 * time.Millisecond)
	d.Expect(d.contactsLost).To(Equal(2))
	d.Expect(d.core.answersLate()).To(BeFalse())

}

// A partition of a third of the workers must not count as local delay, which would put
// off the detection.
func TestPartitionOfManyWorkersIsNotTakenForLocalDelay(t *testing.T) {
	d := newLargeHarness(t, 5*time.Millisecond, 30)
	for i := range 10 {
		d.workers[fmt.Sprintf("w%02d", i)].holdsHeartbeats = true
	}
	d.advance(3 * time.Second)
	d.Expect(d.contactsLost).To(Equal(10), "workers with contact lost within 3 s")
}

// The allowance for local delay lengthens timeouts. Even at its maximum they must stay
// within the limits for draining and for leases.
func TestTimeoutsStayWithinPlatformLimits(t *testing.T) {
	d := newLargeHarness(t, 5*time.Millisecond, 3)
	d.core.answerDelay = maxAnswerDelay
	h := d.core.hosts["w00"]
	for _, r := range h.sortedRuns() {
		d.Expect(d.core.orderTimeout(r)).To(BeNumerically("<", 2500*time.Millisecond), "an order to a worker that begins to drain")
	}
	h.heartbeatInFlight = false
	d.core.effects = nil
	d.core.sendHeartbeat(h)
	heartbeat, ok := d.core.effects[0].(SendHeartbeat)
	d.Expect(ok).To(BeTrue())
	d.Expect(2*heartbeat.Timeout).To(BeNumerically("<=", d.core.set.Lease), "two heartbeats within a lease")
}

// A start without an answer must not be sent again to a worker that has begun to drain.
func TestUnansweredStartIsNotRetriedOnDrainingWorker(t *testing.T) {
	b := newHarness(t, "w1")
	b.listWorkers()
	b.advance(time.Second)
	b.workers["w1"].startCode = worker.Unknown
	b.acceptJob("j", 1, workflow.Step{}, workflow.Progress{})
	b.advance(tick)
	b.Expect(b.starts).To(HaveLen(1))
	b.core.hosts["w1"].drainingSince = b.now
	b.advance(time.Second)
	b.Expect(b.starts).To(HaveLen(1))
	b.Expect(b.stops).NotTo(BeEmpty())
}
