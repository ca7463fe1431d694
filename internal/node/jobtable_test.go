package node

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// withOffsets returns the records with consecutive offsets, starting at from.
func withOffsets(from int64, records ...store.Record) []store.StoredRecord {
	var out []store.StoredRecord
	for i, r := range records {
		out = append(out, store.StoredRecord{Offset: from + int64(i), Record: r})
	}
	return out
}

// jobRecord returns the job log record of an accepted job in the queue "plain".
func jobRecord(g *WithT, id, spec string) store.Record {
	job := singleTaskJob(id)
	job.Queue, job.Spec = "plain", spec
	b, err := json.Marshal(job)
	g.Expect(err).NotTo(HaveOccurred())
	return store.Record{Key: jobKeyPrefix + id, Value: b}
}

// TestReleaseThenRegisterKeepsWorkerRegistered guards against the loss of a
// registration: one commit may release the previous incarnation of a worker and
// register its next one, and the release must come first in the log.
func TestReleaseThenRegisterKeepsWorkerRegistered(t *testing.T) {
	g := NewWithT(t)
	encoded, err := commitRecords(dispatch.Commit{Registered: []dispatch.Registration{{Worker: "w1", Born: 2}}, Released: []string{"w1", "w2"}}, store.DefaultMaxRequestBytes)
	g.Expect(err).NotTo(HaveOccurred())
	table := newJobTable()
	table.apply(withOffsets(0, encoded.records...), int64(len(encoded.records)))
	g.Expect(table.registrations).To(HaveKey("w1"), "only the previous incarnation was released")
	g.Expect(table.registrations["w1"].Born).To(Equal(int64(2)))
}

// TestPendingCountsUnstartedJobs checks the count of pending jobs after duplicate
// accepts, starts, cancellations, failures and deletions.
func TestPendingCountsUnstartedJobs(t *testing.T) {
	g := NewWithT(t)
	table := newJobTable()
	progress := func(id string, p workflow.Progress) store.Record {
		b, err := json.Marshal(p)
		g.Expect(err).NotTo(HaveOccurred())
		return store.Record{Key: progressKeyPrefix + id, Value: b}
	}
	table.apply(withOffsets(0, jobRecord(g, "a", ""), jobRecord(g, "b", ""), jobRecord(g, "c", ""), jobRecord(g, "d", ""), jobRecord(g, "a", "")), 5)
	g.Expect(table.pendingCount("plain")).To(Equal(4))
	table.apply(withOffsets(5, progress("a", workflow.Progress{Ordered: true, Begun: true}), store.Record{Key: cancelKeyPrefix + "b", Value: []byte("{}")},
		progress("c", workflow.Progress{Final: workflow.Failed}), progress("a", workflow.Progress{Ordered: true, Begun: true, FinishedOccurrences: 1})), 9)
	g.Expect(table.pendingCount("plain")).To(Equal(1))
	table.apply(withOffsets(9, store.Record{Key: jobKeyPrefix + "d"}, store.Record{Key: jobKeyPrefix + "a"}), 11)
	g.Expect(table.pendingCount("plain")).To(BeZero())
}

// TestEndedJobIsKeptAsItsSummary checks that the record of an ended job shrinks to its
// summary. Otherwise a starting node, which reads the newest record of each key,
// would load the full specification of every ended job. A table that saw the job run
// and one loaded after its end must agree.
func TestEndedJobIsKeptAsItsSummary(t *testing.T) {
	g := NewWithT(t)
	job := singleTaskJob("0000000000000001")
	job.Queue, job.QueueSnapshot, job.Spec = "q", &workflow.Queue{Name: "q"}, strings.Repeat("s", 4000)
	value, err := json.Marshal(job)
	g.Expect(err).NotTo(HaveOccurred())
	final := workflow.Progress{Ordered: true, Begun: true, Final: workflow.Completed, EndedMillis: 7, FinishedOccurrences: 1}
	encoded, err := commitRecords(dispatch.Commit{Progress: []dispatch.JobProgress{{ID: job.ID, Progress: final, Summary: job.Summary()}}}, store.DefaultMaxRequestBytes)
	g.Expect(err).NotTo(HaveOccurred())
	ended := encoded.records

	running, restarted := newJobTable(), newJobTable()
	running.apply(withOffsets(0, append([]store.Record{{Key: jobKeyPrefix + job.ID, Value: value}}, ended...)...), 3)
	newest := withOffsets(1, ended...) // what a starting node reads
	restarted.apply(newest, 3)
	size := 0
	for _, r := range newest {
		size += len(r.Key) + len(r.Value)
	}
	g.Expect(size).To(BeNumerically("<", 200), "bytes kept in the log for an ended job")
	for _, table := range []*jobTable{running, restarted} {
		e, ok := table.lookup(job.ID)
		g.Expect(ok).To(BeTrue())
		g.Expect(e.state()).To(Equal(workflow.Completed))
		g.Expect(e.job.Spec).To(BeEmpty())
		g.Expect(e.job.Steps[0].Count).To(Equal(job.Steps[0].Count))
		g.Expect(table.pendingCount("q")).To(BeZero())
	}
}

// TestJobAcceptedAndRemovedInOneRead guards against the crash of a node that reads, after a
// time without the log, the record of a job and its removal at once.
func TestJobAcceptedAndRemovedInOneRead(t *testing.T) {
	g := NewWithT(t)
	table := newJobTable()
	desk := &jobAPI{storedAccounts: map[string]string{"a": ""}}
	changes := table.apply(withOffsets(0, jobRecord(g, "a", ""), store.Record{Key: jobKeyPrefix + "a"}), 2)
	g.Expect(func() { desk.forgetStored(changes) }).NotTo(Panic())
	g.Expect(desk.storedAccounts).To(BeEmpty())
	g.Expect(table.pendingCount("plain")).To(BeZero())
	_, ok := table.lookup("a")
	g.Expect(ok).To(BeFalse())
}

// TestUnmatchedCancelsAreCounted checks the count of cancellations without a job by which
// their number is bounded, over the ways in which one can come to an end.
func TestUnmatchedCancelsAreCounted(t *testing.T) {
	g := NewWithT(t)
	table := newJobTable()
	cancel := func(id, value string) store.Record {
		return store.Record{Key: cancelKeyPrefix + id, Value: []byte(value)}
	}
	table.apply(withOffsets(0, cancel("job-comes", `{"a":7}`), cancel("removed", "{}"), cancel("forgotten", "{}"), cancel("purged", "?")), 4)
	g.Expect(table.unmatchedCancelCount()).To(Equal(4))
	changes := table.apply(withOffsets(4, jobRecord(g, "job-comes", "")), 5)
	g.Expect(table.unmatchedCancelCount()).To(Equal(3))
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].accepted.cancelled).To(BeTrue())
	g.Expect(table.pendingCount("plain")).To(BeZero())
	table.apply(withOffsets(5, cancel("removed", ""), store.Record{Key: jobKeyPrefix + "purged"}, cancel("purged", "")), 8)
	g.Expect(table.unmatchedCancelCount()).To(Equal(1))
	table.prune(withOffsets(8, jobRecord(g, "job-comes", "")), 9)
	g.Expect(table.unmatchedCancelCount()).To(BeZero())
}

// TestRunTimesAreKeptAndServed guards against run times that a new leader lacks though they
// are in the log: after a full read, in the pages of another node, or if those are of a node
// of a version that does not list them.
func TestRunTimesAreKeptAndServed(t *testing.T) {
	g := NewWithT(t)
	table := newJobTable()
	commit := func(snapshot string) store.Record {
		encoded, err := commitRecords(dispatch.Commit{RunTimes: []byte(snapshot)}, store.DefaultMaxRequestBytes)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(encoded.records).To(HaveLen(1))
		return encoded.records[0]
	}
	table.apply(withOffsets(0, commit("first"), commit("second"), store.Record{Key: "of a later version", Value: []byte("?")}), 3)
	g.Expect(string(table.runTimes)).To(Equal("second"))
	table.apply(withOffsets(3, store.Record{Key: runTimesKey, Value: []byte("?")}), 4)
	g.Expect(table.unreadable).To(Equal(int64(1)))
	g.Expect(string(table.runTimes)).To(Equal("second"), "an unreadable record replaces nothing")

	keys, _, _ := table.recordKeys()
	page, err := table.buildPage(keys, "")
	g.Expect(err).NotTo(HaveOccurred())
	other := newJobTable()
	other.prune(page.Records, 4)
	other.apply(page.Records, 4)
	g.Expect(string(other.runTimes)).To(Equal("second"))

	table.prune(nil, 4)
	g.Expect(string(table.runTimes)).To(Equal("second"))
	table.apply(withOffsets(4, commit("third")), 5)
	g.Expect(string(table.runTimes)).To(Equal("third"))
}

// TestRunTimesBeyondARecordAreLeftOut guards against a commit that can't be written because
// of its run times.
func TestRunTimesBeyondARecordAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	encoded, err := commitRecords(dispatch.Commit{RunTimes: make([]byte, 1000), Purged: []string{"a"}}, 500)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(encoded.runTimesOmitted).To(BeTrue())
	g.Expect(encoded.rejected).To(BeEmpty())
	g.Expect(encoded.records).To(HaveLen(3))
}

// TestRunTimesFitARecord guards against run times that are kept in several parts.
func TestRunTimesFitARecord(t *testing.T) {
	g := NewWithT(t)
	for _, record := range []int{100, 2 << 10, 64 << 10} {
		limits := appendLimits{record: record}
		encoded, err := commitRecords(dispatch.Commit{RunTimes: make([]byte, limits.maxRunTimesBytes())}, 1<<20)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(partCount(encoded.records[0], record)).To(BeNumerically("<=", 1))
	}
}

// TestDeletedKeysAreForgotten checks that a node's memory doesn't grow with each key that
// was ever deleted.
func TestDeletedKeysAreForgotten(t *testing.T) {
	g := NewWithT(t)
	table := newJobTable()
	at := int64(0)
	for range 3 * maxDeletions / 2 {
		key := cancelKeyPrefix + strconv.FormatInt(at, 10)
		table.apply(withOffsets(at, store.Record{Key: key, Value: []byte("{}")}, store.Record{Key: key}), at+2)
		at += 2
	}
	g.Expect(len(table.newestOffsets)).To(BeNumerically("<=", maxDeletions))
	g.Expect(table.entries).To(BeEmpty())
}

// TestJobTableIsBounded guards against jobs that take the memory of the process: new jobs are
// refused at the bound, repeats of known ones are not, and the memory of jobs that are deleted
// or reduced to a summary is released.
func TestJobTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := newJobTable()
	a, b := jobRecord(g, "a", ""), jobRecord(g, "b", "")
	table.apply(withOffsets(0, a, b, a), 3)
	jobA, _ := table.lookup("a")
	size := jobA.job.MemoryBytes()
	g.Expect(table.room.Held()).To(Equal(2 * size))
	desk := newJobAPI(nil, table, func(string, string) {}, nil)
	desk.maxValueBytes = 1 << 20
	desk.applyBounds(Limits{MemoryMiB: 144, MaxJobBytes: 2*size + 10})
	q := workflow.Queue{Name: "plain"}
	g.Expect(desk.Submit(t.Context(), &q, singleTaskJob("a")).Code).To(Equal(intake.OK))
	refused := desk.Submit(t.Context(), &q, singleTaskJob("c"))
	g.Expect(refused.Code).To(Equal(intake.Unavailable))
	g.Expect(refused.Reason).To(Equal("job-table-full"))
	g.Expect(refused.RetryAfter).To(BeNumerically(">=", retryAfter))
	table.apply(withOffsets(3, store.Record{Key: jobKeyPrefix + "a"}), 4)
	g.Expect(table.room.Held()).To(Equal(size))
	g.Expect(desk.pending.limit.Load()).To(Equal(int64(9 << 20)))
	table.apply(withOffsets(4, store.Record{Key: progressKeyPrefix + "b", Value: []byte(`{"f":"completed"}`)}), 5)
	g.Expect(table.room.Held()).To(Equal(jobA.job.EndedMemoryBytes()))
}

// TestByteBudget guards against records that wait for the store without a bound on their
// bytes. A single record is always admitted.
func TestByteBudget(t *testing.T) {
	g := NewWithT(t)
	var b byteBudget
	b.limit.Store(100)
	g.Expect(b.take(150)).To(BeTrue())
	g.Expect(b.take(1)).To(BeFalse())
	b.release(150)
	g.Expect([]bool{b.take(60), b.take(40), b.take(1)}).To(Equal([]bool{true, true, false}))
}
