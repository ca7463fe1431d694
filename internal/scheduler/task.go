package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
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
	// goneAt is the local time by which the task's lease on a removed seat has run out.
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
	// in is the group that counts the bound task.
	in *group
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
	c.unbind(t)
	t.state, t.worker, t.attempt, t.goneAt = state, w.name, attempt, 0
	t.known, t.term = true, c.term.Began()
	w.bound[t.name] = t
	t.rack = w.rack
	c.count(t)
	c.touch(w)
}

// count adds a bound task to its group's books.
func (c *Core) count(t *task) {
	if t.in = c.group(t.workload); t.in != nil {
		t.in.racks[t.rack]++
	}
}

// uncount takes a bound task out of its group's books.
func (c *Core) uncount(t *task) {
	if t.in != nil {
		t.in.racks[t.rack]--
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
}

// wait makes the task wait for a place again.
func (c *Core) wait(t *task) {
	c.unbind(t)
	t.state, t.worker, t.attempt, t.goneAt = waiting, "", 0, 0
	c.enqueue(t)
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
	c.mayDiscard(t)
}

// mayDiscard lists a task that nobody wants any more.
func (c *Core) mayDiscard(t *task) {
	if !t.wanted {
		c.discard = append(c.discard, t)
	}
}

// restartBackoff is the first wait after a failure; it doubles up to restartMax.
const (
	restartBackoff = time.Second
	restartMax     = time.Minute
)

// setDrained notes which workers operators have taken out of use.
func (c *Core) setDrained() {
	for _, name := range c.order {
		w := c.workers[name]
		if _, drained := c.view.Catalog.Drained[name]; drained != w.drained {
			w.drained = drained
			c.touch(w)
		}
	}
}

// setTasks brings the wanted tasks in line with the catalog, in one pass over
// the workloads that changed.
func (c *Core) setTasks() {
	cat := c.view.Catalog
	var changed []string
	for name, e := range cat.Workloads {
		g := c.group(name)
		if g == nil || g.version != e.Version || g.ended != len(cat.Ended[name]) {
			changed = append(changed, name)
		}
	}
	for name, g := range c.queue.groups {
		if _, ok := cat.Workloads[name]; !ok {
			c.unwant(g)
			c.queue.drop(name)
		}
	}
	slices.Sort(changed)
	for _, name := range changed {
		c.setGroup(name, cat.Workloads[name])
	}
	c.adoptOrphans()
}

// setGroup brings one workload's tasks in line with its declaration.
func (c *Core) setGroup(name string, e configuration.Entry[configuration.Workload]) {
	ended := c.view.Catalog.Ended[name]
	g := c.group(name)
	if g == nil {
		g = &group{workload: name, racks: map[string]int{}}
		c.queue.groups[name] = g
	}
	if g.version != e.Version || g.spec == nil {
		c.unwant(g)
		g.version, g.spec = e.Version, &e.Value
		g.members = g.members[:0]
		for _, n := range configuration.Tasks(e, c.set.Domain) {
			g.members = append(g.members, c.want(n, name))
		}
	}
	g.ended = len(ended)
	for _, t := range g.members {
		if _, done := ended[t.name]; done && t.state != over {
			c.finish(t)
		}
		c.enqueue(t)
	}
	c.queue.activate(g, "")
}

func (c *Core) want(name, workload string) *task {
	t := c.tasks[name]
	if t == nil {
		t = &task{name: name, workload: workload, since: c.now}
		c.tasks[name] = t
	}
	if t.isBound() {
		c.uncount(t)
		c.count(t)
		c.touch(c.workers[t.worker])
	}
	t.wanted = true
	return t
}

// unwant notes that no workload asks for the group's tasks.
func (c *Core) unwant(g *group) {
	for _, t := range g.members {
		t.wanted = false
		if t.isBound() {
			c.touch(c.workers[t.worker])
		}
		c.mayDiscard(t)
	}
}

// adoptOrphans keeps track of tasks that were left on a machine no longer
// behind a seat. One that a returned seat shows again is bound anew.
func (c *Core) adoptOrphans() {
	c.orphans = c.orphans[:0]
	for _, t := range c.tasks {
		if t.isBound() && t.goneAt > 0 {
			c.orphans = append(c.orphans, t)
		}
	}
}

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
		t.size = o.Size
		c.bind(t, w, live, o.Attempt)
	}
}

// finished takes note that an attempt ended.
func (c *Core) finished(t *task, w *worker, o ObservedTask) {
	c.ended.note(c.view.Catalog, o)
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

// reconcile brings what runs closer to what is wanted.
func (c *Core) reconcile() {
	if c.leaving {
		c.settleAgenda()
		c.publish()
		return
	}
	if c.term.Held(c.now) {
		c.collectLost()
		c.stopUnwanted()
		for i := 0; i < len(c.touched); i++ {
			c.refresh(c.touched[i])
		}
		c.placeWaiting()
	}
	c.writeDue()
	c.settleAgenda()
	c.publish()
}

// collectLost lets tasks wait again whose worker has been silent for so long
// that their leases have surely run out.
func (c *Core) collectLost() {
	for i := 0; i < len(c.touched); i++ {
		w := c.touched[i]
		lapsed := c.now >= w.renewedUntil || c.lacks(ownership.GuardRenewed)
		if len(w.bound) > 0 && !w.claim.Owned(c.now) && lapsed {
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

// stopUnwanted orders tasks to stop that no workload wants, and attempts that
// are not the task's own.
func (c *Core) stopUnwanted() {
	for _, w := range c.touched {
		if !w.claim.Owned(c.now) || w.claim.Pending() || len(w.orders) > 0 {
			continue
		}
		for _, a := range slices.Sorted(maps.Keys(w.observed)) {
			o := w.observed[a]
			if o.State == Running && !c.wants(w, o) {
				w.orders = append(w.orders, Order{Kind: Stop, Task: o.Task, Attempt: o.Attempt})
			}
		}
	}
	for _, t := range c.discard {
		if !t.wanted && !t.isBound() && c.tasks[t.name] == t {
			delete(c.tasks, t.name)
		}
	}
	c.discard = c.discard[:0]
}

func (c *Core) wants(w *worker, o ObservedTask) bool {
	t := c.tasks[o.Task]
	return t != nil && t.wanted && t.state != over && t.attempt == o.Attempt && t.worker == w.name
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

// allSeen reports whether every seat was seen while owned in this term.
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
