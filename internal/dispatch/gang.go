package dispatch

import "time"

// gang is the state of a step whose tasks work only together.
type gang struct {
	starts    int64
	failures  int
	failedRun int64
	saved     string
	// number is the run that is being gathered or works; 0 is none.
	number int64
	// gathered is when the first member of the run was started.
	gathered time.Duration
}

// gangGather is how long the members of a run may take to be all started.
const gangGather = 1200 * time.Millisecond

// adopt takes in a run that a former holder has started.
func (g *gang) adopt(number int64, now time.Duration) {
	if number > g.number {
		g.number, g.gathered = number, now
	}
}

// complete reports whether all members of a run are there.
func (g *gang) complete(s *step) bool {
	for i := range s.tasks {
		if len(s.tasks[i].runs) == 0 || s.tasks[i].runs[0].state != running {
			return false
		}
	}
	return true
}

// placeGang starts all members of a gang, or none. It reports whether nothing
// is left to be done.
func (c *Core) placeGang(s *step) bool {
	live := 0
	for i := range s.tasks {
		if len(s.tasks[i].runs) > 0 {
			live++
		}
	}
	if live > 0 {
		return c.completeGang(s, live)
	}
	for i := range s.tasks {
		if !s.tasks[i].waits(c.now) || c.suspected(&s.tasks[i]) {
			return false
		}
	}
	if !c.window.open() {
		return false
	}
	plan := c.planGang(s)
	if plan == nil {
		return false
	}
	s.gang.number = c.nextRun(&s.tasks[0])
	s.gang.gathered = c.now
	for i, h := range plan {
		t, _ := c.ticketFor(s, h)
		c.start(&s.tasks[i], h, s.gang.number, t)
	}
	return true
}

// planGang returns a worker for each task, or nil. Nothing stays booked.
func (c *Core) planGang(s *step) []*host {
	if s.def.SameRack {
		if plan := c.planRacks(s); plan != nil {
			return plan
		}
		if c.now-s.readyAt < c.remoteLoss(s) {
			return nil
		}
	}
	return c.planWithin(s, nil)
}

// planRacks looks for one rack that holds the whole gang.
func (c *Core) planRacks(s *step) []*host {
	tried := map[string]bool{}
	for _, h := range c.pools[s.occ.job.queue.Pool] {
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

func (c *Core) planWithin(s *step, in func(*host) bool) []*host {
	plan := make([]*host, 0, len(s.tasks))
	size := s.def.Counted()
	for i := range s.tasks {
		h := c.pick(&s.tasks[i], in)
		if h == nil {
			break
		}
		h.free = h.free.Sub(size)
		if s.perWorker != nil {
			s.perWorker[h]++
		}
		plan = append(plan, h)
	}
	for _, h := range plan {
		h.free = h.free.Add(size)
		if s.perWorker != nil {
			if s.perWorker[h]--; s.perWorker[h] == 0 {
				delete(s.perWorker, h)
			}
		}
	}
	if len(plan) < len(s.tasks) {
		return nil
	}
	return plan
}

// completeGang starts members of the present run that could not be started,
// and gives the run up when that takes too long.
func (c *Core) completeGang(s *step, live int) bool {
	if live == len(s.tasks) || s.gang.number == 0 {
		return live == len(s.tasks)
	}
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.number != s.gang.number || r.state == stopping {
				return false // a former run has not ended yet
			}
		}
	}
	if c.now-s.gang.gathered < gangGather && !c.barrier {
		left := live
		for i := range s.tasks {
			t := &s.tasks[i]
			if !t.waits(c.now) || c.suspected(t) {
				continue
			}
			h := c.pick(t, nil)
			if h == nil {
				continue
			}
			tk, _ := c.ticketFor(s, h)
			c.start(t, h, s.gang.number, tk)
			left++
		}
		return left == len(s.tasks)
	}
	for i := range s.tasks {
		for _, r := range append([]*run(nil), s.tasks[i].runs...) {
			c.stopRun(r, "the gang is not complete")
		}
	}
	return false
}

// gangLeft has the other members of a gang's run ended when one is gone.
func (c *Core) gangLeft(r *run) {
	s := r.task.step
	if !s.def.Gang || s.finished() || r.state == starting && !r.doubtful {
		return
	}
	if r.number == s.gang.number {
		s.gang.number = 0
	}
	for i := range s.tasks {
		for _, x := range append([]*run(nil), s.tasks[i].runs...) {
			if x.number == r.number && x.state != stopping {
				c.stopRun(x, "another member of the gang has ended")
			}
		}
	}
}
