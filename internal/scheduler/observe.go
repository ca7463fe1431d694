package scheduler

import (
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

// restartBackoff is the first delay after a failure; it doubles up to
// maxRestartBackoff.
const (
	restartBackoff    = time.Second
	maxRestartBackoff = time.Minute
)

// updateObserved replaces the worker's observed tasks with those of a reply.
func (c *Core) updateObserved(w *worker, ev WriteReplied) {
	before := w.observed
	w.observed = make(map[uint64]ObservedTask, len(ev.Tasks))
	for _, o := range ev.Tasks {
		w.observed[o.Attempt] = o
		if o.endpoint() != before[o.Attempt].endpoint() {
			c.directoryDirty = true
		}
		c.observeTask(w, o, ev)
	}
	for a, o := range before {
		if _, still := w.observed[a]; !still {
			c.attemptVanished(w, o)
			c.directoryDirty = c.directoryDirty || o.endpoint() != ""
		}
	}
}

// endpoint returns the address at which the task serves requests, or an empty
// string.
func (o ObservedTask) endpoint() string {
	if o.State != Running {
		return ""
	}
	return o.Address
}

// observeTask processes one task reported by a worker.
func (c *Core) observeTask(w *worker, o ObservedTask, ev WriteReplied) {
	t := c.tasks[o.Task]
	if t == nil {
		t = &task{name: o.Task, workload: configuration.WorkloadOf(o.Task), waitingSince: c.now}
		c.tasks[o.Task] = t
	}
	if o.State != Running {
		if _, ok := w.endedAt[o.Attempt]; !ok {
			w.endedAt[o.Attempt] = ev.Reply.Now
			c.attemptEnded(t, w, o)
		}
		return
	}
	if t.state == waiting || t.isBound() && t.attempt == o.Attempt {
		c.adopt(t, w, o)
		return
	}
	if s := (stray{w, o.Attempt}); !slices.Contains(c.strays[t.name], s) {
		c.strays[t.name] = append(c.strays[t.name], s)
	}
}

// adopt binds a task to an attempt that a worker reports as running.
func (c *Core) adopt(t *task, w *worker, o ObservedTask) {
	t.size = o.Size.Max(o.Usage)
	c.bind(t, w, live, o.Attempt)
	if t.group != nil {
		t.group.profile.ObserveUsage(o.Usage)
	}
}

// stray is an attempt that was seen running while its task was bound to another
// attempt, of which this scheduler had heard earlier.
type stray struct {
	worker  *worker
	attempt uint64
}

// adoptStray binds a task that lost its attempt to another running one.
func (c *Core) adoptStray(t *task) bool {
	list := c.strays[t.name]
	delete(c.strays, t.name)
	for i, s := range list {
		o, ok := s.worker.observed[s.attempt]
		if ok && o.State == Running && c.workers[s.worker.name] == s.worker {
			c.strays[t.name] = list[i+1:]
			c.adopt(t, s.worker, o)
			return true
		}
	}
	return false
}

// attemptEnded processes the end of an attempt.
func (c *Core) attemptEnded(t *task, w *worker, o ObservedTask) {
	c.ended.add(c.view.Catalog, o)
	c.recordOutcome(t, w, o)
	if t.state == completed || (t.attempt != 0 && t.attempt != o.Attempt) {
		return
	}
	if o.State == Succeeded && c.isFinite(t) {
		c.finish(t)
		return
	}
	if o.State == Failed {
		t.failures++
		c.reasons["task-failed"]++
		t.notBefore = c.now + min(restartBackoff<<min(t.failures-1, 6), maxRestartBackoff)
	}
	if o.Checkpoint != 0 {
		t.checkpoint = o.Checkpoint
	}
	// Another attempt may run on a worker that wasn't seen in this term, so the
	// end of one attempt doesn't make the task known.
	c.requeueNow(t)
}

// recordOutcome updates the health of the worker and the profile of the workload
// from an ended attempt.
func (c *Core) recordOutcome(t *task, w *worker, o ObservedTask) {
	switch o.State {
	case Failed:
		c.recordFailure(w, t.workload)
	case Succeeded:
		w.health.reset()
		if t.group != nil && t.attempt == o.Attempt && t.checkpoint == 0 {
			t.group.profile.ObserveRun(c.now - t.boundAt)
		}
	}
}

func (c *Core) isFinite(t *task) bool {
	e, ok := c.view.Catalog.Workloads[t.workload]
	return ok && e.Value.Kind != configuration.Service
}

// attemptVanished handles an attempt that a worker no longer reports.
func (c *Core) attemptVanished(w *worker, o ObservedTask) {
	t := c.tasks[o.Task]
	if t != nil && t.state == live && t.attempt == o.Attempt {
		c.requeueNow(t)
	}
}
