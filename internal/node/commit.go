package node

import (
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/store"
)

const (
	// commitBytesPerSecond bounds the rate of the commits that are larger than
	// smallCommitBytes: every node reads what is written, some over links of 10 Mbit/s.
	commitBytesPerSecond = 512 << 10
	smallCommitBytes     = 128 << 10
)

// commit writes the records of the dispatcher's commit, in order. Those that can never be
// written are left out and reported.
func (n *Node) commit(t *term, e dispatch.Commit, reply func(dispatch.Event)) {
	limits := t.writer.limits
	encoded, err := commitRecords(e, limits.maxValueBytes())
	if err != nil {
		n.log.WithError(err).Error("a commit can't be encoded")
		reply(dispatch.Committed{Number: e.Number, Failed: true})
		return
	}
	for _, key := range encoded.trimmed {
		n.deps.Count("loss", "record-trimmed")
		n.log.WithField("record", key).Warn("a record is too large to be written whole")
	}
	if encoded.runTimesOmitted {
		n.deps.Count("loss", "run-times-omitted")
	}
	for _, key := range encoded.rejected {
		n.deps.Count("loss", "record-rejected")
		n.log.WithField("record", key).Error("a record is too large to be written")
	}
	if wait := time.Until(t.nextCommitAt); wait > 0 {
		sleepContext(t.ctx, wait)
	}
	records := n.table.removeSurplusParts(encoded.records, limits.record)
	began, size := time.Now(), totalBytes(records)
	rejected, err := t.writer.appendInOrder(t.ctx, records)
	if err != nil {
		n.deps.Count("loss", "commit-"+errorReason(err))
		reply(dispatch.Committed{Number: e.Number, Failed: true})
		return
	}
	if size > smallCommitBytes {
		t.nextCommitAt = began.Add(time.Duration(size) * time.Second / commitBytesPerSecond)
	}
	n.deps.Observe("commit", time.Since(began))
	n.observeCompletionDelay(e)
	reply(committedEvent(e.Number, append(rejected, encoded.rejected...)))
}

// committedEvent returns the result of a commit whose records with the given keys can't be
// written.
func committedEvent(number int64, rejected []string) dispatch.Committed {
	ev := dispatch.Committed{Number: number}
	for _, key := range rejected {
		if id, ok := strings.CutPrefix(key, progressKeyPrefix); ok {
			ev.RejectedJobs = append(ev.RejectedJobs, id)
		}
		if id, ok := strings.CutPrefix(key, workerKeyPrefix); ok {
			ev.RejectedWorkers = append(ev.RejectedWorkers, id)
		}
	}
	return ev
}

// encodedCommit holds the job log records of a commit.
type encodedCommit struct {
	records []store.Record
	// trimmed holds the keys of the records that were too large and lack something that a
	// next leader can do without: checkpoints, or the runs on a worker that is out of reach.
	trimmed []string
	// rejected holds the keys of the records that are too large and were left out.
	rejected []string
	// runTimesOmitted is set if the run times are too large to be recorded.
	runTimesOmitted bool
}

func encodeRecord(key string, v any) (store.Record, error) {
	b, err := json.Marshal(v)
	return store.Record{Key: key, Value: b}, errors.Wrap(err, key)
}

// addTrimmed adds a record, or the one that smaller returns if it is larger than maxBytes. If
// that one is too large as well, none is added.
func (e *encodedCommit) addTrimmed(key string, maxBytes int, v any, smaller func() any) error {
	r, err := encodeRecord(key, v)
	trimmed := err == nil && len(r.Value) > maxBytes
	if trimmed {
		r, err = encodeRecord(key, smaller())
	}
	switch {
	case err != nil:
		return err
	case len(r.Value) > maxBytes:
		e.rejected = append(e.rejected, key)
		return nil
	case trimmed:
		e.trimmed = append(e.trimmed, key)
	}
	e.records = append(e.records, r)
	return nil
}

// withoutRuns returns the registration of a worker with which contact is not lost. The next
// leader waits until it reaches the worker or its leases have expired.
func withoutRuns(r dispatch.Registration) dispatch.Registration {
	r.Unreachable, r.Runs = false, nil
	return r
}

// maxRunTimesBytes is the size of the largest snapshot of run times whose record, in base64, need
// not be split: a part that is missing would make all of it unreadable.
func (l appendLimits) maxRunTimesBytes() int {
	empty, _ := json.Marshal(runTimesRecord{Snapshot: []byte{}})
	return max(1, base64.StdEncoding.DecodedLen(l.record-recordHeaderBytes-len(runTimesKey)-len(empty))-3)
}

// commitRecords returns the job log records of a commit, none of them larger than maxBytes.
func commitRecords(c dispatch.Commit, maxBytes int) (encodedCommit, error) {
	var out encodedCommit
	if c.Succession != nil {
		r, err := encodeRecord(successionKey, c.Succession)
		if err != nil {
			return out, err
		}
		out.records = append(out.records, r)
	}
	// Release an incarnation that is over before the next one of the same worker is
	// engaged.
	for _, id := range c.Released {
		out.records = append(out.records, store.Record{Key: workerKeyPrefix + id})
	}
	for _, p := range c.Progress {
		if err := out.addTrimmed(progressKeyPrefix+p.ID, maxBytes, p.Progress, func() any { return p.Progress.WithoutCheckpoints() }); err != nil {
			return out, err
		}
		if p.Summary == nil {
			continue
		}
		// A starting node reads the newest record of each key. The record of an ended job
		// need not contain its tasks.
		summary, err := encodeRecord(jobKeyPrefix+p.ID, p.Summary)
		if err != nil {
			return out, err
		}
		out.records = append(out.records, summary)
	}
	for _, e := range c.Registered {
		if err := out.addTrimmed(workerKeyPrefix+e.Worker, maxBytes, e, func() any { return withoutRuns(e) }); err != nil {
			return out, err
		}
	}
	if len(c.RunTimes) > 0 {
		r, err := encodeRecord(runTimesKey, runTimesRecord{c.RunTimes})
		if err != nil {
			return out, err
		}
		// Without the record, the next leader learns anew.
		if out.runTimesOmitted = len(r.Value) > maxBytes; !out.runTimesOmitted {
			out.records = append(out.records, r)
		}
	}
	for _, id := range c.Purged {
		out.records = append(out.records, store.Record{Key: jobKeyPrefix + id}, store.Record{Key: cancelKeyPrefix + id}, store.Record{Key: progressKeyPrefix + id})
	}
	return out, nil
}
