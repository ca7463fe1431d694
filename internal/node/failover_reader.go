package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

const (
	// probeInterval is how often the store is probed while it is unreachable. A
	// new probe starts even if the last one is unanswered. Callers that were refused during
	// an outage come back for the last time up to 3 s later, so that each tenth of a second
	// after its end counts.
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 450 * time.Millisecond
	// peerReadTimeout bounds a read through a peer, in addition to its wait.
	peerReadTimeout = 400 * time.Millisecond
	// peerReadDelay is the delay after a read through a peer.
	peerReadDelay = 150 * time.Millisecond
	// maxPeerReadAttempts is how many peers are asked for one read.
	maxPeerReadAttempts = 2
)

// newFailoverReader returns a reader that assumes that the store is reachable.
func newFailoverReader(direct store.Reader, peers Peers, peerAddresses func() []string, count func(kind, reason string)) *failoverReader {
	return &failoverReader{direct: direct, peers: peers, peerAddresses: peerAddresses, count: count,
		recovered: make(chan struct{}), lost: make(chan struct{}, 1)}
}

// failoverReader reads the store directly, or through peers while the store is
// unreachable. It may be used concurrently.
type failoverReader struct {
	direct store.Reader
	peers  Peers
	// peerAddresses returns the other nodes, the leader first.
	peerAddresses func() []string
	count         func(kind, reason string)

	mu   sync.Mutex
	down bool
	// storeAnsweredAt is when the store last answered a direct read.
	storeAnsweredAt time.Time
	// downSince is when the current outage began; peerReadAt is when a read
	// through a peer last succeeded.
	downSince, peerReadAt time.Time
	// peerReadsSince is when the first read through a peer succeeded since
	// downSince; isolated reports whether a direct read started after that has
	// failed.
	peerReadsSince time.Time
	isolated       bool
	// recovered is closed when the store is reachable again, to cancel reads
	// that wait on silent connections.
	recovered chan struct{}
	// lost receives a value when the store becomes unreachable.
	lost chan struct{}
	// nextPeer selects the peer to ask first.
	nextPeer int
}

// probe probes the store while it is unreachable, until the context ends.
func (r *failoverReader) probe(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.lost:
		}
		for sleepContext(ctx, probeInterval); ctx.Err() == nil && r.isDown(); sleepContext(ctx, probeInterval) {
			go r.probeOnce(ctx)
		}
	}
}

// probeOnce makes the smallest possible read.
func (r *failoverReader) probeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	began := time.Now()
	if _, err := r.direct.Newest(ctx, tenurePartition, ""); err != nil {
		// A later probe may have been answered: this one waited on a silent connection.
		if !r.answeredSince(began) {
			r.readFailed(began)
		}
		return
	}
	r.setDown(false)
}

// setDown records whether the store is unreachable.
func (r *failoverReader) setDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down && !down {
		close(r.recovered)
		r.recovered = make(chan struct{})
	}
	if !down {
		r.storeAnsweredAt = time.Now()
	}
	if down != r.down {
		r.peerReadsSince, r.isolated = time.Time{}, false
	}
	if down && !r.down {
		r.downSince = time.Now()
		select {
		case r.lost <- struct{}{}:
		default:
		}
	}
	r.down = down
}

// answeredWithin reports whether the store is reachable and has answered a
// direct read within the given time.
func (r *failoverReader) answeredWithin(within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.down && time.Since(r.storeAnsweredAt) < within
}

// answeredSince reports whether the store has answered a direct read after the given time.
func (r *failoverReader) answeredSince(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeAnsweredAt.After(at)
}

// readFailed records that a direct read started at the given time has failed.
func (r *failoverReader) readFailed(began time.Time) {
	r.setDown(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.peerReadsSince.IsZero() && began.After(r.peerReadsSince) {
		r.isolated = true
	}
}

// peerReadSucceeded records a successful read through a peer.
func (r *failoverReader) peerReadSucceeded() {
	r.count("retry", "read-through-peer")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerReadAt = time.Now()
	if r.peerReadsSince.IsZero() {
		r.peerReadsSince = r.peerReadAt
	}
}

func (r *failoverReader) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

// isolatedFor reports whether the store has been unreachable for the given time
// while other nodes can read it. When the store recovers for all nodes, some
// notice earlier than others; that alone does not count.
func (r *failoverReader) isolatedFor(after time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down && time.Since(r.downSince) >= after && r.isolated && time.Since(r.peerReadAt) < after
}

// cancelOnRecovery returns a context that also ends when the store becomes
// reachable again: a call started before may wait on a connection that stays
// silent.
func (r *failoverReader) cancelOnRecovery(ctx context.Context) (context.Context, context.CancelFunc) {
	r.mu.Lock()
	recovered := r.recovered
	r.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-recovered:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Read implements store.Reader.
func (r *failoverReader) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	return readWithFailover(ctx, r, wait, func(ctx context.Context, s store.Reader, wait time.Duration) (store.Batch, error) {
		sent := time.Now()
		b, err := s.Read(ctx, p, from, wait)
		if err == nil && b.ReadAt.IsZero() && time.Since(sent) > wait+directReadTimeout {
			// This process was suspended: the reply may be as old as the request.
			b.ReadAt = sent
		}
		return b, err
	})
}

// Newest implements store.Reader.
func (r *failoverReader) Newest(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	return readWithFailover(ctx, r, 0, func(ctx context.Context, s store.Reader, _ time.Duration) (store.Page, error) {
		return s.Newest(ctx, p, after)
	})
}

// readWithFailover makes one read over the path that is available.
func readWithFailover[T any](ctx context.Context, r *failoverReader, wait time.Duration, read func(context.Context, store.Reader, time.Duration) (T, error)) (T, error) {
	ctx, cancel := r.cancelOnRecovery(ctx)
	defer cancel()
	if r.isDown() {
		wait = 0
	} else {
		startedAt := time.Now()
		out, err := readWithTimeout(ctx, wait+directReadTimeout, wait, r.direct, read)
		if err == nil || isExpired(err) {
			r.setDown(false)
			return out, err
		}
		if ctx.Err() != nil {
			return out, err // a canceled read tells nothing about the store
		}
		r.readFailed(startedAt)
	}
	out, err := readThroughPeers(ctx, r, wait, read)
	sleepContext(ctx, peerReadDelay)
	return out, err
}

// readThroughPeers makes one read through peers, with up to maxPeerReadAttempts
// attempts.
func readThroughPeers[T any](ctx context.Context, r *failoverReader, wait time.Duration, read func(context.Context, store.Reader, time.Duration) (T, error)) (T, error) {
	var out T
	err := errors.WithStack(store.ErrNotExecuted)
	addresses := r.peerAddresses()
	for i := 0; i < min(maxPeerReadAttempts, len(addresses)) && ctx.Err() == nil; i++ {
		r.mu.Lock()
		address := addresses[r.nextPeer%len(addresses)]
		r.mu.Unlock()
		out, err = readWithTimeout(ctx, wait+peerReadTimeout, wait, r.peers.Reader(address), read)
		if err == nil || isExpired(err) {
			r.peerReadSucceeded()
			return out, err
		}
		r.mu.Lock()
		r.nextPeer++
		r.mu.Unlock()
	}
	return out, err
}

func readWithTimeout[T any](ctx context.Context, timeout, wait time.Duration, s store.Reader, read func(context.Context, store.Reader, time.Duration) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return read(ctx, s, wait)
}

func isExpired(err error) bool { return errors.As(err, new(*store.ExpiredError)) }
