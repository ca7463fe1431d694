package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/runtimes"
	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// timedJob is a job of one task that runs for a given time.
type timedJob struct {
	id, queue, spec          string
	accepted, declared, took time.Duration
	ended                    time.Duration
}

// useQueues replaces the catalog by queues of one pool with the same objectives.
func (b *harness) useQueues(names ...string) {
	cat := &workflow.Catalog{Version: 2, Queues: map[string]workflow.Queue{}}
	for _, name := range names {
		cat.Queues[name] = workflow.Queue{Name: name, Pool: "p", Attempts: 2, Stretch: 3}
	}
	b.queuedEvents = append(b.queuedEvents, CatalogChanged{cat})
}

// playTimed plays jobs, in order of acceptance, until all have ended.
func (b *harness) playTimed(jobs []*timedJob) {
	byID, began, waiting := map[string]*timedJob{}, map[string]time.Duration{}, jobs
	for left, limit := len(jobs), b.now+time.Hour; left > 0 && b.now < limit; {
		for len(waiting) > 0 && waiting[0].accepted <= b.now {
			j := waiting[0]
			waiting, byID[j.id] = waiting[1:], j
			b.queuedEvents = append(b.queuedEvents, JobAccepted{Offset: testOffset + int64(b.now), Job: &workflow.Job{ID: j.id, Queue: j.queue, Spec: j.spec, AcceptedMillis: j.accepted.Milliseconds(),
				Steps: []workflow.Step{{Count: 1, Size: workflow.Size{MilliCPU: 1000}, EstimateMillis: j.declared.Milliseconds()}}}})
		}
		b.advance(tick)
		for _, w := range b.workers {
			for _, r := range append([]worker.ActiveRun(nil), w.lists.Running...) {
				j := byID[r.Task.Job]
				if since, ok := began[j.id]; !ok {
					began[j.id] = b.now
				} else if b.now-since >= j.took && j.ended == 0 {
					j.ended = b.now
					w.end(r.Task, worker.Done)
					left--
				}
			}
		}
	}
	b.advance(time.Second)
}

// misleadingJobs returns jobs of two queues. Those of one declare four times their run times,
// those of the other a quarter.
func misleadingJobs(from time.Duration, n int) []*timedJob {
	random := rand.New(rand.NewPCG(7, 8))
	var jobs []*timedJob
	for i := range n {
		j := &timedJob{id: fmt.Sprint("j", from, "-", i), accepted: from, spec: fmt.Sprint("s", i)}
		noise := math.Exp(0.3 * random.NormFloat64())
		if i%2 == 0 {
			j.queue, j.took, j.declared = "over", time.Duration(noise*float64(500*time.Millisecond)), 2*time.Second
		} else {
			j.queue, j.took, j.declared = "under", time.Duration(noise*float64(2*time.Second)), 500*time.Millisecond
		}
		jobs = append(jobs, j)
		from += time.Duration(random.ExpFloat64() * float64(600*time.Millisecond))
	}
	return jobs
}

// onTime returns how many jobs ended by their objective, three times their actual run time.
func onTime(jobs []*timedJob) int {
	n := 0
	for _, j := range jobs {
		if j.ended > 0 && j.ended <= j.accepted+3*j.took {
			n++
		}
	}
	return n
}

// newTimedHarness returns a harness whose leader learns run times or not.
func newTimedHarness(t *testing.T, declared bool) *harness {
	b := newHarness(t, "w1", "w2", "w3")
	set := testSettings(testToken)
	set.DeclaredRunTimes = declared
	b.core = New(set, b.now, b.now.Milliseconds())
	b.useQueues("over", "under")
	b.listWorkers()
	return b
}

// Jobs that declare too little must not go before short ones that declare too much.
func TestLearnedRunTimesMeetMoreObjectives(t *testing.T) {
	g := NewWithT(t)
	const n = 400
	met := map[bool]int{}
	for _, declared := range []bool{true, false} {
		b := newTimedHarness(t, declared)
		jobs := misleadingJobs(b.now+time.Second, n)
		b.playTimed(jobs)
		met[declared] = onTime(jobs)
	}
	t.Logf("of %d jobs, %d meet their objectives with declared run times and %d with learned ones", n, met[true], met[false])
	g.Expect(met[false]).To(BeNumerically(">=", met[true]+n/20))
}

// The speeds of workers must not take up an error of the declared values: all workers run
// equally fast here, and all jobs declare four times their run times.
func TestWorkerSpeedsAreFreeOfDeclaredError(t *testing.T) {
	b := newTimedHarness(t, false)
	var jobs []*timedJob
	for i := range 300 {
		jobs = append(jobs, &timedJob{id: fmt.Sprint(i), queue: "over", spec: fmt.Sprint(i), accepted: b.now + time.Duration(i)*400*time.Millisecond, declared: 4 * time.Second, took: time.Second})
	}
	b.playTimed(jobs)
	b.Expect(b.core.runTimes.model.Estimate("", "over", "new", "", 4*time.Second).Expected).To(BeNumerically("~", time.Second, 400*time.Millisecond))
	for _, h := range b.core.sortedHosts {
		b.Expect(h.speed).To(BeNumerically("~", 1, 0.4))
	}
}

// With declared run times, nothing is learned or recorded.
func TestDeclaredRunTimesLearnNothing(t *testing.T) {
	b := newTimedHarness(t, true)
	b.playTimed(misleadingJobs(b.now+time.Second, 50))
	for _, c := range b.commits {
		b.Expect(c.RunTimes).To(BeNil())
	}
	b.queuedEvents = append(b.queuedEvents, RunTimesRecorded{Snapshot: runtimes.New(runtimes.Settings{}).Snapshot()})
	b.playTimed([]*timedJob{{id: "last", queue: "over", accepted: b.now, declared: 2 * time.Second, took: time.Second}})
	b.Expect(b.core.jobs["last"].expected).To(Equal([]int64{2000}))
	b.Expect(b.core.reasons).NotTo(HaveKey("run-time-learned"))
}

// lastRunTimes returns the newest recorded snapshot, and how many there are.
func (b *harness) lastRunTimes() (snapshot []byte, n int) {
	for _, c := range b.commits {
		if c.RunTimes != nil {
			snapshot, n = c.RunTimes, n+1
		}
	}
	return snapshot, n
}

// A new leader must not forget what the one before has learned, also if it was one of an
// unknown version before that, and records must not be written more often than stated.
func TestRunTimesOutlastLeader(t *testing.T) {
	b := newTimedHarness(t, false)
	began := b.now
	b.playTimed(misleadingJobs(b.now+time.Second, 100))
	snapshot, n := b.lastRunTimes()
	b.Expect(n).To(And(BeNumerically(">", 1), BeNumerically("<=", int((b.now-began)/runTimesInterval)+1)))
	expected := func(events ...Event) int64 {
		next := newTimedHarness(t, false)
		next.queuedEvents = append(events, next.queuedEvents...)
		next.playTimed([]*timedJob{{id: "first", queue: "over", accepted: next.now, declared: 2 * time.Second, took: time.Second}})
		return next.core.jobs["first"].expected[0]
	}
	b.Expect(expected()).To(Equal(int64(2000)))
	b.Expect(expected(RunTimesRecorded{Snapshot: []byte("rt9:unknown")})).To(Equal(int64(2000)))
	b.Expect(expected(RunTimesRecorded{Snapshot: snapshot}, RunTimesRecorded{Snapshot: []byte("rt9:unknown")})).To(BeNumerically("<", 1000))
}

// A commit that fails must not lose its record of run times, and run times alone must cause
// no commit.
func TestRunTimesOfFailedCommitAreRecordedLater(t *testing.T) {
	b := newTimedHarness(t, false)
	b.playTimed(misleadingJobs(b.now+time.Second, 10))
	b.advance(runTimesInterval)
	before := len(b.commits)
	b.core.runTimes.changed = true
	b.advance(time.Second)
	b.Expect(b.commits).To(HaveLen(before))
	b.holdsCommits = true
	b.playTimed([]*timedJob{{id: "last", queue: "over", accepted: b.now, declared: 2 * time.Second, took: 100 * time.Millisecond}})
	b.Expect(b.commits[before].RunTimes).NotTo(BeNil())
	b.holdsCommits = false
	b.advance(runTimesInterval)
	b.queuedEvents = append(b.queuedEvents, Committed{Number: b.commits[len(b.commits)-1].Number, Failed: true})
	b.advance(time.Second)
	b.Expect(b.core.runTimes.changed).To(BeFalse())
	b.Expect(b.commits[len(b.commits)-1].RunTimes).NotTo(BeNil(), "the next commit has what the failed one had")
}

// One spec that misleads as much as possible must not spoil what is expected of the others.
func TestPoisonedSpecLeavesOtherJobsOnTime(t *testing.T) {
	b := newTimedHarness(t, false)
	var jobs []*timedJob
	for i := range 200 {
		j := &timedJob{id: fmt.Sprint(i), queue: "over", spec: fmt.Sprint(i), accepted: b.now + time.Duration(i)*500*time.Millisecond, declared: time.Second, took: time.Second}
		if i%3 > 0 {
			j.spec, j.declared, j.took = "poisoned", 20*time.Millisecond, 500*time.Millisecond
		}
		jobs = append(jobs, j)
	}
	b.playTimed(jobs)
	b.Expect(onTime(jobs)).To(BeNumerically(">", 190))
	b.Expect(b.core.runTimes.model.Estimate("", "over", "new", "", time.Second).Expected).To(BeNumerically("~", time.Second, 600*time.Millisecond))
}

// Long-running tasks have no run time, and fillers and declared values beyond all use must not
// be corrected.
func TestOnlyFiniteTasksAreCorrected(t *testing.T) {
	b := newTimedHarness(t, false)
	b.playTimed(misleadingJobs(b.now+time.Second, 100))
	steps := []workflow.Step{{EstimateMillis: 2000}, {EstimateMillis: 2000, LongRunning: true}, {EstimateMillis: 2000, Filler: true}, {EstimateMillis: math.MaxInt64 / 8}, {}}
	j := &job{def: &workflow.Job{Queue: "over", Steps: steps}}
	b.core.expectRunTimes(j)
	b.Expect(j.expected[0]).To(BeNumerically("<", 1000))
	b.Expect(j.expected[1:]).To(Equal([]int64{2000, 2000, math.MaxInt64 / 8, 0}))
}
