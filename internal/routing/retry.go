package routing

import "time"

// retryOrFinish retries the request after a failed send if that is allowed, or
// ends it.
func (c *Core) retryOrFinish(q *request, reason Reason, retryAfter time.Duration, retryable bool) {
	target := q.target
	q.slot, q.lastReason, q.lastRetryAfter = nil, reason, retryAfter
	q.failedSends++
	if q.ended || !retryable || target == TargetHome || q.svc == nil {
		c.finishUnanswered(q, reason, retryAfter)
		return
	}
	wait := c.backoff(q, target)
	switch {
	case q.failedSends >= maxSends || c.now+wait >= q.Deadline:
		c.finishUnanswered(q, reason, retryAfter)
	case !q.svc.budget.spend():
		c.finishUnanswered(q, ReasonRetryBudget, max(retryAfter, retrySoon))
	default:
		c.count(KindRetry, reason)
		q.phase = phaseBackingOff
		c.arm(&q.timer, c.now+wait)
	}
}

// backoff returns the delay before the next send: exponential with full jitter
// after a runner's failure, none if another entry failed or refused.
func (c *Core) backoff(q *request, target Target) time.Duration {
	if target != TargetRunner {
		return 0
	}
	t := c.settings.Timing
	return c.jitter(min(t.BackoffBase<<(q.failedSends-1), t.BackoffMax))
}

// finishUnanswered ends a request without an answer. The outcome is "not run"
// only if the request certainly did not run.
func (c *Core) finishUnanswered(q *request, reason Reason, retryAfter time.Duration) {
	if q.maybeRan {
		c.finish(q, Result{Outcome: OutcomeUnknown, Reason: reason})
		return
	}
	c.finish(q, Result{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: retryAfter})
}
