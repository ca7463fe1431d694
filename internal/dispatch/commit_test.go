package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// answerCommit queues the result of the newest commit, with the given jobs and workers
// rejected.
func (b *harness) answerCommit(jobs, workers []string) {
	b.queuedEvents = append(b.queuedEvents, Committed{Number: b.commits[len(b.commits)-1].Number, RejectedJobs: jobs, RejectedWorkers: workers})
}

// A job whose progress can't be recorded must end as failed, since no next leader would know
// of its tasks, and must not hold up the records of others.
func TestJobThatCannotBeRecordedFails(t *testing.T) {
	b := newHarness(t, "w1")
	b.listWorkers()
	b.advance(time.Second)
	b.acceptSized("huge", "q", 100, workflow.Step{})
	b.acceptSized("other", "q", 100, workflow.Step{})
	b.holdsCommits = true
	b.advance(time.Second)
	b.answerCommit([]string{"huge"}, nil)
	b.holdsCommits = false
	b.advance(time.Second)
	b.Expect(b.finalState("huge")).To(Equal(workflow.Failed))
	b.Expect(b.finalState("other")).To(BeEmpty())
	b.Expect(b.stops).To(HaveLen(1))
	n := len(b.commits)
	b.advance(5 * time.Second)
	b.Expect(b.commits).To(HaveLen(n), "nothing is recorded again and again")
}

// A worker whose record can't be written must get no work, since no next leader would know of
// its runs.
func TestWorkerThatCannotBeRecordedGetsNoWork(t *testing.T) {
	b := newHarness(t, "w1", "w2")
	b.listWorkers()
	b.holdsCommits = true
	b.advance(time.Second)
	b.Expect(b.commits).To(HaveLen(1))
	b.answerCommit(nil, []string{"w1"})
	b.holdsCommits = false
	for i := range 5 {
		b.acceptSmallJob(string(rune('a'+i)), testOffset+int64(i))
	}
	b.advance(2 * time.Second)
	b.Expect(b.starts).To(HaveLen(5))
	for _, s := range b.starts {
		b.Expect(s.Start.Worker).To(Equal("w2"))
	}
}

// The progress of a job on a schedule must not grow with each later occurrence that is
// finished while an earlier one runs, and the next leader must read it.
func TestManyFinishedOccurrencesAreRecordedAsSet(t *testing.T) {
	g := NewWithT(t)
	j := &job{def: &workflow.Job{ID: "j"}, finishedBefore: 7, finishedLater: map[int]bool{}}
	for k := range 3 * maxListedFinished {
		j.finishedLater[8+2*k] = true
	}
	p := j.progress()
	g.Expect(p.Occurrences).To(BeEmpty())
	g.Expect(len(p.FinishedLater)).To(BeNumerically("<=", 6*maxListedFinished/8+1))
	b := newHarness(t)
	b.queuedEvents = append(b.queuedEvents, JobAccepted{Job: &workflow.Job{ID: "j", Queue: "q", Steps: []workflow.Step{{Count: 1}},
		ScheduledOccurrences: workflow.MaxOccurrences, FirstDueMillis: time.Hour.Milliseconds(), IntervalMillis: 1000}, Progress: p})
	b.advance(time.Second)
	g.Expect(b.core.jobs["j"].finishedLater).To(Equal(j.finishedLater))
}
