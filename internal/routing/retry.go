package routing

import "time"

// lost retries the request if that is allowed, or ends it.
func (c *Core) lost(q *request, why Reason, after time.Duration, again bool) {
	target := q.target
	q.hold, q.why, q.after = nil, why, after
	q.tries++
	if q.ended || !again || target == ToHome || q.svc == nil {
		c.endLost(q, why, after)
		return
	}
	wait := c.backoff(q, target)
	switch {
	case q.tries >= maxTries || c.now+wait >= q.Deadline:
		c.endLost(q, why, after)
	case !q.svc.budget.spend():
		c.endLost(q, ReasonRetryBudget, max(after, retrySoon))
	default:
		c.count(KindRetry, why)
		q.phase = backingOff
		c.arm(&q.timer, c.now+wait)
	}
}

// backoff returns the wait before the next try: full jitter after a runner's
// failure, none after a refusal elsewhere.
func (c *Core) backoff(q *request, target Target) time.Duration {
	if target != ToRunner {
		return 0
	}
	t := c.set.Timing
	return c.jitter(min(t.BackoffBase<<(q.tries-1), t.BackoffMax))
}

// endLost ends a request without an answer: not run where it surely did not.
func (c *Core) endLost(q *request, why Reason, after time.Duration) {
	if q.reached {
		c.finish(q, Ending{Outcome: OutcomeUnknown, Reason: why})
		return
	}
	c.finish(q, Ending{Outcome: OutcomeNotRun, Reason: why, RetryAfter: after})
}
