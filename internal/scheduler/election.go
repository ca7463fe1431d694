package scheduler

import "time"

// peer is another scheduler of the domain as last heard at a local time.
type peer struct {
	PeerHeard
	at time.Duration
}

// election decides when to claim the domain's workers. It is a matter of
// liveness only: two claimants at once are kept apart by the marks.
type election struct {
	// claiming is set while this scheduler tries for, or holds, the term.
	claiming bool
	// since is when the present try began.
	since time.Duration
	// tries counts the tries since the term was last held.
	tries int
	// notBefore is the earliest time of the next try.
	notBefore time.Duration
	// quietSince is when a leader was last heard, or the domain's seats became known.
	quietSince time.Duration
}

// maxYield bounds the backoff between tries, as a power of two seconds.
const maxYield = 4

func (c *Core) elect() {
	e := &c.election
	if c.leaving || !c.Ready() || len(c.workers) == 0 {
		return
	}
	if c.term.Held(c.now) {
		e.tries = 0
		e.quietSince = c.now
		return
	}
	if c.leaderHeard() {
		e.quietSince = c.now
		if e.claiming {
			c.yield(0)
		}
		return
	}
	if e.claiming {
		if c.now-e.since >= c.set.QuorumWait {
			e.tries = min(e.tries+1, maxYield)
			c.yield(time.Duration(1+c.seat()) * time.Second << e.tries / 2)
		}
		return
	}
	if c.now >= e.notBefore && c.now-e.quietSince >= time.Duration(c.seat())*time.Second {
		e.claiming, e.since = true, c.now
	}
}

// leaderHeard reports whether a live leader of the domain was heard lately.
func (c *Core) leaderHeard() bool {
	for _, p := range c.peers {
		if p.Leader && !p.Leaving && c.now-p.at < c.set.LeaderSilence {
			return true
		}
	}
	return false
}

// yield releases every worker and waits before the next try.
func (c *Core) yield(wait time.Duration) {
	c.election.claiming = false
	c.election.notBefore = c.now + wait
	for _, name := range c.order {
		c.release(c.workers[name])
	}
}

func (c *Core) leave() {
	c.leaving = true
	c.yield(0)
	c.dirDirty = true
}
