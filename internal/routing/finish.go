package routing

import "time"

// refuse ends a request that was never sent.
func (c *Core) refuse(q *request, reason Reason, retryAfter time.Duration) {
	c.finish(q, Result{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: retryAfter})
}

// callerOutcome returns the result to report for q. It changes "not run" to
// "unknown" for a request with an idempotency key until the key's home has
// confirmed that the key is new: an earlier request with the same key may have
// run.
func (q *request) callerOutcome(res Result) Result {
	if res.Outcome == OutcomeNotRun && q.Key != "" && !q.Idempotent && !q.keyConfirmedNew {
		res.Outcome = OutcomeUnknown
	}
	return res
}

// finish ends the request and removes it from the core.
func (c *Core) finish(q *request, res Result) {
	res = q.callerOutcome(res)
	c.disarm(&q.timer)
	delete(c.requests, q.ID)
	c.finishKey(q, res)
	c.reply(q, res)
}

// reply sends the result to the caller, at most once per request.
func (c *Core) reply(q *request, res Result) {
	if q.ended {
		return
	}
	q.ended = true
	res = q.callerOutcome(res)
	switch res.Outcome {
	case OutcomeNotRun:
		c.count(KindRefusal, res.Reason)
	case OutcomeUnknown:
		c.count(KindLoss, res.Reason)
	}
	c.emit(Finish{ID: q.ID, Result: res})
}

// handleCallerDisconnected ends a request whose caller has disconnected. A
// request that has been sent continues, since it holds a slot.
func (c *Core) handleCallerDisconnected(id uint64) {
	q := c.requests[id]
	if q == nil || q.ended {
		return
	}
	switch q.phase {
	case phaseSent:
		c.reply(q, Result{Outcome: OutcomeUnknown, Reason: ReasonCallerLeft})
		return
	case phaseQueued:
		q.svc.queue.remove(q)
	case phaseAwaitingKey:
		c.removeWaiter(q)
		return
	}
	c.finishUnanswered(q, ReasonCallerLeft, 0)
}
