package dispatch

import "time"

// gang is the state of a step whose tasks must run at the same time.
type gang struct {
	starts     int64
	failures   int
	failedRun  int64
	crashes    crashHistory
	checkpoint string
	// runNumber is the run that is being started or is running, or 0 if there is none.
	runNumber int64
	// formingSince is when the first member of the run was started.
	formingSince time.Duration
}

// gangStartTimeout bounds the time in which all members of a run must be started.
const gangStartTimeout = 1200 * time.Millisecond

// adopt takes over a run that a previous leader has started.
func (g *gang) adopt(number int64, now time.Duration) {
	if number > g.runNumber {
		g.runNumber, g.formingSince = number, now
	}
}

// complete reports whether all members of the run are running.
func (g *gang) complete(s *step) bool {
	for _, t := range s.tasks.live {
		if len(t.runs) == 0 || t.runs[0].state != running {
			return false
		}
	}
	return len(s.tasks.live) == s.count()
}

// placeGang starts all members of a gang or none. It reports whether nothing is
// left to do.
func (c *Core) placeGang(s *step) bool {
	if live := s.withRuns(); live > 0 {
		return c.completeGang(s, live)
	}
	for t := range s.unfinished() {
		if !t.pending(c.now) || c.mayRunUnseen(t) {
			return false
		}
	}
	if s.tasks.doneCount > 0 || !c.window.hasRoom() || !c.withinLimit(s, s.count()) || !c.mayStart(s, s.unstartedCount()) {
		return false
	}
	plan := c.planGang(s)
	if plan == nil {
		return false
	}
	if !c.openTrial(s.task(0)) {
		return s.occurrence.job.ended()
	}
	s.gang.runNumber = c.nextRunNumber(s.task(0))
	s.gang.formingSince = c.now
	for i, h := range plan {
		t, _ := c.ticketFor(s, h)
		c.startTask(s.task(i), h, s.gang.runNumber, t)
	}
	return true
}

// planGang returns a worker for each task, or nil. It reserves nothing.
func (c *Core) planGang(s *step) []*host {
	if s.def.SameRack {
		if plan := c.planInRack(s); plan != nil {
			return plan
		}
		if c.now-s.readyAt < c.maxLocalityWait(s) {
			return nil
		}
	}
	return c.planWithin(s, nil)
}

// planInRack returns a plan within one rack that fits the whole gang, or nil.
func (c *Core) planInRack(s *step) []*host {
	tried := map[string]bool{}
	for _, h := range c.pools[s.occurrence.job.queue.Pool] {
		rack := h.info.Rack()
		if tried[rack] {
			continue
		}
		tried[rack] = true
		if plan := c.planWithin(s, func(x *host) bool { return x.info.Rack() == rack }); plan != nil {
			return plan
		}
	}
	return nil
}

func (c *Core) planWithin(s *step, allowed func(*host) bool) []*host {
	plan := make([]*host, 0, s.count())
	size := s.def.ReservedSize()
	for i := range s.count() {
		h := c.pickHost(s.task(i), allowed)
		if h == nil {
			break
		}
		h.free = h.free.Sub(size)
		if s.runsPerWorker != nil {
			s.runsPerWorker[h]++
		}
		plan = append(plan, h)
	}
	for _, h := range plan {
		h.free = h.free.Add(size)
		if s.runsPerWorker != nil {
			if s.runsPerWorker[h]--; s.runsPerWorker[h] == 0 {
				delete(s.runsPerWorker, h)
			}
		}
	}
	if len(plan) < s.count() {
		return nil
	}
	return plan
}

// completeGang starts the members of the current run that are still missing, and
// stops the run if that takes too long.
func (c *Core) completeGang(s *step, live int) bool {
	if live == s.count() || s.gang.runNumber == 0 {
		return live == s.count()
	}
	for _, r := range s.liveRuns() {
		if r.number != s.gang.runNumber || r.state == stopping {
			return false // an earlier run has not ended yet
		}
	}
	if c.now-s.gang.formingSince < gangStartTimeout && !c.barrier {
		started := live
		for t := range s.unfinished() {
			if !t.pending(c.now) || c.mayRunUnseen(t) {
				continue
			}
			if !c.withinLimit(s, 1) {
				continue
			}
			h := c.pickHost(t, nil)
			if h == nil {
				continue
			}
			tk, _ := c.ticketFor(s, h)
			c.startTask(t, h, s.gang.runNumber, tk)
			started++
		}
		return started == s.count()
	}
	for _, r := range s.liveRuns() {
		c.stopRun(r, "the gang is not complete")
	}
	return false
}

// stopGangPeers stops the other members of a gang's run after one has ended.
func (c *Core) stopGangPeers(r *run) {
	s := r.task.step
	if !s.def.Gang || s.finished() || r.state == starting && !r.unconfirmed {
		return
	}
	if r.number == s.gang.runNumber {
		s.gang.runNumber = 0
	}
	for _, x := range s.liveRuns() {
		if x.number == r.number && x.state != stopping {
			c.stopRun(x, "another member of the gang has ended")
		}
	}
}
