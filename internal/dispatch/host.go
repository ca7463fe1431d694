package dispatch

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// host is the state of one incarnation of a worker. Once the worker has answered a
// leader, its address and start time in info are those of that answer.
type host struct {
	info worker.Info
	// answered is set once the incarnation has answered this leader or a previous one.
	answered bool
	// claim is what an entry of the platform's list says that contradicts info. It is
	// empty if there is none, and refuted if the worker's answer has shown it to be wrong.
	claim, refuted entryClaim
	claimedAt      time.Duration
	// probing is set while a heartbeat to the claimed address is in flight.
	probing bool
	// incarnation is unique among all incarnations that this core has seen, over
	// all workers.
	incarnation int64
	// listed is set while the worker is in the platform's list.
	listed bool
	// unlistedSince is when a list first lacked the worker.
	unlistedSince time.Duration
	// inherited is set if the worker may have runs of a previous leader.
	inherited bool
	// fenced is set once the worker has answered a heartbeat of this leader, after
	// which no previous leader can act there.
	fenced bool
	// registered is set once the log records that the incarnation may run tasks,
	// registering while that record is not committed yet.
	registered  bool
	registering bool
	// recordQueued is set while a record of the worker is not committed yet,
	// recordRejected if the log can't hold the last one.
	recordQueued, recordRejected bool
	// voter is set while the record states that the worker counts in the majority of
	// workers that confirms a leader.
	voter bool
	// recordedRuns is how many runs the record lists.
	recordedRuns int
	// former is the record that a previous leader left, lastLeader the token of the last
	// leader before this one that may have given the worker orders.
	former     Registration
	lastLeader int64
	// contact is what the log records about contact with the worker.
	contact contactRecord
	// free is the capacity less all runs that run, may run or are being stopped.
	free workflow.Size
	runs map[runKey]*run
	// cachedRuns holds the runs in order. It is nil after a run was added or removed.
	cachedRuns []*run
	// hasOrdersToRetry is set if an order may have to be sent again. Orders in flight
	// don't count, so that a step need not go through all of them.
	hasOrdersToRetry bool
	// clock is a lower bound of the worker's clock, in milliseconds, at the local
	// time clockAt, when its last list arrived.
	clock   int64
	clockAt time.Duration
	// latestDeadline is the latest lease deadline ever sent, in milliseconds on the
	// worker's clock.
	latestDeadline int64
	// lastContact is when the last answer arrived.
	lastContact time.Duration
	// unanswered counts the orders without an answer since lastContact.
	// timeoutCounted is set once a timeout since then has been counted.
	unanswered     int
	timeoutCounted bool
	// unconfirmedStarts are starts without an answer that may still be carried out.
	unconfirmedStarts []unconfirmedStart
	// refusedSince is when connections were first refused of those that are refused now,
	// or when the platform last said that the worker runs nevertheless. It is 0 if the
	// last heartbeat was not refused.
	refusedSince time.Duration
	// nextInquiry is when the platform may be asked about the worker again, inquiryDelay
	// the time from the last inquiry to then.
	nextInquiry, inquiryDelay time.Duration
	// fencedAt is when the first answer under this token arrived, endedAt when it became
	// certain that the incarnation has ended.
	fencedAt, endedAt time.Duration
	// confirmedAt is the send time of the last heartbeat answered under this token.
	confirmedAt time.Duration
	// lastEnd is the number of the last end that was processed, lastRecordedEnd of
	// the last one whose effect is in the log.
	lastEnd, lastRecordedEnd int64
	ackedEnd                 int64
	heartbeatInFlight        bool
	// lastWait is the wait of the last heartbeat.
	lastWait      time.Duration
	nextHeartbeat time.Duration
	// heartbeatFailed is set if the last heartbeat returned no lists, so the worker
	// may have a new incarnation since.
	heartbeatFailed bool
	// lossyUntil is the time until which its answers are assumed to get lost.
	lossyUntil time.Duration
	// roundTrip is the smoothed time from an order to its answer, minRoundTrip the
	// shortest recent one. Both are 0 until they are known.
	roundTrip, minRoundTrip time.Duration
	health                  health
	// speed is how fast runs finish there relative to their estimates, or 0 if that
	// is not known yet.
	speed float64
	// suspectRuns counts the runs of tasks under which a worker has crashed.
	suspectRuns int
	// servingRuns counts the runs with a latency target. fillerMilliCPU is the CPU
	// that the fillers there would use, in thousandths of a core.
	servingRuns    int
	fillerMilliCPU int64
	// drainingSince is when the worker began to drain, or 0 if it isn't draining.
	drainingSince  time.Duration
	leavesAt       time.Duration
	leaveTimeKnown bool
	// reservedFor is the step that the free capacity is reserved for.
	reservedFor   *step
	reservedUntil time.Duration
	// preemptibleRuns are the runs that may be stopped for more urgent work, as of
	// preemptibleRound.
	preemptibleRuns  []*run
	preemptibleRound int64
}

type runKey struct {
	task workflow.TaskID
	run  int64
}

// newHost adds the state of a new incarnation of a worker.
func (c *Core) newHost(info worker.Info) *host {
	c.incarnations++
	h := &host{info: info, incarnation: c.incarnations, free: info.Capacity, runs: map[runKey]*run{}, lastContact: c.now, unlistedSince: c.now}
	c.restoreLastEnd(h)
	c.hosts[info.ID] = h
	return h
}

// restoreLastEnd sets the number of the last end that was processed of an incarnation that
// was removed and is there again, and 0 for one that is new.
func (c *Core) restoreLastEnd(h *host) {
	h.lastEnd, h.lastRecordedEnd = 0, 0
	if last, ok := c.endedBefore(h); ok {
		h.lastEnd, h.lastRecordedEnd = last.lastEnd, last.lastEnd
	}
}

// endedBefore returns what is kept of the incarnation if it was removed before.
func (c *Core) endedBefore(h *host) (endedIncarnation, bool) {
	last, ok := c.endedIncarnations[h.info.ID]
	return last, ok && h.info.Born != 0 && last.born == h.info.Born
}

// hasRestarted reports whether an earlier incarnation of the worker has ended in this term.
func (c *Core) hasRestarted(h *host) bool {
	_, ok := c.endedIncarnations[h.info.ID]
	return ok
}

// entryClaim is what an entry of the platform's list says against the worker's own
// answers. The entry may be outdated, or of another writer, so that the worker is asked
// first: at the address where it has answered or, while it is silent there, by turns at
// the claimed one. A claim that its answer contradicts is refuted.
type entryClaim struct {
	address string
	born    int64
}

// claimedBy returns what an entry says against the worker's own answers, or an empty
// claim.
func (h *host) claimedBy(info *worker.Info) entryClaim {
	sameBorn := info.Born == 0 || h.info.Born == 0 || info.Born == h.info.Born
	if !h.answered || sameBorn && info.Address == h.info.Address {
		return entryClaim{}
	}
	return entryClaim{info.Address, info.Born}
}

// restartClaimed reports whether an entry says that the worker has been started again.
// After one such claim was refuted, others count only while the worker is silent.
func (h *host) restartClaimed() bool {
	return h.info.Born != 0 && h.claim.born > h.info.Born && (h.refuted == entryClaim{} || h.unanswered > 0)
}

// noteClaim has the worker asked about a claim.
func (c *Core) noteClaim(h *host, claim entryClaim) {
	switch {
	case claim == h.claim, claim == h.refuted && h.unanswered == 0:
	case claim.born != 0 && claim.born < h.info.Born:
		// An entry of an earlier incarnation, or of one whose clock was set back.
		h.claim = entryClaim{}
	default:
		h.claim, h.claimedAt = claim, c.now
		h.nextHeartbeat = 0
	}
}

// refuteClaim notes that an answer of the worker contradicts its claim, if there is one.
func (h *host) refuteClaim() {
	if h.claim != (entryClaim{}) {
		h.refuted, h.claim = h.claim, entryClaim{}
	}
}

// mayBelieve reports whether a claim that a silent worker was started again puts nothing
// at risk if it is wrong.
func (c *Core) mayBelieve(h *host, claim entryClaim) bool {
	if claim.born == 0 || claim.born == h.info.Born || !h.contactLost() {
		return false
	}
	return len(h.runs) == 0 && !(h.inherited && !h.fenced) && len(h.possibleLateStarts(c.now)) == 0
}

func (c *Core) updateWorkers(infos []worker.Info) {
	changed := false
	for _, h := range c.hosts {
		if h.listed {
			h.listed, h.unlistedSince = false, c.now
		}
	}
	for _, info := range infos {
		h := c.hosts[info.ID]
		if h != nil {
			claim := h.claimedBy(&info)
			switch {
			case claim == entryClaim{}:
			case c.mayBelieve(h, claim):
				c.endIncarnation(h, lossDeparture, "it is listed as started again, and doesn't answer")
				h = nil
			default:
				h.listed = true
				c.noteClaim(h, claim)
				continue
			}
		}
		if h == nil {
			h = c.newHost(info)
			changed = true
		}
		changed = c.updateHost(h, info) || changed
		h.listed, h.claim = true, entryClaim{}
	}
	if changed {
		c.sortHosts()
	}
}

// updateHost applies an entry of the platform's list and reports whether placement
// may change.
func (c *Core) updateHost(h *host, info worker.Info) bool {
	old := h.info
	if info.Capacity != old.Capacity {
		h.free = h.free.Add(info.Capacity.Sub(old.Capacity))
	}
	if info.Draining && h.drainingSince == 0 {
		h.drainingSince = max(c.now, 1)
		c.recordDecision(Decision{Kind: "worker-draining", Worker: info.ID})
	}
	if info.Draining && info.RemainingKnown {
		leavesAt := c.now + info.Remaining
		if !h.leaveTimeKnown || leavesAt < h.leavesAt {
			h.leaveTimeKnown, h.leavesAt = true, leavesAt
		}
	}
	if h.info.Born != 0 && info.Born == 0 {
		info.Born = h.info.Born
	}
	if h.info.Machine != "" {
		info.Machine = h.info.Machine // an incarnation stays on its machine
	}
	if h.answered {
		info.Address = h.info.Address
	}
	h.info = info
	return info.Pool != old.Pool || info.Capacity != old.Capacity || info.Draining != old.Draining ||
		info.Address != old.Address || !h.listed
}

// inheritWorker adds an incarnation on which a previous leader may have started
// tasks.
func (c *Core) inheritWorker(ev WorkerRegistered) {
	e := ev.Registration
	h := c.hosts[e.Worker]
	switch {
	case h == nil:
		h = c.newHost(worker.Info{ID: e.Worker, Address: e.Address, Pool: e.Pool, Machine: e.Machine, Born: e.Born})
		c.hostsUnsorted = true
	case h.answered && h.info.Born > e.Born && e.Born != 0:
		return // that incarnation has ended
	case !h.answered && (e.Address != h.info.Address || e.Born != h.info.Born):
		// The entry may be of another writer.
		h.claim, h.claimedAt = entryClaim{h.info.Address, h.info.Born}, c.now
		h.info.Address, h.info.Born = e.Address, e.Born
		if e.Machine != "" {
			h.info.Machine = e.Machine
		}
	}
	h.answered = true
	h.inherited, h.registered, h.former, h.lastLeader = true, true, e, ev.LastLeader
	// A leader that recorded no voters counted all workers.
	if h.voter = !e.NonVoter || e.Leader <= c.set.LegacyToken; h.voter {
		c.formerVoters = append(c.formerVoters, h)
	}
	if !e.NonVoter {
		c.recordedVoters = append(c.recordedVoters, h)
	}
	if e.Unreachable {
		h.contact = contactLossRecorded
		for _, name := range e.Runs {
			c.suspectTasks[name] = h
		}
	}
	h.lastEnd, h.lastRecordedEnd = e.LastEnd, e.LastEnd
}

// handleWrongIncarnation ends an incarnation at whose address something else
// answers. That may be the worker's next incarnation, which may have accepted the
// newest starts. If the incarnation has never answered, the address belongs to another
// worker.
func (c *Core) handleWrongIncarnation(h *host) {
	const cause = "another life answers at its address"
	if h.clock == 0 {
		c.endIncarnation(h, lossCrash, cause)
		return
	}
	listed := h.listed
	next := c.replaceIncarnation(h, 0, cause)
	next.listed = listed
	// The clock of the next incarnation starts again from 0.
	next.clockAt, next.latestDeadline = c.now, c.set.MaxLease.Milliseconds()
}

// replaceIncarnation ends an incarnation and adds the next one of the same worker.
// Orders to the ended one that may still be carried out would reach the next one.
// The next one is told to stop them, and their tasks wait until it has.
func (c *Core) replaceIncarnation(h *host, born int64, reason string) *host {
	starts := h.possibleLateStarts(c.now)
	info := h.info
	info.Born = born
	c.endIncarnation(h, lossCrash, reason)
	next := c.newHost(info)
	next.listed = true
	// When these starts arrive, the worker may have been restarted once more.
	next.unconfirmedStarts = starts
	for _, d := range starts {
		r := &run{task: d.task, taskID: d.taskID, number: d.number, host: next, size: d.size, sentAt: c.now, unconfirmed: true, carriedOver: true, latencyMillis: -1}
		r.pace.percent = fullPace
		if r.task != nil && !r.task.done {
			c.addRun(r.task, r)
		} else {
			r.task = nil
		}
		next.addRun(r)
		c.chargeRun(r)
		c.stopRun(r, "its start may reach the worker's next life")
	}
	c.sortHosts()
	return next
}

// unconfirmedStart is a start without an answer that may still be carried out.
type unconfirmedStart struct {
	runKey
	taskID workflow.TaskID
	number int64
	task   *task
	size   workflow.Size
	since  time.Duration
}

// maxOrderDelay is how long after it was sent an order may still be carried out.
const maxOrderDelay = 15 * time.Second

// restartDetectionTime is how long the restart of a worker may go unnoticed.
const restartDetectionTime = 3 * time.Second

// possibleLateStarts returns the starts that may still be carried out.
func (h *host) possibleLateStarts(now time.Duration) []unconfirmedStart {
	var out []unconfirmedStart
	for _, d := range h.unconfirmedStarts {
		if now-d.since < maxOrderDelay {
			out = append(out, d)
		}
	}
	for _, r := range h.sortedRuns() {
		// A start that was answered recently may have been answered by the next
		// incarnation.
		if r.state == starting && r.orderInFlight && !r.unconfirmed || !r.unconfirmed && now-r.sentAt < restartDetectionTime {
			out = append(out, r.asUnconfirmedStart(now))
		}
	}
	return out
}

func (r *run) asUnconfirmedStart(now time.Duration) unconfirmedStart {
	return unconfirmedStart{runKey: r.key(), taskID: r.taskID, number: r.number, task: r.task, size: r.size, since: now}
}

// addUnconfirmedStart keeps track of a start without an answer.
func (h *host) addUnconfirmedStart(r *run, now time.Duration) {
	kept := h.unconfirmedStarts[:0]
	for _, d := range h.unconfirmedStarts {
		if now-d.since < maxOrderDelay && d.runKey != r.key() {
			kept = append(kept, d)
		}
	}
	h.unconfirmedStarts = append(kept, r.asUnconfirmedStart(now))
}

// endIncarnation removes an incarnation on which it is certain that nothing runs
// any longer. An incarnation that was about to leave has not crashed.
func (c *Core) endIncarnation(h *host, cause lossCause, reason string) {
	if h.info.Born != 0 {
		c.endedIncarnations[h.info.ID] = endedIncarnation{h.info.Born, h.lastEnd, c.now, reason}
	}
	c.recordDecision(Decision{Kind: "worker-gone", Worker: h.info.ID, Reason: reason})
	if h.drainingSince > 0 || c.evacuations[h.info.ID] != nil {
		cause = lossDeparture
	}
	var culprits []*task
	if cause == lossCrash {
		culprits = c.recordCrash(h)
	}
	for _, r := range h.sortedRuns() {
		c.loseRun(r, cause, reason)
	}
	delete(c.hosts, h.info.ID)
	h.endedAt = c.now
	if h.registered || h.registering {
		c.commits.release(h)
	}
	c.sortHosts()
	for _, t := range culprits {
		c.giveUp(t)
	}
}

// leasesExpireAt returns the local time at which every lease ever granted there is
// certain to have expired.
func (c *Core) leasesExpireAt(h *host) time.Duration {
	bound := time.Duration(0)
	if h.latestDeadline > 0 {
		left := time.Duration(h.latestDeadline-h.clock) * time.Millisecond
		bound = h.clockAt + time.Duration(float64(left)/(1-clockDrift)) + expirySlack
	}
	if h.inherited && !h.fenced {
		from, ok := c.lastLeaderEnded(h)
		if !ok {
			return never
		}
		bound = max(bound, from+c.set.PreviousLeaderBound)
	}
	return bound
}

// never is later than any other time.
const never = time.Duration(1<<63 - 1)

// expirySlack is added to the end of a lease for the rounding of clocks.
const expirySlack = 150 * time.Millisecond

// expireLeases removes the runs on workers whose leases are certain to have
// expired. A successor may have extended them since its claim, so the store must have
// confirmed this leader after the time at which they expired.
func (c *Core) expireLeases() {
	for _, h := range c.sortedHosts {
		if len(h.runs) == 0 && !(h.inherited && !h.fenced) {
			if !h.listed && c.now-c.silentSince(h) > unlistedRetention {
				c.endIncarnation(h, lossDeparture, "not listed any more")
				return
			}
			continue
		}
		if c.confirmedByStoreAt() < c.leasesExpireAt(h) {
			continue
		}
		if h.contact != contactNormal && len(h.runs) > 0 {
			c.commits.recordWorker(h)
		}
		if len(h.runs) > 0 {
			c.recordDecision(Decision{Kind: "leases-lapsed", Worker: h.info.ID, Reason: "no contact", Age: c.now - h.lastContact})
		}
		for _, r := range h.sortedRuns() {
			c.loseRun(r, lossLease, "its lease has lapsed")
		}
		if h.inherited && !h.fenced {
			h.inherited = false
			c.recordDecision(Decision{Kind: "former-leases-lapsed", Worker: h.info.ID, Age: c.now - c.termStart})
		}
	}
}

// silentSince returns since when the worker has answered no leader.
func (c *Core) silentSince(h *host) time.Duration {
	if h.fenced {
		return h.lastContact
	}
	if at, ok := c.lastLeaderEnded(h); ok {
		return min(at, h.lastContact)
	}
	return h.lastContact
}

// unlistedRetention is how long a worker is kept that is neither listed nor
// answers.
const unlistedRetention = 20 * time.Second

// endedIncarnation holds the last end that was processed of a removed incarnation, and
// when and why it was removed.
type endedIncarnation struct {
	born, lastEnd int64
	at            time.Duration
	reason        string
}

// usable reports whether new work may be sent to the worker.
func (c *Core) usable(h *host) bool {
	return h.listed && h.fenced && h.registered && !c.recordedUnreached[h.info.ID] && !h.restartClaimed() &&
		!c.isLeaving(h) && !h.contactLost() && h.contact == contactNormal &&
		c.now-h.lastContact < maxContactAge && !h.health.quarantined(c.now)
}

// hasRoom reports whether new work of the given size fits on the worker now. Most
// workers of a busy pool are ruled out by their size, which is the cheaper check.
func (c *Core) hasRoom(h *host, size workflow.Size) bool { return size.FitsIn(h.free) && c.usable(h) }

// overCapacity reports whether the runs there need more than the worker has left after
// its capacity has shrunk.
func (h *host) overCapacity() bool { return !workflow.Size{}.FitsIn(h.free) }

// maxContactAge is how old the last answer of a worker may be for it to get new
// work.
const maxContactAge = 2500 * time.Millisecond

// addRun adds a run and takes its resources. dropRun removes it and frees them.
func (h *host) addRun(r *run) {
	h.free = h.free.Sub(r.size)
	r.taskName = r.taskID.String()
	h.runs[r.key()] = r
	h.cachedRuns = nil
	h.countRun(r, 1)
}

func (h *host) countRun(r *run, n int) {
	if r.task == nil {
		return
	}
	if r.crashesBefore > 0 {
		h.suspectRuns += n
	}
	s := r.task.step
	if s.runsPerWorker != nil {
		if s.runsPerWorker[h] += n; s.runsPerWorker[h] <= 0 {
			delete(s.runsPerWorker, h)
		}
	}
	if s.def.TargetLatencyMillis > 0 {
		h.servingRuns += n
	}
	if s.def.Filler {
		h.fillerMilliCPU += int64(n) * s.def.Size.MilliCPU
	}
}

func (h *host) dropRun(r *run) {
	if h.runs[r.key()] != r {
		return
	}
	h.free = h.free.Add(r.size)
	delete(h.runs, r.key())
	h.cachedRuns = nil
	h.countRun(r, -1)
}

// sortedRuns returns the runs in order. Callers must not modify the slice. It
// doesn't change when runs are added or removed.
func (h *host) sortedRuns() []*run {
	if h.cachedRuns == nil && len(h.runs) > 0 {
		h.cachedRuns = make([]*run, 0, len(h.runs))
		for _, r := range h.runs {
			h.cachedRuns = append(h.cachedRuns, r)
		}
		sortRuns(h.cachedRuns)
	}
	return h.cachedRuns
}

// workerClock estimates the worker's clock in milliseconds. The estimate is ahead
// of the true value by no more than the drift since the last answer.
func (c *Core) workerClock(h *host) int64 {
	return h.clock + (c.now - h.clockAt).Milliseconds()
}
