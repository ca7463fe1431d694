package scheduler

import (
	"slices"

	"github.com/mimosaspool/mimosaspool/internal/ownership"
)

// reconcile brings what runs closer to what is wanted.
func (c *Core) reconcile() {
	if c.leaving {
		c.settleAgenda()
		c.publish()
		return
	}
	if c.held {
		c.steps++
		c.collectLost()
		c.mendGangs()
		c.stopUnwanted()
		for i := 0; i < len(c.touched); i++ {
			c.refresh(c.touched[i])
		}
		c.wakeTeams()
		c.placeWaiting()
		c.setPolling()
	}
	c.writeDue()
	c.refreshAbandoned()
	c.settleAgenda()
	c.publish()
}

// setPolling works out whether workers are to be polled for ends of tasks.
func (c *Core) setPolling() {
	polling := slices.ContainsFunc(c.queue.blocked, func(g *group) bool {
		return c.rulesOf(g).Poll && g.awaitsRoom() && len(g.tasks) > 0
	})
	if polling && !c.polling {
		c.touchAll()
	}
	c.polling = polling
}

// refreshAbandoned brings nodes up to date whose unsent starts a write dropped.
func (c *Core) refreshAbandoned() {
	for i := 0; i < len(c.touched); i++ {
		if w := c.touched[i]; w.node.Unconfirmed != len(w.assumed) {
			c.refresh(w)
		}
	}
}

// wakeTeams lets groups through whose team gave something back in this step.
func (c *Core) wakeTeams() {
	slices.Sort(c.freedTeams)
	for _, name := range slices.Compact(c.freedTeams) {
		c.wakeTeam(name)
	}
	c.freedTeams = c.freedTeams[:0]
}

// collectLost lets tasks wait again whose worker has been silent for so long
// that their leases have surely run out.
func (c *Core) collectLost() {
	for i := 0; i < len(c.touched); i++ {
		w := c.touched[i]
		lapsed := c.now >= w.renewedUntil || c.lacks(ownership.GuardRenewed)
		if len(w.bound) > 0 && !w.fence.Owned(c.now) && lapsed {
			c.forgetTasks(w)
		}
	}
	for _, t := range c.orphans {
		if t.isBound() && t.goneAt > 0 && c.now >= t.goneAt {
			t.lose(c)
		}
	}
}

// lose makes a task wait whose lease has run out unseen.
func (t *task) lose(c *Core) {
	c.reasons["task-lost"]++
	c.waitAnew(t)
}

// forgetTasks drops what was known of a silent worker's tasks, once the lease
// of one of them has surely run out. Others are held back by mayStart.
func (c *Core) forgetTasks(w *worker) {
	sure := c.now >= c.term.HiddenUntil()
	for _, t := range w.bound {
		if c.now < t.goneAt {
			return
		}
		sure = sure || t.term == c.term.Began()
	}
	if !sure {
		return
	}
	for _, t := range w.bound {
		t.lose(c)
	}
	clear(w.observed)
	clear(w.assumed)
	w.digest = 0
	c.dirDirty = true
}

// stopUnwanted orders tasks to stop that no workload wants, attempts that are
// not the task's own, and tasks that have to leave their worker.
func (c *Core) stopUnwanted() {
	c.inOrder()
	for i := 0; i < len(c.touched); i++ {
		w := c.touched[i]
		c.depart(w)
		if !w.fence.Owned(c.now) || w.fence.Pending() || len(w.orders) > 0 || w.orderedAt > 0 && c.now < w.orderedAt+orderRetry {
			continue
		}
		for _, a := range w.attempts() {
			o := w.observed[a]
			if kind, ok := c.orderFor(w, o); ok {
				w.orders = append(w.orders, Order{Kind: kind, Task: o.Task, Attempt: o.Attempt})
				w.orderedAt = c.now
			}
		}
	}
	for _, t := range c.discard {
		if !t.wanted && !t.isBound() && c.tasks[t.name] == t {
			delete(c.tasks, t.name)
			delete(c.strays, t.name)
		}
	}
	c.discard = c.discard[:0]
}

func (c *Core) wants(w *worker, o ObservedTask) bool {
	t := c.tasks[o.Task]
	return t != nil && t.wanted && t.isBound() && t.attempt == o.Attempt && t.worker == w.name &&
		(t.in == nil || !t.in.stopping)
}

// mayStart reports whether t is surely running nowhere.
func (c *Core) mayStart(t *task) bool {
	if t.known && t.term == c.term.Began() {
		return true
	}
	if c.now >= c.term.HiddenUntil() {
		c.leftUnseen = false
		return true
	}
	return c.allSeen()
}

// allSeen reports whether every worker was seen in this term.
func (c *Core) allSeen() bool {
	began := c.term.Began()
	if c.leftUnseen {
		return false
	}
	if c.seenAll && c.seenIn == began {
		return true
	}
	for _, name := range c.order {
		if c.workers[name].seenAt < began {
			return false
		}
	}
	c.seenAll, c.seenIn = true, began
	return true
}
