package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

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
	b.queuedEvents = append(b.queuedEvents, JobAccepted{Job: &workflow.Job{ID: id, Account: account, Queue: "q", Steps: steps}, Offset: offset, Progress: p})
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
			b.acceptFor("a", "old", testOffset-1, workflow.Progress{Started: true}, workflow.Step{})
		},
		"cancelled": func(b *harness) {
			b.acceptFor("a", "old", testOffset-1, workflow.Progress{Started: true, Final: workflow.Cancelled, EndedMillis: b.now.Milliseconds()}, workflow.Step{})
		},
		"copy of a finished task": func(b *harness) {
			b.acceptFor("a", "old", testOffset-1, workflow.Progress{Started: true, Final: workflow.Completed, EndedMillis: b.now.Milliseconds()}, workflow.Step{Speculative: true})
		},
		"step after one whose end is not recorded": func(b *harness) {
			b.acceptFor("a", "old", testOffset-1, workflow.Progress{Started: true}, workflow.Step{}, workflow.Step{DependsOn: []int{0}})
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
	b.acceptFor("a", "old", testOffset-1, workflow.Progress{Started: true, Final: workflow.Cancelled, EndedMillis: b.now.Milliseconds()}, workflow.Step{})
	b.acceptFor("a", "new", testOffset+1, workflow.Progress{}, workflow.Step{})
	b.advance(5 * time.Second)
	b.Expect(b.core.barrier).To(BeFalse())
	b.Expect(b.startHosts("new")).To(BeEmpty())
	b.advance(10 * time.Second)
	b.Expect(b.startHosts("new")).To(HaveLen(1))
}
