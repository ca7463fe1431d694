package node

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

const (
	// slowWrite is from how long on a write is logged.
	slowWrite = 300 * time.Millisecond
	// leastPatience and mostPatience bound the wait for the store's answer to
	// one try; in between it is patienceFactor times the last answer's time.
	leastPatience  = 600 * time.Millisecond
	mostPatience   = 4 * time.Second
	patienceFactor = 4
	// writeRetry is the pause before the next try.
	writeRetry = 100 * time.Millisecond
	// writeQueue bounds the writes that wait.
	writeQueue = 1024
	// writeShare is the share of the largest request that one append may take.
	writeShare = 2
)

// unknownOffset is the first offset of a write that was carried out unseen.
const unknownOffset = -1

// writer appends to the log of jobs, one append at a time; all that waits
// shares the next append. The holder's writer appends under its epoch, tries
// until an append is known to be done, and ends when a higher epoch has come.
type writer struct {
	store store.Store
	// token is the holder's epoch; a writer with none leaves a lost answer to
	// its callers.
	token    int64
	sequence int64
	// patience is how long the store's answer is waited for: longer while it is slow.
	patience time.Duration
	maxBytes int
	// untilBack returns a context that also ends when the store is back in reach.
	untilBack func(context.Context) (context.Context, context.CancelFunc)
	count     func(kind, reason string)
	log       logrus.FieldLogger
	queue     chan *write
	// ended, if not nil, is closed when the term is over: the append on its way is
	// waited for, as its answer tells what became of it, and no other is begun.
	ended <-chan struct{}
	// applied is told of what was written.
	applied func(recordsWritten)
}

// write is one group of records that are appended together.
type write struct {
	records []store.Record
	done    chan error
	first   int64
}

func newWriter(s store.Store, token int64, maxBytes int, r *relay, log logrus.FieldLogger, count func(kind, reason string), applied func(recordsWritten)) *writer {
	return &writer{store: s, untilBack: r.untilBack, token: token, patience: leastPatience, maxBytes: max(maxBytes, 1<<16), log: log, count: count, applied: applied,
		queue: make(chan *write, writeQueue)}
}

// append queues the records and waits for their end. Errors are store.ErrNotDone,
// store.ErrFenced or store.ErrUnknown.
func (w *writer) append(ctx context.Context, records []store.Record) (int64, error) {
	return w.enqueue(records).wait(ctx)
}

// enqueue queues the records behind all that wait already.
func (w *writer) enqueue(records []store.Record) *write {
	x := &write{records: records, done: make(chan error, 1)}
	select {
	case w.queue <- x:
	default:
		w.count("refusal", "write-queue-full")
		x.done <- errors.WithStack(store.ErrNotExecuted)
	}
	return x
}

// wait waits for the end of the write, as append does.
func (x *write) wait(ctx context.Context) (int64, error) {
	select {
	case err := <-x.done:
		return x.first, err
	case <-ctx.Done():
		return 0, errors.WithStack(store.ErrOutcomeUnknown)
	}
}

// run writes until the context or the term ends, which is no error, or another
// writer has come. What is still queued then was not written.
func (w *writer) run(ctx context.Context) error {
	for {
		var group []*write
		select {
		case x := <-w.queue:
			group = w.gather(x)
		case <-w.ended:
			w.refuse(store.ErrNotExecuted)
			return nil
		case <-ctx.Done():
			w.refuse(store.ErrNotExecuted)
			return nil
		}
		tries, err := w.write(ctx, group)
		outcome := err
		if tries == 1 && errors.Is(err, store.ErrFenced) {
			outcome = errors.WithStack(store.ErrNotExecuted) // the one append sent was refused
		}
		for _, x := range group {
			x.done <- outcome
		}
		if err != nil && w.token != 0 {
			w.refuse(store.ErrNotExecuted)
			return err
		}
	}
}

// gather takes what else waits, up to the largest request.
func (w *writer) gather(first *write) []*write {
	group := []*write{first}
	size := first.bytes()
	for size < w.maxBytes/writeShare {
		select {
		case x := <-w.queue:
			group = append(group, x)
			size += x.bytes()
		default:
			return group
		}
	}
	return group
}

// recordOverhead is what a record takes beside its value, at most.
const recordOverhead = 64

func (x *write) bytes() int {
	n := 0
	for _, r := range x.records {
		n += len(r.Value) + recordOverhead
	}
	return n
}

func (w *writer) refuse(err error) {
	for {
		select {
		case x := <-w.queue:
			x.done <- err
		default:
			return
		}
	}
}

// write appends a group. With a token, it tries until that is known to be done.
// It returns how often it tried.
func (w *writer) write(ctx context.Context, group []*write) (int, error) {
	var records []store.Record
	for _, x := range group {
		records = append(records, x.records...)
	}
	w.sequence++
	began := time.Now()
	for try := 1; ; try++ {
		res, err := w.try(ctx, records)
		var seq *store.SequenceError
		switch {
		case err == nil:
			if took := time.Since(began); took > slowWrite {
				w.log.WithFields(logrus.Fields{"took_ms": took.Milliseconds(), "tries": try, "writes": len(group), "records": len(records)}).Info("slow write")
			}
			w.tell(group, recordsWritten{records: records, first: res.First, sent: began})
			return try, nil
		case errors.Is(err, store.ErrFenced):
			return try, errors.WithStack(store.ErrFenced)
		case errors.As(err, &seq) && try == 1:
			return try, errors.WithStack(store.ErrFenced) // another writer has this epoch
		case errors.As(err, &seq) && seq.Expected > w.sequence:
			for _, x := range group {
				x.first = unknownOffset
			}
			return try, nil // an earlier try was carried out; the log is read anyway
		case w.over(ctx) && try == 1 && errors.Is(err, store.ErrNotExecuted):
			return try, err
		case w.over(ctx):
			return try, errors.WithStack(store.ErrOutcomeUnknown)
		case w.token == 0 && (try == appendTries || !errors.Is(err, store.ErrNotExecuted)):
			return try, err
		}
		w.count("retry", "commit-"+errorReason(err))
		pauseFor(ctx, writeRetry)
	}
}

// over reports whether the writer is to try no more.
func (w *writer) over(ctx context.Context) bool {
	select {
	case <-w.ended:
		return true
	default:
		return ctx.Err() != nil
	}
}

// try appends once.
func (w *writer) try(ctx context.Context, records []store.Record) (store.AppendResult, error) {
	ctx, cancelBack := w.untilBack(ctx)
	defer cancelBack()
	ctx, cancel := context.WithTimeout(ctx, w.patience)
	defer cancel()
	var opt store.AppendOptions
	if w.token != 0 {
		opt.Producer = &store.Producer{Name: producerName, Epoch: w.token, Sequence: w.sequence}
	}
	began := time.Now()
	res, err := w.store.Append(ctx, jobsPartition, records, opt)
	switch {
	case err == nil:
		w.patience = min(max(leastPatience, patienceFactor*time.Since(began)), mostPatience)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		w.patience = min(2*w.patience, mostPatience)
	}
	return res, err
}

func (w *writer) tell(group []*write, ev recordsWritten) {
	at := ev.first
	for _, x := range group {
		x.first = at
		at += int64(len(x.records))
	}
	if w.applied != nil {
		w.applied(ev)
	}
}

// Record writes callers' records if this node holds the right to place; done
// is false if surely nothing was written and never will be.
func (n *Node) Record(ctx context.Context, records []store.Record) (bool, error) {
	w := n.termWriter.Load()
	if w == nil {
		return false, nil
	}
	for _, r := range records {
		if !strings.HasPrefix(r.Key, jobKey) && !strings.HasPrefix(r.Key, cancelKey) {
			return false, errors.Errorf("record %q is not a caller's", r.Key)
		}
	}
	switch _, err := w.append(ctx, records); {
	case err == nil:
		return true, nil
	case errors.Is(err, store.ErrNotExecuted):
		return false, nil
	default:
		return false, err
	}
}
