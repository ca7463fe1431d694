package scheduler

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// worker is a worker of the domain as known to this scheduler.
type worker struct {
	name    string
	address string
	// identity is the machine's identity in the list of hosts.
	identity string
	rack     string
	leaving  bool
	capacity resource.Vector
	fence    *ownership.Fence
	// recorded means that the machine is recorded in the tenure partition.
	recorded bool
	// observed holds the tasks of the newest accepted reply, by attempt.
	observed map[uint64]ObservedTask
	digest   uint64
	// assumed holds starts that no reply has settled yet, by attempt. Their
	// resources count as used.
	assumed map[uint64]Start
	// starts and orders wait for the next write.
	starts []Start
	orders []Order
	// leasesUntil is the local time by which every lease that this scheduler gave
	// on the worker has certainly expired.
	leasesUntil time.Duration
	// endedAt holds the worker's clock time at which an ended attempt was first
	// seen.
	endedAt map[uint64]time.Duration
	// nextWrite is when the next write is due.
	nextWrite time.Duration
	// confirmedAt is when the worker's tasks were last reported within a term.
	confirmedAt time.Duration
	// leavingRunners holds the serving runners that have to leave, by attempt.
	leavingRunners map[uint64]*leavingRunner
	derivedState
}

func newWorker(name string, t ownership.Timing) *worker {
	return &worker{
		name:        name,
		fence:       ownership.NewFence(t),
		observed:    map[uint64]ObservedTask{},
		assumed:     map[uint64]Start{},
		endedAt:     map[uint64]time.Duration{},
		confirmedAt: -1,

		leavingRunners: map[uint64]*leavingRunner{},

		derivedState: derivedState{bound: map[string]*task{}},
	}
}

// free returns the capacity not used by live tasks or assumed starts. A live task
// takes the larger of its granted size and its observed usage.
func (w *worker) free() resource.Vector {
	left := w.capacity
	for _, t := range w.observed {
		if t.State == Running {
			left = left.Sub(t.Size.Max(t.Usage))
		}
	}
	for _, s := range w.assumed {
		left = left.Sub(s.Size)
	}
	return left
}

// attemptBase separates the attempt numbers of different incarnations.
func attemptBase(instanceID string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(instanceID))
	return h.Sum64() &^ (1<<24 - 1)
}

// writeRetry is the delay before the next write to a worker that isn't owned.
const writeRetry = 500 * time.Millisecond

// sendDueWrites sends the writes that are due.
func (c *Core) sendDueWrites() {
	for _, w := range c.sortedDirty() {
		if w.address == "" || w.fence.WritePending() || c.term.Token() == 0 || c.workers[w.name] != w {
			continue
		}
		urgent := (len(w.orders) > 0 || len(w.starts) > 0 && c.now >= w.startsDueAt) && w.fence.Owned(c.now)
		if c.now >= c.nextWriteAt(w) || urgent {
			c.sendWrite(w)
		}
	}
}

func (c *Core) sendWrite(w *worker) {
	eff := WriteWorker{Worker: w.name, Address: w.address, Token: c.term.Token(), Boot: w.fence.BootTime(), Digest: w.digest}
	if c.termHeld && w.fence.Owned(c.now) {
		c.fillWrite(w, &eff)
	} else {
		c.dropUnsent(w)
	}
	eff.Write = w.fence.BeginWrite(c.now, eff.Token)
	w.nextWrite = c.now + c.settings.Timing.Renew
	if len(eff.Starts) > 0 {
		w.nextWrite = min(w.nextWrite, c.firstRenewal(w))
	}
	c.effects = append(c.effects, eff)
}

// firstRenewal returns when the lease of a task that is started now must be
// renewed: early enough for one more write before it expires.
func (c *Core) firstRenewal(w *worker) time.Duration {
	return max(w.fence.FreshUntil()-c.settings.Timing.Reply, c.now+writeRetry)
}

// fillWrite adds to a write to an owned worker what may only be sent within the
// term.
func (c *Core) fillWrite(w *worker, eff *WriteWorker) {
	var until time.Duration
	eff.RenewExpiry, until = w.fence.RenewalExpiry(c.now)
	w.leasesUntil = max(w.leasesUntil, until)
	for _, s := range w.starts {
		s.Expiry = w.fence.StartExpiry()
		if !c.guardDisabled(ownership.GuardAssumedStarts) {
			w.assumed[s.Attempt] = s
		}
		eff.Starts = append(eff.Starts, s)
	}
	for _, o := range w.orders {
		o.ValidUntil = w.fence.StartExpiry()
		eff.Orders = append(eff.Orders, o)
	}
	if len(eff.Starts) > 0 {
		w.leasesUntil = max(w.leasesUntil, c.now+c.settings.Timing.PlusDrift(c.settings.Timing.Start))
	}
	eff.Forget = c.forgettable(w)
	w.starts, w.orders = nil, nil
}

// forgettable returns ended attempts that the worker need not keep: their end is
// recorded where required, and no copy of their start can still take effect.
func (c *Core) forgettable(w *worker) []uint64 {
	var list []uint64
	for a, at := range w.endedAt {
		t, live := w.observed[a]
		if !live {
			delete(w.endedAt, a)
			continue
		}
		if w.fence.ClockReading() >= at+c.settings.Timing.Start && !c.ended.isPending(t) {
			list = append(list, a)
		}
	}
	slices.Sort(list)
	return list
}

// dropUnsent drops starts that were never sent. Their tasks wait again.
func (c *Core) dropUnsent(w *worker) {
	for _, s := range w.starts {
		delete(w.assumed, s.Attempt)
		if t := c.tasks[s.Task]; t != nil && t.attempt == s.Attempt {
			c.requeue(t)
		}
	}
	w.starts, w.orders = nil, nil
}

func (c *Core) handleWriteReplied(ev WriteReplied) {
	w := c.workers[ev.Worker]
	if w == nil {
		return
	}
	owned, boot := w.fence.Owned(c.now), w.fence.BootTime()
	if !w.fence.HandleReply(ev.Reply) {
		c.reasons["stale-reply"]++
		return
	}
	if ev.Reply.Token > c.term.Token() && c.term.Token() != 0 {
		c.reasons["fenced"]++
		c.leadership.state.MarkLost()
	}
	if !ev.Unchanged {
		w.digest, w.capacity = ev.Digest, ev.Capacity
		c.updateObserved(w, ev)
	}
	c.settleAssumed(w, ev.Reply.Now)
	// No lease given before the reply lasts longer than this.
	w.leasesUntil = max(w.leasesUntil, c.now+c.settings.Timing.PlusDrift(c.settings.Timing.Task))
	switch now := w.fence.Owned(c.now); {
	case now && c.termHeld && w.fence.LastWriteAt() >= c.term.Began():
		c.confirmTasks(w)
		fallthrough
	case now:
		if !owned {
			w.nextWrite = c.now
		}
	case w.fence.BootTime() != boot:
		w.nextWrite = c.now
	default:
		w.nextWrite = c.now + writeRetry
	}
}

// confirmTasks records that the tasks on a worker are known in this term.
func (c *Core) confirmTasks(w *worker) {
	w.confirmedAt = c.now
	for _, o := range w.observed {
		if t := c.tasks[o.Task]; t != nil && t.worker == w.name && t.attempt == o.Attempt {
			t.known, t.term = true, c.term.Began()
		}
	}
}

// settleAssumed drops assumed starts that the worker has reported, or that
// arrived too late.
func (c *Core) settleAssumed(w *worker, workerNow time.Duration) {
	for a, s := range w.assumed {
		if _, seen := w.observed[a]; seen {
			delete(w.assumed, a)
			continue
		}
		if s.Expiry > 0 && s.Expiry <= workerNow {
			delete(w.assumed, a)
			c.reasons["start-lost"]++
			if t := c.tasks[s.Task]; t != nil && t.attempt == a {
				c.requeue(t)
			}
		}
	}
}

func (c *Core) handleWriteFailed(ev WriteFailed) {
	w := c.workers[ev.Worker]
	if w == nil {
		return
	}
	c.reasons["write-failed"]++
	w.fence.FailWrite(ev.Write)
	w.nextWrite = max(c.now+writeRetry, w.nextWrite-c.settings.Timing.Renew+writeRetry)
}

// replaceMachine handles another machine behind a worker's name. The former
// machine may run its tasks until their leases have expired.
func (c *Core) replaceMachine(name string) {
	c.removeWorker(name)
	c.workers[name] = newWorker(name, c.settings.Timing)
}

// removeWorker removes a worker's state. Its tasks stay bound to the machine
// until their leases have certainly expired.
func (c *Core) removeWorker(name string) {
	w := c.workers[name]
	until := max(w.leasesUntil, c.now, 1)
	goneUntil := until
	if !c.termHeld || w.confirmedAt < c.term.Began() {
		c.unreachableMachine = true
		goneUntil = max(until, c.term.UnseenTasksExpireAt())
	}
	if w.address != "" {
		c.leadership.goneMachines[w.machineID()] = goneUntil
	}
	c.dropUnsent(w)
	delete(c.workers, name)
	for _, t := range c.tasks {
		if t.worker == name && t.state != waiting {
			t.leaseExpiredAt = until
		}
	}
}
