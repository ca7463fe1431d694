package ownership

import (
	"slices"
	"time"
)

// Majority returns how many of n workers are needed to confirm a token: more than
// half, so that any two majorities share a worker.
func Majority(n int) int { return n/2 + 1 }

// MajorityConfirmedAt returns the latest time t such that a majority of workers
// has confirmed a token in reply to writes sent at t or later; 0 if there is
// none. asked holds each worker's newest such send time, 0 for none. It sorts
// asked.
func MajorityConfirmedAt(asked []time.Duration) time.Duration {
	if len(asked) == 0 {
		return 0
	}
	slices.Sort(asked)
	return asked[len(asked)-Majority(len(asked))]
}

// PreviousLeader is what is known about the leader before the present one.
type PreviousLeader struct {
	// Released means that it has released leadership and gives no more orders.
	Released bool
	// Workers is the number of workers on which it may have started tasks, and
	// Fenced the number of those that have answered under the present token.
	Workers, Fenced int
}

// Term is the part of a leadership in which the leader may start tasks and extend
// leases. It begins when the previous leader can no longer give orders, and ends
// when nothing has confirmed the token for Tenure.Confidence. A leadership has
// one term.
type Term struct {
	timing Timing
	token  int64
	// majorityAt is when a majority of the previous leader's workers was known to
	// be fenced, or -1.
	majorityAt time.Duration
	// exclusiveFrom is when the previous leader can certainly give no more orders,
	// whichever workers it still reaches; -1 if unknown.
	exclusiveFrom time.Duration
	// grantsFrom is the same for the previous leader's grants of slots.
	grantsFrom time.Duration
	until      time.Duration
	began      time.Duration
	held       bool
}

// NewTerm returns a term that is not held.
func NewTerm(t Timing) *Term { return &Term{timing: t} }

// Token returns the leadership's token, or 0 if there is none.
func (t *Term) Token() int64 { return t.token }

// Claim records that leadership was claimed under the token.
func (t *Term) Claim(token int64) {
	*t = Term{timing: t.timing, token: token, majorityAt: -1, exclusiveFrom: -1, grantsFrom: -1}
}

// End records that the leadership is over.
func (t *Term) End() { t.token, t.held = 0, false }

// Confirm records the send time of a record or write that has confirmed the
// token. Only the newest time counts.
func (t *Term) Confirm(sent time.Duration) { t.until = max(t.until, sent+t.timing.Tenure.Confidence) }

// Confirmed reports whether the token is confirmed at the local time now.
func (t *Term) Confirmed(now time.Duration) bool {
	return t.token != 0 && (now < t.until || t.timing.disables(GuardConfidence))
}

// Update begins the term once the previous leader can no longer give orders.
func (t *Term) Update(now time.Duration, previous PreviousLeader) {
	if t.token == 0 || t.exclusiveFrom >= 0 && now >= t.exclusiveFrom && t.held {
		return
	}
	noneActive := previous.Released || previous.Workers == 0 || t.timing.disables(GuardPreviousLeader)
	switch {
	case noneActive && t.exclusiveFrom < 0:
		t.exclusiveFrom, t.grantsFrom = now, now
	case t.majorityAt < 0 && previous.Fenced >= Majority(previous.Workers):
		t.majorityAt = now
		t.exclusiveFrom, t.grantsFrom = now+t.timing.PreviousLeaderTimeout(), now+t.timing.PlusDrift(t.timing.Grant)
	}
	over := t.exclusiveFrom >= 0 && now >= t.exclusiveFrom || previous.Fenced == previous.Workers
	if !t.held && over {
		t.held, t.began = true, now
	}
}

// Held reports whether the term certainly holds at the local time now.
func (t *Term) Held(now time.Duration) bool { return t.held && t.Confirmed(now) }

// Exclusive reports whether the term holds and no earlier term does.
func (t *Term) Exclusive(now time.Duration) bool {
	return t.Held(now) && t.exclusiveFrom >= 0 && now >= t.exclusiveFrom
}

// GrantsSlots reports whether the leader may grant slots at the local time now,
// that is, whether no previous leader still does.
func (t *Term) GrantsSlots(now time.Duration) bool {
	return t.Held(now) && t.grantsFrom >= 0 && now >= t.grantsFrom && now < t.GrantsUntil()
}

// GrantsUntil returns the local time until which the confirmation allows slots to
// be granted.
func (t *Term) GrantsUntil() time.Duration {
	return t.until - t.timing.Tenure.Confidence + t.timing.Grant
}

// Until returns the local time until which the token is confirmed.
func (t *Term) Until() time.Duration { return t.until }

// Began returns the local time at which the newest term began.
func (t *Term) Began() time.Duration { return t.began }

// ExclusiveFrom returns when the previous leader can certainly give no more orders.
// It is negative while that isn't known.
func (t *Term) ExclusiveFrom() time.Duration { return t.exclusiveFrom }

// UnseenTasksExpireAt returns the local time from which a task that this
// scheduler has not seen on any worker is certainly not running: the previous
// leader gave its last orders before the term began, or to workers that it can no
// longer reach.
func (t *Term) UnseenTasksExpireAt() time.Duration {
	if t.timing.disables(GuardUnseen) {
		return t.began
	}
	return t.began + t.timing.PlusDrift(t.timing.Task)
}
