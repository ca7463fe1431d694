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
// the other nodes read them from the holder, or from the reader of their failure
// domain, and not from the store.
type recent struct {
	mu sync.Mutex
	// first is the offset of records[0].
	first   int64
	records []store.StoredRecord
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

func (c *recent) append(r store.StoredRecord) {
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
// all, and a channel that closes when there may be more; ok is false if some of
// them aren't kept.
func (c *recent) from(offset int64) (b store.Batch, more <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b = store.Batch{NextOffset: max(offset, c.end()), End: -1, ReadAt: c.readAt}
	if c.first < 0 || offset < c.first {
		return b, c.more, false
	}
	// One that asks from beyond the end has read the store itself.
	if offset < c.end() {
		b.Records = append(b.Records, c.records[offset-c.first:]...)
	}
	return b, c.more, true
}

// await returns the records from an offset on as soon as there are some, none
// after the wait. Its error is store.ErrNotDone: the log was not read for longer
// than the bound. ok is false if some of the records aren't kept.
func (c *recent) await(ctx context.Context, offset int64, wait, bound time.Duration) (b store.Batch, ok bool, err error) {
	until := time.Now().Add(wait)
	for {
		b, more, ok := c.from(offset)
		fresh := bound - time.Since(b.ReadAt)
		if fresh <= 0 {
			return store.Batch{}, false, errors.WithStack(store.ErrNotExecuted)
		}
		left := time.Until(until)
		if !ok || left <= 0 || len(b.Records) > 0 {
			return b, ok, nil
		}
		if !awaitMore(ctx, more, min(left, fresh)) {
			return store.Batch{}, false, errors.WithStack(store.ErrNotExecuted)
		}
	}
}

// awaitMore waits for the channel to close, for a time at most. It reports
// false if the context ends first.
func awaitMore(ctx context.Context, more <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-more:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// served reads for other nodes.
type served struct{ n *Node }

// Read implements store.Reader.
func (s *served) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if p != jobsPartition || s.n.termToken.Load() == 0 {
		return s.readStore(ctx, p, from, wait)
	}
	b, ok, err := s.n.recent.await(ctx, from, wait, servedBound)
	if err == nil && !ok {
		return s.readStore(ctx, p, from, 0)
	}
	return b, err
}

// readStore reads directly, and notes when: the answer may take its time to the
// other node.
func (s *served) readStore(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if s.n.storeReader.isDown() {
		return store.Batch{}, errors.WithStack(store.ErrNotExecuted)
	}
	b, err := s.n.deps.Store.Read(ctx, p, from, wait)
	if err == nil && (b.End < 0 || b.NextOffset >= b.End) {
		b.ReadAt = time.Now()
	}
	return b, err
}

// Newest implements store.Reader.
func (s *served) Newest(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	if p == jobsPartition {
		return s.n.pages.page(s.n.table, after)
	}
	if s.n.storeReader.isDown() {
		return store.Page{}, errors.WithStack(store.ErrNotExecuted)
	}
	return s.n.deps.Store.Newest(ctx, p, after)
}

// Followed returns the records of the log of jobs from an offset on, for the
// other nodes of the failure domain, as soon as there are some and none after
// the wait. They are from this node's memory alone. Its error is
// store.ErrNotDone; it is one also while the node follows the log through
// another, so that no two follow it through each other.
func (n *Node) Followed(ctx context.Context, from int64, wait time.Duration) (store.Batch, error) {
	if n.desk.leaving.Load() || !n.readsDirectly.Load() {
		return store.Batch{}, errors.WithStack(store.ErrNotExecuted)
	}
	b, ok, err := n.recent.await(ctx, from, wait, followedBound)
	if err == nil && !ok {
		return store.Batch{}, errors.WithStack(store.ErrNotExecuted)
	}
	return b, err
}

const (
	// servedBound is how old the holder's view may be to be read by others.
	servedBound = 600 * time.Millisecond
	// followedBound is the same of another node's view: as the other asks again
	// after followWait and followedTimeout at most, well below storeSilence.
	followedBound = time.Second
	// followWait bounds the wait of reads in a domain that shares a reader, for
	// the views' ages add up.
	followWait = 200 * time.Millisecond
	// holderTimeout bounds a read at the holder beside its wait, followedTimeout
	// one at another node.
	holderTimeout   = 400 * time.Millisecond
	followedTimeout = 300 * time.Millisecond
	// holderRest is how long the store is read after the holder did not answer,
	// and the holder after a reader did not. A reader's rest doubles with each
	// failure up to readerRestMost, as a lost node stays a member.
	holderRest     = 700 * time.Millisecond
	readerRestMost = 12 * time.Second
)

// rest keeps reads away from a node that did not answer.
type rest struct {
	until    time.Time
	failures int
}

// rests are the rests of other nodes, by their addresses.
type rests map[string]rest

// over reports whether the node may be asked.
func (r rests) over(address string) bool { return !time.Now().Before(r[address].until) }

// failed lets the node rest, for longer with each failure in a row.
func (r rests) failed(address string) {
	x := r[address]
	x.until = time.Now().Add(min(holderRest<<min(x.failures, 6), readerRestMost))
	x.failures++
	r[address] = x
}

// viewReader reads the log of jobs from the reader of the node's domain, or else
// from the holder of the right; both have it at hand. It reads the store if this
// node is the holder or the holder does not answer.
type viewReader struct {
	n *Node
	// holderRest and readerRests, by address, say when who is asked again. One
	// goroutine reads.
	holderRest  time.Time
	readerRests rests
}

func newViewReader(n *Node) *viewReader { return &viewReader{n: n, readerRests: rests{}} }

// Read implements store.Reader.
func (v *viewReader) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	rs := v.n.logSource.Load()
	if rs.servesDomain {
		wait = min(wait, followWait)
	}
	if address, ok := v.reader(rs.domainReaders); ok {
		b, err := v.follow(ctx, address, from, wait)
		if err == nil {
			v.n.readsDirectly.Store(false)
			return b, nil
		}
		wait = 0 // what the reader has withheld is waiting
	}
	b, err := v.readDirect(ctx, p, from, wait)
	if err == nil {
		v.n.readsDirectly.Store(true)
	}
	return b, err
}

// reader returns the address of the first node ahead that does not rest.
func (v *viewReader) reader(ahead []string) (string, bool) {
	if v.n.termToken.Load() != 0 {
		return "", false
	}
	for _, address := range ahead {
		if v.readerRests.over(address) {
			return address, true
		}
	}
	return "", false
}

// follow reads at the reader of the domain.
func (v *viewReader) follow(ctx context.Context, address string, from int64, wait time.Duration) (store.Batch, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+followedTimeout)
	defer cancel()
	b, err := v.n.deps.Peers.ReadJobLog(callCtx, address, from, wait)
	if err == nil {
		delete(v.readerRests, address)
		return b, nil
	}
	v.n.deps.Count("retry", "reader-unanswered")
	v.readerRests.failed(address)
	return b, err
}

// readDirect reads at the holder, or from the store.
func (v *viewReader) readDirect(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if v.n.termToken.Load() != 0 {
		return v.n.storeReader.Read(ctx, p, from, leaderJobsReadWait)
	}
	address, ok := v.n.remoteLeader()
	if !ok || time.Now().Before(v.holderRest) {
		return v.n.storeReader.Read(ctx, p, from, wait)
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+holderTimeout)
	defer cancel()
	b, err := v.n.deps.Peers.Reader(address).Read(callCtx, p, from, wait)
	if err == nil || expired(err) {
		return b, err
	}
	v.holderRest = time.Now().Add(holderRest)
	return v.n.storeReader.Read(ctx, p, from, 0)
}

// Newest implements store.Reader.
func (v *viewReader) Newest(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	return v.n.storeReader.Newest(ctx, p, after)
}
