// Package workerconn decides over which connection a leader calls a worker, and when it
// may open another one. A worker bounds its connections, and keeps those of a host that
// was lost: what a leader has open to it is lost to its successors when the leader's host
// is. So a leader has one connection for heartbeats and one for orders to each worker, and
// opens others only for as long as orders queue up. A worker that has no connection left
// resets new ones; then all calls share one, or fail at once until the next attempt.
//
// The package opens no connections. Its clock is that of package time.
package workerconn

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrExhausted means that the worker resets new connections and that this leader has none
// to it. The call was not sent.
var ErrExhausted = errors.New("workerconn: the worker accepts no connection")

// Class is the kind of a call.
type Class int

// Classes of calls. Heartbeats may wait at the worker. Only they open a connection where
// the last attempt was reset, as they can be repeated.
const (
	Heartbeat Class = iota
	Order
)

// Route is the connection that carries a call. There is at most one connection of each of
// the first two to a worker, and at most MaxExtra of the third.
type Route int

// Routes.
const (
	HeartbeatRoute Route = iota
	OrderRoute
	// ExtraRoute is for orders that would wait for OrderRoute. Its connections are to be
	// closed once they are idle for ExtraIdleTime.
	ExtraRoute
)

const (
	// MinConnections is the number of connections to a worker at all times.
	MinConnections = 2
	// MaxExtra is the number of further connections to a worker while orders queue up.
	MaxExtra = 2
	// ExtraIdleTime is how long an idle connection of ExtraRoute is kept.
	ExtraIdleTime = 5 * time.Second
	// SharedWait bounds how long a heartbeat may wait at the worker while orders need the
	// same connection.
	SharedWait = 200 * time.Millisecond

	// extraDelay is how long an order waits for OrderRoute before it takes an extra
	// connection.
	extraDelay = 10 * time.Millisecond
	// The delay between two attempts to open a connection doubles from minRetryDelay to
	// maxRetryDelay while they are reset.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = time.Second
	// idlePeerTime is how long the state of a worker is kept that isn't called.
	idlePeerTime = time.Minute
)

// maxLostWithExtra is how many leaders may have been lost in a row before a leader that
// still opens extra connections.
const maxLostWithExtra = 3

// Limit returns the number of connections that a leader may open to each worker after
// the given number of leaders were lost in a row, each without closing its own.
func Limit(lostLeaders int) int {
	if lostLeaders <= maxLostWithExtra {
		return MinConnections + MaxExtra
	}
	return MinConnections
}

// Outcome is what became of a call.
type Outcome int

// Outcomes of calls.
const (
	// Answered: the worker, or something in between, responded.
	Answered Outcome = iota
	// ResetAtOnce: a new connection broke before anything was read from it.
	ResetAtOnce
	// Failed: any other failure.
	Failed
)

// State is the state of the connections to a worker.
type State int

// States.
const (
	// Normal: heartbeats and orders have connections of their own.
	Normal State = iota
	// Shared: the worker accepts no second connection. All calls share one.
	Shared
	// Exhausted: the worker accepts no connection.
	Exhausted
)

var stateNames = [...]string{"normal", "shared", "exhausted"}

func (s State) String() string { return stateNames[s] }

// Observer is told of attempts and changes of state. Its functions may be called
// concurrently.
type Observer interface {
	// Opened is called for each new connection that carried a call.
	Opened()
	// Reset is called for each new connection that the worker reset at once.
	Reset()
	// StateChanged is called when the state of a worker's connections changes.
	StateChanged(address string, now State)
}

// Pool holds the state of the connections to all workers, by address. It is safe for
// concurrent use.
type Pool struct {
	mu       sync.Mutex
	peers    map[string]*peer
	sweptAt  time.Time
	observer Observer
}

// NewPool returns a pool without workers.
func NewPool() *Pool { return &Pool{peers: map[string]*peer{}, sweptAt: time.Now()} }

// SetObserver sets the observer, which may be nil.
func (p *Pool) SetObserver(o Observer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observer = o
}

// peer is the state of the connections to one worker.
type peer struct {
	// orders and extra are the semaphores of OrderRoute and ExtraRoute. In the state Shared,
	// orders is that of the shared connection.
	orders, extra chan struct{}
	state         State
	// shared is the route of all calls in the states Shared and Exhausted.
	shared Route
	// opening is set while a heartbeat tries to open a connection that was reset before.
	// The next attempt is due at retryAt.
	opening    bool
	retryAt    time.Time
	retryDelay time.Duration
	// extraAt is when extra connections may be tried again, extraRetry the last delay.
	extraAt    time.Time
	extraRetry time.Duration
	calls      int
	lastUsed   time.Time
}

// Call is a call that may be sent. Done must be called once with its outcome.
type Call struct {
	// Route is the connection to use.
	Route Route
	// MaxWait is how long a heartbeat may wait at the worker, 0 for no bound.
	MaxWait time.Duration
	// Probes is set for a heartbeat that tries to open a connection after one was reset.
	// Other calls may succeed when it fails.
	Probes bool

	pool    *Pool
	address string
	peer    *peer
	held    chan struct{}
}

// Acquire returns the route of a call to the worker at the address, once it is free.
// The leader may have up to limit connections to the worker open, MinConnections at
// least. Acquire returns ErrExhausted, or the context's error.
func (p *Pool) Acquire(ctx context.Context, address string, class Class, limit int) (*Call, error) {
	p.mu.Lock()
	c := &Call{pool: p, address: address, peer: p.peer(address)}
	c.peer.calls++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		now := time.Now()
		chosen, err := c.choose(class, now)
		extra := class == Order && c.peer.state == Normal && limit > MinConnections && !now.Before(c.peer.extraAt)
		p.mu.Unlock()
		if chosen {
			return c, nil
		}
		if err == nil {
			err = c.await(ctx, extra)
		}
		if err != nil {
			c.release()
			p.mu.Lock()
			defer p.mu.Unlock()
			c.peer.calls--
			return nil, err
		}
	}
}

// choose sets the route by the state of the connections, and reports false if the call has
// to wait for a semaphore first. The pool's mutex must be held.
func (c *Call) choose(class Class, now time.Time) (bool, error) {
	x := c.peer
	switch {
	case x.state == Normal && class == Order:
		return c.held != nil, nil
	case x.state == Normal:
		c.release()
		c.Route = HeartbeatRoute
		return true, nil
	case class == Heartbeat && !x.opening && !now.Before(x.retryAt):
		c.release()
		x.opening, c.Probes = true, true
		c.Route, c.MaxWait = x.shared, SharedWait
		if x.state == Shared {
			c.Route = other(x.shared)
		}
		return true, nil
	case x.state == Exhausted:
		return false, errors.WithStack(ErrExhausted)
	case c.held != x.orders:
		c.release()
		return false, nil
	}
	c.Route, c.MaxWait = x.shared, SharedWait
	return true, nil
}

// other returns the other one of the two routes that have a connection at all times.
func other(r Route) Route {
	if r == HeartbeatRoute {
		return OrderRoute
	}
	return HeartbeatRoute
}

// await waits for the semaphore of the connection for orders, which in the state Shared is
// that of the shared one, or for that of an extra connection.
func (c *Call) await(ctx context.Context, extra bool) error {
	x := c.peer
	select {
	case x.orders <- struct{}{}:
		c.Route, c.held = OrderRoute, x.orders
		return nil
	default:
	}
	var more chan struct{}
	var delay <-chan time.Time
	if extra {
		t := time.NewTimer(extraDelay)
		defer t.Stop()
		delay = t.C
	}
	for {
		select {
		case x.orders <- struct{}{}:
			c.Route, c.held = OrderRoute, x.orders
			return nil
		case more <- struct{}{}:
			c.Route, c.held = ExtraRoute, x.extra
			return nil
		case <-delay:
			delay, more = nil, x.extra
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		}
	}
}

// release frees the semaphore that the call holds, if any.
func (c *Call) release() {
	if c.held != nil {
		<-c.held
		c.held = nil
	}
}

// Done ends the call. opened tells whether it was sent over a new connection.
func (c *Call) Done(outcome Outcome, opened bool) {
	p, x := c.pool, c.peer
	c.release()
	p.mu.Lock()
	x.calls--
	x.lastUsed = time.Now()
	before := x.state
	x.apply(c, outcome, opened, x.lastUsed)
	now, o := x.state, p.observer
	p.mu.Unlock()
	if o == nil {
		return
	}
	switch {
	case outcome == ResetAtOnce:
		o.Reset()
	case opened:
		o.Opened()
	}
	if now != before {
		o.StateChanged(c.address, now)
	}
}

// apply changes the state by the outcome of a call.
func (x *peer) apply(c *Call, outcome Outcome, opened bool, now time.Time) {
	if c.Probes {
		x.opening = false
	}
	switch {
	case outcome == ResetAtOnce && c.Route == ExtraRoute:
		x.extraRetry = nextDelay(x.extraRetry)
		x.extraAt = now.Add(x.extraRetry)
	case outcome == ResetAtOnce:
		x.reset(c, now)
	case outcome == Answered && c.Route == ExtraRoute:
		if opened {
			x.extraRetry = 0
		}
	case outcome == Answered:
		x.answered(c, now)
	case c.Probes:
		x.retryAt = now.Add(x.retryDelay)
	}
}

// reset applies that a new connection was reset at once.
func (x *peer) reset(c *Call, now time.Time) {
	switch {
	case c.Probes:
		x.retryDelay = nextDelay(x.retryDelay)
	case x.state == Normal:
		x.state, x.shared, x.retryDelay = Shared, other(c.Route), minRetryDelay
	case x.state == Shared && c.Route == x.shared:
		x.state, x.shared, x.retryDelay = Exhausted, HeartbeatRoute, minRetryDelay
	default:
		return // sent before the state changed
	}
	x.retryAt = now.Add(x.retryDelay)
}

// answered applies that a call on one of the two usual routes was answered.
func (x *peer) answered(c *Call, now time.Time) {
	switch {
	case x.state == Exhausted:
		x.state, x.shared, x.retryDelay = Shared, c.Route, minRetryDelay
		x.retryAt = now.Add(x.retryDelay)
	case x.state == Shared && c.Probes:
		x.state, x.retryDelay = Normal, 0
	}
}

func nextDelay(d time.Duration) time.Duration {
	return min(max(2*d, minRetryDelay), maxRetryDelay)
}

// peer returns the state of a worker's connections. The mutex must be held.
func (p *Pool) peer(address string) *peer {
	now := time.Now()
	if now.Sub(p.sweptAt) > idlePeerTime {
		p.sweptAt = now
		for a, x := range p.peers {
			if x.calls == 0 && now.Sub(x.lastUsed) > idlePeerTime {
				delete(p.peers, a)
			}
		}
	}
	x := p.peers[address]
	if x == nil {
		x = &peer{orders: make(chan struct{}, 1), extra: make(chan struct{}, MaxExtra)}
		p.peers[address] = x
	}
	x.lastUsed = now
	return x
}
