package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// serialAdvisor is a policy service that answers the harness's requests one at a
// time and fails others in the meantime. It allows all workers that are up.
type serialAdvisor struct {
	*harness
	busyUntil time.Duration
	delayed   delayedEvents
}

func (o *serialAdvisor) advance(span time.Duration) {
	for end := o.now + span; o.now < end; o.now += tick {
		events := append(o.queuedEvents, LeadershipConfirmed{o.now + 5*time.Second})
		o.queuedEvents = nil
		events = append(events, o.delayed.takeDue(o.now)...)
		for _, e := range o.core.Step(o.now, o.now.Milliseconds(), events...) {
			if q, ok := e.(RequestAdvice); ok {
				o.advise(q)
			} else {
				o.answer(e)
			}
		}
	}
}

func (o *serialAdvisor) advise(q RequestAdvice) {
	ev := AdviceAnswered{Step: q.Step, Asked: q.Workers, Failed: o.now < o.busyUntil}
	if ev.Failed {
		o.queuedEvents = append(o.queuedEvents, ev)
		return
	}
	o.busyUntil = o.now + q.Cost
	for _, id := range q.Workers {
		if o.workers[id].crashed {
			continue
		}
		ev.Approvals.Approved = append(ev.Approvals.Approved, worker.Approval{Worker: id, Ticket: "t"})
	}
	o.delayed = append(o.delayed, delayedEvent{o.busyUntil, func() Event { return ev }})
}

// Steps of a full pool ask the policy service again and again. They must not keep it
// from serving the steps of a pool that has free capacity.
func TestWaitingStepsOfFullPoolDoNotStarveAdviceForAnotherPool(t *testing.T) {
	for ticks := range time.Duration(10) {
		t.Run(fmt.Sprint(ticks), func(t *testing.T) { submitBesideFullPool(t, ticks*tick) })
	}
}

// submitBesideFullPool submits a job after gangs of another pool have waited for a
// while.
func submitBesideFullPool(t *testing.T, after time.Duration) {
	o := &serialAdvisor{harness: newHarness(t, "w1", "w2", "w3")}
	policy := &workflow.PolicySettings{Decision: 500 * time.Millisecond, PerWorker: 10 * time.Millisecond, Validity: 2 * time.Second}
	o.queuedEvents = []Event{
		CatalogChanged{&workflow.Catalog{Version: 1, Queues: map[string]workflow.Queue{
			"full": {Name: "full", Pool: "a", Priority: 1, Advice: policy},
			"free": {Name: "free", Pool: "b", Priority: 2, Advice: policy}}}},
		WorkersListed{[]worker.Info{
			{ID: "w1", Address: "w1:1", Pool: "a", Born: 1, Capacity: workflow.Size{MilliCPU: 1000}},
			{ID: "w3", Address: "w3:1", Pool: "a", Born: 1, Capacity: workflow.Size{MilliCPU: 1000}},
			{ID: "w2", Address: "w2:1", Pool: "b", Born: 1, Capacity: workflow.Size{MilliCPU: 1000}}}},
	}
	submit := func(id, queue string, offset int64, count int) {
		o.queuedEvents = append(o.queuedEvents, JobAccepted{Offset: offset, Job: &workflow.Job{ID: id, Queue: queue,
			Steps: []workflow.Step{{Count: count, Gang: count > 1, Size: workflow.Size{MilliCPU: 1000}, EstimateMillis: longTask.Milliseconds()}}}})
	}
	submit("one", "full", testOffset+1, 1)
	o.advance(2 * time.Second)
	o.Expect(o.startHosts("one")).To(HaveLen(1))
	for i := range int64(20) {
		submit(fmt.Sprint("gang", i), "full", testOffset+2+i, 2)
	}
	o.advance(2*time.Second + after)
	submit("free", "free", testOffset+100, 1)
	o.advance(4 * time.Second)
	o.Expect(o.startHosts("free")).To(Equal([]string{"w2"}))
}

// A request must be marked as overdue only after its step has waited for long.
func TestAdviceRequestIsOverdueAfterLongWait(t *testing.T) {
	b := newHarness(t, "w1")
	policy := &workflow.PolicySettings{Decision: 100 * time.Millisecond, Validity: time.Second}
	b.queuedEvents = []Event{CatalogChanged{&workflow.Catalog{Version: 1, Queues: map[string]workflow.Queue{
		"q": {Name: "q", Pool: "p", Priority: 1, Advice: policy}}}}}
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	asked := func() (last RequestAdvice) {
		events := append(b.queuedEvents, LeadershipConfirmed{b.now + 5*time.Second})
		b.queuedEvents = nil
		for _, e := range b.core.Step(b.now, b.now.Milliseconds(), events...) {
			if q, ok := e.(RequestAdvice); ok {
				last = q
				b.queuedEvents = append(b.queuedEvents, AdviceAnswered{Step: q.Step, Asked: q.Workers, Failed: true})
				continue
			}
			b.answer(e)
		}
		b.now += tick
		return last
	}
	var early, late RequestAdvice
	for began := b.now; b.now < began+adviceOverdueAfter+time.Second; {
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

// TestUrgentStepAsksAboutWorkersWithRoomFirst guards against a first task that waits
// for several answers of the policy service while much of a large pool has room: one
// question names only some of the workers.
func TestUrgentStepAsksAboutWorkersWithRoomFirst(t *testing.T) {
	const fleet, full = 4 * maxAdviceWorkers, 2 * maxAdviceWorkers
	b := newHarness(t)
	var infos []worker.Info
	for i := range fleet {
		id := fmt.Sprintf("w%03d", i)
		b.workers[id] = &testWorker{born: b.now - time.Second, lists: worker.HeartbeatResponse{Born: 1}}
		infos = append(infos, testInfo(id, 1))
		if i < full {
			b.workers[id].lists.Running = []worker.ActiveRun{{Task: testTaskID("long", i), Run: 1}}
		}
	}
	b.queuedEvents = []Event{WorkersListed{infos}, CatalogChanged{&workflow.Catalog{Version: 1, Queues: map[string]workflow.Queue{
		"plain": {Name: "plain", Pool: "p", Priority: 1, Attempts: 2},
		"q":     {Name: "q", Pool: "p", Attempts: 2, Advice: &workflow.PolicySettings{Decision: 30 * time.Millisecond, Validity: 2 * time.Second}}}}}}
	b.queuedEvents = append(b.queuedEvents, JobAccepted{Offset: 1, Job: &workflow.Job{ID: "long", Queue: "plain",
		Steps: []workflow.Step{{Count: full, Size: workflow.Size{MilliCPU: 1000}, EstimateMillis: longTask.Milliseconds()}}}})
	b.advance(time.Second)
	b.acceptJob("urgent", testOffset+1, workflow.Step{}, workflow.Progress{})
	var asked []string
	for _, e := range b.core.Step(b.now, b.now.Milliseconds(), append(b.queuedEvents, LeadershipConfirmed{b.now + time.Second})...) {
		if q, ok := e.(RequestAdvice); ok {
			asked = append(asked, q.Workers...)
		}
	}
	b.Expect(asked).To(HaveLen(maxAdviceWorkers))
	for _, id := range asked {
		b.Expect(b.core.hosts[id].runs).To(BeEmpty(), id)
	}
}

func TestWorkerThatWasDownIsAskedAboutInItsNextIncarnation(t *testing.T) {
	o := &serialAdvisor{harness: newHarness(t, "w1")}
	policy := &workflow.PolicySettings{Decision: 20 * time.Millisecond, PerWorker: 10 * time.Millisecond, Validity: 2 * time.Second}
	o.queuedEvents = []Event{CatalogChanged{&workflow.Catalog{Version: 1, Queues: map[string]workflow.Queue{"q": {Name: "q", Pool: "p", Advice: policy}}}}}
	o.listWorkers()
	o.advance(time.Second)
	o.crash("w1")
	o.acceptFifths("j", workflow.Step{}, workflow.Progress{})
	o.advance(crashDowntime)
	o.returnCrashed()
	o.advance(3 * time.Second)
	o.Expect(o.startHosts("j")).To(Equal([]string{"w1"}))
}
