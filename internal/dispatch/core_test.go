package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	testToken  = 100
	testOffset = 1000
	tickTime   = 20 * time.Millisecond
)

// bed is a core whose orders are answered in the next step: by workers of one
// core each that run what they are told, unless the test has them do else.
type bed struct {
	*WithT
	core    *Core
	now     time.Duration
	workers map[string]*testWorker
	next    []Event
	// starts, commits and holds are the effects so far.
	starts  []StartTask
	stops   []StopTask
	commits []Commit
	holds   []HoldWorker
}

type testWorker struct {
	born    time.Duration
	lists   worker.Lists
	lastEnd int64
	// silent workers answer nothing and do nothing.
	silent bool
	// waits is set while holds get no answer yet.
	waits bool
	// stands is the percent that its runs show and stay at; 0 lets them get on.
	stands float64
	// foreign tells that another worker listens at the address.
	foreign bool
	// refuse is the answer to starts.
	refuse worker.Code
}

func newBed(t *testing.T, workers ...string) *bed {
	b := &bed{WithT: NewWithT(t), now: time.Minute, workers: map[string]*testWorker{}}
	set := Settings{Token: testToken, TermOffset: testOffset, Lease: 6 * time.Second, MaxLease: 10 * time.Second,
		FormerBound: 11500 * time.Millisecond, Confidence: 5 * time.Second, StopTimeout: 2 * time.Second,
		RemoteFactor: 2, StatusRetention: time.Minute}
	b.core = New(set, b.now, b.now.Milliseconds())
	for _, id := range workers {
		b.workers[id] = &testWorker{born: b.now - time.Second}
		b.workers[id].lists.Born = 1
	}
	b.next = append(b.next, Configured{&workflow.Catalog{Version: 1, Queues: map[string]workflow.Queue{"q": {Name: "q", Pool: "p", Attempts: 2}}}})
	return b
}

// testInfo is the list's entry of a worker of one core.
func testInfo(id string, born int64) worker.Info {
	return worker.Info{ID: id, Address: id + ":1", Pool: "p", Born: born, Capacity: workflow.Size{MilliCPU: 1000}, Labels: []string{"std", "r1"}}
}

// list brings the platform's list, of all workers but those named.
func (b *bed) list(without ...string) {
	var infos []worker.Info
	for _, id := range []string{"w1", "w2", "w3"} {
		w := b.workers[id]
		if w == nil || len(without) > 0 && without[0] == id {
			continue
		}
		infos = append(infos, testInfo(id, w.lists.Born))
	}
	b.next = append(b.next, WorkersListed{infos})
}

// accept brings a job of one step, of tasks that fill a worker.
func (b *bed) accept(id string, offset int64, step workflow.Step, p workflow.Progress) {
	step.Count = max(step.Count, 1)
	step.Size = workflow.Size{MilliCPU: 1000}
	b.next = append(b.next, JobAccepted{Job: &workflow.Job{ID: id, Queue: "q", Spec: "s", Steps: []workflow.Step{step}}, Offset: offset, Progress: p})
}

// run lets time pass.
func (b *bed) run(d time.Duration) {
	for end := b.now + d; b.now < end; b.now += tickTime {
		events := append(b.next, RightConfirmed{b.now + 5*time.Second})
		b.next = nil
		for _, e := range b.core.Step(b.now, b.now.Milliseconds(), events...) {
			b.answer(e)
		}
	}
}

func (b *bed) answer(e Effect) {
	switch e := e.(type) {
	case Commit:
		b.commits = append(b.commits, e)
		b.next = append(b.next, Committed{Number: e.Number})
	case HoldWorker:
		b.holds = append(b.holds, e)
		w := b.workers[e.Hold.Worker]
		if w.waits {
			return
		}
		if w.silent {
			b.next = append(b.next, Held{Worker: e.Hold.Worker, Life: e.Life, Code: worker.Unknown, Sent: b.now})
			return
		}
		if w.foreign {
			b.next = append(b.next, Held{Worker: e.Hold.Worker, Life: e.Life, Code: worker.WrongLife, Sent: b.now})
			return
		}
		w.forget(e.Hold.LastSeen)
		b.next = append(b.next, Held{Worker: e.Hold.Worker, Life: e.Life, Sent: b.now, Lists: w.listed(b.now)})
	case StartTask:
		b.starts = append(b.starts, e)
		w := b.workers[e.Start.Worker]
		code := w.refuse
		if w.foreign {
			code = worker.WrongLife
		}
		if w.silent {
			code = worker.Unknown
		}
		if code == worker.OK {
			w.lists.Running = append(w.lists.Running, worker.Running{Task: e.Start.Task, Run: e.Start.Run})
		}
		b.next = append(b.next, Started{Worker: e.Start.Worker, Life: e.Life, Task: e.Start.Task, Run: e.Start.Run, Code: code})
	case StopTask:
		b.stops = append(b.stops, e)
		w := b.workers[e.Stop.Worker]
		if w.silent {
			b.next = append(b.next, StopAnswered{Worker: e.Stop.Worker, Life: e.Life, Task: e.Stop.Task, Run: e.Stop.Run, Code: worker.Unknown})
			return
		}
		if w.foreign {
			b.next = append(b.next, StopAnswered{Worker: e.Stop.Worker, Life: e.Life, Task: e.Stop.Task, Run: e.Stop.Run, Code: worker.WrongLife})
			return
		}
		w.end(e.Stop.Task, worker.Stopped)
		b.next = append(b.next, StopAnswered{Worker: e.Stop.Worker, Life: e.Life, Task: e.Stop.Task, Run: e.Stop.Run})
	}
}

// longTask is how long the tasks of the tests would run.
const longTask = time.Hour

func (w *testWorker) clock(now time.Duration) int64 { return (now - w.born).Milliseconds() }

func (w *testWorker) listed(now time.Duration) worker.Lists {
	l := worker.Lists{ClockMillis: w.clock(now), Born: w.lists.Born}
	for _, r := range w.lists.Running {
		r.Percent = 100 * now.Seconds() / longTask.Seconds()
		if w.stands > 0 {
			r.Percent = w.stands
		}
		l.Running = append(l.Running, r)
	}
	l.Ends = append(l.Ends, w.lists.Ends...)
	return l
}

// end has a task that runs there end.
func (w *testWorker) end(id workflow.TaskID, how worker.How) {
	for i, r := range w.lists.Running {
		if r.Task == id {
			w.lists.Running = append(w.lists.Running[:i:i], w.lists.Running[i+1:]...)
			w.lastEnd++
			w.lists.Ends = append(w.lists.Ends, worker.End{Number: w.lastEnd, Task: id, Run: r.Run, How: how})
			return
		}
	}
}

func (w *testWorker) forget(seen int64) {
	for len(w.lists.Ends) > 0 && w.lists.Ends[0].Number <= seen {
		w.lists.Ends = w.lists.Ends[1:]
	}
}

func taskName(job string, index int) workflow.TaskID {
	return workflow.TaskID{StepID: workflow.StepID{Job: job}, Index: index}
}

// holdOf returns the newest hold of a worker.
func (b *bed) holdOf(id string) HoldWorker {
	for i := len(b.holds) - 1; i >= 0; i-- {
		if b.holds[i].Hold.Worker == id {
			return b.holds[i]
		}
	}
	b.Expect(id).To(BeEmpty(), "no hold was sent to the worker")
	return HoldWorker{}
}

// startsOn returns on which workers the tasks of a job were started, in order.
func (b *bed) startsOn(job string) []string {
	var on []string
	for _, s := range b.starts {
		if s.Start.Task.Job == job {
			on = append(on, s.Start.Worker)
		}
	}
	return on
}

func (b *bed) finalOf(job string) workflow.State {
	state := workflow.State("")
	for _, c := range b.commits {
		for _, p := range c.Progress {
			if p.ID == job && p.Progress.Final != "" {
				state = p.Progress.Final
			}
		}
	}
	return state
}

func TestUnansweredHoldDoesNotMoveTheEndOfLeasesOn(t *testing.T) {
	b := newBed(t, "w1", "w2")
	b.list()
	b.accept("j", testOffset+1, workflow.Step{Requires: "std"}, workflow.Progress{})
	b.run(500 * time.Millisecond)
	first := b.startsOn("j")
	b.Expect(first).To(HaveLen(1))
	w := b.workers[first[0]]
	w.silent = true
	b.holds = nil
	b.run(60 * time.Millisecond)
	cut := b.now
	granted := b.starts[0].Start.DeadlineMillis
	for _, h := range b.holds {
		if h.Hold.Worker == first[0] {
			granted = max(granted, h.Hold.DeadlineMillis)
		}
	}
	b.holds = nil
	b.run(5 * time.Second)
	b.Expect(b.startsOn("j")).To(HaveLen(1), "its lease may still hold")
	b.run(5 * time.Second)
	for _, h := range b.holds {
		if h.Hold.Worker == first[0] {
			b.Expect(h.Hold.DeadlineMillis).To(BeNumerically("<=", granted), "at %v", b.now-cut)
		}
	}
	b.Expect(b.startsOn("j")).To(HaveLen(2))
	b.Expect(b.startsOn("j")[1]).NotTo(Equal(first[0]))
}

func TestTaskStartsAgainAfterAPauseWhereItFailed(t *testing.T) {
	b := newBed(t, "w1")
	b.list()
	b.accept("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.run(500 * time.Millisecond)
	b.workers["w1"].end(taskName("j", 0), worker.Failed)
	b.run(avoidTime - 200*time.Millisecond)
	b.Expect(b.startsOn("j")).To(HaveLen(1))
	b.run(time.Second)
	b.Expect(b.startsOn("j")).To(HaveLen(2))
	b.workers["w1"].end(taskName("j", 0), worker.Failed)
	b.run(500 * time.Millisecond)
	b.Expect(b.finalOf("j")).To(Equal(workflow.Failed))
	b.run(5 * time.Second)
	b.Expect(b.startsOn("j")).To(HaveLen(2), "it has used its attempts")
}

func TestRunOfAFormerHolderIsAdoptedWithItsSize(t *testing.T) {
	b := newBed(t, "w1")
	b.next = append(b.next, WorkerEngaged{Engagement{Worker: "w1", Address: "w1:1", Pool: "p", Born: 1}})
	b.accept("old", testOffset-1, workflow.Step{}, workflow.Progress{Started: true})
	b.accept("new", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.workers["w1"].lists.Running = []worker.Running{{Task: taskName("old", 0), Run: 7}}
	b.list()
	b.run(2 * time.Second)
	b.Expect(b.starts).To(BeEmpty(), "the worker is full")
	b.Expect(b.stops).To(BeEmpty())
	b.workers["w1"].end(taskName("old", 0), worker.Done)
	b.run(time.Second)
	b.Expect(b.startsOn("new")).To(Equal([]string{"w1"}))
	b.Expect(b.finalOf("old")).To(Equal(workflow.Completed))
}

func TestEndsThatAFormerHolderRecordedAreNotCountedAgain(t *testing.T) {
	b := newBed(t, "w1", "w2")
	b.next = append(b.next, WorkerEngaged{Engagement{Worker: "w1", Address: "w1:1", Pool: "p", Born: 1, Seen: 3}})
	p := workflow.Progress{Started: true, Occurrences: []workflow.OccurrenceProgress{{Steps: []workflow.StepProgress{{Failures: map[int]int{0: 1}}}}}}
	b.accept("j", testOffset-1, workflow.Step{}, p)
	b.workers["w1"].lastEnd = 3
	b.workers["w1"].lists.Ends = []worker.End{{Number: 3, Task: taskName("j", 0), Run: 7, How: worker.Failed}}
	b.list()
	b.run(time.Second)
	b.Expect(b.finalOf("j")).To(BeEmpty())
	b.Expect(b.startsOn("j")).To(HaveLen(1))
	b.Expect(b.starts[0].Start.Run).To(BeNumerically(">", 7))
	b.workers[b.startsOn("j")[0]].end(taskName("j", 0), worker.Failed)
	b.run(time.Second)
	b.Expect(b.finalOf("j")).To(Equal(workflow.Failed), "the failures of both terms count")
}

func TestEndsAreNotCountedAgainWhenAWorkerIsListedAgain(t *testing.T) {
	b := newBed(t, "w1", "w2")
	b.list("w2")
	b.accept("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.run(500 * time.Millisecond)
	b.Expect(b.startsOn("j")).To(Equal([]string{"w1"}))
	b.workers["w1"].end(taskName("j", 0), worker.Failed)
	b.list("w1")
	b.run(8 * time.Second)
	b.Expect(b.startsOn("j")).To(Equal([]string{"w1", "w2"}))
	b.list()
	b.run(time.Second)
	b.Expect(b.finalOf("j")).To(BeEmpty(), "it has failed once")
}

func TestRunThatTheNextLifeOfAWorkerTookIsNotStartedElsewhere(t *testing.T) {
	b := newBed(t, "w1", "w2")
	b.list("w2")
	b.run(500 * time.Millisecond)
	w := b.workers["w1"]
	w.lists.Born, w.born, w.waits = 2, b.now, true
	b.accept("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.run(100 * time.Millisecond)
	b.Expect(b.startsOn("j")).To(Equal([]string{"w1"}), "its new life isn't known yet")
	b.list()
	b.run(time.Second)
	b.Expect(b.startsOn("j")).To(Equal([]string{"w1"}), "the new life has answered the start")
}

func TestRunThatTheNextLifeTookIsStoppedWhenAnOlderCallFindsThatLife(t *testing.T) {
	b := newBed(t, "w1", "w2")
	b.list("w2")
	b.run(500 * time.Millisecond)
	w := b.workers["w1"]
	w.lists.Born, w.born, w.waits = 2, b.now, true
	b.accept("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.run(100 * time.Millisecond)
	b.Expect(b.startsOn("j")).To(Equal([]string{"w1"}))
	b.next = append(b.next, Held{Worker: "w1", Life: b.holdOf("w1").Life, Code: worker.WrongLife, Sent: b.now})
	b.list()
	b.run(40 * time.Millisecond)
	b.Expect(b.startsOn("j")).To(Equal([]string{"w1"}), "it may run in the next life")
	w.waits = false
	b.answer(b.holdOf("w1"))
	b.run(time.Second)
	b.Expect(b.stops).NotTo(BeEmpty())
	b.Expect(b.stops[0].Stop.Run).To(Equal(b.starts[0].Start.Run))
	running := append(w.lists.Running, b.workers["w2"].lists.Running...)
	b.Expect(running).To(HaveLen(1))
	b.Expect(running[0].Run).To(BeNumerically(">", b.starts[0].Start.Run))
}

func TestAnsweredStartDoesNotShowThatTheLifeIsTheSame(t *testing.T) {
	b := newBed(t, "w1")
	b.list()
	b.accept("i", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.run(time.Second)
	w := b.workers["w1"]
	w.end(taskName("i", 0), worker.Done)
	b.run(time.Second)
	b.Expect(b.holdOf("w1").Hold.LastSeen).To(BeEquivalentTo(1))
	w.waits = true
	b.next = append(b.next, Held{Worker: "w1", Life: b.holdOf("w1").Life, Code: worker.Unknown, Sent: b.now})
	b.run(100 * time.Millisecond)
	b.accept("j", testOffset+2, workflow.Step{}, workflow.Progress{})
	b.run(100 * time.Millisecond)
	b.Expect(b.startsOn("j")).To(Equal([]string{"w1"}), "the next life may have taken it")
	b.next = append(b.next, Held{Worker: "w1", Life: b.holdOf("w1").Life, Code: worker.Unknown, Sent: b.now - time.Second})
	b.run(time.Second)
	b.Expect(b.holdOf("w1").Hold.LastSeen).To(BeZero(), "the next life may have an end of that number")
	w.waits = false
	b.answer(b.holdOf("w1"))
	b.run(time.Second)
	b.Expect(b.holdOf("w1").Hold.LastSeen).To(BeEquivalentTo(1))
}

func TestEveryLifeIsToldToStopAStartThatMayYetComeLate(t *testing.T) {
	b := newBed(t, "w1", "w2")
	b.list("w2")
	b.run(500 * time.Millisecond)
	w := b.workers["w1"]
	w.silent = true
	b.accept("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.run(100 * time.Millisecond)
	b.Expect(b.startsOn("j")).NotTo(BeEmpty())
	b.list()
	first := b.starts[0].Start.Run
	for life := int64(2); life <= 4; life++ {
		b.stops = nil
		w.silent, w.born = false, b.now
		w.lists = worker.Lists{Born: life}
		b.run(2 * time.Second)
		b.Expect(b.stops).NotTo(BeEmpty(), "life %d", life)
		b.Expect(b.stops[0].Stop.Run).To(Equal(first))
		b.Expect(b.stops[0].Stop.Worker).To(Equal("w1"))
	}
}

func TestWorkerThatLeftIsRecordedSoThatASuccessorNeedNotWaitForIt(t *testing.T) {
	b := newBed(t, "w1", "w2")
	b.list()
	b.run(500 * time.Millisecond)
	b.list("w2")
	b.workers["w2"].silent = true
	b.run(1500 * time.Millisecond)
	var last Engagement
	for _, c := range b.commits {
		for _, e := range c.Engaged {
			if e.Worker == "w2" {
				last = e
			}
		}
	}
	b.Expect(last.Silent).To(BeTrue())
	b.Expect(last.Runs).To(BeEmpty())
	b.workers["w2"].silent = false
	b.list()
	b.accept("j", testOffset+1, workflow.Step{Count: 2}, workflow.Progress{})
	b.run(time.Second)
	b.Expect(b.startsOn("j")).To(ConsistOf("w1", "w2"))
}

func TestTasksOfAWorkerWhoseAddressWasReusedStartElsewhereAtOnce(t *testing.T) {
	b := newBed(t, "w1", "w2")
	b.list("w2")
	b.accept("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.run(time.Second)
	b.Expect(b.startsOn("j")).To(Equal([]string{"w1"}))
	b.workers["w1"].foreign = true
	b.list()
	b.run(1200 * time.Millisecond)
	b.Expect(b.startsOn("j")).To(Equal([]string{"w1", "w2"}))
}

func TestRefusedMemberOfAGangIsPlacedAgainWithTheSameRun(t *testing.T) {
	b := newBed(t, "w1", "w2")
	b.list()
	b.workers["w2"].refuse = worker.NoRoom
	b.accept("j", testOffset+1, workflow.Step{Count: 2, Gang: true}, workflow.Progress{})
	b.run(300 * time.Millisecond)
	b.workers["w2"].refuse = worker.OK
	b.run(time.Second)
	b.Expect(b.workers["w1"].lists.Running).To(HaveLen(1))
	b.Expect(b.workers["w2"].lists.Running).To(HaveLen(1))
	for _, s := range b.starts {
		b.Expect(s.Start.Run).To(Equal(b.starts[0].Start.Run))
	}
	b.Expect(b.stops).To(BeEmpty())
}

// takeOverWithout engages w1, which doesn't answer, and w2 and w3, which do.
func (b *bed) takeOverWithout(silent Engagement) {
	b.workers["w1"].silent = true
	b.next = append(b.next, WorkerEngaged{silent})
	for _, id := range []string{"w2", "w3"} {
		b.next = append(b.next, WorkerEngaged{Engagement{Worker: id, Address: id + ":1", Pool: "p", Born: 1}})
	}
	b.accept("old", testOffset-1, workflow.Step{}, workflow.Progress{Started: true})
	b.accept("new", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.list()
}

// TestJobThatMayRepeatOneWaitsForTheBarrier guards against a second run beside one
// that a former holder has started on a worker which isn't heard yet.
func TestJobThatMayRepeatOneWaitsForTheBarrier(t *testing.T) {
	b := newBed(t, "w1", "w2", "w3")
	b.takeOverWithout(Engagement{Worker: "w1", Address: "w1:1", Pool: "p", Born: 1})
	step := workflow.Step{Count: 1, Size: workflow.Size{MilliCPU: 1000}}
	b.next = append(b.next, JobAccepted{Job: &workflow.Job{ID: "repeat", Queue: "q", Spec: "s", Steps: []workflow.Step{step}, Unchecked: true}, Offset: testOffset + 2})
	b.run(11 * time.Second)
	b.Expect(b.startsOn("new")).To(HaveLen(1))
	b.Expect(b.startsOn("repeat")).To(BeEmpty(), "its first record may be older than the term")
	b.Expect(b.core.barrier).To(BeTrue())
	b.run(5 * time.Second)
	b.Expect(b.core.barrier).To(BeFalse())
}

func TestNothingOldStartsWhileAFormerHoldersWorkerIsNotFenced(t *testing.T) {
	b := newBed(t, "w1", "w2", "w3")
	b.takeOverWithout(Engagement{Worker: "w1", Address: "w1:1", Pool: "p", Born: 1})
	b.run(11 * time.Second)
	b.Expect(b.startsOn("new")).To(HaveLen(1))
	b.Expect(b.startsOn("old")).To(BeEmpty(), "it may run on w1, under leases of the former holder")
	for _, c := range b.commits {
		for _, e := range c.Engaged {
			b.Expect(e.Worker == "w1" && e.Silent).To(BeFalse(), "this holder doesn't know what may run there")
		}
	}
	b.run(5 * time.Second)
	b.Expect(b.startsOn("old")).To(HaveLen(1))
}

func TestTasksThatMayRunOnASilentWorkerWaitAndOthersDoNot(t *testing.T) {
	b := newBed(t, "w1", "w2", "w3")
	b.takeOverWithout(Engagement{Worker: "w1", Address: "w1:1", Pool: "p", Born: 1, Silent: true, Runs: []string{"old.0.0.0"}})
	b.accept("other", testOffset-1, workflow.Step{}, workflow.Progress{})
	b.run(2 * time.Second)
	b.Expect(b.startsOn("other")).To(HaveLen(1))
	b.Expect(b.startsOn("old")).To(BeEmpty())
	for id, w := range b.workers {
		if id != "w1" {
			w.end(taskName("other", 0), worker.Done)
			w.end(taskName("new", 0), worker.Done)
		}
	}
	b.run(8 * time.Second)
	b.Expect(b.startsOn("old")).To(BeEmpty())
	b.run(6 * time.Second)
	b.Expect(b.startsOn("old")).To(HaveLen(1))
}
