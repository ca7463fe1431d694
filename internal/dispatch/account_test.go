package dispatch

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// limitAccounts queues a configuration in which account a may use the given processor time
// and account b is without limit.
func (b *harness) limitAccounts(milliCPU int64) {
	b.queuedEvents = append(b.queuedEvents, CatalogChanged{&workflow.Catalog{
		Queues: map[string]workflow.Queue{"q": {Name: "q", Pool: "p", Priority: 1, Attempts: 2}, "urgent": {Name: "urgent", Pool: "p"}},
		Accounts: map[string]workflow.Account{
			"a": {Name: "a", Weight: 1, Maximum: workflow.Size{MilliCPU: milliCPU}}, "b": {Name: "b", Weight: 1}},
	}})
}

// acceptFor queues a job of an account whose tasks each fill a worker.
func (b *harness) acceptFor(account, id string, offset int64, p workflow.Progress, steps ...workflow.Step) {
	for i := range steps {
		steps[i].Count, steps[i].Size = max(steps[i].Count, 1), workflow.Size{MilliCPU: 1000}
	}
	job := &workflow.Job{ID: id, Account: account, Queue: "q", Steps: steps}
	if p.Final != "" {
		job = job.Summary() // what the log keeps of ended jobs
	}
	b.queuedEvents = append(b.queuedEvents, JobAccepted{Job: job, Offset: offset, Progress: p})
}

// newTakeover returns a harness whose previous leader had runs on w1, which is unreachable.
func newTakeover(t *testing.T, recorded ...string) *harness {
	b := newHarness(t, "w1", "w2", "w3")
	b.limitAccounts(1000)
	b.workers["w1"].unreachable = true
	for _, id := range []string{"w1", "w2", "w3"} {
		r := Registration{Worker: id, Address: id + ":1", Pool: "p", Born: 1}
		if id == "w1" && len(recorded) > 0 {
			r.Unreachable, r.Runs = true, recorded
		}
		b.queuedEvents = append(b.queuedEvents, WorkerRegistered{Registration: r})
	}
	b.listWorkers()
	return b
}

// A new leader must not start work of an account beside runs of a previous leader that it
// doesn't know. Other accounts must not wait for that.
func TestUnseenTasksCountUntilWorkersAreFenced(t *testing.T) {
	for name, accept := range map[string]func(*harness){
		"started": func(b *harness) {
			b.acceptFor("a", "old", testOffset-1, workflow.Progress{Ordered: true, Begun: true}, workflow.Step{})
		},
		"cancelled": func(b *harness) {
			b.acceptFor("a", "old", testOffset-1, workflow.Progress{Ordered: true, Begun: true, Final: workflow.Cancelled, EndedMillis: b.now.Milliseconds()}, workflow.Step{})
		},
		"copy of a finished task": func(b *harness) {
			b.acceptFor("a", "old", testOffset-1, workflow.Progress{Ordered: true, Begun: true, Final: workflow.Completed, EndedMillis: b.now.Milliseconds()}, workflow.Step{Speculative: true})
		},
		"step after one whose end is not recorded": func(b *harness) {
			b.acceptFor("a", "old", testOffset-1, workflow.Progress{Ordered: true, Begun: true}, workflow.Step{}, workflow.Step{DependsOn: []int{0}})
			b.queuedEvents[len(b.queuedEvents)-1].(JobAccepted).Job.Steps[0].Size.MilliCPU = 100
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTakeover(t)
			b.limitAccounts(1500)
			accept(b)
			b.acceptFor("a", "new", testOffset+1, workflow.Progress{}, workflow.Step{})
			b.acceptFor("b", "other", testOffset+2, workflow.Progress{}, workflow.Step{})
			b.advance(5 * time.Second)
			b.Expect(b.startHosts("new")).To(BeEmpty(), "w1 may run a task of the account")
			b.Expect(b.startHosts("other")).To(HaveLen(1))
			b.workers["w1"].unreachable = false
			b.advance(3 * time.Second)
			b.Expect(append(b.startHosts("new"), b.startHosts("old")...)).NotTo(BeEmpty())
			b.Expect(b.core.accounts.usage.Used("a").MilliCPU).To(BeNumerically("<=", 1500))
		})
	}
}

// A job that was cancelled while its worker was unreachable may still run there, also once
// the other work of the previous leader is known.
func TestRecordedRunsOfEndedJobsCount(t *testing.T) {
	b := newTakeover(t, "old.0.0.0")
	b.acceptFor("a", "old", testOffset-1, workflow.Progress{Ordered: true, Begun: true, Final: workflow.Cancelled, EndedMillis: b.now.Milliseconds()}, workflow.Step{})
	b.acceptFor("a", "new", testOffset+1, workflow.Progress{}, workflow.Step{})
	b.advance(5 * time.Second)
	b.Expect(b.core.barrier).To(BeFalse())
	b.Expect(b.startHosts("new")).To(BeEmpty())
	b.advance(10 * time.Second)
	b.Expect(b.startHosts("new")).To(HaveLen(1))
}

// A start without an answer may be carried out late and counts until that is excluded.
func TestLateStartsCount(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.limitAccounts(1000)
	b.listWorkers()
	b.advance(time.Second)
	for _, w := range b.workers {
		w.startCode = worker.Unknown
	}
	b.acceptFor("a", "first", testOffset+1, workflow.Progress{}, workflow.Step{})
	b.acceptFor("a", "second", testOffset+2, workflow.Progress{}, workflow.Step{})
	b.advance(100 * time.Millisecond)
	b.Expect(b.startHosts("second")).To(BeEmpty())
	b.Expect(b.core.accounts.usage.Used("a").MilliCPU).To(BeEquivalentTo(1000))
	for _, w := range b.workers {
		w.startCode = worker.OK
	}
	b.advance(3 * time.Second)
	b.Expect(b.core.accounts.usage.Used("a").MilliCPU).To(BeEquivalentTo(1000), "charged and refunded once")
}

// A lowered maximum stops nothing, and nothing more starts until the usage is below it.
func TestLoweredMaximum(t *testing.T) {
	b := newHarness(t, "w1", "w2", "w3")
	b.limitAccounts(2000)
	b.listWorkers()
	b.acceptFor("a", "wide", testOffset+1, workflow.Progress{}, workflow.Step{Count: 3})
	b.advance(time.Second)
	b.Expect(b.startHosts("wide")).To(HaveLen(2))
	b.limitAccounts(1000)
	b.advance(time.Second)
	b.Expect(b.stops).To(BeEmpty())
	b.workers[b.startHosts("wide")[0]].end(b.starts[0].Start.Task, worker.Done)
	b.advance(time.Second)
	b.Expect(b.startHosts("wide")).To(HaveLen(2), "one task uses the whole maximum")
	b.workers[b.startHosts("wide")[1]].end(b.starts[1].Start.Task, worker.Done)
	b.advance(time.Second)
	b.Expect(b.startHosts("wide")).To(HaveLen(3))
}

// A gang starts with all tasks or none. While its account's limit keeps it from starting, it
// must neither hold up other accounts nor have their work stopped.
func TestGangWaitsForItsWholeSize(t *testing.T) {
	b := newHarness(t, "w1", "w2", "w3")
	b.limitAccounts(1500)
	b.listWorkers()
	b.acceptFor("b", "victims", testOffset+1, workflow.Progress{}, workflow.Step{Count: 3, Checkpointing: true, EstimateMillis: 1000})
	b.queuedEvents[len(b.queuedEvents)-1].(JobAccepted).Job.AcceptedMillis = b.now.Milliseconds() + time.Hour.Milliseconds()
	b.advance(time.Second)
	b.Expect(b.startHosts("victims")).To(HaveLen(3))
	b.acceptFor("a", "gang", testOffset+2, workflow.Progress{}, workflow.Step{Count: 2, Gang: true})
	job := b.queuedEvents[len(b.queuedEvents)-1].(JobAccepted).Job
	job.Queue, job.AcceptedMillis = "urgent", b.now.Milliseconds()
	job.Steps[0].EstimateMillis = time.Minute.Milliseconds()
	b.advance(3 * time.Second)
	b.Expect(b.stops).To(BeEmpty(), "the gang can't start anyway")
	reason := ""
	for _, d := range b.core.Decisions() {
		if d.Kind == "job-waits" && d.Job == "gang" {
			reason = d.Outcome
		}
	}
	b.Expect(reason).To(Equal(reasonLimit))
	b.limitAccounts(2000)
	b.advance(3 * time.Second)
	b.Expect(b.startHosts("gang")).To(HaveLen(2), "preemption works once the limit allows the gang")
}

// Members of a gang that run already count once: a gang that is being completed must keep its
// place among the waiting steps although the limit has no room for a second one.
func TestFormingGangIsWithinLimit(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.limitAccounts(2000)
	b.listWorkers()
	b.advance(time.Second)
	b.workers["w2"].startCode = worker.InsufficientCapacity
	b.acceptFor("a", "gang", testOffset+1, workflow.Progress{}, workflow.Step{Count: 2, Gang: true})
	b.advance(200 * time.Millisecond)
	b.Expect(b.core.accounts.usage.Used("a").MilliCPU).To(BeEquivalentTo(1000))
	s := b.core.findStep(testTaskID("gang", 0).StepID)
	b.Expect(s.startsTogether()).To(Equal(1))
	b.Expect(s.limited).To(BeFalse())
}

// Without accounts, steps are ordered as if there had never been any.
func TestRemovedAccountsHaveNoShare(t *testing.T) {
	b := newHarness(t)
	b.limitAccounts(0)
	b.acceptFor("a", "j", testOffset+1, workflow.Progress{}, workflow.Step{})
	b.advance(tick)
	b.Expect(b.core.accounts.inUse()).To(BeTrue())
	b.queuedEvents = append(b.queuedEvents, CatalogChanged{&workflow.Catalog{Queues: b.core.catalog.Queues}})
	b.advance(time.Second)
	b.Expect(b.core.accounts.inUse()).To(BeFalse())
}

// No more work is stopped for a step than its account may start tasks.
func TestPreemptionWithinLimit(t *testing.T) {
	b := newHarness(t, "w1", "w2", "w3")
	b.limitAccounts(1000)
	b.listWorkers()
	b.acceptFor("b", "victims", testOffset+1, workflow.Progress{}, workflow.Step{Count: 3, Checkpointing: true, EstimateMillis: 1000})
	b.queuedEvents[len(b.queuedEvents)-1].(JobAccepted).Job.AcceptedMillis = b.now.Milliseconds() + time.Hour.Milliseconds()
	b.advance(time.Second)
	b.acceptFor("a", "wide", testOffset+2, workflow.Progress{}, workflow.Step{Count: 3, EstimateMillis: time.Minute.Milliseconds()})
	job := b.queuedEvents[len(b.queuedEvents)-1].(JobAccepted).Job
	job.Queue, job.AcceptedMillis = "urgent", b.now.Milliseconds()
	b.advance(3 * time.Second)
	b.Expect(b.startHosts("wide")).To(HaveLen(1))
	b.Expect(b.stops).To(HaveLen(1))
}

// The jobs that an account sends beyond its rate must not delay those of another. Among
// jobs within their rates, those that can't be on time must not make others late.
func TestOrderOfWaitingJobs(t *testing.T) {
	b := newHarness(t)
	b.limitAccounts(0)
	wall := b.now.Milliseconds()
	accept := func(account, id string, accepted, estimate int64) {
		b.acceptFor(account, id, testOffset+int64(len(b.queuedEvents)), workflow.Progress{}, workflow.Step{EstimateMillis: estimate})
		b.queuedEvents[len(b.queuedEvents)-1].(JobAccepted).Job.AcceptedMillis = accepted
	}
	for i := range 5 {
		accept("a", "flood"+strconv.Itoa(i), wall-900, 10_000)
	}
	accept("b", "infeasible", wall-2000, 10_000)
	accept("b", "feasible", wall, 20_000)
	b.advance(tick)
	var order []string
	for _, s := range b.core.waitingSteps {
		order = append(order, s.occurrence.job.def.ID)
	}
	b.Expect(order).To(Equal([]string{"feasible", "infeasible", "flood0", "flood1", "flood2", "flood3", "flood4"}))
}

// The runs that may be stopped are kept for one round only, and a run that is being stopped
// in this round is not chosen again.
func TestPreemptibleRunsAreCurrent(t *testing.T) {
	g := NewWithT(t)
	c := New(testSettings(testToken), time.Minute, 0)
	h := &host{runs: map[runKey]*run{}}
	j := &job{def: &workflow.Job{}, objective: time.Hour.Milliseconds(), queue: workflow.Queue{Priority: 1}}
	s := &step{occurrence: &occurrence{job: j}, def: &workflow.Step{Checkpointing: true}}
	for i, percent := range []float64{50, 10} {
		h.addRun(&run{task: &task{step: s, index: i}, taskID: testTaskID("j", i), state: running, host: h, percent: percent, size: workflow.Size{MilliCPU: 500}})
	}
	c.round = 1
	runs := c.preemptible(h)
	g.Expect(runs).To(HaveLen(2))
	g.Expect(runs[0].percent).To(BeEquivalentTo(10), "the least advanced first")
	runs[0].state = stopping
	urgent := &step{occurrence: &occurrence{job: &job{def: &workflow.Job{}}}, def: &workflow.Step{Size: workflow.Size{MilliCPU: 500}}}
	victims, ok := c.selectVictims(urgent, h, workflow.Size{}, nil)
	g.Expect(ok).To(BeTrue())
	g.Expect(victims).To(HaveLen(1))
	g.Expect(victims[0].percent).To(BeEquivalentTo(50))
	c.round++
	g.Expect(c.preemptible(h)).To(HaveLen(1))
}

// Only a job beyond its account's rate that would wait until it is of no use is rejected.
func TestAdmissionRejects(t *testing.T) {
	g := NewWithT(t)
	c := New(testSettings(testToken), time.Minute, 0)
	c.catalog = &workflow.Catalog{Accounts: map[string]workflow.Account{"a": {Name: "a", Weight: 1}}}
	c.configureAccounts()
	def := &workflow.Job{ID: "j", Account: "a", QueueSnapshot: &workflow.Queue{Target: time.Second}, AcceptedMillis: 1000,
		Steps: []workflow.Step{{Count: 1, EstimateMillis: 1000}}}
	c.countJob(&job{def: def})
	g.Expect(c.Admission()).To(BeNil(), "there is no backlog")
	c.accounts.backlogs["a"] = &excessBacklog{waiting: 10, placed: 1}
	a := c.Admission()
	after, reject := a.Reject(def, 1000)
	g.Expect(reject).To(BeTrue())
	g.Expect(after).To(Equal(15*time.Second), "20 s of backlog, of use for 5 s")
	_, reject = a.Reject(def, 3000)
	g.Expect(reject).To(BeFalse(), "within the rate")
	patient := *def
	patient.QueueSnapshot = &workflow.Queue{Target: time.Minute}
	_, reject = a.Reject(&patient, 1000)
	g.Expect(reject).To(BeFalse(), "of use for long enough")
	for _, change := range []func(*workflow.Job){func(j *workflow.Job) { j.Account = "b" }, func(j *workflow.Job) { j.Account = "" }, func(j *workflow.Job) { j.QueueSnapshot = nil }} {
		other := *def
		change(&other)
		_, reject = a.Reject(&other, 1000)
		g.Expect(reject).To(BeFalse())
	}
}
