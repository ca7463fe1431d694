package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/slots"
)

// drainBound is how long a leaving runner is left to its requests at most, from
// when no former holder of the tenure grants slots: by then no entry's lease on
// its slots is left, and the longest request has ended.
var drainBound = slots.DefaultTiming().Silent()

// moveShare bounds the runners of a service that move off their workers at the
// same time, as a divisor of the service's runners in the domain.
const moveShare = 4

// departure is a serving runner that has to leave its worker. The directory
// shows it as leaving from a version on.
type departure struct {
	version int64
	// since is when it was first shown as leaving, and began the term's beginning.
	since, began time.Duration
	overdue      bool
}

// move is a service's task that is stopped to run on another worker. It lasts
// until the task serves there.
type move struct {
	task *task
	from uint64
}

// departures is the part of the core that takes tasks off their workers.
type departures struct {
	// idle is the newest word on the slots of leaving runners.
	idle SlotsIdle
	// moves lists the tasks under way of each service.
	moves map[string][]move
}

// takeIdle notes which leaving runners' slots are back.
func (c *Core) takeIdle(ev SlotsIdle) {
	c.idle = ev
	for _, name := range c.order {
		if w := c.workers[name]; len(w.departures) > 0 {
			c.touch(w)
		}
	}
}

// mustGo reports whether the worker is to be left by all its tasks.
func (w *worker) mustGo() bool { return w.leaving || w.drained }

// depart brings the worker's departures up to date.
func (c *Core) depart(w *worker) {
	for a := range w.departures {
		if o := w.observed[a]; o.endpoint() == "" || !c.mustLeave(w, o) {
			delete(w.departures, a)
			c.dirDirty = true
		}
	}
	for a, o := range w.observed {
		d := w.departures[a]
		if o.endpoint() == "" || d != nil && d.began == c.term.Began() || !c.mustLeave(w, o) {
			continue
		}
		w.departures[a] = &departure{version: c.dir.Version + 1, since: c.now, began: c.term.Began()}
		c.dirDirty = true
	}
}

// attempts returns the observed attempts in order.
func (w *worker) attempts() []uint64 { return slices.Sorted(maps.Keys(w.observed)) }

// mustLeave reports whether a task has to leave the worker.
func (c *Core) mustLeave(w *worker, o ObservedTask) bool { return w.mustGo() || !c.wants(w, o) }

// takesTurn reports whether a service's task may be stopped to run elsewhere:
// its move is under way, or those of few enough others are.
func (c *Core) takesTurn(t *task) bool {
	g := t.in
	if g == nil {
		return true
	}
	list := slices.DeleteFunc(c.moves[g.workload], func(m move) bool { return !c.moving(m) })
	turn := slices.ContainsFunc(list, func(m move) bool { return m.task == t && m.from == t.attempt })
	if !turn && len(list) < max(1, len(g.members)/moveShare) {
		turn, list = true, append(list, move{t, t.attempt})
		c.reasons["task-moved"]++
	}
	c.moves[g.workload] = list
	return turn
}

// moving reports whether a task that was to move doesn't serve elsewhere yet.
func (c *Core) moving(m move) bool {
	t := m.task
	w := c.workers[t.worker]
	switch {
	case !t.wanted || t.state == over:
		return false
	case !t.isBound() || w == nil:
		return true
	case t.attempt == m.from:
		return w.mustGo()
	}
	return w.observed[t.attempt].endpoint() == ""
}

// isIdle reports whether no request can be cut off when the runner is stopped.
func (c *Core) isIdle(attempt uint64, d *departure) bool {
	_, idle := slices.BinarySearch(c.idle.Attempts, attempt)
	return idle && c.idle.Began == d.began && c.idle.Version >= d.version
}

// overdueAt returns when a leaving runner is left to its requests no longer.
func (c *Core) overdueAt(d *departure) time.Duration {
	if c.term.AloneAt() < 0 {
		return never
	}
	return max(d.since, c.term.AloneAt()) + drainBound
}

// mayStop reports whether a serving runner may be stopped: its requests have
// ended, or it was left to them for long enough, and a wanted one has its turn.
func (c *Core) mayStop(w *worker, o ObservedTask) bool {
	d := w.departures[o.Attempt]
	if d == nil {
		return false
	}
	idle := c.isIdle(o.Attempt, d)
	if !idle && c.now < c.overdueAt(d) || c.wants(w, o) && !c.takesTurn(c.tasks[o.Task]) {
		return false
	}
	if !idle && !d.overdue {
		c.reasons["stop-overdue"]++
		d.overdue = true
	}
	return true
}

// orderFor returns what a worker has to be told of a running task, if anything.
func (c *Core) orderFor(w *worker, o ObservedTask) (OrderKind, bool) {
	t := c.tasks[o.Task]
	switch {
	case o.State != Running:
		return 0, false
	case o.endpoint() != "":
		return Stop, c.mayStop(w, o)
	case !c.wants(w, o):
		return c.stopKind(t, o), true
	case t.evict != 0:
		return t.evict.orderKind(), true
	case w.mustGo() && t.in != nil:
		return c.moveOff(w, t)
	}
	return 0, false
}

// stopKind returns how a task is stopped that is not wanted where it is: the
// members of a gang that moves keep their work.
func (c *Core) stopKind(t *task, o ObservedTask) OrderKind {
	if t != nil && t.in != nil && t.in.parting && t.wanted && t.attempt == o.Attempt {
		return Checkpoint
	}
	return Stop
}

// moveOff returns the order that takes a wanted task off a worker that all tasks leave.
func (c *Core) moveOff(w *worker, t *task) (OrderKind, bool) {
	switch g := t.in; {
	case g.spec.Kind == configuration.Service:
		// It doesn't serve yet.
		return Stop, c.takesTurn(t)
	case g.isGang():
		c.reasons["task-moved"] += int64(c.gangState(g).bound)
		g.parting = true
		c.stopGang(g)
	default:
		c.reasons["task-moved"]++
		t.evict = evictAs(Checkpoint)
	}
	return Checkpoint, true
}
