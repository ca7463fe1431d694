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
	tick       = 20 * time.Millisecond
)

// harness drives a core whose orders are answered in the next step by workers of one
// core each. The workers follow all orders unless the test says otherwise.
type harness struct {
	*WithT
	core         *Core
	now          time.Duration
	workers      map[string]*testWorker
	queuedEvents []Event
	// starts, stops, commits and heartbeats are the effects so far.
	starts     []StartTask
	stops      []StopTask
	commits    []Commit
	heartbeats []SendHeartbeat
	// holdsCommits is set while commits get no answer yet.
	holdsCommits bool
	// noMachineList is set while the list of machines can't be read.
	noMachineList bool
}

type testWorker struct {
	born    time.Duration
	lists   worker.HeartbeatResponse
	lastEnd int64
	// unreachable workers answer nothing and do nothing.
	unreachable bool
	// holdsHeartbeats is set while heartbeats get no answer yet.
	holdsHeartbeats bool
	// stuckPercent is the progress at which its runs stay, or 0 if they progress.
	stuckPercent float64
	// addressReused is set if another worker listens at the address.
	addressReused bool
	// crashed is set while nothing listens at the address, until backAt.
	crashed bool
	backAt  time.Duration
	// refuses is set while something in between refuses connections to the worker.
	refuses bool
	// exhausted is set while the worker accepts no connection.
	exhausted bool
	// startCode is the answer to starts.
	startCode worker.Code
	// hidesRuns is set while the rows of its runs can't be read.
	hidesRuns bool
	// stopsSlowly is set if stopped runs go on for a while.
	stopsSlowly bool
}

func newHarness(t *testing.T, workers ...string) *harness {
	b := &harness{WithT: NewWithT(t), now: time.Minute, workers: map[string]*testWorker{}}
	b.core = New(testSettings(testToken), b.now, b.now.Milliseconds())
	for _, id := range workers {
		b.workers[id] = &testWorker{born: b.now - time.Second}
		b.workers[id].lists.Born = 1
	}
	b.queuedEvents = append(b.queuedEvents, CatalogChanged{&workflow.Catalog{Version: 1, Queues: map[string]workflow.Queue{"q": {Name: "q", Pool: "p", Attempts: 2}}}})
	return b
}

func testSettings(token int64) Settings {
	return Settings{Token: token, TermOffset: testOffset, Lease: 6 * time.Second, MaxLease: 10 * time.Second,
		PreviousLeaderBound: 11500 * time.Millisecond, ConfirmationTTL: 5 * time.Second, StopTimeout: 2 * time.Second,
		RemoteFactor: 2, StatusRetention: time.Minute}
}

// testInfo returns the list entry of a worker of one core.
func testInfo(id string, born int64) worker.Info {
	return worker.Info{ID: id, Address: id + ":1", Pool: "p", Machine: id + "-m", Born: born, Capacity: workflow.Size{MilliCPU: 1000}, Labels: []string{"std", "r1"}}
}

// listWorkers queues the platform's list, with all workers but those named.
func (b *harness) listWorkers(without ...string) {
	var infos []worker.Info
	for _, id := range []string{"w1", "w2", "w3"} {
		w := b.workers[id]
		if w == nil || len(without) > 0 && without[0] == id {
			continue
		}
		infos = append(infos, testInfo(id, w.lists.Born))
	}
	b.queuedEvents = append(b.queuedEvents, WorkersListed{infos})
}

// acceptJob queues a job of one step whose tasks each fill a worker.
func (b *harness) acceptJob(id string, offset int64, step workflow.Step, p workflow.Progress) {
	step.Count = max(step.Count, 1)
	step.Size = workflow.Size{MilliCPU: 1000}
	b.queuedEvents = append(b.queuedEvents, JobAccepted{Job: &workflow.Job{ID: id, Queue: "q", Spec: "s", Steps: []workflow.Step{step}}, Offset: offset, Progress: p})
}

// advance runs steps until the given time has passed.
func (b *harness) advance(d time.Duration) {
	for end := b.now + d; b.now < end; b.now += tick {
		events := append(b.queuedEvents, LeadershipConfirmed{b.now + 5*time.Second})
		b.queuedEvents = nil
		for _, e := range b.core.Step(b.now, b.now.Milliseconds(), events...) {
			b.answer(e)
		}
	}
}

func (b *harness) answer(e Effect) {
	switch e := e.(type) {
	case ListMachines:
		ev := MachinesListed{SentAt: b.now, Failed: b.noMachineList}
		for id, w := range b.workers {
			m := worker.Machine{Name: id + "-m", State: worker.MachineUp, Worker: id}
			if w.crashed {
				m.State, m.Worker = worker.MachineDown, ""
			}
			ev.Machines = append(ev.Machines, m)
		}
		b.queuedEvents = append(b.queuedEvents, ev)
	case Commit:
		b.commits = append(b.commits, e)
		if b.holdsCommits {
			return
		}
		b.queuedEvents = append(b.queuedEvents, Committed{Number: e.Number})
	case SendHeartbeat:
		b.heartbeats = append(b.heartbeats, e)
		w := b.workers[e.Heartbeat.Worker]
		if w.holdsHeartbeats {
			return
		}
		if w.unreachable {
			b.queuedEvents = append(b.queuedEvents, HeartbeatAnswered{Worker: e.Heartbeat.Worker, Incarnation: e.Incarnation, Code: worker.Unknown, SentAt: b.now})
			return
		}
		if w.addressReused {
			b.queuedEvents = append(b.queuedEvents, HeartbeatAnswered{Worker: e.Heartbeat.Worker, Incarnation: e.Incarnation, Code: worker.WrongIncarnation, SentAt: b.now})
			return
		}
		if code := w.connect(); code != worker.OK {
			b.queuedEvents = append(b.queuedEvents, HeartbeatAnswered{Worker: e.Heartbeat.Worker, Incarnation: e.Incarnation, Code: code, SentAt: b.now})
			return
		}
		w.forget(e.Heartbeat.LastAckedEnd)
		b.queuedEvents = append(b.queuedEvents, HeartbeatAnswered{Worker: e.Heartbeat.Worker, Incarnation: e.Incarnation, SentAt: b.now, Lists: w.listed(b.now)})
	case StartTask:
		b.starts = append(b.starts, e)
		w := b.workers[e.Start.Worker]
		code := w.startCode
		if w.addressReused {
			code = worker.WrongIncarnation
		}
		if w.unreachable {
			code = worker.Unknown
		}
		if failed := w.connect(); failed != worker.OK {
			code = failed
		}
		if code == worker.OK {
			w.lists.Running = append(w.lists.Running, worker.ActiveRun{Task: e.Start.Task, Run: e.Start.Run})
		}
		b.queuedEvents = append(b.queuedEvents, StartAnswered{Worker: e.Start.Worker, Incarnation: e.Incarnation, Task: e.Start.Task, Run: e.Start.Run, Code: code})
	case StopTask:
		b.stops = append(b.stops, e)
		w := b.workers[e.Stop.Worker]
		if w.unreachable {
			b.queuedEvents = append(b.queuedEvents, StopAnswered{Worker: e.Stop.Worker, Incarnation: e.Incarnation, Task: e.Stop.Task, Run: e.Stop.Run, Code: worker.Unknown})
			return
		}
		if code := w.connect(); code != worker.OK {
			b.queuedEvents = append(b.queuedEvents, StopAnswered{Worker: e.Stop.Worker, Incarnation: e.Incarnation, Task: e.Stop.Task, Run: e.Stop.Run, Code: code})
			return
		}
		if w.addressReused {
			b.queuedEvents = append(b.queuedEvents, StopAnswered{Worker: e.Stop.Worker, Incarnation: e.Incarnation, Task: e.Stop.Task, Run: e.Stop.Run, Code: worker.WrongIncarnation})
			return
		}
		if !w.stopsSlowly {
			w.end(e.Stop.Task, worker.Stopped)
		}
		b.queuedEvents = append(b.queuedEvents, StopAnswered{Worker: e.Stop.Worker, Incarnation: e.Incarnation, Task: e.Stop.Task, Run: e.Stop.Run})
	}
}

// connect returns what comes of an attempt to connect to the worker.
func (w *testWorker) connect() worker.Code {
	switch {
	case w.exhausted:
		return worker.ConnectionsExhausted
	case w.crashed || w.refuses:
		return worker.ConnectionRefused
	}
	return worker.OK
}

// longTask is how long the tasks of the tests would run.
const longTask = time.Hour

func (w *testWorker) clock(now time.Duration) int64 { return (now - w.born).Milliseconds() }

func (w *testWorker) listed(now time.Duration) worker.HeartbeatResponse {
	l := worker.HeartbeatResponse{ClockMillis: w.clock(now), Born: w.lists.Born}
	for _, r := range w.lists.Running {
		r.Percent = 100 * now.Seconds() / longTask.Seconds()
		if w.stuckPercent > 0 {
			r.Percent = w.stuckPercent
		}
		if w.hidesRuns {
			l.Incomplete = true
			continue
		}
		l.Running = append(l.Running, r)
	}
	l.Ended = append(l.Ended, w.lists.Ended...)
	return l
}

// end ends a running task of the worker.
func (w *testWorker) end(id workflow.TaskID, how worker.ExitStatus) {
	for i, r := range w.lists.Running {
		if r.Task == id {
			w.lists.Running = append(w.lists.Running[:i:i], w.lists.Running[i+1:]...)
			w.lastEnd++
			w.lists.Ended = append(w.lists.Ended, worker.EndedRun{Number: w.lastEnd, Task: id, Run: r.Run, How: how})
			return
		}
	}
}

func (w *testWorker) forget(seen int64) {
	for len(w.lists.Ended) > 0 && w.lists.Ended[0].Number <= seen {
		w.lists.Ended = w.lists.Ended[1:]
	}
}

func testTaskID(job string, index int) workflow.TaskID {
	return workflow.TaskID{StepID: workflow.StepID{Job: job}, Index: index}
}

// lastHeartbeat returns the newest heartbeat to a worker.
func (b *harness) lastHeartbeat(id string) SendHeartbeat {
	for i := len(b.heartbeats) - 1; i >= 0; i-- {
		if b.heartbeats[i].Heartbeat.Worker == id {
			return b.heartbeats[i]
		}
	}
	b.Expect(id).To(BeEmpty(), "no heartbeat was sent to the worker")
	return SendHeartbeat{}
}

// startHosts returns the workers on which the tasks of a job were started, in order.
func (b *harness) startHosts(job string) []string {
	var on []string
	for _, s := range b.starts {
		if s.Start.Task.Job == job {
			on = append(on, s.Start.Worker)
		}
	}
	return on
}

func (b *harness) finalState(job string) workflow.State {
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

// After contact is lost, heartbeats must not extend leases on the worker. Its task
// starts elsewhere, but not while the last lease may still be valid.
func TestUnansweredHeartbeatDoesNotExtendLeases(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{Requires: "std"}, workflow.Progress{})
	b.advance(500 * time.Millisecond)
	first := b.startHosts("j")
	b.Expect(first).To(HaveLen(1))
	w := b.workers[first[0]]
	w.unreachable = true
	b.heartbeats = nil
	b.advance(60 * time.Millisecond)
	cut := b.now
	granted := b.starts[0].Start.DeadlineMillis
	for _, h := range b.heartbeats {
		if h.Heartbeat.Worker == first[0] {
			granted = max(granted, h.Heartbeat.DeadlineMillis)
		}
	}
	b.heartbeats = nil
	b.advance(5 * time.Second)
	b.Expect(b.startHosts("j")).To(HaveLen(1), "its lease may still be valid")
	b.advance(5 * time.Second)
	for _, h := range b.heartbeats {
		if h.Heartbeat.Worker == first[0] {
			b.Expect(h.Heartbeat.DeadlineMillis).To(BeNumerically("<=", granted), "at %v", b.now-cut)
		}
	}
	b.Expect(b.startHosts("j")).To(HaveLen(2))
	b.Expect(b.startHosts("j")[1]).NotTo(Equal(first[0]))
}

// A failed task avoids its worker for a while, then starts there again if there is no
// other, until its attempts are used up.
func TestFailedTaskRestartsOnSameWorkerAfterPause(t *testing.T) {
	b := newHarness(t, "w1")
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(500 * time.Millisecond)
	b.workers["w1"].end(testTaskID("j", 0), worker.Failed)
	b.advance(failedHostAvoidTime - 200*time.Millisecond)
	b.Expect(b.startHosts("j")).To(HaveLen(1))
	b.advance(time.Second)
	b.Expect(b.startHosts("j")).To(HaveLen(2))
	b.workers["w1"].end(testTaskID("j", 0), worker.Failed)
	b.advance(500 * time.Millisecond)
	b.Expect(b.finalState("j")).To(Equal(workflow.Failed))
	b.advance(5 * time.Second)
	b.Expect(b.startHosts("j")).To(HaveLen(2), "it has used its attempts")
}

// A run that the worker lists after a takeover must be kept, and its resources must not
// be given to another job.
func TestRunOfPreviousLeaderIsAdoptedWithItsSize(t *testing.T) {
	b := newHarness(t, "w1")
	b.queuedEvents = append(b.queuedEvents, WorkerRegistered{Registration: Registration{Worker: "w1", Address: "w1:1", Pool: "p", Born: 1}})
	b.acceptJob("old", testOffset-1, workflow.Step{}, workflow.Progress{Ordered: true, Begun: true})
	b.acceptJob("new", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.workers["w1"].lists.Running = []worker.ActiveRun{{Task: testTaskID("old", 0), Run: 7}}
	b.listWorkers()
	b.advance(2 * time.Second)
	b.Expect(b.starts).To(BeEmpty(), "the worker is full")
	b.Expect(b.stops).To(BeEmpty())
	b.workers["w1"].end(testTaskID("old", 0), worker.Done)
	b.advance(time.Second)
	b.Expect(b.startHosts("new")).To(Equal([]string{"w1"}))
	b.Expect(b.finalState("old")).To(Equal(workflow.Completed))
}

// A worker lists an end until it hears that the end is recorded. A failure recorded by
// the previous leader must not count twice towards the attempts.
func TestEndsRecordedByPreviousLeaderAreNotCountedAgain(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.queuedEvents = append(b.queuedEvents, WorkerRegistered{Registration: Registration{Worker: "w1", Address: "w1:1", Pool: "p", Born: 1, LastEnd: 3}})
	p := workflow.Progress{Ordered: true, Begun: true, Occurrences: []workflow.OccurrenceProgress{{Steps: []workflow.StepProgress{{Failures: map[int]int{0: 1}}}}}}
	b.acceptJob("j", testOffset-1, workflow.Step{}, p)
	b.workers["w1"].lastEnd = 3
	b.workers["w1"].lists.Ended = []worker.EndedRun{{Number: 3, Task: testTaskID("j", 0), Run: 7, How: worker.Failed}}
	b.listWorkers()
	b.advance(time.Second)
	b.Expect(b.finalState("j")).To(BeEmpty())
	b.Expect(b.startHosts("j")).To(HaveLen(1))
	b.Expect(b.starts[0].Start.Run).To(BeNumerically(">", 7))
	b.workers[b.startHosts("j")[0]].end(testTaskID("j", 0), worker.Failed)
	b.advance(time.Second)
	b.Expect(b.finalState("j")).To(Equal(workflow.Failed), "the failures of both terms count")
}

// A worker is removed and listed again in the same incarnation. The failure that it
// lists again must not count twice.
func TestEndsAreNotCountedAgainWhenWorkerIsRelisted(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers("w2")
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(500 * time.Millisecond)
	b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}))
	b.workers["w1"].end(testTaskID("j", 0), worker.Failed)
	b.listWorkers("w1")
	b.advance(8 * time.Second)
	b.Expect(b.startHosts("j")).To(Equal([]string{"w1", "w2"}))
	b.listWorkers()
	b.advance(time.Second)
	b.Expect(b.finalState("j")).To(BeEmpty(), "it has failed once")
}

// A worker restarts unnoticed and the new incarnation accepts a start. The task must
// not start a second time when the platform lists the new incarnation.
func TestRunAcceptedByNextIncarnationIsNotStartedElsewhere(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers("w2")
	b.advance(500 * time.Millisecond)
	w := b.workers["w1"]
	w.lists.Born, w.born, w.holdsHeartbeats = 2, b.now, true
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(100 * time.Millisecond)
	b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}), "its new incarnation isn't known yet")
	b.listWorkers()
	b.advance(time.Second)
	b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}), "the new incarnation has answered the start")
}

// An older heartbeat reports the wrong incarnation. The run that the next incarnation may
// have accepted must be stopped before its task starts again.
func TestRunAcceptedByNextIncarnationIsStoppedWhenOlderCallFindsIt(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers("w2")
	b.advance(500 * time.Millisecond)
	w := b.workers["w1"]
	w.lists.Born, w.born, w.holdsHeartbeats = 2, b.now, true
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(100 * time.Millisecond)
	b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}))
	b.queuedEvents = append(b.queuedEvents, HeartbeatAnswered{Worker: "w1", Incarnation: b.lastHeartbeat("w1").Incarnation, Code: worker.WrongIncarnation, SentAt: b.now})
	b.listWorkers()
	b.advance(40 * time.Millisecond)
	b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}), "it may run in the next incarnation")
	w.holdsHeartbeats = false
	b.answer(b.lastHeartbeat("w1"))
	b.advance(time.Second)
	b.Expect(b.stops).NotTo(BeEmpty())
	b.Expect(b.stops[0].Stop.Run).To(Equal(b.starts[0].Start.Run))
	running := append(w.lists.Running, b.workers["w2"].lists.Running...)
	b.Expect(running).To(HaveLen(1))
	b.Expect(running[0].Run).To(BeNumerically(">", b.starts[0].Start.Run))
}

// The next incarnation may answer a start. Until a heartbeat shows which incarnation is
// there, heartbeats must not acknowledge ends by the numbers of the old one.
func TestAnsweredStartDoesNotProveSameIncarnation(t *testing.T) {
	b := newHarness(t, "w1")
	b.listWorkers()
	b.acceptJob("i", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(time.Second)
	w := b.workers["w1"]
	w.end(testTaskID("i", 0), worker.Done)
	b.advance(time.Second)
	b.Expect(b.lastHeartbeat("w1").Heartbeat.LastAckedEnd).To(BeEquivalentTo(1))
	w.holdsHeartbeats = true
	b.queuedEvents = append(b.queuedEvents, HeartbeatAnswered{Worker: "w1", Incarnation: b.lastHeartbeat("w1").Incarnation, Code: worker.Unknown, SentAt: b.now})
	b.advance(100 * time.Millisecond)
	b.acceptJob("j", testOffset+2, workflow.Step{}, workflow.Progress{})
	b.advance(100 * time.Millisecond)
	b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}), "the next incarnation may have accepted it")
	b.queuedEvents = append(b.queuedEvents, HeartbeatAnswered{Worker: "w1", Incarnation: b.lastHeartbeat("w1").Incarnation, Code: worker.Unknown, SentAt: b.now - time.Second})
	b.advance(time.Second)
	b.Expect(b.lastHeartbeat("w1").Heartbeat.LastAckedEnd).To(BeZero(), "the next incarnation may have an end with that number")
	w.holdsHeartbeats = false
	b.answer(b.lastHeartbeat("w1"))
	b.advance(time.Second)
	b.Expect(b.lastHeartbeat("w1").Heartbeat.LastAckedEnd).To(BeEquivalentTo(1))
}

// A start without an answer may be carried out late, in any later incarnation of its
// worker. Each of them must be told to stop it.
func TestEveryIncarnationIsToldToStopLateStart(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers("w2")
	b.advance(500 * time.Millisecond)
	w := b.workers["w1"]
	w.unreachable = true
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(100 * time.Millisecond)
	b.Expect(b.startHosts("j")).NotTo(BeEmpty())
	b.listWorkers()
	first := b.starts[0].Start.Run
	for incarnation := int64(2); incarnation <= 4; incarnation++ {
		b.stops = nil
		w.unreachable, w.born = false, b.now
		w.lists = worker.HeartbeatResponse{Born: incarnation}
		b.advance(2 * time.Second)
		b.Expect(b.stops).NotTo(BeEmpty(), "incarnation %d", incarnation)
		b.Expect(b.stops[0].Stop.Run).To(Equal(first))
		b.Expect(b.stops[0].Stop.Worker).To(Equal("w1"))
	}
}

// A worker that leaves the list must be recorded as unreachable, so that a later leader
// doesn't wait for it. Listed again, it must get work.
func TestDelistedWorkerIsRecordedAsUnreachable(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers()
	b.advance(500 * time.Millisecond)
	b.listWorkers("w2")
	b.workers["w2"].unreachable = true
	b.advance(1500 * time.Millisecond)
	var last Registration
	for _, c := range b.commits {
		for _, e := range c.Registered {
			if e.Worker == "w2" {
				last = e
			}
		}
	}
	b.Expect(last.Unreachable).To(BeTrue())
	b.Expect(last.Runs).To(BeEmpty())
	b.workers["w2"].unreachable = false
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{Count: 2}, workflow.Progress{})
	b.advance(time.Second)
	b.Expect(b.startHosts("j")).To(ConsistOf("w1", "w2"))
}

// If another worker answers at the address, the old one is gone. Its tasks must not wait
// for their leases to expire.
func TestTasksRestartPromptlyWhenWorkerAddressIsReused(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers("w2")
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(time.Second)
	b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}))
	b.workers["w1"].addressReused = true
	b.listWorkers()
	b.advance(1200 * time.Millisecond)
	b.Expect(b.startHosts("j")).To(Equal([]string{"w1", "w2"}))
}

// A gang member whose start is refused must be started again in the same run, without
// stopping the other members.
func TestRefusedGangMemberIsRetriedWithSameRun(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers()
	b.workers["w2"].startCode = worker.InsufficientCapacity
	b.acceptJob("j", testOffset+1, workflow.Step{Count: 2, Gang: true}, workflow.Progress{})
	b.advance(300 * time.Millisecond)
	b.workers["w2"].startCode = worker.OK
	b.advance(time.Second)
	b.Expect(b.workers["w1"].lists.Running).To(HaveLen(1))
	b.Expect(b.workers["w2"].lists.Running).To(HaveLen(1))
	for _, s := range b.starts {
		b.Expect(s.Start.Run).To(Equal(b.starts[0].Start.Run))
	}
	b.Expect(b.stops).To(BeEmpty())
}

// takeOverWithUnreachable registers w1, which doesn't answer, and w2 and w3, which do.
func (b *harness) takeOverWithUnreachable(unreachable Registration) {
	b.workers["w1"].unreachable = true
	b.queuedEvents = append(b.queuedEvents, WorkerRegistered{Registration: unreachable})
	for _, id := range []string{"w2", "w3"} {
		b.queuedEvents = append(b.queuedEvents, WorkerRegistered{Registration: Registration{Worker: id, Address: id + ":1", Pool: "p", Born: 1}})
	}
	b.acceptJob("old", testOffset-1, workflow.Step{}, workflow.Progress{Ordered: true, Begun: true})
	b.acceptJob("new", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.listWorkers()
}

// A possible duplicate may repeat a job that was accepted before the term. It must not
// get a second run beside one that a previous leader has started on a worker that isn't
// in contact yet.
func TestPossibleDuplicateWaitsForTakeoverBarrier(t *testing.T) {
	b := newHarness(t, "w1", "w2", "w3")
	b.takeOverWithUnreachable(Registration{Worker: "w1", Address: "w1:1", Pool: "p", Born: 1})
	step := workflow.Step{Count: 1, Size: workflow.Size{MilliCPU: 1000}}
	b.queuedEvents = append(b.queuedEvents, JobAccepted{Job: &workflow.Job{ID: "repeat", Queue: "q", Spec: "s", Steps: []workflow.Step{step}, MaybeDuplicate: true}, Offset: testOffset + 2})
	b.advance(11 * time.Second)
	b.Expect(b.startHosts("new")).To(HaveLen(1))
	b.Expect(b.startHosts("repeat")).To(BeEmpty(), "its first record may be older than the term")
	b.Expect(b.core.barrier).To(BeTrue())
	b.advance(5 * time.Second)
	b.Expect(b.core.barrier).To(BeFalse())
}

// A job from an earlier term may run on a worker that isn't fenced yet. It must wait
// until the leases of the previous leader have expired; new jobs must not.
func TestOldJobWaitsWhileWorkerOfPreviousLeaderIsNotFenced(t *testing.T) {
	b := newHarness(t, "w1", "w2", "w3")
	b.takeOverWithUnreachable(Registration{Worker: "w1", Address: "w1:1", Pool: "p", Born: 1})
	b.advance(11 * time.Second)
	b.Expect(b.startHosts("new")).To(HaveLen(1))
	b.Expect(b.startHosts("old")).To(BeEmpty(), "it may run on w1, under leases of the previous leader")
	for _, c := range b.commits {
		for _, e := range c.Registered {
			b.Expect(e.Worker == "w1" && e.Unreachable).To(BeFalse(), "this leader doesn't know what may run there")
		}
	}
	b.advance(5 * time.Second)
	b.Expect(b.startHosts("old")).To(HaveLen(1))
}

// If the previous leader recorded what may run on an unreachable worker, only these
// tasks wait for the leases there to expire.
func TestOnlyTasksOfUnreachableWorkerWait(t *testing.T) {
	b := newHarness(t, "w1", "w2", "w3")
	b.takeOverWithUnreachable(Registration{Worker: "w1", Address: "w1:1", Pool: "p", Born: 1, Unreachable: true, Runs: []string{"old.0.0.0"}})
	b.acceptJob("other", testOffset-1, workflow.Step{}, workflow.Progress{})
	b.advance(2 * time.Second)
	b.Expect(b.startHosts("other")).To(HaveLen(1))
	b.Expect(b.startHosts("old")).To(BeEmpty())
	for id, w := range b.workers {
		if id != "w1" {
			w.end(testTaskID("other", 0), worker.Done)
			w.end(testTaskID("new", 0), worker.Done)
		}
	}
	b.advance(8 * time.Second)
	b.Expect(b.startHosts("old")).To(BeEmpty())
	b.advance(6 * time.Second)
	b.Expect(b.startHosts("old")).To(HaveLen(1))
}

func TestRestartedWorkerGetsWorkAfterOutdatedEntry(t *testing.T) {
	b := newHarness(t, "w1")
	b.listWorkers()
	b.advance(time.Second)
	b.workers["w1"].crashed = true
	b.advance(2 * time.Second)
	b.listWorkers() // the entry of the ended incarnation
	b.advance(100 * time.Millisecond)
	b.workers["w1"].crashed, b.workers["w1"].born = false, b.now
	b.workers["w1"].lists.Born++
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(2 * time.Second)
	b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}))
}
