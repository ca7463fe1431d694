package routing

import "time"

// quarantineAfter is how many failures without a success between them
// quarantine a runner.
const quarantineAfter = 5

// The wait before a quarantined runner is probed doubles from the first to the last.
const (
	probeFirst = time.Second
	probeLast  = 30 * time.Second
)

// sendWindow is how long after a Send its first byte may leave.
const sendWindow = time.Second

// goneAfter is how long a runner that the directory no longer lists is remembered.
const goneAfter = 2 * time.Minute

// runner is an upstream as this entry knows it.
type runner struct {
	Runner
	svc *service
	// busy counts the slots held. Invariant: a send is made only while busy < Slots.
	busy int
	// stuck counts the held slots whose requests are no longer in flight.
	stuck int
	// missing is set while the directory doesn't list the runner.
	missing   bool
	missingAt time.Duration
	budget    budget
	fails     int
	// level counts the probes that failed since the runner was last well.
	level       int
	quarantined bool
	probing     bool
	// closedUntil is when the runner may be sent to again: after a refusal or
	// for a probe.
	closedUntil time.Duration
	fresh       bool
	wake        timer
	// used is the number of the last send; pos is the place in the service's heap.
	used uint64
	pos  int
}

// fire lets waiting requests try the runner again.
func (r *runner) fire(c *Core) {
	r.svc.recount(c.now)
	c.dirty(r.svc)
}

// open reports whether the runner may take the request now.
func (r *runner) open(now time.Duration, q *request) bool {
	if r.missing || r.Leaving || r.busy >= r.Slots || now < r.closedUntil {
		return false
	}
	if r.quarantined && (r.probing || !q.Idempotent && now < r.closedUntil+probeLast) {
		return false
	}
	return q.tries == 0 || r.budget.has()
}

// serving reports whether the runner counts as capacity.
func (r *runner) serving(now time.Duration) bool {
	return !r.missing && !r.Leaving && !r.quarantined && now >= r.closedUntil
}

func (r *runner) place() *int { return &r.pos }

// before ranks by the share of slots held; between equals the one used longest ago.
func (r *runner) before(o *runner) bool {
	if x, y := r.busy*o.Slots, o.busy*r.Slots; x != y {
		return x < y
	}
	if r.used != o.used {
		return r.used < o.used
	}
	return r.Attempt < o.Attempt
}

// rank keeps the runner in its service's heap while it is capacity with a free slot.
func (s *service) rank(now time.Duration, r *runner) {
	fits := r.serving(now) && r.busy < r.Slots
	switch {
	case fits && r.pos == 0:
		s.free.push(r)
	case fits:
		s.free.move(r)
	default:
		s.free.remove(r)
	}
}

// pick returns the open runner with the smallest share of its slots held. A
// retry and the probe of a quarantined runner take a search; they are rare.
func (s *service) pick(now time.Duration, q *request) *runner {
	if q.tries > 0 || s.quarantined > 0 {
		return s.search(now, q)
	}
	if s.free.len() == 0 {
		return nil
	}
	return s.free.list[0]
}

// search looks at every runner: a probe that is due goes first, and the runner
// that failed the request last only if no other is open.
func (s *service) search(now time.Duration, q *request) *runner {
	var best, last *runner
	for _, r := range s.runners {
		switch {
		case !r.open(now, q):
		case r == q.avoid:
			last = r
		case r.quarantined:
			return r
		case best == nil || r.before(best):
			best = r
		}
	}
	if best == nil {
		return last
	}
	return best
}

// hold is one held slot. It is given back when its request has surely ended at
// the runner.
type hold struct {
	runner *runner
	sentAt time.Duration
	// until is when the request has surely ended, whatever became of it.
	until time.Duration
	stuck bool
	timer timer
}

func (c *Core) hold(r *runner) *hold {
	h := &hold{runner: r, sentAt: c.now, until: c.now + sendWindow + c.lengthen(c.set.Timing.Longest)}
	h.timer.what = h
	r.busy++
	r.used = c.next()
	r.svc.rank(c.now, r)
	return h
}

// fire gives the slot back at the latest time at which the request can run.
func (h *hold) fire(c *Core) { c.release(h) }

// linger keeps the slot until its request has surely ended.
func (c *Core) linger(h *hold) {
	if c.now >= h.until {
		c.release(h)
		return
	}
	h.stuck = true
	h.runner.stuck++
	h.runner.svc.stuck++
	c.arm(&h.timer, h.until)
}

func (c *Core) release(h *hold) {
	r := h.runner
	r.busy--
	if h.stuck {
		r.stuck--
		r.svc.stuck--
	}
	r.svc.rank(c.now, r)
	c.dirty(r.svc)
}

// succeeded takes note that the runner does its work.
func (c *Core) succeeded(r *runner) {
	r.fails, r.level = 0, 0
	if r.quarantined {
		r.quarantined, r.probing, r.closedUntil = false, false, 0
		r.svc.recount(c.now)
		c.dirty(r.svc)
	}
}

// suffered takes note of a failure of the runner.
func (c *Core) suffered(r *runner) {
	r.fails++
	if r.quarantined {
		r.probing = false
		r.level++
		c.close(r, probeFirst<<min(r.level, 5))
		return
	}
	if r.fails < quarantineAfter || !r.svc.canSpare(r) {
		return
	}
	r.quarantined = true
	c.count(KindQuarantine, ReasonRunnerFailing)
	c.close(r, probeFirst)
}

// close keeps requests from the runner for at most d.
func (c *Core) close(r *runner, d time.Duration) {
	d = min(d, probeLast)
	r.closedUntil = c.now + d/2 + c.jitter(d/2)
	r.svc.recount(c.now)
	c.arm(&r.wake, r.closedUntil)
}

// canSpare reports whether at most half of the service's runners would be
// quarantined together with r.
func (s *service) canSpare(r *runner) bool {
	out, all := 1, 0
	for _, o := range s.runners {
		if o.missing {
			continue
		}
		all++
		if o != r && o.quarantined {
			out++
		}
	}
	return out*2 <= all
}
