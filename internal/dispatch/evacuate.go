package dispatch

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Evacuate keeps new work off a worker whose machine is due for maintenance or a
// move to another pool, and moves its runs away. Runs that can finish before
// Deadline may do so.
type Evacuate struct {
	Worker   string
	Deadline time.Duration
}

// EndEvacuation ends the evacuation of a worker.
type EndEvacuation struct{ Worker string }

// IncarnationEnded reports that nothing runs any longer on the worker's
// incarnations up to Born.
type IncarnationEnded struct {
	Worker string
	Born   int64
}

func (Evacuate) event()         {}
func (EndEvacuation) event()    {}
func (IncarnationEnded) event() {}

// evacuation is the evacuation of a worker. It applies to all its incarnations.
type evacuation struct{ since, deadline time.Duration }

const (
	// evacuationInterval is how often workers under evacuation are checked.
	evacuationInterval = 100 * time.Millisecond
	// evacuationCapacityWait is how long a long-running task stays while no other
	// worker has free capacity for it.
	evacuationCapacityWait = 3 * time.Second
	// evacuationCause is reported for the runs that are stopped.
	evacuationCause = "its worker's machine is to be taken away"
)

func (c *Core) evacuate(ev Evacuate) {
	if c.evacuations == nil {
		c.evacuations = map[string]*evacuation{}
	}
	e := c.evacuations[ev.Worker]
	if e == nil {
		e = &evacuation{since: c.now}
		c.evacuations[ev.Worker] = e
		c.recordDecision(Decision{Kind: "worker-evacuating", Worker: ev.Worker})
	}
	e.deadline = ev.Deadline
}

func (c *Core) endEvacuation(id string) {
	delete(c.evacuations, id)
	c.dirty = true
}

func (c *Core) incarnationEnded(ev IncarnationEnded) {
	if h := c.hosts[ev.Worker]; h != nil && h.info.Born == ev.Born {
		c.endIncarnation(h, lossDeparture, "its machine was taken away")
	}
}

// evacuateHosts stops the runs that must leave workers under evacuation.
func (c *Core) evacuateHosts() {
	if len(c.evacuations) == 0 || c.now < c.nextEvacuation || !c.leadershipConfirmed() {
		return
	}
	c.nextEvacuation = c.now + evacuationInterval
	for _, h := range c.sortedHosts {
		if e := c.evacuations[h.info.ID]; e != nil && len(h.runs) > 0 {
			c.evacuateHost(h, e)
		}
	}
}

func (c *Core) evacuateHost(h *host, e *evacuation) {
	clearAll := c.shouldClear(h, e)
	for _, r := range h.sortedRuns() {
		if r.task == nil || r.state != running {
			continue
		}
		d := r.task.step.def
		switch {
		case d.LongRunning && d.DisruptionBudget > 0:
			if c.mayDisrupt(r, e) {
				c.stopRun(r, evacuationCause)
			}
		case d.LongRunning || d.Checkpointing:
			if clearAll {
				c.moveRun(r, evacuationCause)
			}
		case !c.finishesBy(r, e.deadline):
			c.moveRun(r, evacuationCause) // its work is lost in any case
		}
	}
}

// shouldClear reports whether the remaining runs of the worker are to be stopped
// too: the runs that are waited for have left it, or the deadline is near.
func (c *Core) shouldClear(h *host, e *evacuation) bool {
	if c.now >= e.deadline-c.set.StopTimeout-leaveMargin {
		return true
	}
	for _, r := range h.runs {
		if r.task == nil || r.state == stopping {
			continue
		}
		d := r.task.step.def
		if d.LongRunning && d.DisruptionBudget > 0 || !d.LongRunning && !d.Checkpointing {
			return false
		}
	}
	return true
}

// finishesBy reports whether the run is expected to finish by the deadline.
func (c *Core) finishesBy(r *run, deadline time.Duration) bool {
	if r.percent > r.startPercent {
		return c.now+c.remainingTime(r) <= deadline
	}
	return max(c.now, r.beganAt+c.expectedTime(r.task.step)) <= deadline
}

// mayDisrupt reports whether the run of a long-running task may be stopped: fewer
// of the step's other tasks than its disruption budget are unavailable for any
// reason.
func (c *Core) mayDisrupt(r *run, e *evacuation) bool {
	s := r.task.step
	unavailable := s.unstartedCount()
	for _, t := range s.tasks.live {
		if t != r.task && !c.available(t) {
			unavailable++
		}
	}
	if unavailable >= s.def.DisruptionBudget {
		c.reasons["evacuation-waits-for-budget"]++
		return false
	}
	return c.now-e.since >= evacuationCapacityWait || c.pickOtherHost(r.task, r.host) != nil
}

// available reports whether a long-running task is certain to be working. A run
// that was adopted may have been stopped by a previous leader, so it doesn't count
// until the time that a stop may take has passed.
func (c *Core) available(t *task) bool {
	for _, r := range t.runs {
		h := r.host
		if r.state == running && r.percent >= 100 && h.fenced && h.unanswered == 0 &&
			c.now-h.lastContact < maxContactAge && c.now-r.beganAt >= c.set.StopTimeout {
			return true
		}
	}
	return false
}

// Evacuated reports whether a worker under evacuation no longer runs anything that
// must not be interrupted. Each worker is judged independently of the others.
func (c *Core) Evacuated(id string) bool {
	e := c.evacuations[id]
	if e == nil {
		return false
	}
	h := c.hosts[id]
	if h == nil {
		return true
	}
	if h.inherited && !h.fenced {
		return false // runs of a previous leader there aren't known yet
	}
	for _, r := range h.runs {
		if r.task == nil {
			continue
		}
		if d := r.task.step.def; d.LongRunning && d.DisruptionBudget > 0 && !r.task.step.occurrence.job.ended() {
			return false
		}
	}
	return len(h.runs) == 0 || c.now >= e.deadline+c.set.StopTimeout
}

// Idle reports whether it is certain that nothing runs on a worker.
func (c *Core) Idle(id string) bool {
	h := c.hosts[id]
	return h != nil && h.fenced && len(h.runs) == 0
}

// Shortage describes tasks of a pool that wait for free capacity.
type Shortage struct {
	Pool     string
	Requires string
	Size     workflow.Size
}

// maxShortageChecks bounds the steps of one kind that are checked for a shortage.
const maxShortageChecks = 8

// Shortages returns the kinds of tasks that have waited for capacity for at least
// minWait, the most urgent first.
func (c *Core) Shortages(minWait time.Duration) []Shortage {
	var out []Shortage
	type kind struct{ pool, requires string }
	seen, checked := map[kind]bool{}, map[kind]int{}
	for _, s := range c.waitingSteps {
		j := s.occurrence.job
		k := kind{j.queue.Pool, s.def.Requires}
		if seen[k] || j.ended() || !j.queueKnown || c.barrier || c.pastHorizon(j) {
			continue
		}
		t := s.firstPendingTask(c.now)
		if t == nil || !t.pending(c.now) || c.waitTime(t) < minWait || c.mayRunUnseen(t) || checked[k] >= maxShortageChecks {
			continue
		}
		if checked[k]++; !c.lacksOnlyCapacity(t) {
			continue
		}
		seen[k] = true
		out = append(out, Shortage{Pool: k.pool, Requires: k.requires, Size: s.def.ReservedSize()})
	}
	return out
}

// lacksOnlyCapacity reports whether the task lacks nothing but free capacity or a
// worker.
func (c *Core) lacksOnlyCapacity(t *task) bool {
	for _, h := range c.pools[t.step.occurrence.job.queue.Pool] {
		switch c.refusal(t, h) {
		case "fits":
			if !t.step.def.Gang {
				return false
			}
		case "most-per-worker", "probing", "failed-there", "kept-apart", "no-ticket":
			return false
		}
	}
	return true
}
