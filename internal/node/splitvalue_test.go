package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/emulator"
	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// smallRecords are the options of a store with small records, so that a job of some hundred
// tasks has progress that doesn't fit into one.
var smallRecords = clusterOptions{strictLives: true, retention: 30 * time.Second, seeds: 3,
	log: emulator.LogConfig{MaxRecordBytes: 2 << 10, MaxRequestBytes: 64 << 10}}

// wideJob returns a job of many small tasks that save checkpoints.
func wideJob(id string) workflow.Job {
	return workflow.Job{ID: id, Spec: "spec", Steps: []workflow.Step{{Count: 300, Size: workflow.Size{MilliCPU: 40}, EstimateMillis: 9000, Checkpointing: true}}}
}

// TestLargeProgressDoesNotStopRecording guards against a leader that records nothing any more:
// the progress of a job was larger than a record, and its append was repeated for ever. With
// the loss of the leader, the next one must know of the tasks that are done.
func TestLargeProgressDoesNotStopRecording(t *testing.T) {
	for name, during := range map[string]func(c *cluster){
		"no-fault":    func(*cluster) {},
		"leader-lost": func(c *cluster) { c.kill(c.leader()) },
		"lost-replies": func(c *cluster) {
			c.log.LoseReplies(0.3)
			c.runDisrupted(4 * time.Second)
			c.clearFaults()
		},
	} {
		t.Run(name, func(t *testing.T) {
			runScenarioWith(t, smallRecords, func(c *cluster) {
				h := c.submit(wideJob("00000000000000e1"), "plain")
				c.Expect(h.accepted).To(BeTrue())
				time.Sleep(7 * time.Second)
				later := c.submit(singleTaskJob("00000000000000e2"), "plain")
				during(c)
				time.Sleep(8 * time.Second)
				for _, p := range c.running() {
					state, o := p.node.Desk().State(c.ctx, anyCaller, &later.queue, later.job.ID)
					c.Expect(o.Code).To(Equal(intake.OK))
					c.Expect(state).To(Equal(workflow.Completed), "a job beside the large one, at %s", p.name)
				}
				c.expectAllJobsEnd()
				time.Sleep(c.retention + 5*time.Second)
				for _, p := range c.running() {
					c.Expect(p.node.table.splits).To(BeEmpty(), "parts in the log after the jobs were forgotten")
				}
			})
		})
	}
}

// TestJobLargerThanARecord submits jobs that don't fit into one record of the log. Those that
// fit into an append must be stored, also over the loss of all nodes; larger ones must be
// refused at once.
func TestJobLargerThanARecord(t *testing.T) {
	runScenarioWith(t, smallRecords, func(c *cluster) {
		job, tooLarge := singleTaskJob("00000000000000e3"), singleTaskJob("00000000000000e4")
		job.Steps[0].LongRunning = true
		job.Steps[0].Image = strings.Repeat("<", 3000) // takes six bytes each
		tooLarge.Steps[0].Image = strings.Repeat("i", 40<<10)
		h := c.submit(job, "plain")
		c.Expect(h.accepted).To(BeTrue())
		o := c.running()[0].node.Desk().Submit(c.ctx, &h.queue, tooLarge)
		c.Expect(o.Code).To(Equal(intake.TooLarge))
		c.Expect(o.Reason).To(Equal("job-too-large"))
		for _, p := range c.running() {
			c.kill(p)
		}
		for _, name := range []string{"a", "b", "c"} {
			c.startNode(name)
		}
		time.Sleep(5 * time.Second)
		for _, p := range c.running() {
			e, ok := p.node.table.lookup(job.ID)
			c.Expect(ok).To(BeTrue())
			c.Expect(e.job.Steps[0].Image).To(Equal(job.Steps[0].Image))
		}
		c.cancelJob(h)
	})
}

// TestSplitValuesAreRead writes values of any size to a log, as the leader does, while nodes
// read it from its beginning, from its newest records, or join in between. All must see the
// newest value, and no part of a former one may stay in the log.
func TestSplitValuesAreRead(t *testing.T) {
	const maxBytes = 200
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		writer := newJobTable()
		values := map[string]string{}
		newest := map[string]store.StoredRecord{}
		readers := []*jobTable{newJobTable()}
		at := int64(0)
		for range rapid.IntRange(1, 12).Draw(t, "writes") {
			key := workerKeyPrefix + rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "key")
			value := ""
			if n := rapid.IntRange(0, 2000).Draw(t, "size"); n > 0 {
				value = fmt.Sprintf(`{"a":%q}`, strings.Repeat(string(rune('a'+at%26)), n))
			}
			values[key] = value
			stale := map[string]store.StoredRecord{}
			for k, r := range newest {
				stale[k] = r
			}
			records := splitRecords(writer.removeSurplusParts([]store.Record{{Key: key, Value: []byte(value)}}, maxBytes), maxBytes)
			if whole := (store.Record{Key: key, Value: []byte(value)}); len(value) > 0 {
				stored := splitRecords([]store.Record{whole}, maxBytes)
				g.Expect(partCount(whole, maxBytes)).To(Equal(len(stored) - 1))
				g.Expect(maxStoredBytes(whole, maxBytes)).To(BeNumerically(">=", totalBytes(stored)))
			}
			batch := withOffsets(at, records...)
			at += int64(len(records))
			for _, r := range batch {
				g.Expect(recordBytes(r.Record)).To(BeNumerically("<=", maxBytes))
				if newest[r.Key] = r; len(r.Value) == 0 {
					delete(newest, r.Key)
				}
			}
			writer.apply(batch, at)
			for _, r := range readers {
				r.apply(batch, at)
			}
			// A reading of the newest records whose first pages are older than this write.
			joining := newJobTable()
			var page []store.StoredRecord
			for k, r := range stale {
				if !strings.HasPrefix(k, partKeyPrefix) {
					page = append(page, r)
				}
			}
			for k, r := range newest {
				if strings.HasPrefix(k, partKeyPrefix) {
					page = append(page, r)
				}
			}
			joining.prune(page, batch[0].Offset)
			joining.apply(page, batch[0].Offset)
			joining.apply(batch, at)
			readers = append(readers, joining)
		}
		for i, r := range append(readers, writer) {
			for key, value := range values {
				e, ok := r.registrations[strings.TrimPrefix(key, workerKeyPrefix)]
				g.Expect(ok).To(Equal(value != ""), "reader %d", i)
				g.Expect(len(e.Address)).To(Equal(max(len(value)-len(`{"a":""}`), 0)), "reader %d", i)
			}
		}
		for k := range newest {
			if key, i, ok := parsePartKey(k); ok {
				head, _ := decodeHead(newest[key].Value)
				g.Expect(i).To(BeNumerically("<", head.parts), "part of a former value of %s", key)
			}
		}
	})
}

// rejectingStore rejects each append that holds a record with a key that begins with "bad", or
// that is larger than maxBytes.
type rejectingStore struct {
	store.Store
	maxBytes int
	keys     []string
	appends  int
	sequence int64
}

func (s *rejectingStore) Append(_ context.Context, _ store.Partition, records []store.Record, opt store.AppendOptions) (store.AppendResult, error) {
	s.appends++
	for _, r := range records {
		if strings.Contains(r.Key, "bad") {
			return store.AppendResult{}, store.ErrRejected
		}
	}
	if totalBytes(records) > s.maxBytes {
		return store.AppendResult{}, store.ErrRejected
	}
	if opt.Producer != nil && opt.Producer.Sequence != s.sequence+1 {
		return store.AppendResult{}, &store.SequenceError{Expected: s.sequence + 1}
	}
	s.sequence++
	for _, r := range records {
		s.keys = append(s.keys, r.Key)
	}
	return store.AppendResult{End: int64(len(records))}, nil
}

func newTestWriter(s store.Store, limits appendLimits) *jobLogWriter {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return newJobLogWriter(s, 3, limits, &failoverReader{recovered: make(chan struct{})}, log, func(string, string) {}, nil)
}

// TestRejectedRecordDoesNotHoldUpOthers guards against a writer that repeats for ever what the
// store rejects for good: the other records of its commit and of its batch must be written,
// and the writer must go on.
func TestRejectedRecordDoesNotHoldUpOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &rejectingStore{maxBytes: 1 << 20}
		w := newTestWriter(s, newAppendLimits(&Settings{}))
		bad, good := w.enqueue([]store.Record{{Key: "w/bad", Value: []byte("v")}}), w.enqueue([]store.Record{{Key: "j/1", Value: []byte("v")}})
		go func() { _ = w.run(ctx) }()
		_, err := bad.wait(ctx)
		g.Expect(err).To(MatchError(store.ErrRejected))
		_, err = good.wait(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		rejected, err := w.appendInOrder(ctx, []store.Record{{Key: "p/1", Value: []byte("v")}, {Key: "p/bad", Value: []byte("v")}, {Key: "w/1", Value: []byte("v")}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(rejected).To(Equal([]string{"p/bad"}))
		g.Expect(s.keys).To(Equal([]string{"j/1", "p/1", "w/1"}))
		g.Expect(committedEvent(7, append(rejected, "w/bad"))).To(Equal(dispatch.Committed{Number: 7, RejectedJobs: []string{"bad"}, RejectedWorkers: []string{"bad"}}))
	})
}

// TestBatchesFitIntoAnAppend guards against batches that are larger than the store allows: a
// write that doesn't fit beside the others waits for the next one.
func TestBatchesFitIntoAnAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &rejectingStore{maxBytes: 8 << 10}
		w := newTestWriter(s, appendLimits{record: 1 << 10, request: 8 << 10})
		var writes []*pendingWrite
		for i, kib := range []int{3, 6, 1, 7, 7, 2} {
			writes = append(writes, w.enqueue([]store.Record{{Key: fmt.Sprint("p/", i), Value: bytes.Repeat([]byte("v"), kib<<10)}}))
		}
		large := w.enqueue([]store.Record{{Key: "p/large", Value: bytes.Repeat([]byte("v"), 9<<10)}})
		go func() { _ = w.run(ctx) }()
		for _, x := range writes {
			_, err := x.wait(ctx)
			g.Expect(err).NotTo(HaveOccurred())
		}
		_, err := large.wait(ctx)
		g.Expect(err).To(MatchError(store.ErrRejected))
		g.Expect(s.appends).To(BeNumerically("<=", 6), "nothing was rejected")
		var many []store.Record
		for i := range 40 {
			many = append(many, store.Record{Key: fmt.Sprint("w/", i), Value: bytes.Repeat([]byte("v"), 700)})
		}
		rejected, err := w.appendInOrder(ctx, many)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(rejected).To(BeEmpty())
		g.Expect(s.keys[len(s.keys)-40:]).To(HaveExactElements(func() (keys []any) {
			for _, r := range many {
				keys = append(keys, r.Key)
			}
			return keys
		}()...))
	})
}

// TestCommitFitsItsLimits checks what is left out of records that would be larger than an
// append: checkpoints first, then the job's progress as a whole, and the runs on a worker
// that is out of reach.
func TestCommitFitsItsLimits(t *testing.T) {
	g := NewWithT(t)
	progress := func(id string, checkpoints, failures int) dispatch.JobProgress {
		s := workflow.StepProgress{Checkpoints: map[int]string{}, Failures: map[int]int{}}
		for i := range checkpoints {
			s.Checkpoints[i] = "0123456789abcdef"
		}
		for i := range failures {
			s.Failures[i] = 1
		}
		return dispatch.JobProgress{ID: id, Progress: workflow.Progress{Ordered: true, Begun: true, Occurrences: []workflow.OccurrenceProgress{{Steps: []workflow.StepProgress{s}}}}}
	}
	c := dispatch.Commit{
		Progress:   []dispatch.JobProgress{progress("small", 2, 2), progress("checkpoints", 500, 2), progress("failures", 1, 2000)},
		Registered: []dispatch.Registration{{Worker: "w1", Unreachable: true, Runs: []string{"a"}}, {Worker: "w2", Unreachable: true, Runs: strings.Split(strings.Repeat("task ", 2000), " ")}},
	}
	encoded, err := commitRecords(c, 8<<10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(encoded.rejected).To(Equal([]string{progressKeyPrefix + "failures"}))
	g.Expect(encoded.trimmed).To(Equal([]string{progressKeyPrefix + "checkpoints", workerKeyPrefix + "w2"}))
	table := newJobTable()
	table.apply(withOffsets(0, encoded.records...), int64(len(encoded.records)))
	g.Expect(table.entries["small"].progress.Occurrences[0].Steps[0].Checkpoints).To(HaveLen(2))
	g.Expect(table.entries["checkpoints"].progress.Occurrences[0].Steps[0].Checkpoints).To(BeEmpty())
	g.Expect(table.entries["checkpoints"].progress.Occurrences[0].Steps[0].Failures).To(HaveLen(2))
	g.Expect(table.registrations["w1"].Unreachable).To(BeTrue())
	g.Expect(table.registrations["w2"].Unreachable).To(BeFalse())
	g.Expect(c.Progress[1].Progress.Occurrences[0].Steps[0].Checkpoints).To(HaveLen(500), "the dispatcher's own state stays")
}

// TestWorkerWithLongIDDoesNotStopRecording guards against a leader that records nothing any
// more since the key of a worker's record is longer than the store takes.
func TestWorkerWithLongIDDoesNotStopRecording(t *testing.T) {
	runScenarioWith(t, singleSeedOptions, func(c *cluster) {
		c.fleet.Add(emulator.WorkerConfig{ID: strings.Repeat("w", 255), Machine: "host-long", Pool: "cpu", Labels: []string{"std", "r9"},
			Capacity: workflow.Size{MilliCPU: 4000, MemoryMiB: 8192}})
		time.Sleep(3 * time.Second)
		h := c.submit(singleTaskJob("00000000000000e5"), "plain")
		time.Sleep(4 * time.Second)
		state, o := c.running()[0].node.Desk().State(c.ctx, anyCaller, &h.queue, h.job.ID)
		c.Expect(o.Code).To(Equal(intake.OK))
		c.Expect(state).To(Equal(workflow.Completed))
	})
}
