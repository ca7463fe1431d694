package scheduler

import (
	"container/heap"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/placement"
)

// derivedState is what the scheduler derives from a worker's state. It lets a
// step examine only workers affected by an event or by the passing of time.
type derivedState struct {
	// node is the worker as placement sees it. Invariant: after every step in
	// which the term is held, it equals what refreshNode would compute.
	node *placement.Node
	// bound holds the tasks placed or live on the worker, by name.
	bound map[string]*task
	// wakeAt is the next local time at which the worker must be examined without
	// an event; heapIndex is its index in the wakeup heap.
	wakeAt    time.Duration
	heapIndex int
	// dirty is set while the worker is in Core.dirty.
	dirty bool
	// startsDueAt delays a write that would only carry new starts.
	startsDueAt time.Duration
	// drained is set while operators have taken the worker out of service.
	drained bool
	health  health
	// lastOrderAt is when orders were last queued for the next write.
	lastOrderAt time.Duration
}

// never is later than any time a core sees.
const never = time.Duration(math.MaxInt64)

// wakeupHeap is a heap of workers by the time at which each must be examined.
type wakeupHeap []*worker

func (a wakeupHeap) Len() int { return len(a) }
func (a wakeupHeap) Less(i, j int) bool {
	if a[i].wakeAt != a[j].wakeAt {
		return a[i].wakeAt < a[j].wakeAt
	}
	return a[i].name < a[j].name
}
func (a wakeupHeap) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].heapIndex, a[j].heapIndex = i, j
}
func (a *wakeupHeap) Push(x any) {
	w := x.(*worker)
	w.heapIndex = len(*a)
	*a = append(*a, w)
}
func (a *wakeupHeap) Pop() any {
	old := *a
	w := old[len(old)-1]
	*a = old[:len(old)-1]
	return w
}

// markDirty has the present step examine a worker.
func (c *Core) markDirty(w *worker) {
	if w != nil && !w.dirty {
		w.dirty = true
		c.dirty = append(c.dirty, w)
	}
}

func (c *Core) markAllDirty() {
	for _, name := range c.workerNames {
		c.markDirty(c.workers[name])
	}
}

// markAffected marks the workers that an event concerns.
func (c *Core) markAffected(ev Event) {
	switch ev := ev.(type) {
	case WriteReplied:
		c.markDirty(c.workers[ev.Worker])
	case WriteFailed:
		c.markDirty(c.workers[ev.Worker])
	case HostsRead, Leave:
		c.markAllDirty()
	}
}

// rebuildNodes rebuilds the wakeup heap and the cell after the set of workers
// changed.
func (c *Core) rebuildNodes() {
	c.wakeups = c.wakeups[:0]
	c.cell.Reset(len(c.workerNames))
	for _, name := range c.workerNames {
		w := c.workers[name]
		w.node = c.cell.Add(placement.Node{Name: name})
		c.wakeups.Push(w)
	}
	heap.Init(&c.wakeups)
	c.seenAll, c.orphansStale = false, true
	c.resetNodeState()
	c.dirty = c.dirty[:0]
	for _, name := range c.workerNames {
		c.workers[name].dirty = false
	}
	c.markAllDirty()
}

// resetNodeState drops state that refers to nodes, which have been rebuilt.
func (c *Core) resetNodeState() {
	for _, g := range c.queue.groups {
		g.holds = nil
	}
	c.reserved = [2]reservation{}
	c.freedNodes = c.freedNodes[:0]
	c.capacityVersion++
	c.queue.activateAll()
}

// expire gives up what has timed out before anything else may rely on it: a reply
// that arrives too late must not confirm leadership again.
func (c *Core) expire() {
	for len(c.wakeups) > 0 && c.wakeups[0].wakeAt <= c.now {
		w := c.wakeups[0]
		w.fence.Expire(c.now)
		c.markDirty(w)
		w.wakeAt = never
		heap.Fix(&c.wakeups, 0)
	}
	c.updateTerm()
}

// scheduleWakeups updates the next wakeup of each dirty worker.
func (c *Core) scheduleWakeups() {
	for _, w := range c.dirty {
		w.dirty = false
		if c.workers[w.name] != w {
			continue
		}
		w.wakeAt = c.nextWakeup(w)
		heap.Fix(&c.wakeups, w.heapIndex)
	}
	c.dirty = c.dirty[:0]
}

// nextWakeup returns the earliest time at which w changes without an event: a
// write becomes due or times out, its answer is no longer fresh, a leaving runner
// is overdue, or leases have expired.
func (c *Core) nextWakeup(w *worker) time.Duration {
	at := never
	switch {
	case w.fence.WritePending():
		at = w.fence.LastWriteAt() + c.settings.Timing.Reply
	case w.address != "" && c.term.Token() != 0:
		at = c.nextWriteAt(w)
		if len(w.starts) > 0 && w.fence.Owned(c.now) {
			at = min(at, w.startsDueAt)
		}
	}
	if w.health.until > c.now {
		at = min(at, w.health.until)
	}
	if from := w.health.anyProbeAt(); w.health.probing && from > c.now {
		at = min(at, from)
	}
	if c.now < w.lastOrderAt+orderRetryInterval && w.lastOrderAt > 0 {
		at = min(at, w.lastOrderAt+orderRetryInterval)
	}
	for _, d := range w.leavingRunners {
		if overdue := c.drainDeadline(d); overdue > c.now {
			at = min(at, overdue)
		}
	}
	if w.fence.Owned(c.now) {
		at = min(at, w.fence.FreshUntil())
	} else if len(w.bound) > 0 {
		at = min(at, c.nextTaskLoss(w))
	}
	return max(at, c.now+1)
}

// Polling limits.
const (
	// minPollInterval is the minimum time between two writes to a worker that
	// only ask for a report.
	minPollInterval = 500 * time.Millisecond
	// pollIntervalPerWorker spreads polls over the workers: the interval between
	// two polls of a worker grows by this much with each worker.
	pollIntervalPerWorker = 20 * time.Millisecond
)

// nextWriteAt returns when the next write to w is due: at its renewal, or earlier
// while work is waiting whose policy polls workers to learn of task ends early.
func (c *Core) nextWriteAt(w *worker) time.Duration {
	if !c.polling || len(w.bound) == 0 || !w.fence.Owned(c.now) {
		return w.nextWrite
	}
	return min(w.nextWrite, w.fence.LastWriteAt()+max(minPollInterval, time.Duration(len(c.workerNames))*pollIntervalPerWorker))
}

// nextTaskLoss returns when tasks bound to a worker that isn't owned may next be
// lost.
func (c *Core) nextTaskLoss(w *worker) time.Duration {
	if c.now < w.leasesUntil {
		return w.leasesUntil
	}
	at := never
	if until := c.term.UnseenTasksExpireAt(); c.now < until {
		at = until
	}
	for _, t := range w.bound {
		if t.leaseExpiredAt > c.now {
			at = min(at, t.leaseExpiredAt)
		}
	}
	return at
}

// sortedDirty sorts the dirty workers by name, so that effects have a fixed
// order.
func (c *Core) sortedDirty() []*worker {
	slices.SortFunc(c.dirty, func(a, b *worker) int { return strings.Compare(a.name, b.name) })
	return c.dirty
}
