package dispatch

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// toldWait is what was last decided of why a step waits.
type toldWait struct {
	at     time.Duration
	reason string
}

const (
	// waitBefore is how long a step waits before it is told why.
	waitBefore = time.Second
	// waitAgain is how often the reason is looked at again; only a change is told.
	waitAgain = 3 * time.Second
)

// The reasons for which tasks wait, beside those of single workers.
const (
	reasonNoQueue  = "queue-unknown"
	reasonTakeover = "takeover"
	reasonBackoff  = "backoff"
	reasonNoWorker = "no-worker"
)

// tellWait decides why a step still waits, if it has waited for long and the
// reason has changed.
func (c *Core) tellWait(s *step) {
	if c.now-s.readyAt < waitBefore || c.now-s.wait.at < waitAgain && s.wait.at != 0 {
		return
	}
	s.wait.at = c.now
	t := s.firstWaiting(c.now)
	if t == nil {
		return // all others run, or their last runs are being stopped
	}
	reason, detail := c.waitReason(t)
	if reason == s.wait.reason {
		return
	}
	s.wait.reason = reason
	needs := ""
	if slices.Contains(refusals, reason) {
		needs = c.needs(s)
	}
	c.decide(Decision{Kind: "job-waits", Job: s.occ.job.def.ID, Task: t.id().String(), Outcome: reason, Reason: detail,
		Needs: needs, Age: c.waited(t)})
}

// needs tells what a step asks for, and how many workers of its pool could give
// a task that if they were empty.
func (c *Core) needs(s *step) string {
	z, able := s.def.Counted(), 0
	for _, h := range c.pools[s.occ.job.queue.Pool] {
		if h.hasLabel(s.def.Requires) && z.Within(h.info.Capacity) {
			able++
		}
	}
	together := ""
	if s.def.Gang {
		together = " at once"
	}
	return fmt.Sprintf("%d tasks%s, each %g cores, %d MiB, %d accelerators; workers large enough: %d", s.def.Count, together,
		float64(z.MilliCPU)/1000, z.MemoryMiB, z.Accelerators, able)
}

// firstWaiting returns a task without a run, one that may start now if there is one.
func (s *step) firstWaiting(now time.Duration) *task {
	var found *task
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.waits(now) {
			return t
		}
		if found == nil && !t.done && len(t.runs) == 0 {
			found = t
		}
	}
	return found
}

// waitReason returns what keeps a task from starting: of the reasons of the
// workers the most frequent, with all of them counted.
func (c *Core) waitReason(t *task) (reason, detail string) {
	j := t.step.occ.job
	switch {
	case !j.known:
		return reasonNoQueue, ""
	case c.barrier && c.isFormer(j):
		return reasonTakeover, "a former holder's runs may be unseen"
	case c.now < t.notBefore:
		return reasonBackoff, strconv.Itoa(t.failures) + " failed attempts"
	}
	pool := c.pools[j.queue.Pool]
	counts := map[string]int{}
	for _, h := range pool {
		counts[c.refusal(t, h)]++
	}
	if len(pool) == 0 {
		return reasonNoWorker, "pool " + j.queue.Pool
	}
	for _, r := range refusals {
		n := counts[r]
		if n == 0 {
			continue
		}
		if detail != "" {
			detail += ", "
		}
		detail += r + " " + strconv.Itoa(n)
		if n > counts[reason] || reason == "" {
			reason = r
		}
	}
	return reason, detail + ", of " + strconv.Itoa(len(pool)) + " workers"
}

// refusals are the reasons for which a worker doesn't get a task, in the order
// in which they are looked at.
var refusals = []string{"unusable", "label", "room", "most-per-worker", "reserved", "probing", "failed-there", "no-ticket", "fits"}

// refusal returns the first reason for which the worker doesn't get the task;
// "fits" is of gangs, whose tasks start together, and of what came up just now.
func (c *Core) refusal(t *task, h *host) string {
	s := t.step
	switch {
	case !c.usable(h):
		return "unusable"
	case !h.hasLabel(s.def.Requires):
		return "label"
	case !s.def.Counted().Within(h.free):
		return "room"
	case s.perWorker != nil && s.perWorker[h] >= s.def.MostPerWorker:
		return "most-per-worker"
	case h.reserved != nil && h.reserved != s:
		return "reserved"
	case h.health.probing && len(h.runs) > 0:
		return "probing"
	case t.avoid == h && c.now < t.avoidUntil:
		return "failed-there"
	}
	if _, ok := c.ticketFor(s, h); !ok {
		return "no-ticket"
	}
	return "fits"
}

// isFormer reports whether a former holder may have started the job.
func (c *Core) isFormer(j *job) bool { return j.offset < c.set.TermOffset || j.def.Unchecked }
