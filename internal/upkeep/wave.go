package upkeep

import (
	"slices"
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
)

// wave is an open wave. It is forgotten when its status is recorded as completed.
type wave struct {
	worker.Wave
	// since is when it was first known, by any holder.
	since time.Duration
	// done machines have begun their upkeep.
	done map[string]bool
	// doubtful machines may have had an order of a former holder.
	doubtful map[string]bool
	// notBefore is when a machine may be begun with again.
	notBefore map[string]time.Duration
	// nextBegin spreads the machines over the wave's time.
	nextBegin time.Duration
	running   bool
	finished  bool
}

const (
	// spareShare of a wave's time is left for what goes wrong.
	spareShare = 0.25
	// clearTime is what an evacuation is expected to take beside a stop.
	clearTime = 2 * time.Second
	// mostClearing bounds how long an evacuation waits for work to end by itself.
	mostClearing = 20 * time.Second
	// downGrace is how long a machine that is down without an order counts as down.
	downGrace = 15 * time.Second
)

func (c *Core) asked(ev WaveAsked) {
	if slices.Contains(c.restoring.Completed, ev.Wave.Number) {
		return
	}
	names := slices.Clone(ev.Wave.Machines)
	sort.Strings(names)
	ev.Wave.Machines = slices.Compact(names)
	if old := c.waves[ev.Wave.Number]; old != nil {
		old.Wave = ev.Wave
		old.finished = false
		return
	}
	w := &wave{Wave: ev.Wave, since: ev.Since, done: map[string]bool{}, doubtful: map[string]bool{}, notBefore: map[string]time.Duration{}}
	c.waves[w.Number] = w
	if c.restored {
		c.restore(w)
	}
}

func (c *Core) dropWave(number int64) {
	w := c.waves[number]
	if w == nil {
		return
	}
	delete(c.waves, number)
	for _, m := range c.sortedMachines() {
		if m.errand != nil && m.errand.wave == w && !m.errand.out() {
			c.drop(m)
		}
	}
}

// restore takes in what former holders have recorded of a wave.
func (c *Core) restore(w *wave) {
	if slices.Contains(c.restoring.Completed, w.Number) {
		delete(c.waves, w.Number)
		return
	}
	for _, p := range c.restoring.Progress {
		if p.Wave != w.Number {
			continue
		}
		w.running = true
		if ago := time.Duration(c.wall-p.SinceMillis) * time.Millisecond; p.SinceMillis > 0 && ago > 0 {
			w.since = min(w.since, c.now-ago)
		}
		for _, name := range p.Done {
			w.done[name] = true
		}
		for _, name := range p.Ordered {
			w.doubtful[name] = !w.done[name]
		}
	}
}

// progress is what is recorded of the wave.
func (w *wave) progress(c *Core) Progress {
	p := Progress{Wave: w.Number, SinceMillis: c.wall - (c.now - w.since).Milliseconds()}
	for _, name := range w.Machines {
		m := c.machines[name]
		switch {
		case w.done[name]:
			p.Done = append(p.Done, name)
		case w.doubtful[name], m != nil && m.errand != nil && m.errand.wave == w && (m.errand.out() || m.errand.phase > clearing):
			p.Ordered = append(p.Ordered, name)
		}
	}
	return p
}

// isDown reports whether a machine counts against the bound of a wave.
func (c *Core) isDown(w *wave, name string) bool {
	m := c.machines[name]
	if m == nil || !m.present && m.errand == nil {
		return w.doubtful[name] && !(m != nil && c.gone(m))
	}
	switch {
	case m.errand.out():
		return true
	case w.doubtful[name]:
		return true
	case m.State == worker.MachineDown:
		return c.now-m.downFrom < downGrace
	}
	return m.State != worker.MachineUp && m.present
}

// roomFor reports whether one more machine of the wave may go down.
func (c *Core) roomFor(w *wave, m *machine) bool {
	n := 0
	for _, name := range w.Machines {
		if name != m.Name && c.isDown(w, name) {
			n++
		}
	}
	return n < max(w.Most, 1)
}

// pursue begins what is due for a wave, and completes it.
func (c *Core) pursue(w *wave) {
	if w.finished {
		return
	}
	if !w.running {
		w.running = true
		c.records.status[w.Number] = false
		c.records.waves[w.Number] = true
	}
	if c.complete(w) {
		w.finished = true
		c.records.status[w.Number] = true
		return
	}
	c.resumeDoubtful(w)
	for c.beginNext(w) {
	}
}

// complete reports whether every machine that stays has begun its upkeep and is back.
func (c *Core) complete(w *wave) bool {
	for _, name := range w.Machines {
		m := c.machine(name)
		if c.gone(m) {
			continue
		}
		if !m.present || !w.done[name] || m.errand != nil || m.State == worker.MachineUpkeep || m.State == worker.MachineMoving {
			return false
		}
	}
	return true
}

// resumeDoubtful goes on with machines that a former holder may have ordered.
func (c *Core) resumeDoubtful(w *wave) {
	for _, name := range w.Machines {
		m := c.machines[name]
		if !w.doubtful[name] || m == nil || !m.present || m.errand != nil {
			continue
		}
		delete(w.doubtful, name)
		c.begin(m, &errand{wave: w, by: c.now + c.set.StopTimeout + clearTime, doubt: true})
		if m.State == worker.MachineUpkeep {
			c.carriedOut(m)
			m.errand.left = true
		}
	}
}

// beginNext begins with one more machine, and reports whether it did.
func (c *Core) beginNext(w *wave) bool {
	left, taken := 0, 0
	var next *machine
	for _, name := range w.Machines {
		m := c.machine(name)
		ours := m.errand != nil && m.errand.wave == w
		if ours || c.isDown(w, name) {
			taken++
		}
		if w.done[name] || c.gone(m) {
			continue
		}
		left++
		if next == nil && m.present && m.errand == nil && m.State == worker.MachineUp && c.now >= w.notBefore[name] {
			next = m
		}
	}
	gap := c.gap(w, left)
	most := max(w.Most, 1)
	if gap == 0 {
		most *= 2 // the next ones are cleared while others are down
	}
	if next == nil || taken >= most || c.now < w.nextBegin && gap > 0 {
		return false
	}
	w.nextBegin = c.now + gap
	by := c.now + min(max(gap*time.Duration(max(w.Most, 1)), c.set.StopTimeout+clearTime), mostClearing)
	c.begin(next, &errand{wave: w, by: by})
	return true
}

// gap returns the time between the begins with two machines, 0 if it is urgent.
func (c *Core) gap(w *wave, left int) time.Duration {
	if left == 0 {
		return 0
	}
	most := max(w.Most, 1)
	rounds := (left + most - 1) / most
	need := time.Duration(rounds) * (c.set.UpkeepTime + c.set.StopTimeout + clearTime + 2*listBusy)
	target := w.since + time.Duration(float64(w.Duration)*(1-spareShare))
	return max(0, target-c.now-need) / time.Duration(left)
}
