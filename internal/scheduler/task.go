package scheduler

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// taskPhase is the state of a task in this scheduler.
type taskPhase int

// A task is waiting until it is assumed on a worker. It is placed once a start is
// queued for a worker, and live once the worker has reported it. It returns to
// waiting when it is certainly not running any more, and is completed when its
// work is done.
const (
	waiting taskPhase = iota
	placed
	live
	completed
)

// task is a wanted task of the domain, or an unwanted one that may still run.
type task struct {
	name     string
	workload string
	wanted   bool
	state    taskPhase
	worker   string
	attempt  uint64
	// term is the beginning of the term in which the task was last known. A task
	// of an earlier term may run on a worker that was not seen since.
	term time.Duration
	// known is set once this scheduler has placed or seen the task.
	known bool
	// leaseExpiredAt is the local time by which the task's lease on a replaced
	// machine has expired.
	leaseExpiredAt time.Duration
	// waitingSince is when the task began to wait.
	waitingSince time.Duration
	// notBefore is the earliest time of the next start.
	notBefore time.Duration
	failures  int
	// checkpoint is what the next start resumes from; 0 starts from the
	// beginning.
	checkpoint uint64
	// size is the capacity that the task takes where it is bound, and rack the
	// rack of that worker.
	size resource.Vector
	rack string
	// boundAt is when it was bound to its attempt.
	boundAt time.Duration
	// evict is the order that stops the running task to free capacity for others.
	evict eviction
	// group is the group that counts the bound task.
	group *group
	// chargedSize is the amount charged to the quota of chargedTeam.
	chargedSize resource.Vector
	chargedTeam string
	// queued, inBackoff and inUnconfirmed tell which parts of the queue list the
	// task.
	queued, inBackoff, inUnconfirmed bool
}

func (t *task) before(o *task) bool {
	if t.waitingSince != o.waitingSince {
		return t.waitingSince < o.waitingSince
	}
	return t.name < o.name
}

// isBound reports whether the task is placed or live on a worker.
func (t *task) isBound() bool { return t.state == placed || t.state == live }

// bind ties a task to an attempt on a worker.
func (c *Core) bind(t *task, w *worker, state taskPhase, attempt uint64) {
	evict := t.evict
	if state == placed {
		t.known, t.term = true, c.term.Began()
	} else if !t.isBound() || t.attempt != attempt {
		// If the task was seen on a worker that another scheduler owns, that
		// scheduler may renew its lease. The task counts as known in this term
		// once this scheduler owns the worker.
		t.known, t.term = false, -1
	}
	if !t.isBound() || t.attempt != attempt {
		evict = 0
		if state == live {
			t.boundAt = c.now
		}
	}
	c.unbind(t)
	t.state, t.worker, t.attempt, t.leaseExpiredAt, t.evict = state, w.name, attempt, 0, evict
	w.bound[t.name] = t
	t.rack = w.rack
	c.charge(t)
	c.markDirty(w)
}

// charge counts a bound task in its group and its team's quota.
func (c *Core) charge(t *task) {
	if t.group = c.group(t.workload); t.group != nil {
		t.group.racks[t.rack]++
		c.quotas.Allocate(t.group.spec.Team, t.size)
		t.chargedSize, t.chargedTeam = t.size, t.group.spec.Team
	}
}

// uncharge reverses charge.
func (c *Core) uncharge(t *task) {
	if t.group != nil {
		t.group.racks[t.rack]--
		c.quotas.Release(t.chargedTeam, t.chargedSize)
		c.freedTeams = append(c.freedTeams, t.chargedTeam)
	}
	t.group = nil
}

// unbind unties a task from its worker. The caller sets its new state.
func (c *Core) unbind(t *task) {
	if !t.isBound() {
		return
	}
	if w := c.workers[t.worker]; w != nil {
		delete(w.bound, t.name)
		c.markDirty(w)
	}
	c.uncharge(t)
	t.evict = 0
}

// markGangBroken has the task's gang checked, since the task no longer runs.
func (c *Core) markGangBroken(t *task) {
	if g := c.group(t.workload); g != nil && g.isGang() {
		c.brokenGangs = append(c.brokenGangs, g)
	}
}

// requeue makes the task wait for placement again.
func (c *Core) requeue(t *task) {
	c.unbind(t)
	t.state, t.worker, t.attempt, t.leaseExpiredAt = waiting, "", 0, 0
	if c.adoptStray(t) {
		return
	}
	c.enqueue(t)
	c.markGangBroken(t)
	c.discardIfUnwanted(t)
}

// requeueNow makes the task wait again, with its waiting time counted from now.
func (c *Core) requeueNow(t *task) {
	t.waitingSince = c.now
	c.requeue(t)
}

// finish marks a task's work as done.
func (c *Core) finish(t *task) {
	c.unbind(t)
	t.state = completed
	c.markGangBroken(t)
	c.discardIfUnwanted(t)
}

// discardIfUnwanted marks a task that is no longer wanted for removal.
func (c *Core) discardIfUnwanted(t *task) {
	if !t.wanted {
		c.discardable = append(c.discardable, t)
	}
}
