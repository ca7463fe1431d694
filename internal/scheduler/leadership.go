package scheduler

import (
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/tenure"
)

// memberListInterval is the longest time between two leader records that list its
// workers. The partition must keep records for longer.
const memberListInterval = 10 * time.Second

// leadershipState is the core's state in the leader election of its domain.
type leadershipState struct {
	state *tenure.Election
	// membersKnown means that the newest recorded members have been read.
	membersKnown bool
	// previousMembers are the machines on which leaders before the present one may
	// have started tasks.
	previousMembers []string
	// members are the machines recorded last. Invariant: a leader starts tasks on
	// no others.
	members []string
	// proposedMembers are those of a record that may or may not be in the
	// partition.
	proposedMembers []string
	// listedAt is when a record that lists machines was last sent.
	listedAt time.Duration
	// expectedEnd is the partition end that the newest record required.
	expectedEnd int64
	// goneMachines holds machines that are no longer behind a worker's name, by
	// the time at which the leases on them have certainly expired.
	goneMachines map[string]time.Duration
	// stepDowns counts the times that stepping down has not helped, and
	// nextClaimAt is the earliest time of the next claim.
	stepDowns   int
	nextClaimAt time.Duration
}

// claimJitter is the range of the delays, derived from the schedulers' names,
// that are added to the silence before a claim.
const claimJitter = 200 * time.Millisecond

func newLeadershipState(set Settings) leadershipState {
	delay := time.Duration(attemptBase(set.Host)>>24) % claimJitter
	return leadershipState{state: tenure.New(set.Timing.Tenure, set.Host, set.Incarnation, delay), goneMachines: map[string]time.Duration{}}
}

// machineID identifies the machine behind a worker's name.
func (w *worker) machineID() string {
	if w.identity != "" {
		return w.name + "@" + w.identity
	}
	return w.name + "@" + w.address
}

func (c *Core) handleTenureRead(ev TenureRead) {
	t := &c.leadership
	for _, r := range ev.Records {
		t.membersKnown = t.membersKnown || len(r.Members) > 0
	}
	t.membersKnown = t.membersKnown || ev.First == 0
	t.state.HandleRecords(c.now, ev.Offsets, ev.Records, ev.End)
	c.updateMembers()
}

func (c *Core) handleTenureAppended(ev TenureAppended) {
	t := &c.leadership
	t.state.CompleteAction(c.now, ev.Record, ev.Offset, !ev.Failed)
	t.state.SetStoreLatency(ev.Took)
	if ev.Failed {
		c.reasons["tenure-unconfirmed"]++
	}
	c.updateMembers()
}

// updateMembers records which machines were recorded last.
func (c *Core) updateMembers() {
	t := &c.leadership
	if t.state.End() > t.expectedEnd {
		t.proposedMembers = nil
	}
	if now := t.state.Members(); !slices.Equal(now, t.members) {
		t.members = now
		c.syncRecorded()
	}
}

// syncRecorded updates on which workers tasks may be started.
func (c *Core) syncRecorded() {
	for _, name := range c.workerNames {
		w := c.workers[name]
		if _, is := slices.BinarySearch(c.leadership.members, w.machineID()); is != w.recorded {
			w.recorded = is
			c.markDirty(w)
		}
	}
}

// advanceLeadership claims or confirms leadership where that is due.
func (c *Core) advanceLeadership() {
	t := &c.leadership
	if c.leaving || !c.Ready() || len(c.workers) == 0 || !t.membersKnown {
		return
	}
	act := t.state.NextAction(c.now)
	if act == tenure.Wait || act == tenure.Claim && c.now < t.nextClaimAt {
		return
	}
	if act == tenure.Heartbeat && c.isCutOff() {
		c.stepDown()
		return
	}
	r, end := t.state.BeginAction(c.now, act, "")
	if act == tenure.Heartbeat && c.termHeld {
		c.listMembers(&r)
	}
	t.expectedEnd = end
	c.effects = append(c.effects, AppendTenure{Record: r, End: end})
}

// stepDownAfter is how long a leader that reaches no majority of its machines
// keeps leadership. It doubles with each time that stepping down has not helped,
// up to maxStepDownDoublings times.
const (
	stepDownAfter        = 6 * time.Second
	maxStepDownDoublings = 5
)

// stepDownPause is how long a leader that stepped down leaves leadership to
// others.
const stepDownPause = 3 * time.Second

// isCutOff reports whether another scheduler may reach more of the machines.
func (c *Core) isCutOff() bool {
	t := &c.leadership
	if !c.term.Exclusive(c.now) || len(t.members) == 0 {
		return false
	}
	asked := c.majorityConfirmedAt()
	if c.now-asked < stepDownAfter {
		t.stepDowns = 0
	}
	return c.now-max(asked, c.term.Began()) >= stepDownAfter<<t.stepDowns
}

// stepDown gives up leadership for a peer to take.
func (c *Core) stepDown() {
	t := &c.leadership
	c.reasons["yielded"]++
	t.stepDowns, t.nextClaimAt = min(t.stepDowns+1, maxStepDownDoublings), c.now+stepDownPause
	c.effects = append(c.effects, AppendTenure{Record: t.state.StepDown(), End: unconditional})
}

// listMembers lists the leader's machines in a record if they have changed or
// were last listed too long ago.
func (c *Core) listMembers(r *tenure.Record) {
	t := &c.leadership
	list := c.memberMachines()
	if slices.Equal(list, t.members) && c.now-t.listedAt < memberListInterval {
		return
	}
	r.Members, t.proposedMembers, t.listedAt = list, list, c.now
}

// memberMachines lists the machines on which tasks may run or may be started.
func (c *Core) memberMachines() []string {
	var list []string
	for _, name := range c.workerNames {
		if w := c.workers[name]; w.address != "" {
			list = append(list, w.machineID())
		}
	}
	for m, until := range c.leadership.goneMachines {
		if c.now >= until {
			delete(c.leadership.goneMachines, m)
		} else if !slices.Contains(list, m) {
			list = append(list, m)
		}
	}
	slices.Sort(list)
	return list
}

// workersByMachine returns the workers by the machines behind them.
func (c *Core) workersByMachine() map[string]*worker {
	m := make(map[string]*worker, len(c.workerNames))
	for _, name := range c.workerNames {
		m[c.workers[name].machineID()] = c.workers[name]
	}
	return m
}

// majorityConfirmedAt returns the latest time t such that a majority of the
// leader's machines has confirmed its token in reply to writes sent at t or
// later, by every member list that may be in force.
func (c *Core) majorityConfirmedAt() time.Duration {
	workers := c.workersByMachine()
	at := confirmedByMajority(workers, c.leadership.members)
	if c.leadership.proposedMembers != nil {
		at = min(at, confirmedByMajority(workers, c.leadership.proposedMembers))
	}
	return at
}

func confirmedByMajority(workers map[string]*worker, machines []string) time.Duration {
	asked := make([]time.Duration, len(machines))
	for i, m := range machines {
		if w := workers[m]; w != nil {
			asked[i] = w.fence.ConfirmedAt()
		}
	}
	return ownership.MajorityConfirmedAt(asked)
}

// fencedCount returns how many of the previous leaders' machines have answered
// under the present token.
func (c *Core) fencedCount() int {
	workers, n := c.workersByMachine(), 0
	for _, m := range c.leadership.previousMembers {
		if w := workers[m]; w != nil && w.fence.Fenced(c.term.Token()) {
			n++
		}
	}
	return n
}

// updateTerm updates the term from the leadership state.
func (c *Core) updateTerm() {
	st := c.leadership.state
	if c.leaving || !st.IsLeader() {
		c.term.End()
	} else {
		if st.Token() != c.term.Token() {
			c.beginLeadership()
		}
		c.confirmTerm()
	}
	held := c.term.Held(c.now)
	if !c.termHeld && held {
		c.beginTerm()
	}
	if c.termHeld != held {
		c.directoryDirty = true
		c.markAllDirty()
	}
	c.termHeld = held
}

// beginLeadership starts a leadership: every worker is to be fenced.
func (c *Core) beginLeadership() {
	c.term.Claim(c.leadership.state.Token())
	c.termHeld = false
	c.leadership.previousMembers = c.leadership.state.Members()
	clear(c.leadership.goneMachines)
	for _, name := range c.workerNames {
		c.workers[name].nextWrite = c.now
	}
	c.markAllDirty()
}

// confirmTerm updates how long the token is confirmed, and whether the previous
// leader can still give orders. A leadership whose confirmation has expired is
// lost.
func (c *Core) confirmTerm() {
	st, confidence := c.leadership.state, c.settings.Timing.Tenure.Confidence
	c.term.Confirm(st.ConfirmedAt())
	if c.term.Until()-c.now < confidence/2 {
		c.term.Confirm(c.majorityConfirmedAt())
	}
	if !c.term.Confirmed(c.now) {
		c.reasons["tenure-lost"]++
		st.MarkLost()
		c.term.End()
		return
	}
	if !c.term.Exclusive(c.now) {
		c.term.Update(c.now, ownership.PreviousLeader{Released: st.AfterRelease(), Workers: len(c.leadership.previousMembers), Fenced: c.fencedCount()})
	}
}

// beginTerm has every worker report what runs on it. Earlier reports of the
// previous leader's machines count if all of them had been fenced by then.
func (c *Core) beginTerm() {
	t := &c.leadership
	c.lastAttemptBeforeTerm = c.lastAttempt
	c.unreachableMachine = false
	workers, all := c.workersByMachine(), true
	for _, m := range t.previousMembers {
		w := workers[m]
		if w == nil {
			c.unreachableMachine = true
			t.goneMachines[m] = c.term.UnseenTasksExpireAt()
		}
		all = all && w != nil && w.fence.Fenced(c.term.Token())
	}
	for _, name := range c.workerNames {
		w := c.workers[name]
		w.nextWrite = c.now
		if all && w.fence.Owned(c.now) {
			c.confirmTasks(w)
		}
	}
}

// handleLeave gives up leadership for a planned stop.
func (c *Core) handleLeave() {
	c.leaving, c.directoryDirty = true, true
	for _, name := range c.workerNames {
		c.dropUnsent(c.workers[name])
	}
	r := c.leadership.state.Resign()
	if c.term.Exclusive(c.now) {
		c.effects = append(c.effects, AppendTenure{Record: r, End: unconditional})
	}
}

// unconditional lets a record be appended wherever the partition ends.
const unconditional = -1
