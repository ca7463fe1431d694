package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// distance has the bed's workers answer over links: a call takes the way there
// and back, and once more where a connection has to be opened first. A call
// that is given up closes its connection.
type distance struct {
	*bed
	trip   time.Duration
	closed map[string]bool
	lose   int
	late   []lateEvent
	lost   int
}

type lateEvent struct {
	at    time.Duration
	event func() Event
}

func newDistance(t *testing.T, trip time.Duration, workers ...string) *distance {
	d := &distance{bed: newBed(t, workers...), trip: trip, closed: map[string]bool{}}
	for _, id := range workers {
		d.closed[id] = true
	}
	return d
}

// run lets time pass; commits are answered at once.
func (d *distance) run(span time.Duration) {
	for end := d.now + span; d.now < end; d.now += tickTime {
		events := append(d.next, RightConfirmed{d.now + 5*time.Second})
		d.next = nil
		kept := d.late[:0]
		for _, l := range d.late {
			if l.at <= d.now {
				events = append(events, l.event())
			} else {
				kept = append(kept, l)
			}
		}
		d.late = kept
		for _, e := range d.core.Step(d.now, d.now.Milliseconds(), events...) {
			d.answerOver(e)
		}
		for _, x := range d.core.Decisions() {
			if x.Kind == "contact-lost" {
				d.lost++
			}
		}
	}
}

// answerOver has an order answered after its way, or given up.
func (d *distance) answerOver(e Effect) {
	switch e := e.(type) {
	case HoldWorker:
		id := e.Hold.Worker
		at, ok := d.arrives(id, e.Hold.Wait, e.Patience)
		ev := Held{Worker: id, Life: e.Life, Sent: d.now, Code: worker.Unknown}
		d.late = append(d.late, lateEvent{at, func() Event {
			if ok {
				ev.Code, ev.Lists = worker.OK, d.workers[id].listed(at)
			}
			return ev
		}})
	case StartTask:
		d.starts = append(d.starts, e)
		w := d.workers[e.Start.Worker]
		w.lists.Running = append(w.lists.Running, worker.Running{Task: e.Start.Task, Run: e.Start.Run})
		d.late = append(d.late, lateEvent{d.now + d.trip, func() Event {
			return Started{Worker: e.Start.Worker, Life: e.Life, Task: e.Start.Task, Run: e.Start.Run}
		}})
	default:
		d.answer(e)
	}
}

// arrives returns when the answer is there, or when the call is given up.
func (d *distance) arrives(id string, wait, patience time.Duration) (time.Duration, bool) {
	took := d.trip + wait
	if d.closed[id] {
		took += d.trip
	}
	lost := d.lose > 0 || d.workers[id].waits
	if d.lose > 0 {
		d.lose--
	}
	d.closed[id] = lost || took > patience
	if d.closed[id] {
		return d.now + patience, false
	}
	return d.now + took, true
}

func TestLostAnswerDoesNotEndContactWithDistantWorkers(t *testing.T) {
	d := newDistance(t, 120*time.Millisecond, "w1", "w2", "w3")
	d.list()
	d.accept("j", testOffset+1, workflow.Step{Count: 3}, workflow.Progress{})
	d.run(2 * time.Second)
	d.Expect(d.startsOn("j")).To(ConsistOf("w1", "w2", "w3"))
	d.lose = 1
	d.run(10 * time.Second)
	d.Expect(d.lose).To(BeZero())
	d.Expect(d.lost).To(BeZero(), "all workers answer, after their way")
	d.Expect(d.startsOn("j")).To(HaveLen(3))
}
