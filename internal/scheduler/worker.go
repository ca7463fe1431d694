package scheduler

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// worker is a worker of the domain as this scheduler knows it.
type worker struct {
	name    string
	address string
	// identity is the machine's, as the list of hosts has it.
	identity string
	rack     string
	leaving  bool
	capacity resource.Vector
	fence    *ownership.Fence
	// enlisted tells that the machine is recorded in the tenure partition.
	enlisted bool
	// observed holds the live tasks of the newest counted reply, by attempt.
	observed map[uint64]ObservedTask
	digest   uint64
	// assumed holds starts that no reply has settled yet, by attempt. Their
	// resources count as taken.
	assumed map[uint64]Start
	// starts and orders wait for the next write.
	starts []Start
	orders []Order
	// renewedUntil is the local time by which every lease that this scheduler
	// gave on the worker has surely run out.
	renewedUntil time.Duration
	// endedAt holds the worker's time at which an ended attempt was first seen.
	endedAt map[uint64]time.Duration
	// due is when the next write is to be sent.
	due time.Duration
	// seenAt is when the worker's tasks were last told in a term.
	seenAt time.Duration
	// departures holds the serving runners that have to leave, by attempt.
	departures map[uint64]*departure
	attention
}

func newWorker(name string, t ownership.Timing) *worker {
	return &worker{
		name:     name,
		fence:    ownership.NewFence(t),
		observed: map[uint64]ObservedTask{},
		assumed:  map[uint64]Start{},
		endedAt:  map[uint64]time.Duration{},
		seenAt:   -1,

		departures: map[uint64]*departure{},

		attention: attention{bound: map[string]*task{}},
	}
}

// free returns the capacity that nothing live or assumed holds. A live task
// takes the larger of what it was given and what it was seen to use.
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

// attemptBase spreads the attempts of different incarnations apart.
func attemptBase(holder string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(holder))
	return h.Sum64() &^ (1<<24 - 1)
}

// writeRetry is the wait before a worker is written to again that isn't owned.
const writeRetry = 500 * time.Millisecond

// writeDue sends the writes whose time has come.
func (c *Core) writeDue() {
	for _, w := range c.inOrder() {
		if w.address == "" || w.fence.Pending() || c.term.Token() == 0 || c.workers[w.name] != w {
			continue
		}
		urgent := (len(w.orders) > 0 || len(w.starts) > 0 && c.now >= w.flushAt) && w.fence.Owned(c.now)
		if c.now >= c.dueAt(w) || urgent {
			c.write(w)
		}
	}
}

func (c *Core) write(w *worker) {
	eff := WriteWorker{Worker: w.name, Address: w.address, Token: c.term.Token(), Boot: w.fence.Boot(), Digest: w.digest}
	if c.held && w.fence.Owned(c.now) {
		c.fill(w, &eff)
	} else {
		c.abandon(w)
	}
	eff.Write = w.fence.Send(c.now, eff.Token)
	w.due = c.now + c.set.Timing.Renew
	if len(eff.Starts) > 0 {
		w.due = min(w.due, c.firstRenewal(w))
	}
	c.out = append(c.out, eff)
}

// firstRenewal returns when the lease of a task that is started now has to be
// renewed: early enough for one more write before it runs out.
func (c *Core) firstRenewal(w *worker) time.Duration {
	return max(w.fence.ValidUntil()-c.set.Timing.Reply, c.now+writeRetry)
}

// fill adds to a write to an owned worker what may only be sent in the term.
func (c *Core) fill(w *worker, eff *WriteWorker) {
	var until time.Duration
	eff.RenewExpiry, until = w.fence.TaskExpiry(c.now)
	w.renewedUntil = max(w.renewedUntil, until)
	for _, s := range w.starts {
		s.Expiry = w.fence.StartExpiry()
		if !c.lacks(ownership.GuardAssumed) {
			w.assumed[s.Attempt] = s
		}
		eff.Starts = append(eff.Starts, s)
	}
	for _, o := range w.orders {
		o.ValidUntil = w.fence.StartExpiry()
		eff.Orders = append(eff.Orders, o)
	}
	if len(eff.Starts) > 0 {
		w.renewedUntil = max(w.renewedUntil, c.now+c.set.Timing.Lengthen(c.set.Timing.Start))
	}
	eff.Forget = c.forgettable(w)
	w.starts, w.orders = nil, nil
}

// forgettable returns ended attempts that the worker need not keep: their end
// is recorded where it has to be, and no copy of their start can still count.
func (c *Core) forgettable(w *worker) []uint64 {
	var list []uint64
	for a, at := range w.endedAt {
		t, live := w.observed[a]
		if !live {
			delete(w.endedAt, a)
			continue
		}
		if w.fence.Reading() >= at+c.set.Timing.Start && !c.ended.unrecorded(t) {
			list = append(list, a)
		}
	}
	slices.Sort(list)
	return list
}

// abandon drops starts that were never sent; their tasks wait again.
func (c *Core) abandon(w *worker) {
	for _, s := range w.starts {
		delete(w.assumed, s.Attempt)
		if t := c.tasks[s.Task]; t != nil && t.attempt == s.Attempt {
			c.wait(t)
		}
	}
	w.starts, w.orders = nil, nil
}

func (c *Core) replied(ev WriteReplied) {
	w := c.workers[ev.Worker]
	if w == nil {
		return
	}
	owned, boot := w.fence.Owned(c.now), w.fence.Boot()
	if !w.fence.Receive(ev.Reply) {
		c.reasons["stale-reply"]++
		return
	}
	if ev.Reply.Token > c.term.Token() && c.term.Token() != 0 {
		c.reasons["fenced"]++
		c.tenancy.state.MarkLost()
	}
	if !ev.Unchanged {
		w.digest, w.capacity = ev.Digest, ev.Capacity
		c.observe(w, ev)
	}
	c.settle(w, ev.Reply.Now)
	// No lease given before the reply reaches further than this.
	w.renewedUntil = max(w.renewedUntil, c.now+c.set.Timing.Lengthen(c.set.Timing.Task))
	switch now := w.fence.Owned(c.now); {
	case now && c.held && w.fence.SentAt() >= c.term.Began():
		c.confirm(w)
		fallthrough
	case now:
		if !owned {
			w.due = c.now
		}
	case w.fence.Boot() != boot:
		w.due = c.now
	default:
		w.due = c.now + writeRetry
	}
}

// confirm notes that the tasks on a worker are known in this term.
func (c *Core) confirm(w *worker) {
	w.seenAt = c.now
	for _, o := range w.observed {
		if t := c.tasks[o.Task]; t != nil && t.worker == w.name && t.attempt == o.Attempt {
			t.known, t.term = true, c.term.Began()
		}
	}
}

// settle drops assumed starts that the worker shows, or that came too late.
func (c *Core) settle(w *worker, workerNow time.Duration) {
	for a, s := range w.assumed {
		if _, seen := w.observed[a]; seen {
			delete(w.assumed, a)
			continue
		}
		if s.Expiry > 0 && s.Expiry <= workerNow {
			delete(w.assumed, a)
			c.reasons["start-lost"]++
			if t := c.tasks[s.Task]; t != nil && t.attempt == a {
				c.wait(t)
			}
		}
	}
}

func (c *Core) failed(ev WriteFailed) {
	w := c.workers[ev.Worker]
	if w == nil {
		return
	}
	c.reasons["write-failed"]++
	w.fence.Fail(ev.Write)
	w.due = max(c.now+writeRetry, w.due-c.set.Timing.Renew+writeRetry)
}

// replaceMachine takes note that another machine is behind a worker's name. The
// former one may run its tasks until their leases have run out.
func (c *Core) replaceMachine(name string) {
	c.dropWorker(name)
	c.workers[name] = newWorker(name, c.set.Timing)
}

// dropWorker forgets the machine behind a worker's name. Its tasks stay bound
// to it until their leases have surely run out.
func (c *Core) dropWorker(name string) {
	w := c.workers[name]
	until := max(w.renewedUntil, c.now, 1)
	clear := until
	if !c.held || w.seenAt < c.term.Began() {
		c.leftUnseen = true
		clear = max(until, c.term.HiddenUntil())
	}
	if w.address != "" {
		c.tenancy.gone[w.machine()] = clear
	}
	c.abandon(w)
	delete(c.workers, name)
	for _, t := range c.tasks {
		if t.worker == name && t.state != waiting {
			t.goneAt = until
		}
	}
}
