package dispatch

import (
	"fmt"
	"sort"
	"time"
)

const (
	// leaveMargin is how long before the departure of a draining worker its tasks are
	// stopped.
	leaveMargin = 300 * time.Millisecond
	// runCheckInterval is how often runs are checked.
	runCheckInterval = 200 * time.Millisecond
	// minStallTime is the least time without progress after which a run is moved.
	minStallTime = 1500 * time.Millisecond
	// stallPercents is the number of percent steps whose usual time may pass
	// without progress.
	stallPercents = 4
	// stallsToQuarantine is how many stalled runs cause a worker to be quarantined.
	stallsToQuarantine = 2
	// minJudgedRunTime is how long a run must have lasted before its speed is judged.
	minJudgedRunTime = 800 * time.Millisecond
	// A run is moved if it is expected to take more than moveGain times as long as
	// a new start elsewhere, and copied if more than copyGain times as long.
	moveGain, copyGain = 2.5, 1.5
	// moveCost is the time that a move takes in addition to the stop.
	moveCost = 300 * time.Millisecond
	// stalledHostAvoidTime is how long a task isn't sent back to the worker where it
	// stalled.
	stalledHostAvoidTime = 4 * time.Second
	// minTypicalSamples is how many tasks of a step are needed to tell how long its
	// tasks take.
	minTypicalSamples = 3
	// maxLiveCopies bounds the live runs of a speculative task.
	maxLiveCopies = 2
	// speedGain is the weight of the newest run in a worker's speed.
	speedGain = 0.15
	// minSpeed and maxSpeed bound the speed taken from one run.
	minSpeed, maxSpeed = 0.1, 3
)

// checkRuns looks for runs that stall or are slow, and moves or copies them.
func (c *Core) checkRuns() {
	if c.now < c.nextRunCheck || !c.leadershipConfirmed() {
		return
	}
	c.nextRunCheck = c.now + runCheckInterval
	for _, h := range c.sortedHosts {
		if len(h.runs) == 0 || h.contactLost() || h.contact != contactNormal && !c.isLeaving(h) {
			continue
		}
		c.checkProbes(h)
		stalled := 0
		for _, r := range h.sortedRuns() {
			if c.checkRun(r) {
				stalled++
			}
		}
		if stalled >= stallsToQuarantine {
			c.isolate(h, "", "its tasks stand still")
			c.round++
		}
	}
}

// checkRun moves or copies a run that stalls or is slow. It reports whether the run
// stalls.
func (c *Core) checkRun(r *run) bool {
	t := r.task
	if t == nil || r.state != running || t.done || t.step.def.LongRunning || t.step.def.Filler || r.pace.percent < fullPace {
		return false
	}
	s := t.step
	stall := c.stallTime(r)
	progressed, listed := r.lastProgress()
	if c.now-progressed > stall && listed > progressed+stall/2 && (!s.def.Gang || s.gang.complete(s)) {
		c.moveRun(r, fmt.Sprintf("it shows no progress at %.0f%%", r.percent))
		return true
	}
	if s.def.Gang || c.now-r.beganAt < minJudgedRunTime || r.percent <= r.startPercent {
		return false
	}
	typical := c.typicalTime(s)
	if typical == 0 {
		return false
	}
	remaining := c.remainingTime(r)
	again := time.Duration(float64(typical) * r.restartShare(t))
	switch {
	case s.def.Speculative && len(t.runs) < maxLiveCopies && float64(remaining) > copyGain*float64(again):
		c.copyRun(t, r.host)
	case !s.def.Speculative && float64(remaining) > moveGain*float64(again+c.set.StopTimeout+moveCost) && c.pickOtherHost(t, r.host) != nil:
		c.moveRun(r, "it is slow here")
	}
	return false
}

// lastProgress returns when the run last made progress, and when its worker's last
// list arrived. The members of a gang end together, so a member that is finished
// waits for the others. For a gang, the latest progress and the oldest list of any
// member count.
func (r *run) lastProgress() (progressed, listed time.Duration) {
	progressed, listed = r.progressAt, r.host.clockAt
	if !r.task.step.def.Gang {
		return progressed, listed
	}
	for _, x := range r.task.step.liveRuns() {
		progressed, listed = max(progressed, x.progressAt), min(listed, x.host.clockAt)
	}
	return progressed, listed
}

// stallTime returns how long the run may make no progress. Progress is reported in
// whole percents, each of which takes long in a long task.
func (c *Core) stallTime(r *run) time.Duration {
	percent := c.expectedTime(r.task.step) / 100
	if r.percent > r.startPercent {
		percent = max(percent, time.Duration(float64(r.progressAt-r.beganAt)/(r.percent-r.startPercent)))
	}
	return max(minStallTime, stallPercents*percent)
}

// restartShare is the fraction of a task's work that a new start elsewhere would
// have to do.
func (r *run) restartShare(t *task) float64 {
	if t.step.def.Checkpointing {
		return (100 - r.percent) / 100
	}
	return 1
}

// typicalTime returns how long the tasks of a step take from start to end: the
// median of those that are done or well under way, or 0 if it isn't known.
func (c *Core) typicalTime(s *step) time.Duration {
	if s.typicalAt == c.now {
		return s.typical
	}
	s.typicalAt, s.typical = c.now, 0
	took := append(c.durations[:0], s.tasks.runTimes...)
	for _, t := range s.tasks.live {
		if t.runTime > 0 {
			continue
		}
		for _, r := range t.runs {
			if r.state == running && c.now-r.beganAt >= minJudgedRunTime && r.percent > r.startPercent {
				took = append(took, time.Duration(float64(r.progressAt-r.beganAt)*100/(r.percent-r.startPercent)))
			}
		}
	}
	c.durations = took
	if len(took) >= minTypicalSamples {
		sort.Slice(took, func(a, b int) bool { return took[a] < took[b] })
		s.typical = took[(len(took)-1)/2]
	}
	return s.typical
}

// remainingTime returns how long a run is expected to go on, judged by its progress
// so far.
func (c *Core) remainingTime(r *run) time.Duration {
	rate := (r.percent - r.startPercent) / float64(max(r.progressAt-r.beganAt, time.Millisecond))
	return time.Duration((100 - r.percent) / rate)
}

func (c *Core) pickOtherHost(t *task, exclude *host) *host {
	return c.pickHost(t, func(h *host) bool { return h != exclude })
}

// moveRun stops a run so that its task is started elsewhere. A speculative task is
// copied instead if possible. For a gang, all members are stopped.
func (c *Core) moveRun(r *run, reason string) {
	t := r.task
	t.avoidHost, t.avoidUntil = r.host, c.now+stalledHostAvoidTime
	if !t.step.def.Gang {
		if t.step.def.Speculative && len(t.runs) < maxLiveCopies && c.copyRun(t, r.host) {
			return
		}
		c.stopRun(r, reason)
		return
	}
	for _, x := range t.step.liveRuns() {
		c.stopRun(x, reason)
	}
}

// copyRun starts a second run of a speculative task, unless a worker has crashed
// under it.
func (c *Core) copyRun(t *task, exclude *host) bool {
	if t.crashHistory().suspicion() > 0 || !c.withinLimit(t.step, 1) {
		return false
	}
	h := c.pickOtherHost(t, exclude)
	if h == nil {
		return false
	}
	ticket, _ := c.ticketFor(t.step, h)
	c.startTask(t, h, c.nextRunNumber(t), ticket)
	c.reasons["run-copied"]++
	return true
}

// updateSpeed updates the worker's speed from a run that is done.
func (c *Core) updateSpeed(r *run) {
	if r.task == nil || r.task.step.def.Gang || r.task.step.def.Filler || r.task.step.def.EstimateMillis == 0 {
		return
	}
	share := (100 - r.startPercent) / 100
	took := float64((c.now - r.beganAt).Milliseconds())
	if took <= 0 || share <= 0 {
		return
	}
	expected := c.expectedTime(r.task.step)
	r.task.runTime = time.Duration(took/share) * time.Millisecond
	if !r.task.done {
		r.task.step.sampleRunTime(r.task.runTime)
	}
	c.learnRunTime(r, share)
	speed := min(max(share*float64(expected.Milliseconds())/took, minSpeed), maxSpeed)
	h := r.host
	if h.speed == 0 {
		h.speed = 1
	}
	h.speed += speedGain * (speed - h.speed)
	c.runTimes.updatePoolSpeed(h)
}

// drainHosts moves work off workers that are about to leave.
func (c *Core) drainHosts() {
	for _, h := range c.sortedHosts {
		if h.drainingSince == 0 || len(h.runs) == 0 {
			continue
		}
		for _, r := range h.sortedRuns() {
			if r.state == running && r.task != nil && c.shouldMove(r) {
				c.stopRun(r, "the worker is leaving")
			}
		}
	}
}

// shouldMove reports whether a run on a draining worker should be stopped now.
func (c *Core) shouldMove(r *run) bool {
	h := r.host
	if r.task.step.def.LongRunning {
		return true
	}
	if !h.leaveTimeKnown {
		return false
	}
	left := h.leavesAt - c.now
	if r.task.step.def.Checkpointing {
		return left < c.set.StopTimeout+leaveMargin
	}
	return false
}
