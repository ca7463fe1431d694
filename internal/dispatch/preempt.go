package dispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	// preemptAfter is how long a step waits for capacity before less urgent work is
	// stopped for it.
	preemptAfter = 300 * time.Millisecond
	// preemptRetry is the delay before the next search for victims.
	preemptRetry = 200 * time.Millisecond
	// preemptCooldown is the delay before more work is stopped for the same step.
	preemptCooldown = 1500 * time.Millisecond
	// maxPreemptorSlack is the slack of a job below which work is stopped for it.
	// minVictimSlack is the slack that a job must have for its work to be stopped.
	maxPreemptorSlack = 1500 * time.Millisecond
	minVictimSlack    = 4 * time.Second
	// reservationTime is how long freed capacity is reserved for its step, in
	// addition to the time that the stop takes.
	reservationTime = time.Second
	// maxVictimsPerTask bounds the runs that are stopped for one task.
	maxVictimsPerTask = 8
)

// preempt frees capacity for a waiting step by stopping checkpointing work of less
// urgent queues. It does so for all tasks of a gang or for none, and for as many
// single tasks as possible. The capacity is reserved for the step until it is free.
func (c *Core) preempt(s *step) {
	if c.now-s.readyAt < preemptAfter || c.now < s.nextPreempt || c.slack(s.occurrence.job) > maxPreemptorSlack || c.pastHorizon(s.occurrence.job) {
		return
	}
	plan := map[*host][]*run{}
	freeAfter := map[*host]workflow.Size{}
	missing, planned := false, 0
	for t := range s.unfinished() {
		if !t.pending(c.now) || c.mayRunUnseen(t) {
			continue
		}
		// No work is stopped for tasks that the account's limit keeps from starting.
		if !c.withinLimit(s, planned+1) || !c.planPreemption(s, plan, freeAfter) {
			missing = true
			break
		}
		planned++
	}
	s.nextPreempt = c.now + preemptRetry
	if len(plan) == 0 || missing && s.def.Gang {
		return
	}
	s.nextPreempt = c.now + c.set.StopTimeout + preemptCooldown
	for _, h := range c.sortedHosts {
		if _, chosen := freeAfter[h]; !chosen {
			continue
		}
		h.reservedFor, h.reservedUntil = s, c.now+c.set.StopTimeout+reservationTime
		for _, r := range plan[h] {
			c.reasons["run-preempted"]++
			c.stopRun(r, "more urgent work needs the room")
		}
	}
}

// planPreemption adds one task of the step to the plan, on the worker where the
// fewest runs have to be stopped.
func (c *Core) planPreemption(s *step, plan map[*host][]*run, freeAfter map[*host]workflow.Size) bool {
	size := s.def.ReservedSize()
	var best *host
	var victims []*run
	for _, h := range c.pools[s.occurrence.job.queue.Pool] {
		if !c.usable(h) || !c.eligible(s, h) || !s.policyAllows(h) || h.reservedFor != nil && h.reservedFor != s || !h.mayProbe(s) {
			continue
		}
		free, planned := freeAfter[h]
		if planned && h.health.probing && !s.def.Gang {
			continue
		}
		if !planned {
			free = h.free
		}
		list, ok := c.selectVictims(s, h, free, plan[h])
		if ok && (best == nil || len(list) < len(victims)) {
			best, victims = h, list
		}
	}
	if best == nil {
		return false
	}
	free, planned := freeAfter[best]
	if !planned {
		free = best.free
	}
	for _, r := range victims {
		free = free.Add(r.size)
	}
	freeAfter[best] = free.Sub(size)
	if len(victims) > 0 {
		plan[best] = append(plan[best], victims...)
	}
	return true
}

// selectVictims returns the runs to stop so that one task of the step fits into the
// capacity that is free then. It returns none if the task fits already.
func (c *Core) selectVictims(s *step, h *host, free workflow.Size, taken []*run) ([]*run, bool) {
	size := s.def.ReservedSize()
	if size.FitsIn(free) {
		return nil, true
	}
	var list []*run
	for _, r := range c.preemptible(h) {
		if r.state != running || r.task.step.occurrence.job.queue.Priority <= s.occurrence.job.queue.Priority ||
			slices.Contains(taken, r) || !freesMissing(r.size, size, free) {
			continue
		}
		list = append(list, r)
		free = free.Add(r.size)
		if size.FitsIn(free) {
			return list, true
		}
		if len(list) == maxVictimsPerTask {
			break
		}
	}
	return nil, false
}

// preemptible returns the runs on a worker that may be stopped for work of a higher
// priority, the least advanced first. They are determined once per round, since each waiting
// task looks at all workers.
func (c *Core) preemptible(h *host) []*run {
	if h.preemptibleRound == c.round {
		return h.preemptibleRuns
	}
	h.preemptibleRound, h.preemptibleRuns = c.round, h.preemptibleRuns[:0]
	for _, r := range h.sortedRuns() {
		t := r.task
		if t == nil || r.state != running || t.done || !t.step.def.Checkpointing || t.step.def.LongRunning || t.step.def.Gang ||
			c.slack(t.step.occurrence.job) < minVictimSlack {
			continue
		}
		h.preemptibleRuns = append(h.preemptibleRuns, r)
	}
	sort.SliceStable(h.preemptibleRuns, func(a, b int) bool { return h.preemptibleRuns[a].percent < h.preemptibleRuns[b].percent })
	return h.preemptibleRuns
}

// slack is how long the rest of the job's work could be put off for the job to
// still complete by its objective. The estimates are rough, so they count one and a
// half times.
func (c *Core) slack(j *job) time.Duration {
	if j.longRunning {
		return 0
	}
	return time.Duration(j.objective-c.wall-j.criticalPath*3/2) * time.Millisecond
}

// freesMissing reports whether a run holds some of the resources that are missing.
func freesMissing(held, wanted, free workflow.Size) bool {
	return wanted.MilliCPU > free.MilliCPU && held.MilliCPU > 0 ||
		wanted.MemoryMiB > free.MemoryMiB && held.MemoryMiB > 0 ||
		wanted.Accelerators > free.Accelerators && held.Accelerators > 0
}
