package scheduler

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// taskPhase is where a task stands with this scheduler.
type taskPhase int

// A task waits until it is assumed on a worker. It is placed once a start was
// handed to a worker's queue, and live once the worker showed it. It waits again
// when it is surely not running any more, or is over when its work is done.
const (
	waiting taskPhase = iota
	placed
	live
	over
)

// task is a wanted task of the domain, or an unwanted one that may still run.
type task struct {
	name     string
	workload string
	wanted   bool
	state    taskPhase
	worker   string
	attempt  uint64
	// term is the beginning of the term in which the task was last known.
	// A task of an earlier term may run on a worker that was not seen since.
	term time.Duration
	// known is set once this scheduler has placed or seen the task.
	known bool
	// goneAt is the local time by which the task's lease on a machine that was replaced has run out.
	goneAt time.Duration
	// since is when the task began to wait.
	since time.Duration
	// notBefore is the earliest time of the next start.
	notBefore time.Duration
	failures  int
	// checkpoint is what the next start resumes from; 0 starts anew.
	checkpoint uint64
	// size is what the task takes where it is bound, and rack where that is.
	size resource.Vector
	rack string
	// boundAt is when it was bound to its attempt.
	boundAt time.Duration
	// evict is the order under which the running task makes room for others.
	evict eviction
	// in is the group that counts the bound task.
	in *group
	// counted is the amount that the books show as held by team.
	counted resource.Vector
	team    string
	// queued, backing and unsure tell in which parts of the queue it is listed.
	queued, backing, unsure bool
}

func (t *task) before(o *task) bool {
	if t.since != o.since {
		return t.since < o.since
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
		// Where it was seen on a worker of another owner, that one may renew it:
		// the task counts as known in this term once its worker is owned.
		t.known, t.term = false, -1
	}
	if !t.isBound() || t.attempt != attempt {
		evict = 0
		if state == live {
			t.boundAt = c.now
		}
	}
	c.unbind(t)
	t.state, t.worker, t.attempt, t.goneAt, t.evict = state, w.name, attempt, 0, evict
	w.bound[t.name] = t
	t.rack = w.rack
	c.count(t)
	c.touch(w)
}

// count adds a bound task to its group's books.
func (c *Core) count(t *task) {
	if t.in = c.group(t.workload); t.in != nil {
		t.in.racks[t.rack]++
		c.ledger.Allocate(t.in.spec.Team, t.size)
		t.counted, t.team = t.size, t.in.spec.Team
	}
}

// uncount takes a bound task out of its group's books.
func (c *Core) uncount(t *task) {
	if t.in != nil {
		t.in.racks[t.rack]--
		c.ledger.Release(t.team, t.counted)
		c.freedTeams = append(c.freedTeams, t.team)
	}
	t.in = nil
}

// unbind unties a task from its worker; the caller sets its new state.
func (c *Core) unbind(t *task) {
	if !t.isBound() {
		return
	}
	if w := c.workers[t.worker]; w != nil {
		delete(w.bound, t.name)
		c.touch(w)
	}
	c.uncount(t)
	t.evict = 0
}

// tear lists the task's gang to be looked at, since the task does not run any more.
func (c *Core) tear(t *task) {
	if g := c.group(t.workload); g != nil && g.isGang() {
		c.torn = append(c.torn, g)
	}
}

// wait makes the task wait for a place again.
func (c *Core) wait(t *task) {
	c.unbind(t)
	t.state, t.worker, t.attempt, t.goneAt = waiting, "", 0, 0
	if c.adoptStray(t) {
		return
	}
	c.enqueue(t)
	c.tear(t)
	c.mayDiscard(t)
}

// waitAnew makes the task wait from now on.
func (c *Core) waitAnew(t *task) {
	t.since = c.now
	c.wait(t)
}

// finish marks a task's work as done.
func (c *Core) finish(t *task) {
	c.unbind(t)
	t.state = over
	c.tear(t)
	c.mayDiscard(t)
}

// mayDiscard lists a task that nobody wants any more.
func (c *Core) mayDiscard(t *task) {
	if !t.wanted {
		c.discard = append(c.discard, t)
	}
}
