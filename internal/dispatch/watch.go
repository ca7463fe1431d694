package dispatch

import "time"

const (
	// leaveMargin is how long before a draining worker leaves its tasks are stopped.
	leaveMargin = 300 * time.Millisecond
)

// watchRuns looks for runs that don't get on.
func (c *Core) watchRuns() {}

// learn takes note of a run that ended as done.
func (c *Core) learn(*run) {}

// drainHosts moves work off workers that are about to leave.
func (c *Core) drainHosts() {
	for _, h := range c.order {
		if h.draining == 0 || len(h.runs) == 0 {
			continue
		}
		for _, r := range h.sortedRuns() {
			if r.state == running && r.task != nil && c.shouldMove(r) {
				c.stopRun(r, "the worker is leaving")
			}
		}
	}
}

// shouldMove reports whether a run on a draining worker is better stopped now.
func (c *Core) shouldMove(r *run) bool {
	h := r.host
	if r.task.step.def.LongRunning {
		return true
	}
	if !h.leaves {
		return false
	}
	left := h.leavesAt - c.now
	if r.task.step.def.Checkpointing {
		return left < c.set.StopTimeout+leaveMargin
	}
	return false
}
