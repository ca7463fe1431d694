package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// latencyHarness is a harness whose workers answer over links with latency. A call
// takes one round trip, and another one if a connection has to be opened first. A
// call that times out closes its connection.
type latencyHarness struct {
	*harness
	roundTrip     time.Duration
	disconnected  map[string]bool
	answersToLose int
	delayed       delayedEvents
	contactsLost  int
}

type delayedEvent struct {
	at    time.Duration
	event func() Event
}

// delayedEvents are the events that are still on their way.
type delayedEvents []delayedEvent

// takeDue removes the events that are due and returns them in order.
func (q *delayedEvents) takeDue(now time.Duration) []Event {
	var due []Event
	kept := (*q)[:0]
	for _, l := range *q {
		if l.at <= now {
			due = append(due, l.event())
		} else {
			kept = append(kept, l)
		}
	}
	*q = kept
	return due
}

func newLatencyHarness(t *testing.T, roundTrip time.Duration, workers ...string) *latencyHarness {
	d := &latencyHarness{harness: newHarness(t, workers...), roundTrip: roundTrip, disconnected: map[string]bool{}}
	for _, id := range workers {
		d.disconnected[id] = true
	}
	return d
}

// advance runs steps until span has passed. Commits are answered at once.
func (d *latencyHarness) advance(span time.Duration) {
	for end := d.now + span; d.now < end; d.now += tick {
		events := append(d.queuedEvents, LeadershipConfirmed{d.now + 5*time.Second})
		d.queuedEvents = nil
		events = append(events, d.delayed.takeDue(d.now)...)
		for _, e := range d.core.Step(d.now, d.now.Milliseconds(), events...) {
			d.answerDelayed(e)
		}
		for _, x := range d.core.Decisions() {
			if x.Kind == "contact-lost" {
				d.contactsLost++
			}
		}
	}
}

// answerDelayed answers an order after its round trip, or when it times out.
func (d *latencyHarness) answerDelayed(e Effect) {
	switch e := e.(type) {
	case SendHeartbeat:
		d.heartbeats = append(d.heartbeats, e)
		id := e.Heartbeat.Worker
		at, ok := d.answerTime(id, e.Heartbeat.Wait, e.Timeout)
		ev := HeartbeatAnswered{Worker: id, Incarnation: e.Incarnation, SentAt: d.now, Code: worker.Unknown}
		d.delayed = append(d.delayed, delayedEvent{at, func() Event {
			if ok {
				ev.Code, ev.Lists = worker.OK, d.workers[id].listed(at)
			}
			return ev
		}})
	case StartTask:
		d.starts = append(d.starts, e)
		w := d.workers[e.Start.Worker]
		w.lists.Running = append(w.lists.Running, worker.ActiveRun{Task: e.Start.Task, Run: e.Start.Run})
		d.delayed = append(d.delayed, delayedEvent{d.now + d.roundTrip, func() Event {
			return StartAnswered{Worker: e.Start.Worker, Incarnation: e.Incarnation, Task: e.Start.Task, Run: e.Start.Run}
		}})
	default:
		d.answer(e)
	}
}

// answerTime returns when the answer arrives, or when the call times out.
func (d *latencyHarness) answerTime(id string, wait, timeout time.Duration) (time.Duration, bool) {
	took := d.roundTrip + wait
	if d.disconnected[id] {
		took += d.roundTrip
	}
	lost := d.answersToLose > 0 || d.workers[id].holdsHeartbeats
	if d.answersToLose > 0 {
		d.answersToLose--
	}
	d.disconnected[id] = lost || took > timeout
	if d.disconnected[id] {
		return d.now + timeout, false
	}
	return d.now + took, true
}

// After a lost answer the next call has to open a connection, which takes a second round
// trip. Timeouts must allow for it, or contact with distant workers is lost.
func TestLostAnswerDoesNotLoseDistantWorkers(t *testing.T) {
	d := newLatencyHarness(t, 120*time.Millisecond, "w1", "w2", "w3")
	d.listWorkers()
	d.acceptJob("j", testOffset+1, workflow.Step{Count: 3}, workflow.Progress{})
	d.advance(2 * time.Second)
	d.Expect(d.startHosts("j")).To(ConsistOf("w1", "w2", "w3"))
	d.answersToLose = 1
	d.advance(10 * time.Second)
	d.Expect(d.answersToLose).To(BeZero())
	d.Expect(d.contactsLost).To(BeZero(), "all workers answer, after their round trip")
	d.Expect(d.startHosts("j")).To(HaveLen(3))
}
