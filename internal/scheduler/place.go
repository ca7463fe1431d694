package scheduler

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/job"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/placement"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/team"
)

// placer is the part of the core that gives waiting tasks their workers.
type placer struct {
	cell  placement.Cell
	queue queue
	// random feeds the random baseline.
	random placement.Random
	// seenAll is whether every worker was seen in the term that began at seenIn.
	seenAll bool
	seenIn  time.Duration
	// orphans are tasks bound to machines that are no longer behind a worker's name.
	orphans []*task
	// discard lists tasks that may have to be forgotten.
	discard []*task
	// torn lists gangs to be looked at since a member waits again.
	torn []*group
	// reserved holds a reservation for work with accelerators and one for other work.
	reserved [2]reservation
	ledger   *team.QuotaTracker
	// freedTeams lists teams that gave something back.
	freedTeams []string
	// polling is set while work waits for room whose policy has workers polled.
	polling bool
	// freed lists nodes that may take more than before; steps numbers the steps
	// in which tasks are placed, and shapes the changes of workers' capacities.
	freed         []*placement.Node
	steps, shapes uint64
	// probe is the request that nodes are tried with.
	probe placement.Request
	// retryAt is when blocked groups that hold or want kept room are tried again.
	retryAt time.Duration
	// orphansStale is set when workers changed since orphans were listed.
	orphansStale bool
	// clearFrom is where the next search for victims begins.
	clearFrom int
	// limit is the largest amount of each resource that a worker has.
	limit resource.Vector
	// rules holds the rules of each policy in use.
	rules map[configuration.Policy]*placement.Rules
}

func newPlacer() placer {
	return placer{queue: newQueue(), ledger: team.NewQuotaTracker(), rules: map[configuration.Policy]*placement.Rules{}}
}

// rulesOf returns the rules of the group's policy.
func (c *Core) rulesOf(g *group) *placement.Rules {
	r := c.rules[g.spec.Policy]
	if r == nil {
		rules := placement.RulesOf(g.spec.Policy, &c.random)
		r = &rules
		c.rules[g.spec.Policy] = r
	}
	return r
}

// refresh brings a worker's node up to date and wakes groups that it may help.
func (c *Core) refresh(w *worker) {
	old := w.node
	c.judgeProbe(w)
	blocked := c.blocked(w)
	now := placement.Node{
		Name: w.name, Rack: w.rack, Capacity: w.capacity, Free: w.free(), Tasks: old.Tasks,
		Unconfirmed: len(w.assumed), Blocked: blocked, Probe: w.health.probing,
	}
	if now.Tasks == nil {
		now.Tasks = map[string]int{}
	}
	clear(now.Tasks)
	for _, o := range w.observed {
		if o.State == Running {
			now.Tasks[configuration.WorkloadOf(o.Task)]++
		}
	}
	for _, s := range w.assumed {
		now.Tasks[configuration.WorkloadOf(s.Task)]++
	}
	opened, reshaped := opens(old, &now), old.Capacity != now.Capacity
	c.cell.Set(old, now)
	if reshaped {
		c.shapes++
		c.limit = c.limit.Max(now.Capacity)
		c.queue.activateAll()
	} else if opened {
		c.wakeFreed(w.node)
	}
}

// opens reports whether a node may take something that it did not take before.
func opens(before, now *placement.Node) bool {
	if now.Blocked != "" {
		return false
	}
	return before.Blocked != "" || now.Unconfirmed < before.Unconfirmed || !now.Free.Fits(before.Free) ||
		now.Capacity != before.Capacity || before.Probe && !now.Probe
}

func (c *Core) blocked(w *worker) placement.Reason {
	switch {
	case !w.fence.Owned(c.now) || w.seenAt < c.term.Began() || !w.enlisted:
		return placement.NotOwned
	case w.leaving:
		return placement.Leaving
	case w.drained:
		return placement.Draining
	case c.now < w.health.until || c.probeUnder(w):
		return placement.Quarantined
	}
	return ""
}

// place tries to place the first task of a group, or the whole of a gang.
func (c *Core) place(g *group, t *task) {
	if !c.ledger.Allows(g.spec.Team, c.sizeOf(g).Scale(c.atOnce(g))) {
		c.reasons["quota"]++
		c.setAside(g, placement.Quota)
		return
	}
	if g.isGang() {
		c.placeGang(g)
		return
	}
	req := c.request(g, t)
	n := c.heldNode(g, req)
	if n == nil {
		n = c.cell.Place(req, c.rulesOf(g))
	}
	if n == nil {
		c.noFit(g, t)
		return
	}
	g.pop()
	c.cell.Take(req, n)
	c.useHold(g, n, req.Size)
	c.assume(t, c.workers[n.Name], g, req.Size)
	c.placedGroup(g)
}

// atOnce returns how many tasks of the group start together.
func (c *Core) atOnce(g *group) int64 {
	if g.isGang() {
		return int64(c.gangState(g).waiting)
	}
	return 1
}

// noFit sets a group aside whose first task finds no place, and does what may
// bring its start nearer: a reservation, or room cleared of less urgent work.
func (c *Core) noFit(g *group, t *task) {
	c.reasons["no-fit"]++
	g.triedIn = c.steps
	if !c.isPossible(g) {
		return
	}
	c.setAside(g, c.cell.Closest())
	if !c.rulesOf(g).InOrder {
		c.preempt(g, t)
		c.reserve(g)
	}
}

// isPossible reports whether the group could run on the workers as they are
// known, and refuses it otherwise.
func (c *Core) isPossible(g *group) bool {
	if g.possible == c.shapes {
		return true
	}
	if r := c.Refusal(g.spec); r != nil {
		c.reasons["impossible"]++
		c.setAside(g, placement.Reason(r.Cause))
		return false
	}
	g.possible = c.shapes
	return true
}

// setAside blocks a group. One that does not wait for room gives up its reservation.
func (c *Core) setAside(g *group, why placement.Reason) {
	c.queue.block(g, why)
	if !g.awaitsRoom() {
		c.giveUp(g)
	}
}

// placedGroup gives up what was kept for a group that needs it no more.
func (c *Core) placedGroup(g *group) {
	c.giveUp(g)
	if len(g.holds) > 0 && g.waitingCount() == 0 {
		c.dropHolds(g, true)
	}
}

// Refusal returns why the domain's part of a workload could never run on the
// workers as they are known, or nil. It may be asked before the workload is declared.
func (c *Core) Refusal(w *configuration.Workload) *job.Refusal {
	s := job.WorkerCapacities{Domain: c.set.Domain}
	for _, name := range c.order {
		if w := c.workers[name]; w.capacity.IsZero() {
			s.Unknown++
		} else {
			s.Known = append(s.Known, w.capacity)
		}
	}
	return job.CheckFeasibility(w, s)
}

// request describes a task of the group to placement.
func (c *Core) request(g *group, t *task) *placement.Request {
	r := c.requestOf(g, t)
	return &r
}

func (c *Core) requestOf(g *group, t *task) placement.Request {
	r := placement.Request{
		Task: t.name, Workload: g.spec, Size: c.sizeOf(g), Ends: c.ends(g), Confirmed: c.rulesOf(g).Confirmed,
		Urgent:     g.spec.Urgency == configuration.Urgent,
		Expendable: g.spec.Kind == configuration.Batch && g.spec.Urgency != configuration.Urgent,
	}
	if g.spec.Spread {
		r.Racks = g.racks
	}
	return r
}

// mayHelp reports whether a node that changed could take the group's next task.
func (c *Core) mayHelp(g *group, n *placement.Node) bool {
	t := c.head(g)
	if t == nil {
		return false
	}
	c.probe = c.requestOf(g, t)
	return placement.Feasible(&c.probe, n) == ""
}

// sizeOf returns what a task of the group takes.
func (c *Core) sizeOf(g *group) resource.Vector { return g.profile.Size(g.spec.Size, c.limit) }

// assume hands the task to a worker's next write and counts it there.
func (c *Core) assume(t *task, w *worker, g *group, size resource.Vector) {
	t.size, t.boundAt = size, c.now
	c.bind(t, w, placed, c.newAttempt())
	s := Start{Task: t.name, Attempt: t.attempt, Size: size, RunMillis: g.spec.RunMillis, Checkpoint: t.checkpoint}
	if g.spec.Kind == configuration.Service {
		s.Service = g.spec.Name
	}
	flush := c.now
	if g.spec.Urgency != configuration.Urgent {
		flush += c.rulesOf(g).Linger
	}
	if len(w.starts) == 0 || flush < w.flushAt {
		w.flushAt = flush
	}
	w.starts = append(w.starts, s)
	if !c.lacks(ownership.GuardAssumed) {
		w.assumed[s.Attempt] = s
	}
	c.touch(w)
}
