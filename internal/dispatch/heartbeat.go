package dispatch

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	// heartbeatWait is how long a worker waits for a task to end before it answers
	// a heartbeat.
	heartbeatWait = 1000 * time.Millisecond
	// latencyHeartbeatWait is the same for workers whose latency figures are needed.
	latencyHeartbeatWait = 500 * time.Millisecond
	// heartbeatRetry is the delay after a heartbeat that got no answer.
	heartbeatRetry = 250 * time.Millisecond
	// heartbeatSlack is how much longer than its wait a heartbeat may take. For
	// lossyPeriod after a lost answer, lossyHeartbeatSlack applies instead, and
	// lossyHeartbeatWait bounds the wait: to its worker, and to all in a small fleet.
	heartbeatSlack      = 500 * time.Millisecond
	lossyHeartbeatSlack = 150 * time.Millisecond
	lossyHeartbeatWait  = 250 * time.Millisecond
	lossyPeriod         = 4 * time.Second
	// maxLossyHeartbeatsPerSecond bounds the heartbeats that are sent in the meantime to
	// the workers that have answered. In a large fleet, an answer is lost at any time.
	maxLossyHeartbeatsPerSecond = 400
	// unrecordedEndsPause is the least delay between heartbeats while task ends are
	// not yet recorded, which would bring the same ends again.
	unrecordedEndsPause = 200 * time.Millisecond
	// idleHeartbeatWait is the wait on a worker without runs.
	idleHeartbeatWait = 2000 * time.Millisecond
)

// sendHeartbeats sends a heartbeat to each worker that is due for one.
func (c *Core) sendHeartbeats() {
	for _, h := range c.sortedHosts {
		if h.heartbeatInFlight || c.now < h.nextHeartbeat {
			continue
		}
		if !h.listed && len(h.runs) == 0 && !(h.inherited && !h.fenced) && h.ackedEnd >= h.lastRecordedEnd {
			continue
		}
		c.sendHeartbeat(h)
	}
}

func (c *Core) sendHeartbeat(h *host) {
	h.heartbeatInFlight = true
	heartbeat := worker.Heartbeat{Order: c.orderFor(h), LastAckedEnd: h.lastRecordedEnd}
	if h.probing = !h.probing && h.unanswered > 0 && h.claim.address != "" && h.claim.address != h.info.Address; h.probing {
		heartbeat.Address = h.claim.address
	}
	// Leases on an unreachable worker are not extended, since they must expire.
	if !c.recordedUnreached[h.info.ID] && c.leadershipConfirmed() && h.clock > 0 && !h.contactLost() && len(h.runs) > 0 {
		heartbeat.DeadlineMillis = c.workerClock(h) + c.set.Lease.Milliseconds()
		h.latestDeadline = max(h.latestDeadline, heartbeat.DeadlineMillis)
	}
	if h.unanswered > 0 || h.heartbeatFailed || !h.fenced {
		// Another incarnation may answer. It must not discard its own ends because of
		// end numbers that this one reported.
		heartbeat.LastAckedEnd = 0
	}
	var why purpose
	why, heartbeat.Wait = h.heartbeatPurpose()
	slack := heartbeatSlack
	if c.now < c.lossyUntil && h.unanswered == 0 {
		limit := c.lossyWait(h)
		if limit <= lossyHeartbeatWait {
			slack = lossyHeartbeatSlack
		}
		if heartbeat.Wait > limit {
			// A lost answer hides task ends until the next heartbeat, so send them often.
			why, heartbeat.Wait = heartbeatLossy, limit
		}
	}
	c.countCall(why)
	h.ackedEnd = heartbeat.LastAckedEnd
	h.lastWait = heartbeat.Wait
	timeout := h.lastWait + slack + h.roundTripAllowance()
	if len(h.runs) == 0 {
		timeout += c.delayAllowance()
	} else {
		// Leases must outlast a heartbeat that gets no answer and the next one.
		timeout = max(timeout, min(timeout+c.delayAllowance(), c.set.Lease/2))
	}
	c.emit(SendHeartbeat{Incarnation: h.incarnation, Heartbeat: heartbeat, Timeout: timeout})
}

// heartbeatPurpose returns why the worker gets a heartbeat, and how long it may wait
// for a task to end while no answers get lost.
func (h *host) heartbeatPurpose() (purpose, time.Duration) {
	switch {
	case h.unanswered > 0 || h.claim != entryClaim{}:
		return heartbeatRecheck, 0
	case !h.fenced:
		return heartbeatFence, 0
	case h.lastRecordedEnd < h.lastEnd:
		return heartbeatEnds, 0
	case h.awaitsRunList():
		return heartbeatStopped, 0
	case len(h.runs) == 0:
		return heartbeatIdle, idleHeartbeatWait
	case h.watchesLatency():
		return heartbeatRegular, latencyHeartbeatWait
	}
	return heartbeatRegular, heartbeatWait
}

// awaitsRunList reports whether a list is needed at once, to see whether the worker
// still has a run whose stop it has confirmed. A run that is in a list asked for after
// that appears as an end later.
func (h *host) awaitsRunList() bool {
	for _, r := range h.runs {
		if r.state == stopping && r.stopAckedAt > h.confirmedAt {
			return true
		}
	}
	return false
}

func (c *Core) heartbeatAnswered(ev HeartbeatAnswered) {
	if ev.Code == worker.Fenced {
		c.stepDown()
		return
	}
	h := c.hosts[ev.Worker]
	if h == nil || h.incarnation != ev.Incarnation {
		return
	}
	h.heartbeatInFlight = false
	h.heartbeatFailed = ev.Code != worker.OK
	if h.probing && h.heartbeatFailed {
		// It says nothing about the worker's own address.
		if ev.Code == worker.WrongIncarnation {
			h.refuteClaim()
		} else {
			h.nextHeartbeat = c.now + heartbeatRetry
		}
		return
	}
	switch ev.Code {
	case worker.OK:
	case worker.WrongIncarnation:
		c.handleWrongIncarnation(h)
		return
	case worker.ConnectionsExhausted:
		// This tells nothing of other workers. The client limits how often it connects.
		h.refusedSince = 0
		h.nextHeartbeat = c.now + heartbeatRetry
		if h.unanswered++; h.unanswered <= 1 {
			h.nextHeartbeat = c.now // there may be another connection
		}
		c.reasons["hold-"+ev.Code.String()]++
		return
	case worker.ConnectionRefused:
		h.unanswered++
		h.nextHeartbeat = c.now + heartbeatRetry
		if h.refusedSince == 0 {
			h.refusedSince, h.nextInquiry, h.inquiryDelay = c.now, c.now, 0
		}
		return
	default:
		h.refusedSince = 0
		c.recordTimeout(h, ev.SentAt, lossyHeartbeatSlack)
		h.nextHeartbeat = c.now + heartbeatRetry
		if h.unanswered <= 1 {
			h.nextHeartbeat = c.now // a single lost answer: try again at once
			c.recordLostAnswer(h)
		}
		c.reasons["hold-"+ev.Code.String()]++
		return
	}
	if h = c.identify(h, ev); h == nil {
		return
	}
	c.recordContact(h)
	if took := c.now - ev.SentAt; h.lastWait == 0 {
		c.recordRoundTrip(h, took)
	} else if took >= h.lastWait {
		c.recordDelay(took - h.lastWait - h.minRoundTrip)
	}
	h.refusedSince = 0
	h.confirmedAt = max(h.confirmedAt, ev.SentAt)
	h.clock, h.clockAt = ev.Lists.ClockMillis, c.now
	first := !h.fenced
	if first && (len(h.runs) > 0 || h.inherited || c.hasRestarted(h)) {
		// A previous leader may have granted leases here, or an order to the previous
		// incarnation has. They hold for whatever is started.
		h.latestDeadline = max(h.latestDeadline, h.clock+c.set.MaxLease.Milliseconds())
	}
	h.fenced = true
	if first {
		h.fencedAt, c.lastFenceAt = c.now, c.now
		c.dirty = true
		c.registerWorker(h)
		c.reportReturn(h)
	}
	c.processEnds(h, ev.Lists.Ended)
	c.reconcileRuns(h, ev)
	c.paceFillers(h)
	h.nextHeartbeat = c.now
	if h.lastRecordedEnd < h.lastEnd {
		h.nextHeartbeat = c.now + unrecordedEndsPause + c.delayAllowance()
	}
}

// identify returns the incarnation that has answered a heartbeat, which may be the next
// one of the worker, or nil if the answer is to be ignored.
func (c *Core) identify(h *host, ev HeartbeatAnswered) *host {
	b := ev.Lists.Born
	address := h.info.Address
	if h.probing {
		address = h.claim.address
	}
	switch {
	case !h.answered:
		if b != 0 {
			h.info.Born = b // the entry may be of another incarnation
		}
		c.restoreLastEnd(h)
	case b == 0 || b == h.info.Born:
	case h.info.Born == 0:
		h.info.Born = b
	case h.probing && b < h.info.Born:
		h.refuteClaim()
		return nil
	default:
		h = c.replaceIncarnation(h, b, "the worker was born anew")
	}
	h.info.Address, h.answered = address, true
	if h.claim.address == address && (h.claim.born == 0 || h.claim.born == b) {
		h.claim = entryClaim{}
	} else if ev.SentAt >= h.claimedAt && !h.probing {
		h.refuteClaim()
	}
	return h
}

// reportReturn reports that an incarnation answers that was taken for ended.
func (c *Core) reportReturn(h *host) {
	if last, ok := c.endedBefore(h); ok {
		c.recordDecision(Decision{Kind: "worker-returned", Worker: h.info.ID, Reason: last.reason, Age: c.now - last.at})
	}
}

// recordLostAnswer assumes for a while that answers get lost, most of all those of
// the worker, unless answers are just late.
func (c *Core) recordLostAnswer(h *host) {
	if !c.answersLate() {
		c.lossyUntil = c.now + lossyPeriod
		h.lossyUntil = c.lossyUntil
	}
}

// lossyWait bounds the wait of a heartbeat while answers get lost.
func (c *Core) lossyWait(h *host) time.Duration {
	if c.now < h.lossyUntil {
		return lossyHeartbeatWait
	}
	return max(lossyHeartbeatWait, time.Duration(len(c.sortedHosts))*time.Second/maxLossyHeartbeatsPerSecond)
}

// registerWorker records the incarnation before the first task is started on it.
func (c *Core) registerWorker(h *host) {
	if h.registered || h.registering {
		return
	}
	h.registering = true
	c.commits.recordWorker(h)
}

func (c *Core) processEnds(h *host, ends []worker.EndedRun) {
	for _, e := range ends {
		if e.Number <= h.lastEnd {
			continue
		}
		h.lastEnd = e.Number
		c.processEnd(h, e)
	}
	if h.lastRecordedEnd < h.lastEnd {
		c.commits.recordEnds(h)
	}
}

// processEnd applies one task end.
func (c *Core) processEnd(h *host, e worker.EndedRun) {
	r := h.runs[runKey{e.Task, e.Run}]
	t := c.findTask(e.Task)
	if t == nil && r != nil {
		t = r.task
	}
	c.recordDecision(Decision{Kind: "task-ended", Job: e.Task.Job, Task: e.Task.String(), Worker: h.info.ID, Run: e.Run, Outcome: string(e.How)})
	if t == nil || t.step.occurrence.job.finalState != "" {
		if r != nil {
			c.removeRun(r)
		}
		return
	}
	t.trialSeen(false)
	if r != nil {
		c.runBegun(r)
	}
	c.jobBegun(t.step.occurrence.job)
	c.saveCheckpoint(t, e.Checkpoint, e.Run)
	if e.How == worker.Done {
		t.step.occurrence.job.recordSuccess()
		if h.health.recordSuccess() {
			c.recordDecision(Decision{Kind: "worker-restored", Worker: h.info.ID, Job: e.Task.Job, Reason: "a task is done"})
		}
		if r != nil {
			c.updateSpeed(r)
		}
		c.runDone(t, e.Run)
	}
	if e.How == worker.Failed {
		j := t.step.occurrence.job
		if h.health.recordFailure(c.now, j, r != nil && r.isProbe(), j.recordFailure(h.info.ID)) {
			c.isolate(h, e.Task.Job, "its tasks fail")
		}
		c.runFailed(t, h, e.Run)
	}
	if e.How == worker.GangTimeout || e.How == worker.LeaseExpired || e.How == worker.GangBroken {
		c.reasons["run-"+string(e.How)]++
	}
	if r != nil {
		c.removeRun(r)
	} else if !t.done && !t.step.occurrence.job.ended() {
		c.enqueue(t.step)
	}
	if t.done {
		c.stopOtherRuns(t, "the task is done")
	}
	c.markDirty(t.step.occurrence.job)
}

func (c *Core) saveCheckpoint(t *task, checkpoint string, number int64) {
	if checkpoint == "" || !t.step.def.Checkpointing {
		return
	}
	if t.step.def.Gang {
		t.step.gang.checkpoint = checkpoint
		return
	}
	t.checkpoint = checkpoint
}

// runDone applies the end of a run that is done. For a gang, the end of one member
// counts for all.
func (c *Core) runDone(t *task, number int64) {
	if t.step.def.LongRunning {
		t.notBefore = c.now
		return
	}
	if !t.step.def.Gang {
		c.taskDone(t)
		return
	}
	for i := range t.step.count() {
		c.taskDone(t.step.task(i))
	}
}

func (c *Core) runFailed(t *task, h *host, number int64) {
	s := t.step
	t.avoidHost, t.avoidUntil = h, c.now+failedHostAvoidTime
	if s.def.LongRunning {
		t.failures++
		t.notBefore = c.now + failureBackoff*time.Duration(min(t.failures, 4))
		return
	}
	failures := 0
	if s.def.Gang {
		if s.gang.failedRun != number {
			s.gang.failedRun = number
			s.gang.failures++
		}
		failures = s.gang.failures
	} else {
		t.failures++
		failures = t.failures
	}
	t.notBefore = c.now + failureBackoff*time.Duration(failures)
	j := s.occurrence.job
	if j.queueKnown && j.queue.Attempts > 0 && failures >= j.queue.Attempts && j.finalState == "" && !t.done {
		c.finishJob(j, workflow.Failed, "task "+t.id().String()+" has used its attempts")
	}
}

func (c *Core) stopOtherRuns(t *task, reason string) {
	for _, r := range append([]*run(nil), t.runs...) {
		if !t.step.def.Gang {
			c.stopRun(r, reason)
		}
	}
}

// reconcileRuns updates the known runs to match the worker's list of runs.
func (c *Core) reconcileRuns(h *host, ev HeartbeatAnswered) {
	listed := make(map[runKey]bool, len(ev.Lists.Running))
	for _, x := range ev.Lists.Running {
		k := runKey{x.Task, x.Run}
		listed[k] = true
		r := h.runs[k]
		if r == nil {
			r = c.adoptRun(h, x)
		}
		c.updateRun(r, x)
	}
	if len(ev.Lists.Ended) >= maxEndsPerList {
		return // more ends may follow
	}
	stopTime := time.Duration(0)
	if ev.Lists.Incomplete {
		stopTime = c.set.StopTimeout
	}
	for _, r := range h.sortedRuns() {
		if listed[r.key()] || r.orderInFlight {
			continue
		}
		switch r.state {
		case stopping:
			if r.stopAckedAt > 0 && r.stopAckedAt+stopTime <= ev.SentAt {
				c.removeRun(r)
			}
		case running:
			if r.beganAt < ev.SentAt && !ev.Lists.Incomplete {
				c.loseRun(r, lossUnlisted, "the worker lists neither it nor its end")
			}
		}
	}
}

// failedHostAvoidTime is how long a task isn't sent to the worker on which it
// failed.
const failedHostAvoidTime = time.Second

// maxEndsPerList is how many ends a worker lists at a time.
const maxEndsPerList = 500

// adoptRun adds a run that the worker lists, but that this leader has not started
// or has given up.
func (c *Core) adoptRun(h *host, x worker.ActiveRun) *run {
	t := c.findTask(x.Task)
	r := &run{task: t, taskID: x.Task, number: x.Run, host: h, state: running, sentAt: c.now,
		progressAt: c.now, beganAt: c.now, begun: true, latencyMillis: -1}
	r.pace.percent = fullPace
	if t != nil {
		c.jobBegun(t.step.occurrence.job)
		t.trialSeen(true)
		r.crashesBefore = t.crashHistory().suspicion()
		c.addRun(t, r)
	}
	r.size = c.taskSize(x.Task)
	h.addRun(r)
	c.chargeRun(r)
	// A previous leader granted its lease, for the maximum time at most.
	h.latestDeadline = max(h.latestDeadline, h.clock+c.set.MaxLease.Milliseconds())
	c.dirty = true
	wanted := t != nil && !t.done && !t.step.occurrence.job.ended() &&
		(len(t.runs) == 1 || t.step.def.Speculative)
	if !wanted {
		c.stopRun(r, "it is not wanted here")
		return r
	}
	if t.step.def.Gang {
		t.step.gang.adopt(x.Run, c.now)
	}
	c.recordDecision(Decision{Kind: "run-adopted", Job: x.Task.Job, Task: x.Task.String(), Worker: h.info.ID, Run: x.Run})
	return r
}

// taskSize returns the resources that a task counts for, even after its job has
// ended.
func (c *Core) taskSize(id workflow.TaskID) workflow.Size {
	j := c.jobs[id.Job]
	if j == nil || id.Step < 0 || id.Step >= len(j.def.Steps) {
		return workflow.Size{}
	}
	return j.def.Steps[id.Step].ReservedSize()
}

// updateRun updates a run from its entry in the worker's list.
func (c *Core) updateRun(r *run, x worker.ActiveRun) {
	if r.state == starting && !r.orderInFlight {
		r.state = running
	}
	c.runBegun(r)
	if !r.listed {
		r.listed = true
		if r.startCheckpoint != "" {
			r.startPercent, r.percent = x.Percent, x.Percent
			r.beganAt, r.progressAt = c.now, c.now
		}
	}
	if x.Percent > r.percent {
		r.percent, r.progressAt = x.Percent, c.now
	}
	if x.Load >= 0 {
		r.latencyMillis, r.latencyAt = x.Load, c.now
	}
	if r.task != nil {
		c.saveCheckpoint(r.task, x.Checkpoint, x.Run)
	}
}
