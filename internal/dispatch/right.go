package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// The holder may extend leases while the store confirms its right, or while
// more than half of the engaged workers answer holds under its token. So work
// goes on while the store is out. A successor fences the workers; from when it
// has fenced more than half, no former holder can have the latter, and from its
// claim on none has had the former. What a former holder may have extended on
// a worker that can't be reached is counted from there.

// mayOrder reports whether the right is confirmed recently enough to extend leases.
func (c *Core) mayOrder() bool {
	if c.now < c.rightUntil {
		return true
	}
	// The majority's oldest answer counts: newer ones come first.
	at, ok := c.majorityAt(func(h *host) time.Duration { return h.confirmedAt }, newestFirst)
	return ok && c.now < at+c.set.Confidence
}

// formerEnded returns since when no former holder can have its right confirmed.
func (c *Core) formerEnded() (time.Duration, bool) {
	if c.formerEnd > 0 {
		return c.formerEnd, true
	}
	// The fence that makes the majority counts: the first ones come first.
	at, ok := c.majorityAt(func(h *host) time.Duration { return h.fencedAt }, oldestFirst)
	if ok {
		c.formerEnd = max(at, c.began)
	}
	return c.formerEnd, ok
}

func newestFirst(a, b time.Duration) int { return cmp.Compare(b, a) }
func oldestFirst(a, b time.Duration) int { return cmp.Compare(a, b) }

// majorityAt returns the time, in the given order, with which more than half of
// the engaged workers are counted; workers with a time of 0 have none.
func (c *Core) majorityAt(of func(*host) time.Duration, order func(a, b time.Duration) int) (time.Duration, bool) {
	times := c.times[:0]
	// What is on its way to the log counts, so that both sides' majorities meet.
	engaged := len(c.commits.sent.released) + len(c.commits.next.released)
	for _, h := range c.order {
		if !h.engaged && !h.engaging {
			continue
		}
		engaged++
		if t := of(h); t > 0 {
			times = append(times, t)
		}
	}
	c.times = times
	need := engaged/2 + 1
	if engaged == 0 || len(times) < need {
		return 0, false
	}
	slices.SortFunc(times, order)
	return times[need-1], true
}
