// Package dispatch is the control state of the holder of the right to place:
// which jobs there are, what runs on each worker, and what is to be started,
// stopped and recorded next. Events in, effects out; it reads no clock, does no
// I/O and starts no goroutine. A Core isn't safe for concurrent use.
package dispatch

import (
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Settings are fixed for a core's life.
type Settings struct {
	// Token is the holder's right; it is higher than any former holder's.
	Token int64
	// TermOffset is the offset in the log from which on no former holder has
	// taken note of a job.
	TermOffset int64
	// Lease is how long a worker may go on without a word from the holder.
	Lease time.Duration
	// FormerBound is how long, from the begin of the term, a former holder may
	// have extended leases by its own reckoning.
	FormerBound time.Duration
	// Confidence is how long a confirmation of the right by workers counts.
	Confidence time.Duration
	// MaxLease is the longest lease that a worker grants.
	MaxLease    time.Duration
	StopTimeout time.Duration
	// RemoteFactor is how much longer a task takes away from its data.
	RemoteFactor    float64
	StatusRetention time.Duration
}

// clockDrift is by how much a worker's steady clock may be slow.
const clockDrift = 0.02

// Core is the control state.
type Core struct {
	set Settings
	now time.Duration
	// wall is the time of day in Unix milliseconds.
	wall    int64
	began   time.Duration
	catalog *workflow.Catalog
	hosts   map[string]*host
	// lines counts the waiting steps by pool; placedAt is when the last pass was.
	lines    map[string]*line
	placedAt time.Duration
	// pickFrom is where the next sampled search of a large pool begins.
	pickFrom int
	// round numbers the times at which candidates are worked out anew.
	round int64
	// unsorted tells that hosts have come that order and pools lack.
	unsorted bool
	order    []*host
	pools    map[string][]*host
	lives    int64
	jobs     map[string]*job
	// live holds the jobs that are not over, in order of acceptance.
	live []*job
	// waiting holds the steps that have tasks to start.
	waiting []*step
	// rightUntil is when leases may no longer be extended.
	rightUntil time.Duration
	lastEnds   map[string]lastEnd
	watchAt    time.Duration
	// lossUntil is until when answers of workers are taken to get lost.
	lossUntil time.Duration
	// delay is by how much answers are late beyond their way, smoothed over all workers.
	delay time.Duration
	// toldLate tells that the last decision about it was that they are late.
	toldLate bool
	window   window
	// formerEnd is since when no former holder can have its right confirmed, or 0.
	formerEnd time.Duration
	times     []time.Duration
	// barrier is set until no former holder can have work running unseen.
	barrier bool
	// suspects are the tasks that may run on workers with which a former holder
	// had lost contact.
	suspects map[string]*host
	dirty    bool
	// asks are the questions of the present pass, askTurn the pool that asks first.
	asks    []question
	askTurn int
	commits commits
	out     []Effect
	reasons Counters
	log     []Decision
	stopped bool
	// evacuations are of the workers that get no new work for their machine's sake.
	evacuations map[string]*evacuation
	evacuateAt  time.Duration
}

// Counters counts refusals, retries and losses by reason.
type Counters map[string]int64

// New returns the core of a holder whose term begins now.
func New(set Settings, now time.Duration, wall int64) *Core {
	return &Core{
		set: set, now: now, wall: wall, began: now, barrier: true,
		catalog: &workflow.Catalog{}, window: window{size: firstWindow},
		hosts: map[string]*host{}, pools: map[string][]*host{},
		jobs: map[string]*job{}, suspects: map[string]*host{}, lastEnds: map[string]lastEnd{}, lines: map[string]*line{}, reasons: Counters{}, commits: newCommits(),
	}
}

// Step takes events at the local steady time now and the time of day wall, and
// returns what is to be done. Times never decrease.
func (c *Core) Step(now time.Duration, wall int64, events ...Event) []Effect {
	c.now, c.wall = now, wall
	c.round++
	c.out = nil
	for _, ev := range events {
		c.take(ev)
	}
	if c.stopped {
		return c.out
	}
	if c.unsorted {
		c.sortHosts()
	}
	c.lapse()
	c.liftBarrier()
	c.wakeOccurrences()
	c.chaseOrders()
	c.tellDelay()
	c.tellSilence()
	c.watchRuns()
	c.drainHosts()
	c.evacuateHosts()
	c.place()
	c.flush()
	c.holdHosts()
	return c.out
}

// Counters returns refusals, retries and losses by reason.
func (c *Core) Counters() Counters { return c.reasons }

// Decisions returns the decisions since the last call.
func (c *Core) Decisions() []Decision {
	d := c.log
	c.log = nil
	return d
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) take(ev Event) {
	switch ev := ev.(type) {
	case Configured:
		c.configure(ev.Catalog)
	case WorkersListed:
		c.listWorkers(ev.Workers)
	case JobAccepted:
		c.accept(ev)
	case JobCancelled:
		c.cancel(ev.ID)
	case WorkerEngaged:
		c.inherit(ev.Engagement)
	case RightConfirmed:
		c.rightUntil = max(c.rightUntil, ev.Until)
	case Held:
		c.held(ev)
	case Started:
		c.startAnswered(ev)
	case StopAnswered:
		c.stopAnswered(ev)
	case PaceAnswered:
		c.paceAnswered(ev)
	case Advised:
		c.advised(ev)
	case Committed:
		c.committed(ev)
	case Evacuate:
		c.evacuate(ev)
	case Resume:
		c.resume(ev.Worker)
	case LifeEnded:
		c.lifeEnded(ev)
	}
}

func (c *Core) stepDown() {
	if !c.stopped {
		c.stopped = true
		c.decide(Decision{Kind: "step-down", Reason: "a worker has seen a higher token"})
		c.emit(StepDown{})
	}
}

func (c *Core) configure(cat *workflow.Catalog) {
	c.catalog = cat
	for _, j := range c.live {
		if q, ok := cat.Queues[j.def.Queue]; ok {
			j.setQueue(q)
		}
	}
	c.dirty = true
}

func (j *job) setQueue(q workflow.Queue) {
	j.queue, j.known = q, true
	stretch := max(q.Stretch, 1)
	span := int64(stretch*float64(j.chain())) + q.Target.Milliseconds()
	if q.Advice != nil {
		span += int64(stretch * float64(q.Advice.Decision.Milliseconds()) * float64(len(j.def.Steps)))
	}
	j.objective = j.def.AcceptedMillis + span
	j.horizon = j.def.AcceptedMillis + lateFactor*span
}

// lateFactor is how many times its objective a job may take and still be of use.
const lateFactor = 3

// chain returns the estimated length of the longest chain of steps, in milliseconds.
func (j *job) chain() int64 {
	ends := make([]int64, len(j.def.Steps))
	longest := int64(0)
	for i := range j.def.Steps {
		s := &j.def.Steps[i]
		for _, d := range s.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] += s.EstimateMillis
		longest = max(longest, ends[i])
	}
	return longest
}

func (c *Core) accept(ev JobAccepted) {
	if c.jobs[ev.Job.ID] != nil {
		return
	}
	j := &job{def: ev.Job, offset: ev.Offset, started: ev.Progress.Started, final: ev.Progress.Final,
		endedAt: ev.Progress.EndedMillis, finished: ev.Progress.Finished, later: map[int]bool{},
		restored: map[int]workflow.OccurrenceProgress{}}
	c.jobs[ev.Job.ID] = j
	if q, ok := c.catalog.Queues[ev.Job.Queue]; ok {
		j.setQueue(q)
	} else if ev.Job.Policy != nil {
		j.setQueue(*ev.Job.Policy)
	}
	if j.final != "" {
		j.recorded = true
		c.commits.forget = append(c.commits.forget, j)
		return
	}
	j.next = j.finished
	for _, o := range ev.Progress.Occurrences {
		if o.Finished {
			j.later[o.Number] = true
			continue
		}
		j.restored[o.Number] = o
	}
	c.live = append(c.live, j)
	for k := range j.restored {
		c.wakeThrough(j, k)
	}
	c.wake(j)
	c.dirty = true
}

// wakeOccurrences makes the occurrences ready whose time has come.
func (c *Core) wakeOccurrences() {
	for _, j := range c.live {
		if j.next < j.def.Occurrences() {
			c.wake(j)
		}
	}
}

func (c *Core) wake(j *job) {
	for !j.over() && j.next < j.def.Occurrences() && j.def.Due(j.next) <= c.wall {
		c.wakeNext(j)
	}
}

// wakeThrough makes the occurrences up to k ready. A former holder has begun
// them by its clock, which may be ahead of this one's.
func (c *Core) wakeThrough(j *job, k int) {
	for !j.over() && j.next < j.def.Occurrences() && j.next <= k {
		c.wakeNext(j)
	}
}

func (c *Core) wakeNext(j *job) {
	k := j.next
	j.next++
	if j.later[k] {
		return
	}
	o := newOccurrence(j, k, c.now)
	j.active = append(j.active, o)
	if o.left == 0 {
		c.finishOccurrence(o)
		return
	}
	for _, s := range o.steps {
		c.readyStep(s)
	}
}

// readyStep queues the step when its turn has come.
func (c *Core) readyStep(s *step) {
	if s.ready || s.blockers > 0 || s.finished() || s.occ.job.over() {
		return
	}
	s.ready, s.readyAt = true, c.now
	c.enqueue(s)
}

func (c *Core) enqueue(s *step) {
	if !s.queued && s.ready {
		s.queued = true
		c.waiting = append(c.waiting, s)
	}
	c.dirty = true
}

func (c *Core) finishOccurrence(o *occurrence) {
	j := o.job
	for i, x := range j.active {
		if x == o {
			j.active = append(j.active[:i], j.active[i+1:]...)
			break
		}
	}
	j.later[o.number] = true
	for j.later[j.finished] {
		delete(j.later, j.finished)
		j.finished++
	}
	c.markDirty(j)
	if j.finished >= j.def.Occurrences() && j.final == "" {
		c.finish(j, workflow.Completed, "all tasks are done")
	}
}

func (c *Core) finish(j *job, state workflow.State, why string) {
	j.final, j.endedAt = state, c.wall
	c.decide(Decision{Kind: "job-ended", Job: j.def.ID, Outcome: string(state), Reason: why})
	c.retire(j)
	c.markDirty(j)
	c.commits.urgent = true
}

// retire stops what runs of a job that is over.
func (c *Core) retire(j *job) {
	for i, x := range c.live {
		if x == j {
			c.live = append(c.live[:i], c.live[i+1:]...)
			break
		}
	}
	for _, o := range j.active {
		for _, s := range o.steps {
			for i := range s.tasks {
				if s.tasks[i].done && s.def.Gang {
					continue // all members have ended
				}
				for _, r := range append([]*run(nil), s.tasks[i].runs...) {
					c.stopRun(r, "the job is over")
				}
			}
		}
	}
	c.dirty = true
}

func (c *Core) cancel(id string) {
	j := c.jobs[id]
	if j == nil || j.over() {
		return
	}
	j.cancelled = true
	c.decide(Decision{Kind: "job-cancelled", Job: id})
	c.finish(j, workflow.Cancelled, "cancelled by the caller")
}

// taskOf returns the task of a name, or nil where there is none that is wanted.
func (c *Core) taskOf(id workflow.TaskID) *task {
	s := c.stepOf(id.StepID)
	if s == nil || id.Index < 0 || id.Index >= len(s.tasks) {
		return nil
	}
	return &s.tasks[id.Index]
}

func (c *Core) stepOf(id workflow.StepID) *step {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	c.wakeThrough(j, id.Occurrence)
	for _, o := range j.active {
		if o.number == id.Occurrence {
			if id.Step < 0 || id.Step >= len(o.steps) {
				return nil
			}
			return o.steps[id.Step]
		}
	}
	return nil
}

// taskDone takes note that a task is done.
func (c *Core) taskDone(t *task) {
	s := t.step
	if t.done || s.def.LongRunning {
		return
	}
	t.done = true
	s.done++
	c.markDirty(s.occ.job)
	c.askAhead(s)
	if !s.finished() {
		return
	}
	o := s.occ
	o.left--
	o.unblock(s)
	for _, next := range o.steps {
		c.readyStep(next)
	}
	if o.left == 0 {
		c.finishOccurrence(o)
	}
}

// liftBarrier ends the time in which a former holder may have work running
// that this one doesn't see.
func (c *Core) liftBarrier() {
	if !c.barrier {
		return
	}
	for _, h := range c.order {
		if h.inherited && !h.fenced && h.silence == silenceNone {
			return
		}
	}
	c.barrier = false
	c.dirty = true
	c.decide(Decision{Kind: "takeover-complete", Reason: "every worker of the former holder is fenced or its leases have lapsed"})
}

func (c *Core) sortHosts() {
	c.unsorted = false
	c.order = c.order[:0]
	clear(c.pools)
	for _, h := range c.hosts {
		c.order = append(c.order, h)
	}
	sort.Slice(c.order, func(a, b int) bool { return c.order[a].info.ID < c.order[b].info.ID })
	for _, h := range c.order {
		c.pools[h.info.Pool] = append(c.pools[h.info.Pool], h)
	}
	c.dirty = true
}

// Decision is one thing that was decided, with what decided it.
type Decision struct {
	Kind    string
	Job     string
	Task    string
	Worker  string
	Run     int64
	Outcome string
	Reason  string
	// Needs, of a step that waits, is what it asks for.
	Needs string
	// Age is how old the deciding input was.
	Age time.Duration
	// Queued, of a job's first start, is the time since its acceptance.
	Queued time.Duration
}

func (c *Core) decide(d Decision) {
	c.reasons[d.Kind]++
	c.log = append(c.log, d)
}

func (c *Core) orderTo(h *host) worker.Order {
	return worker.Order{Worker: h.info.ID, Address: h.info.Address, Token: c.set.Token}
}
