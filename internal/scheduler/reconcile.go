package scheduler

import (
	"slices"

	"github.com/mimosaspool/mimosaspool/internal/ownership"
)

// reconcile moves the running tasks toward the wanted state.
func (c *Core) reconcile() {
	if c.leaving {
		c.scheduleWakeups()
		c.publish()
		return
	}
	if c.termHeld {
		c.placementStep++
		c.requeueLostTasks()
		c.restartBrokenGangs()
		c.stopUnwanted()
		for i := 0; i < len(c.dirty); i++ {
			c.refreshNode(c.dirty[i])
		}
		c.wakeTeams()
		c.placeWaiting()
		c.updatePolling()
	}
	c.sendDueWrites()
	c.refreshUnsent()
	c.scheduleWakeups()
	c.publish()
}

// updatePolling determines whether workers are polled for ends of tasks.
func (c *Core) updatePolling() {
	polling := slices.ContainsFunc(c.queue.blocked, func(g *group) bool {
		return c.rulesFor(g).Poll && g.awaitsCapacity() && len(g.tasks) > 0
	})
	if polling && !c.polling {
		c.markAllDirty()
	}
	c.polling = polling
}

// refreshUnsent refreshes nodes whose unsent starts were dropped by a write.
func (c *Core) refreshUnsent() {
	for i := 0; i < len(c.dirty); i++ {
		if w := c.dirty[i]; w.node.Unconfirmed != len(w.assumed) {
			c.refreshNode(w)
		}
	}
}

// wakeTeams reactivates groups whose team released resources in this step.
func (c *Core) wakeTeams() {
	slices.Sort(c.freedTeams)
	for _, name := range slices.Compact(c.freedTeams) {
		c.wakeTeam(name)
	}
	c.freedTeams = c.freedTeams[:0]
}

// requeueLostTasks requeues tasks whose worker has been silent for so long that
// their leases have certainly expired.
func (c *Core) requeueLostTasks() {
	for i := 0; i < len(c.dirty); i++ {
		w := c.dirty[i]
		lapsed := c.now >= w.leasesUntil || c.guardDisabled(ownership.GuardRenewedLeases)
		if len(w.bound) > 0 && !w.fence.Owned(c.now) && lapsed {
			c.forgetWorkerTasks(w)
		}
	}
	for _, t := range c.orphans {
		if t.isBound() && t.leaseExpiredAt > 0 && c.now >= t.leaseExpiredAt {
			t.lose(c)
		}
	}
}

// lose requeues a task whose lease has expired unseen.
func (t *task) lose(c *Core) {
	c.reasons["task-lost"]++
	c.requeueNow(t)
}

// forgetWorkerTasks forgets a silent worker's tasks once the lease of one of them
// has certainly expired. The others are held back by mayStart.
func (c *Core) forgetWorkerTasks(w *worker) {
	sure := c.now >= c.term.UnseenTasksExpireAt()
	for _, t := range w.bound {
		if c.now < t.leaseExpiredAt {
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
	c.directoryDirty = true
}

// stopUnwanted orders to stop: tasks that no workload wants, attempts other than
// the task's own, and tasks that have to leave their worker.
func (c *Core) stopUnwanted() {
	c.sortedDirty()
	for i := 0; i < len(c.dirty); i++ {
		w := c.dirty[i]
		c.updateLeavingRunners(w)
		if !w.fence.Owned(c.now) || w.fence.WritePending() || len(w.orders) > 0 || w.lastOrderAt > 0 && c.now < w.lastOrderAt+orderRetryInterval {
			continue
		}
		for _, a := range w.sortedAttempts() {
			o := w.observed[a]
			if kind, ok := c.orderFor(w, o); ok {
				w.orders = append(w.orders, Order{Kind: kind, Task: o.Task, Attempt: o.Attempt})
				w.lastOrderAt = c.now
			}
		}
	}
	for _, t := range c.discardable {
		if !t.wanted && !t.isBound() && c.tasks[t.name] == t {
			delete(c.tasks, t.name)
			delete(c.strays, t.name)
		}
	}
	c.discardable = c.discardable[:0]
}

func (c *Core) isWanted(w *worker, o ObservedTask) bool {
	t := c.tasks[o.Task]
	return t != nil && t.wanted && t.isBound() && t.attempt == o.Attempt && t.worker == w.name &&
		(t.group == nil || !t.group.stopping)
}

// mayStart reports whether t is certainly running nowhere.
func (c *Core) mayStart(t *task) bool {
	if t.known && t.term == c.term.Began() {
		return true
	}
	if c.now >= c.term.UnseenTasksExpireAt() {
		c.unreachableMachine = false
		return true
	}
	return c.allSeen()
}

// allSeen reports whether every worker was seen in this term.
func (c *Core) allSeen() bool {
	began := c.term.Began()
	if c.unreachableMachine {
		return false
	}
	if c.seenAll && c.seenTerm == began {
		return true
	}
	for _, name := range c.workerNames {
		if c.workers[name].confirmedAt < began {
			return false
		}
	}
	c.seenAll, c.seenTerm = true, began
	return true
}
