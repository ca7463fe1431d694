package dispatch

import (
	"fmt"
	"time"
)

// maxProbeTime is how long a probe must run, without an end, for the worker to get any
// work again; maxLongRunningProbeTime is the same for a long-running task, of which no end
// as done is to be expected.
const (
	maxProbeTime            = 6 * time.Second
	maxLongRunningProbeTime = 3 * time.Second
)

// isProbe reports whether the run was started on probation, after the newest quarantine.
func (r *run) isProbe() bool {
	return r.host.health.probing && r.sentAt >= r.host.health.quarantinedUntil
}

// mayProbe reports whether the worker may get a task of the step as far as its probation
// is concerned. The tasks of a gang share one probe, since they start and end together.
func (h *host) mayProbe(s *step) bool {
	if !h.health.probing {
		return true
	}
	for _, r := range h.runs {
		if r.isProbe() && !(s.def.Gang && r.task != nil && r.task.step == s) {
			return false
		}
	}
	return true
}

// checkProbes ends the probation of a worker on which a probe has run for long.
func (c *Core) checkProbes(h *host) {
	if !h.health.probing {
		return
	}
	for _, r := range h.sortedRuns() {
		if r.state != running || !r.isProbe() || r.task == nil {
			continue
		}
		enough := maxProbeTime
		if r.task.step.def.LongRunning {
			enough = maxLongRunningProbeTime
		}
		if lasted := h.clockAt - r.beganAt; lasted >= enough {
			h.health.endProbation()
			c.dirty = true
			c.recordDecision(Decision{Kind: "worker-restored", Worker: h.info.ID, Job: r.taskID.Job,
				Reason: fmt.Sprintf("its probe has run for %d ms", lasted.Milliseconds())})
			return
		}
	}
}
