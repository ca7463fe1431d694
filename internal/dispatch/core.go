// Package dispatch holds the scheduling state of the leader: the known jobs, the
// runs on each worker, and what to start, stop and record next. A Core is a
// deterministic state machine that takes events and returns effects. It reads no
// clock, does no I/O and starts no goroutines. A Core is not safe for concurrent
// use.
package dispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/team"
	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Settings are fixed for the lifetime of a Core.
type Settings struct {
	// Token is the leader's fencing token. It is higher than that of any previous
	// leader.
	Token int64
	// LegacyToken is the highest token of a leader that may have been of a version that
	// records no voters.
	LegacyToken int64
	// TermOffset is the log offset from which on no previous leader has read any
	// jobs.
	TermOffset int64
	// Lease is how long a worker may keep running tasks without hearing from the
	// leader.
	Lease time.Duration
	// PreviousLeaderBound is how long after the start of the term a previous
	// leader, by its own clock, may have extended leases.
	PreviousLeaderBound time.Duration
	// ConfirmationTTL is how long a confirmation of leadership by workers is valid.
	ConfirmationTTL time.Duration
	// WorkerConnections bounds the connections to each worker; see worker.Order.
	WorkerConnections int
	// MaxLease is the longest lease that a worker grants.
	MaxLease    time.Duration
	StopTimeout time.Duration
	// RemoteFactor is the factor by which a task takes longer away from its data.
	RemoteFactor    float64
	StatusRetention time.Duration
	// DeclaredRunTimes is set if run times are taken as declared, and not learned.
	DeclaredRunTimes bool
	// MaxRunTimesBytes bounds the snapshots of learned run times, 0 stands for 64 KiB.
	MaxRunTimesBytes int
	// MaxLiveTasks bounds the tasks that have been started and are not done, 0 is without
	// bound. Others wait meanwhile.
	MaxLiveTasks int
}

// clockDrift is the fraction by which a worker's monotonic clock may run slow.
const clockDrift = 0.02

// Core is the scheduling state of one term. Create it with New.
type Core struct {
	set Settings
	now time.Duration
	// wall is the wall-clock time in Unix milliseconds.
	wall      int64
	termStart time.Duration
	catalog   *workflow.Catalog
	hosts     map[string]*host
	// backlogs counts the waiting steps by pool. lastPass is the time of the last
	// placement pass.
	backlogs map[string]*backlog
	lastPass time.Duration
	// waitReports counts the steps of the current pass whose reason to wait was looked for.
	waitReports int
	// sampleStart is the index at which the next sampled search of a large pool
	// begins.
	sampleStart int
	// round is incremented whenever the candidates of steps become outdated.
	round int64
	// hostsUnsorted is set while sortedHosts and pools lack newly added hosts.
	hostsUnsorted bool
	sortedHosts   []*host
	pools         map[string][]*host
	incarnations  int64
	jobs          map[string]*job
	// activeJobs holds the jobs that have not ended, in order of acceptance.
	activeJobs []*job
	// waitingSteps holds the steps that have tasks to start.
	waitingSteps []*step
	// confirmedUntil is the time until which leases may be extended.
	confirmedUntil    time.Duration
	endedIncarnations map[string]endedIncarnation
	nextRunCheck      time.Duration
	// lossyUntil is the time until which worker answers are assumed to get lost.
	lossyUntil time.Duration
	// answerDelay is how late answers are beyond their round trip, as a moving
	// average over all workers.
	answerDelay time.Duration
	// lateReported is set if the last reported decision on delay was that answers
	// are late.
	lateReported bool
	window       startWindow
	// stops holds the runs to which stops were sent, of which some may be answered, as of
	// stopsCheckedAt.
	stops          []*run
	stopsCheckedAt time.Duration
	calls          callCounts
	// previousLeaderEnd is the time since which no previous leader can have had its
	// leadership confirmed, or 0 if that is not known yet.
	previousLeaderEnd time.Duration
	// endCheckRound is the round in which that was last looked for.
	endCheckRound int64
	// leaderEnds are the ends of leaders before the last one that previous leaders have
	// recorded.
	leaderEnds []LeadersEnded
	// formerVoters are the voters at the begin of the term, recordedVoters those that
	// are recorded as such.
	formerVoters, recordedVoters []*host
	// workersConfirmUntil is the time until which the voters confirm the leadership, as
	// computed in the round workersConfirmRound.
	workersConfirmUntil time.Duration
	workersConfirmRound int64
	durations           []time.Duration
	// recordedUnreached holds the IDs of the workers to which, as the log may state, this
	// leader gives no orders.
	recordedUnreached map[string]bool
	// lastFenceAt is when a worker was last fenced.
	lastFenceAt time.Duration
	// nextTakeoverReport is when reportTakeover may next report.
	nextTakeoverReport time.Duration
	// barrier is set while runs started by a previous leader may be unknown.
	barrier bool
	// rackCrashes and recentCrashes hold the recent crashes of workers.
	rackCrashes   []rackCrash
	recentCrashes []*crash
	// suspectTasks holds the tasks that may run on workers with which a previous
	// leader had lost contact.
	suspectTasks map[string]*host
	dirty        bool
	// inquiryInFlight is set while the list of machines is asked for, nextInquiry is when
	// it may be asked for again.
	inquiryInFlight bool
	nextInquiry     time.Duration
	// adviceRequests are the requests collected in the current pass. adviceTurn
	// selects the pool whose requests are sent first.
	adviceRequests []adviceRequest
	adviceTurn     int
	commits        commits
	cancels        unmatchedCancels
	effects        []Effect
	reasons        Counters
	decisions      []Decision
	stopped        bool
	// evacuations holds the workers that get no new work because their machine is due
	// for maintenance or a move to another pool.
	evacuations    map[string]*evacuation
	runTimes       runTimes
	nextEvacuation time.Duration
	accounts       accounts
	// liveTasks divides MaxLiveTasks among the accounts.
	liveTasks *team.Room
	// priorities holds the priorities of the pools with queues of several.
	priorities map[string]prioritySpan
}

// Counters counts refusals, retries and losses by reason.
type Counters map[string]int64

// New returns the core of a leader whose term begins now.
func New(set Settings, now time.Duration, wall int64) *Core {
	return &Core{
		set: set, now: now, wall: wall, termStart: now, barrier: true,
		catalog: &workflow.Catalog{}, window: startWindow{size: initialWindow}, calls: callCounts{since: now},
		hosts: map[string]*host{}, pools: map[string][]*host{},
		jobs: map[string]*job{}, suspectTasks: map[string]*host{}, recordedUnreached: map[string]bool{}, endedIncarnations: map[string]endedIncarnation{}, backlogs: map[string]*backlog{}, reasons: Counters{}, commits: newCommits(),
		cancels: unmatchedCancels{byID: map[string]unmatchedCancel{}}, accounts: newAccounts(), runTimes: newRunTimes(set),
		liveTasks: team.NewRoom(int64(set.MaxLiveTasks)),
	}
}

// Step applies events at the local monotonic time now and the wall-clock time
// wall, in Unix milliseconds, and returns the effects to be carried out. Times must
// not decrease.
func (c *Core) Step(now time.Duration, wall int64, events ...Event) []Effect {
	c.now, c.wall = now, wall
	c.round++
	c.effects = nil
	for _, ev := range events {
		c.apply(ev)
	}
	if c.stopped {
		return c.effects
	}
	if c.hostsUnsorted {
		c.sortHosts()
	}
	c.expireLeases()
	c.liftBarrier()
	c.reportTakeover()
	c.activateOccurrences()
	c.retryOrders()
	c.reportDelay()
	c.recordContactChanges()
	c.recordVoters()
	c.recordSuccession()
	c.checkRuns()
	c.drainHosts()
	c.evacuateHosts()
	c.place()
	c.flushCommit()
	c.sendHeartbeats()
	c.inquire()
	return c.effects
}

// Counters returns the counts of refusals, retries and losses by reason.
func (c *Core) Counters() Counters { return c.reasons }

// Decisions returns the decisions made since the last call.
func (c *Core) Decisions() []Decision {
	d := c.decisions
	c.decisions = nil
	return d
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) apply(ev Event) {
	switch ev := ev.(type) {
	case CatalogChanged:
		c.configure(ev.Catalog)
	case WorkersListed:
		c.updateWorkers(ev.Workers)
	case JobAccepted:
		c.acceptJob(ev)
	case JobCancelled:
		c.cancelJob(ev)
	case LeadersEnded:
		c.leaderEnds = append(c.leaderEnds, ev)
	case WorkerRegistered:
		c.inheritWorker(ev)
	case LeadershipConfirmed:
		c.confirmedUntil = max(c.confirmedUntil, ev.Until)
	case HeartbeatAnswered:
		c.heartbeatAnswered(ev)
	case StartAnswered:
		c.startAnswered(ev)
	case StopAnswered:
		c.stopAnswered(ev)
	case PaceAnswered:
		c.paceAnswered(ev)
	case AdviceAnswered:
		c.adviceAnswered(ev)
	case Committed:
		c.committed(ev)
	case Evacuate:
		c.evacuate(ev)
	case EndEvacuation:
		c.endEvacuation(ev.Worker)
	case IncarnationEnded:
		c.incarnationEnded(ev)
	case MachinesListed:
		c.machinesListed(ev)
	case RunTimesRecorded:
		c.mergeRunTimes(ev)
	}
}

func (c *Core) stepDown() {
	if !c.stopped {
		c.stopped = true
		c.recordDecision(Decision{Kind: "step-down", Reason: "a worker has seen a higher token"})
		c.emit(StepDown{})
	}
}

func (c *Core) configure(cat *workflow.Catalog) {
	c.catalog = cat
	c.priorities = prioritiesByPool(cat)
	c.configureAccounts()
	for _, j := range c.activeJobs {
		if q, ok := cat.Queues[j.def.Queue]; ok {
			c.expectRunTimes(j)
			j.setQueue(q)
		}
	}
	c.dirty = true
}

func (j *job) setQueue(q workflow.Queue) {
	j.queue, j.queueKnown = q, true
	span := objectiveSpan(&q, j.criticalPath, len(j.def.Steps))
	j.objective = j.def.AcceptedMillis + span
	j.horizon = j.def.AcceptedMillis + horizonFactor*span
}

// objectiveSpan returns the time from acceptance to its objective of a job whose longest
// chain of steps takes path, in milliseconds.
func objectiveSpan(q *workflow.Queue, path int64, steps int) int64 {
	stretch := max(q.Stretch, 1)
	span := int64(stretch*float64(path)) + q.Target.Milliseconds()
	if q.Advice != nil {
		span += int64(stretch * float64(q.Advice.Decision.Milliseconds()) * float64(steps))
	}
	return span
}

// horizonFactor is the multiple of its objective after which a job is no longer
// of use.
const horizonFactor = 3

// longestChain returns the expected duration of the longest chain of dependent
// steps, in milliseconds.
func (j *job) longestChain() int64 {
	ends := make([]int64, len(j.def.Steps))
	longest := int64(0)
	for i := range j.def.Steps {
		s := &j.def.Steps[i]
		for _, d := range s.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] += j.expected[i]
		longest = max(longest, ends[i])
	}
	return longest
}

func (c *Core) acceptJob(ev JobAccepted) {
	if c.jobs[ev.Job.ID] != nil {
		return
	}
	begun := ev.Progress.HasBegun()
	j := &job{def: ev.Job, longRunning: ev.Job.LongRunning(), offset: ev.Offset, ordered: ev.Progress.Ordered || begun, begun: begun, finalState: ev.Progress.Final,
		endedAt: ev.Progress.EndedMillis, finishedBefore: ev.Progress.FinishedOccurrences, finishedLater: map[int]bool{},
		restored: map[int]workflow.OccurrenceProgress{}}
	c.jobs[ev.Job.ID] = j
	c.countJob(j)
	c.expectRunTimes(j)
	if q, ok := c.catalog.Queues[ev.Job.Queue]; ok {
		j.setQueue(q)
	} else if ev.Job.QueueSnapshot != nil {
		j.setQueue(*ev.Job.QueueSnapshot)
	}
	cancelled := c.takeCancel(ev.Job.ID)
	if j.finalState != "" {
		j.finalRecorded = true
		c.commits.ended = append(c.commits.ended, j)
		return
	}
	if cancelled {
		c.cancelJob(JobCancelled{ID: ev.Job.ID})
		return
	}
	j.nextOccurrence = j.finishedBefore
	for i := range 8 * len(ev.Progress.FinishedLater) {
		if ev.Progress.FinishedLater.Has(i) {
			j.finishedLater[j.finishedBefore+i] = true
		}
	}
	for _, o := range ev.Progress.Occurrences {
		if o.Finished {
			j.finishedLater[o.Number] = true
			continue
		}
		j.restored[o.Number] = o
	}
	c.activeJobs = append(c.activeJobs, j)
	for k := range j.restored {
		c.activateThrough(j, k)
	}
	c.activateDue(j)
	c.dirty = true
}

// activateOccurrences activates the occurrences that have become due.
func (c *Core) activateOccurrences() {
	for _, j := range c.activeJobs {
		if j.nextOccurrence < j.def.Occurrences() {
			c.activateDue(j)
		}
	}
}

func (c *Core) activateDue(j *job) {
	for !j.ended() && j.nextOccurrence < j.def.Occurrences() && j.def.DueMillis(j.nextOccurrence) <= c.wall &&
		len(j.occurrences) < j.def.MaxActiveOccurrences() {
		c.activateNext(j)
	}
}

// activateThrough activates the occurrences up to k, whether or not they are due.
// A previous leader has started them by its own clock, which may be ahead of this
// one.
func (c *Core) activateThrough(j *job, k int) {
	for !j.ended() && j.nextOccurrence < j.def.Occurrences() && j.nextOccurrence <= k {
		c.activateNext(j)
	}
}

func (c *Core) activateNext(j *job) {
	k := j.nextOccurrence
	j.nextOccurrence++
	if j.finishedLater[k] {
		return
	}
	o := newOccurrence(j, k, c.now-c.waitedBefore(j, k))
	if p, ok := j.restored[k]; ok {
		c.restoreOccurrence(o, p)
		delete(j.restored, k)
	}
	j.occurrences = append(j.occurrences, o)
	if o.stepsLeft == 0 {
		c.finishOccurrence(o)
		return
	}
	for _, s := range o.steps {
		c.enqueueIfReady(s)
	}
}

// waitedBefore returns how long the occurrence has waited under previous leaders if they
// have ordered no start of the job's tasks, and 0 otherwise.
func (c *Core) waitedBefore(j *job, k int) time.Duration {
	if j.ordered || j.def.AcceptedMillis == 0 {
		return 0
	}
	since := max(j.def.AcceptedMillis, j.def.DueMillis(k))
	return time.Duration(max(0, c.wall-since)) * time.Millisecond
}

// enqueueIfReady queues the step once it has no unfinished dependencies.
func (c *Core) enqueueIfReady(s *step) {
	if s.ready || s.blockers > 0 || s.finished() || s.occurrence.job.ended() {
		return
	}
	s.ready, s.readyAt = true, c.now
	if len(s.def.DependsOn) == 0 {
		s.readyAt = s.occurrence.waitingSince
	}
	c.enqueue(s)
}

func (c *Core) enqueue(s *step) {
	if !s.queued && s.ready {
		s.queued = true
		c.waitingSteps = append(c.waitingSteps, s)
	}
	c.dirty = true
}

func (c *Core) finishOccurrence(o *occurrence) {
	j := o.job
	j.dropOccurrence(o)
	j.finishedLater[o.number] = true
	for j.finishedLater[j.finishedBefore] {
		delete(j.finishedLater, j.finishedBefore)
		j.finishedBefore++
	}
	c.markDirty(j)
	if j.finishedBefore >= j.def.Occurrences() && j.finalState == "" {
		c.finishJob(j, workflow.Completed, "all tasks are done")
	}
}

func (c *Core) finishJob(j *job, state workflow.State, reason string) {
	j.finalState, j.endedAt = state, c.wall
	c.recordDecision(Decision{Kind: "job-ended", Job: j.def.ID, Outcome: string(state), Reason: reason})
	c.retireJob(j)
	c.markDirty(j)
	c.commits.urgent = true
}

// retireJob stops the runs of a job that has ended.
func (c *Core) retireJob(j *job) {
	for i, x := range c.activeJobs {
		if x == j {
			c.activeJobs = append(c.activeJobs[:i], c.activeJobs[i+1:]...)
			break
		}
	}
	for _, o := range slices.Clone(j.occurrences) {
		for _, s := range o.steps {
			c.retireStep(s)
		}
		if o.liveTasks == 0 {
			j.dropOccurrence(o)
		}
	}
	c.dirty = true
}

// retireStep stops the runs of a step whose job has ended.
func (c *Core) retireStep(s *step) {
	for _, t := range slices.Clone(s.tasks.live) {
		if !t.done || !s.def.Gang { // all members of a gang that is done have ended already
			for _, r := range slices.Clone(t.runs) {
				c.stopRun(r, "the job is over")
			}
		}
		c.release(t)
	}
}

func (c *Core) cancelJob(ev JobCancelled) {
	j := c.jobs[ev.ID]
	if j == nil {
		c.keepCancel(ev)
		return
	}
	if j.ended() {
		return
	}
	j.cancelled = true
	c.recordDecision(Decision{Kind: "job-cancelled", Job: ev.ID})
	c.finishJob(j, workflow.Cancelled, "cancelled by the caller")
}

// findTask returns the task with the given ID, or nil if no such task is active.
func (c *Core) findTask(id workflow.TaskID) *task {
	s := c.findStep(id.StepID)
	if s == nil || id.Index < 0 || id.Index >= s.count() {
		return nil
	}
	t := s.task(id.Index)
	if !t.done && !s.occurrence.job.ended() {
		c.keep(t)
	}
	return t
}

func (c *Core) findStep(id workflow.StepID) *step {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	c.activateThrough(j, id.Occurrence)
	for _, o := range j.occurrences {
		if o.number == id.Occurrence {
			if id.Step < 0 || id.Step >= len(o.steps) {
				return nil
			}
			return o.steps[id.Step]
		}
	}
	return nil
}

// taskDone marks a task as done.
func (c *Core) taskDone(t *task) {
	s := t.step
	if t.done || s.def.LongRunning {
		return
	}
	t.done = true
	s.markDone(t.index)
	c.release(t)
	c.markDirty(s.occurrence.job)
	c.prefetchAdvice(s)
	if !s.finished() {
		return
	}
	o := s.occurrence
	o.stepsLeft--
	o.unblockDependents(s)
	for _, next := range o.steps {
		c.enqueueIfReady(next)
	}
	if o.stepsLeft == 0 {
		c.finishOccurrence(o)
	}
}

// liftBarrier clears the takeover barrier once no run of a previous leader can be
// unknown to this one.
func (c *Core) liftBarrier() {
	if !c.barrier {
		return
	}
	for _, h := range c.sortedHosts {
		if h.inherited && !h.fenced && h.contact == contactNormal {
			return
		}
	}
	c.barrier = false
	c.dirty = true
	c.recordDecision(Decision{Kind: "takeover-complete", Reason: "every worker of the former holder is fenced or its leases have lapsed"})
}

func (c *Core) sortHosts() {
	c.hostsUnsorted = false
	c.sortedHosts = c.sortedHosts[:0]
	clear(c.pools)
	for _, h := range c.hosts {
		c.sortedHosts = append(c.sortedHosts, h)
	}
	sort.Slice(c.sortedHosts, func(a, b int) bool { return c.sortedHosts[a].info.ID < c.sortedHosts[b].info.ID })
	for _, h := range c.sortedHosts {
		c.pools[h.info.Pool] = append(c.pools[h.info.Pool], h)
	}
	c.dirty = true
}

// Decision is one decision and the input that led to it.
type Decision struct {
	Kind    string
	Job     string
	Task    string
	Worker  string
	Run     int64
	Outcome string
	Reason  string
	// Needs describes what a waiting step requests.
	Needs string
	// Age is the age of the input that led to the decision.
	Age time.Duration
	// Queued is the time from the acceptance of a job to its first start.
	Queued time.Duration
	// Expected is the learned run time of a task that is started.
	Expected time.Duration
}

func (c *Core) recordDecision(d Decision) {
	c.reasons[d.Kind]++
	c.decisions = append(c.decisions, d)
}

func (c *Core) orderFor(h *host) worker.Order {
	return worker.Order{Worker: h.info.ID, Address: h.info.Address, Token: c.set.Token, MaxConnections: c.set.WorkerConnections}
}
