package scheduler

import (
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

// restartBackoff is the first wait after a failure; it doubles up to restartMax.
const (
	restartBackoff = time.Second
	restartMax     = time.Minute
)

// observe takes over a worker's list of tasks.
func (c *Core) observe(w *worker, ev WriteReplied) {
	before := w.observed
	w.observed = make(map[uint64]ObservedTask, len(ev.Tasks))
	for _, o := range ev.Tasks {
		w.observed[o.Attempt] = o
		if o.endpoint() != before[o.Attempt].endpoint() {
			c.dirDirty = true
		}
		c.sight(w, o, ev)
	}
	for a, o := range before {
		if _, still := w.observed[a]; !still {
			c.vanished(w, o)
			c.dirDirty = c.dirDirty || o.endpoint() != ""
		}
	}
}

// endpoint returns the address at which the task serves requests, if any.
func (o ObservedTask) endpoint() string {
	if o.State != Running {
		return ""
	}
	return o.Address
}

// sight takes note of one task on a worker.
func (c *Core) sight(w *worker, o ObservedTask, ev WriteReplied) {
	t := c.tasks[o.Task]
	if t == nil {
		t = &task{name: o.Task, workload: configuration.WorkloadOf(o.Task), since: c.now}
		c.tasks[o.Task] = t
	}
	if o.State != Running {
		if _, ok := w.endedAt[o.Attempt]; !ok {
			w.endedAt[o.Attempt] = ev.Reply.Now
			c.finished(t, w, o)
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

// adopt binds a task to an attempt that a worker shows running.
func (c *Core) adopt(t *task, w *worker, o ObservedTask) {
	t.size = o.Size.Max(o.Usage)
	c.bind(t, w, live, o.Attempt)
	if t.in != nil {
		t.in.profile.ObserveUsage(o.Usage)
	}
}

// stray is an attempt that was seen running while its task was bound to
// another one, of which this scheduler had heard before.
type stray struct {
	worker  *worker
	attempt uint64
}

// adoptStray binds a task that lost its attempt to another one that runs.
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

// finished takes note that an attempt ended.
func (c *Core) finished(t *task, w *worker, o ObservedTask) {
	c.ended.note(c.view.Catalog, o)
	c.learnEnd(t, w, o)
	if t.state == over || (t.attempt != 0 && t.attempt != o.Attempt) {
		return
	}
	if o.State == Succeeded && c.finite(t) {
		c.finish(t)
		return
	}
	if o.State == Failed {
		t.failures++
		c.reasons["task-failed"]++
		t.notBefore = c.now + min(restartBackoff<<min(t.failures-1, 6), restartMax)
	}
	if o.Checkpoint != 0 {
		t.checkpoint = o.Checkpoint
	}
	// Another attempt may run on a worker that wasn't seen in this term: the end
	// of one attempt doesn't make the task known.
	c.waitAnew(t)
}

// learnEnd takes note of what an ended attempt tells of its worker and workload.
func (c *Core) learnEnd(t *task, w *worker, o ObservedTask) {
	switch o.State {
	case Failed:
		c.failedOn(w, t.workload)
	case Succeeded:
		w.health.succeed()
		if t.in != nil && t.attempt == o.Attempt && t.checkpoint == 0 {
			t.in.profile.ObserveRun(c.now - t.boundAt)
		}
	}
}

func (c *Core) finite(t *task) bool {
	e, ok := c.view.Catalog.Workloads[t.workload]
	return ok && e.Value.Kind != configuration.Service
}

// vanished takes note that a worker no longer lists an attempt.
func (c *Core) vanished(w *worker, o ObservedTask) {
	t := c.tasks[o.Task]
	if t != nil && t.state == live && t.attempt == o.Attempt {
		c.waitAnew(t)
	}
}
