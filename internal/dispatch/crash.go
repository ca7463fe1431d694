package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// lossCause says how a run came to be lost.
type lossCause string

const (
	// lossCrash: the incarnation of its worker ended without notice.
	lossCrash lossCause = "crash"
	// lossDeparture: its worker left, or was taken away.
	lossDeparture lossCause = "departure"
	// lossLease: its lease expired while the worker was silent.
	lossLease lossCause = "lease-expired"
	// lossUnlisted: its worker goes on without it.
	lossUnlisted lossCause = "unlisted"
)

// rackFailureWindow is the time between crashes in a rack within which they are taken
// for a failure of the rack.
const rackFailureWindow = time.Second

// crash is the crash of a worker with the tasks that may have caused it.
type crash struct {
	at       time.Duration
	suspects []suspect
	// attributed is set once a task is known to have caused it.
	attributed bool
}

// suspect is a task under which a worker has crashed.
type suspect struct {
	task *task
	// begun is set if its run is known to have begun.
	begun bool
}

// rackCrash is the crash of a worker of a rack.
type rackCrash struct {
	rack string
	at   time.Duration
}

// recordCrash counts the crash of a worker for the tasks that may have caused it, and
// returns those that it is attributed to.
func (c *Core) recordCrash(h *host) []*task {
	if len(h.runs) == 0 {
		if h.clock > 0 {
			c.recentCrashes = append(c.recentCrashes, &crash{at: c.now})
		}
		return nil
	}
	var suspects []*run
	alone, newest := true, time.Duration(0)
	for _, r := range h.sortedRuns() {
		newest = max(newest, r.sentAt)
		switch {
		case r.task == nil || r.carriedOver:
			alone = false
		case r.settled():
			*r.task.crashHistory() = crashHistory{}
		case r.mayHaveBegun():
			suspects = append(suspects, r)
			alone = alone && sameUnit(r.task, suspects[0].task)
		}
	}
	c.recordDecision(Decision{Kind: "worker-crashed", Worker: h.info.ID, Age: c.now - h.lastContact,
		Reason: fmt.Sprintf("%d runs, the newest sent %d ms before its last answer", len(h.runs), (h.lastContact - newest).Milliseconds())})
	prime := c.onTrial(h)
	switch {
	case c.rackFails(h):
		prime = nil
	case alone && len(suspects) > 0:
		prime = suspects[0].task
	}
	return c.attributeCrash(suspects, prime)
}

// attributeCrash counts a crash under its suspects and returns the tasks that it is
// attributed to. prime is the only task that can have caused it, or nil.
func (c *Core) attributeCrash(suspects []*run, prime *task) []*task {
	event := &crash{at: c.now}
	c.recentCrashes = append(c.recentCrashes, event)
	var culprits []*task
	var mostSuspected *run
	for _, r := range suspects {
		if r.task.done || r.task.step.occurrence.job.ended() {
			continue
		}
		k := r.task.crashHistory()
		elsewhere := k.machine != r.host.machine()
		if !c.countCrash(r, event) {
			continue
		}
		switch {
		case k.count < minCrashes || c.coincidence(k) > maxCoincidence:
		case prime != nil && sameUnit(r.task, prime) && elsewhere, k.early >= maxCrashes:
			culprits = append(culprits, r.task)
		case k.suspicion() >= maxCrashes && (mostSuspected == nil || moreSuspected(r, mostSuspected)):
			mostSuspected = r
		}
	}
	if len(culprits) == 0 && mostSuspected != nil {
		culprits = append(culprits, mostSuspected.task)
	}
	return culprits
}

// moreSuspected reports whether a run's task is more likely to have caused a crash. Most
// tasks that crash their worker do it soon after their start.
func moreSuspected(a, b *run) bool {
	if x, y := a.task.crashHistory().suspicion(), b.task.crashHistory().suspicion(); x != y {
		return x > y
	}
	return a.sentAt > b.sentAt
}

// countCrash counts a crash under the run's task and reports whether it did. It counts
// once for a gang.
func (c *Core) countCrash(r *run, event *crash) bool {
	k := r.task.crashHistory()
	if k.lastRun == r.number {
		return false
	}
	if !r.begun {
		k.possible++
	} else if k.count++; c.ageAtCrash(r) < trialTime {
		k.early++
	}
	k.ages = append(k.ages, max(c.ageAtCrash(r), minExposure))
	k.trial, k.presumed = false, false
	k.lastRun, k.machine = r.number, r.host.machine()
	k.crashes = append(k.crashes, event)
	event.suspects = append(event.suspects, suspect{r.task, r.begun})
	c.recordCrashHistory(r.task)
	return true
}

// recordCrashHistory records the crashes under the task at once.
func (c *Core) recordCrashHistory(t *task) {
	c.markDirty(t.step.occurrence.job)
	c.commits.recordCrash(t.crashHistory())
}

// giveUp fails the job of a task that crashes workers.
func (c *Core) giveUp(t *task) {
	k := t.crashHistory()
	if t.step.occurrence.job.ended() {
		return
	}
	c.reasons["job-given-up"]++
	c.finishJob(t.step.occurrence.job, workflow.Failed, fmt.Sprintf("%d workers have crashed under task %s", k.count, t.id()))
	for _, event := range k.crashes {
		if event.attributed {
			continue
		}
		event.attributed = true
		for _, x := range event.suspects {
			if !sameUnit(x.task, t) {
				x.discount()
				c.markDirty(x.task.step.occurrence.job)
			}
		}
	}
}

// coincidence returns the probability that workers crash for other causes as soon after
// the task's starts as they did, at the rate at which workers have crashed lately.
func (c *Core) coincidence(k *crashHistory) float64 {
	c.recentCrashes = slices.DeleteFunc(c.recentCrashes, func(x *crash) bool { return c.now-x.at >= crashRateWindow })
	others := minOtherCrashes
	for _, x := range c.recentCrashes {
		if !slices.Contains(k.crashes, x) {
			others++
		}
	}
	rate := others / (crashRateWindow.Seconds() * float64(max(len(c.sortedHosts), 1)))
	p := 1.0
	for _, age := range k.ages {
		p *= min(1, rate*age.Seconds())
	}
	return p
}

// discount takes back that a crash counts for the suspect.
func (x *suspect) discount() {
	k := x.task.crashHistory()
	if x.begun {
		k.count = max(k.count-1, 0)
	} else {
		k.possible = max(k.possible-1, 0)
	}
}

// rackFails reports whether other workers of the rack have failed at about the same
// time, and records the crash.
func (c *Core) rackFails(h *host) bool {
	rack, fails := h.info.Rack(), false
	kept := c.rackCrashes[:0]
	for _, x := range c.rackCrashes {
		if c.now-x.at < rackFailureWindow {
			kept = append(kept, x)
			fails = fails || x.rack == rack
		}
	}
	c.rackCrashes = append(kept, rackCrash{rack, c.now})
	for _, x := range c.sortedHosts {
		// A worker that has never answered may be an outdated entry.
		fails = fails || x != h && x.clock > 0 && x.unanswered > 0 && x.info.Rack() == rack
	}
	return fails
}
