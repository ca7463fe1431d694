package ownership

import (
	"slices"
	"time"
)

// Majority returns how many of n workers vouch for a token together: more than
// half, so that any two majorities share a worker.
func Majority(n int) int { return n/2 + 1 }

// Vouched returns when a majority of workers was last asked that has answered
// under a token, from the times at which each was; 0 if there is none. It sorts asked.
func Vouched(asked []time.Duration) time.Duration {
	if len(asked) == 0 {
		return 0
	}
	slices.Sort(asked)
	return asked[len(asked)-Majority(len(asked))]
}

// Former tells what is known of the holder before the present one.
type Former struct {
	// Over means that it has released the tenure, and gives no more orders.
	Over bool
	// Workers is the number of workers on which it may have started tasks, and
	// Fenced how many of them have answered under the present token.
	Workers, Fenced int
}

// Term is the part of a tenure in which its holder may start tasks and extend
// leases. It begins when the former holder's orders are over, and ends when
// nothing has confirmed the token for Tenure.Confidence. A tenure has one term.
type Term struct {
	timing Timing
	token  int64
	// majorityAt is when a majority of the former holder's workers was known
	// to be fenced; -1 before.
	majorityAt time.Duration
	// alone is when the former holder's orders are surely over, whatever it
	// reaches.
	alone time.Duration
	// grants is the same for its grants of slots.
	grants time.Duration
	until  time.Duration
	began  time.Duration
	held   bool
}

// NewTerm returns a term that is not held.
func NewTerm(t Timing) *Term { return &Term{timing: t} }

// Token returns the token of the tenure, 0 without one.
func (t *Term) Token() int64 { return t.token }

// Claim takes note that the tenure was claimed under the token.
func (t *Term) Claim(token int64) {
	*t = Term{timing: t.timing, token: token, majorityAt: -1, alone: -1, grants: -1}
}

// End takes note that the tenure is over.
func (t *Term) End() { t.token, t.held = 0, false }

// Confirm takes note of the newest time at which a record or a write was sent
// that has confirmed the token.
func (t *Term) Confirm(sent time.Duration) { t.until = max(t.until, sent+t.timing.Tenure.Confidence) }

// Confirmed reports whether the token is confirmed at the local time now.
func (t *Term) Confirmed(now time.Duration) bool {
	return t.token != 0 && (now < t.until || t.timing.lacks(GuardConfidence))
}

// Update begins the term when the former holder's orders are over.
func (t *Term) Update(now time.Duration, f Former) {
	if t.token == 0 || t.alone >= 0 && now >= t.alone && t.held {
		return
	}
	none := f.Over || f.Workers == 0 || t.timing.lacks(GuardFormer)
	switch {
	case none && t.alone < 0:
		t.alone, t.grants = now, now
	case t.majorityAt < 0 && f.Fenced >= Majority(f.Workers):
		t.majorityAt = now
		t.alone, t.grants = now+t.timing.LastOrder(), now+t.timing.Lengthen(t.timing.Grant)
	}
	over := t.alone >= 0 && now >= t.alone || f.Fenced == f.Workers
	if !t.held && over {
		t.held, t.began = true, now
	}
}

// Held reports whether the term surely holds at the local time now.
func (t *Term) Held(now time.Duration) bool { return t.held && t.Confirmed(now) }

// Alone reports whether the term holds and no former one does.
func (t *Term) Alone(now time.Duration) bool {
	return t.Held(now) && t.alone >= 0 && now >= t.alone
}

// GrantsSlots reports whether the holder may grant slots at the local time now:
// no former holder does.
func (t *Term) GrantsSlots(now time.Duration) bool {
	return t.Held(now) && t.grants >= 0 && now >= t.grants && now < t.GrantsUntil()
}

// GrantsUntil returns the local time up to which the confirmation allows grants.
func (t *Term) GrantsUntil() time.Duration {
	return t.until - t.timing.Tenure.Confidence + t.timing.Grant
}

// Until returns the local time up to which the token is confirmed.
func (t *Term) Until() time.Duration { return t.until }

// Began returns the local time at which the newest term began.
func (t *Term) Began() time.Duration { return t.began }

// AloneAt returns when the former holder's orders are surely over, negative
// while that isn't known.
func (t *Term) AloneAt() time.Duration { return t.alone }

// HiddenUntil returns the local time from which a task that this scheduler has
// not seen on any worker is surely not running: the former holder's last orders
// were given before the term began, or to workers that it reaches no more.
func (t *Term) HiddenUntil() time.Duration {
	if t.timing.lacks(GuardHidden) {
		return t.began
	}
	return t.began + t.timing.Lengthen(t.timing.Task)
}
