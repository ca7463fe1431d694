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
	// more is closed and replaced when records are added.
	more chan struct{}
}

func newRecent() *recent { return &recent{first: -1, more: make(chan struct{})} }

// add appends records that follow without a gap; otherwise it begins anew.
func (c *recent) add(records []store.Numbered) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		end := c.first + int64(len(c.records))
		switch {
		case c.first >= 0 && r.Offset < end:
			continue
		case c.first < 0 || r.Offset > end:
			c.first, c.records = r.Offset, nil
		}
		c.records = append(c.records, r)
	}
	if over := len(c.records) - recentRecords/2; len(c.records) > recentRecords {
		c.first += int64(over)
		c.records = slices.Delete(c.records, 0, over)
	}
	close(c.more)
	c.more = make(chan struct{})
}

// from returns the records from an offset on, and a channel that closes when
// there are more; ok is false if the offset isn't covered.
func (c *recent) from(offset int64) (records []store.Numbered, more <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	end := c.first + int64(len(c.records))
	if c.first < 0 || offset < c.first || offset > end {
		return nil, nil, false
	}
	return append([]store.Numbered(nil), c.records[offset-c.first:]...), c.more, true
}

// served reads for other nodes.
type served struct{ n *Node }

// Read implements store.Reader.
func (s *served) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if p != jobsPartition || s.n.holding.Load() == 0 {
		return s.n.ports.Store.Read(ctx, p, from, wait)
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		if !s.n.table.fresh(time.Now(), servedBound) {
			return store.Batch{}, errors.WithStack(store.ErrNotDone)
		}
		records, more, ok := s.n.recent.from(from)
		if !ok {
			return s.n.ports.Store.Read(ctx, p, from, 0)
		}
		if next := from + int64(len(records)); len(records) > 0 {
			return store.Batch{Records: records, Next: next, End: -1}, nil
		}
		select {
		case <-more:
		case <-timeout.C:
			return store.Batch{Next: from, End: -1}, nil
		case <-ctx.Done():
			return store.Batch{}, errors.WithStack(store.ErrNotDone)
		}
	}
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
