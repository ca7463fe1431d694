package scheduler

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// worker is a seat of the domain as this scheduler knows it.
type worker struct {
	name     string
	address  string
	rack     string
	leaving  bool
	capacity resource.Vector
	claim    *ownership.Claim
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
	// seenAt is when the worker's tasks were last told while it was owned.
	seenAt time.Duration
	// departures holds the serving runners that have to leave, by attempt.
	departures map[uint64]*departure
	attention
}

func newWorker(name string, t ownership.Timing) *worker {
	return &worker{
		name:     name,
		claim:    ownership.NewClaim(t),
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

// claimRetry is the wait before an unowned worker is written to again.
const claimRetry = 500 * time.Millisecond

// writeDue sends the writes whose time has come.
func (c *Core) writeDue() {
	for _, w := range c.inOrder() {
		if w.address == "" || w.claim.Pending() || !c.election.claiming || c.workers[w.name] != w {
			continue
		}
		urgent := (len(w.orders) > 0 || len(w.starts) > 0 && c.now >= w.flushAt) && w.claim.Owned(c.now)
		if c.now >= c.dueAt(w) || urgent {
			c.write(w)
		}
	}
}

func (c *Core) write(w *worker) {
	eff := WriteWorker{Worker: w.name, Address: w.address, Holder: w.claim.Holder(c.set.Holder()), Boot: w.claim.Boot(), Digest: w.digest}
	if !w.claim.Owned(c.now) || !c.term.Held(c.now) {
		c.abandon(w)
	}
	if w.claim.Owned(c.now) {
		c.fill(w, &eff)
	}
	m := w.claim.Send(c.now)
	eff.Write, eff.MarkExpiry = m.Write, m.Expiry
	w.due = c.now + c.set.Timing.Renew
	if len(eff.Starts) > 0 {
		w.due = min(w.due, c.firstRenewal(w))
	}
	c.out = append(c.out, eff)
}

// firstRenewal returns when the lease of a task that is started now has to be
// renewed: early enough for one more write before the confirmed mark runs out,
// which bounds the lease.
func (c *Core) firstRenewal(w *worker) time.Duration {
	return max(w.claim.ValidUntil()-c.set.Timing.Reply, c.now+claimRetry)
}

// fill adds to a write to an owned worker what only its owner may send.
func (c *Core) fill(w *worker, eff *WriteWorker) {
	if c.term.Held(c.now) {
		var until time.Duration
		eff.RenewExpiry, until = w.claim.TaskExpiry(c.now)
		w.renewedUntil = max(w.renewedUntil, until)
	}
	for _, s := range w.starts {
		s.Expiry = w.claim.StartExpiry()
		if !c.lacks(ownership.GuardAssumed) {
			w.assumed[s.Attempt] = s
		}
		eff.Starts = append(eff.Starts, s)
	}
	for _, o := range w.orders {
		o.ValidUntil = w.claim.StartExpiry()
		eff.Orders = append(eff.Orders, o)
	}
	if len(eff.Starts) > 0 {
		w.renewedUntil = max(w.renewedUntil, c.now+c.set.Timing.Lengthen(c.set.Timing.Mark))
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
		if w.claim.Reading() >= at+c.set.Timing.Mark && !c.ended.unrecorded(t) {
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
	was := w.claim.Phase()
	if !w.claim.Receive(ev.Reply) {
		c.reasons["stale-reply"]++
		return
	}
	if !ev.Unchanged {
		w.digest, w.capacity = ev.Digest, ev.Capacity
		c.observe(w, ev)
	}
	c.settle(w, ev.Reply.Now)
	// No lease given before the reply reaches further than this.
	w.renewedUntil = max(w.renewedUntil, c.now+c.set.Timing.Lengthen(c.set.Timing.Task))
	if w.claim.Owned(c.now) {
		c.confirm(w)
		if was != ownership.Owned {
			w.due = c.now
		}
		return
	}
	c.afterLost(w, was, ev.Reply)
}

// confirm notes that the tasks on an owned worker are known in this term.
func (c *Core) confirm(w *worker) {
	w.seenAt = c.now
	for _, o := range w.observed {
		if t := c.tasks[o.Task]; t != nil && t.worker == w.name && t.attempt == o.Attempt {
			t.known, t.term = true, c.term.Began()
		}
	}
}

// afterLost puts off the next claim of a worker that somebody else holds.
func (c *Core) afterLost(w *worker, was ownership.Phase, r ownership.Reply) {
	w.due = c.now + claimRetry
	if was == ownership.Idle {
		w.due = c.now
	}
	if r.Others > 0 {
		c.reasons["worker-held"]++
		// Else the mark would keep the other claimant, too, from owning the worker.
		c.release(w)
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
	w.claim.Fail(ev.Write)
	w.due = max(c.now+claimRetry, w.due-c.set.Timing.Renew+claimRetry)
}

// release gives a worker up. The worker is told so only when nothing sent
// before can still take effect there; else the mark runs out by itself.
func (c *Core) release(w *worker) {
	if !w.claim.Marked() {
		return
	}
	c.abandon(w)
	quiet := !w.claim.Pending() && len(w.assumed) == 0 || c.lacks(ownership.GuardQuiet)
	if quiet {
		holder := w.claim.Holder(c.set.Holder())
		c.out = append(c.out, WriteWorker{Worker: w.name, Address: w.address, Holder: holder, Boot: w.claim.Boot(), MarkExpiry: -1})
	}
	w.claim.Release(quiet)
}

// moveSeat takes note that another machine is behind a seat. The former one
// may run its tasks until their leases have run out.
func (c *Core) moveSeat(name string) {
	c.dropSeat(name)
	c.workers[name] = newWorker(name, c.set.Timing)
}

// dropSeat forgets the machine behind a seat. Its tasks stay bound to it until
// their leases have surely run out.
func (c *Core) dropSeat(name string) {
	w := c.workers[name]
	if !c.term.Held(c.now) || w.seenAt < c.term.Began() {
		c.leftUnseen = true
	}
	c.release(w)
	delete(c.workers, name)
	for _, t := range c.tasks {
		if t.worker == name && t.state != waiting {
			t.goneAt = max(w.renewedUntil, c.now, 1)
		}
	}
}
