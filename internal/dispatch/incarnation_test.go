package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// startOnFirst runs a job on w1 while w2 isn't listed yet, and then lists both.
func startOnFirst(t *testing.T) *harness {
	b := newHarness(t, "w1", "w2")
	b.workers["w1"].lists.Born = 1000
	b.listWorkers("w2")
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(time.Second)
	b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}))
	b.listWorkers()
	b.advance(time.Second)
	return b
}

// listAtOtherAddress queues a list that has w1, in the same incarnation, at w2's address.
func (b *harness) listAtOtherAddress() {
	moved := testInfo("w1", b.workers["w1"].lists.Born)
	moved.Address = "w2:1"
	b.queuedEvents = append(b.queuedEvents, WorkersListed{[]worker.Info{moved, testInfo("w2", 1)}})
}

// The worker that answers at an address where this incarnation never was proves nothing about it.
func TestWrongIncarnationAtNewAddressDoesNotEndRuns(t *testing.T) {
	b := startOnFirst(t)
	b.listAtOtherAddress()
	b.advanceByAddress(4 * time.Second)
	b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}), "it still runs there, under a lease")
}

// A leader's first call to an inherited worker goes to an address that the worker never registered.
func TestWrongIncarnationAtNewAddressDoesNotFreeInheritedRuns(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.queuedEvents = append(b.queuedEvents, WorkerRegistered{Registration: Registration{Worker: "w1", Address: "w1:1", Pool: "p", Born: 1}})
	b.acceptJob("old", testOffset-1, workflow.Step{}, workflow.Progress{Ordered: true, Begun: true})
	b.workers["w1"].lists.Running = []worker.ActiveRun{{Task: testTaskID("old", 0), Run: 7}}
	b.listAtOtherAddress()
	b.advanceByAddress(4 * time.Second)
	b.Expect(b.startHosts("old")).To(BeEmpty(), "it still runs on w1, under a lease of the previous leader")
}

// A host whose clock was set back restarts its worker, which then has an earlier start time.
func TestWorkerRestartedAfterItsClockWasSetBackLosesItsRuns(t *testing.T) {
	b := startOnFirst(t)
	w := b.workers["w1"]
	w.born = b.now
	w.lists = worker.HeartbeatResponse{Born: 500}
	b.advance(20 * time.Second)
	b.Expect(b.startHosts("j")).To(HaveLen(2), "nothing has run there since its restart")
}

// An entry with a start time in the future must not make a living worker useless.
func TestWorkerWithEntryFromTheFutureGetsWork(t *testing.T) {
	b := newHarness(t, "w1")
	b.workers["w1"].lists.Born = 1000
	b.queuedEvents = append(b.queuedEvents, WorkersListed{[]worker.Info{testInfo("w1", 1<<50)}})
	b.advance(time.Second)
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(5 * time.Second)
	b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}))
}

// A run whose row can't be read is still there.
func TestRunOfUnreadableRowIsNotStartedElsewhere(t *testing.T) {
	b := startOnFirst(t)
	b.workers["w1"].hidesRuns = true
	for end := b.now + 5*time.Second; b.now < end; {
		b.advance(tick)
		b.Expect(len(b.workers["w1"].lists.Running)+len(b.workers["w2"].lists.Running)).To(BeNumerically("<=", 1), "at %v", b.now)
	}
}

// The next life of a worker whose start time isn't known yet isn't the one that the order for its machine ended.
func TestOrderForMachineDoesNotEndLifeOfUnknownStartTime(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.workers["w1"].lists.Born = 0
	b.listWorkers("w2")
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(time.Second)
	b.listWorkers()
	b.queuedEvents = append(b.queuedEvents, IncarnationEnded{Worker: "w1", Born: 1000})
	for end := b.now + 2*time.Second; b.now < end; {
		b.advance(tick)
		b.Expect(len(b.workers["w1"].lists.Running)+len(b.workers["w2"].lists.Running)).To(BeNumerically("<=", 1), "at %v", b.now)
	}
}

// A row that stays unreadable must not keep a run that is neither listed nor ended.
func TestRunThatIsGoneIsStartedAgainDespiteUnreadableRow(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(500 * time.Millisecond)
	w := b.workers[b.startHosts("j")[0]]
	w.hidesRuns = true
	w.lists.Running = []worker.ActiveRun{{Task: testTaskID("other", 0), Run: 9}}
	b.advance(60 * time.Second)
	b.Expect(b.startHosts("j")).To(HaveLen(2))
}

// A worker that doesn't report its start time is replaced while a start is on its way. The
// longest lease counts for its next life as well.
func TestLongestLeaseCountsForNextLifeWithoutStartTime(t *testing.T) {
	b := newHarness(t, "w1")
	b.workers["w1"].lists.Born = 0
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(time.Second)
	b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}))
	ended := b.core.hosts["w1"]
	b.queuedEvents = append(b.queuedEvents, HeartbeatAnswered{Worker: "w1", Incarnation: ended.incarnation, Code: worker.WrongIncarnation})
	b.advance(tick)
	b.Expect(b.core.hosts["w1"]).NotTo(BeIdenticalTo(ended))
	b.Expect(b.core.hosts["w1"].runs).To(HaveLen(1), "the start may reach the next life")
	for range 10 {
		if b.core.hosts["w1"].fenced {
			break
		}
		b.advance(tick)
	}
	h := b.core.hosts["w1"]
	b.Expect(h.latestDeadline).To(BeNumerically(">=", h.clock+b.core.set.MaxLease.Milliseconds()))
}
