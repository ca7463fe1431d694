package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/slots"
)

// maxDrainTime is how long a leaving runner may finish its requests at most,
// counted from when no previous leader grants slots any more. By then every entry's
// lease on its slots has expired and the longest request has ended.
var maxDrainTime = slots.DefaultTiming().ReclaimAfter()

// moveDivisor limits how many runners of a service move off their workers at the
// same time: the service's runners in the domain divided by it.
const moveDivisor = 4

// leavingRunner is a serving runner that has to leave its worker. The directory
// shows it as leaving from version on.
type leavingRunner struct {
	version int64
	// since is when it was first shown as leaving; began is when that term began.
	since, began time.Duration
	overdue      bool
}

// move is a service's task that is stopped to run on another worker. It lasts
// until the task serves there.
type move struct {
	task        *task
	fromAttempt uint64
}

// drainState is the part of the core that moves tasks off their workers.
type drainState struct {
	// lastIdle is the newest report on the slots of leaving runners.
	lastIdle SlotsIdle
	// moves lists the moves in progress of each service.
	moves map[string][]move
}

// handleSlotsIdle records which leaving runners' slots have been returned.
func (c *Core) handleSlotsIdle(ev SlotsIdle) {
	c.lastIdle = ev
	for _, name := range c.workerNames {
		if w := c.workers[name]; len(w.leavingRunners) > 0 {
			c.markDirty(w)
		}
	}
}

// mustEvacuate reports whether all tasks have to leave the worker.
func (w *worker) mustEvacuate() bool { return w.leaving || w.drained }

// updateLeavingRunners updates the worker's leaving runners.
func (c *Core) updateLeavingRunners(w *worker) {
	for a := range w.leavingRunners {
		if o := w.observed[a]; o.endpoint() == "" || !c.mustLeave(w, o) {
			delete(w.leavingRunners, a)
			c.directoryDirty = true
		}
	}
	for a, o := range w.observed {
		d := w.leavingRunners[a]
		if o.endpoint() == "" || d != nil && d.began == c.term.Began() || !c.mustLeave(w, o) {
			continue
		}
		w.leavingRunners[a] = &leavingRunner{version: c.directory.Version + 1, since: c.now, began: c.term.Began()}
		c.directoryDirty = true
	}
}

// sortedAttempts returns the observed attempts in order.
func (w *worker) sortedAttempts() []uint64 { return slices.Sorted(maps.Keys(w.observed)) }

// mustLeave reports whether a task has to leave the worker.
func (c *Core) mustLeave(w *worker, o ObservedTask) bool {
	return w.mustEvacuate() || !c.isWanted(w, o)
}

// mayMove reports whether a service's task may be stopped to run elsewhere: its
// move is already in progress, or few enough other moves are.
func (c *Core) mayMove(t *task) bool {
	g := t.group
	if g == nil {
		return true
	}
	list := slices.DeleteFunc(c.moves[g.workload], func(m move) bool { return !c.moveInProgress(m) })
	allowed := slices.ContainsFunc(list, func(m move) bool { return m.task == t && m.fromAttempt == t.attempt })
	if !allowed && len(list) < max(1, len(g.members)/moveDivisor) {
		allowed, list = true, append(list, move{t, t.attempt})
		c.reasons["task-moved"]++
	}
	c.moves[g.workload] = list
	return allowed
}

// moveInProgress reports whether a task that is to move doesn't serve elsewhere
// yet.
func (c *Core) moveInProgress(m move) bool {
	t := m.task
	w := c.workers[t.worker]
	switch {
	case !t.wanted || t.state == completed:
		return false
	case !t.isBound() || w == nil:
		return true
	case t.attempt == m.fromAttempt:
		return w.mustEvacuate()
	}
	return w.observed[t.attempt].endpoint() == ""
}

// isIdle reports whether stopping the runner cuts off no request.
func (c *Core) isIdle(attempt uint64, d *leavingRunner) bool {
	_, idle := slices.BinarySearch(c.lastIdle.Attempts, attempt)
	return idle && c.lastIdle.Began == d.began && c.lastIdle.Version >= d.version
}

// drainDeadline returns the time after which a leaving runner is stopped even
// with requests.
func (c *Core) drainDeadline(d *leavingRunner) time.Duration {
	if c.term.ExclusiveFrom() < 0 {
		return never
	}
	return max(d.since, c.term.ExclusiveFrom()) + maxDrainTime
}

// mayStop reports whether a serving runner may be stopped: its requests have
// ended or its drain deadline has passed, and, if it is still wanted, it may
// move.
func (c *Core) mayStop(w *worker, o ObservedTask) bool {
	d := w.leavingRunners[o.Attempt]
	if d == nil {
		return false
	}
	idle := c.isIdle(o.Attempt, d)
	if !idle && c.now < c.drainDeadline(d) || c.isWanted(w, o) && !c.mayMove(c.tasks[o.Task]) {
		return false
	}
	if !idle && !d.overdue {
		c.reasons["stop-overdue"]++
		d.overdue = true
	}
	return true
}

// orderFor returns the order that a worker must be given for a running task, if
// any.
func (c *Core) orderFor(w *worker, o ObservedTask) (OrderKind, bool) {
	t := c.tasks[o.Task]
	switch {
	case o.State != Running:
		return 0, false
	case o.endpoint() != "":
		return Stop, c.mayStop(w, o)
	case !c.isWanted(w, o):
		return c.stopKind(t, o), true
	case t.evict != 0:
		return t.evict.orderKind(), true
	case w.mustEvacuate() && t.group != nil:
		return c.evacuationOrder(w, t)
	}
	return 0, false
}

// stopKind returns how to stop a task that is not wanted where it runs. Members
// of a gang that moves keep their work by a checkpoint.
func (c *Core) stopKind(t *task, o ObservedTask) OrderKind {
	if t != nil && t.group != nil && t.group.moving && t.wanted && t.attempt == o.Attempt {
		return Checkpoint
	}
	return Stop
}

// evacuationOrder returns the order that takes a wanted task off a worker that
// must be evacuated.
func (c *Core) evacuationOrder(w *worker, t *task) (OrderKind, bool) {
	switch g := t.group; {
	case g.spec.Kind == configuration.Service:
		// It doesn't serve yet.
		return Stop, c.mayMove(t)
	case g.isGang():
		c.reasons["task-moved"] += int64(c.gangState(g).bound)
		g.moving = true
		c.stopGang(g)
	default:
		c.reasons["task-moved"]++
		t.evict = evictionBy(Checkpoint)
	}
	return Checkpoint, true
}
