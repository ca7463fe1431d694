package scheduler

import (
	"slices"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/placement"
)

func (g *group) isGang() bool { return g.spec.Kind == configuration.Gang }

// gangState counts a gang's members that still have work to do.
type gangState struct {
	bound int
	// waiting counts all waiting members; ready counts those that may start.
	ready, waiting int
}

func (c *Core) gangState(g *group) gangState {
	var s gangState
	for _, t := range g.members {
		switch {
		case t.isBound():
			s.bound++
		case t.state == waiting:
			s.waiting++
			if c.mayStart(t) {
				s.ready++
			}
		}
	}
	return s
}

// restartBrokenGangs stops the remaining members of gangs that lost one, so that
// they are retried as a whole, and unblocks a gang once none of its members run.
func (c *Core) restartBrokenGangs() {
	for _, g := range c.brokenGangs {
		if c.queue.groups[g.workload] != g {
			continue
		}
		s := c.gangState(g)
		if s.bound == 0 {
			g.stopping, g.moving = false, false
			c.queue.activate(g, placement.GangWaits)
			continue
		}
		if s.ready > 0 && !g.stopping {
			c.reasons["gang-torn"]++
			c.stopGang(g)
		}
	}
	c.brokenGangs = c.brokenGangs[:0]
}

// stopGang has every running member stopped and withdraws starts that were not
// sent.
func (c *Core) stopGang(g *group) {
	g.stopping = true
	for _, t := range g.members {
		w := c.workers[t.worker]
		if !t.isBound() || w == nil {
			continue
		}
		c.markDirty(w)
		unsent := slices.IndexFunc(w.starts, func(s Start) bool { return s.Attempt == t.attempt })
		if unsent < 0 {
			continue
		}
		w.starts = slices.Delete(w.starts, unsent, unsent+1)
		delete(w.assumed, t.attempt)
		c.requeue(t)
	}
}

// placeGang places all members that have work to do, or none.
func (c *Core) placeGang(g *group) {
	if !c.isPossible(g) {
		return
	}
	s := c.gangState(g)
	if s.bound > 0 || s.ready < s.waiting {
		c.blockGang(g, s)
		return
	}
	trial := c.cell.NewTrial()
	rules := c.rulesFor(g)
	nodes := make([]*placement.Node, 0, s.waiting)
	tasks := make([]*task, 0, s.waiting)
	for _, t := range g.members {
		if t.state != waiting {
			continue
		}
		if t.notBefore > c.now {
			trial.Rollback()
			c.blockGroup(g, placement.GangWaits)
			return
		}
		n := trial.Place(c.newRequest(g, t), rules)
		if n == nil {
			trial.Rollback()
			c.handleNoFit(g, t)
			return
		}
		nodes, tasks = append(nodes, n), append(tasks, t)
	}
	size := c.taskSize(g)
	g.clearTasks()
	for i, t := range tasks {
		nodes[i].Unconfirmed++
		c.assume(t, c.workers[nodes[i].Name], g, size)
	}
	c.releaseUnneeded(g)
}

// blockGang blocks a gang until all its members may start.
func (c *Core) blockGang(g *group, s gangState) {
	if s.bound > 0 {
		c.brokenGangs = append(c.brokenGangs, g)
	}
	for _, t := range g.members {
		if t.state == waiting && !c.mayStart(t) {
			c.parkTask(t)
		}
	}
	c.blockGroup(g, placement.GangWaits)
}

// clearTasks removes all tasks from the group's list.
func (g *group) clearTasks() {
	for len(g.tasks) > 0 {
		g.pop()
	}
}
