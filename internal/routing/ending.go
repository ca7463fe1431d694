package routing

import "time"

// refuse ends a request that was never sent.
func (c *Core) refuse(q *request, why Reason, after time.Duration) {
	c.finish(q, Ending{Outcome: OutcomeNotRun, Reason: why, RetryAfter: after})
}

// truthful turns "not run" into "unknown" for a request with a key whose home
// has not vouched for it: it may be the resend of one that ran.
func (q *request) truthful(e Ending) Ending {
	if e.Outcome == OutcomeNotRun && q.Key != "" && !q.Idempotent && !q.vouched {
		e.Outcome = OutcomeUnknown
	}
	return e
}

// finish ends the request for good.
func (c *Core) finish(q *request, e Ending) {
	e = q.truthful(e)
	c.disarm(&q.timer)
	delete(c.requests, q.ID)
	c.settleKey(q, e)
	c.tell(q, e)
}

// tell answers the caller once.
func (c *Core) tell(q *request, e Ending) {
	if q.ended {
		return
	}
	q.ended = true
	e = q.truthful(e)
	switch e.Outcome {
	case OutcomeNotRun:
		c.count(KindRefusal, e.Reason)
	case OutcomeUnknown:
		c.count(KindLoss, e.Reason)
	}
	c.emit(Finish{ID: q.ID, Ending: e})
}

// callerLeft ends a request whose caller has gone. One that is sent goes on.
func (c *Core) callerLeft(id uint64) {
	q := c.requests[id]
	if q == nil || q.ended {
		return
	}
	switch q.phase {
	case sent:
		c.tell(q, Ending{Outcome: OutcomeUnknown, Reason: ReasonCallerLeft})
		return
	case queued:
		q.svc.queue.remove(q)
	case following:
		c.unfollow(q)
		return
	}
	c.endLost(q, ReasonCallerLeft, 0)
}
