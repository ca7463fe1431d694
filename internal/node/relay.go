package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

const (
	// probeEvery is how often the store is tried while it is out of reach, with
	// a new call also while the last one waits for its answer.
	probeEvery = 250 * time.Millisecond
	// probeTimeout bounds such a try.
	probeTimeout = 450 * time.Millisecond
	// relayTimeout bounds a read through a peer beside its wait.
	relayTimeout = 400 * time.Millisecond
	// relayPause is the pause after a read through a peer.
	relayPause = 150 * time.Millisecond
	// relayTries is how many peers are asked for one read.
	relayTries = 2
)

// newRelay returns a relay whose store is taken to be in reach.
func newRelay(direct store.Reader, peers Peers, addresses func() []string, count func(kind, reason string)) *relay {
	return &relay{direct: direct, peers: peers, addresses: addresses, count: count,
		back: make(chan struct{}), lost: make(chan struct{}, 1)}
}

// relay reads the store directly, or through peers while it can't be reached.
type relay struct {
	direct store.Reader
	peers  Peers
	// addresses returns the other nodes, the holder of the right first.
	addresses func() []string
	count     func(kind, reason string)

	mu   sync.Mutex
	down bool
	// answeredAt is when the store last answered a direct read.
	answeredAt time.Time
	// downSince is when the present time out of reach began; throughAt is when
	// a read through a peer last succeeded.
	downSince, throughAt time.Time
	// throughSince is when the first such read succeeded since downSince;
	// cutOff tells that a direct one begun later has failed.
	throughSince time.Time
	cutOff       bool
	// back is closed when the store is in reach again, so that reads that
	// wait on silent connections are given up.
	back chan struct{}
	// lost gets a value when the store goes out of reach.
	lost chan struct{}
	// next is the peer to ask first.
	next int
}

// probe tries the store while it is out of reach, until the context ends.
func (r *relay) probe(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.lost:
		}
		for pauseFor(ctx, probeEvery); ctx.Err() == nil && r.isDown(); pauseFor(ctx, probeEvery) {
			go r.try(ctx)
		}
	}
}

// try reads the least that there is.
func (r *relay) try(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	began := time.Now()
	if _, err := r.direct.Newest(ctx, tenurePartition, ""); err != nil {
		r.missed(began)
		return
	}
	r.set(false)
}

func (r *relay) set(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down && !down {
		close(r.back)
		r.back = make(chan struct{})
	}
	if !down {
		r.answeredAt = time.Now()
	}
	if down != r.down {
		r.throughSince, r.cutOff = time.Time{}, false
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

// answered reports whether the store has answered a direct read lately.
func (r *relay) answered(within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.down && time.Since(r.answeredAt) < within
}

// missed takes note that a direct read begun at the given time has failed.
func (r *relay) missed(began time.Time) {
	r.set(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.throughSince.IsZero() && began.After(r.throughSince) {
		r.cutOff = true
	}
}

// through takes note of a read through a peer.
func (r *relay) through() {
	r.count("retry", "read-through-peer")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.throughAt = time.Now()
	if r.throughSince.IsZero() {
		r.throughSince = r.throughAt
	}
}

func (r *relay) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

// othersReach reports whether the store has been out of reach for a time while
// others can read it. When the store comes back for all, some see it earlier:
// that alone doesn't count.
func (r *relay) othersReach(after time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down && time.Since(r.downSince) >= after && r.cutOff && time.Since(r.throughAt) < after
}

// untilBack returns a context that also ends when the store comes back in
// reach: a call begun before may wait on a connection that stays silent.
func (r *relay) untilBack(ctx context.Context) (context.Context, context.CancelFunc) {
	r.mu.Lock()
	back := r.back
	r.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-back:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Read implements store.Reader.
func (r *relay) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	return relayed(ctx, r, wait, func(ctx context.Context, s store.Reader, wait time.Duration) (store.Batch, error) {
		sent := time.Now()
		b, err := s.Read(ctx, p, from, wait)
		if err == nil && b.ReadAt.IsZero() && time.Since(sent) > wait+readTimeout {
			// This process has stood still: the answer may be as old as the read.
			b.ReadAt = sent
		}
		return b, err
	})
}

// Newest implements store.Reader.
func (r *relay) Newest(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	return relayed(ctx, r, 0, func(ctx context.Context, s store.Reader, _ time.Duration) (store.Page, error) {
		return s.Newest(ctx, p, after)
	})
}

// relayed makes one read by the way that is open.
func relayed[T any](ctx context.Context, r *relay, wait time.Duration, read func(context.Context, store.Reader, time.Duration) (T, error)) (T, error) {
	ctx, cancel := r.untilBack(ctx)
	defer cancel()
	if r.isDown() {
		wait = 0
	} else {
		began := time.Now()
		out, err := bounded(ctx, wait+readTimeout, wait, r.direct, read)
		if err == nil || expired(err) {
			r.set(false)
			return out, err
		}
		if ctx.Err() != nil {
			return out, err // given up, which says nothing of the store
		}
		r.missed(began)
	}
	out, err := throughPeers(ctx, r, wait, read)
	pauseFor(ctx, relayPause)
	return out, err
}

func throughPeers[T any](ctx context.Context, r *relay, wait time.Duration, read func(context.Context, store.Reader, time.Duration) (T, error)) (T, error) {
	var out T
	err := errors.WithStack(store.ErrNotExecuted)
	addresses := r.addresses()
	for i := 0; i < min(relayTries, len(addresses)) && ctx.Err() == nil; i++ {
		r.mu.Lock()
		address := addresses[r.next%len(addresses)]
		r.mu.Unlock()
		out, err = bounded(ctx, wait+relayTimeout, wait, r.peers.Reader(address), read)
		if err == nil || expired(err) {
			r.through()
			return out, err
		}
		r.mu.Lock()
		r.next++
		r.mu.Unlock()
	}
	return out, err
}

func bounded[T any](ctx context.Context, timeout, wait time.Duration, s store.Reader, read func(context.Context, store.Reader, time.Duration) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return read(ctx, s, wait)
}

func expired(err error) bool { return errors.As(err, new(*store.ExpiredError)) }
