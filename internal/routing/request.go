package routing

import "time"

// phase is the state of a request. A request with a key first waits for its
// intent to be stored, or, if an earlier request with the key is running, for
// the result of that request. It is then queued and sent; after a failure that
// allows a retry it backs off and is queued again. If the caller is answered
// before the send ends, the request stays until then, since it holds a slot.
type phase int

const (
	phaseStoringIntent phase = iota
	phaseAwaitingKey
	phaseQueued
	phaseBackingOff
	phaseSent
)

// maxSends is the maximum number of sends per request.
const maxSends = 4

type request struct {
	RequestReceived
	svc   *service
	phase phase
	// ended is set once the caller has been answered or has disconnected.
	ended bool
	timer timer
	// queueIndex is the position in the team's heap; seq breaks ties.
	queueIndex int
	seq        uint64
	// The fields from send to responseStarted describe the send in flight.
	send            uint64
	target          Target
	peer            *remoteEntry
	slot            *heldSlot
	sentAt          time.Duration
	progressAt      time.Duration
	cancelReason    Reason
	responseStarted bool
	// failedSends counts the sends that failed. maybeRan is set once one of
	// them may have started the request at a runner.
	failedSends int
	maybeRan    bool
	// forwarded is set once the request was sent to another domain.
	forwarded        bool
	lastFailedRunner *runner
	// lastReason and lastRetryAfter describe the last failed send.
	lastReason     Reason
	lastRetryAfter time.Duration
	key            *keyRecord
	// keyConfirmedNew is set once the key's home has confirmed that it knows no
	// earlier request with the key.
	keyConfirmedNew bool
}

func (q *request) heapIndex() *int { return &q.queueIndex }

func (q *request) less(o *request) bool {
	if q.Deadline != o.Deadline {
		return q.Deadline < o.Deadline
	}
	return q.seq < o.seq
}

// handleRequest admits or refuses a new request.
func (c *Core) handleRequest(ev RequestReceived) {
	ev.Deadline = min(ev.Deadline, c.now+c.settings.Timing.MaxRequestTime)
	q := &request{RequestReceived: ev, seq: c.nextNumber()}
	q.timer.handler = q
	c.requests[ev.ID] = q
	switch {
	case c.draining:
		c.refuse(q, ReasonEntryLeaving, retrySoon)
	case c.now >= ev.Deadline:
		c.refuse(q, ReasonDeadline, 0)
	case !ev.Idempotent && ev.Key != "":
		c.admitKeyed(q)
	default:
		c.route(q)
	}
}

// retrySoon is the default Retry-After.
const retrySoon = time.Second

// route queues the request, forwards it to another domain, or refuses it.
func (c *Core) route(q *request) {
	s := c.services[q.Service]
	if s == nil || !s.declared {
		if c.forward(q, nil, ReasonNoService) {
			return
		}
		c.refuse(q, ReasonNoService, retrySoon)
		return
	}
	q.svc = s
	if reason := c.unavailableReason(s); reason != ReasonNone {
		if c.forward(q, s, reason) {
			return
		}
		if reason != ReasonNoSlot {
			c.refuse(q, reason, retrySoon)
			return
		}
	}
	wait := s.expectedWait(q.Team)
	if wait > 0 && c.now+wait+s.meanRunTime > q.Deadline {
		if c.forward(q, s, ReasonExpectedWait) {
			return
		}
		c.refuse(q, ReasonExpectedWait, wait)
		return
	}
	if s.policy == PolicyFast && wait > 0 && c.forward(q, s, ReasonShorterWaitElsewhere) {
		return
	}
	if s.queue.size >= s.limit && !c.makeRoom(q, wait) {
		return
	}
	s.budget.earn()
	c.enqueue(q)
}

// unavailableReason returns why the service cannot be served here now, or
// ReasonNone.
func (c *Core) unavailableReason(s *service) Reason {
	switch {
	case len(s.runners) == 0:
		return ReasonNoRunner
	case !c.grantValid():
		return ReasonNoGrant
	case s.slots == 0:
		return ReasonNoSlot
	}
	return ReasonNone
}

// makeRoom evicts a request of the team with the longest queue. If there is no
// candidate, it refuses q and returns false.
func (c *Core) makeRoom(q *request, wait time.Duration) bool {
	worst := q.svc.queue.evictionCandidate(q.Team)
	if worst == nil {
		c.refuse(q, ReasonQueueFull, max(wait, retrySoon))
		return false
	}
	q.svc.queue.remove(worst)
	c.finishUnanswered(worst, ReasonDisplaced, max(wait, retrySoon))
	return true
}

func (c *Core) enqueue(q *request) {
	q.phase = phaseQueued
	q.svc.queue.push(q)
	c.arm(&q.timer, q.Deadline)
	c.scheduleDispatch(q.svc)
}

// sendTo sends the request to a runner.
func (c *Core) sendTo(q *request, r *runner) {
	if q.failedSends > 0 {
		r.budget.spend()
	} else {
		r.budget.earn()
	}
	q.slot = c.acquireSlot(r)
	if r.quarantined {
		r.probing = true
	}
	notAfter := min(c.now+sendWindow, c.grantUntil)
	c.startSend(q, Send{Target: TargetRunner, Attempt: r.Attempt, Address: r.Address, NewConnection: r.newConnection, NotAfter: notAfter, KeepResponse: q.key != nil})
	r.newConnection = false
}

func (c *Core) startSend(q *request, s Send) {
	q.phase, q.send, q.target, q.cancelReason = phaseSent, c.nextNumber(), s.Target, ReasonNone
	q.sentAt, q.progressAt = c.now, c.now
	s.ID, s.Send = q.ID, q.send
	c.emit(s)
	c.armSendTimer(q)
}

// armSendTimer arms the timer of a request that has been sent.
func (c *Core) armSendTimer(q *request) {
	at := min(q.progressAt+c.idleTimeout(q), q.sentAt+c.settings.Timing.MaxRequestTime)
	if !q.responseStarted && !q.ended {
		at = min(at, q.Deadline)
	}
	c.arm(&q.timer, at)
}

// idleTimeoutRunTimes is the idle timeout of a request that may be sent again,
// in mean run times of the service.
const idleTimeoutRunTimes = 20

// idleTimeout returns how long the send may make no progress. A request that
// cannot be sent again gets the maximum before its response has begun, since
// cancelling it gains nothing.
func (c *Core) idleTimeout(q *request) time.Duration {
	t := c.settings.Timing
	switch {
	case q.responseStarted || q.target == TargetRemoteDomain:
		return t.IdleTimeout
	case !q.Idempotent:
		return t.MaxRequestTime
	case q.svc.meanRunTime == 0:
		return t.IdleTimeout
	}
	return min(max(idleTimeoutRunTimes*q.svc.meanRunTime, t.IdleTimeout/5), t.IdleTimeout)
}

// fire handles the expiry of the request's timer.
func (q *request) fire(c *Core) {
	switch q.phase {
	case phaseQueued:
		q.svc.queue.remove(q)
		c.finishUnanswered(q, ReasonDeadline, 0)
	case phaseBackingOff:
		c.enqueue(q)
	case phaseSent:
		c.handleSendTimeout(q)
	case phaseAwaitingKey:
		c.removeWaiter(q)
	case phaseStoringIntent:
		c.finish(q, Result{Outcome: OutcomeNotRun, Reason: ReasonDeadline})
	}
}

// handleSendTimeout answers the caller at the deadline. It cancels the send if
// that has been idle or has run for too long.
func (c *Core) handleSendTimeout(q *request) {
	if q.cancelReason != ReasonNone {
		return
	}
	if !q.ended && !q.responseStarted && c.now >= q.Deadline {
		c.reply(q, Result{Outcome: OutcomeUnknown, Reason: ReasonDeadline})
	}
	if c.now >= q.progressAt+c.idleTimeout(q) || c.now >= q.sentAt+c.settings.Timing.MaxRequestTime {
		q.cancelReason = ReasonConnectionSilent
		c.emit(CancelSend{ID: q.ID, Send: q.send})
		return
	}
	c.armSendTimer(q)
}

// inFlight returns the request of a send, or nil if the send has ended.
func (c *Core) inFlight(id, send uint64) *request {
	q := c.requests[id]
	if q == nil || q.phase != phaseSent || q.send != send {
		return nil
	}
	return q
}

func (c *Core) handleProgress(ev SendProgressed) {
	q := c.inFlight(ev.ID, ev.Send)
	if q == nil {
		return
	}
	q.progressAt = c.now
	q.responseStarted = q.responseStarted || ev.ResponseStarted
}

func (c *Core) handleAnswered(ev SendAnswered) {
	q := c.inFlight(ev.ID, ev.Send)
	if q == nil {
		return
	}
	if q.slot != nil {
		r := q.slot.runner
		r.svc.recordRunTime(c.now - q.sentAt)
		if ev.Status >= 500 {
			c.recordFailure(r)
		} else {
			c.recordSuccess(r)
		}
		c.release(q.slot)
	}
	c.finish(q, Result{Outcome: OutcomeAnswered})
}

func (c *Core) handleRefused(ev SendRefused) {
	q := c.inFlight(ev.ID, ev.Send)
	if q == nil {
		return
	}
	retryAfter := min(ev.RetryAfter, c.settings.Timing.RetryAfterMax)
	if q.slot != nil {
		r := q.slot.runner
		c.recordFailure(r)
		if retryAfter > 0 && !r.quarantined {
			c.block(r, retryAfter)
		}
		q.lastFailedRunner = r
		c.release(q.slot)
		c.retryOrFinish(q, ReasonRunnerRefused, retryAfter, ev.Replayable && q.Idempotent)
		return
	}
	q.keyConfirmedNew = q.keyConfirmedNew || q.target == TargetHome
	reason := ev.Reason
	if reason == ReasonNone {
		reason = ReasonOtherEntry
	}
	c.retryOrFinish(q, reason, retryAfter, ev.Replayable)
}

func (c *Core) handleFailed(ev SendFailed) {
	q := c.inFlight(ev.ID, ev.Send)
	if q == nil {
		return
	}
	reason := c.failureReason(q, ev)
	if q.slot != nil {
		q.lastFailedRunner = q.slot.runner
		c.recordSendFailure(q.slot, ev)
	} else if q.peer != nil {
		q.peer.avoidUntil = c.now + remoteEntryBackoff
	}
	q.maybeRan = q.maybeRan || ev.MaybeSent
	q.responseStarted = q.responseStarted || ev.ResponseStarted
	retryable := ev.Replayable && !ev.ResponseStarted && !ev.Unknown && (!ev.MaybeSent || q.Idempotent)
	c.retryOrFinish(q, reason, min(ev.RetryAfter, c.settings.Timing.RetryAfterMax), retryable)
}

func (c *Core) failureReason(q *request, ev SendFailed) Reason {
	switch {
	case q.cancelReason != ReasonNone:
		return q.cancelReason
	case ev.Unknown && ev.Reason != ReasonNone:
		return ev.Reason
	case ev.MaybeSent:
		return ReasonConnectionLost
	case q.target == TargetHome:
		return ReasonHomeUnreachable
	case q.target == TargetRemoteDomain:
		return ReasonDomainUnreachable
	}
	return ReasonRunnerUnreachable
}

// recordSendFailure records a failed send at a runner. The slot stays held if
// the request may still be running there.
func (c *Core) recordSendFailure(h *heldSlot, ev SendFailed) {
	c.recordFailure(h.runner)
	h.runner.newConnection = true
	if ev.MaybeSent {
		h.runner.svc.recordRunTime(c.now - h.sentAt)
		c.releaseAtEnd(h)
		return
	}
	c.release(h)
}
