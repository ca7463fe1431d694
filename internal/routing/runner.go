package routing

import "time"

// quarantineFailures is the number of consecutive failures after which a runner
// is quarantined.
const quarantineFailures = 5

// The delay before a quarantined runner is probed doubles from probeDelayMin to
// probeDelayMax.
const (
	probeDelayMin = time.Second
	probeDelayMax = 30 * time.Second
)

// sendWindow is the time after a Send within which its first byte may be sent.
const sendWindow = time.Second

// missingRunnerTTL is how long a runner is kept after the directory stopped
// listing it.
const missingRunnerTTL = 2 * time.Minute

// runner is an upstream as this entry knows it.
type runner struct {
	Runner
	svc *service
	// busy is the number of slots held. Invariant: a request is sent only while
	// busy < Slots.
	busy int
	// orphaned is the number of held slots whose requests are no longer in
	// flight.
	orphaned int
	// missing is set while the directory does not list the runner.
	missing             bool
	missingAt           time.Duration
	budget              retryBudget
	consecutiveFailures int
	// failedProbes is the number of failed probes since the last success.
	failedProbes int
	quarantined  bool
	probing      bool
	// blockedUntil is when the runner may be used again after it refused a
	// request, or probed while it is quarantined.
	blockedUntil  time.Duration
	newConnection bool
	wakeTimer     timer
	// lastUsed is the number of the last send; index is the position in the
	// service's heap.
	lastUsed uint64
	index    int
}

// fire makes the runner available again to waiting requests.
func (r *runner) fire(c *Core) {
	r.svc.updateCapacity(c.now)
	c.scheduleDispatch(r.svc)
}

// canAccept reports whether the runner may take the request now.
func (r *runner) canAccept(now time.Duration, q *request) bool {
	if r.missing || r.Draining || r.busy >= r.Slots || now < r.blockedUntil {
		return false
	}
	if r.quarantined && (r.probing || !q.Idempotent && now < r.blockedUntil+probeDelayMax) {
		return false
	}
	return q.failedSends == 0 || r.budget.canSpend()
}

// available reports whether the runner counts as capacity.
func (r *runner) available(now time.Duration) bool {
	return !r.missing && !r.Draining && !r.quarantined && now >= r.blockedUntil
}

func (r *runner) heapIndex() *int { return &r.index }

// less orders runners by the fraction of their slots in use, then least
// recently used first.
func (r *runner) less(o *runner) bool {
	if x, y := r.busy*o.Slots, o.busy*r.Slots; x != y {
		return x < y
	}
	if r.lastUsed != o.lastUsed {
		return r.lastUsed < o.lastUsed
	}
	return r.Attempt < o.Attempt
}

// updateFree adds r to the heap of free runners, or removes it, depending on
// whether it is available and has a free slot.
func (s *service) updateFree(now time.Duration, r *runner) {
	fits := r.available(now) && r.busy < r.Slots
	switch {
	case fits && r.index == 0:
		s.freeRunners.push(r)
	case fits:
		s.freeRunners.update(r)
	default:
		s.freeRunners.remove(r)
	}
}

// pickRunner returns the runner with the smallest fraction of its slots in use
// that can accept the request, or nil. Retries, and all requests while a runner
// is quarantined, use a linear search; both are rare.
func (s *service) pickRunner(now time.Duration, q *request) *runner {
	if q.failedSends > 0 || s.quarantined > 0 {
		return s.searchRunners(now, q)
	}
	if s.freeRunners.len() == 0 {
		return nil
	}
	return s.freeRunners.items[0]
}

// searchRunners checks every runner. A quarantined runner that is due for a
// probe is preferred; the runner at which the request last failed is used only
// if no other can accept it.
func (s *service) searchRunners(now time.Duration, q *request) *runner {
	var best, fallback *runner
	for _, r := range s.runners {
		switch {
		case !r.canAccept(now, q):
		case r == q.lastFailedRunner:
			fallback = r
		case r.quarantined:
			return r
		case best == nil || r.less(best):
			best = r
		}
	}
	if best == nil {
		return fallback
	}
	return best
}

// heldSlot is a slot in use by a request. It is released when the request has
// certainly ended at the runner.
type heldSlot struct {
	runner *runner
	sentAt time.Duration
	// endsBy is when the request has certainly ended in any case.
	endsBy   time.Duration
	orphaned bool
	timer    timer
}

func (c *Core) acquireSlot(r *runner) *heldSlot {
	h := &heldSlot{runner: r, sentAt: c.now, endsBy: c.now + sendWindow + c.plusDrift(c.settings.Timing.MaxRequestTime)}
	h.timer.handler = h
	r.busy++
	r.lastUsed = c.nextNumber()
	r.svc.updateFree(c.now, r)
	return h
}

// fire releases the slot at the latest time at which the request can still be
// running.
func (h *heldSlot) fire(c *Core) { c.release(h) }

// releaseAtEnd holds the slot until its request has certainly ended.
func (c *Core) releaseAtEnd(h *heldSlot) {
	if c.now >= h.endsBy {
		c.release(h)
		return
	}
	h.orphaned = true
	h.runner.orphaned++
	h.runner.svc.orphaned++
	c.arm(&h.timer, h.endsBy)
}

func (c *Core) release(h *heldSlot) {
	r := h.runner
	r.busy--
	if h.orphaned {
		r.orphaned--
		r.svc.orphaned--
	}
	r.svc.updateFree(c.now, r)
	c.scheduleDispatch(r.svc)
}

// recordSuccess records a successful request and ends the runner's quarantine.
func (c *Core) recordSuccess(r *runner) {
	r.consecutiveFailures, r.failedProbes = 0, 0
	if r.quarantined {
		r.quarantined, r.probing, r.blockedUntil = false, false, 0
		r.svc.updateCapacity(c.now)
		c.scheduleDispatch(r.svc)
	}
}

// recordFailure records a failure of the runner. It quarantines the runner after
// quarantineFailures consecutive failures if canQuarantine allows it, and delays
// the next probe of a runner that is already quarantined.
func (c *Core) recordFailure(r *runner) {
	r.consecutiveFailures++
	if r.quarantined {
		r.probing = false
		r.failedProbes++
		c.block(r, probeDelayMin<<min(r.failedProbes, 5))
		return
	}
	if r.consecutiveFailures < quarantineFailures || !r.svc.canQuarantine(r) {
		return
	}
	r.quarantined = true
	c.count(KindQuarantine, ReasonRunnerQuarantined)
	c.block(r, probeDelayMin)
}

// block keeps requests from the runner for a random time between half of d and
// d. d is limited to probeDelayMax.
func (c *Core) block(r *runner, d time.Duration) {
	d = min(d, probeDelayMax)
	r.blockedUntil = c.now + d/2 + c.jitter(d/2)
	r.svc.updateCapacity(c.now)
	c.arm(&r.wakeTimer, r.blockedUntil)
}

// canQuarantine reports whether at most half of the service's runners would be
// in quarantine together with r.
func (s *service) canQuarantine(r *runner) bool {
	quarantined, total := 1, 0
	for _, o := range s.runners {
		if o.missing {
			continue
		}
		total++
		if o != r && o.quarantined {
			quarantined++
		}
	}
	return quarantined*2 <= total
}
