package scheduler

import (
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/tenure"
)

// listInterval is the longest time between two records of a holder that name
// its workers. The partition must keep records for longer.
const listInterval = 10 * time.Second

// tenancy is the core's part in the tenure of its domain.
type tenancy struct {
	state *tenure.Election
	// complete tells that the members recorded last are known.
	complete bool
	// former are the machines on which holders before the present one may have
	// started tasks.
	former []string
	// members are the machines recorded last. Invariant: a holder starts tasks
	// on no others.
	members []string
	// offered are those of a record that may or may not be in the partition.
	offered []string
	// listedAt is when a record that names machines was last sent.
	listedAt time.Duration
	// end is where the partition had to end for the newest record.
	end int64
	// gone holds machines that are no longer behind a worker's name, by when
	// the leases on them have surely run out.
	gone map[string]time.Duration
	// yields counts the terms given up in vain, and notBefore is the earliest
	// time of the next claim.
	yields    int
	notBefore time.Duration
}

// claimSpread is the range of the delays that schedulers add to the silence
// before a claim, by their names.
const claimSpread = 200 * time.Millisecond

func newTenancy(set Settings) tenancy {
	delay := time.Duration(attemptBase(set.Host)>>24) % claimSpread
	return tenancy{state: tenure.New(set.Timing.Tenure, set.Host, set.Incarnation, delay), gone: map[string]time.Duration{}}
}

// machine names the machine behind a worker's name.
func (w *worker) machine() string {
	if w.identity != "" {
		return w.name + "@" + w.identity
	}
	return w.name + "@" + w.address
}

func (c *Core) readTenure(ev TenureRead) {
	t := &c.tenancy
	for _, r := range ev.Records {
		t.complete = t.complete || len(r.Members) > 0
	}
	t.complete = t.complete || ev.First == 0
	t.state.HandleRecords(c.now, ev.Offsets, ev.Records, ev.End)
	c.takeMembers()
}

func (c *Core) tenureAppended(ev TenureAppended) {
	t := &c.tenancy
	t.state.CompleteAction(c.now, ev.Record, ev.Offset, !ev.Failed)
	t.state.SetStoreLatency(ev.Took)
	if ev.Failed {
		c.reasons["tenure-unconfirmed"]++
	}
	c.takeMembers()
}

// takeMembers notes which machines were recorded last.
func (c *Core) takeMembers() {
	t := &c.tenancy
	if t.state.End() > t.end {
		t.offered = nil
	}
	if now := t.state.Members(); !slices.Equal(now, t.members) {
		t.members = now
		c.setEnlisted()
	}
}

// setEnlisted notes on which workers tasks may be started.
func (c *Core) setEnlisted() {
	for _, name := range c.order {
		w := c.workers[name]
		if _, is := slices.BinarySearch(c.tenancy.members, w.machine()); is != w.enlisted {
			w.enlisted = is
			c.touch(w)
		}
	}
}

// proceed claims the tenure or confirms it, where that is due.
func (c *Core) proceed() {
	t := &c.tenancy
	if c.leaving || !c.Ready() || len(c.workers) == 0 || !t.complete {
		return
	}
	act := t.state.NextAction(c.now)
	if act == tenure.Wait || act == tenure.Claim && c.now < t.notBefore {
		return
	}
	if act == tenure.Heartbeat && c.isCutOff() {
		c.yield()
		return
	}
	r, end := t.state.BeginAction(c.now, act, "")
	if act == tenure.Heartbeat && c.held {
		c.enlist(&r)
	}
	t.end = end
	c.out = append(c.out, AppendTenure{Record: r, End: end})
}

// yieldAfter is how long a holder that reaches no majority of its machines keeps
// the tenure; it doubles with each time that it has not helped, up to yieldMost times.
const (
	yieldAfter = 6 * time.Second
	yieldMost  = 5
)

// yieldPause is how long a holder that yielded leaves the tenure to others.
const yieldPause = 3 * time.Second

// isCutOff reports whether another scheduler may reach more of the machines.
func (c *Core) isCutOff() bool {
	t := &c.tenancy
	if !c.term.Alone(c.now) || len(t.members) == 0 {
		return false
	}
	asked := c.vouchedAt()
	if c.now-asked < yieldAfter {
		t.yields = 0
	}
	return c.now-max(asked, c.term.Began()) >= yieldAfter<<t.yields
}

// yield gives the tenure up for a peer to take.
func (c *Core) yield() {
	t := &c.tenancy
	c.reasons["yielded"]++
	t.yields, t.notBefore = min(t.yields+1, yieldMost), c.now+yieldPause
	c.out = append(c.out, AppendTenure{Record: t.state.StepDown(), End: anyEnd})
}

// enlist names the holder's machines in a record, if they have changed or were
// last named long ago.
func (c *Core) enlist(r *tenure.Record) {
	t := &c.tenancy
	list := c.machines()
	if slices.Equal(list, t.members) && c.now-t.listedAt < listInterval {
		return
	}
	r.Members, t.offered, t.listedAt = list, list, c.now
}

// machines lists the machines on which tasks may run or may be started.
func (c *Core) machines() []string {
	var list []string
	for _, name := range c.order {
		if w := c.workers[name]; w.address != "" {
			list = append(list, w.machine())
		}
	}
	for m, until := range c.tenancy.gone {
		if c.now >= until {
			delete(c.tenancy.gone, m)
		} else if !slices.Contains(list, m) {
			list = append(list, m)
		}
	}
	slices.Sort(list)
	return list
}

// byMachine returns the workers by the machines behind them.
func (c *Core) byMachine() map[string]*worker {
	m := make(map[string]*worker, len(c.order))
	for _, name := range c.order {
		m[c.workers[name].machine()] = c.workers[name]
	}
	return m
}

// vouchedAt returns when a majority of the holder's machines was last asked
// that has answered under its token, by every list that may be in force.
func (c *Core) vouchedAt() time.Duration {
	workers := c.byMachine()
	at := vouched(workers, c.tenancy.members)
	if c.tenancy.offered != nil {
		at = min(at, vouched(workers, c.tenancy.offered))
	}
	return at
}

func vouched(workers map[string]*worker, machines []string) time.Duration {
	asked := make([]time.Duration, len(machines))
	for i, m := range machines {
		if w := workers[m]; w != nil {
			asked[i] = w.fence.Vouched()
		}
	}
	return ownership.Vouched(asked)
}

// fenced counts the former holders' machines that answered under the present token.
func (c *Core) fenced() int {
	workers, n := c.byMachine(), 0
	for _, m := range c.tenancy.former {
		if w := workers[m]; w != nil && w.fence.Fenced(c.term.Token()) {
			n++
		}
	}
	return n
}

// updateTerm brings the term in line with the tenure.
func (c *Core) updateTerm() {
	st := c.tenancy.state
	if c.leaving || !st.IsLeader() {
		c.term.End()
	} else {
		if st.Token() != c.term.Token() {
			c.takeTenure()
		}
		c.confirmTerm()
	}
	held := c.term.Held(c.now)
	if !c.held && held {
		c.beginTerm()
	}
	if c.held != held {
		c.dirDirty = true
		c.touchAll()
	}
	c.held = held
}

// takeTenure begins a tenure: every worker is to be fenced.
func (c *Core) takeTenure() {
	c.term.Claim(c.tenancy.state.Token())
	c.held = false
	c.tenancy.former = c.tenancy.state.Members()
	clear(c.tenancy.gone)
	for _, name := range c.order {
		c.workers[name].due = c.now
	}
	c.touchAll()
}

// confirmTerm works out how long the token is confirmed, and whether the former
// holder's orders are over. A tenure whose confirmation has run out is lost.
func (c *Core) confirmTerm() {
	st, confidence := c.tenancy.state, c.set.Timing.Tenure.Confidence
	c.term.Confirm(st.ConfirmedAt())
	if c.term.Until()-c.now < confidence/2 {
		c.term.Confirm(c.vouchedAt())
	}
	if !c.term.Confirmed(c.now) {
		c.reasons["tenure-lost"]++
		st.MarkLost()
		c.term.End()
		return
	}
	if !c.term.Alone(c.now) {
		c.term.Update(c.now, ownership.Former{Over: st.AfterRelease(), Workers: len(c.tenancy.former), Fenced: c.fenced()})
	}
}

// beginTerm has every worker tell what runs on it. What the former holder's
// machines told before counts if all of them had been fenced by then.
func (c *Core) beginTerm() {
	t := &c.tenancy
	c.termAttempts = c.attempts
	c.leftUnseen = false
	workers, all := c.byMachine(), true
	for _, m := range t.former {
		w := workers[m]
		if w == nil {
			c.leftUnseen = true
			t.gone[m] = c.term.HiddenUntil()
		}
		all = all && w != nil && w.fence.Fenced(c.term.Token())
	}
	for _, name := range c.order {
		w := c.workers[name]
		w.due = c.now
		if all && w.fence.Owned(c.now) {
			c.confirm(w)
		}
	}
}

// leave gives the tenure up for a planned stop.
func (c *Core) leave() {
	c.leaving, c.dirDirty = true, true
	for _, name := range c.order {
		c.abandon(c.workers[name])
	}
	r := c.tenancy.state.Resign()
	if c.term.Alone(c.now) {
		c.out = append(c.out, AppendTenure{Record: r, End: anyEnd})
	}
}

// anyEnd lets a record be appended wherever the partition ends.
const anyEnd = -1
