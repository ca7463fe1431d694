package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

// feed is one partition that the node follows.
type feed struct {
	partition store.Partition
	// wait is how long a read waits for the first record.
	wait time.Duration
	// interval returns the minimum time between the starts of two reads.
	interval func() time.Duration
	// reader, if not nil, is read instead of the store.
	reader store.Reader
	// loadAll, if not nil, reads the newest record of every key; otherwise
	// store.ReadAll does.
	loadAll func(context.Context) readResult
	// position, if not nil, returns the offset up to which records are already
	// known by other means.
	position func() int64
	// endSeenAt, if not nil, returns when the end of the log was last seen, by a
	// read or by other means.
	endSeenAt func() time.Time
	// clock, if not nil, stamps the reads.
	clock func() time.Duration
	// termToken, if not nil, returns the token of this node's term. The feed is
	// not read while it is zero, and is read from the start when it changes.
	termToken func() int64
}

// readResult is the outcome of one read of a feed: the newest record of every
// key, the records that follow the last read, or an error.
type readResult struct {
	records    []store.StoredRecord
	nextOffset int64
	// full results replace what was known before.
	full bool
	err  error
	// readAt is when the log was read: everything in the log at that time has
	// been returned. If the reply does not tell, it is when the reply arrived,
	// which is late by its transit time at most. It is zero if the read did not
	// reach the end of the log.
	readAt time.Time
	// sentAt is when the read was sent; reachedEnd reports whether it reached
	// the end of the log.
	sentAt     time.Time
	reachedEnd bool
	// sentClock is the time of the feed's clock before the read was sent.
	sentClock time.Duration
}

const (
	// directReadTimeout bounds a direct read from the store, in addition to its
	// wait.
	directReadTimeout = 800 * time.Millisecond
	// overallReadTimeout bounds a read over any path, in addition to its wait.
	overallReadTimeout = 2500 * time.Millisecond
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 60 * time.Millisecond
)

// follow reads the feed until the context ends and passes each result to handle.
func follow(ctx context.Context, s store.Reader, f feed, handle func(readResult)) {
	next, term := int64(-1), int64(0)
	failed := false
	for ctx.Err() == nil {
		if f.termToken != nil {
			token := f.termToken()
			if token != term {
				next, term = -1, token
			}
			if term == 0 {
				sleepContext(ctx, readRetryDelay)
				continue
			}
		}
		if next >= 0 && f.position != nil {
			next = max(next, f.position())
		}
		startedAt := time.Now()
		sentClock := time.Duration(0)
		if f.clock != nil {
			sentClock = f.clock()
		}
		current := f
		if failed {
			// Do not wait for a record: recovery should be noticed at once.
			current.wait = 0
		}
		r := readOnce(ctx, s, current, next)
		if ctx.Err() != nil {
			return
		}
		r.sentClock = sentClock
		handle(r)
		failed = r.err != nil
		switch {
		case r.err == nil:
			next = r.nextOffset
			f.waitForNextRead(ctx, startedAt)
		case errors.As(r.err, new(*store.ExpiredError)):
			next = -1
		default:
			sleepContext(ctx, readRetryDelay)
		}
	}
}

// waitForNextRead waits until the next read is due: one interval after the start
// of the last read, and one interval after the end of the log was last seen.
func (f feed) waitForNextRead(ctx context.Context, startedAt time.Time) {
	sleepContext(ctx, f.interval()-time.Since(startedAt))
	for f.endSeenAt != nil && ctx.Err() == nil {
		left := f.interval() - time.Since(f.endSeenAt())
		if left <= 0 {
			return
		}
		sleepContext(ctx, left)
	}
}

// readOnce reads the newest record of every key if next is negative, else the
// records from next on.
func readOnce(ctx context.Context, s store.Reader, f feed, next int64) readResult {
	sent := time.Now()
	if next < 0 && f.loadAll != nil {
		return f.loadAll(ctx)
	}
	if next < 0 {
		ctx, cancel := context.WithTimeout(ctx, 2*overallReadTimeout)
		defer cancel()
		records, end, err := store.ReadAll(ctx, s, f.partition)
		r := readResult{records: records, nextOffset: end, full: true, err: err, readAt: time.Now(), sentAt: sent, reachedEnd: true}
		if err == nil {
			r.readAt = sent // the end offset is that of the first page
		}
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, f.wait+overallReadTimeout)
	defer cancel()
	b, err := s.Read(ctx, f.partition, next, f.wait)
	r := readResult{records: b.Records, nextOffset: b.NextOffset, err: err, readAt: time.Now(), sentAt: sent, reachedEnd: b.End >= 0 && b.NextOffset >= b.End}
	switch {
	case err != nil:
	case b.End >= 0 && b.NextOffset < b.End:
		r.readAt = time.Time{}
	case !b.ReadAt.IsZero():
		r.readAt = b.ReadAt
	}
	return r
}

// sleepContext sleeps for d or until the context ends.
func sleepContext(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
