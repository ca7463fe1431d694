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
	// ready may start; waiting counts all that wait.
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

// mendGangs stops what is left of gangs that lost a member, so that they are
// retried whole, and lets them through once nothing of them runs.
func (c *Core) mendGangs() {
	for _, g := range c.torn {
		if c.queue.groups[g.workload] != g {
			continue
		}
		s := c.gangState(g)
		if s.bound == 0 {
			g.stopping, g.parting = false, false
			c.queue.activate(g, placement.GangWaits)
			continue
		}
		if s.ready > 0 && !g.stopping {
			c.reasons["gang-torn"]++
			c.stopGang(g)
		}
	}
	c.torn = c.torn[:0]
}

// stopGang has every running member stopped and takes back starts that were not sent.
func (c *Core) stopGang(g *group) {
	g.stopping = true
	for _, t := range g.members {
		w := c.workers[t.worker]
		if !t.isBound() || w == nil {
			continue
		}
		c.touch(w)
		unsent := slices.IndexFunc(w.starts, func(s Start) bool { return s.Attempt == t.attempt })
		if unsent < 0 {
			continue
		}
		w.starts = slices.Delete(w.starts, unsent, unsent+1)
		delete(w.assumed, t.attempt)
		c.wait(t)
	}
}

// placeGang places all members that have work to do, or none.
func (c *Core) placeGang(g *group) {
	if !c.isPossible(g) {
		return
	}
	s := c.gangState(g)
	if s.bound > 0 || s.ready < s.waiting {
		c.awaitGang(g, s)
		return
	}
	trial := c.cell.NewTrial()
	rules := c.rulesOf(g)
	nodes := make([]*placement.Node, 0, s.waiting)
	tasks := make([]*task, 0, s.waiting)
	for _, t := range g.members {
		if t.state != waiting {
			continue
		}
		if t.notBefore > c.now {
			trial.Rollback()
			c.setAside(g, placement.GangWaits)
			return
		}
		n := trial.Place(c.request(g, t), rules)
		if n == nil {
			trial.Rollback()
			c.noFit(g, t)
			return
		}
		nodes, tasks = append(nodes, n), append(tasks, t)
	}
	size := c.sizeOf(g)
	g.drain()
	for i, t := range tasks {
		nodes[i].Unconfirmed++
		c.assume(t, c.workers[nodes[i].Name], g, size)
	}
	c.placedGroup(g)
}

// awaitGang sets a gang aside until all its members may start.
func (c *Core) awaitGang(g *group, s gangState) {
	if s.bound > 0 {
		c.torn = append(c.torn, g)
	}
	for _, t := range g.members {
		if t.state == waiting && !c.mayStart(t) {
			c.putAside(t)
		}
	}
	c.setAside(g, placement.GangWaits)
}

// drain takes every task out of the group's list.
func (g *group) drain() {
	for len(g.tasks) > 0 {
		g.pop()
	}
}
