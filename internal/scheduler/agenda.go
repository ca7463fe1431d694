package scheduler

import (
	"container/heap"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/placement"
)

// attention is what the scheduler derives from a worker's state, so that a step
// looks only at workers that an event or the passing of time concerns.
type attention struct {
	// node is the worker as placement sees it. Invariant: after every step in
	// which the term is held it equals what refresh would make of the worker.
	node *placement.Node
	// bound holds the tasks placed or live on the worker, by name.
	bound map[string]*task
	// wakeAt is the next local time at which the worker needs a look without
	// an event; slot is its place in the agenda.
	wakeAt time.Duration
	slot   int
	// touched is set while the worker is listed in the core's touched workers.
	touched bool
	// flushAt puts off a write that only brings new starts.
	flushAt time.Duration
	// drained is set while operators have taken the worker out of use.
	drained bool
	health  health
	// orderedAt is when orders were last handed to the next write.
	orderedAt time.Duration
}

// never is later than any time a core sees.
const never = time.Duration(math.MaxInt64)

// agenda is a heap of workers by the time at which each needs a look.
type agenda []*worker

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].wakeAt != a[j].wakeAt {
		return a[i].wakeAt < a[j].wakeAt
	}
	return a[i].name < a[j].name
}
func (a agenda) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].slot, a[j].slot = i, j
}
func (a *agenda) Push(x any) {
	w := x.(*worker)
	w.slot = len(*a)
	*a = append(*a, w)
}
func (a *agenda) Pop() any {
	old := *a
	w := old[len(old)-1]
	*a = old[:len(old)-1]
	return w
}

// touch has the present step look at a worker.
func (c *Core) touch(w *worker) {
	if w != nil && !w.touched {
		w.touched = true
		c.touched = append(c.touched, w)
	}
}

func (c *Core) touchAll() {
	for _, name := range c.order {
		c.touch(c.workers[name])
	}
}

// touchFor touches the workers that an event concerns.
func (c *Core) touchFor(ev Event) {
	switch ev := ev.(type) {
	case WriteReplied:
		c.touch(c.workers[ev.Worker])
	case WriteFailed:
		c.touch(c.workers[ev.Worker])
	case HostsRead, Leave:
		c.touchAll()
	}
}

// rebuild makes the agenda and the cell of the workers after these changed.
func (c *Core) rebuild() {
	c.agenda = c.agenda[:0]
	c.cell.Reset(len(c.order))
	for _, name := range c.order {
		w := c.workers[name]
		w.node = c.cell.Add(placement.Node{Name: name})
		c.agenda.Push(w)
	}
	heap.Init(&c.agenda)
	c.seenAll, c.orphansStale = false, true
	c.forgetPlaces()
	c.touched = c.touched[:0]
	for _, name := range c.order {
		c.workers[name].touched = false
	}
	c.touchAll()
}

// forgetPlaces drops what is kept on nodes, which are made anew.
func (c *Core) forgetPlaces() {
	for _, g := range c.queue.groups {
		g.holds = nil
	}
	c.reserved = [2]reservation{}
	c.freed = c.freed[:0]
	c.shapes++
	c.queue.activateAll()
}

// expire gives up what has run out, before anything else may rely on it: a
// reply that comes too late must not confirm a tenure anew.
func (c *Core) expire() {
	for len(c.agenda) > 0 && c.agenda[0].wakeAt <= c.now {
		w := c.agenda[0]
		w.fence.Expire(c.now)
		c.touch(w)
		w.wakeAt = never
		heap.Fix(&c.agenda, 0)
	}
	c.updateTerm()
}

// settleAgenda notes when each touched worker needs the next look.
func (c *Core) settleAgenda() {
	for _, w := range c.touched {
		w.touched = false
		if c.workers[w.name] != w {
			continue
		}
		w.wakeAt = c.nextLook(w)
		heap.Fix(&c.agenda, w.slot)
	}
	c.touched = c.touched[:0]
}

// nextLook returns the earliest time at which w changes without an event: a
// write falls due or is given up, its answer is no longer fresh, a leaving
// runner is overdue, or leases have run out.
func (c *Core) nextLook(w *worker) time.Duration {
	at := never
	switch {
	case w.fence.Pending():
		at = w.fence.SentAt() + c.set.Timing.Reply
	case w.address != "" && c.term.Token() != 0:
		at = c.dueAt(w)
		if len(w.starts) > 0 && w.fence.Owned(c.now) {
			at = min(at, w.flushAt)
		}
	}
	if w.health.until > c.now {
		at = min(at, w.health.until)
	}
	if c.now < w.orderedAt+orderRetry && w.orderedAt > 0 {
		at = min(at, w.orderedAt+orderRetry)
	}
	for _, d := range w.departures {
		if overdue := c.overdueAt(d); overdue > c.now {
			at = min(at, overdue)
		}
	}
	if w.fence.Owned(c.now) {
		at = min(at, w.fence.ValidUntil())
	} else if len(w.bound) > 0 {
		at = min(at, c.nextLoss(w))
	}
	return max(at, c.now+1)
}

// Bounds of polling.
const (
	// pollLeast is the least time between two writes to a worker that only ask for news.
	pollLeast = 500 * time.Millisecond
	// pollShare spreads polls over workers: the time between two polls grows by it with each.
	pollShare = 20 * time.Millisecond
)

// dueAt returns when the next write to w is due: at its renewal, or sooner
// while work waits whose policy spends messages to learn early of tasks' ends.
func (c *Core) dueAt(w *worker) time.Duration {
	if !c.polling || len(w.bound) == 0 || !w.fence.Owned(c.now) {
		return w.due
	}
	return min(w.due, w.fence.SentAt()+max(pollLeast, time.Duration(len(c.order))*pollShare))
}

// nextLoss returns when the tasks bound to a worker that isn't owned may next be lost.
func (c *Core) nextLoss(w *worker) time.Duration {
	if c.now < w.renewedUntil {
		return w.renewedUntil
	}
	at := never
	if until := c.term.HiddenUntil(); c.now < until {
		at = until
	}
	for _, t := range w.bound {
		if t.goneAt > c.now {
			at = min(at, t.goneAt)
		}
	}
	return at
}

// inOrder sorts the touched workers by name, so that effects have one order.
func (c *Core) inOrder() []*worker {
	slices.SortFunc(c.touched, func(a, b *worker) int { return strings.Compare(a.name, b.name) })
	return c.touched
}
