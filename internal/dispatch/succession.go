package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// A worker that doesn't answer may run tasks until the leases are over that the last
// leader that gave it orders may have extended. When a leader finds its predecessors
// ended, it records that, and which workers it has not reached: it gives them no orders
// until a record without them is in the log. So a worker's wait begins with the first
// leader that didn't reach it, however often the leader changes after that. A leader
// that has recorded nothing is taken to have given orders to all workers.
//
// Nodes have no common clock, and processes end. Records therefore hold ages: a reader
// takes an end for as old as the record says when it reads it, so never for older than
// it is. The record is renewed while a wait goes on.

const (
	// successionInterval is how often the ages are recorded anew. A successor whose process
	// has just started repeats that much of a wait. endlessInterval is the same while no
	// majority has ended the previous leaders, which may take maxStoreOutage.
	successionInterval = 250 * time.Millisecond
	endlessInterval    = 5 * time.Second
	// unreachedAfter is how long after its last fence a worker that has not answered is
	// taken for unreached. The others must not wait for a record, once they answer.
	unreachedAfter = 100 * time.Millisecond
	// maxLeaderEnds bounds the recorded ends. Beyond it, workers that last answered one of
	// the leaders in between wait for the end of a later one.
	maxLeaderEnds = 16
)

// lastLeaderEnded returns since when, or from when on, no leader that may have given the
// worker orders is confirmed. The worker must not have been fenced.
func (c *Core) lastLeaderEnded(h *host) (time.Duration, bool) {
	at, ok := c.ownEnd()
	for _, e := range c.leaderEnds {
		if e.Before > h.lastLeader && (!ok || e.Since < at) {
			at, ok = e.Since, true
		}
	}
	return at, ok
}

// ownEnd returns when the previous leaders of this one have ended or, ahead of the time,
// will have ended at the latest.
func (c *Core) ownEnd() (time.Duration, bool) {
	if at, ok := c.previousLeaderEnded(); ok {
		return at, true
	}
	return c.latestEnd()
}

// makeSuccession returns what is to be recorded of this leader's predecessors.
func (c *Core) makeSuccession() *Succession {
	m := &c.commits
	m.successionMadeAt = c.now
	rec := &Succession{Token: c.set.Token, LegacyToken: c.set.LegacyToken}
	for _, e := range c.relevantEnds() {
		rec.Ends = append(rec.Ends, LeaderEnd{Before: e.Before, AgeMillis: (c.now - e.Since).Milliseconds()})
	}
	if !c.knowsUnreached() {
		return rec
	}
	rec.Unreached = map[string]int64{}
	for _, h := range c.sortedHosts {
		if h.isUnreached() {
			rec.Unreached[h.info.ID] = h.lastLeader
			c.recordedUnreached[h.info.ID] = true
			m.sent.unreached = append(m.sent.unreached, h.info.ID)
		}
	}
	return rec
}

// isUnreached reports whether a previous leader may have given the worker orders, and this
// one has not, also once the leases there are over.
func (h *host) isUnreached() bool { return h.registered && !h.fenced }

// knowsUnreached reports whether the workers that have not answered can be told from those
// that are about to.
func (c *Core) knowsUnreached() bool {
	_, ended := c.previousLeaderEnded()
	return ended && c.now >= c.lastFenceAt+unreachedAfter || c.now >= c.termStart+maxFenceTime
}

// maxFenceTime is how long after the begin of a term workers may take to answer, if some do
// again and again.
const maxFenceTime = time.Second

// successionCommitted applies that a Succession which lists the given workers is in the log.
func (c *Core) successionCommitted(unreached []string) {
	m := &c.commits
	m.successionRecorded, m.unreachedRecorded = true, m.unreachedRecorded || len(unreached) > 0
	c.dirty = c.dirty || len(unreached) < len(c.recordedUnreached)
	clear(c.recordedUnreached)
	for _, id := range unreached {
		c.recordedUnreached[id] = true
	}
}

// relevantEnds returns the ends known, latest leader first, without those that one of a
// later leader makes needless.
func (c *Core) relevantEnds() []LeadersEnded {
	ends := slices.Clone(c.leaderEnds)
	if at, ok := c.ownEnd(); ok {
		ends = append(ends, LeadersEnded{c.set.Token, at})
	}
	slices.SortFunc(ends, func(a, b LeadersEnded) int { return cmp.Compare(b.Before, a.Before) })
	var out []LeadersEnded
	for _, e := range ends {
		if last := len(out) - 1; last < 0 || e.Since < out[last].Since && c.now-out[last].Since < c.longestWait() {
			out = append(out, e)
		}
	}
	if surplus := len(out) - maxLeaderEnds; surplus > 0 {
		out = slices.Delete(out, 1, 1+surplus)
	}
	return out
}

// longestWait is the age from which on the end of a leader no longer matters.
func (c *Core) longestWait() time.Duration { return max(c.set.PreviousLeaderBound, unlistedRetention) }

// recordSuccession records that this leader follows its predecessors and, if there are
// workers that wait for their end, that end and these workers.
func (c *Core) recordSuccession() {
	m := &c.commits
	if m.sent.succession {
		return
	}
	waiting, reached := false, false
	for _, h := range c.sortedHosts {
		waiting = waiting || h.isUnreached()
		reached = reached || h.fenced && c.recordedUnreached[h.info.ID]
	}
	switch {
	case reached, waiting && c.knowsUnreached() && (!m.unreachedRecorded || c.successionOutdated()):
		m.next.succession, m.urgent = true, true
	case !m.successionRecorded && !m.next.succession:
		m.next.succession = true
		c.commitWithin(startCommitDelay)
	}
}

// successionOutdated reports whether a successor would wait longer than need be by the
// ages that are recorded.
func (c *Core) successionOutdated() bool {
	madeAt := c.commits.successionMadeAt
	if c.now < madeAt+successionInterval {
		return false
	}
	for _, e := range c.relevantEnds() {
		if age := madeAt - e.Since; age < c.longestWait() && (age >= 0 || c.now >= madeAt+endlessInterval) {
			return true
		}
	}
	return false
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
	fenced, unfenced, unknown, longest := 0, 0, 0, c.now
	for _, h := range c.formerVoters {
		if h.barredAt() > 0 {
			fenced++
		}
	}
	for _, h := range c.sortedHosts {
		if h.inherited && !h.fenced {
			unfenced++
			longest = max(longest, c.leasesExpireAt(h))
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
	wait := "without a bound"
	if longest != never {
		wait = fmt.Sprintf("for %d ms at most", (longest - c.now).Milliseconds())
	}
	c.recordDecision(Decision{Kind: "takeover-waits", Age: c.now - c.termStart, Reason: fmt.Sprintf(
		"%d workers of previous leaders are not fenced, the runs of %d of them unknown; %d of %d voters fenced; previous leaders %s; %d tasks may run unseen; it waits %s",
		unfenced, unknown, fenced, len(c.formerVoters), ended, len(c.suspectTasks), wait)})
}
