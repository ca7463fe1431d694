package dispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	// preemptAfter is how long a step waits for room before less urgent work is stopped for it.
	preemptAfter = 300 * time.Millisecond
	// preemptRetry is the pause before room is looked for again.
	preemptRetry = 200 * time.Millisecond
	// preemptRest is the pause before more is stopped for the same step.
	preemptRest = 1500 * time.Millisecond
	// preemptSlack is the slack of a job below which room is made for it;
	// victimSlack the one that a job must have for its work to be stopped.
	preemptSlack = 1500 * time.Millisecond
	victimSlack  = 4 * time.Second
	// reserveTime is how long room that was made is kept for its step, beside the stop.
	reserveTime = time.Second
	// victimsPerTask bounds the runs that are stopped for one task.
	victimsPerTask = 8
)

// preempt makes room for a waiting step by stopping checkpointing work of less
// urgent queues: for all tasks of a gang or for none, for single tasks as far
// as it goes. The room is kept for the step until it is free.
func (c *Core) preempt(s *step) {
	if c.now-s.readyAt < preemptAfter || c.now < s.preemptAt || c.slack(s.occ.job) > preemptSlack || c.hopeless(s.occ.job) {
		return
	}
	plan := map[*host][]*run{}
	room := map[*host]workflow.Size{}
	missing := false
	for i := range s.tasks {
		t := &s.tasks[i]
		if !t.waits(c.now) || c.suspected(t) {
			continue
		}
		if !c.makeRoom(s, plan, room) {
			missing = true
			break
		}
	}
	s.preemptAt = c.now + preemptRetry
	if len(plan) == 0 || missing && s.def.Gang {
		return
	}
	s.preemptAt = c.now + c.set.StopTimeout + preemptRest
	for _, h := range c.order {
		if _, chosen := room[h]; !chosen {
			continue
		}
		h.reserved, h.reservedUntil = s, c.now+c.set.StopTimeout+reserveTime
		for _, r := range plan[h] {
			c.reasons["run-preempted"]++
			c.stopRun(r, "more urgent work needs the room")
		}
	}
}

// makeRoom adds one task of the step to the plan, on the worker where the
// fewest runs have to be stopped for it.
func (c *Core) makeRoom(s *step, plan map[*host][]*run, room map[*host]workflow.Size) bool {
	size := s.def.Counted()
	var best *host
	var victims []*run
	for _, h := range c.pools[s.occ.job.queue.Pool] {
		if !c.usable(h) || !c.suits(s, h) || !s.mayRun(h) || h.reserved != nil && h.reserved != s || h.health.probing {
			continue
		}
		free, seen := room[h]
		if !seen {
			free = h.free
		}
		list, ok := c.victims(s, h, free, plan[h])
		if ok && (best == nil || len(list) < len(victims)) {
			best, victims = h, list
		}
	}
	if best == nil {
		return false
	}
	free, seen := room[best]
	if !seen {
		free = best.free
	}
	for _, r := range victims {
		free = free.Add(r.size)
	}
	room[best] = free.Sub(size)
	if len(victims) > 0 {
		plan[best] = append(plan[best], victims...)
	}
	return true
}

// victims returns the runs to stop so that one task of the step fits into what
// is then free; none if it fits already.
func (c *Core) victims(s *step, h *host, free workflow.Size, taken []*run) ([]*run, bool) {
	size := s.def.Counted()
	if size.Within(free) {
		return nil, true
	}
	var list []*run
	for _, r := range c.preemptible(s, h) {
		if slices.Contains(taken, r) || !helps(r.size, size, free) {
			continue
		}
		list = append(list, r)
		free = free.Add(r.size)
		if size.Within(free) {
			return list, true
		}
		if len(list) == victimsPerTask {
			break
		}
	}
	return nil, false
}

// preemptible returns the runs on a worker that may be stopped for the step,
// those that have the most left to do first.
func (c *Core) preemptible(s *step, h *host) []*run {
	var list []*run
	for _, r := range h.sortedRuns() {
		t := r.task
		if t == nil || r.state != running || t.done || !t.step.def.Checkpointing || t.step.def.LongRunning || t.step.def.Gang ||
			t.step.occ.job.queue.Priority <= s.occ.job.queue.Priority || c.slack(t.step.occ.job) < victimSlack {
			continue
		}
		list = append(list, r)
	}
	sort.SliceStable(list, func(a, b int) bool { return list[a].percent < list[b].percent })
	return list
}

// slack is how much later than now the rest of the job's work could begin for
// it to be complete by its objective; the estimates are rough, so they count half more.
func (c *Core) slack(j *job) time.Duration {
	if j.def.LongRunning() {
		return 0
	}
	return time.Duration(j.objective-c.wall-j.chain()*3/2) * time.Millisecond
}

// helps reports whether a run holds something of what lacks.
func helps(has, wants, free workflow.Size) bool {
	return wants.MilliCPU > free.MilliCPU && has.MilliCPU > 0 ||
		wants.MemoryMiB > free.MemoryMiB && has.MemoryMiB > 0 ||
		wants.Accelerators > free.Accelerators && has.Accelerators > 0
}
