package node

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

const (
	// slowWriteThreshold is the duration above which a write is logged.
	slowWriteThreshold = 300 * time.Millisecond
	// minAppendTimeout and maxAppendTimeout bound the timeout of one append
	// attempt; in between it is appendTimeoutFactor times the last response
	// time.
	minAppendTimeout    = 600 * time.Millisecond
	maxAppendTimeout    = 4 * time.Second
	appendTimeoutFactor = 4
	// appendRetryDelay is the delay before the next attempt.
	appendRetryDelay = 100 * time.Millisecond
	// writeQueueSize bounds the queued writes.
	writeQueueSize = 1024
	// batchShareDivisor is the divisor of the largest request: a batch grows
	// until it takes this part of it.
	batchShareDivisor = 2
	// maxRejectedAttempts is how often an append is attempted that the store rejects for
	// good.
	maxRejectedAttempts = 3
)

// unknownOffset is the first offset of a write that was carried out but whose
// reply was lost.
const unknownOffset = -1

// jobLogWriter appends to the job log, one append at a time; all queued writes
// share the next append. The leader's writer appends under its epoch, retries
// until an append is known to be done, and stops when a higher epoch has
// appeared.
type jobLogWriter struct {
	store store.Store
	// token is the epoch of the leader. A writer without one leaves lost replies
	// to its callers.
	token    int64
	sequence int64
	// appendTimeout bounds the wait for the reply of the store. It grows while the store is slow.
	appendTimeout time.Duration
	limits        appendLimits
	// cancelOnRecovery returns a context that also ends when the store is
	// reachable again.
	cancelOnRecovery func(context.Context) (context.Context, context.CancelFunc)
	count            func(kind, reason string)
	log              logrus.FieldLogger
	queue            chan *pendingWrite
	// postponed is a queued write that did not fit into the last batch, or nil.
	postponed *pendingWrite
	// termEnded, if not nil, is closed when the term is over. An append in
	// flight is still waited for, since its reply tells whether it was carried
	// out, and no other is started.
	termEnded <-chan struct{}
	// onWritten, if not nil, is called with the records written.
	onWritten func(recordsWritten)
}

// pendingWrite is a group of records that are appended together.
type pendingWrite struct {
	records     []store.Record
	done        chan error
	firstOffset int64
}

func newJobLogWriter(s store.Store, token int64, limits appendLimits, r *failoverReader, log logrus.FieldLogger, count func(kind, reason string), onWritten func(recordsWritten)) *jobLogWriter {
	return &jobLogWriter{store: s, cancelOnRecovery: r.cancelOnRecovery, token: token, appendTimeout: minAppendTimeout, limits: limits, log: log, count: count, onWritten: onWritten,
		queue: make(chan *pendingWrite, writeQueueSize)}
}

// append queues the records and waits for the result. It returns
// store.ErrNotExecuted, store.ErrRejected, store.ErrFenced or store.ErrOutcomeUnknown.
func (w *jobLogWriter) append(ctx context.Context, records []store.Record) (int64, error) {
	return w.enqueue(records).wait(ctx)
}

// appendInOrder appends the records in as many appends as their size requires. If the store
// rejects one for good, its records are appended one by one. It returns the keys of the
// records that can't be written, and the same errors as append but store.ErrRejected.
func (w *jobLogWriter) appendInOrder(ctx context.Context, records []store.Record) (rejected []string, err error) {
	for len(records) > 0 {
		group := w.fittingRecords(records)
		_, err := w.append(ctx, group)
		switch {
		case errors.Is(err, store.ErrRejected) && len(group) > 1:
			for i := range group {
				more, err := w.appendInOrder(ctx, group[i:i+1])
				if err != nil {
					return rejected, err
				}
				rejected = append(rejected, more...)
			}
		case errors.Is(err, store.ErrRejected):
			w.log.WithError(err).WithField("record", largestRecord(group)).Error("a record can't be written")
			w.count("loss", "record-rejected")
			rejected = append(rejected, group[0].Key)
		case err != nil:
			return rejected, err
		}
		records = records[len(group):]
	}
	return rejected, nil
}

// fittingRecords returns the first records, at least one, that fit into an append.
func (w *jobLogWriter) fittingRecords(records []store.Record) []store.Record {
	size := 0
	for i, r := range records {
		if size += maxStoredBytes(r, w.limits.record); size > w.limits.request && i > 0 {
			return records[:i]
		}
	}
	return records
}

// enqueue queues the records behind those already queued, and splits those that are too
// large for one record.
func (w *jobLogWriter) enqueue(records []store.Record) *pendingWrite {
	x := &pendingWrite{records: splitRecords(records, w.limits.record), done: make(chan error, 1)}
	if size := totalBytes(x.records); size > w.limits.request {
		w.log.WithFields(logrus.Fields{"bytes": size, "largest": largestRecord(records)}).Error("records are too large for an append")
		w.count("refusal", "records-too-large")
		x.done <- errors.WithStack(store.ErrRejected)
		return x
	}
	select {
	case w.queue <- x:
	default:
		w.count("refusal", "write-queue-full")
		x.done <- errors.WithStack(store.ErrNotExecuted)
	}
	return x
}

// wait waits for the result of the write and returns the same errors as append.
func (x *pendingWrite) wait(ctx context.Context) (int64, error) {
	select {
	case err := <-x.done:
		return x.firstOffset, err
	case <-ctx.Done():
		return 0, errors.WithStack(store.ErrOutcomeUnknown)
	}
}

// run writes until the context or the term ends, which is not an error, or until
// another writer has taken over. Writes still queued then are not written.
func (w *jobLogWriter) run(ctx context.Context) error {
	for {
		first, ok := w.next(ctx)
		if !ok {
			w.failQueued(store.ErrNotExecuted)
			return nil
		}
		if err := w.write(ctx, w.collectBatch(first)); err != nil && w.token != 0 {
			w.failQueued(store.ErrNotExecuted)
			return err
		}
	}
}

// next waits for a queued write. It returns false when the context or the term ends.
func (w *jobLogWriter) next(ctx context.Context) (*pendingWrite, bool) {
	if x := w.postponed; x != nil && !w.isStopped(ctx) {
		w.postponed = nil
		return x, true
	}
	select {
	case x := <-w.queue:
		return x, true
	case <-w.termEnded:
	case <-ctx.Done():
	}
	return nil, false
}

// write appends a batch and completes its writes. If the store rejects it for good, each
// write is appended by itself, so that one that can't be written doesn't hold up the
// others. An error means that the writer can't go on.
func (w *jobLogWriter) write(ctx context.Context, batch []*pendingWrite) error {
	attempts, err := w.appendBatch(ctx, batch)
	if errors.Is(err, store.ErrRejected) && len(batch) > 1 {
		for i := range batch {
			if err := w.write(ctx, batch[i:i+1]); err != nil {
				completeAll(batch[i+1:], errors.WithStack(store.ErrNotExecuted))
				return err
			}
		}
		return nil
	}
	outcome := err
	if attempts == 1 && errors.Is(err, store.ErrFenced) {
		outcome = errors.WithStack(store.ErrNotExecuted) // the only append sent was refused
	}
	completeAll(batch, outcome)
	if errors.Is(err, store.ErrRejected) {
		return nil
	}
	return err
}

func completeAll(batch []*pendingWrite, outcome error) {
	for _, x := range batch {
		x.done <- outcome
	}
}

// collectBatch collects queued writes up to the size limit of a batch.
func (w *jobLogWriter) collectBatch(first *pendingWrite) []*pendingWrite {
	batch := []*pendingWrite{first}
	size := totalBytes(first.records)
	for size < w.limits.request/batchShareDivisor {
		select {
		case x := <-w.queue:
			if size += totalBytes(x.records); size > w.limits.request {
				w.postponed = x
				return batch
			}
			batch = append(batch, x)
		default:
			return batch
		}
	}
	return batch
}

// failQueued completes all queued writes with the error.
func (w *jobLogWriter) failQueued(err error) {
	if x := w.postponed; x != nil {
		w.postponed = nil
		x.done <- err
	}
	for {
		select {
		case x := <-w.queue:
			x.done <- err
		default:
			return
		}
	}
}

// appendBatch appends a batch. With a token, it retries until the append is
// known to be done or to be rejected for good. It returns the number of attempts.
func (w *jobLogWriter) appendBatch(ctx context.Context, batch []*pendingWrite) (int, error) {
	var records []store.Record
	for _, x := range batch {
		records = append(records, x.records...)
	}
	w.sequence++
	startedAt := time.Now()
	answered := true
	for attempt := 1; ; attempt++ {
		res, err := w.tryAppend(ctx, records)
		answered = answered && !errors.Is(err, store.ErrOutcomeUnknown)
		var seq *store.SequenceError
		switch {
		case err == nil:
			if took := time.Since(startedAt); took > slowWriteThreshold {
				w.log.WithFields(logrus.Fields{"took_ms": took.Milliseconds(), "tries": attempt, "writes": len(batch), "records": len(records)}).Info("slow write")
			}
			w.notifyWritten(batch, recordsWritten{records: records, first: res.First, sent: startedAt})
			return attempt, nil
		case errors.Is(err, store.ErrFenced):
			return attempt, errors.WithStack(store.ErrFenced)
		case errors.As(err, &seq) && attempt == 1:
			return attempt, errors.WithStack(store.ErrFenced) // another writer uses this epoch
		case errors.As(err, &seq) && seq.Expected > w.sequence:
			for _, x := range batch {
				x.firstOffset = unknownOffset
			}
			return attempt, nil // an earlier attempt was carried out; its records come back with the next read
		case errors.Is(err, store.ErrRejected) && attempt >= maxRejectedAttempts:
			if !answered {
				return attempt, errors.WithStack(store.ErrOutcomeUnknown)
			}
			w.sequence-- // nothing has used it
			return attempt, err
		case w.isStopped(ctx) && attempt == 1 && errors.Is(err, store.ErrNotExecuted):
			return attempt, err
		case w.isStopped(ctx):
			return attempt, errors.WithStack(store.ErrOutcomeUnknown)
		case w.token == 0 && (attempt == maxAppendAttempts || !errors.Is(err, store.ErrNotExecuted) || errors.Is(err, store.ErrRejected)):
			return attempt, err
		}
		if attempt == 1 && errors.Is(err, store.ErrRejected) {
			w.log.WithError(err).WithFields(logrus.Fields{"records": len(records), "largest": largestRecord(records)}).Error("the store rejects an append")
		}
		w.count("retry", "commit-"+errorReason(err))
		sleepContext(ctx, appendRetryDelay)
	}
}

// largestRecord describes the largest of the records by its key and the size of its value.
func largestRecord(records []store.Record) string {
	var largest store.Record
	for _, r := range records {
		if len(r.Value) >= len(largest.Value) {
			largest = r
		}
	}
	return fmt.Sprintf("%s, %d bytes", largest.Key, len(largest.Value))
}

// isStopped reports whether the writer must not retry.
func (w *jobLogWriter) isStopped(ctx context.Context) bool {
	select {
	case <-w.termEnded:
		return true
	default:
		return ctx.Err() != nil
	}
}

// tryAppend makes one attempt to append the records.
func (w *jobLogWriter) tryAppend(ctx context.Context, records []store.Record) (store.AppendResult, error) {
	ctx, cancelRecovery := w.cancelOnRecovery(ctx)
	defer cancelRecovery()
	ctx, cancel := context.WithTimeout(ctx, w.appendTimeout)
	defer cancel()
	var opt store.AppendOptions
	if w.token != 0 {
		opt.Producer = &store.Producer{Name: producerName, Epoch: w.token, Sequence: w.sequence}
	}
	startedAt := time.Now()
	res, err := w.store.Append(ctx, jobsPartition, records, opt)
	switch {
	case err == nil:
		w.appendTimeout = min(max(minAppendTimeout, appendTimeoutFactor*time.Since(startedAt)), maxAppendTimeout)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		w.appendTimeout = min(2*w.appendTimeout, maxAppendTimeout)
	}
	return res, err
}

// notifyWritten sets the offsets of a written batch and calls onWritten.
func (w *jobLogWriter) notifyWritten(batch []*pendingWrite, ev recordsWritten) {
	at := ev.first
	for _, x := range batch {
		x.firstOffset = at
		at += int64(len(x.records))
	}
	if w.onWritten != nil {
		w.onWritten(ev)
	}
}

// AppendRecords writes callers' records if this node is the leader. It returns
// false without an error if nothing was written and nothing will be.
func (n *Node) AppendRecords(ctx context.Context, records []store.Record) (bool, error) {
	w := n.termWriter.Load()
	if w == nil {
		return false, nil
	}
	for _, r := range records {
		if !strings.HasPrefix(r.Key, jobKeyPrefix) && !strings.HasPrefix(r.Key, cancelKeyPrefix) {
			return false, errors.Errorf("record %q is not a caller's", r.Key)
		}
	}
	release, err := n.admit(records)
	if err != nil {
		return false, err
	}
	size := int64(totalBytes(records))
	if !n.forwarded.take(size) {
		n.deps.Count("refusal", "write-queue-full")
		release(false)
		return false, nil
	}
	defer n.forwarded.release(size)
	_, err = w.append(ctx, records)
	release(err == nil || !errors.Is(err, store.ErrNotExecuted))
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, store.ErrNotExecuted):
		return false, nil
	default:
		return false, err
	}
}
