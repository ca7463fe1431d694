package routing

import "time"

// phase is where a request stands. It may record its key's intent first, waits
// in its service's queue, is sent, and after a loss that allows it backs off
// and waits again. A request is ended once its caller has been told; one that
// ended while sent stays until the send is over, since it holds a slot.
type phase int

const (
	recording phase = iota
	following
	queued
	backingOff
	sent
)

// maxTries bounds the sends of one request.
const maxTries = 4

type request struct {
	Admit
	svc   *service
	phase phase
	// ended is set once the caller has been told or has left.
	ended bool
	timer timer
	// queuePos is the place in the team's heap; order breaks ties.
	queuePos int
	order    uint64
	// The send in flight and its target.
	send    uint64
	target  Target
	peer    *remote
	hold    *hold
	sentAt  time.Duration
	movedAt time.Duration
	gaveUp  Reason
	begun   bool
	// tries counts the sends that failed; reached is set once one of them may
	// have started the request at a runner.
	tries   int
	reached bool
	// away is set once the request was passed on to another domain.
	away  bool
	avoid *runner
	// why and after describe the last loss.
	why   Reason
	after time.Duration
	key   *key
	// vouched is set once the key's home has said that no earlier request with
	// the key is known.
	vouched bool
}

func (q *request) place() *int { return &q.queuePos }

func (q *request) before(o *request) bool {
	if q.Deadline != o.Deadline {
		return q.Deadline < o.Deadline
	}
	return q.order < o.order
}

// admit takes a new request.
func (c *Core) admit(ev Admit) {
	ev.Deadline = min(ev.Deadline, c.now+c.set.Timing.Longest)
	q := &request{Admit: ev, order: c.next()}
	q.timer.what = q
	c.requests[ev.ID] = q
	switch {
	case c.leaving:
		c.refuse(q, ReasonLeaving, retrySoon)
	case c.now >= ev.Deadline:
		c.refuse(q, ReasonDeadline, 0)
	case !ev.Idempotent && ev.Key != "":
		c.admitKeyed(q)
	default:
		c.enter(q)
	}
}

// retrySoon is the Retry-After where nothing better is known.
const retrySoon = time.Second

// enter queues the request, passes it on or refuses it.
func (c *Core) enter(q *request) {
	s := c.services[q.Service]
	if s == nil || !s.declared {
		if c.passOn(q, nil, ReasonNoService) {
			return
		}
		c.refuse(q, ReasonNoService, retrySoon)
		return
	}
	q.svc = s
	if why := c.unable(s); why != ReasonNone {
		if c.passOn(q, s, why) {
			return
		}
		if why != ReasonNoSlot {
			c.refuse(q, why, retrySoon)
			return
		}
	}
	wait := s.expectedWait(q.Team)
	if wait > 0 && c.now+wait+s.mean > q.Deadline {
		if c.passOn(q, s, ReasonExpectedWait) {
			return
		}
		c.refuse(q, ReasonExpectedWait, wait)
		return
	}
	if s.policy == Fast && wait > 0 && c.passOn(q, s, ReasonExpectedLess) {
		return
	}
	if s.queue.size >= s.limit && !c.makeRoom(q, wait) {
		return
	}
	s.budget.earn()
	c.enqueue(q)
}

// unable returns why the service can't be served here now.
func (c *Core) unable(s *service) Reason {
	switch {
	case len(s.runners) == 0:
		return ReasonNoRunner
	case !c.granted():
		return ReasonNoGrant
	case s.slots == 0:
		return ReasonNoSlot
	}
	return ReasonNone
}

// makeRoom displaces a request of the team that fills the queue, or refuses q.
func (c *Core) makeRoom(q *request, wait time.Duration) bool {
	worst := q.svc.queue.displaced(q.Team)
	if worst == nil {
		c.refuse(q, ReasonQueueFull, max(wait, retrySoon))
		return false
	}
	q.svc.queue.remove(worst)
	c.endLost(worst, ReasonDisplaced, max(wait, retrySoon))
	return true
}

func (c *Core) enqueue(q *request) {
	q.phase = queued
	q.svc.queue.push(q)
	c.arm(&q.timer, q.Deadline)
	c.dirty(q.svc)
}

// sendTo sends the request to a runner.
func (c *Core) sendTo(q *request, r *runner) {
	if q.tries > 0 {
		r.budget.spend()
	} else {
		r.budget.earn()
	}
	q.hold = c.hold(r)
	if r.quarantined {
		r.probing = true
	}
	notAfter := min(c.now+sendWindow, c.grantUntil)
	c.begin(q, Send{Target: ToRunner, Attempt: r.Attempt, Address: r.Address, Fresh: r.fresh, NotAfter: notAfter, Keep: q.key != nil})
	r.fresh = false
}

func (c *Core) begin(q *request, s Send) {
	q.phase, q.send, q.target, q.gaveUp = sent, c.next(), s.Target, ReasonNone
	q.sentAt, q.movedAt = c.now, c.now
	s.ID, s.Send = q.ID, q.send
	c.emit(s)
	c.watch(q)
}

// watch arms the timer of a request that is sent.
func (c *Core) watch(q *request) {
	at := min(q.movedAt+c.silence(q), q.sentAt+c.set.Timing.Longest)
	if !q.begun && !q.ended {
		at = min(at, q.Deadline)
	}
	c.arm(&q.timer, at)
}

// silenceMeans is how many mean run times a request that may be sent again
// waits for a sign of life.
const silenceMeans = 20

// silence is how long the send may make no progress. A request that can't be
// sent again gains nothing from being given up before an answer has begun.
func (c *Core) silence(q *request) time.Duration {
	t := c.set.Timing
	switch {
	case q.begun || q.target == ToDomain:
		return t.Silence
	case !q.Idempotent:
		return t.Longest
	case q.svc.mean == 0:
		return t.Silence
	}
	return min(max(silenceMeans*q.svc.mean, t.Silence/5), t.Silence)
}

// fire acts on the request's time running out.
func (q *request) fire(c *Core) {
	switch q.phase {
	case queued:
		q.svc.queue.remove(q)
		c.endLost(q, ReasonDeadline, 0)
	case backingOff:
		c.enqueue(q)
	case sent:
		c.overdue(q)
	case following:
		c.unfollow(q)
	case recording:
		c.finish(q, Ending{Outcome: OutcomeNotRun, Reason: ReasonDeadline})
	}
}

// overdue ends the request towards its caller at its deadline, and the send
// where it has been silent or has lasted too long.
func (c *Core) overdue(q *request) {
	if q.gaveUp != ReasonNone {
		return
	}
	if !q.ended && !q.begun && c.now >= q.Deadline {
		c.tell(q, Ending{Outcome: OutcomeUnknown, Reason: ReasonDeadline})
	}
	if c.now >= q.movedAt+c.silence(q) || c.now >= q.sentAt+c.set.Timing.Longest {
		q.gaveUp = ReasonSilent
		c.emit(GiveUp{ID: q.ID, Send: q.send})
		return
	}
	c.watch(q)
}

// inFlight returns the request of a send, or nil when the send is over.
func (c *Core) inFlight(id, send uint64) *request {
	q := c.requests[id]
	if q == nil || q.phase != sent || q.send != send {
		return nil
	}
	return q
}

func (c *Core) progress(ev Progress) {
	q := c.inFlight(ev.ID, ev.Send)
	if q == nil {
		return
	}
	q.movedAt = c.now
	q.begun = q.begun || ev.Begun
}

func (c *Core) answered(ev Answered) {
	q := c.inFlight(ev.ID, ev.Send)
	if q == nil {
		return
	}
	if q.hold != nil {
		r := q.hold.runner
		r.svc.took(c.now - q.sentAt)
		if ev.Status >= 500 {
			c.suffered(r)
		} else {
			c.succeeded(r)
		}
		c.release(q.hold)
	}
	c.finish(q, Ending{Outcome: OutcomeAnswered})
}

func (c *Core) refused(ev Refused) {
	q := c.inFlight(ev.ID, ev.Send)
	if q == nil {
		return
	}
	after := min(ev.RetryAfter, c.set.Timing.RetryAfterMax)
	if q.hold != nil {
		r := q.hold.runner
		c.suffered(r)
		if after > 0 && !r.quarantined {
			c.close(r, after)
		}
		q.avoid = r
		c.release(q.hold)
		c.lost(q, ReasonRefused, after, ev.Replayable && q.Idempotent)
		return
	}
	q.vouched = q.vouched || q.target == ToHome
	why := ev.Reason
	if why == ReasonNone {
		why = ReasonRemote
	}
	c.lost(q, why, after, ev.Replayable)
}

func (c *Core) failed(ev Failed) {
	q := c.inFlight(ev.ID, ev.Send)
	if q == nil {
		return
	}
	why := c.whyFailed(q, ev)
	if q.hold != nil {
		q.avoid = q.hold.runner
		c.failedAt(q.hold, ev)
	} else if q.peer != nil {
		q.peer.avoidUntil = c.now + remoteAvoid
	}
	q.reached = q.reached || ev.Reached
	q.begun = q.begun || ev.Begun
	again := ev.Replayable && !ev.Begun && !ev.Unknown && (!ev.Reached || q.Idempotent)
	c.lost(q, why, min(ev.RetryAfter, c.set.Timing.RetryAfterMax), again)
}

func (c *Core) whyFailed(q *request, ev Failed) Reason {
	switch {
	case q.gaveUp != ReasonNone:
		return q.gaveUp
	case ev.Unknown && ev.Reason != ReasonNone:
		return ev.Reason
	case ev.Reached:
		return ReasonLost
	case q.target == ToHome:
		return ReasonHomeLost
	case q.target == ToDomain:
		return ReasonDomainLost
	}
	return ReasonUnreachable
}

// failedAt takes note of a failure at a runner. The slot stays held where the
// request may still run there.
func (c *Core) failedAt(h *hold, ev Failed) {
	c.suffered(h.runner)
	h.runner.fresh = true
	if ev.Reached {
		h.runner.svc.took(c.now - h.sentAt)
		c.linger(h)
		return
	}
	c.release(h)
}
