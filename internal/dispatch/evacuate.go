package dispatch

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Evacuate keeps new work off a worker, whose machine is to be taken away, and
// moves away what runs there. What can end by itself until By may.
type Evacuate struct {
	Worker string
	By     time.Duration
}

// Resume ends an evacuation.
type Resume struct{ Worker string }

// LifeEnded tells that nothing runs any more on the worker's lives up to Born.
type LifeEnded struct {
	Worker string
	Born   int64
}

func (Evacuate) event()  {}
func (Resume) event()    {}
func (LifeEnded) event() {}

// evacuation is of a worker, whichever its life.
type evacuation struct{ since, by time.Duration }

const (
	// evacuateEvery is how often workers under evacuation are looked at.
	evacuateEvery = 100 * time.Millisecond
	// roomPatience is how long a lasting task stays while there is no room for it elsewhere.
	roomPatience = 3 * time.Second
	// whyEvacuated is told of the runs that are stopped.
	whyEvacuated = "its worker's machine is to be taken away"
)

func (c *Core) evacuate(ev Evacuate) {
	if c.evacuations == nil {
		c.evacuations = map[string]*evacuation{}
	}
	e := c.evacuations[ev.Worker]
	if e == nil {
		e = &evacuation{since: c.now}
		c.evacuations[ev.Worker] = e
		c.decide(Decision{Kind: "worker-evacuating", Worker: ev.Worker})
	}
	e.by = ev.By
}

func (c *Core) resume(id string) {
	delete(c.evacuations, id)
	c.dirty = true
}

func (c *Core) lifeEnded(ev LifeEnded) {
	if h := c.hosts[ev.Worker]; h != nil && h.info.Born <= ev.Born {
		c.endLife(h, "its machine was taken away")
	}
}

// evacuateHosts stops what has to go from workers under evacuation.
func (c *Core) evacuateHosts() {
	if len(c.evacuations) == 0 || c.now < c.evacuateAt || !c.mayOrder() {
		return
	}
	c.evacuateAt = c.now + evacuateEvery
	for _, h := range c.order {
		if e := c.evacuations[h.info.ID]; e != nil && len(h.runs) > 0 {
			c.evacuateHost(h, e)
		}
	}
}

func (c *Core) evacuateHost(h *host, e *evacuation) {
	closing := c.closing(h, e)
	for _, r := range h.sortedRuns() {
		if r.task == nil || r.state != running {
			continue
		}
		d := r.task.step.def
		switch {
		case d.LongRunning && d.DisruptionBudget > 0:
			if c.mayDisrupt(r, e) {
				c.stopRun(r, whyEvacuated)
			}
		case d.LongRunning || d.Checkpointing:
			if closing {
				c.moveRun(r, whyEvacuated)
			}
		case !c.endsBy(r, e.by):
			c.moveRun(r, whyEvacuated) // its work is lost anyway
		}
	}
}

// closing reports whether the worker is left by what is waited for, so that the
// others are to go too.
func (c *Core) closing(h *host, e *evacuation) bool {
	if c.now >= e.by-c.set.StopTimeout-leaveMargin {
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

// endsBy reports whether a run is expected to end by itself until then.
func (c *Core) endsBy(r *run, by time.Duration) bool {
	if r.percent > r.percentFrom {
		return c.now+c.remaining(r) <= by
	}
	estimate := time.Duration(r.task.step.def.EstimateMillis) * time.Millisecond
	return max(c.now, r.beganAt+estimate) <= by
}

// mayDisrupt reports whether the step of a lasting task can do without it: of
// the other tasks fewer than its budget are away for any cause.
func (c *Core) mayDisrupt(r *run, e *evacuation) bool {
	s := r.task.step
	away := 0
	for i := range s.tasks {
		if t := &s.tasks[i]; t != r.task && !c.atWork(t) {
			away++
		}
	}
	if away >= s.def.DisruptionBudget {
		c.reasons["evacuation-waits-for-budget"]++
		return false
	}
	return c.now-e.since >= roomPatience || c.elsewhere(r.task, r.host) != nil
}

// atWork reports whether a lasting task is surely at work. A run that was found
// may be one that a former holder has had stopped, as long as a stop may take.
func (c *Core) atWork(t *task) bool {
	for _, r := range t.runs {
		h := r.host
		if r.state == running && r.percent >= 100 && h.fenced && h.silent == 0 &&
			c.now-h.heardAt < contactBound && c.now-r.beganAt >= c.set.StopTimeout {
			return true
		}
	}
	return false
}

// Evacuated reports whether a worker under evacuation runs nothing any more
// that must not be ended. That is told of each worker for itself.
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
		return false // what a former holder has started there isn't known
	}
	for _, r := range h.runs {
		if r.task == nil {
			continue
		}
		if d := r.task.step.def; d.LongRunning && d.DisruptionBudget > 0 && !r.task.step.occ.job.over() {
			return false
		}
	}
	return len(h.runs) == 0 || c.now >= e.by+c.set.StopTimeout
}

// Idle reports whether surely nothing runs on a worker.
func (c *Core) Idle(id string) bool {
	h := c.hosts[id]
	return h != nil && h.fenced && len(h.runs) == 0
}

// Shortage is work of a pool that waits for room.
type Shortage struct {
	Pool     string
	Requires string
	Size     workflow.Size
}

// mostLooks bounds how many steps of a kind are looked at for a shortage.
const mostLooks = 8

// Shortages returns the kinds of tasks that have waited for room for at least
// so long, the most urgent first.
func (c *Core) Shortages(over time.Duration) []Shortage {
	var out []Shortage
	type kind struct{ pool, requires string }
	seen, looked := map[kind]bool{}, map[kind]int{}
	for _, s := range c.waiting {
		j := s.occ.job
		k := kind{j.queue.Pool, s.def.Requires}
		if seen[k] || j.over() || !j.known || c.barrier || c.hopeless(j) {
			continue
		}
		t := s.firstWaiting(c.now)
		if t == nil || !t.waits(c.now) || c.waited(t) < over || c.suspected(t) || looked[k] >= mostLooks {
			continue
		}
		if looked[k]++; !c.lacksRoom(t) {
			continue
		}
		seen[k] = true
		out = append(out, Shortage{Pool: k.pool, Requires: k.requires, Size: s.def.Counted()})
	}
	return out
}

// lacksRoom reports whether nothing but room, or a worker, is missing.
func (c *Core) lacksRoom(t *task) bool {
	for _, h := range c.pools[t.step.occ.job.queue.Pool] {
		switch c.refusal(t, h) {
		case "fits":
			if !t.step.def.Gang {
				return false
			}
		case "most-per-worker", "probing", "failed-there", "no-ticket":
			return false
		}
	}
	return true
}
