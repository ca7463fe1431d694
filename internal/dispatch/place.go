package dispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// place starts waiting tasks, the most urgent first.
func (c *Core) place() {
	if !c.leadershipConfirmed() || c.now < c.nextPassAt() {
		return
	}
	c.lastPass, c.waitReports = c.now, 0
	c.adjustWindow()
	c.round++
	c.prepareAccounts()
	c.sortWaiting()
	c.countBacklogs()
	for _, h := range c.sortedHosts {
		if h.reservedFor != nil && (c.now >= h.reservedUntil || !h.reservedFor.queued) {
			h.reservedFor = nil
		}
	}
	prefetched := map[string]int{}
	kept, excessPlaced := c.waitingSteps[:0], map[string]int{}
	for _, s := range c.waitingSteps {
		if c.inThisPass(s) && c.placeStep(s, prefetched) {
			s.queued = false
			if j := s.occurrence.job; j.excess && !j.ended() {
				excessPlaced[j.def.Account]++
			}
			continue
		}
		c.reportWait(s)
		kept = append(kept, s)
	}
	for i := len(kept); i < len(c.waitingSteps); i++ {
		c.waitingSteps[i] = nil
	}
	c.waitingSteps = kept
	c.accounts.countBacklog(c.now, kept, excessPlaced)
	c.dirty = !c.window.hasRoom()
	c.sendAdviceRequests()
}

// nextPassAt returns when the next pass is due. Changes in quick succession share
// a pass, since its cost grows with the number of waiting steps.
func (c *Core) nextPassAt() time.Duration {
	switch {
	case c.lastPass == 0:
		return 0
	case c.dirty && c.answersLate():
		return c.lastPass + minLatePassGap
	case c.dirty:
		return c.lastPass + minPassGap
	}
	return c.lastPass + passInterval
}

// DeferredPass returns when a deferred pass is due, and false if none is deferred.
func (c *Core) DeferredPass() (time.Duration, bool) {
	return c.nextPassAt(), c.dirty && !c.stopped && len(c.waitingSteps) > 0 && c.leadershipConfirmed()
}

// backlog counts a pool's waiting steps within one pass.
type backlog struct {
	// waiting is the number of steps, visited how many the pass has gone through.
	waiting, visited int
	// sliceStart is where the next slice of a long backlog begins.
	sliceStart int
}

// countBacklogs counts the waiting steps of each pool. Of a long backlog, a pass
// looks only at the head and at one slice of the rest, in rotation, so that a pass
// stays short however many steps wait.
func (c *Core) countBacklogs() {
	for _, l := range c.backlogs {
		if l.sliceStart += backlogSlice; l.sliceStart >= l.waiting {
			l.sliceStart = backlogHead
		}
		l.waiting, l.visited = 0, 0
	}
	for _, s := range c.waitingSteps {
		c.backlogOf(s).waiting++
	}
}

func (c *Core) backlogOf(s *step) *backlog {
	pool := s.occurrence.job.queue.Pool
	l := c.backlogs[pool]
	if l == nil {
		l = &backlog{sliceStart: backlogHead}
		c.backlogs[pool] = l
	}
	return l
}

// inThisPass reports whether this pass looks at a waiting step.
func (c *Core) inThisPass(s *step) bool {
	l := c.backlogOf(s)
	i := l.visited
	l.visited++
	return l.waiting <= backlogHead+backlogSlice || i < backlogHead || i >= l.sliceStart && i < l.sliceStart+backlogSlice ||
		s.occurrence.job.ended() || s.finished()
}

const (
	// passInterval is how often a pass is made when nothing has changed.
	passInterval = 50 * time.Millisecond
	// minPassGap is the least time between two passes, minLatePassGap the same
	// while answers from workers are late.
	minPassGap     = 10 * time.Millisecond
	minLatePassGap = 25 * time.Millisecond
	// longRunningMaxWait is how long a long-running task waits for capacity behind more
	// urgent work.
	longRunningMaxWait = time.Second
	// backlogHead and backlogSlice bound the waiting steps of a pool that one pass
	// looks at.
	backlogHead, backlogSlice = 24, 16
)

// sortWaiting orders the waiting steps. Where accounts are in use, work within their rates and
// shares goes before work beyond them: of the same priority, or of any if it may soon be late.
// Among equals, jobs that can still meet their objective go before those that can't, which
// would only make others late as well.
func (c *Core) sortWaiting() {
	for _, s := range c.waitingSteps {
		s.overdue = c.isOverdue(s)
		s.limited, s.overShare = !c.withinLimit(s, s.startsTogether()) && !c.holdsLimit(s), c.accounts.overShare(s.occurrence.job.def.Account)
		s.late, s.class = c.missesObjective(s.occurrence.job), c.orderClass(s.occurrence.job)
	}
	sort.SliceStable(c.waitingSteps, func(a, b int) bool {
		s, t := c.waitingSteps[a], c.waitingSteps[b]
		if s.limited != t.limited {
			return t.limited
		}
		if s.overdue != t.overdue {
			return s.overdue
		}
		x, y := s.occurrence.job, t.occurrence.job
		if lx, ly := c.pastHorizon(x), c.pastHorizon(y); lx != ly {
			return ly
		}
		if s.class != t.class {
			return s.class < t.class
		}
		if x.excessOrder != y.excessOrder {
			return x.excessOrder < y.excessOrder
		}
		if s.overShare != t.overShare {
			return t.overShare
		}
		if s.late != t.late {
			return t.late
		}
		if x.objective != y.objective {
			return x.objective < y.objective
		}
		return x.offset < y.offset
	})
}

// orderClass ranks jobs by the priorities of their queues, with the jobs in excess of their
// account's rate behind the others of their priority, and also behind those of lower
// priorities that may soon be late. The highest priority is 0.
func (c *Core) orderClass(j *job) int {
	const perPriority, soonLate, excess = 4, 1, 2
	switch class := perPriority * j.queue.Priority; {
	case j.excess:
		return class + excess
	case c.accounts.inUse() && j.queue.Priority > 0 && !j.longRunning && c.slack(j) < maxPreemptorSlack:
		return soonLate // right behind the highest priority
	default:
		return class
	}
}

// missesObjective reports whether the job can't be complete by its objective any more, as
// far as is known.
func (c *Core) missesObjective(j *job) bool {
	return j.queueKnown && j.def.ScheduledOccurrences == 0 && !j.longRunning && c.wall+c.remainingPath(j) > j.objective
}

// remainingPath returns the expected duration of the longest chain of steps of the job that
// are not finished, in milliseconds, as of the current round.
func (c *Core) remainingPath(j *job) int64 {
	if j.remainingRound != c.round {
		j.remainingRound, j.remaining = c.round, j.longestRemaining()
	}
	return j.remaining
}

// longestRemaining returns the expected duration of the longest chain of steps of the job that
// are not finished, in milliseconds.
func (j *job) longestRemaining() int64 {
	if len(j.occurrences) == 0 {
		return j.criticalPath
	}
	longest := int64(0)
	for _, o := range j.occurrences {
		ends := o.pathEnds[:0]
		for i, s := range o.steps {
			end := int64(0)
			for _, d := range s.def.DependsOn {
				end = max(end, ends[d])
			}
			if !s.finished() {
				end += j.expected[i]
			}
			ends = append(ends, end)
			longest = max(longest, end)
		}
		o.pathEnds = ends
	}
	return longest
}

// isOverdue reports whether a long-running task has waited for so long that it
// takes precedence over all finite work.
func (c *Core) isOverdue(s *step) bool {
	if !s.def.LongRunning {
		return false
	}
	overdue := func(t *task) bool { return t.pending(c.now) && c.waitTime(t) > longRunningMaxWait }
	return slices.ContainsFunc(s.tasks.live, overdue) || s.nextUnstarted() < s.count() && overdue(s.task(s.nextUnstarted()))
}

// pastHorizon reports whether it is too late for the job to be of use.
func (c *Core) pastHorizon(j *job) bool {
	return j.queueKnown && j.def.ScheduledOccurrences == 0 && !j.longRunning && c.wall > j.horizon
}

// placeStep starts as many tasks of a step as it can. It reports whether none is
// left to start.
func (c *Core) placeStep(s *step, prefetched map[string]int) bool {
	j := s.occurrence.job
	if j.ended() || s.finished() {
		return true
	}
	if !j.queueKnown || (c.barrier && c.mayPredateTerm(j)) {
		return false
	}
	var waiting bool
	if s.def.Gang {
		waiting = !c.placeGang(s)
	} else {
		waiting = c.placeTasks(s)
	}
	if waiting && c.holdsLimit(s) {
		c.accounts.held[j.def.Account] = true
	}
	if waiting && c.withinLimit(s, s.startsTogether()) {
		c.queueAdviceRequest(s, prefetched)
		c.preempt(s)
	}
	return !waiting
}

// placeTasks starts the tasks of a step one by one and reports whether some still
// wait.
func (c *Core) placeTasks(s *step) bool {
	waiting, tasks := false, s.unfinished()
	if s.nextUnstarted() < s.count() && !c.mayStart(s, 1) {
		waiting, tasks = true, s.started()
	}
	for t := range tasks {
		if len(t.runs) > 0 && !t.allRunsStopping() {
			continue
		}
		if s.isUnstarted(t.index) && !c.mayStart(s, 1) {
			return true
		}
		if !c.window.hasRoom() || !c.withinLimit(s, 1) {
			return true
		}
		if !t.pending(c.now) || c.mayRunUnseen(t) {
			waiting = true
			continue
		}
		h := c.pickHost(t, nil)
		if h == nil {
			if c.now >= t.avoidUntil && t.crashHistory().suspicion() == 0 {
				return true // nor is there a worker for the others
			}
			waiting = true
			continue
		}
		if !c.openTrial(t) {
			if j := s.occurrence.job; j.ended() {
				return false
			}
			waiting = true
			continue
		}
		tk, _ := c.ticketFor(s, h)
		c.startTask(t, h, c.nextRunNumber(t), tk)
	}
	return waiting
}

// allRunsStopping reports whether all live runs of the task are being stopped.
func (t *task) allRunsStopping() bool {
	for _, r := range t.runs {
		if r.state != stopping {
			return false
		}
	}
	return true
}

// queueAdviceRequest queues a request for tickets on workers where the step fits. For
// the first steps of a pool it requests them ahead of time on any worker.
func (c *Core) queueAdviceRequest(s *step, prefetched map[string]int) {
	if s.occurrence.job.queue.Advice == nil {
		return
	}
	size := s.def.ReservedSize()
	wanted := func(h *host) bool { return c.hasRoom(h, size) }
	pool := s.occurrence.job.queue.Pool
	if prefetched[pool] < prefetchSteps {
		prefetched[pool]++
		wanted = anyHost
	}
	c.adviceRequests = append(c.adviceRequests, adviceRequest{s, wanted})
}

// pickHost returns the best worker for the task among those allowed, or nil.
func (c *Core) pickHost(t *task, allowed func(*host) bool) *host {
	s := t.step
	size := s.def.ReservedSize()
	var best *host
	bestScore := 0.0
	all, found := c.candidates(s), 0
	first := 0
	if len(all) > sampleSize {
		first = c.sampleStart % len(all)
	}
	for i := range all {
		h := all[(first+i)%len(all)]
		if !size.FitsIn(h.free) || allowed != nil && !allowed(h) || !c.feasible(t, h) {
			continue
		}
		if found++; found > sampleSize {
			c.sampleStart = (first + i) % len(all)
			break
		}
		if score := c.score(t, h, size); best == nil || score > bestScore {
			best, bestScore = h, score
		}
	}
	if best != nil && c.waitsForLocality(t, best) {
		return nil
	}
	return best
}

// waitsForLocality reports whether the task should wait for a worker near its data
// rather than run on this one. It waits for a fraction of the time that it would
// lose here.
func (c *Core) waitsForLocality(t *task, h *host) bool {
	s := t.step
	if s.def.DataRack == "" || h.info.Rack() == s.def.DataRack || c.waitTime(t) > c.maxLocalityWait(s) {
		return false
	}
	for _, x := range c.pools[s.occurrence.job.queue.Pool] {
		if x.info.Rack() == s.def.DataRack && c.usable(x) && c.eligible(s, x) && s.policyAllows(x) {
			return true
		}
	}
	return false
}

// maxLocalityWait bounds how long a task waits for a worker near its data or its
// gang.
func (c *Core) maxLocalityWait(s *step) time.Duration {
	return time.Duration(localityWaitShare * (c.set.RemoteFactor - 1) * float64(c.expectedTime(s).Milliseconds()) * float64(time.Millisecond))
}

// policyAllows reports whether the policy service has allowed the worker. A step
// without a policy may run anywhere.
func (s *step) policyAllows(h *host) bool {
	return s.occurrence.job.queue.Advice == nil || s.advice.answers[h.info.ID].allowed
}

// feasible checks what the candidates don't cover: conditions that starts in the
// same round may change, and those of the single task.
func (c *Core) feasible(t *task, h *host) bool {
	s := t.step
	if s.runsPerWorker != nil && s.runsPerWorker[h] >= s.def.MaxPerWorker {
		return false
	}
	if h.reservedFor != nil && h.reservedFor != s && (h.reservedFor.overdue || h.reservedFor.occurrence.job.queue.Priority <= s.occurrence.job.queue.Priority) {
		return false
	}
	if !h.mayProbe(s) {
		return false
	}
	return (t.avoidHost != h || c.now >= t.avoidUntil) && !c.keptApart(t, h)
}

// candidates returns the workers that may take tasks of the step now, apart from
// conditions of the single task. They are computed once per round, since no
// capacity becomes free within a round. Most workers of a busy pool are ruled out
// for lack of capacity, before any more expensive check.
func (c *Core) candidates(s *step) []*host {
	if s.candidatesRound == c.round {
		return s.candidates
	}
	s.candidatesRound, s.candidates = c.round, s.candidates[:0]
	size := s.def.ReservedSize()
	for _, h := range c.pools[s.occurrence.job.queue.Pool] {
		if !c.hasRoom(h, size) || !h.hasLabel(s.def.Requires) {
			continue
		}
		if _, ok := c.ticketFor(s, h); ok {
			s.candidates = append(s.candidates, h)
		}
	}
	return s.candidates
}

const (
	// sampleSize bounds the feasible workers that are compared for one task, so
	// that the time of a decision doesn't grow with the pool.
	sampleSize = 64
	// remotePenalty is subtracted from the score of a worker away from the data.
	remotePenalty = 10
	// failedHostPenalty is subtracted from the score of the worker on which the
	// task failed last.
	failedHostPenalty = 20
	// localityWaitShare is the fraction of the time lost away from the data that a
	// task may wait for a worker near it.
	localityWaitShare = 0.6
	// urgentSpeedWeight and otherSpeedWeight are the weights of a worker's speed, relative to
	// that of its pool, in its score: for the most urgent finite work of the pool and for
	// the rest, which leaves it the fast workers since it can wait for longer.
	urgentSpeedWeight, otherSpeedWeight = 4.0, -2.0
	// servingPenalty is subtracted from the score for a filler, per serving task on
	// the worker.
	servingPenalty = 0.5
)

// score rates a worker that fits; higher is better. Finite work is packed tightly.
// Fillers and serving tasks are spread away from each other.
func (c *Core) score(t *task, h *host, size workflow.Size) float64 {
	s := t.step
	score := 0.0
	if t.avoidHost == h {
		score -= failedHostPenalty
	}
	if s.def.DataRack != "" && h.info.Rack() != s.def.DataRack {
		score -= remotePenalty
	}
	if k := t.crashHistory(); k.suspicion() > 0 {
		if h.machine() == k.machine {
			score -= failedHostPenalty
		}
		return score - float64(len(h.runs))
	}
	unused := ratio(h.free.MilliCPU-h.fillerMilliCPU, h.info.Capacity.MilliCPU)
	switch {
	case s.def.Filler:
		return score + unused - servingPenalty*float64(h.servingRuns)
	case s.def.TargetLatencyMillis > 0:
		return score + unused - servingPenalty*ratio(h.fillerMilliCPU, h.info.Capacity.MilliCPU)
	}
	if h.speed > 0 {
		score += c.speedWeight(s) * min(c.relativeSpeed(h), 1.5)
	}
	left := h.free.Sub(size)
	if h.info.Capacity.Accelerators > 0 {
		score -= 4 * ratio(left.Accelerators, h.info.Capacity.Accelerators)
	}
	return score - ratio(left.MilliCPU, h.info.Capacity.MilliCPU) - ratio(left.MemoryMiB, h.info.Capacity.MemoryMiB)
}

// speedWeight returns the weight of a worker's speed for the step. Where all queues of a pool
// have the same priority, each prefers fast workers.
func (c *Core) speedWeight(s *step) float64 {
	q := &s.occurrence.job.queue
	span, ok := c.priorities[q.Pool]
	if ok && (q.Priority > span.highest || s.def.LongRunning) {
		return otherSpeedWeight
	}
	return urgentSpeedWeight
}

// relativeSpeed returns the speed of a worker relative to its pool, 1 if unknown.
func (c *Core) relativeSpeed(h *host) float64 {
	pool := c.runTimes.poolSpeeds[h.info.Pool]
	switch {
	case h.speed <= 0:
		return 1
	case pool <= 0:
		return h.speed
	}
	return h.speed / pool
}

// prioritySpan holds the priorities of the queues of a pool. The highest is the smallest
// number.
type prioritySpan struct{ highest, lowest int }

// prioritiesByPool returns the priorities of the pools whose queues have several.
func prioritiesByPool(cat *workflow.Catalog) map[string]prioritySpan {
	spans := map[string]prioritySpan{}
	for _, q := range cat.Queues {
		span, ok := spans[q.Pool]
		if !ok {
			span = prioritySpan{q.Priority, q.Priority}
		}
		spans[q.Pool] = prioritySpan{min(span.highest, q.Priority), max(span.lowest, q.Priority)}
	}
	for pool, span := range spans {
		if span.highest == span.lowest {
			delete(spans, pool)
		}
	}
	return spans
}

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
