package routing

import (
	"cmp"
	"slices"
	"time"
)

// defaultQueueLimit bounds a service's waiting requests where none is declared.
const defaultQueueLimit = 1000

// meanWeight is how many samples the mean run time remembers.
const meanWeight = 16

// service is a declared service with its runners and waiting requests.
type service struct {
	name   string
	policy Policy
	limit  int
	// declared is whether the newest directory lists the service.
	declared bool
	runners  []*runner
	// slots counts the granted slots of serving runners, stuck those held by
	// requests that are no longer in flight.
	slots int
	stuck int
	// free holds the runners that are capacity and have a free slot.
	free heap[*runner]
	// quarantined counts the runners in quarantine.
	quarantined int
	queue       queue
	budget      budget
	mean        time.Duration
	changed     bool
}

func (c *Core) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{name: name, policy: Fast, limit: defaultQueueLimit, queue: newQueue(), budget: newBudget()}
		c.services[name] = s
	}
	return s
}

// recount works out the service's capacity after a runner's state changed.
func (s *service) recount(now time.Duration) {
	s.slots, s.quarantined = 0, 0
	for _, r := range s.runners {
		s.rank(now, r)
		if r.quarantined && !r.missing {
			s.quarantined++
		}
		if r.serving(now) {
			s.slots += r.Slots
		}
	}
}

// took takes note of how long a runner took for a request.
func (s *service) took(d time.Duration) {
	if s.mean == 0 {
		s.mean = d
		return
	}
	s.mean += (d - s.mean) / meanWeight
}

// expectedWait returns how long a new request of the team would wait for a slot.
func (s *service) expectedWait(team string) time.Duration {
	ahead := s.queue.ahead(team)
	if ahead == 0 && s.free.len() > 0 {
		return 0
	}
	useful := max(s.slots-s.stuck, 1)
	return s.mean * time.Duration(ahead+1) / time.Duration(useful)
}

// readDirectory takes over the runners and grants of the domain.
func (c *Core) readDirectory(ev DirectoryRead) {
	c.known = true
	c.hearFormer(ev.Former)
	c.grantUntil = max(c.grantUntil, ev.SentAt+c.shorten(c.set.Timing.Lease))
	if !ev.Unchanged {
		c.setServices(ev.Services)
		c.setRunners(ev.Runners)
	}
	for _, r := range c.order {
		c.dirty(r.svc)
	}
}

func (c *Core) setServices(list []Service) {
	for _, s := range c.services {
		s.declared = false
	}
	for _, d := range list {
		s := c.service(d.Name)
		s.declared = true
		s.policy, s.limit = cmp.Or(d.Policy, Fast), cmp.Or(d.QueueLimit, defaultQueueLimit)
	}
}

func (c *Core) setRunners(list []Runner) {
	listed := make(map[uint64]bool, len(list))
	for _, d := range list {
		listed[d.Attempt] = true
		r := c.runners[d.Attempt]
		if r == nil {
			r = &runner{budget: newBudget(), svc: c.service(d.Service)}
			r.wake.what = r
			c.runners[d.Attempt] = r
		}
		r.Runner, r.missing = d, false
		r.svc.declared = true
	}
	for _, r := range c.order {
		if !listed[r.Attempt] && !r.missing {
			r.missing, r.missingAt = true, c.now
		}
	}
	c.forgetGone()
	c.sortRunners()
}

// forgetGone drops the runners that have long been missing and hold nothing.
func (c *Core) forgetGone() {
	for a, r := range c.runners {
		if r.missing && r.busy == 0 && c.now-r.missingAt >= goneAfter {
			c.disarm(&r.wake)
			r.svc.free.remove(r)
			delete(c.runners, a)
		}
	}
}

func (c *Core) sortRunners() {
	c.order = c.order[:0]
	for _, r := range c.runners {
		c.order = append(c.order, r)
	}
	slices.SortFunc(c.order, func(a, b *runner) int { return cmp.Compare(a.Attempt, b.Attempt) })
	for _, s := range c.services {
		s.runners = s.runners[:0]
	}
	for _, r := range c.order {
		r.svc.runners = append(r.svc.runners, r)
	}
	for _, s := range c.services {
		s.recount(c.now)
	}
}

// dispatch sends waiting requests while slots are free.
func (c *Core) dispatch(s *service) {
	if !c.granted() {
		return
	}
	for q := s.queue.first(); q != nil; q = s.queue.first() {
		r := s.pick(c.now, q)
		if r == nil {
			return
		}
		s.queue.serve(q)
		c.sendTo(q, r)
	}
}
