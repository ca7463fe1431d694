package scheduler

import (
	"slices"
	"time"
)

// health tells whether a worker fails what it starts. A worker on which tasks
// of different workloads failed in a row is put under quarantine; after that it
// gets one task at a time as a probe until one does well.
type health struct {
	// failed holds the workloads that failed in a row, each once; failures
	// counts their tasks, and began is when the first of them failed.
	failed   []string
	failures int
	began    time.Duration
	// until is when the newest quarantine ends; tries counts them.
	until time.Duration
	tries int
	// probing is set from the first quarantine on until a probe does well.
	probing bool
}

// The bounds of a quarantine.
const (
	quarantineFailures  = 4
	quarantineWorkloads = 2
	quarantineFirst     = 30 * time.Second
	quarantineMax       = 16 * quarantineFirst
	// quarantineShare bounds the workers under quarantine, as a divisor of all.
	quarantineShare = 4
	// probeSettled is how long a task must run to speak for its worker.
	probeSettled = 10 * time.Second
)

// failedOn takes note of a failed task on a worker.
func (c *Core) failedOn(w *worker, workload string) {
	h := &w.health
	if h.failures > 0 && !h.probing && c.settledSince(w, h.began) {
		h.succeed()
	}
	if h.failures == 0 {
		h.began = c.now
	}
	h.failures++
	if !slices.Contains(h.failed, workload) {
		h.failed = append(h.failed, workload)
	}
	bad := h.failures >= quarantineFailures && len(h.failed) >= quarantineWorkloads
	if c.now < h.until || !h.probing && (!bad || !c.mayQuarantine()) {
		return
	}
	c.reasons["quarantined"]++
	h.until = c.now + min(quarantineFirst<<min(h.tries, 8), quarantineMax)
	h.tries++
	h.probing = true
}

// mayQuarantine reports whether few enough workers are under quarantine.
func (c *Core) mayQuarantine() bool {
	n := 0
	for _, name := range c.order {
		if c.workers[name].health.probing {
			n++
		}
	}
	return n <= len(c.order)/quarantineShare
}

// settledSince reports whether a task that was bound after the given time runs well.
func (c *Core) settledSince(w *worker, since time.Duration) bool {
	for _, t := range w.bound {
		if t.state == live && t.boundAt >= since && c.now-t.boundAt >= probeSettled {
			return true
		}
	}
	return false
}

// succeed takes note of a task that did well.
func (h *health) succeed() { *h = health{} }

// judgeProbe lifts the quarantine when a probe has run for long enough.
func (c *Core) judgeProbe(w *worker) {
	if w.health.probing && c.now >= w.health.until && c.settledSince(w, w.health.until) {
		w.health.succeed()
	}
}

// probeUnder reports whether a probe is under way.
func (c *Core) probeUnder(w *worker) bool {
	if !w.health.probing {
		return false
	}
	for _, t := range w.bound {
		if t.boundAt >= w.health.until {
			return true
		}
	}
	return false
}
