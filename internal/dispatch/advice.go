package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
)

const (
	// ticketMargin is subtracted from a ticket's validity to cover the time that
	// the start request takes to arrive.
	ticketMargin = 150 * time.Millisecond
	// adviceRetry is the delay after a request that got no answer.
	adviceRetry = 100 * time.Millisecond
	// noApprovalRetry is the delay after an answer that approved no worker.
	noApprovalRetry = time.Second
	// noCandidateRetry is the delay after a search that found no worker to ask
	// about. It spans two placement passes.
	noCandidateRetry = 2 * minPassGap
	// maxAdviceWorkers bounds the workers named in one request.
	maxAdviceWorkers = 100
	// adviceOverdueAfter is how long a step waits before its requests may use
	// service capacity that is kept for urgent ones.
	adviceOverdueAfter = 8 * time.Second
	// prefetchSteps is how many waiting steps of a pool keep valid tickets while
	// the pool has no free capacity for them.
	prefetchSteps = 4
)

// advice is what the policy service has answered for a step.
type advice struct {
	// answers holds what was answered for each worker asked about.
	answers   map[string]adviceAnswer
	tickets   map[*host]ticket
	inFlight  bool
	notBefore time.Duration
}

// adviceAnswer is the answer for one worker.
type adviceAnswer struct {
	allowed bool
	// deniedLife is the start of the incarnation that the step was not allowed on: the
	// service does not approve a worker that is down.
	deniedLife int64
}

type ticket struct {
	value      string
	validUntil time.Duration
}

// ticketFor returns a valid ticket for the host. A step without a policy needs none.
func (c *Core) ticketFor(s *step, h *host) (string, bool) {
	if s.occurrence.job.queue.Advice == nil {
		return "", true
	}
	t, ok := s.advice.tickets[h]
	return t.value, ok && c.now < t.validUntil
}

func (a *advice) dropTicket(h *host) { delete(a.tickets, h) }

// requestAdvice asks the policy service about workers for a step, if that is
// useful now. wanted filters the workers that are already known to be allowed.
func (c *Core) requestAdvice(s *step, wanted func(*host) bool) {
	a := &s.advice
	policy := s.occurrence.job.queue.Advice
	if policy == nil || a.inFlight || c.now < a.notBefore {
		return
	}
	names := c.workersToAskAbout(s, wanted)
	if len(names) == 0 {
		a.notBefore = c.now + noCandidateRetry
		return
	}
	a.inFlight = true
	c.reasons["advice-asked"]++
	c.emit(RequestAdvice{Step: s.id(), Workers: names, Cost: policy.Decision + time.Duration(len(names))*policy.PerWorker,
		Urgent: s.occurrence.job.queue.Priority == 0, Overdue: s.ready && c.now-s.readyAt > adviceOverdueAfter})
}

// workersToAskAbout returns the workers whose answer the step lacks or will lack soon:
// those with room for a task first, since it can start there at once.
func (c *Core) workersToAskAbout(s *step, wanted func(*host) bool) []string {
	a := &s.advice
	size := s.def.ReservedSize()
	pool := c.pools[s.occurrence.job.queue.Pool]
	// Once the service has answered for as many workers as the pool has, only wanted
	// workers matter. Calling wanted is cheaper than looking up the answers.
	allKnown := len(a.answers) >= len(pool)
	var names []string
	for _, withRoom := range []bool{true, false} {
		for _, h := range pool {
			if len(names) == maxAdviceWorkers {
				return names
			}
			if withRoom != c.hasRoom(h, size) || allKnown && !wanted(h) || !c.eligible(s, h) {
				continue
			}
			answer, known := a.answers[h.info.ID]
			if known && !answer.allowed && answer.deniedLife == h.info.Born || answer.allowed && !wanted(h) {
				continue
			}
			if t, ok := a.tickets[h]; ok && c.now < t.validUntil-s.occurrence.job.queue.Advice.Decision {
				continue
			}
			names = append(names, h.info.ID)
		}
	}
	return names
}

// adviceRequest is a request for a waiting step, found during a placement pass.
type adviceRequest struct {
	step   *step
	wanted func(*host) bool
}

// sendAdviceRequests sends the requests collected in one pass. Urgent steps come
// first. The other pools rotate, so that a pool without free capacity doesn't keep
// the policy service from serving another pool.
func (c *Core) sendAdviceRequests() {
	pools := slices.Sorted(maps.Keys(c.pools))
	c.adviceTurn++
	rank := func(q adviceRequest) int {
		job := q.step.occurrence.job
		if job.queue.Priority == 0 {
			return -1
		}
		at, _ := slices.BinarySearch(pools, job.queue.Pool)
		return (at + c.adviceTurn) % max(len(pools), 1)
	}
	slices.SortStableFunc(c.adviceRequests, func(a, b adviceRequest) int { return cmp.Compare(rank(a), rank(b)) })
	for _, q := range c.adviceRequests {
		c.requestAdvice(q.step, q.wanted)
	}
	clear(c.adviceRequests)
	c.adviceRequests = c.adviceRequests[:0]
}

// eligible reports whether the step's tasks could ever run on the worker.
func (c *Core) eligible(s *step, h *host) bool {
	return h.listed && h.drainingSince == 0 && s.def.ReservedSize().FitsIn(h.info.Capacity) && h.hasLabel(s.def.Requires)
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

func (c *Core) adviceAnswered(ev AdviceAnswered) {
	s := c.findStep(ev.Step)
	if s == nil {
		return
	}
	a := &s.advice
	a.inFlight = false
	if ev.Failed {
		c.reasons["advice-failed"]++
		a.notBefore = c.now + adviceRetry
		return
	}
	if a.answers == nil {
		a.answers, a.tickets = make(map[string]adviceAnswer, len(ev.Asked)), make(map[*host]ticket, len(ev.Approvals.Approved))
	}
	for _, id := range ev.Asked {
		denied := adviceAnswer{}
		if h := c.hosts[id]; h != nil {
			denied.deniedLife = h.info.Born
		}
		a.answers[id] = denied
	}
	validity := ev.Approvals.Validity
	if p := s.occurrence.job.queue.Advice; validity == 0 && p != nil {
		validity = p.Validity
	}
	for _, ok := range ev.Approvals.Approved {
		c.approve(s, ok, validity)
	}
	if len(ev.Approvals.Approved) == 0 {
		a.notBefore = c.now + noApprovalRetry
	}
	c.dirty = true
}

func (c *Core) approve(s *step, ok worker.Approval, validity time.Duration) {
	s.advice.answers[ok.Worker] = adviceAnswer{allowed: true}
	if h := c.hosts[ok.Worker]; h != nil {
		s.advice.tickets[h] = ticket{ok.Ticket, c.now + validity - ticketMargin}
	}
}

// prefetchAdvice requests advice for the steps that depend only on s, once a task
// of s is done.
func (c *Core) prefetchAdvice(s *step) {
	if s.occurrence.job.ended() {
		return
	}
	for _, next := range s.occurrence.steps[s.index+1:] {
		if next.blockers != 1 || next.finished() || next.advice.answers != nil {
			continue
		}
		for _, d := range next.def.DependsOn {
			if d == s.index {
				c.requestAdvice(next, anyHost)
			}
		}
	}
}

func anyHost(*host) bool { return true }
