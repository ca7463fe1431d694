package dispatch

import (
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
// after the claim. The next leaders count on from there (succession.go).

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
