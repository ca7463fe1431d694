package dispatch

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/team"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	// rateBurst is how much of its rate an account may use at once before its jobs count
	// as excess.
	rateBurst = time.Second
	// gangLimitWait is how long a gang waits for the limit of its account before the
	// account's other tasks wait for it.
	gangLimitWait = time.Second
	// stopSlack is how long after its recorded end a job may still have tasks that are
	// being stopped, in addition to the longest lease.
	stopSlack = 2 * time.Second
)

// accounts holds what the client accounts have running and may have running. It is empty
// where accounts are not in use.
type accounts struct {
	usage *team.QuotaTracker
	rates map[string]*team.Rate
	// limited is set if some account has a maximum.
	limited bool
	// held names the accounts whose remaining room is left to one of their gangs in the
	// current pass.
	held map[string]bool
	// unseenCounted is set while usage contains what may run unseen.
	unseenCounted bool
	// fairShare is an account's share of its weight, above which it is over its share, as
	// of the current pass.
	fairShare float64
	// total is the capacity of all workers, as of the current pass.
	total resource.Vector
	// backlogs holds the waiting excess work by account, as of backlogAt.
	backlogs  map[string]*excessBacklog
	backlogAt time.Duration
}

func newAccounts() accounts {
	return accounts{usage: team.NewQuotaTracker(), rates: map[string]*team.Rate{}, backlogs: map[string]*excessBacklog{}}
}

func vectorOf(z workflow.Size) resource.Vector {
	return resource.Vector{MilliCPU: z.MilliCPU, MemoryMiB: z.MemoryMiB, Accelerators: z.Accelerators}
}

// configureAccounts applies the accounts of the catalog. What runs above a lowered maximum
// goes on, and nothing more is started until the usage is below it.
func (c *Core) configureAccounts() {
	a := &c.accounts
	a.limited = false
	weights := map[string]float64{}
	for _, name := range a.usage.Names() {
		if _, ok := c.catalog.Accounts[name]; !ok {
			a.usage.SetQuota(name, 0, resource.Vector{})
			delete(a.rates, name)
			delete(a.backlogs, name)
		}
	}
	for name, def := range c.catalog.Accounts {
		a.usage.SetQuota(name, def.Weight, vectorOf(def.Maximum))
		weights[name] = def.Weight
		a.limited = a.limited || def.Maximum != (workflow.Size{})
		a.rate(name).PerSecond = def.Weight
	}
	c.liveTasks.SetWeights(weights)
}

func (a *accounts) rate(name string) *team.Rate {
	r := a.rates[name]
	if r == nil {
		r = &team.Rate{Burst: rateBurst}
		a.rates[name] = r
	}
	return r
}

// countJob takes a job into account in the order of the log, in which a new leader takes
// the same jobs again.
func (c *Core) countJob(j *job) {
	if j.def.Account != "" && c.catalog.Accounts != nil {
		j.excess, j.excessOrder = c.accounts.rate(j.def.Account).Take(j.def.AcceptedMillis)
	}
}

// chargeRun and refundRun change the usage of the run's account. A run counts from its
// order until it is certain that it doesn't run and never will.
func (c *Core) chargeRun(r *run) {
	if j := c.jobs[r.taskID.Job]; j != nil && j.def.Account != "" && r.taskID.Step >= 0 && r.taskID.Step < len(j.def.Steps) {
		// The whole size, also that of fillers, which reserve no CPU on their worker.
		r.account, r.charge = j.def.Account, vectorOf(j.def.Steps[r.taskID.Step].Size)
		c.accounts.usage.Allocate(r.account, r.charge)
	}
}

func (c *Core) refundRun(r *run) {
	if r.account != "" {
		c.accounts.usage.Release(r.account, r.charge)
		r.account = ""
	}
}

// withinLimit reports whether the account of the step may start n more of its tasks.
func (c *Core) withinLimit(s *step, n int) bool {
	account := s.occurrence.job.def.Account
	if account == "" || !c.accounts.limited {
		return true
	}
	if c.accounts.held[account] && !s.def.Gang {
		return false
	}
	return c.accounts.usage.Allows(account, vectorOf(s.def.Size).Scale(int64(n)))
}

// holdsLimit reports whether a gang has waited for its account's limit for so long that the
// account's other tasks leave it the room. Without that, a stream of small tasks would take
// each part of the limit that becomes free.
func (c *Core) holdsLimit(s *step) bool {
	if !s.def.Gang || c.now-s.readyAt < gangLimitWait || c.withinLimit(s, s.count()) {
		return false
	}
	maximum := vectorOf(c.catalog.Accounts[s.occurrence.job.def.Account].Maximum)
	return team.WithinQuota(vectorOf(s.def.Size).Scale(int64(s.count())), maximum)
}

// prepareAccounts brings what placement needs to know of the accounts up to date.
func (c *Core) prepareAccounts() {
	a := &c.accounts
	if len(c.catalog.Accounts) == 0 {
		a.fairShare = 0
		return
	}
	a.held = map[string]bool{}
	unknown := c.barrier || len(c.suspectTasks) > 0
	if a.limited && unknown {
		a.usage.SetUnseen(c.unseenUsage())
	} else if a.unseenCounted {
		a.usage.SetUnseen(nil)
	}
	a.unseenCounted = a.limited && unknown
	a.total = resource.Vector{}
	for _, h := range c.sortedHosts {
		if h.listed {
			a.total = a.total.Add(vectorOf(h.info.Capacity))
		}
	}
	active := map[string]bool{}
	weights := 0.0
	for _, s := range c.waitingSteps {
		if name := s.occurrence.job.def.Account; name != "" && !active[name] {
			active[name] = true
			weights += a.usage.Weight(name)
		}
	}
	if a.fairShare = 0; weights > 0 {
		a.fairShare = 1 / weights
	}
}

func (a *accounts) inUse() bool { return a.fairShare > 0 }

// overShare reports whether the account uses more than its weighted share of the room
// among the accounts that wait for some.
func (a *accounts) overShare(name string) bool {
	return name != "" && a.inUse() && a.usage.DominantShare(name, a.total) > a.fairShare
}

// unseenUsage bounds, by account, what previous leaders may have running on the workers
// that this one has not fenced: the tasks that they may have started and that have not
// been seen, and at most what these workers hold.
func (c *Core) unseenUsage() map[string]resource.Vector {
	unseen := map[string]resource.Vector{}
	c.addSuspectTasks(unseen)
	if c.barrier {
		for _, j := range c.activeJobs {
			if j.def.Account != "" && c.mayPredateTerm(j) {
				c.addUnseenTasks(unseen, j)
			}
		}
		c.addStoppedJobs(unseen)
	}
	if bound, known := c.unfencedCapacity(); known {
		for name, v := range unseen {
			unseen[name] = resource.Vector{MilliCPU: min(v.MilliCPU, bound.MilliCPU), MemoryMiB: min(v.MemoryMiB, bound.MemoryMiB),
				Accelerators: min(v.Accelerators, bound.Accelerators)}
		}
	}
	return unseen
}

// addUnseenTasks adds the tasks of a job that previous leaders may have started. Also steps
// that are not ready count: the end of what they depend on may not have been recorded.
func (c *Core) addUnseenTasks(unseen map[string]resource.Vector, j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			liveDone, n := 0, s.unstartedCount()*maxRuns(s.def, false)
			for _, t := range s.tasks.live {
				n += max(0, maxRuns(s.def, t.done)-len(t.runs))
				if t.done {
					liveDone++
				}
			}
			n += (s.tasks.doneCount - liveDone) * maxRuns(s.def, true)
			unseen[j.def.Account] = unseen[j.def.Account].Add(vectorOf(s.def.Size).Scale(int64(n)))
		}
	}
}

// addStoppedJobs adds the tasks of jobs that ended so recently that their stops may not
// have been carried out.
func (c *Core) addStoppedJobs(unseen map[string]resource.Vector) {
	since := c.wall - (c.set.MaxLease + stopSlack).Milliseconds()
	for _, j := range c.commits.ended {
		if j.def.Account == "" || j.endedAt < since {
			continue
		}
		for i := range j.def.Steps {
			s := &j.def.Steps[i]
			n := s.Count * maxRuns(s, j.finalState == workflow.Completed)
			unseen[j.def.Account] = unseen[j.def.Account].Add(vectorOf(s.Size).Scale(int64(n)))
		}
	}
}

// addSuspectTasks adds the tasks that previous leaders have recorded for workers that they
// didn't reach, also those of jobs that have ended since.
func (c *Core) addSuspectTasks(unseen map[string]resource.Vector) {
	for name, h := range c.suspectTasks {
		if c.hosts[h.info.ID] != h || !h.inherited || h.fenced {
			continue
		}
		id, err := workflow.ParseTaskID(name)
		if err != nil {
			continue
		}
		if j := c.jobs[id.Job]; j != nil && j.def.Account != "" && id.Step < len(j.def.Steps) {
			unseen[j.def.Account] = unseen[j.def.Account].Add(vectorOf(j.def.Steps[id.Step].Size))
		}
	}
}

// maxRuns returns how many runs a task of the step may have, also when it is done.
func maxRuns(s *workflow.Step, done bool) int {
	n := 1
	if s.Speculative {
		n = maxLiveCopies
	}
	if done {
		n-- // the others are being stopped
	}
	return n
}

// unfencedCapacity returns the capacity of the workers where runs of previous leaders may
// be unseen, and false if that of one is unknown.
func (c *Core) unfencedCapacity() (sum resource.Vector, known bool) {
	for _, h := range c.sortedHosts {
		if !h.inherited || h.fenced {
			continue
		}
		if h.info.Capacity == (workflow.Size{}) {
			return resource.Vector{}, false
		}
		sum = sum.Add(vectorOf(h.info.Capacity))
	}
	return sum, true
}
