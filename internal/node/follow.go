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
	// pause returns the least time between the begins of two reads.
	pause func() time.Duration
	// reader, if not nil, is read instead of the store.
	reader store.Reader
	// whole, if not nil, reads all newest records; otherwise store.ReadAll does.
	whole func(context.Context) reading
	// position, if not nil, tells up to where the records are known otherwise.
	position func() int64
	// endSeen, if not nil, tells when the log's end was last seen, by a reading
	// or otherwise.
	endSeen func() time.Time
	// term, if not nil, is the token of this node's term: without one the feed
	// isn't read, and with a new one it is read from the start.
	term func() int64
}

// reading is what a feed has brought: all newest records, or those that follow
// the last ones, or a failure.
type reading struct {
	records []store.StoredRecord
	next    int64
	// whole readings replace what was known before.
	whole bool
	err   error
	// at is when the log was read: what it held then has been brought. Where the
	// answer doesn't tell, it is when that came, later by its way at most. It is
	// zero if the reading has not reached the log's end.
	at time.Time
	// sent is when the read was sent; caughtUp tells that it reached the end.
	sent     time.Time
	caughtUp bool
}

const (
	// readTimeout bounds a direct read beside its wait.
	readTimeout = 800 * time.Millisecond
	// followTimeout bounds a read beside its wait, whatever way it takes.
	followTimeout = 2500 * time.Millisecond
	// readRetry is the pause after a failed read.
	readRetry = 60 * time.Millisecond
)

// follow reads the feed until the context ends and hands each reading to take.
func follow(ctx context.Context, s store.Reader, f feed, take func(reading)) {
	next, term := int64(-1), int64(0)
	failed := false
	for ctx.Err() == nil {
		if f.term != nil {
			now := f.term()
			if now != term {
				next, term = -1, now
			}
			if term == 0 {
				pauseFor(ctx, readRetry)
				continue
			}
		}
		if next >= 0 && f.position != nil {
			next = max(next, f.position())
		}
		began := time.Now()
		turn := f
		if failed {
			// The end of the failures is to be known before the next record comes.
			turn.wait = 0
		}
		r := readOnce(ctx, s, turn, next)
		if ctx.Err() != nil {
			return
		}
		take(r)
		failed = r.err != nil
		switch {
		case r.err == nil:
			next = r.next
			f.rest(ctx, began)
		case errors.As(r.err, new(*store.ExpiredError)):
			next = -1
		default:
			pauseFor(ctx, readRetry)
		}
	}
}

// rest waits until the next read is due: a pause after the begin of the last
// one, and after the log's end was last seen.
func (f feed) rest(ctx context.Context, began time.Time) {
	pauseFor(ctx, f.pause()-time.Since(began))
	for f.endSeen != nil && ctx.Err() == nil {
		left := f.pause() - time.Since(f.endSeen())
		if left <= 0 {
			return
		}
		pauseFor(ctx, left)
	}
}

// readOnce reads all newest records when next is below 0, else those from next on.
func readOnce(ctx context.Context, s store.Reader, f feed, next int64) reading {
	sent := time.Now()
	if next < 0 && f.whole != nil {
		return f.whole(ctx)
	}
	if next < 0 {
		ctx, cancel := context.WithTimeout(ctx, 2*followTimeout)
		defer cancel()
		records, end, err := store.ReadAll(ctx, s, f.partition)
		r := reading{records: records, next: end, whole: true, err: err, at: time.Now(), sent: sent, caughtUp: true}
		if err == nil {
			r.at = sent // the end is that of the first page
		}
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, f.wait+followTimeout)
	defer cancel()
	b, err := s.Read(ctx, f.partition, next, f.wait)
	r := reading{records: b.Records, next: b.NextOffset, err: err, at: time.Now(), sent: sent, caughtUp: b.End >= 0 && b.NextOffset >= b.End}
	switch {
	case err != nil:
	case b.End >= 0 && b.NextOffset < b.End:
		r.at = time.Time{}
	case !b.ReadAt.IsZero():
		r.at = b.ReadAt
	}
	return r
}

func pauseFor(ctx context.Context, d time.Duration) {
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
