package dispatch

import (
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

type runState int

const (
	// starting: the order is out and no answer or list has shown the run yet.
	starting runState = iota
	running
	// stopping: it must end; its room is held until its end is known.
	stopping
)

// run is one start of a task on one worker. It is in the host's book and, if
// the task is known, in the task's runs until it surely runs no more.
type run struct {
	// task is nil for a run that nobody asked this holder for.
	task *task
	id   workflow.TaskID
	// name is id in text, kept for sorting.
	name   string
	number int64
	host   *host
	size   workflow.Size
	state  runState
	sentAt time.Duration
	// doubtful runs had an order without an answer; it may be carried out late.
	doubtful bool
	tries    int
	// orderOut tells that an order for the run waits for its answer.
	orderOut  bool
	orderAt   time.Duration
	nextOrder time.Duration
	// stopAcked is when a stop was confirmed, or 0.
	stopAcked time.Duration
	why       string
	ticket    string
	from      string // checkpoint that it began with
	// percent as last listed, and when it last rose.
	percent   float64
	percentAt time.Duration
	// percentFrom is the progress that the run began with, as first listed.
	percentFrom float64
	listed      bool
	beganAt     time.Duration
	load        float64
	loadAt      time.Duration
	pace        pace
}

func (r *run) key() runKey { return runKey{r.id, r.number} }

func sortRuns(rs []*run) {
	sort.Slice(rs, func(a, b int) bool {
		if rs[a].name != rs[b].name {
			return rs[a].name < rs[b].name
		}
		return rs[a].number < rs[b].number
	})
}

const (
	// runsPerTerm bounds the starts of a task within one term.
	runsPerTerm = 1 << 12
	// startTries is how often a start is sent before the run is given up.
	startTries = 2
	// firstPatience and laterPatience are how long the answer to an order is
	// waited for: a start that is sent again does no harm.
	firstPatience = 220 * time.Millisecond
	laterPatience = 500 * time.Millisecond
	// orderRetry is the pause before a stop without an answer is sent again.
	orderRetry = 100 * time.Millisecond
	// failureBackoff delays a task that has failed, by the number of failures.
	failureBackoff = 50 * time.Millisecond
)

// patience is how long the answer to the run's order is waited for.
func (c *Core) patience(r *run) time.Duration {
	if r.tries <= 1 {
		return firstPatience + r.host.wayOver() + c.allowance()
	}
	return laterPatience + r.host.wayOver() + c.allowance()
}

// lostContact is how many orders in a row without an answer mean that contact is lost.
const lostContact = 2

// lost reports whether contact with the worker is lost.
func (h *host) lost() bool { return h.silent >= lostContact }

// nextRun numbers the task's next start above all that were ever given.
func (c *Core) nextRun(t *task) int64 {
	if t.step.def.Gang {
		t.step.gang.starts++
		return c.set.Token*runsPerTerm + t.step.gang.starts
	}
	t.starts++
	return c.set.Token*runsPerTerm + t.starts
}

// start sends a task to a worker.
func (c *Core) start(t *task, h *host, number int64, ticket string) *run {
	s := t.step
	saved := t.saved
	if s.def.Gang {
		saved = s.gang.saved
	}
	if !s.def.Checkpointing {
		saved = ""
	}
	r := &run{task: t, id: t.id(), number: number, host: h, size: s.def.Counted(),
		sentAt: c.now, percentAt: c.now, beganAt: c.now, ticket: ticket, from: saved, load: -1}
	r.pace.percent = fullPace
	t.runs = append(t.runs, r)
	h.take(r)
	c.sendStart(r)
	j := s.occ.job
	queued := time.Duration(0)
	if !j.started {
		queued = time.Duration(max(c.wall-j.def.AcceptedMillis, 1)) * time.Millisecond
		j.started = true
		c.markDirty(j)
	}
	c.decide(Decision{Kind: "task-started", Job: j.def.ID, Task: r.id.String(), Worker: h.info.ID, Run: number,
		Age: c.waited(t), Queued: queued})
	return r
}

func (c *Core) sendStart(r *run) {
	h := r.host
	r.tries++
	r.orderOut, r.orderAt, h.chase = true, c.now, true
	if r.tries == 1 {
		c.window.sent(r)
	} else if ticket, ok := c.ticketFor(r.task.step, h); ok {
		r.ticket = ticket
	}
	deadline := c.clockNow(h) + c.set.Lease.Milliseconds()
	h.granted = max(h.granted, deadline)
	c.emit(StartTask{Life: h.life, Start: worker.Start{
		Order: c.orderTo(h), Task: r.id, Run: r.number, Spec: r.task.step.occ.job.def.Spec,
		DeadlineMillis: deadline, Checkpoint: r.from, Ticket: r.ticket,
	}, Patience: c.patience(r)})
}

// answered returns the run that an order's answer is about, nil for one that is
// no longer booked. A fenced answer ends the holder's right.
func (c *Core) answered(code worker.Code, workerID string, life int64, id workflow.TaskID, number int64) *run {
	if code == worker.Fenced {
		c.stepDown()
		return nil
	}
	h := c.hosts[workerID]
	if h == nil || h.life != life {
		return nil
	}
	return h.runs[runKey{id, number}]
}

func (c *Core) heard(h *host) {
	if h.silent > 0 {
		c.dirty = true
	}
	h.heardAt, h.silent, h.missed = c.now, 0, false
}

func (c *Core) startAnswered(ev Started) {
	r := c.answered(ev.Code, ev.Worker, ev.Life, ev.Task, ev.Run)
	if r == nil {
		return
	}
	r.orderOut = false
	h := r.host
	if ev.Code != worker.Unknown && ev.Code != worker.NotDone && ev.Code != worker.Absent {
		c.answeredIn(h, c.now-r.orderAt)
		c.heard(h)
	}
	if r.state != starting {
		if ev.Code == worker.Unknown {
			r.doubtful = true
			h.remember(r, c.now)
		}
		return
	}
	switch ev.Code {
	case worker.OK:
		if !c.late() {
			c.window.answered()
		}
		r.state = running
		r.beganAt, r.percentAt = c.now, c.now
	case worker.Unknown:
		r.doubtful = true
		h.remember(r, c.now)
		c.unanswered(h, r.orderAt, firstPatience)
		if h.silent == 0 {
			c.answerLost()
		}
		c.reasons["start-unanswered"]++
		r.nextOrder = c.now
	case worker.WrongLife:
		c.misdirected(h)
	case worker.Old:
		// It may have run and ended there: the lists tell.
		c.awaitEnd(r, "the worker has seen a later run")
	default:
		c.startRefused(r, ev.Code)
	}
}

// startRefused handles an order that surely did nothing itself.
func (c *Core) startRefused(r *run, code worker.Code) {
	c.reasons["start-"+code.String()]++
	s := r.task.step
	switch code {
	case worker.NoTicket:
		s.advice.drop(r.host)
	case worker.NoRoom:
		r.host.health.pauseUntil = c.now + roomPause
	case worker.NotDone:
		// It got no connection in time, or the worker takes nothing now.
		r.host.health.pauseUntil = c.now + roomPause
		c.unanswered(r.host, r.orderAt, min(c.now-r.orderAt, firstPatience))
	case worker.Absent:
		r.host.silent++
	}
	if r.doubtful {
		c.stopRun(r, "start "+code.String()+" after one without an answer")
		return
	}
	r.task.notBefore = c.now + refusedBackoff
	c.removeRun(r)
	c.decide(Decision{Kind: "start-refused", Job: r.id.Job, Task: r.id.String(), Worker: r.host.info.ID, Run: r.number, Outcome: code.String()})
}

const (
	// roomPause is how long a worker gets nothing after it refused for want of room.
	roomPause = 200 * time.Millisecond
	// refusedBackoff delays a task whose start was refused.
	refusedBackoff = 20 * time.Millisecond
)

// awaitEnd holds the run in the books until a later list shows that it is gone.
func (c *Core) awaitEnd(r *run, why string) {
	r.state, r.why = stopping, why
	r.stopAcked = c.now
	r.host.nextHold = 0
}

// stopRun has a run ended. Its room stays held until its end is known.
func (c *Core) stopRun(r *run, why string) {
	if r.state == stopping {
		return
	}
	r.state, r.why, r.tries = stopping, why, 0
	c.decide(Decision{Kind: "task-stopped", Job: r.id.Job, Task: r.id.String(), Worker: r.host.info.ID, Run: r.number, Reason: why})
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	r.tries++
	r.orderOut, r.orderAt, r.host.chase = true, c.now, true
	c.emit(StopTask{Life: r.host.life, Stop: worker.Stop{Order: c.orderTo(r.host), Task: r.id, Run: r.number}, Patience: c.patience(r)})
}

func (c *Core) stopAnswered(ev StopAnswered) {
	r := c.answered(ev.Code, ev.Worker, ev.Life, ev.Task, ev.Run)
	if r == nil {
		return
	}
	r.orderOut = false
	switch ev.Code {
	case worker.OK, worker.Old:
		c.heard(r.host)
		r.stopAcked = c.now
		if !r.host.holding {
			r.host.nextHold = 0
		}
	case worker.WrongLife:
		c.misdirected(r.host)
	default:
		r.nextOrder = c.now + orderRetry*time.Duration(min(r.tries, 6))
		c.reasons["stop-"+ev.Code.String()]++
		if ev.Code == worker.Unknown {
			c.unanswered(r.host, r.orderAt, firstPatience)
		}
	}
}

// chaseOrders sends orders again that had no answer.
func (c *Core) chaseOrders() {
	for _, h := range c.order {
		if !h.chase {
			continue
		}
		pending := h.sortedPending()
		h.chase = len(pending) > 0
		for _, r := range pending {
			if r.orderOut || c.now < r.nextOrder {
				continue
			}
			switch {
			case r.state == stopping && r.stopAcked == 0:
				c.sendStop(r)
			case r.state == starting && r.doubtful && (r.tries >= startTries || !c.mayOrder() || h.draining > 0 || r.task.step.occ.job.over()):
				c.stopRun(r, "no answer to its start")
			case r.state == starting && r.doubtful:
				c.sendStart(r)
			}
		}
	}
}

// sortedPending returns the runs with an order that may have to be sent again.
func (h *host) sortedPending() []*run {
	var rs []*run
	for _, r := range h.runs {
		if r.state == starting || r.state == stopping && r.stopAcked == 0 {
			rs = append(rs, r)
		}
	}
	sortRuns(rs)
	return rs
}

// removeRun takes out a run that surely runs no more.
func (c *Core) removeRun(r *run) {
	r.host.give(r)
	c.dirty = true
	t := r.task
	if t == nil {
		return
	}
	t.drop(r)
	if len(t.runs) == 0 && !t.done {
		t.waitingSince = c.now
	}
	c.gangLeft(r)
	if !t.done && !t.step.occ.job.over() {
		c.enqueue(t.step)
	}
}

// loseRun takes out a run whose worker is gone.
func (c *Core) loseRun(r *run, why string) {
	c.decide(Decision{Kind: "run-lost", Job: r.id.Job, Task: r.id.String(), Worker: r.host.info.ID, Run: r.number, Reason: why, Age: c.now - r.host.heardAt})
	c.removeRun(r)
}
