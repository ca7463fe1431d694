package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

// recentRecords bounds the records that are kept for other nodes; the older
// half is let go of at a time, so that they aren't moved for each new one.
const recentRecords = 2048

// recent holds the newest records of the log of jobs without a gap, so that
// the other nodes read them from the holder and not from the store.
type recent struct {
	mu sync.Mutex
	// first is the offset of records[0].
	first   int64
	records []store.Numbered
	// readAt is when the log was last read to the end of the records.
	readAt time.Time
	// more is closed and replaced with each reading.
	more chan struct{}
}

func newRecent() *recent { return &recent{first: -1, more: make(chan struct{})} }

// add appends a reading's records that follow without a gap; otherwise it
// begins anew.
func (c *recent) add(r reading) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.whole {
		for _, x := range r.records {
			c.append(x)
		}
	}
	if c.first < 0 || r.next > c.end() {
		c.first, c.records = r.next, nil
	}
	if r.at.After(c.readAt) {
		c.readAt = r.at
	}
	if over := len(c.records) - recentRecords/2; len(c.records) > recentRecords {
		c.first += int64(over)
		c.records = slices.Delete(c.records, 0, over)
	}
	close(c.more)
	c.more = make(chan struct{})
}

func (c *recent) append(r store.Numbered) {
	switch end := c.end(); {
	case c.first >= 0 && r.Offset < end:
		return
	case c.first < 0 || r.Offset > end:
		c.first, c.records = r.Offset, nil
	}
	c.records = append(c.records, r)
}

func (c *recent) end() int64 { return c.first + int64(len(c.records)) }

// from returns the records from an offset on with the time at which they were
// all, and a channel that closes when there may be more; ok is false if the
// offset isn't covered.
func (c *recent) from(offset int64) (b store.Batch, more <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b = store.Batch{Next: c.end(), End: -1, ReadAt: c.readAt}
	if c.first < 0 || offset < c.first || offset > b.Next {
		return b, c.more, false
	}
	b.Records = append(b.Records, c.records[offset-c.first:]...)
	return b, c.more, true
}

// await returns the records from an offset on as soon as there are some, none
// after the wait. Its error is store.ErrNotDone: the log was not read for longer
// than the bound. ok is false if the offset isn't covered.
func (c *recent) await(ctx context.Context, offset int64, wait, bound time.Duration) (b store.Batch, ok bool, err error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for last := wait <= 0; ; {
		b, more, ok := c.from(offset)
		if time.Since(b.ReadAt) > bound {
			return store.Batch{}, false, errors.WithStack(store.ErrNotDone)
		}
		if !ok || last || len(b.Records) > 0 {
			return b, ok, nil
		}
		select {
		case <-more:
		case <-timeout.C:
			last = true
		case <-ctx.Done():
			return store.Batch{}, false, errors.WithStack(store.ErrNotDone)
		}
	}
}

// served reads for other nodes.
type served struct{ n *Node }

// Read implements store.Reader.
func (s *served) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if p != jobsPartition || s.n.holding.Load() == 0 {
		return s.n.ports.Store.Read(ctx, p, from, wait)
	}
	b, ok, err := s.n.recent.await(ctx, from, wait, servedBound)
	if err == nil && !ok {
		return s.n.ports.Store.Read(ctx, p, from, 0)
	}
	return b, err
}

// Newest implements store.Reader.
func (s *served) Newest(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	return s.n.ports.Store.Newest(ctx, p, after)
}

const (
	// servedBound is how old the holder's view may be to be read by others.
	servedBound = 600 * time.Millisecond
	// holderTimeout bounds a read at the holder beside its wait.
	holderTimeout = 400 * time.Millisecond
	// holderRest is how long the store is read after the holder did not answer.
	holderRest = 700 * time.Millisecond
)

// viewReader reads the log of jobs from the holder of the right, which has it
// at hand; from the store if this node is the holder or it does not answer.
type viewReader struct {
	n *Node
	// restUntil is when the holder is asked again. One goroutine reads.
	restUntil time.Time
}

// Read implements store.Reader.
func (v *viewReader) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if v.n.holding.Load() != 0 {
		return v.n.reader.Read(ctx, p, from, holderWait)
	}
	address, ok := v.n.holderAddress()
	if !ok || time.Now().Before(v.restUntil) {
		return v.n.reader.Read(ctx, p, from, wait)
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+holderTimeout)
	defer cancel()
	b, err := v.n.ports.Peers.Reader(address).Read(callCtx, p, from, wait)
	if err == nil || expired(err) {
		return b, err
	}
	v.restUntil = time.Now().Add(holderRest)
	return v.n.reader.Read(ctx, p, from, 0)
}

// Newest implements store.Reader.
func (v *viewReader) Newest(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	return v.n.reader.Newest(ctx, p, after)
}
