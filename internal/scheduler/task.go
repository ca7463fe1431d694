package scheduler

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/placement"
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
	// goneAt is the local time by which the task's lease on a removed seat has run out.
	goneAt time.Duration
	// since is when the task began to wait.
	since time.Duration
	// notBefore is the earliest time of the next start.
	notBefore time.Duration
	failures  int
	// why holds the reasons of the last placement that failed.
	why *placement.FitError
}

// wait makes the task wait for a place again.
func (t *task) wait() {
	t.state, t.worker, t.attempt, t.goneAt = waiting, "", 0, 0
}

// restartBackoff is the first wait after a failure; it doubles up to restartMax.
const (
	restartBackoff = time.Second
	restartMax     = time.Minute
)

func (c *Core) setTasks() {
	for _, t := range c.tasks {
		t.wanted = false
	}
	for _, name := range c.view.Catalog.WorkloadNames() {
		e := c.view.Catalog.Workloads[name]
		for _, n := range configuration.Tasks(e, c.set.Domain) {
			c.want(n, name)
		}
	}
}

func (c *Core) want(name, workload string) {
	t := c.tasks[name]
	if t == nil {
		t = &task{name: name, workload: workload, since: c.now}
		c.tasks[name] = t
	}
	t.wanted = true
	if _, done := c.view.Catalog.Ended[workload][name]; done && t.state != over {
		t.state = over
	}
}

// observe takes over a worker's list of tasks.
func (c *Core) observe(w *worker, ev WriteReplied) {
	before := w.observed
	w.observed = make(map[uint64]ObservedTask, len(ev.Tasks))
	for _, o := range ev.Tasks {
		w.observed[o.Attempt] = o
		c.sight(w, o, ev)
	}
	for a, o := range before {
		if _, still := w.observed[a]; !still {
			c.vanished(w, o)
		}
	}
	c.dirDirty = true
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
	if t.state == waiting || t.attempt == o.Attempt {
		t.state, t.worker, t.attempt = live, w.name, o.Attempt
		t.known, t.term = true, c.term.Began()
	}
}

// finished takes note that an attempt ended.
func (c *Core) finished(t *task, w *worker, o ObservedTask) {
	c.ended.note(c.view.Catalog, o)
	if t.state == over || (t.attempt != 0 && t.attempt != o.Attempt) {
		return
	}
	if o.State == Succeeded && c.finite(t) {
		t.state = over
		return
	}
	if o.State == Failed {
		t.failures++
		c.reasons["task-failed"]++
		t.notBefore = c.now + min(restartBackoff<<min(t.failures-1, 6), restartMax)
	}
	t.wait()
	t.since = c.now
	t.known, t.term = true, c.term.Began()
}

func (c *Core) finite(t *task) bool {
	e, ok := c.view.Catalog.Workloads[t.workload]
	return ok && e.Value.Kind != configuration.Service
}

// vanished takes note that a worker no longer lists an attempt.
func (c *Core) vanished(w *worker, o ObservedTask) {
	t := c.tasks[o.Task]
	if t != nil && t.state == live && t.attempt == o.Attempt {
		t.wait()
		t.since = c.now
	}
}

// reconcile brings what runs closer to what is wanted.
func (c *Core) reconcile() {
	if c.leaving {
		c.publish()
		return
	}
	if c.term.Held(c.now) {
		c.collectLost()
		c.stopUnwanted()
		c.placeWaiting()
	}
	c.writeDue()
	c.publish()
}

// collectLost lets tasks wait again whose worker has been silent for so long
// that their leases have surely run out.
func (c *Core) collectLost() {
	for _, t := range c.tasks {
		if t.state != live && t.state != placed {
			continue
		}
		w := c.workers[t.worker]
		if w == nil {
			if t.goneAt > 0 && c.now >= t.goneAt {
				t.lose(c)
			}
			continue
		}
		sure := t.term == c.term.Began() || c.now >= c.term.HiddenUntil()
		lapsed := c.now >= w.renewedUntil || c.lacks(ownership.GuardRenewed)
		if sure && !w.claim.Owned(c.now) && lapsed {
			c.forgetTasks(w)
		}
	}
}

// lose makes a task wait whose lease has run out unseen.
func (t *task) lose(c *Core) {
	c.reasons["task-lost"]++
	t.wait()
	t.since = c.now
}

// forgetTasks drops all that was known of a silent worker's tasks.
func (c *Core) forgetTasks(w *worker) {
	for _, t := range c.tasks {
		if t.worker == w.name && (t.state == live || t.state == placed) {
			t.lose(c)
		}
	}
	clear(w.observed)
	clear(w.assumed)
	w.digest = 0
	c.dirDirty = true
}

// stopUnwanted orders tasks to stop that no workload wants, and attempts that
// are not the task's own.
func (c *Core) stopUnwanted() {
	for _, name := range c.order {
		w := c.workers[name]
		if !w.claim.Owned(c.now) || len(w.orders) > 0 {
			continue
		}
		for _, a := range slices.Sorted(maps.Keys(w.observed)) {
			o := w.observed[a]
			if o.State == Running && !c.wants(w, o) {
				w.orders = append(w.orders, Order{Kind: Stop, Task: o.Task, Attempt: o.Attempt})
			}
		}
	}
	for name, t := range c.tasks {
		if !t.wanted && (t.state == waiting || t.state == over) {
			delete(c.tasks, name)
		}
	}
}

func (c *Core) wants(w *worker, o ObservedTask) bool {
	t := c.tasks[o.Task]
	return t != nil && t.wanted && t.state != over && t.attempt == o.Attempt && t.worker == w.name
}

// mayStart reports whether t is surely running nowhere.
func (c *Core) mayStart(t *task, allSeen bool) bool {
	if t.known && t.term == c.term.Began() {
		return true
	}
	return allSeen || c.now >= c.term.HiddenUntil()
}

// allSeen reports whether every seat was seen while owned in this term.
func (c *Core) allSeen() bool {
	for _, name := range c.order {
		if c.workers[name].seenAt < c.term.Began() {
			return false
		}
	}
	return true
}

func (c *Core) placeWaiting() {
	seen := c.allSeen()
	var queue []*task
	for _, t := range c.tasks {
		if t.wanted && t.state == waiting && c.now >= t.notBefore && c.mayStart(t, seen) {
			queue = append(queue, t)
		}
	}
	if len(queue) == 0 {
		return
	}
	sort.Slice(queue, func(i, j int) bool { return queue[i].before(queue[j]) })
	nodes := c.nodes()
	for _, t := range queue {
		c.place(t, nodes)
	}
}

func (t *task) before(o *task) bool {
	if t.since != o.since {
		return t.since < o.since
	}
	return t.name < o.name
}

func (c *Core) place(t *task, nodes []*placement.Node) {
	e := c.view.Catalog.Workloads[t.workload]
	req := placement.Request{Task: t.name, Workload: &e.Value, Size: e.Value.Size}
	n, why := placement.Place(req, nodes, placement.Spare{})
	t.why = why
	if why != nil {
		c.reasons["no-fit"]++
		return
	}
	c.assume(t, c.workers[n.Name], &e.Value)
	n.Free = n.Free.Sub(req.Size)
	n.Tasks[t.workload]++
}

// assume hands the task to a worker's next write and counts it there.
func (c *Core) assume(t *task, w *worker, spec *configuration.Workload) {
	t.state, t.worker, t.attempt = placed, w.name, c.newAttempt()
	t.known, t.term = true, c.term.Began()
	s := Start{Task: t.name, Attempt: t.attempt, Size: spec.Size, RunMillis: spec.RunMillis}
	if spec.Kind == configuration.Service {
		s.Service = spec.Name
	}
	w.starts = append(w.starts, s)
	if !c.lacks(ownership.GuardAssumed) {
		w.assumed[s.Attempt] = s
	}
}

func (c *Core) nodes() []*placement.Node {
	nodes := make([]*placement.Node, 0, len(c.order))
	for _, name := range c.order {
		w := c.workers[name]
		n := &placement.Node{Name: name, Rack: w.rack, Capacity: w.capacity, Free: w.free(), Tasks: map[string]int{}}
		for _, o := range w.observed {
			if o.State == Running {
				n.Tasks[configuration.WorkloadOf(o.Task)]++
			}
		}
		for _, s := range w.assumed {
			n.Tasks[configuration.WorkloadOf(s.Task)]++
		}
		n.Blocked = c.blocked(w)
		nodes = append(nodes, n)
	}
	return nodes
}

func (c *Core) blocked(w *worker) placement.Reason {
	_, drained := c.view.Catalog.Drained[w.name]
	switch {
	case !w.claim.Owned(c.now) || w.seenAt < 0:
		return placement.NotOwned
	case w.leaving:
		return placement.Leaving
	case drained:
		return placement.Draining
	}
	return ""
}
