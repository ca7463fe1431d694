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

// placer is the part of the core that assigns waiting tasks to workers.
type placer struct {
	cell  placement.Cell
	queue queue
	// random is the source of the random baseline.
	random placement.RandomScore
	// seenAll is whether every worker was seen in the term that began at
	// seenTerm.
	seenAll  bool
	seenTerm time.Duration
	// orphans are tasks bound to machines that are no longer behind a worker's
	// name.
	orphans []*task
	// discardable lists tasks that may have to be forgotten.
	discardable []*task
	// brokenGangs lists gangs to be checked because a member waits again.
	brokenGangs []*group
	// reserved holds one reservation for work without accelerators and one for
	// work with accelerators.
	reserved [2]reservation
	quotas   *team.QuotaTracker
	// freedTeams lists teams that released resources.
	freedTeams []string
	// polling is set while work whose policy polls workers waits for capacity.
	polling bool
	// freedNodes lists nodes that may accept more than before. placementStep
	// numbers the steps in which tasks are placed, and capacityVersion the
	// changes of workers' capacities.
	freedNodes                     []*placement.Node
	placementStep, capacityVersion uint64
	// scratchRequest is reused to test nodes.
	scratchRequest placement.Request
	// retryAt is when blocked groups that hold or want reserved capacity are
	// tried again.
	retryAt time.Duration
	// orphansStale is set when workers changed since orphans were listed.
	orphansStale bool
	// nextPreemptNode is the node index at which the next search for victims
	// begins.
	nextPreemptNode int
	// maxCapacity is the largest amount of each resource that any worker has.
	maxCapacity resource.Vector
	// rulesByPolicy caches the rules of each policy in use.
	rulesByPolicy map[configuration.Policy]*placement.Rules
}

func newPlacer() placer {
	return placer{queue: newQueue(), quotas: team.NewQuotaTracker(), rulesByPolicy: map[configuration.Policy]*placement.Rules{}}
}

// rulesFor returns the rules of the group's policy.
func (c *Core) rulesFor(g *group) *placement.Rules {
	r := c.rulesByPolicy[g.spec.Policy]
	if r == nil {
		rules := placement.RulesFor(g.spec.Policy, &c.random)
		r = &rules
		c.rulesByPolicy[g.spec.Policy] = r
	}
	return r
}

// refreshNode updates a worker's node and unblocks groups that it may help.
func (c *Core) refreshNode(w *worker) {
	old := w.node
	c.endProbeIfStable(w)
	blocked := c.blockReason(w)
	now := placement.Node{
		Name: w.name, Rack: w.rack, Capacity: w.capacity, Free: w.free(), Tasks: old.Tasks,
		Unconfirmed: len(w.assumed), Blocked: blocked, ProbeOnly: w.health.probing, ProbeByAny: w.health.probing && c.now >= w.health.anyProbeAt(),
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
	opened, reshaped := mayTakeMore(old, &now), old.Capacity != now.Capacity
	c.cell.Update(old, now)
	if reshaped {
		c.capacityVersion++
		c.maxCapacity = c.maxCapacity.Max(now.Capacity)
		c.queue.activateAll()
	} else if opened {
		c.addFreedNode(w.node)
	}
}

// mayTakeMore reports whether a node may accept something that it refused before.
func mayTakeMore(before, now *placement.Node) bool {
	if now.Blocked != "" {
		return false
	}
	return before.Blocked != "" || now.Unconfirmed < before.Unconfirmed || !now.Free.Fits(before.Free) ||
		now.Capacity != before.Capacity || before.ProbeOnly && !now.ProbeOnly || now.ProbeByAny && !before.ProbeByAny
}

func (c *Core) blockReason(w *worker) placement.Reason {
	switch {
	case !w.fence.Owned(c.now) || w.confirmedAt < c.term.Began() || !w.recorded:
		return placement.NotOwned
	case w.leaving:
		return placement.Leaving
	case w.drained:
		return placement.Draining
	case c.now < w.health.until || c.probeRunning(w):
		return placement.Quarantined
	}
	return ""
}

// place tries to place the first task of a group, or the whole of a gang.
func (c *Core) place(g *group, t *task) {
	if !c.quotas.Allows(g.spec.Team, c.taskSize(g).Scale(c.tasksPerStart(g))) {
		c.reasons["quota"]++
		c.blockGroup(g, placement.Quota)
		return
	}
	if g.isGang() {
		c.placeGang(g)
		return
	}
	req := c.newRequest(g, t)
	n := c.heldNode(g, req)
	if n == nil {
		n = c.cell.FindNode(req, c.rulesFor(g))
	}
	if n == nil {
		c.handleNoFit(g, t)
		return
	}
	g.pop()
	c.cell.Assign(req, n)
	c.consumeHold(g, n, req.Size)
	c.assume(t, c.workers[n.Name], g, req.Size)
	c.releaseUnneeded(g)
}

// tasksPerStart returns how many tasks of the group start together.
func (c *Core) tasksPerStart(g *group) int64 {
	if g.isGang() {
		return int64(c.gangState(g).waiting)
	}
	return 1
}

// handleNoFit blocks a group whose first task fits no node, and does what may
// bring its start forward: a reservation, or preemption of less urgent work.
func (c *Core) handleNoFit(g *group, t *task) {
	c.reasons["no-fit"]++
	g.triedStep = c.placementStep
	if !c.isPossible(g) {
		return
	}
	c.blockGroup(g, c.cell.ClosestReason())
	if !c.rulesFor(g).FIFO {
		c.preempt(g, t)
		c.reserve(g)
	}
}

// isPossible reports whether the group could run on the workers as they are
// known, and blocks it otherwise.
func (c *Core) isPossible(g *group) bool {
	if g.possibleVersion == c.capacityVersion {
		return true
	}
	if r := c.Refusal(g.spec); r != nil {
		c.reasons["impossible"]++
		c.blockGroup(g, placement.Reason(r.Cause))
		return false
	}
	g.possibleVersion = c.capacityVersion
	return true
}

// blockGroup blocks a group. A group that does not wait for capacity loses its
// reservation.
func (c *Core) blockGroup(g *group, why placement.Reason) {
	c.queue.block(g, why)
	if !g.awaitsCapacity() {
		c.releaseReservation(g)
	}
}

// releaseUnneeded releases the reservation and holds that a group no longer
// needs.
func (c *Core) releaseUnneeded(g *group) {
	c.releaseReservation(g)
	if len(g.holds) > 0 && g.waitingCount() == 0 {
		c.releaseHolds(g, true)
	}
}

// Refusal returns why the domain's part of a workload could never run on the
// workers as they are known, or nil. It may be called before the workload is
// declared.
func (c *Core) Refusal(w *configuration.Workload) *job.Refusal {
	s := job.WorkerCapacities{Domain: c.settings.Domain}
	for _, name := range c.workerNames {
		if w := c.workers[name]; w.capacity.IsZero() {
			s.Unknown++
		} else {
			s.Known = append(s.Known, w.capacity)
		}
	}
	return job.CheckFeasibility(w, s)
}

// newRequest returns the placement request for a task of the group.
func (c *Core) newRequest(g *group, t *task) *placement.Request {
	r := c.requestFor(g, t)
	return &r
}

func (c *Core) requestFor(g *group, t *task) placement.Request {
	r := placement.Request{
		Task: t.name, Workload: g.spec, Size: c.taskSize(g), ExpectedEnd: c.expectedEnd(g), ConfirmedOnly: c.rulesFor(g).ConfirmedOnly,
		Urgent:     g.spec.Urgency == configuration.Urgent,
		Expendable: g.spec.Kind == configuration.Batch && g.spec.Urgency != configuration.Urgent,
	}
	if g.spec.Spread {
		r.Racks = g.racks
	}
	return r
}

// couldFit reports whether a node that changed could take the group's next task.
func (c *Core) couldFit(g *group, n *placement.Node) bool {
	t := c.head(g)
	if t == nil {
		return false
	}
	c.scratchRequest = c.requestFor(g, t)
	return placement.Feasible(&c.scratchRequest, n) == ""
}

// taskSize returns the size that a task of the group is placed with.
func (c *Core) taskSize(g *group) resource.Vector { return g.profile.Size(g.spec.Size, c.maxCapacity) }

// assume queues the task's start for the worker's next write and counts its
// resources there.
func (c *Core) assume(t *task, w *worker, g *group, size resource.Vector) {
	t.size, t.boundAt = size, c.now
	c.bind(t, w, placed, c.newAttempt())
	s := Start{Task: t.name, Attempt: t.attempt, Size: size, RunMillis: g.spec.RunMillis, Checkpoint: t.checkpoint}
	if g.spec.Kind == configuration.Service {
		s.Service = g.spec.Name
	}
	flush := c.now
	if g.spec.Urgency != configuration.Urgent {
		flush += c.rulesFor(g).StartDelay
	}
	if len(w.starts) == 0 || flush < w.startsDueAt {
		w.startsDueAt = flush
	}
	w.starts = append(w.starts, s)
	if !c.guardDisabled(ownership.GuardAssumedStarts) {
		w.assumed[s.Attempt] = s
	}
	c.markDirty(w)
}
