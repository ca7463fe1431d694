package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// heartbeatsTo returns how many heartbeats were sent to a worker.
func (b *harness) heartbeatsTo(id string) int {
	n := 0
	for _, h := range b.heartbeats {
		if h.Heartbeat.Worker == id {
			n++
		}
	}
	return n
}

// TestStoppingRunsAreNotPolled guards against heartbeats without a pause while
// workers take their time to stop runs, which costs the leader its processor time.
func TestStoppingRunsAreNotPolled(t *testing.T) {
	d := newLargeHarness(t, tick, 12)
	for _, w := range d.workers {
		w.stopsSlowly = true
	}
	d.heartbeats = nil
	d.queuedEvents = append(d.queuedEvents, JobCancelled{ID: "j"})
	d.advance(d.core.set.StopTimeout)
	for id, w := range d.workers {
		d.Expect(w.lists.Running).To(HaveLen(1), "its run has not ended yet")
		d.Expect(d.heartbeatsTo(id)).To(BeNumerically("<=", 2+int(d.core.set.StopTimeout/heartbeatWait)), id)
	}
}

// TestOneLostAnswerLeavesLargeFleetAlone guards against heartbeats to all workers in
// quick succession because one of them left a call unanswered.
func TestOneLostAnswerLeavesLargeFleetAlone(t *testing.T) {
	const fleet = 540
	d := newLargeHarness(t, tick, fleet)
	calm := d.heartbeatsWithin(lossyPeriod)
	d.answersToLose = 1
	d.Expect(d.heartbeatsWithin(lossyPeriod)).To(BeNumerically("<=", calm+calm/10), "%d on a calm day", calm)
}

func (d *latencyHarness) heartbeatsWithin(span time.Duration) int {
	d.heartbeats = nil
	d.advance(span)
	return len(d.heartbeats)
}

// TestLateLeaderAsksLessOftenForUnrecordedEnds guards against a leader that makes its
// own lateness worse: while a commit takes long, heartbeats bring the same ends again.
func TestLateLeaderAsksLessOftenForUnrecordedEnds(t *testing.T) {
	d := newLargeHarness(t, tick, 12)
	d.roundTrip += 2 * lateThreshold
	d.advance(4 * time.Second)
	d.Expect(d.core.answersLate()).To(BeTrue())
	d.holdsCommits = true
	for _, w := range d.workers {
		w.end(w.lists.Running[0].Task, worker.Done)
	}
	d.advance(2 * heartbeatWait)
	d.Expect(d.heartbeatsWithin(2 * time.Second)).To(BeNumerically("<=", 3*len(d.workers)))
}

// TestStepCostDoesNotGrowWithOrdersInFlight guards against an overload that feeds
// itself: the later answers come, the more orders are in flight, and a step for each
// event that goes through all of them takes the time in which answers could be read.
func TestStepCostDoesNotGrowWithOrdersInFlight(t *testing.T) {
	const inFlight = 200
	b := newIdleHarness(t, inFlight)
	b.core.window.size = inFlight
	b.acceptJob("j", testOffset+1, workflow.Step{Count: inFlight}, workflow.Progress{})
	events := append(b.queuedEvents, LeadershipConfirmed{b.now + 5*time.Second})
	started := 0
	for _, e := range b.core.Step(b.now, b.now.Milliseconds(), events...) {
		if _, ok := e.(StartTask); ok {
			started++
		}
	}
	b.Expect(started).To(Equal(inFlight))
	allocated := testing.AllocsPerRun(10, func() {
		b.now += time.Millisecond
		b.core.Step(b.now, b.now.Milliseconds())
		b.core.Decisions()
	})
	b.Expect(allocated).To(BeNumerically("<", inFlight/2), "one for each order at least, if a step goes through them")
}

// TestOneLostAnswerDoesNotShortenTimeoutsOfLargeFleet guards against calls that a busy
// leader sends again, over new connections, because it allows less time for the answers
// of all workers after one of them was lost.
func TestOneLostAnswerDoesNotShortenTimeoutsOfLargeFleet(t *testing.T) {
	const fleet = 540
	d := newLargeHarness(t, tick, fleet)
	d.answersToLose = 1
	d.advance(2 * time.Second)
	d.roundTrip += 2 * lossyHeartbeatSlack
	d.advance(2 * time.Second)
	d.Expect(d.core.reasons[string(heartbeatRecheck)]).To(BeNumerically("<", fleet/100))
}
