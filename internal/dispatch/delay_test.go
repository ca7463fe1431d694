package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// newCrowd returns a bed of many workers at a distance, each with a task.
func newCrowd(t *testing.T, trip time.Duration, count int) *distance {
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprintf("w%02d", i))
	}
	d := newDistance(t, trip, ids...)
	var infos []worker.Info
	for _, id := range ids {
		infos = append(infos, testInfo(id, 1))
	}
	d.next = append(d.next, WorkersListed{infos})
	d.accept("j", testOffset+1, workflow.Step{Count: count}, workflow.Progress{})
	d.run(3 * time.Second)
	d.Expect(d.startsOn("j")).To(HaveLen(count))
	return d
}

func TestAnswersThatABusyNodeReadsLateDoNotEndContact(t *testing.T) {
	d := newCrowd(t, 5*time.Millisecond, 12)
	d.trip = 450 * time.Millisecond
	d.lose = 1
	d.run(20 * time.Second)
	d.Expect(d.lose).To(BeZero())
	d.Expect(d.lost).To(BeZero(), "contacts lost with workers that all answer")
	d.Expect(d.core.Counters()).To(HaveKeyWithValue("answers-late", BeNumerically(">=", 1)), "what the log tells of it")
	d.Expect(d.startsOn("j")).To(HaveLen(12), "no task is started again")
}

func TestSilenceOfAFewWorkersIsStillSeenAtOnce(t *testing.T) {
	d := newCrowd(t, 5*time.Millisecond, 12)
	for _, id := range []string{"w00", "w01"} {
		d.workers[id].waits = true
	}
	d.run(2500 * time.Millisecond)
	d.Expect(d.lost).To(Equal(2))
	d.Expect(d.core.late()).To(BeFalse())

}

func TestCutOfManyWorkersIsNotTakenForTheNodesOwnDelay(t *testing.T) {
	d := newCrowd(t, 5*time.Millisecond, 30)
	for i := range 10 {
		d.workers[fmt.Sprintf("w%02d", i)].waits = true
	}
	d.run(3 * time.Second)
	d.Expect(d.lost).To(Equal(10), "contacts lost within 3 s")
}

func TestPatienceKeepsWithinThePlatformsBounds(t *testing.T) {
	d := newCrowd(t, 5*time.Millisecond, 3)
	d.core.delay = mostDelay
	h := d.core.hosts["w00"]
	for _, r := range h.sortedRuns() {
		d.Expect(d.core.patience(r)).To(BeNumerically("<", 2500*time.Millisecond), "an order on a worker that begins to drain")
	}
	h.holding = false
	d.core.out = nil
	d.core.hold(h)
	hold, ok := d.core.out[0].(HoldWorker)
	d.Expect(ok).To(BeTrue())
	d.Expect(2*hold.Patience).To(BeNumerically("<=", d.core.set.Lease), "two holds within a lease")
}

func TestStartWithoutAnAnswerIsNotSentAgainToADrainingWorker(t *testing.T) {
	b := newBed(t, "w1")
	b.list()
	b.run(time.Second)
	b.workers["w1"].refuse = worker.Unknown
	b.accept("j", 1, workflow.Step{}, workflow.Progress{})
	b.run(tickTime)
	b.Expect(b.starts).To(HaveLen(1))
	b.core.hosts["w1"].draining = b.now
	b.run(time.Second)
	b.Expect(b.starts).To(HaveLen(1))
	b.Expect(b.stops).NotTo(BeEmpty())
}
