package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
)

const (
	// ticketMargin is taken off a ticket's validity for the start's way.
	ticketMargin = 150 * time.Millisecond
	// adviceRetry is the pause after a call without an answer.
	adviceRetry = 100 * time.Millisecond
	// emptyRetry is the pause after an answer that allowed nothing.
	emptyRetry = time.Second
	// nobodyRetry is the pause after a look that found no worker to ask about:
	// two passes.
	nobodyRetry = 2 * passGap
	// adviceNames bounds the workers named in one call.
	adviceNames = 100
	// overdueAdvice is how long a step waits before its calls may take the
	// service from urgent ones.
	overdueAdvice = 8 * time.Second
	// freshSteps is how many waiting steps of a pool keep valid tickets while
	// there is no room for them.
	freshSteps = 4
)

// advice is what the policy service has said of a step.
type advice struct {
	// allowed tells for each worker asked about whether the step may run there.
	allowed map[string]bool
	tickets map[*host]ticket
	out     bool
	notYet  time.Duration
}

type ticket struct {
	value string
	until time.Duration
}

// ticketFor returns a valid ticket for the host; a step without a policy needs none.
func (c *Core) ticketFor(s *step, h *host) (string, bool) {
	if s.occ.job.queue.Advice == nil {
		return "", true
	}
	t, ok := s.advice.tickets[h]
	return t.value, ok && c.now < t.until
}

func (a *advice) drop(h *host) { delete(a.tickets, h) }

// ask has the policy service asked about a step's workers, if that is of use.
// want restricts those that were allowed before.
func (c *Core) ask(s *step, want func(*host) bool) {
	a := &s.advice
	policy := s.occ.job.queue.Advice
	if policy == nil || a.out || c.now < a.notYet {
		return
	}
	var names []string
	pool := c.pools[s.occ.job.queue.Pool]
	// Once the service has spoken of as many workers as there are, only those matter
	// that are wanted now, which is sooner told than what it has said.
	told := len(a.allowed) >= len(pool)
	for _, h := range pool {
		if len(names) == adviceNames {
			break
		}
		if told && !want(h) || !c.suits(s, h) {
			continue
		}
		allowed, known := a.allowed[h.info.ID]
		if known && (!allowed || !want(h)) {
			continue
		}
		if t, ok := a.tickets[h]; ok && c.now < t.until-policy.Decision {
			continue
		}
		names = append(names, h.info.ID)
	}
	if len(names) == 0 {
		a.notYet = c.now + nobodyRetry
		return
	}
	a.out = true
	c.reasons["advice-asked"]++
	c.emit(Advise{Step: s.id(), Workers: names, Cost: policy.Decision + time.Duration(len(names))*policy.PerWorker,
		Urgent: s.occ.job.queue.Priority == 0, Overdue: s.ready && c.now-s.readyAt > overdueAdvice})
}

// question is what a waiting step would ask the policy service about.
type question struct {
	step *step
	want func(*host) bool
}

// askInTurn asks what one pass has found. Urgent steps come first; of the others
// another pool's come first each time, so that a pool whose steps find no room
// doesn't keep the service from those of another.
func (c *Core) askInTurn() {
	pools := slices.Sorted(maps.Keys(c.pools))
	c.askTurn++
	rank := func(q question) int {
		job := q.step.occ.job
		if job.queue.Priority == 0 {
			return -1
		}
		at, _ := slices.BinarySearch(pools, job.queue.Pool)
		return (at + c.askTurn) % max(len(pools), 1)
	}
	slices.SortStableFunc(c.asks, func(a, b question) int { return cmp.Compare(rank(a), rank(b)) })
	for _, q := range c.asks {
		c.ask(q.step, q.want)
	}
	clear(c.asks)
	c.asks = c.asks[:0]
}

// suits reports whether a step's task could ever run on the worker.
func (c *Core) suits(s *step, h *host) bool {
	return h.listed && h.draining == 0 && s.def.Counted().Within(h.info.Capacity) && h.hasLabel(s.def.Requires)
}

func (h *host) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range h.info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

func (c *Core) advised(ev Advised) {
	s := c.stepOf(ev.Step)
	if s == nil {
		return
	}
	a := &s.advice
	a.out = false
	if ev.Failed {
		c.reasons["advice-failed"]++
		a.notYet = c.now + adviceRetry
		return
	}
	if a.allowed == nil {
		a.allowed, a.tickets = map[string]bool{}, map[*host]ticket{}
	}
	for _, id := range ev.Asked {
		a.allowed[id] = false
	}
	validity := ev.Approvals.Validity
	if p := s.occ.job.queue.Advice; validity == 0 && p != nil {
		validity = p.Validity
	}
	for _, ok := range ev.Approvals.Approved {
		c.approve(s, ok, validity)
	}
	if len(ev.Approvals.Approved) == 0 {
		a.notYet = c.now + emptyRetry
	}
	c.dirty = true
}

func (c *Core) approve(s *step, ok worker.Approval, validity time.Duration) {
	s.advice.allowed[ok.Worker] = true
	if h := c.hosts[ok.Worker]; h != nil {
		s.advice.tickets[h] = ticket{ok.Ticket, c.now + validity - ticketMargin}
	}
}

// askAhead asks for the steps that follow one whose first task is done.
func (c *Core) askAhead(s *step) {
	if s.occ.job.over() {
		return
	}
	for _, next := range s.occ.steps[s.index+1:] {
		if next.blockers != 1 || next.finished() || next.advice.allowed != nil {
			continue
		}
		for _, d := range next.def.DependsOn {
			if d == s.index {
				c.ask(next, always)
			}
		}
	}
}

func always(*host) bool { return true }
