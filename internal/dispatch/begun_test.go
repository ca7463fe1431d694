package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// recordedBegun reports whether a commit has recorded that a task of the job has begun.
func (b *harness) recordedBegun(job string) bool {
	begun := false
	for _, c := range b.commits {
		for _, p := range c.Progress {
			begun = begun || p.ID == job && p.Progress.HasBegun()
		}
	}
	return begun
}

// The order of a start was recorded as its begin.
func TestJobIsRecordedAsBegunOnceWorkerShowsIt(t *testing.T) {
	for name, fault := range map[string]func(w *testWorker){
		"no answer":     func(w *testWorker) { w.unreachable = true },
		"refused":       func(w *testWorker) { w.startCode = worker.InsufficientCapacity },
		"stale run":     func(w *testWorker) { w.startCode = worker.StaleRun },
		"late":          func(w *testWorker) { w.startCode = worker.DeadlineExceeded },
		"no connection": func(w *testWorker) { w.startCode = worker.ConnectionsExhausted },
		"refused port":  func(w *testWorker) { w.refuses = true },
		"crashed":       func(w *testWorker) { w.crashed = true },
		"another life":  func(w *testWorker) { w.addressReused = true },
	} {
		b := newHarness(t, "w1")
		b.listWorkers()
		b.advance(500 * time.Millisecond)
		w := b.workers["w1"]
		fault(w)
		b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
		b.advance(3 * time.Second)
		b.Expect(b.startHosts("j")).NotTo(BeEmpty(), name)
		b.Expect(b.recordedBegun("j")).To(BeFalse(), name)
		b.Expect(b.decided("task-started")).To(BeEmpty(), name)
		*w = testWorker{born: b.now, lists: worker.HeartbeatResponse{Born: 7}}
		b.listWorkers()
		b.advance(20 * time.Second)
		b.Expect(b.recordedBegun("j")).To(BeTrue(), name)
		b.Expect(b.decided("task-started")).NotTo(BeEmpty(), name)
	}
}

// A start without an answer that a list shows, and one whose end is all that is seen of it.
func TestUnansweredStartIsRecordedAsBegunWhenListShowsIt(t *testing.T) {
	for _, ended := range []bool{false, true} {
		b := newHarness(t, "w1")
		b.listWorkers()
		b.advance(500 * time.Millisecond)
		w := b.workers["w1"]
		w.unreachable = true
		b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
		b.advance(50 * time.Millisecond)
		b.Expect(b.recordedBegun("j")).To(BeFalse())
		w.lists.Running = append(w.lists.Running, worker.ActiveRun{Task: testTaskID("j", 0), Run: b.starts[0].Start.Run})
		if ended {
			w.end(testTaskID("j", 0), worker.Failed)
		}
		w.unreachable = false
		b.advance(time.Second)
		b.Expect(b.recordedBegun("j")).To(BeTrue())
	}
}

// Explain and the list of workers counted a start without an answer as a running task.
func TestUnansweredStartIsInspectedAsStarting(t *testing.T) {
	b := newHarness(t, "w1")
	b.listWorkers()
	b.advance(500 * time.Millisecond)
	b.workers["w1"].unreachable = true
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	for len(b.starts) == 0 {
		b.advance(tick)
	}
	counts := func() [4]int {
		s, w := b.core.InspectJob("j").Steps[0], b.core.InspectWorkers()[0]
		return [4]int{s.Starting, s.Running, w.Starting, w.Running}
	}
	b.Expect(counts()).To(Equal([4]int{1, 0, 1, 0}))
	b.workers["w1"].unreachable = false // the start is sent again
	b.advance(200 * time.Millisecond)
	b.Expect(counts()).To(Equal([4]int{0, 1, 0, 1}))
}

// A successor took the order of a previous leader for a begin. It finds the run on a worker,
// or starts the task itself.
func TestSuccessorRecordsOrderedJobAsBegunOnlyOnEvidence(t *testing.T) {
	for _, running := range []bool{true, false} {
		b := newHarness(t, "w1")
		b.acceptJob("old", testOffset-1, workflow.Step{}, workflow.Progress{Ordered: true})
		w := b.workers["w1"]
		w.unreachable = true
		if running {
			w.lists.Running = append(w.lists.Running, worker.ActiveRun{Task: testTaskID("old", 0), Run: 1})
		}
		b.queuedEvents = append(b.queuedEvents, WorkerRegistered{Registration: Registration{Worker: "w1", Address: "w1:1", Pool: "p", Born: 1}})
		b.listWorkers()
		b.advance(2 * time.Second)
		b.Expect(b.core.jobs["old"].ordered).To(BeTrue())
		b.Expect(b.recordedBegun("old")).To(BeFalse())
		w.unreachable = false
		b.advance(20 * time.Second)
		b.Expect(b.recordedBegun("old")).To(BeTrue())
	}
}
