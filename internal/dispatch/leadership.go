package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// The leader may extend leases while the store confirms its leadership, or while
// more than half of the voters answer heartbeats under its token. So work goes on
// during an outage of the store.
//
// A new leader fences the workers. Once it has fenced more than half of the voters
// that it inherited, no previous leader can be confirmed by a majority of workers.
// Since its own claim, none has been confirmed by the store. The leases that a
// previous leader may have extended on an unreachable worker are counted from that
// point. If the majority never comes, the previous leaders have ended maxStoreOutage
// after the claim. The log holds that point, and which leader was the last one that gave the worker
// orders, so that the next leaders count on from there (succession.go).
//
// The voters are the registered workers with which the leader is in contact, as the
// log records them. Workers that have left or are lost don't count, or the majority
// might never come. Any majority of a previous leader shares a worker with the one
// that ends it, because
//
//   - a leader whose record of a change is in flight needs a majority of the voters
//     before and after that change;
//   - until the previous leaders have ended, no worker becomes a voter, and one ceases
//     to be a voter only once it has been fenced or its incarnation has ended, after
//     which it can confirm no previous leader.

// leadershipConfirmed reports whether leadership was confirmed recently enough to
// extend leases.
func (c *Core) leadershipConfirmed() bool {
	if c.now < c.confirmedUntil {
		return true
	}
	if c.workersConfirmRound != c.round {
		c.workersConfirmRound, c.workersConfirmUntil = c.round, c.confirmationByWorkers()
	}
	return c.now < c.workersConfirmUntil
}

// confirmedByStoreAt returns the latest time at which the store is known to have had no
// claim of a successor.
func (c *Core) confirmedByStoreAt() time.Duration {
	return min(c.now, c.confirmedUntil-c.set.ConfirmationTTL)
}

// confirmationByWorkers returns until when the voters confirm the leadership.
func (c *Core) confirmationByWorkers() time.Duration {
	at, ok := majorityAt(c.voters((*host).isVoter), (*host).lastConfirmation, newestFirst)
	if ok && c.commits.inFlight {
		var after time.Duration
		after, ok = majorityAt(c.voters(c.commits.sent.isVoter), (*host).lastConfirmation, newestFirst)
		at = min(at, after)
	}
	if !ok {
		return 0
	}
	return min(at+c.set.ConfirmationTTL, c.confirmedUntil+maxStoreOutage)
}

// maxStoreOutage bounds how long a leader goes on without the store. It is long, since all
// work stops then. It bounds as well how long tasks of lost workers wait if a majority of
// the voters is lost together with the leader.
const maxStoreOutage = 10 * time.Minute

// previousLeaderEnded returns the time since which no previous leader can have its
// leadership confirmed.
func (c *Core) previousLeaderEnded() (time.Duration, bool) {
	if c.previousLeaderEnd == 0 && c.endCheckRound != c.round {
		c.endCheckRound = c.round
		c.previousLeaderEnd = c.findPreviousLeaderEnd()
	}
	return c.previousLeaderEnd, c.previousLeaderEnd > 0
}

func (c *Core) findPreviousLeaderEnd() time.Duration {
	at, ok := fencedAt(c.formerVoters)
	if ok && len(c.recordedVoters) < len(c.formerVoters) {
		var recorded time.Duration
		recorded, ok = fencedAt(c.recordedVoters)
		at = max(at, recorded)
	}
	if ok {
		return max(at, c.termStart)
	}
	if at, ok = c.latestEnd(); ok && c.now >= at {
		return at
	}
	return 0
}

// latestEnd returns when the previous leaders will have ended at the latest, without a
// majority of their voters. It isn't known while a leader of a version that has no
// maxStoreOutage may go on.
func (c *Core) latestEnd() (time.Duration, bool) {
	legacyEnded := slices.ContainsFunc(c.leaderEnds, func(e LeadersEnded) bool { return e.Before > c.set.LegacyToken })
	limit := float64(c.set.ConfirmationTTL+maxStoreOutage) / (1 - clockDrift)
	return c.termStart + time.Duration(limit), legacyEnded
}

// fencedAt returns when the fence of a majority of the hosts was complete. No previous
// leader can be confirmed by a majority of no hosts.
func fencedAt(hosts []*host) (time.Duration, bool) {
	if len(hosts) == 0 {
		return 0, true
	}
	return majorityAt(hosts, (*host).barredAt, oldestFirst)
}

func newestFirst(a, b time.Duration) int { return cmp.Compare(b, a) }
func oldestFirst(a, b time.Duration) int { return cmp.Compare(a, b) }

// majorityAt returns the time, in the given order, that completes a majority of the
// hosts. A host with time 0 counts only towards their total.
func majorityAt(hosts []*host, timeOf func(*host) time.Duration, order func(a, b time.Duration) int) (time.Duration, bool) {
	times := make([]time.Duration, 0, len(hosts))
	for _, h := range hosts {
		if t := timeOf(h); t > 0 {
			times = append(times, t)
		}
	}
	need := len(hosts)/2 + 1
	if len(times) < need {
		return 0, false
	}
	slices.SortFunc(times, order)
	return times[need-1], true
}

func (h *host) isVoter() bool { return h.voter }

// lastConfirmation returns when the host last confirmed the leadership, or 0.
func (h *host) lastConfirmation() time.Duration {
	if h.endedAt > 0 {
		return 0
	}
	return h.confirmedAt
}

// barredAt returns when it became certain that the host confirms no previous leader any
// more, or 0.
func (h *host) barredAt() time.Duration {
	if h.fencedAt > 0 {
		return h.fencedAt
	}
	return h.endedAt
}

// voters returns the incarnations that counts selects, among them ended ones that the
// log still holds.
func (c *Core) voters(counts func(*host) bool) []*host {
	var out []*host
	add := func(hosts []*host) {
		for _, h := range hosts {
			if counts(h) {
				out = append(out, h)
			}
		}
	}
	add(c.sortedHosts)
	add(c.commits.sent.released)
	add(c.commits.next.released)
	return out
}

// isVoter reports whether the incarnation is a voter once the batch is in the log.
func (p *batch) isVoter(h *host) bool {
	if x, ok := p.recorded[h]; ok {
		return x.voter
	}
	return h.voter && !slices.Contains(p.released, h)
}

// mayVote reports whether a record of the worker made now states that it is a voter.
func (c *Core) mayVote(h *host) bool {
	_, ended := c.previousLeaderEnded()
	if !h.fenced {
		return h.voter && !(ended && h.contactLost())
	}
	return (h.voter || ended) && h.inContact()
}

// recordVoters records the workers that have become voters, or have ceased to be ones,
// for other causes than a change of contact.
func (c *Core) recordVoters() {
	if _, ended := c.previousLeaderEnded(); !ended {
		return
	}
	for _, h := range c.sortedHosts {
		if h.registered && !h.recordQueued && !h.recordRejected && (h.engaged || !h.fenced) && h.voter != c.mayVote(h) {
			c.commits.recordWorker(h)
		}
	}
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
