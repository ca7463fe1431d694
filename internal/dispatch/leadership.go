package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// The leader may extend leases while the store confirms its leadership, or while
// more than half of the registered workers answer heartbeats under its token. So
// work goes on during an outage of the store.
//
// A new leader fences the workers. Once it has fenced more than half, no previous
// leader can be confirmed by a majority of workers. Since its own claim, none has
// been confirmed by the store. The leases that a previous leader may have extended
// on an unreachable worker are counted from that point.

// leadershipConfirmed reports whether leadership was confirmed recently enough to
// extend leases.
func (c *Core) leadershipConfirmed() bool {
	if c.now < c.confirmedUntil {
		return true
	}
	// Sorted newest first, the last answer of the majority is its oldest.
	at, ok := c.majorityAt(func(h *host) time.Duration { return h.confirmedAt }, newestFirst)
	return ok && c.now < at+c.set.ConfirmationTTL
}

// previousLeaderEnded returns the time since which no previous leader can have its
// leadership confirmed.
func (c *Core) previousLeaderEnded() (time.Duration, bool) {
	if c.previousLeaderEnd > 0 {
		return c.previousLeaderEnd, true
	}
	// Sorted oldest first, the last fence of the majority is the one that completes it.
	at, ok := c.majorityAt(func(h *host) time.Duration { return h.fencedAt }, oldestFirst)
	if ok {
		c.previousLeaderEnd = max(at, c.termStart)
	}
	return c.previousLeaderEnd, ok
}

func newestFirst(a, b time.Duration) int { return cmp.Compare(b, a) }
func oldestFirst(a, b time.Duration) int { return cmp.Compare(a, b) }

// majorityAt returns the time, in the given order, that completes a majority of the
// registered workers. A worker with time 0 counts only towards their total.
func (c *Core) majorityAt(timeOf func(*host) time.Duration, order func(a, b time.Duration) int) (time.Duration, bool) {
	times := c.durations[:0]
	// Records in flight count, so that the majorities of both leaders overlap.
	registered := len(c.commits.sent.released) + len(c.commits.next.released)
	for _, h := range c.sortedHosts {
		if !h.registered && !h.registering {
			continue
		}
		registered++
		if t := timeOf(h); t > 0 {
			times = append(times, t)
		}
	}
	c.durations = times
	need := registered/2 + 1
	if registered == 0 || len(times) < need {
		return 0, false
	}
	slices.SortFunc(times, order)
	return times[need-1], true
}

// takeoverReportDelay is how long a takeover may take before what it waits for is
// reported, takeoverReportInterval the time between two such reports.
const (
	takeoverReportDelay    = time.Second
	takeoverReportInterval = 5 * time.Second
)

// reportTakeover reports at intervals what work that may run unseen still waits for.
func (c *Core) reportTakeover() {
	if c.now < max(c.nextTakeoverReport, c.termStart+takeoverReportDelay) {
		return
	}
	c.nextTakeoverReport = c.now + takeoverReportInterval
	voters, fenced, unfenced, unknown := 0, 0, 0, 0
	for _, h := range c.sortedHosts {
		if h.registered || h.registering {
			voters++
		}
		if h.fencedAt > 0 && (h.registered || h.registering) {
			fenced++
		}
		if h.inherited && !h.fenced {
			unfenced++
			if h.contact == contactNormal {
				unknown++
			}
		}
	}
	if unfenced == 0 {
		return
	}
	ended := "may still be confirmed by workers"
	if at, ok := c.previousLeaderEnded(); ok {
		ended = fmt.Sprintf("have ended %d ms ago", (c.now - at).Milliseconds())
	}
	c.recordDecision(Decision{Kind: "takeover-waits", Age: c.now - c.termStart, Reason: fmt.Sprintf(
		"%d workers of previous leaders are not fenced, the runs of %d of them unknown; %d of %d registered workers fenced; previous leaders %s; %d tasks may run unseen",
		unfenced, unknown, fenced, voters, ended, len(c.suspectTasks))})
}
