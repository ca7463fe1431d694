package emulator

import (
	"context"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
)

// The delay of an order that is carried out late.
const (
	minLateOrder = 2 * time.Second
	maxLateOrder = 12 * time.Second
)

// fleetClient is one node's way to the workers.
type fleetClient struct {
	fleet *Fleet
	node  string
}

// reply is what comes back of an order.
type reply struct {
	code  worker.Code
	clock int64
	life  *life
	lists worker.HeartbeatResponse
	// ended is not nil while a hold waits for an end; reset breaks the wait off.
	ended, reset <-chan struct{}
}

// Start implements worker.Client.
func (c *fleetClient) Start(ctx context.Context, s worker.Start) (worker.Code, int64) {
	r := c.call(ctx, s.Order, func(w *life, late bool) reply { return reply{code: w.start(s, late), clock: w.clock()} })
	return r.code, r.clock
}

// Stop implements worker.Client.
func (c *fleetClient) Stop(ctx context.Context, s worker.Stop) (worker.Code, int64) {
	r := c.call(ctx, s.Order, func(w *life, _ bool) reply { return reply{code: w.stop(s), clock: w.clock()} })
	return r.code, r.clock
}

// Throttle implements worker.Client.
func (c *fleetClient) Throttle(ctx context.Context, p worker.Throttle) (worker.Code, int64) {
	r := c.call(ctx, p.Order, func(w *life, _ bool) reply { return reply{code: w.pace(p), clock: w.clock()} })
	return r.code, r.clock
}

// CloseIdleConnections implements worker.Client.
func (c *fleetClient) CloseIdleConnections() {}

// Heartbeat implements worker.Client.
func (c *fleetClient) Heartbeat(ctx context.Context, h worker.Heartbeat) (worker.Code, worker.HeartbeatResponse) {
	r := c.call(ctx, h.Order, func(w *life, _ bool) reply {
		if !w.admit(h.Token) {
			return reply{code: worker.Fenced}
		}
		w.extend(h.DeadlineMillis)
		w.note(h.LastAckedEnd)
		r := reply{code: worker.OK, lists: w.lists()}
		if h.Wait > 0 && len(w.ends) == 0 {
			r.ended, r.reset = w.ended, w.link.reset(c.node)
		}
		return r
	})
	if r.code == worker.OK && r.ended != nil {
		return c.linger(ctx, r, min(h.Wait, MaxHoldWait))
	}
	return r.code, r.lists
}

// linger waits for an end on the worker and returns the lists of then.
func (c *fleetClient) linger(ctx context.Context, r reply, wait time.Duration) (worker.Code, worker.HeartbeatResponse) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-r.ended:
	case <-t.C:
	case <-r.reset:
		return worker.Unknown, worker.HeartbeatResponse{}
	case <-ctx.Done():
		return worker.Unknown, worker.HeartbeatResponse{}
	}
	f := c.fleet
	f.mu.Lock()
	lists, alive, silent := r.life.lists(), r.life.alive, r.life.link.silent(c.node)
	refused := r.life.link.refuses(c.node)
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	if silent || refused || !alive || !pause(ctx, f.cfg.Latency) {
		return worker.Unknown, worker.HeartbeatResponse{}
	}
	return worker.OK, lists
}

// at returns the newest life where the order goes, nil if there was none.
func (f *Fleet) at(o worker.Order) *life {
	if o.Address == "" {
		return f.workers[o.Worker]
	}
	return f.addresses[o.Address]
}

// call carries an order to its worker and the answer back.
func (c *fleetClient) call(ctx context.Context, o worker.Order, act func(w *life, late bool) reply) reply {
	f := c.fleet
	f.mu.Lock()
	sent := f.at(o)
	silent := sent != nil && sent.link.silent(c.node)
	if !silent && sent != nil && sent.alive && !sent.link.refuses(c.node) && f.random.Float64() < sent.link.late {
		silent = true
		f.postpone(sent, o, act)
	}
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return c.count(reply{code: worker.Unknown})
	}
	r, ok := exchange(ctx, f.cfg.Latency, func(answer func(reply)) {
		f.mu.Lock()
		defer f.mu.Unlock()
		r := c.serve(sent, o, act)
		time.AfterFunc(f.cfg.Latency, func() { c.answer(r, answer) })
	})
	if !ok {
		r = reply{code: worker.Unknown}
	}
	return c.count(r)
}

func (c *fleetClient) count(r reply) reply {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.codes[r.code]++
	return r
}

// postpone carries an order out much later.
func (f *Fleet) postpone(sent *life, o worker.Order, act func(w *life, late bool) reply) {
	delay := minLateOrder + time.Duration(f.random.Int64N(int64(maxLateOrder-minLateOrder)))
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w := f.at(o); w != nil && w.alive && w.takes(sent, o) {
			f.disrupted = time.Now()
			act(w, true)
		}
	})
}

// takes reports whether the life is the one that the order, sent to another
// life or this, is meant for.
func (w *life) takes(sent *life, o worker.Order) bool {
	return w.cfg.ID == o.Worker && (w == sent || !w.fleet.cfg.StrictLives)
}

// serve lets the order act on its arrival. The reply's life is nil when nobody
// listens, and the code Unknown when it gets lost on the way.
func (c *fleetClient) serve(sent *life, o worker.Order, act func(w *life, late bool) reply) reply {
	w := c.fleet.at(o)
	switch {
	case w == nil:
		return reply{code: worker.NotExecuted}
	case w.link.silent(c.node):
		return reply{code: worker.Unknown, life: w}
	case w.crashed, w.link.refuses(c.node):
		return reply{code: worker.ConnectionRefused}
	case !w.alive:
		return reply{code: worker.NotExecuted}
	case !w.takes(sent, o):
		return reply{code: worker.WrongIncarnation, life: w}
	}
	r := act(w, false)
	r.life = w
	return r
}

// answer hands the reply over, unless it gets lost.
func (c *fleetClient) answer(r reply, answer func(reply)) {
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	switch w := r.life; {
	case w == nil:
		answer(r)
	case r.code == worker.Unknown || w.link.silent(c.node):
	case !w.alive || w.link.refuses(c.node) || f.random.Float64() < w.link.lose:
		answer(reply{code: worker.Unknown})
	default:
		answer(r)
	}
}
