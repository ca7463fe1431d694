package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// TestUnfinishedTasksAreYieldedInOrder compares the tasks that have a state, are done or were
// never started with a plain list of all of them.
func TestUnfinishedTasksAreYieldedInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Settings{}, 0, 0)
		n := rapid.IntRange(1, 150).Draw(t, "tasks")
		o := newOccurrence(&job{def: &workflow.Job{Steps: []workflow.Step{{Count: n}}}}, 0, 0)
		s := o.steps[0]
		done := make([]bool, n)
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 60).Draw(t, "changes") {
			x := s.task(i)
			switch {
			case rapid.Bool().Draw(t, "keep"):
				c.keep(x)
			case !done[i]:
				done[i] = true
				x.done = true
				s.markDone(i)
				c.release(x)
			}
		}
		var want, got, unstarted []int
		for i := range n {
			if !done[i] {
				want = append(want, i)
			}
			if s.isUnstarted(i) {
				unstarted = append(unstarted, i)
			}
		}
		for x := range s.unfinished() {
			got = append(got, x.index)
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("unfinished %v, want %v", got, want)
		}
		if len(unstarted) != s.unstartedCount() || len(unstarted) > 0 && unstarted[0] != s.nextUnstarted() {
			t.Fatalf("unstarted %v, counted %d from %d on", unstarted, s.unstartedCount(), s.nextUnstarted())
		}
		b := s.tasks.done.bitmap()
		for i := range n {
			if b.Has(i) != done[i] {
				t.Fatalf("task %d: recorded as done %v, want %v", i, b.Has(i), done[i])
			}
		}
	})
}

// acceptWide queues jobs with the largest number of tasks, which no worker has room for.
func (b *harness) acceptWide(jobs int, step workflow.Step) {
	step.Count, step.Size = workflow.MaxTasks, workflow.Size{MilliCPU: 5000}
	for i := range jobs {
		b.queuedEvents = append(b.queuedEvents, JobAccepted{Offset: int64(testOffset + i),
			Job: &workflow.Job{ID: fmt.Sprint("wide-", i), Queue: "q", Steps: []workflow.Step{step}}})
	}
}

// heapGrowth returns by how many bytes f makes the heap grow.
func heapGrowth(f func()) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// Tasks that have never been started must take no memory, or a few jobs take all of it.
func TestWaitingTasksTakeNoMemory(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers()
	b.advance(time.Second)
	grown := heapGrowth(func() {
		b.acceptWide(50, workflow.Step{})
		b.advance(time.Second)
	})
	b.Expect(grown).To(BeNumerically("<", 50*8<<10), "bytes for 50 jobs of %d tasks", workflow.MaxTasks)
	runtime.KeepAlive(b)
}

// Of a job with many occurrences that are due, only some are active at the same time, and all
// of them run in the end.
func TestDueOccurrencesAreActivatedInTurn(t *testing.T) {
	b := newHarness(t, "w1", "w2", "w3")
	b.listWorkers()
	def := &workflow.Job{ID: "j", Queue: "q", ScheduledOccurrences: 60, FirstDueMillis: 1, Steps: make([]workflow.Step, workflow.MaxSteps/20)}
	for i := range def.Steps {
		def.Steps[i] = workflow.Step{Count: 1, EstimateMillis: 10, Size: workflow.Size{MilliCPU: 10}}
	}
	b.queuedEvents = append(b.queuedEvents, JobAccepted{Job: def, Offset: testOffset})
	b.advance(100 * time.Millisecond)
	j := b.core.jobs["j"]
	b.Expect(j.occurrences).To(HaveLen(20))
	for range 600 {
		b.advance(tick)
		b.Expect(len(j.occurrences)).To(BeNumerically("<=", 20))
		b.endRuns(func(_, _ string) worker.ExitStatus { return worker.Done })
	}
	b.Expect(b.finalState("j")).To(Equal(workflow.Completed))
}

// At the bound of started tasks, an account must not keep others from starting theirs, and a
// task that ends makes room for another one.
func TestStartedTasksAreBounded(t *testing.T) {
	b := newHarness(t, "w1", "w2", "w3")
	b.core = New(func() Settings { s := testSettings(testToken); s.MaxLiveTasks = 40; return s }(), b.now, b.now.Milliseconds())
	b.queuedEvents = []Event{CatalogChanged{&workflow.Catalog{Version: 1, Queues: map[string]workflow.Queue{"q": {Name: "q", Pool: "p", Attempts: 2}},
		Accounts: map[string]workflow.Account{"busy": {Name: "busy"}, "calm": {Name: "calm"}}}}}
	b.listWorkers()
	accept := func(id, account string, count int) {
		b.queuedEvents = append(b.queuedEvents, JobAccepted{Offset: testOffset, Job: &workflow.Job{ID: id, Queue: "q", Account: account,
			Steps: []workflow.Step{{Count: count, Size: workflow.Size{MilliCPU: 1}, EstimateMillis: 100}}}})
	}
	accept("wide", "busy", 1000)
	b.advance(2 * time.Second)
	// Half of the bound is shared, and a third of the other half is guaranteed to the account.
	b.Expect(b.starts).To(HaveLen(26))
	accept("small", "calm", 3)
	b.advance(time.Second)
	b.Expect(b.startHosts("small")).To(HaveLen(3))
	b.endRuns(func(_, _ string) worker.ExitStatus { return worker.Done })
	b.advance(time.Second)
	b.Expect(len(b.starts)).To(BeNumerically(">", 29))
	b.Expect(b.core.liveTasks.Held()).To(BeNumerically("<=", 40))
}

// The tasks of a large job that is cancelled are stopped a number at a time, as each call takes
// memory, and all of them are stopped in the end. Nothing of the job is kept then.
func TestStopsInFlightAreBounded(t *testing.T) {
	b := newHarness(t, "w1", "w2", "w3")
	b.listWorkers()
	b.queuedEvents = append(b.queuedEvents, JobAccepted{Offset: testOffset, Job: &workflow.Job{ID: "wide", Queue: "q",
		Steps: []workflow.Step{{Count: 3 * maxStopsInFlight, EstimateMillis: 100000, LongRunning: true}}}})
	b.advance(10 * time.Second)
	b.Expect(b.starts).To(HaveLen(3 * maxStopsInFlight))
	b.queuedEvents = append(b.queuedEvents, JobCancelled{ID: "wide"})
	b.advance(tick)
	b.Expect(len(b.stops)).To(And(BeNumerically(">", 0), BeNumerically("<=", maxStopsInFlight)))
	b.advance(5 * time.Second)
	stopped := map[workflow.TaskID]bool{}
	for _, s := range b.stops {
		stopped[s.Stop.Task] = true
	}
	b.Expect(stopped).To(HaveLen(3 * maxStopsInFlight))
	b.Expect(b.core.liveTasks.Held()).To(BeZero())
	b.Expect(b.core.jobs["wide"].occurrences).To(BeEmpty())
}
