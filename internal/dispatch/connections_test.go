package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// A worker without free connections got starts that could not be sent, or made the leader
// poll all other workers more often.
func TestWorkerWithoutConnectionsGetsNoWorkUntilItAcceptsOne(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers()
	b.advance(500 * time.Millisecond)
	w := b.workers["w1"]
	w.exhausted = true
	b.heartbeats = nil
	b.advance(2 * time.Second)
	to := map[string]int{}
	for _, h := range b.heartbeats {
		to[h.Heartbeat.Worker]++
	}
	b.Expect(to["w1"]).To(BeNumerically("<=", 10), "attempts at the full worker")
	for _, h := range b.heartbeats {
		if h.Heartbeat.Worker == "w2" {
			b.Expect(h.Heartbeat.Wait).To(Equal(idleHeartbeatWait))
		}
	}
	b.acceptJob("j", testOffset+1, workflow.Step{Count: 2}, workflow.Progress{})
	b.advance(time.Second)
	b.Expect(b.startHosts("j")).To(Equal([]string{"w2"}), "the other task waits for room")
	w.exhausted = false
	b.advance(500 * time.Millisecond)
	b.Expect(b.startHosts("j")).To(Equal([]string{"w2", "w1"}))
}

// A start that found no connection was kept as one that may have been carried out, and its
// task waited for the worker's leases.
func TestStartThatFoundNoConnectionIsPlacedElsewhereAtOnce(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers()
	b.advance(500 * time.Millisecond)
	b.workers["w1"].startCode = worker.ConnectionsExhausted
	b.workers["w2"].startCode = worker.ConnectionsExhausted
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(50 * time.Millisecond)
	first := b.startHosts("j")
	b.Expect(first).NotTo(BeEmpty())
	for id, w := range b.workers {
		if id != first[0] {
			w.startCode = worker.OK
		}
	}
	b.advance(refusalPause + refusedBackoff)
	on := b.startHosts("j")
	b.Expect(b.workers[on[len(on)-1]].lists.Running).To(HaveLen(1))
	b.Expect(b.core.hosts[first[0]].runs).To(BeEmpty())
}

// A worker that accepts no connection may run on: its leases hold, and a run there is not
// started elsewhere before they are over.
func TestRunOnWorkerWithoutConnectionsKeepsItsLease(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(500 * time.Millisecond)
	w := b.workers[b.startHosts("j")[0]]
	w.exhausted = true
	b.advance(b.core.set.Lease)
	b.Expect(b.startHosts("j")).To(HaveLen(1))
	b.Expect(w.lists.Running).To(HaveLen(1))
	w.lists.Running = nil // its lease ends
	b.advance(b.core.set.Lease)
	b.Expect(b.startHosts("j")).To(HaveLen(2))
}

// Orders and heartbeats state how many connections the leader may open.
func TestOrdersStateBoundOnConnections(t *testing.T) {
	b := newHarness(t, "w1")
	b.core.set.WorkerConnections = 3
	b.listWorkers()
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(500 * time.Millisecond)
	b.Expect(b.starts[0].Start.MaxConnections).To(Equal(3))
	b.Expect(b.heartbeats[0].Heartbeat.MaxConnections).To(Equal(3))
}
