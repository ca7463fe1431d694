package dispatch

import (
	"fmt"
	"sort"
	"time"
)

const (
	// leaveMargin is how long before a draining worker leaves its tasks are stopped.
	leaveMargin = 300 * time.Millisecond
	// watchEvery is how often runs are looked at.
	watchEvery = 200 * time.Millisecond
	// stallTime is how long a run may show no progress before it is moved.
	stallTime = 1500 * time.Millisecond
	// stallPercents is how many percents' time may pass without progress.
	stallPercents = 4
	// stallsToIsolate is how many stalled runs keep new work off a worker.
	stallsToIsolate = 2
	// settleElapsed is how long a run must have lasted before its speed is judged.
	settleElapsed = 800 * time.Millisecond
	// moveGain is how many times longer a run must be expected to take than a
	// new start elsewhere before it is moved; copyGain before it is copied.
	moveGain, copyGain = 2.5, 1.5
	// moveCost is the time that a move takes beside the stop.
	moveCost = 300 * time.Millisecond
	// stallAvoid is how long a task isn't sent back to where it stalled.
	stallAvoid = 4 * time.Second
	// typicalSamples is how many tasks of a step tell how long they take.
	typicalSamples = 3
	// maxCopies bounds the live runs of a speculative task.
	maxCopies = 2
	// speedShare is the weight of the newest run in a worker's speed.
	speedShare = 0.15
	// leastSpeed and mostSpeed bound what one run says of a worker's speed.
	leastSpeed, mostSpeed = 0.1, 3
)

// watchRuns looks for runs that don't get on, and has them done elsewhere.
func (c *Core) watchRuns() {
	if c.now < c.watchAt || !c.mayOrder() {
		return
	}
	c.watchAt = c.now + watchEvery
	for _, h := range c.order {
		if len(h.runs) == 0 || h.lost() || h.silence != silenceNone {
			continue
		}
		stalled := 0
		for _, r := range h.sortedRuns() {
			if c.watchRun(r) {
				stalled++
			}
		}
		if stalled >= stallsToIsolate {
			h.health.isolate(c.now)
			c.round++
			c.decide(Decision{Kind: "worker-isolated", Worker: h.info.ID, Reason: "its tasks stand still"})
		}
	}
}

// watchRun moves or copies a run that stalls or is slow; it reports a stall.
func (c *Core) watchRun(r *run) bool {
	t := r.task
	if t == nil || r.state != running || t.done || t.step.def.LongRunning || t.step.def.Filler || r.pace.percent < fullPace {
		return false
	}
	s := t.step
	stall := r.stallTime()
	progressed, listed := r.lastProgress()
	if c.now-progressed > stall && listed > progressed+stall/2 && (!s.def.Gang || s.gang.complete(s)) {
		c.moveRun(r, fmt.Sprintf("it shows no progress at %.0f%%", r.percent))
		return true
	}
	if s.def.Gang || c.now-r.beganAt < settleElapsed || r.percent <= r.percentFrom {
		return false
	}
	typical := c.typical(s)
	if typical == 0 {
		return false
	}
	remaining := c.remaining(r)
	again := time.Duration(float64(typical) * r.share(t))
	switch {
	case s.def.Speculative && len(t.runs) < maxCopies && float64(remaining) > copyGain*float64(again):
		c.copyRun(t, r.host)
	case !s.def.Speculative && float64(remaining) > moveGain*float64(again+c.set.StopTimeout+moveCost) && c.elsewhere(t, r.host) != nil:
		c.moveRun(r, "it is slow here")
	}
	return false
}

// lastProgress returns when the run last got on, and when its worker's last list
// came. A gang's members end together, so that one that is through waits for
// those that get on: for a gang it is the last progress and the oldest list of any.
func (r *run) lastProgress() (progressed, listed time.Duration) {
	progressed, listed = r.percentAt, r.host.clockAt
	if !r.task.step.def.Gang {
		return progressed, listed
	}
	for i := range r.task.step.tasks {
		for _, x := range r.task.step.tasks[i].runs {
			progressed, listed = max(progressed, x.percentAt), min(listed, x.host.clockAt)
		}
	}
	return progressed, listed
}

// stallTime is how long the run may show no progress: progress is told in
// whole percents, which of a long task take long.
func (r *run) stallTime() time.Duration {
	percent := time.Duration(r.task.step.def.EstimateMillis) * time.Millisecond / 100
	if r.percent > r.percentFrom {
		percent = max(percent, time.Duration(float64(r.percentAt-r.beganAt)/(r.percent-r.percentFrom)))
	}
	return max(stallTime, stallPercents*percent)
}

// share is the part of a task's work that a new start elsewhere would have to do.
func (r *run) share(t *task) float64 {
	if t.step.def.Checkpointing {
		return (100 - r.percent) / 100
	}
	return 1
}

// typical is how long the tasks of a step take from begin to end, by the
// median of those that are done or well on their way; 0 if that isn't known.
func (c *Core) typical(s *step) time.Duration {
	if s.typicalAt == c.now {
		return s.typical
	}
	s.typicalAt, s.typical = c.now, 0
	took := c.times[:0]
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.took > 0 {
			took = append(took, t.took)
			continue
		}
		for _, r := range t.runs {
			if r.state == running && c.now-r.beganAt >= settleElapsed && r.percent > r.percentFrom {
				took = append(took, time.Duration(float64(r.percentAt-r.beganAt)*100/(r.percent-r.percentFrom)))
			}
		}
	}
	c.times = took
	if len(took) >= typicalSamples {
		sort.Slice(took, func(a, b int) bool { return took[a] < took[b] })
		s.typical = took[(len(took)-1)/2]
	}
	return s.typical
}

// remaining is how long a run is expected to go on, by its progress so far.
func (c *Core) remaining(r *run) time.Duration {
	rate := (r.percent - r.percentFrom) / float64(max(r.percentAt-r.beganAt, time.Millisecond))
	return time.Duration((100 - r.percent) / rate)
}

func (c *Core) elsewhere(t *task, not *host) *host {
	return c.pick(t, func(h *host) bool { return h != not })
}

// moveRun stops a run, so that its task is started elsewhere.
func (c *Core) moveRun(r *run, why string) {
	t := r.task
	t.avoid, t.avoidUntil = r.host, c.now+stallAvoid
	if !t.step.def.Gang {
		if t.step.def.Speculative && len(t.runs) < maxCopies && c.copyRun(t, r.host) {
			return
		}
		c.stopRun(r, why)
		return
	}
	for i := range t.step.tasks {
		for _, x := range append([]*run(nil), t.step.tasks[i].runs...) {
			c.stopRun(x, why)
		}
	}
}

// copyRun starts a second run of a speculative task.
func (c *Core) copyRun(t *task, not *host) bool {
	h := c.elsewhere(t, not)
	if h == nil {
		return false
	}
	ticket, _ := c.ticketFor(t.step, h)
	c.start(t, h, c.nextRun(t), ticket)
	c.reasons["run-copied"]++
	return true
}

// learn takes note of how fast the worker was in a run that ended as done.
func (c *Core) learn(r *run) {
	if r.task == nil || r.task.step.def.Gang || r.task.step.def.Filler || r.task.step.def.EstimateMillis == 0 {
		return
	}
	share := (100 - r.percentFrom) / 100
	took := float64((c.now - r.beganAt).Milliseconds())
	if took <= 0 || share <= 0 {
		return
	}
	r.task.took = time.Duration(took/share) * time.Millisecond
	speed := min(max(share*float64(r.task.step.def.EstimateMillis)/took, leastSpeed), mostSpeed)
	h := r.host
	if h.speed == 0 {
		h.speed = 1
	}
	h.speed += speedShare * (speed - h.speed)
}

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
