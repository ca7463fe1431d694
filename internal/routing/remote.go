package routing

import "time"

// The bounds on what is believed of other domains.
const (
	// loadFresh is how long another entry's report is believed.
	loadFresh = 5 * time.Second
	// remoteAvoid is how long an entry is left alone after a lost connection.
	remoteAvoid = 5 * time.Second
)

// What a request and its answer take on the way to another domain.
const (
	roundTripRegion  = 2 * time.Millisecond
	roundTripRegions = 24 * time.Millisecond
)

// remote is an entry of another domain.
type remote struct {
	Peer
	heardAt    time.Duration
	waits      map[string]time.Duration
	avoidUntil time.Duration
	roundTrip  time.Duration
}

// remotes are the entries of other domains.
type remotes struct{ list []*remote }

func (r *remotes) init(set Settings) {
	for _, p := range set.Peers {
		if p.Domain == set.Domain {
			continue
		}
		trip := roundTripRegions
		if p.Region == set.Region {
			trip = roundTripRegion
		}
		r.list = append(r.list, &remote{Peer: p, roundTrip: trip})
	}
}

func (r *remotes) heard(now time.Duration, ev PeerLoad) {
	for _, p := range r.list {
		if p.Host != ev.Host {
			continue
		}
		p.heardAt = now
		p.waits = make(map[string]time.Duration, len(ev.Services))
		for _, s := range ev.Services {
			p.waits[s.Service] = s.Wait
		}
	}
}

// best returns the entry with the shortest wait for the service, the way there
// and back included, or nil.
func (r *remotes) best(now time.Duration, service string) (*remote, time.Duration) {
	var best *remote
	var least time.Duration
	for _, p := range r.list {
		wait, ok := p.waits[service]
		if !ok || now-p.heardAt >= loadFresh || now < p.avoidUntil {
			continue
		}
		if wait += p.roundTrip; best == nil || wait < least {
			best, least = p, wait
		}
	}
	return best, least
}

// passOn sends an idempotent request to another domain where the service's
// policy lets it and its answer is expected in time there.
func (c *Core) passOn(q *request, s *service, why Reason) bool {
	if !q.Idempotent || q.Hop || q.away {
		return false
	}
	p, wait := c.remotes.best(c.now, q.Service)
	if p == nil || c.now+wait >= q.Deadline {
		return false
	}
	if why == ReasonExpectedLess && wait >= s.expectedWait(q.Team) {
		return false
	}
	q.away, q.peer = true, p
	c.count(KindForward, why)
	c.begin(q, Send{
		Target:      ToDomain,
		Address:     p.Address,
		NotAfter:    c.now + sendWindow,
		CrossRegion: p.Region != c.set.Region,
	})
	return true
}
