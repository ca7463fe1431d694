package routing

import (
	"cmp"
	"slices"
	"time"
)

// defaultQueueLimit is the maximum number of queued requests of a service that
// declares none.
const defaultQueueLimit = 1000

// meanRunTimeWeight is the number of samples over which the moving average of
// the run time extends.
const meanRunTimeWeight = 16

// service is a service with its runners and waiting requests.
type service struct {
	name   string
	policy ForwardingPolicy
	limit  int
	// declared is set if the latest directory lists the service.
	declared bool
	runners  []*runner
	// slots is the number of granted slots of available runners. orphaned is
	// the number of slots held by requests that are no longer in flight.
	slots    int
	orphaned int
	// freeRunners holds the available runners with a free slot.
	freeRunners heap[*runner]
	// quarantined is the number of runners in quarantine.
	quarantined       int
	queue             queue
	budget            retryBudget
	meanRunTime       time.Duration
	queuedForDispatch bool
}

func (c *Core) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{name: name, policy: PolicyFast, limit: defaultQueueLimit, queue: newQueue(), budget: newRetryBudget()}
		c.services[name] = s
	}
	return s
}

// updateCapacity recomputes the service's capacity after a runner's state
// changed.
func (s *service) updateCapacity(now time.Duration) {
	s.slots, s.quarantined = 0, 0
	for _, r := range s.runners {
		s.updateFree(now, r)
		if r.quarantined && !r.missing {
			s.quarantined++
		}
		if r.available(now) {
			s.slots += r.Slots
		}
	}
}

// recordRunTime adds one sample to the mean run time.
func (s *service) recordRunTime(d time.Duration) {
	if s.meanRunTime == 0 {
		s.meanRunTime = d
		return
	}
	s.meanRunTime += (d - s.meanRunTime) / meanRunTimeWeight
}

// expectedWait returns how long a new request of the team is expected to wait
// for a slot.
func (s *service) expectedWait(team string) time.Duration {
	ahead := s.queue.requestsAhead(team)
	if ahead == 0 && s.freeRunners.len() > 0 {
		return 0
	}
	usable := max(s.slots-s.orphaned, 1)
	return s.meanRunTime * time.Duration(ahead+1) / time.Duration(usable)
}

// handleDirectory applies the runners and grants of the domain.
func (c *Core) handleDirectory(ev DirectoryUpdated) {
	c.directoryKnown = true
	c.setPreviousLease(ev.PreviousLeaseRemaining)
	t := c.settings.Timing
	c.grantUntil = max(c.grantUntil, ev.SentAt+c.minusDrift(t.Lease))
	c.reservedUntil = max(c.reservedUntil, ev.SentAt+c.minusDrift(t.Lease+t.MaxRequestTime))
	switch {
	case ev.Unchanged:
	case ev.Partial:
		c.setGrants(ev.Runners)
	default:
		c.setServices(ev.Services)
		c.setRunners(ev.Runners)
	}
	for _, r := range c.runnersByAttempt {
		c.scheduleDispatch(r.svc)
	}
}

func (c *Core) setServices(list []Service) {
	for _, s := range c.services {
		s.declared = false
	}
	for _, d := range list {
		s := c.service(d.Name)
		s.declared = true
		s.policy, s.limit = cmp.Or(d.Policy, PolicyFast), cmp.Or(d.QueueLimit, defaultQueueLimit)
	}
}

func (c *Core) setRunners(list []Runner) {
	listed := make(map[uint64]bool, len(list))
	for _, d := range list {
		listed[d.Attempt] = true
		r := c.runners[d.Attempt]
		if r == nil {
			r = &runner{budget: newRetryBudget(), svc: c.service(d.Service)}
			r.wakeTimer.handler = r
			c.runners[d.Attempt] = r
		}
		r.Runner, r.missing = d, false
		r.svc.declared = true
	}
	for _, r := range c.runnersByAttempt {
		if !listed[r.Attempt] && !r.missing {
			r.missing, r.missingAt = true, c.now
		}
	}
	c.removeMissing()
	c.sortRunners()
}

// setGrants applies changed grants of known runners.
func (c *Core) setGrants(list []Runner) {
	for _, d := range list {
		if r := c.runners[d.Attempt]; r != nil {
			r.Slots = d.Slots
			r.svc.updateCapacity(c.now)
		}
	}
}

// removeMissing drops the runners that have been missing for missingRunnerTTL
// and hold no slot.
func (c *Core) removeMissing() {
	for a, r := range c.runners {
		if r.missing && r.busy == 0 && c.now-r.missingAt >= missingRunnerTTL {
			c.disarm(&r.wakeTimer)
			r.svc.freeRunners.remove(r)
			delete(c.runners, a)
		}
	}
}

func (c *Core) sortRunners() {
	c.runnersByAttempt = c.runnersByAttempt[:0]
	for _, r := range c.runners {
		c.runnersByAttempt = append(c.runnersByAttempt, r)
	}
	slices.SortFunc(c.runnersByAttempt, func(a, b *runner) int { return cmp.Compare(a.Attempt, b.Attempt) })
	for _, s := range c.services {
		s.runners = s.runners[:0]
	}
	for _, r := range c.runnersByAttempt {
		r.svc.runners = append(r.svc.runners, r)
	}
	for _, s := range c.services {
		s.updateCapacity(c.now)
	}
}

// dispatch sends waiting requests while slots are free.
func (c *Core) dispatch(s *service) {
	if !c.grantValid() {
		return
	}
	for q := s.queue.peek(); q != nil; q = s.queue.peek() {
		r := s.pickRunner(c.now, q)
		if r == nil {
			return
		}
		s.queue.take(q)
		c.sendTo(q, r)
	}
}
