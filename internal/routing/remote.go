package routing

import "time"

// Limits on the use of reports from other domains.
const (
	// loadReportTTL is how long a load report of another entry is used.
	loadReportTTL = 5 * time.Second
	// remoteEntryBackoff is how long an entry is not used after a failed send.
	remoteEntryBackoff = 5 * time.Second
)

// Estimated round-trip times to an entry of another domain.
const (
	roundTripSameRegion  = 2 * time.Millisecond
	roundTripCrossRegion = 24 * time.Millisecond
)

// remoteEntry is an entry of another domain.
type remoteEntry struct {
	Peer
	reportedAt time.Duration
	waits      map[string]time.Duration
	avoidUntil time.Duration
	roundTrip  time.Duration
}

// remoteEntries are the entries of all other domains.
type remoteEntries struct{ list []*remoteEntry }

func (r *remoteEntries) init(settings Settings) {
	for _, p := range settings.Peers {
		if p.Domain == settings.Domain {
			continue
		}
		trip := roundTripCrossRegion
		if p.Region == settings.Region {
			trip = roundTripSameRegion
		}
		r.list = append(r.list, &remoteEntry{Peer: p, roundTrip: trip})
	}
}

func (r *remoteEntries) update(now time.Duration, ev PeerLoadReported) {
	for _, p := range r.list {
		if p.Host != ev.Host {
			continue
		}
		p.reportedAt = now
		p.waits = make(map[string]time.Duration, len(ev.Services))
		for _, s := range ev.Services {
			p.waits[s.Service] = s.Wait
		}
	}
}

// shortestWait returns the entry with the shortest expected wait for the
// service, including the round trip, or nil if there is none.
func (r *remoteEntries) shortestWait(now time.Duration, service string) (*remoteEntry, time.Duration) {
	var best *remoteEntry
	var bestWait time.Duration
	for _, p := range r.list {
		wait, ok := p.waits[service]
		if !ok || now-p.reportedAt >= loadReportTTL || now < p.avoidUntil {
			continue
		}
		if wait += p.roundTrip; best == nil || wait < bestWait {
			best, bestWait = p, wait
		}
	}
	return best, bestWait
}

// forward sends an idempotent request to an entry of another domain if the
// response is expected there before the deadline. For
// ReasonShorterWaitElsewhere, which route uses only where the service's policy
// allows it, the expected wait must also be shorter than here. It returns false
// if the request was not forwarded.
func (c *Core) forward(q *request, s *service, reason Reason) bool {
	if !q.Idempotent || q.FromEntry || q.forwarded {
		return false
	}
	p, wait := c.remotes.shortestWait(c.now, q.Service)
	if p == nil || c.now+wait >= q.Deadline {
		return false
	}
	if reason == ReasonShorterWaitElsewhere && wait >= s.expectedWait(q.Team) {
		return false
	}
	q.forwarded, q.peer = true, p
	c.count(KindForward, reason)
	c.startSend(q, Send{
		Target:      TargetRemoteDomain,
		Address:     p.Address,
		NotAfter:    c.now + sendWindow,
		CrossRegion: p.Region != c.settings.Region,
	})
	return true
}
