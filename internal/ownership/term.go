package ownership

import (
	"slices"
	"time"
)

// Quorum returns how many of n worker seats a term needs to begin: more than
// three fifths.
func Quorum(n int) int { return n*3/5 + 1 }

// Majority returns how many of n worker seats a term needs to go on: more than
// half. A worker has one owner at a time, so while one scheduler owns a
// majority no other owns a quorum. A domain that loses up to half of its workers
// thereby goes on with the rest.
func Majority(n int) int { return n/2 + 1 }

// Compatible reports whether a scheduler that knows one list of seats and one
// that knows the other can't hold the term at once: any majority of either
// list shares a seat with any quorum of the other.
func Compatible(a, b []string) bool {
	union := len(a)
	for _, seat := range b {
		if !slices.Contains(a, seat) {
			union++
		}
	}
	return Quorum(len(a))+Majority(len(b)) > union && Quorum(len(b))+Majority(len(a)) > union
}

// Term tells whether a scheduler may place its domain's tasks. It begins with
// a quorum of the domain's seats, and holds without a break while the scheduler
// owns a majority of them.
type Term struct {
	timing Timing
	// until is the local time up to which the term surely holds.
	until time.Duration
	// began is the local time at which the unbroken term began.
	began time.Duration
	held  bool
}

// NewTerm returns a term that is not held.
func NewTerm(t Timing) *Term { return &Term{timing: t} }

// Update works the term out from the claims on the domain's seats at the local
// time now.
func (t *Term) Update(now time.Duration, claims []*Claim) {
	untils := make([]time.Duration, 0, len(claims))
	for _, c := range claims {
		if c.Owned(now) {
			untils = append(untils, c.ValidUntil())
		}
	}
	need := Quorum(len(claims))
	if t.Held(now) {
		need = Majority(len(claims))
	}
	if len(claims) == 0 || len(untils) < need {
		t.held = false
		return
	}
	slices.Sort(untils)
	t.until = untils[len(untils)-need]
	if !t.held {
		t.held, t.began = true, now
	}
}

// Held reports whether the term surely holds at the local time now.
func (t *Term) Held(now time.Duration) bool { return t.held && now < t.until }

// Until returns the local time up to which the newest term surely held.
func (t *Term) Until() time.Duration { return t.until }

// Began returns the local time at which the unbroken term began.
func (t *Term) Began() time.Duration { return t.began }

// HiddenUntil returns the local time from which a task that this scheduler has
// not seen on any worker is surely not running: leases are only renewed in a
// term, and the last one of the term before has run out by then.
func (t *Term) HiddenUntil() time.Duration {
	if t.timing.lacks(GuardHidden) {
		return t.began
	}
	return t.began + t.timing.Lengthen(t.timing.Task)
}
