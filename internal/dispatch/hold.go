package dispatch

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	// holdWait is how long a worker waits for an end before it answers a hold.
	holdWait = 1000 * time.Millisecond
	// watchWait is the same where figures of serving tasks are wanted.
	watchWait = 500 * time.Millisecond
	// holdRetry is the pause after a hold without an answer.
	holdRetry = 250 * time.Millisecond
	// holdSlack and lossSlack bound the answer to a hold beside its wait: in
	// general, and for lossTime after an answer was lost, when lossWait bounds the wait.
	holdSlack = 500 * time.Millisecond
	lossSlack = 150 * time.Millisecond
	lossWait  = 250 * time.Millisecond
	lossTime  = 4 * time.Second
	// notedPause is the pause between holds while ends wait to be recorded.
	notedPause = 200 * time.Millisecond
	// absencesToEnd is how many holds in a row must find nothing listening
	// before the life is over.
	absencesToEnd = 3
	// idleHoldWait is the wait on a worker with nothing running.
	idleHoldWait = 2000 * time.Millisecond
)

// holdHosts sends a hold to each worker that is due for one.
func (c *Core) holdHosts() {
	for _, h := range c.order {
		if h.holding || c.now < h.nextHold {
			continue
		}
		if !h.listed && len(h.runs) == 0 && !(h.inherited && !h.fenced) && h.toldNoted >= h.noted {
			continue
		}
		c.hold(h)
	}
}

func (c *Core) hold(h *host) {
	h.holding = true
	hold := worker.Hold{Order: c.orderTo(h), LastSeen: h.noted}
	// A worker that is silent is asked without extending: its leases must run out.
	if c.mayOrder() && h.clock > 0 && !h.lost() && len(h.runs) > 0 {
		hold.DeadlineMillis = c.clockNow(h) + c.set.Lease.Milliseconds()
		h.granted = max(h.granted, hold.DeadlineMillis)
	}
	if h.silent > 0 || h.holdFailed {
		// Another life may answer: what this one noted must not make that one
		// forget its own ends.
		hold.LastSeen = 0
	}
	switch {
	case !h.fenced || h.noted < h.seen || h.awaitsList():
	case len(h.runs) == 0:
		hold.Wait = idleHoldWait
	case h.watched():
		hold.Wait = watchWait
	default:
		hold.Wait = holdWait
	}
	slack := holdSlack
	switch {
	case h.silent > 0:
		hold.Wait = 0
	case c.now < c.lossUntil:
		// A lost answer hides ends until the next hold: ask often.
		hold.Wait, slack = min(hold.Wait, lossWait), lossSlack
	}
	h.toldNoted = hold.LastSeen
	h.heldFor = hold.Wait
	patience := h.heldFor + slack + h.wayOver()
	if len(h.runs) == 0 {
		patience += c.allowance()
	} else {
		// Leases must outlast a hold that gets no answer, and the next one.
		patience = max(patience, min(patience+c.allowance(), c.set.Lease/2))
	}
	c.emit(HoldWorker{Life: h.life, Hold: hold, Patience: patience})
}

// awaitsList reports whether a list is wanted at once, to see runs gone.
func (h *host) awaitsList() bool {
	for _, r := range h.runs {
		if r.state == stopping && r.stopAcked > 0 {
			return true
		}
	}
	return false
}

func (c *Core) held(ev Held) {
	if ev.Code == worker.Fenced {
		c.stepDown()
		return
	}
	h := c.hosts[ev.Worker]
	if h == nil || h.life != ev.Life {
		return
	}
	h.holding = false
	h.holdFailed = ev.Code != worker.OK
	switch ev.Code {
	case worker.OK:
	case worker.WrongLife:
		c.misdirected(h)
		return
	case worker.Absent:
		h.silent++
		h.nextHold = c.now + holdRetry
		if h.absences++; h.absences >= absencesToEnd {
			c.endLife(h, "nothing listens at its address")
		}
		return
	default:
		h.absences = 0
		c.unanswered(h, ev.Sent, lossSlack)
		h.nextHold = c.now + holdRetry
		if h.silent <= 1 {
			h.nextHold = c.now // one lost answer
			c.answerLost()
		}
		c.reasons["hold-"+ev.Code.String()]++
		return
	}
	if b := ev.Lists.Born; b != 0 {
		if h.info.Born != 0 && b > h.info.Born {
			h = c.rebirth(h, b, "the worker was born anew")
		} else if h.info.Born != 0 && b < h.info.Born {
			return
		}
		h.info.Born = b
	}
	c.heard(h)
	if took := c.now - ev.Sent; h.heldFor == 0 {
		c.answeredIn(h, took)
	} else if took >= h.heldFor {
		c.delayed(took - h.heldFor - h.shortest)
	}
	h.absences = 0
	h.confirmedAt = max(h.confirmedAt, ev.Sent)
	h.clock, h.clockAt = ev.Lists.ClockMillis, c.now
	first := !h.fenced
	if first && len(h.runs) > 0 {
		// Starts that were meant for its former life may have been granted this.
		h.granted = max(h.granted, h.clock+c.set.MaxLease.Milliseconds())
	}
	h.fenced = true
	if first {
		h.fencedAt = c.now
		c.dirty = true
		c.engage(h)
	}
	c.readEnds(h, ev.Lists.Ends)
	c.readRunning(h, ev)
	c.paceFillers(h)
	h.nextHold = c.now
	if h.noted < h.seen {
		h.nextHold = c.now + notedPause
	}
}

// answerLost takes answers to get lost for a while, unless they are late.
func (c *Core) answerLost() {
	if !c.late() {
		c.lossUntil = c.now + lossTime
	}
}

// engage records the life before the first task is started on it.
func (c *Core) engage(h *host) {
	if h.engaged || h.engaging {
		return
	}
	h.engaging = true
	c.commits.tell(h)
}

func (c *Core) readEnds(h *host, ends []worker.End) {
	for _, e := range ends {
		if e.Number <= h.seen {
			continue
		}
		h.seen = e.Number
		c.ended(h, e)
	}
	if h.noted < h.seen {
		c.commits.note(h)
	}
}

// ended takes note of one end.
func (c *Core) ended(h *host, e worker.End) {
	r := h.runs[runKey{e.Task, e.Run}]
	t := c.taskOf(e.Task)
	if t == nil && r != nil {
		t = r.task
	}
	c.decide(Decision{Kind: "task-ended", Job: e.Task.Job, Task: e.Task.String(), Worker: h.info.ID, Run: e.Run, Outcome: string(e.How)})
	if t == nil || t.step.occ.job.final != "" {
		if r != nil {
			c.removeRun(r)
		}
		return
	}
	c.keepCheckpoint(t, e.Checkpoint, e.Run)
	if e.How == worker.Done {
		h.health.succeeded()
		if r != nil {
			c.learn(r)
		}
		c.runDone(t, e.Run)
	}
	if e.How == worker.Failed {
		h.health.failed(c.now, e.Task.Job)
		c.runFailed(t, h, e.Run)
	}
	if e.How == worker.Alone || e.How == worker.Lapsed || e.How == worker.Broken {
		c.reasons["run-"+string(e.How)]++
	}
	if r != nil {
		c.removeRun(r)
	} else if !t.done && !t.step.occ.job.over() {
		c.enqueue(t.step)
	}
	if t.done {
		c.stopOthers(t, "the task is done")
	}
	c.markDirty(t.step.occ.job)
}

func (c *Core) keepCheckpoint(t *task, saved string, number int64) {
	if saved == "" || !t.step.def.Checkpointing {
		return
	}
	if t.step.def.Gang {
		t.step.gang.saved = saved
		return
	}
	t.saved = saved
}

// runDone takes note of a run that ended as done; of a gang's run one end stands for all.
func (c *Core) runDone(t *task, number int64) {
	if t.step.def.LongRunning {
		t.notBefore = c.now
		return
	}
	if !t.step.def.Gang {
		c.taskDone(t)
		return
	}
	for i := range t.step.tasks {
		c.taskDone(&t.step.tasks[i])
	}
}

func (c *Core) runFailed(t *task, h *host, number int64) {
	s := t.step
	t.avoid, t.avoidUntil = h, c.now+avoidTime
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
	j := s.occ.job
	if j.known && j.queue.Attempts > 0 && failures >= j.queue.Attempts && j.final == "" && !t.done {
		c.finish(j, workflow.Failed, "task "+t.id().String()+" has used its attempts")
	}
}

func (c *Core) stopOthers(t *task, why string) {
	for _, r := range append([]*run(nil), t.runs...) {
		if !t.step.def.Gang {
			c.stopRun(r, why)
		}
	}
}

// readRunning brings the book in line with the list of what runs.
func (c *Core) readRunning(h *host, ev Held) {
	listed := make(map[runKey]bool, len(ev.Lists.Running))
	for _, x := range ev.Lists.Running {
		k := runKey{x.Task, x.Run}
		listed[k] = true
		r := h.runs[k]
		if r == nil {
			r = c.adopt(h, x)
		}
		c.observe(r, x)
	}
	if len(ev.Lists.Ends) >= endsPerList {
		return // more ends may follow
	}
	for _, r := range h.sortedRuns() {
		if listed[r.key()] || r.orderOut {
			continue
		}
		switch r.state {
		case stopping:
			if r.stopAcked > 0 && r.stopAcked <= ev.Sent {
				c.removeRun(r)
			}
		case running:
			if r.beganAt < ev.Sent {
				c.loseRun(r, "the worker lists neither it nor its end")
			}
		}
	}
}

// avoidTime is how long a task isn't sent to the worker on which it failed.
const avoidTime = time.Second

// endsPerList is how many ends a worker lists at a time.
const endsPerList = 500

// adopt books a run that the worker lists and this holder has not sent, or has
// given up.
func (c *Core) adopt(h *host, x worker.Running) *run {
	t := c.taskOf(x.Task)
	r := &run{task: t, id: x.Task, number: x.Run, host: h, state: running, sentAt: c.now,
		percentAt: c.now, beganAt: c.now, load: -1}
	r.pace.percent = fullPace
	if t != nil {
		t.runs = append(t.runs, r)
	}
	r.size = c.sizeOf(x.Task)
	h.take(r)
	// Its lease was granted by a former holder, for the longest time at most.
	h.granted = max(h.granted, h.clock+c.set.MaxLease.Milliseconds())
	c.dirty = true
	wanted := t != nil && !t.done && !t.step.occ.job.over() &&
		(len(t.runs) == 1 || t.step.def.Speculative)
	if !wanted {
		c.stopRun(r, "it is not wanted here")
		return r
	}
	if t.step.def.Gang {
		t.step.gang.adopt(x.Run, c.now)
	}
	c.decide(Decision{Kind: "run-adopted", Job: x.Task.Job, Task: x.Task.String(), Worker: h.info.ID, Run: x.Run})
	return r
}

// sizeOf returns what a task is counted with, also when its job is over.
func (c *Core) sizeOf(id workflow.TaskID) workflow.Size {
	j := c.jobs[id.Job]
	if j == nil || id.Step < 0 || id.Step >= len(j.def.Steps) {
		return workflow.Size{}
	}
	return j.def.Steps[id.Step].Counted()
}

// observe takes in what the list says of a run.
func (c *Core) observe(r *run, x worker.Running) {
	if r.state == starting && !r.orderOut {
		r.state = running
	}
	if !r.listed {
		r.listed = true
		if r.from != "" {
			r.percentFrom, r.percent = x.Percent, x.Percent
			r.beganAt, r.percentAt = c.now, c.now
		}
	}
	if x.Percent > r.percent {
		r.percent, r.percentAt = x.Percent, c.now
	}
	if x.Load >= 0 {
		r.load, r.loadAt = x.Load, c.now
	}
	if r.task != nil {
		c.keepCheckpoint(r.task, x.Checkpoint, x.Run)
	}
}
