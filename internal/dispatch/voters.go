package dispatch

import (
	"cmp"
	"slices"
	"time"
)

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
		if h.registered && !h.recordQueued && !h.recordRejected && h.voter != c.mayVote(h) {
			c.commits.recordWorker(h)
		}
	}
}
