package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// oneCaller has the bed's questions answered one at a time; while one is out,
// others are turned away. All workers are allowed.
type oneCaller struct {
	*bed
	busyUntil time.Duration
	late      []lateEvent
}

func (o *oneCaller) run(span time.Duration) {
	for end := o.now + span; o.now < end; o.now += tickTime {
		events := append(o.next, RightConfirmed{o.now + 5*time.Second})
		o.next = nil
		kept := o.late[:0]
		for _, l := range o.late {
			if l.at <= o.now {
				events = append(events, l.event())
			} else {
				kept = append(kept, l)
			}
		}
		o.late = kept
		for _, e := range o.core.Step(o.now, o.now.Milliseconds(), events...) {
			if q, ok := e.(Advise); ok {
				o.advise(q)
			} else {
				o.answer(e)
			}
		}
	}
}

func (o *oneCaller) advise(q Advise) {
	ev := Advised{Step: q.Step, Asked: q.Workers, Failed: o.now < o.busyUntil}
	if ev.Failed {
		o.next = append(o.next, ev)
		return
	}
	o.busyUntil = o.now + q.Cost
	for _, id := range q.Workers {
		ev.Approvals.Approved = append(ev.Approvals.Approved, worker.Approval{Worker: id, Ticket: "t"})
	}
	o.late = append(o.late, lateEvent{o.busyUntil, func() Event { return ev }})
}

func TestStepsThatFindNoRoomDoNotKeepAdviceFromAnotherPool(t *testing.T) {
	for ticks := range time.Duration(10) {
		t.Run(fmt.Sprint(ticks), func(t *testing.T) { handInBesideFullPool(t, ticks*tickTime) })
	}
}

// handInBesideFullPool hands a job in after a while in which gangs of another pool wait.
func handInBesideFullPool(t *testing.T, after time.Duration) {
	o := &oneCaller{bed: newBed(t, "w1", "w2", "w3")}
	policy := &workflow.Advice{Decision: 500 * time.Millisecond, PerWorker: 10 * time.Millisecond, Validity: 2 * time.Second}
	o.next = []Event{
		Configured{&workflow.Catalog{Version: 1, Queues: map[string]workflow.Queue{
			"full": {Name: "full", Pool: "a", Priority: 1, Advice: policy},
			"free": {Name: "free", Pool: "b", Priority: 2, Advice: policy}}}},
		WorkersListed{[]worker.Info{
			{ID: "w1", Address: "w1:1", Pool: "a", Born: 1, Capacity: workflow.Size{MilliCPU: 1000}},
			{ID: "w3", Address: "w3:1", Pool: "a", Born: 1, Capacity: workflow.Size{MilliCPU: 1000}},
			{ID: "w2", Address: "w2:1", Pool: "b", Born: 1, Capacity: workflow.Size{MilliCPU: 1000}}}},
	}
	hand := func(id, queue string, offset int64, count int) {
		o.next = append(o.next, JobAccepted{Offset: offset, Job: &workflow.Job{ID: id, Queue: queue,
			Steps: []workflow.Step{{Count: count, Gang: count > 1, Size: workflow.Size{MilliCPU: 1000}, EstimateMillis: longTask.Milliseconds()}}}})
	}
	hand("one", "full", testOffset+1, 1)
	o.run(2 * time.Second)
	o.Expect(o.startsOn("one")).To(HaveLen(1))
	for i := range int64(20) {
		hand(fmt.Sprint("gang", i), "full", testOffset+2+i, 2)
	}
	o.run(2*time.Second + after)
	hand("free", "free", testOffset+100, 1)
	o.run(4 * time.Second)
	o.Expect(o.startsOn("free")).To(Equal([]string{"w2"}))
}

func TestCallsOfStepsThatWaitForLongAreOverdue(t *testing.T) {
	b := newBed(t, "w1")
	policy := &workflow.Advice{Decision: 100 * time.Millisecond, Validity: time.Second}
	b.next = []Event{Configured{&workflow.Catalog{Version: 1, Queues: map[string]workflow.Queue{
		"q": {Name: "q", Pool: "p", Priority: 1, Advice: policy}}}}}
	b.list()
	b.accept("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	asked := func() (last Advise) {
		events := append(b.next, RightConfirmed{b.now + 5*time.Second})
		b.next = nil
		for _, e := range b.core.Step(b.now, b.now.Milliseconds(), events...) {
			if q, ok := e.(Advise); ok {
				last = q
				b.next = append(b.next, Advised{Step: q.Step, Asked: q.Workers, Failed: true})
				continue
			}
			b.answer(e)
		}
		b.now += tickTime
		return last
	}
	var early, late Advise
	for began := b.now; b.now < began+overdueAdvice+time.Second; {
		q := asked()
		switch {
		case len(q.Workers) == 0:
		case b.now < began+time.Second:
			early = q
		default:
			late = q
		}
	}
	b.Expect(early.Workers).NotTo(BeEmpty())
	b.Expect(early.Overdue).To(BeFalse())
	b.Expect(late.Overdue).To(BeTrue())
}
