package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

const (
	// relayFor is how long reads go through peers after a direct one has failed;
	// then the store is tried every probeEvery.
	relayFor   = 500 * time.Millisecond
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

// relay reads the store directly, or through peers while it can't be reached.
type relay struct {
	direct store.Reader
	peers  Peers
	// addresses returns the other nodes, the holder of the right first.
	addresses func() []string
	count     func(kind, reason string)

	mu        sync.Mutex
	downUntil time.Time
	down      bool
	// downSince is when the present time out of reach began; throughAt is when
	// a read through a peer last succeeded.
	downSince, throughAt time.Time
	// back is closed when the store is in reach again, so that reads that
	// wait on silent connections are given up.
	back chan struct{}
	// next is the peer to ask first.
	next int
}

// state tells whether the store was out of reach, and whether it is time to
// try it again.
func (r *relay) state() (down, probe bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down && time.Now().After(r.downUntil) {
		r.downUntil = time.Now().Add(probeEvery)
		return true, true
	}
	return r.down, false
}

func (r *relay) set(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down && !down {
		close(r.back)
		r.back = make(chan struct{})
	}
	if down && !r.down {
		r.downSince = time.Now()
		r.downUntil = time.Now().Add(relayFor)
	}
	r.down = down
}

func (r *relay) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

// othersReach reports whether the store has been out of reach for a time while
// others can read it.
func (r *relay) othersReach(after time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down && time.Since(r.downSince) >= after && r.throughAt.After(r.downSince) && time.Since(r.throughAt) < after
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
		return s.Read(ctx, p, from, wait)
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
	down, probe := r.state()
	if down {
		wait = 0
	}
	if !down || probe {
		timeout := wait + readTimeout
		if probe {
			timeout = probeTimeout
		}
		out, err := bounded(ctx, timeout, wait, r.direct, read)
		if err == nil || expired(err) {
			r.set(false)
			return out, err
		}
		if ctx.Err() != nil {
			return out, err // given up, which says nothing of the store
		}
		r.set(true)
	}
	out, err := throughPeers(ctx, r, wait, read)
	pauseFor(ctx, relayPause)
	return out, err
}

func throughPeers[T any](ctx context.Context, r *relay, wait time.Duration, read func(context.Context, store.Reader, time.Duration) (T, error)) (T, error) {
	var out T
	err := errors.WithStack(store.ErrNotDone)
	addresses := r.addresses()
	for i := 0; i < min(relayTries, len(addresses)) && ctx.Err() == nil; i++ {
		r.mu.Lock()
		address := addresses[r.next%len(addresses)]
		r.mu.Unlock()
		out, err = bounded(ctx, wait+relayTimeout, wait, r.peers.Reader(address), read)
		if err == nil || expired(err) {
			r.count("retry", "read-through-peer")
			r.mu.Lock()
			r.throughAt = time.Now()
			r.mu.Unlock()
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
