package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// probationBound is the time within which work that fits must start on workers that were
// quarantined: the longest quarantine, and a probe that takes its longest.
const probationBound = maxQuarantine + maxProbeTime + time.Second

// acceptSized queues a job of one step whose tasks have the given size, in thousandths of a core.
func (b *harness) acceptSized(id, queue string, milliCPU int64, step workflow.Step) {
	step.Count = max(step.Count, 1)
	step.Size = workflow.Size{MilliCPU: milliCPU}
	b.queuedEvents = append(b.queuedEvents, JobAccepted{Offset: testOffset + int64(b.now), Job: &workflow.Job{ID: id, Queue: queue, Spec: "s",
		AcceptedMillis: b.now.Milliseconds(), Steps: []workflow.Step{step}}})
}

// endRuns ends the runs for which how returns a status, given the worker and the job.
func (b *harness) endRuns(how func(workerID, job string) worker.ExitStatus) {
	for id, w := range b.workers {
		for _, r := range w.lists.Running {
			if status := how(id, r.Task.Job); status != "" {
				w.end(r.Task, status)
			}
		}
	}
}

// failRuns lets every run of the given jobs fail, as a caller's fault would.
func (b *harness) failRuns(jobs ...string) {
	b.endRuns(func(_, job string) worker.ExitStatus {
		if slices.Contains(jobs, job) {
			return worker.Failed
		}
		return ""
	})
}

// playFailing advances the time while all runs of the given jobs fail.
func (b *harness) playFailing(d time.Duration, jobs ...string) {
	for end := b.now + d; b.now < end; {
		b.advance(100 * time.Millisecond)
		b.failRuns(jobs...)
	}
}

// quarantineAll puts all workers under quarantine.
func (b *harness) quarantineAll() {
	for _, h := range b.core.hosts {
		h.health.quarantine(b.now)
	}
	b.advance(tick)
}

// A worker on probation must get a probe though the task of a service runs there without
// an end.
func TestProbationEndsBesideService(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers()
	b.acceptSized("service", "q", 100, workflow.Step{Count: 2, MaxPerWorker: 1, LongRunning: true})
	b.advance(time.Second)
	b.Expect(b.startHosts("service")).To(ConsistOf("w1", "w2"))
	b.quarantineAll()
	for i := range 4 {
		b.acceptSized(fmt.Sprint("sound", i), "q", 100, workflow.Step{})
	}
	for end := b.now + probationBound; b.now < end; {
		b.advance(200 * time.Millisecond)
		b.endRuns(func(_, job string) worker.ExitStatus {
			if job == "service" {
				return ""
			}
			return worker.Done
		})
	}
	for i := range 4 {
		b.Expect(b.startHosts(fmt.Sprint("sound", i))).To(HaveLen(1), "a sound job must start within %v", probationBound)
	}
}

// A probe that is the task of a service never ends as done, and must not keep other work
// from its worker.
func TestServiceAsProbeEndsProbation(t *testing.T) {
	b := newHarness(t, "w1")
	b.listWorkers()
	b.advance(time.Second)
	b.quarantineAll()
	b.acceptSized("service", "q", 100, workflow.Step{LongRunning: true})
	b.advance(maxQuarantine)
	b.Expect(b.startHosts("service")).To(HaveLen(1))
	b.acceptSized("sound", "q", 100, workflow.Step{})
	b.advance(maxLongRunningProbeTime + time.Second)
	b.Expect(b.startHosts("sound")).To(HaveLen(1))
}

// A finite probe of unknown length must not keep other work from its worker for as long
// as it runs.
func TestLongProbeEndsProbation(t *testing.T) {
	b := newHarness(t, "w1")
	b.listWorkers()
	b.advance(time.Second)
	b.quarantineAll()
	b.acceptSized("long", "q", 100, workflow.Step{EstimateMillis: longTask.Milliseconds()})
	b.acceptSized("sound", "q", 100, workflow.Step{})
	b.advance(maxQuarantine)
	b.Expect(append(b.startHosts("long"), b.startHosts("sound")...)).To(HaveLen(1), "one probe at a time")
	b.advance(maxProbeTime)
	b.Expect(b.startHosts("long")).To(HaveLen(1))
	b.Expect(b.startHosts("sound")).To(HaveLen(1))
}

// A service that always fails is the first probe of each worker, as it has waited for
// longest. Its failures must not keep the workers in quarantine for ever.
func TestHopelessServiceDoesNotHoldWorkersInQuarantine(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers()
	b.advance(time.Second)
	b.acceptSized("never", "q", 100, workflow.Step{Count: 2, MaxPerWorker: 1, LongRunning: true})
	b.acceptSized("hopeless", "q", 100, workflow.Step{Count: 2, MaxPerWorker: 1})
	b.playFailing(2*failedHostAvoidTime, "never", "hopeless")
	b.acceptSized("sound", "q", 100, workflow.Step{})
	b.playFailing(probationBound, "never", "hopeless")
	b.Expect(b.startHosts("sound")).To(HaveLen(1))
}

// A worker that fails all that it starts must stay on probation, one probe at a time.
func TestWorkerThatFailsAllTasksStaysOnProbation(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers()
	b.advance(time.Second)
	for i := range 30 {
		b.acceptSized(fmt.Sprint("sound", i), "q", 300, workflow.Step{})
		b.advance(200 * time.Millisecond)
		b.endRuns(func(workerID, _ string) worker.ExitStatus {
			if workerID == "w1" {
				return worker.Failed
			}
			return worker.Done
		})
	}
	failed := 0
	for _, s := range b.starts {
		if s.Start.Worker == "w1" {
			failed++
		}
	}
	b.Expect(b.core.hosts["w1"].health.probing).To(BeTrue())
	b.Expect(failed).To(BeNumerically("<=", failuresToQuarantine+3), "one probe after each quarantine of 1.5, 3 and 6 s")
}

// Urgent work must get room on workers on probation that are full of other work.
func TestUrgentWorkPreemptsOnProbation(t *testing.T) {
	b := newHarness(t, "w1")
	b.queuedEvents = []Event{CatalogChanged{&workflow.Catalog{Version: 1, Queues: map[string]workflow.Queue{
		"q":      {Name: "q", Pool: "p", Priority: 1, Attempts: 2, Stretch: 2},
		"urgent": {Name: "urgent", Pool: "p", Priority: 0, Attempts: 2, Stretch: 1, Target: time.Second},
	}}}}
	b.listWorkers()
	b.acceptSized("batch", "q", 500, workflow.Step{Count: 2, EstimateMillis: longTask.Milliseconds(), Checkpointing: true})
	b.advance(time.Second)
	b.Expect(b.startHosts("batch")).To(HaveLen(2))
	b.core.hosts["w1"].health.quarantine(b.now)
	b.advance(minQuarantine)
	b.acceptSized("now", "urgent", 500, workflow.Step{EstimateMillis: 400})
	b.advance(3 * time.Second)
	b.Expect(b.startHosts("now")).To(HaveLen(1))
}

// A gang that needs more tasks on a worker than one must start on workers on probation.
func TestGangStartsOnProbation(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers()
	b.acceptSized("service", "q", 100, workflow.Step{Count: 2, MaxPerWorker: 1, LongRunning: true})
	b.advance(time.Second)
	b.quarantineAll()
	b.acceptSized("gang", "q", 100, workflow.Step{Count: 6, Gang: true})
	b.advance(probationBound)
	b.Expect(b.startHosts("gang")).To(HaveLen(6))
}

// Failures that are long past must not count together with a new one: a worker that runs
// services only never has a success in between.
func TestFailuresLongPastAreForgotten(t *testing.T) {
	g := NewWithT(t)
	q, a, b := health{}, testJob("a"), testJob("b")
	g.Expect(q.recordFailure(time.Minute, a, false, false)).To(BeFalse())
	g.Expect(q.recordFailure(time.Minute+failureMemory+time.Second, b, false, false)).To(BeFalse())
	g.Expect(q.recordFailure(time.Minute+failureMemory+2*time.Second, a, false, false)).To(BeTrue())
}

func testJob(id string) *job { return &job{def: &workflow.Job{ID: id}} }

// Runs that were started before a quarantine are no probes: their failures must not
// lengthen it. Neither must those of a job that fails on other workers, too.
func TestOnlyFailedProbesLengthenQuarantine(t *testing.T) {
	g := NewWithT(t)
	q, a, b := health{}, testJob("a"), testJob("b")
	q.recordFailure(time.Minute, a, false, false)
	g.Expect(q.recordFailure(time.Minute, b, false, false)).To(BeTrue())
	q.quarantine(time.Minute)
	g.Expect(q.recordFailure(time.Minute+2*minQuarantine, a, false, false)).To(BeFalse())
	g.Expect(b.recordFailure("w1")).To(BeFalse())
	g.Expect(b.recordFailure("w2")).To(BeTrue())
	g.Expect(q.recordFailure(time.Minute+2*minQuarantine, b, true, b.recordFailure("w1"))).To(BeFalse())
	b.recordSuccess()
	g.Expect(q.recordFailure(time.Minute+2*minQuarantine, b, true, b.recordFailure("w1"))).To(BeTrue())
}

// Jobs that fail everywhere must not put all workers of a pool under quarantine.
func TestHalfOfThePoolStaysOutOfQuarantine(t *testing.T) {
	b := newHarness(t, "w1", "w2", "w3")
	b.listWorkers()
	b.advance(time.Second)
	for i := range 12 {
		b.acceptSized(fmt.Sprint("hopeless", i), "q", 100, workflow.Step{Count: 3, MaxPerWorker: 1})
		b.advance(100 * time.Millisecond)
		b.failRuns(fmt.Sprint("hopeless", i))
	}
	b.advance(100 * time.Millisecond)
	isolated := map[string]bool{}
	for _, d := range b.decided("worker-isolated") {
		isolated[d.Worker] = true
	}
	b.Expect(isolated).To(HaveLen(1), "of three workers")
}
