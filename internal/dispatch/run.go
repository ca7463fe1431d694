package dispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

type runState int

const (
	// starting means that the order was sent, but no answer or list has shown the
	// run yet.
	starting runState = iota
	running
	// stopping means that the run must end. Its resources are held until its end is
	// known.
	stopping
)

// run is one start of a task on one worker. It is kept in the host's runs and, if
// the task is known, in the task's runs until it is certain to have ended.
type run struct {
	// task is nil for a run that no known task needs.
	task   *task
	taskID workflow.TaskID
	// taskName is taskID as a string, kept for sorting.
	taskName string
	number   int64
	host     *host
	size     workflow.Size
	state    runState
	sentAt   time.Duration
	// waited is how long the task had waited when its start was ordered.
	waited time.Duration
	// unconfirmed is set if an order for the run got no answer. The order may still
	// be carried out late.
	unconfirmed bool
	attempts    int
	// carriedOver is set for a start that was sent to a previous incarnation and may
	// still reach this one.
	carriedOver bool
	// begun is set once the worker has shown that it carried out the start.
	begun bool
	// crashesBefore is how many workers had crashed under the task when it was started.
	crashesBefore int
	// orderInFlight is set while an order for the run waits for its answer.
	orderInFlight bool
	orderSentAt   time.Duration
	nextOrderAt   time.Duration
	// stopAckedAt is when a stop was confirmed, or 0.
	stopAckedAt     time.Duration
	stopReason      string
	ticket          string
	startCheckpoint string // checkpoint that the run began with
	// percent is the progress as last listed, progressAt when it last rose.
	percent    float64
	progressAt time.Duration
	// startPercent is the progress with which the run began, as first listed.
	startPercent  float64
	listed        bool
	beganAt       time.Duration
	latencyMillis float64
	latencyAt     time.Duration
	pace          pace
	// account is the client account that the run counts for, with the amount charge. It is
	// empty for none.
	account string
	charge  resource.Vector
}

func (r *run) key() runKey { return runKey{r.taskID, r.number} }

func sortRuns(rs []*run) {
	sort.Slice(rs, func(a, b int) bool {
		if rs[a].taskName != rs[b].taskName {
			return rs[a].taskName < rs[b].taskName
		}
		return rs[a].number < rs[b].number
	})
}

const (
	// maxStartsPerTerm bounds the starts of a task within one term.
	maxStartsPerTerm = 1 << 12
	// maxStartAttempts is how often a start is sent before the run is given up.
	maxStartAttempts = 2
	// firstOrderTimeout and laterOrderTimeout bound the wait for the answer to an
	// order. The first is short since sending a start again does no harm.
	firstOrderTimeout = 220 * time.Millisecond
	laterOrderTimeout = 500 * time.Millisecond
	// stopRetryDelay is the delay before a stop without an answer is sent again.
	stopRetryDelay = 100 * time.Millisecond
	// failureBackoff delays a failed task, times the number of its failures.
	failureBackoff = 50 * time.Millisecond
)

// orderTimeout returns how long to wait for the answer to the run's order.
func (c *Core) orderTimeout(r *run) time.Duration {
	if r.attempts <= 1 {
		return firstOrderTimeout + r.host.roundTripAllowance() + c.delayAllowance()
	}
	return laterOrderTimeout + r.host.roundTripAllowance() + c.delayAllowance()
}

// maxUnanswered is how many orders in a row without an answer mean that contact is
// lost.
const maxUnanswered = 2

// contactLost reports whether contact with the worker is lost.
func (h *host) contactLost() bool { return h.unanswered >= maxUnanswered }

// nextRunNumber returns a number for the task's next start that is higher than all
// earlier ones.
func (c *Core) nextRunNumber(t *task) int64 {
	if t.step.def.Gang {
		t.step.gang.starts++
		return c.set.Token*maxStartsPerTerm + t.step.gang.starts
	}
	t.starts++
	return c.set.Token*maxStartsPerTerm + t.starts
}

// startTask starts a task on a worker.
func (c *Core) startTask(t *task, h *host, number int64, ticket string) *run {
	s := t.step
	checkpoint := t.checkpoint
	if s.def.Gang {
		checkpoint = s.gang.checkpoint
	}
	if !s.def.Checkpointing {
		checkpoint = ""
	}
	r := &run{task: t, taskID: t.id(), number: number, host: h, size: s.def.ReservedSize(),
		sentAt: c.now, progressAt: c.now, beganAt: c.now, ticket: ticket, startCheckpoint: checkpoint, latencyMillis: -1}
	r.pace.percent = fullPace
	r.crashesBefore = t.crashHistory().suspicion()
	c.addRun(t, r)
	h.addRun(r)
	c.chargeRun(r)
	r.waited = c.waitTime(t)
	c.sendStart(r)
	if j := s.occurrence.job; !j.ordered {
		j.ordered = true
		c.markDirty(j)
	}
	return r
}

// jobBegun records that a task of the job has begun, for callers.
func (c *Core) jobBegun(j *job) {
	if j.begun {
		return
	}
	j.begun = true
	if j.finalState == "" {
		c.markDirty(j)
	}
}

// runBegun applies that the worker has shown that it carried out the run's start.
func (c *Core) runBegun(r *run) {
	if r.begun {
		return
	}
	r.begun = true
	if r.task == nil {
		return
	}
	j := r.task.step.occurrence.job
	queued := time.Duration(0)
	if !j.begun {
		queued = time.Duration(max(c.wall-j.def.AcceptedMillis, 1)) * time.Millisecond
		c.jobBegun(j)
	}
	c.recordDecision(Decision{Kind: "task-started", Job: j.def.ID, Task: r.taskID.String(), Worker: r.host.info.ID, Run: r.number,
		Age: r.waited, Queued: queued, Expected: c.learnedTime(r.task.step)})
}

func (c *Core) sendStart(r *run) {
	h := r.host
	r.attempts++
	r.orderInFlight, r.orderSentAt = true, c.now
	if r.attempts == 1 {
		c.window.add(r)
	} else if ticket, ok := c.ticketFor(r.task.step, h); ok {
		r.ticket = ticket
	}
	deadline := c.workerClock(h) + c.set.Lease.Milliseconds()
	h.latestDeadline = max(h.latestDeadline, deadline)
	c.countCall(callStart)
	c.emit(StartTask{Incarnation: h.incarnation, Start: worker.Start{
		Order: c.orderFor(h), Task: r.taskID, Run: r.number, Spec: r.task.step.occurrence.job.def.Spec,
		DeadlineMillis: deadline, Checkpoint: r.startCheckpoint, Ticket: r.ticket,
	}, Timeout: c.orderTimeout(r)})
}

// answeredRun returns the run that the answer to an order is about, or nil if the
// run is no longer known. An answer that the order was fenced ends the leadership.
func (c *Core) answeredRun(code worker.Code, workerID string, incarnation int64, id workflow.TaskID, number int64) *run {
	if code == worker.Fenced {
		c.stepDown()
		return nil
	}
	h := c.hosts[workerID]
	if h == nil || h.incarnation != incarnation {
		return nil
	}
	return h.runs[runKey{id, number}]
}

func (c *Core) recordContact(h *host) {
	if h.unanswered > 0 {
		c.dirty = true
	}
	h.lastContact, h.unanswered, h.timeoutCounted = c.now, 0, false
}

func (c *Core) startAnswered(ev StartAnswered) {
	r := c.answeredRun(ev.Code, ev.Worker, ev.Incarnation, ev.Task, ev.Run)
	if r == nil {
		return
	}
	r.orderInFlight = false
	if ev.Code == worker.OK {
		c.runBegun(r)
	}
	h := r.host
	if ev.Code.FromWorker() {
		c.recordRoundTrip(h, c.now-r.orderSentAt)
		c.recordContact(h)
	}
	if r.state != starting {
		h.hasOrdersToRetry = true // the run's stop, if it got no answer
		if ev.Code == worker.Unknown {
			r.unconfirmed = true
			h.addUnconfirmedStart(r, c.now)
		}
		return
	}
	switch ev.Code {
	case worker.OK:
		if !c.answersLate() {
			c.window.grow()
		}
		r.state = running
		r.beganAt, r.progressAt = c.now, c.now
	case worker.Unknown:
		r.unconfirmed = true
		h.addUnconfirmedStart(r, c.now)
		c.recordTimeout(h, r.orderSentAt, firstOrderTimeout)
		if h.unanswered == 0 {
			c.recordLostAnswer(h)
		}
		c.recordDecision(Decision{Kind: "start-unanswered", Job: r.taskID.Job, Task: r.taskID.String(), Worker: h.info.ID, Run: r.number, Age: c.now - r.orderSentAt})
		r.nextOrderAt, h.hasOrdersToRetry = c.now, true
	case worker.WrongIncarnation:
		c.handleWrongIncarnation(h)
	case worker.StaleRun:
		// The run may have existed and ended there. The lists will show it.
		c.awaitRunEnd(r, "the worker has seen a later run")
	default:
		c.startRefused(r, ev.Code)
	}
}

// startRefused handles an order that is certain to have had no effect.
func (c *Core) startRefused(r *run, code worker.Code) {
	c.reasons["start-"+code.String()]++
	s := r.task.step
	switch code {
	case worker.InvalidTicket:
		s.advice.dropTicket(r.host)
	case worker.InsufficientCapacity, worker.ConnectionsExhausted:
		r.host.health.pauseUntil = c.now + refusalPause
	case worker.NotExecuted:
		// No connection was made in time, or the worker accepts nothing at the moment.
		r.host.health.pauseUntil = c.now + refusalPause
		c.recordTimeout(r.host, r.orderSentAt, min(c.now-r.orderSentAt, firstOrderTimeout))
	case worker.ConnectionRefused:
		r.host.unanswered++
	}
	if r.unconfirmed {
		c.stopRun(r, "start "+code.String()+" after one without an answer")
		return
	}
	r.task.notBefore = c.now + refusedBackoff
	c.removeRun(r)
	c.recordDecision(Decision{Kind: "start-refused", Job: r.taskID.Job, Task: r.taskID.String(), Worker: r.host.info.ID, Run: r.number, Outcome: code.String()})
}

const (
	// refusalPause is how long a worker gets no new work after it refused a start
	// for lack of capacity, or a connection.
	refusalPause = 200 * time.Millisecond
	// refusedBackoff delays a task whose start was refused.
	refusedBackoff = 20 * time.Millisecond
)

// awaitRunEnd keeps the run until a later list shows that it is gone.
func (c *Core) awaitRunEnd(r *run, reason string) {
	r.state, r.stopReason = stopping, reason
	r.stopAckedAt = c.now
	r.host.nextHeartbeat = 0
}

// stopRun orders the end of a run. Its resources stay taken until its end is
// known.
func (c *Core) stopRun(r *run, reason string) {
	if r.state == stopping {
		return
	}
	r.state, r.stopReason, r.attempts = stopping, reason, 0
	c.recordDecision(Decision{Kind: "task-stopped", Job: r.taskID.Job, Task: r.taskID.String(), Worker: r.host.info.ID, Run: r.number, Reason: reason})
	c.sendStop(r)
}

// maxStopsInFlight bounds the stops without an answer. A job of thousands of tasks may be
// cancelled at once.
const maxStopsInFlight = 512

// stopsHaveRoom reports whether another stop may be sent.
func (c *Core) stopsHaveRoom() bool {
	if len(c.stops) >= maxStopsInFlight && c.stopsCheckedAt != c.now {
		c.stopsCheckedAt = c.now
		c.stops = slices.DeleteFunc(c.stops, func(r *run) bool { return !r.orderInFlight || c.now-r.orderSentAt >= c.orderTimeout(r) })
	}
	return len(c.stops) < maxStopsInFlight
}

func (c *Core) sendStop(r *run) {
	if !c.stopsHaveRoom() {
		r.nextOrderAt, r.host.hasOrdersToRetry = c.now+stopRetryDelay, true
		return
	}
	c.stops = append(c.stops, r)
	r.attempts++
	r.orderInFlight, r.orderSentAt = true, c.now
	c.countCall(callStop)
	c.emit(StopTask{Incarnation: r.host.incarnation, Stop: worker.Stop{Order: c.orderFor(r.host), Task: r.taskID, Run: r.number}, Timeout: c.orderTimeout(r)})
}

func (c *Core) stopAnswered(ev StopAnswered) {
	r := c.answeredRun(ev.Code, ev.Worker, ev.Incarnation, ev.Task, ev.Run)
	if r == nil {
		return
	}
	r.orderInFlight = false
	switch ev.Code {
	case worker.OK, worker.StaleRun:
		c.recordContact(r.host)
		r.stopAckedAt = c.now
		if !r.host.heartbeatInFlight {
			r.host.nextHeartbeat = 0
		}
	case worker.WrongIncarnation:
		c.handleWrongIncarnation(r.host)
	default:
		r.host.hasOrdersToRetry = true
		r.nextOrderAt = c.now + stopRetryDelay*time.Duration(min(r.attempts, 6))
		c.reasons["stop-"+ev.Code.String()]++
		if ev.Code == worker.Unknown {
			c.recordTimeout(r.host, r.orderSentAt, firstOrderTimeout)
		}
	}
}

// retryOrders sends unanswered orders again.
func (c *Core) retryOrders() {
	for _, h := range c.sortedHosts {
		if !h.hasOrdersToRetry {
			continue
		}
		runs := h.runsToRetry()
		h.hasOrdersToRetry = len(runs) > 0
		for _, r := range runs {
			if c.now < r.nextOrderAt {
				continue
			}
			switch {
			case r.state == stopping:
				c.sendStop(r)
			case r.attempts >= maxStartAttempts || !c.leadershipConfirmed() || h.drainingSince > 0 || r.task.step.occurrence.job.ended():
				c.stopRun(r, "no answer to its start")
			case h.overCapacity():
				c.stopRun(r, "the worker has shrunk")
			default:
				c.sendStart(r)
			}
		}
	}
}

// runsToRetry returns the runs with an order that has to be sent again, now or later.
// Those with an order in flight are not among them.
func (h *host) runsToRetry() []*run {
	var rs []*run
	for _, r := range h.runs {
		if !r.orderInFlight && (r.state == starting && r.unconfirmed || r.state == stopping && r.stopAckedAt == 0) {
			rs = append(rs, r)
		}
	}
	sortRuns(rs)
	return rs
}

// removeRun removes a run that is certain to have ended.
func (c *Core) removeRun(r *run) {
	r.host.dropRun(r)
	c.refundRun(r)
	c.dirty = true
	t := r.task
	if t == nil {
		return
	}
	t.dropRun(r)
	if len(t.runs) == 0 && !t.done {
		t.waitingSince = c.now
		c.closeTrial(t)
	}
	c.stopGangPeers(r)
	if !t.done && !t.step.occurrence.job.ended() {
		c.enqueue(t.step)
	}
	c.release(t)
}

// loseRun removes a run that is gone without an end.
func (c *Core) loseRun(r *run, cause lossCause, reason string) {
	c.recordDecision(Decision{Kind: "run-lost", Job: r.taskID.Job, Task: r.taskID.String(), Worker: r.host.info.ID, Run: r.number, Outcome: string(cause), Reason: reason, Age: c.now - r.host.lastContact})
	c.removeRun(r)
}
