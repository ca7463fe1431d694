package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

// maxTailRecords bounds the records that are kept for other nodes; the older
// half is let go of at a time, so that they aren't moved for each new one.
const maxTailRecords = 2048

// logTail holds the newest records of the log of jobs without a gap, so that
// the other nodes read them from the holder, or from the reader of their failure
// domain, and not from the store.
type logTail struct {
	mu sync.Mutex
	// firstOffset is the offset of records[0].
	firstOffset int64
	records     []store.StoredRecord
	// readAt is when the log was last read to the end of the records.
	readAt time.Time
	// updated is closed and replaced with each reading.
	updated chan struct{}
}

func newLogTail() *logTail { return &logTail{firstOffset: -1, updated: make(chan struct{})} }

// add appends a reading's records that follow without a gap; otherwise it
// begins anew.
func (c *logTail) add(r readResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.full {
		for _, x := range r.records {
			c.append(x)
		}
	}
	if c.firstOffset < 0 || r.nextOffset > c.endOffset() {
		c.firstOffset, c.records = r.nextOffset, nil
	}
	if r.readAt.After(c.readAt) {
		c.readAt = r.readAt
	}
	if excess := len(c.records) - maxTailRecords/2; len(c.records) > maxTailRecords {
		c.firstOffset += int64(excess)
		c.records = slices.Delete(c.records, 0, excess)
	}
	close(c.updated)
	c.updated = make(chan struct{})
}

func (c *logTail) append(r store.StoredRecord) {
	switch end := c.endOffset(); {
	case c.firstOffset >= 0 && r.Offset < end:
		return
	case c.firstOffset < 0 || r.Offset > end:
		c.firstOffset, c.records = r.Offset, nil
	}
	c.records = append(c.records, r)
}

func (c *logTail) endOffset() int64 { return c.firstOffset + int64(len(c.records)) }

// from returns the records from an offset on with the time at which they were
// all, and a channel that closes when there may be more; ok is false if some of
// them aren't kept.
func (c *logTail) from(offset int64) (b store.Batch, updated <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b = store.Batch{NextOffset: max(offset, c.endOffset()), End: -1, ReadAt: c.readAt}
	if c.firstOffset < 0 || offset < c.firstOffset {
		return b, c.updated, false
	}
	// One that asks from beyond the end has read the store itself.
	if offset < c.endOffset() {
		b.Records = append(b.Records, c.records[offset-c.firstOffset:]...)
	}
	return b, c.updated, true
}

// await returns the records from an offset on as soon as there are some, none
// after the wait. Its error is store.ErrNotDone: the log was not read for longer
// than the bound. ok is false if some of the records aren't kept.
func (c *logTail) await(ctx context.Context, offset int64, wait, maxAge time.Duration) (b store.Batch, ok bool, err error) {
	deadline := time.Now().Add(wait)
	for {
		b, updated, ok := c.from(offset)
		untilStale := maxAge - time.Since(b.ReadAt)
		if untilStale <= 0 {
			return store.Batch{}, false, errors.WithStack(store.ErrNotExecuted)
		}
		remaining := time.Until(deadline)
		if !ok || remaining <= 0 || len(b.Records) > 0 {
			return b, ok, nil
		}
		if !awaitUpdate(ctx, updated, min(remaining, untilStale)) {
			return store.Batch{}, false, errors.WithStack(store.ErrNotExecuted)
		}
	}
}

// awaitUpdate waits for the channel to close, for a time at most. It reports
// false if the context ends first.
func awaitUpdate(ctx context.Context, updated <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-updated:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// peerReadServer reads for other nodes.
type peerReadServer struct{ node *Node }

// Read implements store.Reader.
func (s *peerReadServer) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if p != jobsPartition || s.node.termToken.Load() == 0 {
		return s.readStore(ctx, p, from, wait)
	}
	b, ok, err := s.node.recent.await(ctx, from, wait, maxLeaderViewAge)
	if err == nil && !ok {
		return s.readStore(ctx, p, from, 0)
	}
	return b, err
}

// readStore reads directly, and notes when: the answer may take its time to the
// other node.
func (s *peerReadServer) readStore(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if s.node.storeReader.isDown() {
		return store.Batch{}, errors.WithStack(store.ErrNotExecuted)
	}
	b, err := s.node.deps.Store.Read(ctx, p, from, wait)
	if err == nil && (b.End < 0 || b.NextOffset >= b.End) {
		b.ReadAt = time.Now()
	}
	return b, err
}

// Newest implements store.Reader.
func (s *peerReadServer) Newest(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	if p == jobsPartition {
		return s.node.pages.page(s.node.table, after)
	}
	if s.node.storeReader.isDown() {
		return store.Page{}, errors.WithStack(store.ErrNotExecuted)
	}
	return s.node.deps.Store.Newest(ctx, p, after)
}

// ReadJobLog returns the records of the log of jobs from an offset on, for the
// other nodes of the failure domain, as soon as there are some and none after
// the wait. They are from this node's memory alone. Its error is
// store.ErrNotDone; it is one also while the node follows the log through
// another, so that no two follow it through each other.
func (n *Node) ReadJobLog(ctx context.Context, from int64, wait time.Duration) (store.Batch, error) {
	if n.desk.leaving.Load() || !n.readsDirectly.Load() {
		return store.Batch{}, errors.WithStack(store.ErrNotExecuted)
	}
	b, ok, err := n.recent.await(ctx, from, wait, maxDomainViewAge)
	if err == nil && !ok {
		return store.Batch{}, errors.WithStack(store.ErrNotExecuted)
	}
	return b, err
}

const (
	// maxLeaderViewAge is how old the holder's view may be to be read by others.
	maxLeaderViewAge = 600 * time.Millisecond
	// maxDomainViewAge is the same of another node's view: as the other asks again
	// after maxSharedReadWait and domainReadTimeout at most, well below maxStoreSilence.
	maxDomainViewAge = time.Second
	// maxSharedReadWait bounds the wait of reads in a domain that shares a reader, for
	// the views' ages add up.
	maxSharedReadWait = 200 * time.Millisecond
	// leaderReadTimeout bounds a read at the holder beside its wait, domainReadTimeout
	// one at another node.
	leaderReadTimeout = 400 * time.Millisecond
	domainReadTimeout = 300 * time.Millisecond
	// minPeerBackoff is how long the store is read after the holder did not answer,
	// and the holder after a reader did not. A reader's rest doubles with each
	// failure up to maxPeerBackoff, as a lost node stays a member.
	minPeerBackoff = 700 * time.Millisecond
	maxPeerBackoff = 12 * time.Second
)

// peerBackoff keeps reads away from a node that did not answer.
type peerBackoff struct {
	retryAt  time.Time
	failures int
}

// peerBackoffs are the rests of other nodes, by their addresses.
type peerBackoffs map[string]peerBackoff

// ready reports whether the node may be asked.
func (r peerBackoffs) ready(address string) bool { return !time.Now().Before(r[address].retryAt) }

// recordFailure lets the node rest, for longer with each failure in a row.
func (r peerBackoffs) recordFailure(address string) {
	x := r[address]
	x.retryAt = time.Now().Add(min(minPeerBackoff<<min(x.failures, 6), maxPeerBackoff))
	x.failures++
	r[address] = x
}

// jobLogReader reads the log of jobs from the reader of the node's domain, or else
// from the holder of the right; both have it at hand. It reads the store if this
// node is the holder or the holder does not answer.
type jobLogReader struct {
	node *Node
	// leaderRetryAt and backoffs, by address, say when who is asked again. One
	// goroutine reads.
	leaderRetryAt time.Time
	backoffs      peerBackoffs
}

func newJobLogReader(n *Node) *jobLogReader { return &jobLogReader{node: n, backoffs: peerBackoffs{}} }

// Read implements store.Reader.
func (v *jobLogReader) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	rs := v.node.logSource.Load()
	if rs.servesDomain {
		wait = min(wait, maxSharedReadWait)
	}
	if address, ok := v.domainReader(rs.domainReaders); ok {
		b, err := v.readViaDomainReader(ctx, address, from, wait)
		if err == nil {
			v.node.readsDirectly.Store(false)
			return b, nil
		}
		wait = 0 // what the reader has withheld is waiting
	}
	b, err := v.readViaLeaderOrStore(ctx, p, from, wait)
	if err == nil {
		v.node.readsDirectly.Store(true)
	}
	return b, err
}

// domainReader returns the address of the first node ahead that does not rest.
func (v *jobLogReader) domainReader(ahead []string) (string, bool) {
	if v.node.termToken.Load() != 0 {
		return "", false
	}
	for _, address := range ahead {
		if v.backoffs.ready(address) {
			return address, true
		}
	}
	return "", false
}

// readViaDomainReader reads at the reader of the domain.
func (v *jobLogReader) readViaDomainReader(ctx context.Context, address string, from int64, wait time.Duration) (store.Batch, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+domainReadTimeout)
	defer cancel()
	b, err := v.node.deps.Peers.ReadJobLog(callCtx, address, from, wait)
	if err == nil {
		delete(v.backoffs, address)
		return b, nil
	}
	v.node.deps.Count("retry", "reader-unanswered")
	v.backoffs.recordFailure(address)
	return b, err
}

// readViaLeaderOrStore reads at the holder, or from the store.
func (v *jobLogReader) readViaLeaderOrStore(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	if v.node.termToken.Load() != 0 {
		return v.node.storeReader.Read(ctx, p, from, leaderJobsReadWait)
	}
	address, ok := v.node.remoteLeader()
	if !ok || time.Now().Before(v.leaderRetryAt) {
		return v.node.storeReader.Read(ctx, p, from, wait)
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+leaderReadTimeout)
	defer cancel()
	b, err := v.node.deps.Peers.Reader(address).Read(callCtx, p, from, wait)
	if err == nil || isExpired(err) {
		return b, err
	}
	v.leaderRetryAt = time.Now().Add(minPeerBackoff)
	return v.node.storeReader.Read(ctx, p, from, 0)
}

// Newest implements store.Reader.
func (v *jobLogReader) Newest(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	return v.node.storeReader.Newest(ctx, p, after)
}
