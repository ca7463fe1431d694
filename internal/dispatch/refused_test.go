package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// decided returns the decisions of a kind since the last call for any kind.
func (b *harness) decided(kind string) []Decision {
	var out []Decision
	for _, d := range b.core.Decisions() {
		if d.Kind == kind {
			out = append(out, d)
		}
	}
	return out
}

func TestIncarnationThatWasTakenForEndedIsReported(t *testing.T) {
	b := newHarness(t, "w1")
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(500 * time.Millisecond)
	b.Expect(b.startHosts("j")).To(HaveLen(1))
	w := b.workers["w1"]
	w.addressReused = true
	b.advance(2 * time.Second)
	w.addressReused = false
	b.Expect(b.decided("worker-returned")).To(BeEmpty())
	b.listWorkers()
	b.advance(time.Second)
	returned := b.decided("worker-returned")
	b.Expect(returned).To(HaveLen(1))
	b.Expect(returned[0].Worker).To(Equal("w1"))
	b.Expect(returned[0].Reason).To(Equal("another life answers at its address"))
}

func TestTaskDoesNotRunTwiceWhileConnectionsToItsWorkerAreRefused(t *testing.T) {
	for _, refused := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second} {
		b := newHarness(t, "w1", "w2")
		b.listWorkers()
		b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
		b.advance(500 * time.Millisecond)
		w := b.workers[b.startHosts("j")[0]]
		w.refuses = true
		b.advance(refused)
		w.refuses = false
		b.listWorkers()
		b.advance(time.Second)
		b.Expect(b.startHosts("j")).To(HaveLen(1), "refused for %v", refused)
		b.Expect(w.lists.Running).To(HaveLen(1), "refused for %v", refused)
		w.end(testTaskID("j", 0), worker.Done)
		b.advance(3 * time.Second)
		b.Expect(b.finalState("j")).To(Equal(workflow.Completed), "refused for %v", refused)
	}
}

func TestRefusingWorkerIsGoneOnceItsMachineIsDown(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(500 * time.Millisecond)
	b.crash(b.startHosts("j")[0])
	b.advance(heartbeatRetry)
	b.Expect(b.startHosts("j")).To(HaveLen(2))
}

func TestTaskWaitsForItsLeaseWhileNothingProvesThatItsWorkerHasEnded(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.noMachineList = true
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(500 * time.Millisecond)
	b.crash(b.startHosts("j")[0])
	b.advance(4 * time.Second)
	b.Expect(b.startHosts("j")).To(HaveLen(1))
	b.advance(b.core.set.Lease)
	b.Expect(b.startHosts("j")).To(HaveLen(2))
}

func TestListOfMachinesFromBeforeRefusalProvesNothing(t *testing.T) {
	b := newHarness(t, "w1")
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(500 * time.Millisecond)
	b.workers["w1"].refuses = true
	b.advance(2 * time.Second)
	b.queuedEvents = append(b.queuedEvents, MachinesListed{SentAt: b.now - 3*time.Second, Machines: []worker.Machine{{Name: "w1-m", State: worker.MachineDown}}})
	b.advance(100 * time.Millisecond)
	b.Expect(b.decided("run-lost")).To(BeEmpty())
}

// The first entry that a leader read named another worker's machine.
func TestRunGoesOnBehindRefusalAfterEntryWithWrongMachine(t *testing.T) {
	for name, machine := range map[string]string{"of another worker": "w2-m", "that is down": "w3-m"} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, "w1", "w2", "w3")
			b.workers["w1"].lists.Born = oddEntryBorn
			b.workers["w3"].crashed = true
			b.list(func(i *worker.Info) { i.Machine = machine })
			b.advance(100 * time.Millisecond)
			b.list(ownEntry)
			b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
			b.advance(500 * time.Millisecond)
			b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}))
			b.listWorkers()
			b.workers["w1"].refuses = true
			b.advance(1500 * time.Millisecond)
			b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}), "it runs on")
		})
	}
}
