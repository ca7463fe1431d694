package upkeep

import (
	"slices"
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
)

// wave is an open wave. It is deleted when its status is recorded as completed.
type wave struct {
	worker.MaintenanceWave
	// since is when a leader first learned of the wave.
	since time.Duration
	// started machines have begun their maintenance.
	started map[string]bool
	// maybeOrdered machines may have received an order from a previous leader.
	maybeOrdered map[string]bool
	// retryAt is when a machine's operation may start again.
	retryAt map[string]time.Duration
	// nextStart is when the next machine may start; it spreads the machines over the
	// wave's duration.
	nextStart time.Duration
	running   bool
	finished  bool
}

const (
	// slackFraction of a wave's duration is reserved for delays and failures.
	slackFraction = 0.25
	// evacuationTime is the expected duration of an evacuation in addition to a stop.
	evacuationTime = 2 * time.Second
	// maxEvacuationWait bounds how long an evacuation waits for tasks to end on
	// their own.
	maxEvacuationWait = 20 * time.Second
	// unplannedDownTimeout is how long a machine that is down without an order counts
	// against MaxUnavailable.
	unplannedDownTimeout = 15 * time.Second
)

func (c *Core) addWave(ev WaveRequested) {
	if slices.Contains(c.restoredState.Completed, ev.Wave.Number) {
		return
	}
	names := slices.Clone(ev.Wave.Machines)
	sort.Strings(names)
	ev.Wave.Machines = slices.Compact(names)
	if known := c.waves[ev.Wave.Number]; known != nil {
		known.MaintenanceWave = ev.Wave
		known.finished = false
		return
	}
	w := &wave{MaintenanceWave: ev.Wave, since: ev.KnownSince, started: map[string]bool{}, maybeOrdered: map[string]bool{}, retryAt: map[string]time.Duration{}}
	c.waves[w.Number] = w
	if c.restored {
		c.restoreWave(w)
	}
}

func (c *Core) cancelWave(number int64) {
	w := c.waves[number]
	if w == nil {
		return
	}
	delete(c.waves, number)
	for _, m := range c.sortedMachines() {
		if m.operation != nil && m.operation.wave == w && !m.operation.mayBeDown() {
			c.abort(m)
		}
	}
}

// restoreWave applies what previous leaders have recorded of a wave.
func (c *Core) restoreWave(w *wave) {
	if slices.Contains(c.restoredState.Completed, w.Number) {
		delete(c.waves, w.Number)
		return
	}
	for _, p := range c.restoredState.Progress {
		if p.Wave != w.Number {
			continue
		}
		w.running = true
		if age := time.Duration(c.wallMillis-p.SinceMillis) * time.Millisecond; p.SinceMillis > 0 && age > 0 {
			w.since = min(w.since, c.now-age)
		}
		for _, name := range p.Started {
			w.started[name] = true
		}
		for _, name := range p.Ordered {
			w.maybeOrdered[name] = !w.started[name]
		}
	}
}

// progress returns the progress to record for the wave.
func (w *wave) progress(c *Core) WaveProgress {
	p := WaveProgress{Wave: w.Number, SinceMillis: c.wallMillis - (c.now - w.since).Milliseconds()}
	for _, name := range w.Machines {
		m := c.machines[name]
		switch {
		case w.started[name]:
			p.Started = append(p.Started, name)
		case w.maybeOrdered[name], m != nil && m.operation != nil && m.operation.wave == w && (m.operation.mayBeDown() || m.operation.phase > evacuating):
			p.Ordered = append(p.Ordered, name)
		}
	}
	return p
}

// countsAsDown reports whether a machine counts against the wave's MaxUnavailable.
func (c *Core) countsAsDown(w *wave, name string) bool {
	m := c.machines[name]
	if m == nil || !m.listed && m.operation == nil {
		return w.maybeOrdered[name] && !(m != nil && c.isGone(m))
	}
	switch {
	case m.operation.mayBeDown():
		return true
	case w.maybeOrdered[name]:
		return true
	case m.State == worker.MachineDown:
		return c.now-m.downSince < unplannedDownTimeout
	}
	return m.State != worker.MachineUp && m.listed
}

// mayGoDown reports whether the wave's MaxUnavailable allows m to go down.
func (c *Core) mayGoDown(w *wave, m *machine) bool {
	n := 0
	for _, name := range w.Machines {
		if name != m.Name && c.countsAsDown(w, name) {
			n++
		}
	}
	return n < max(w.MaxUnavailable, 1)
}

// advanceWave starts the operations that are due for a wave, and completes the wave.
func (c *Core) advanceWave(w *wave) {
	if w.finished {
		return
	}
	if !w.running {
		w.running = true
		c.records.status[w.Number] = false
		c.records.waves[w.Number] = true
	}
	if c.isComplete(w) {
		w.finished = true
		c.records.status[w.Number] = true
		return
	}
	c.resumeMaybeOrdered(w)
	for c.startNext(w) {
	}
}

// isComplete reports whether every machine that was not removed has begun its
// maintenance and is back.
func (c *Core) isComplete(w *wave) bool {
	for _, name := range w.Machines {
		m := c.machine(name)
		if c.isGone(m) {
			continue
		}
		if !m.listed || !w.started[name] || m.operation != nil || m.State == worker.MachineMaintenance || m.State == worker.MachineMoving {
			return false
		}
	}
	return true
}

// resumeMaybeOrdered continues with the machines for which a previous leader may
// have sent an order.
func (c *Core) resumeMaybeOrdered(w *wave) {
	for _, name := range w.Machines {
		m := c.machines[name]
		if !w.maybeOrdered[name] || m == nil || !m.listed || m.operation != nil {
			continue
		}
		delete(w.maybeOrdered, name)
		c.beginOperation(m, &operation{wave: w, evacuateBy: c.now + c.settings.StopTimeout + evacuationTime, outcomeUnknown: true})
		if m.State == worker.MachineMaintenance {
			c.markStarted(m)
			m.operation.seenAway = true
		}
	}
}

// startNext starts the operation of one more machine, and reports whether it did.
func (c *Core) startNext(w *wave) bool {
	remaining, occupied := 0, 0
	var next *machine
	for _, name := range w.Machines {
		m := c.machine(name)
		inWave := m.operation != nil && m.operation.wave == w
		if inWave || c.countsAsDown(w, name) {
			occupied++
		}
		if w.started[name] || c.isGone(m) {
			continue
		}
		remaining++
		if next == nil && m.listed && m.operation == nil && m.State == worker.MachineUp && c.now >= w.retryAt[name] {
			next = m
		}
	}
	interval := c.startInterval(w, remaining)
	limit := max(w.MaxUnavailable, 1)
	if interval == 0 {
		limit *= 2 // the next machines are evacuated while others are down
	}
	if next == nil || occupied >= limit || c.now < w.nextStart && interval > 0 {
		return false
	}
	w.nextStart = c.now + interval
	evacuateBy := c.now + min(max(interval*time.Duration(max(w.MaxUnavailable, 1)), c.settings.StopTimeout+evacuationTime), maxEvacuationWait)
	c.beginOperation(next, &operation{wave: w, evacuateBy: evacuateBy})
	return true
}

// startInterval returns the time between the starts of two machines, 0 if the wave
// is urgent.
func (c *Core) startInterval(w *wave, remaining int) time.Duration {
	if remaining == 0 {
		return 0
	}
	limit := max(w.MaxUnavailable, 1)
	rounds := (remaining + limit - 1) / limit
	needed := time.Duration(rounds) * (c.settings.MaintenanceTime + c.settings.StopTimeout + evacuationTime + 2*busyListInterval)
	target := w.since + time.Duration(float64(w.Duration)*(1-slackFraction))
	return max(0, target-c.now-needed) / time.Duration(remaining)
}
