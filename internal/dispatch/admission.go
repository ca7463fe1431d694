package dispatch

import (
	"math"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/team"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	// backlogWindow is the time constant over which the starts of an account's excess work
	// are counted.
	backlogWindow = 2 * time.Second
	// minBacklogWait is the least estimated wait for which a job is rejected. Shorter ones
	// come and go with each burst.
	minBacklogWait = time.Second
	// maxRetryAfter bounds what rejected callers are told.
	maxRetryAfter = 30 * time.Second
)

// excessBacklog is the waiting work of an account in excess of its rate.
type excessBacklog struct {
	// waiting counts the steps that wait, placed is the decaying number of those that have
	// found room in the last backlogWindow.
	waiting int
	placed  float64
	// oldest is for how long the step that has waited longest has waited.
	oldest time.Duration
}

// wait estimates how long a job that joins the backlog now waits for its first start.
func (b *excessBacklog) wait() time.Duration {
	if b.waiting == 0 {
		return 0
	}
	if b.placed < 1 {
		return max(b.oldest, backlogWindow)
	}
	return time.Duration(float64(b.waiting) / b.placed * float64(backlogWindow))
}

// countBacklog updates the backlogs of excess work after a pass: left are the steps that
// still wait, placed counts by account those that have found room.
func (a *accounts) countBacklog(now time.Duration, left []*step, placed map[string]int) {
	decay := math.Exp(-float64(now-a.backlogAt) / float64(backlogWindow))
	a.backlogAt = now
	for name, b := range a.backlogs {
		b.waiting, b.oldest = 0, 0
		b.placed = b.placed*decay + float64(placed[name])
	}
	for _, s := range left {
		j := s.occurrence.job
		if !j.excess {
			continue
		}
		b := a.backlogs[j.def.Account]
		if b == nil {
			b = &excessBacklog{placed: float64(placed[j.def.Account])}
			a.backlogs[j.def.Account] = b
		}
		b.waiting++
		b.oldest = max(b.oldest, now-s.readyAt)
	}
}

// usefulTime is how long after its acceptance the job can wait and still be of use, by the
// run times that its caller has declared.
func usefulTime(def *workflow.Job) time.Duration {
	j := &job{def: def, expected: make([]int64, len(def.Steps))}
	for i := range def.Steps {
		j.expected[i] = def.Steps[i].EstimateMillis
	}
	path := j.longestChain()
	return time.Duration(horizonFactor*objectiveSpan(def.QueueSnapshot, path, len(def.Steps))-path) * time.Millisecond
}

// Admission tells which jobs can't be of use any more when their turn comes. It is
// immutable.
type Admission struct {
	accounts map[string]accountAdmission
}

type accountAdmission struct {
	rate team.Rate
	wait time.Duration
}

// Admission returns the present one, nil where no account has a long backlog.
func (c *Core) Admission() *Admission {
	var out *Admission
	for name, b := range c.accounts.backlogs {
		wait := b.wait()
		if wait < minBacklogWait || c.accounts.rates[name] == nil {
			continue
		}
		if out == nil {
			out = &Admission{accounts: map[string]accountAdmission{}}
		}
		out.accounts[name] = accountAdmission{*c.accounts.rates[name], wait}
	}
	return out
}

// Reject reports whether a job that is submitted at a time in Unix milliseconds should be
// rejected: it is in excess of its account's rate, and when the excess work before it has been
// started the job is of no use any more. The caller may return after retryAfter.
func (a *Admission) Reject(job *workflow.Job, atMillis int64) (retryAfter time.Duration, reject bool) {
	x, ok := a.accounts[job.Account]
	if !ok || job.ScheduledOccurrences > 0 || job.LongRunning() || job.QueueSnapshot == nil {
		return 0, false
	}
	if excess, _ := x.rate.Take(atMillis); !excess {
		return 0, false
	}
	useful := usefulTime(job)
	if x.wait < useful {
		return 0, false
	}
	return min(max(x.wait-useful, minBacklogWait), maxRetryAfter), true
}
