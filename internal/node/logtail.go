package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

// maxTailRecords bounds the records kept for other nodes. When it is exceeded,
// the older half is discarded at once, so that the rest need not be moved for each
// new record.
const maxTailRecords = 2048

const (
	// tailMemoryDivisor is the share of the memory for the records kept for other nodes,
	// minTailBytes is the least bound on their bytes.
	tailMemoryDivisor = 32
	minTailBytes      = 1 << 20
)

// logTail holds the newest records of the job log without a gap, so that other
// nodes can read them from the leader, or from the reader of their failure domain,
// instead of from the store. It may be used concurrently.
type logTail struct {
	mu sync.Mutex
	// firstOffset is the offset of records[0].
	firstOffset int64
	records     []store.StoredRecord
	// bytes is the size of the records. When it exceeds maxBytes, the older half is discarded.
	bytes, maxBytes int
	// readAt is when the log was last read up to the end of records.
	readAt time.Time
	// updated is closed and replaced with each read result.
	updated chan struct{}
}

func newLogTail() *logTail {
	return &logTail{firstOffset: -1, maxBytes: minTailBytes, updated: make(chan struct{})}
}

// add appends the records of a read result if they follow without a gap;
// otherwise it restarts the tail.
func (c *logTail) add(result readResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !result.full {
		for _, x := range result.records {
			c.append(x)
		}
	}
	if c.firstOffset < 0 || result.nextOffset > c.endOffset() {
		c.restart(result.nextOffset)
	}
	if result.readAt.After(c.readAt) {
		c.readAt = result.readAt
	}
	c.discard()
	close(c.updated)
	c.updated = make(chan struct{})
}

func (c *logTail) append(r store.StoredRecord) {
	switch end := c.endOffset(); {
	case c.firstOffset >= 0 && r.Offset < end:
		return
	case c.firstOffset < 0 || r.Offset > end:
		c.restart(r.Offset)
	}
	c.records = append(c.records, r)
	c.bytes += storedBytes(r)
}

// restart discards all records; the next one has the offset.
func (c *logTail) restart(offset int64) { c.firstOffset, c.records, c.bytes = offset, nil, 0 }

func storedBytes(r store.StoredRecord) int { return len(r.Key) + len(r.Value) }

// discard discards the oldest records if there are too many.
func (c *logTail) discard() {
	if len(c.records) <= maxTailRecords && c.bytes <= c.maxBytes {
		return
	}
	n := 0
	for len(c.records)-n > maxTailRecords/2 || c.bytes > c.maxBytes/2 {
		c.bytes -= storedBytes(c.records[n])
		n++
	}
	c.firstOffset += int64(n)
	c.records = slices.Delete(c.records, 0, n)
}

func (c *logTail) endOffset() int64 { return c.firstOffset + int64(len(c.records)) }

// from returns the records from an offset on, the time at which the log held no
// further ones, and a channel that is closed when there may be more. ok is false
// if some of the records are no longer kept.
func (c *logTail) from(offset int64) (b store.Batch, updated <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b = store.Batch{NextOffset: max(offset, c.endOffset()), End: -1, ReadAt: c.readAt}
	if c.firstOffset < 0 || offset < c.firstOffset {
		return b, c.updated, false
	}
	// A caller that asks from beyond the end has read the store itself.
	if offset < c.endOffset() {
		b.Records = append(b.Records, c.records[offset-c.firstOffset:]...)
	}
	return b, c.updated, true
}

// await returns the records from an offset on as soon as there are some, or none
// when wait is over. It returns store.ErrNotExecuted if the log has not been read
// for maxAge or ctx ends. ok is false if some of the records are no longer kept.
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

// awaitUpdate waits until the channel is closed, for d at most. It returns false if
// the context ends first.
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

// peerReadServer serves the reads of other nodes.
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

// readStore reads directly from the store and sets ReadAt, because the response to
// the other node may be delayed.
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

// ReadJobLog returns the records of the job log from an offset on, for the other
// nodes of the failure domain: as soon as there are some, or none when wait is
// over. It serves them from this node's memory only. It returns
// store.ErrNotExecuted if it can't serve them, and also while this node reads the
// log through another node of its domain, so that two nodes never read it through
// each other.
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
	// maxLeaderViewAge is the maximum age of the leader's view at which other nodes
	// may read it.
	maxLeaderViewAge = 600 * time.Millisecond
	// maxDomainViewAge is the same for the view of a domain's reader. The other nodes
	// ask again after maxSharedReadWait plus domainReadTimeout at most, so their views
	// stay well below maxStoreSilence.
	maxDomainViewAge = time.Second
	// maxSharedReadWait bounds the wait of reads in a domain that shares a reader,
	// because the ages of the views add up.
	maxSharedReadWait = 200 * time.Millisecond
	// leaderReadTimeout bounds a read from the leader, in addition to its wait;
	// domainReadTimeout bounds a read from a domain's reader likewise.
	leaderReadTimeout = 400 * time.Millisecond
	domainReadTimeout = 300 * time.Millisecond
	// minPeerBackoff is how long the store is read instead of a leader that did not
	// answer, and the leader instead of a domain's reader that did not answer. The
	// backoff of a reader doubles with each failure up to maxPeerBackoff, because a
	// lost node remains a member.
	minPeerBackoff = 700 * time.Millisecond
	maxPeerBackoff = 12 * time.Second
)

// peerBackoff is the backoff of a node that did not answer.
type peerBackoff struct {
	retryAt  time.Time
	failures int
}

// peerBackoffs holds the backoffs of other nodes by address.
type peerBackoffs map[string]peerBackoff

// ready reports whether the node at the address may be asked.
func (r peerBackoffs) ready(address string) bool { return !time.Now().Before(r[address].retryAt) }

// recordFailure starts a backoff of the node, longer with each consecutive
// failure.
func (r peerBackoffs) recordFailure(address string) {
	backoff := r[address]
	backoff.retryAt = time.Now().Add(min(minPeerBackoff<<min(backoff.failures, 6), maxPeerBackoff))
	backoff.failures++
	r[address] = backoff
}

// jobLogReader reads the job log from the reader of the node's domain, or else from
// the leader; both keep the newest records in memory. It reads the store if this
// node is the leader or the leader does not answer. It is used by a single
// goroutine.
type jobLogReader struct {
	node *Node
	// leaderRetryAt is when the leader is asked again; backoffs says the same for
	// the readers of the domain, by address.
	leaderRetryAt time.Time
	backoffs      peerBackoffs
}

func newJobLogReader(n *Node) *jobLogReader { return &jobLogReader{node: n, backoffs: peerBackoffs{}} }

// Read implements store.Reader.
func (v *jobLogReader) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	source := v.node.logSource.Load()
	if source.servesDomain {
		wait = min(wait, maxSharedReadWait)
	}
	if address, ok := v.domainReader(source.domainReaders); ok {
		b, err := v.readViaDomainReader(ctx, address, from, wait)
		if err == nil {
			v.node.readsDirectly.Store(false)
			return b, nil
		}
		wait = 0 // there may be records that the domain's reader did not deliver
	}
	b, err := v.readViaLeaderOrStore(ctx, p, from, wait)
	if err == nil {
		v.node.readsDirectly.Store(true)
	}
	return b, err
}

// domainReader returns the first of the addresses that is not in backoff. It returns
// none while this node is the leader.
func (v *jobLogReader) domainReader(addresses []string) (string, bool) {
	if v.node.termToken.Load() != 0 {
		return "", false
	}
	for _, address := range addresses {
		if v.backoffs.ready(address) {
			return address, true
		}
	}
	return "", false
}

// readViaDomainReader reads from the reader of the domain at the address.
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

// readViaLeaderOrStore reads from the leader, or else from the store.
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
