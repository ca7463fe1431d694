package scheduler

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/placement"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// placer is the part of the core that gives waiting tasks their workers.
type placer struct {
	cell  placement.Cell
	queue queue
	// random feeds the random baseline.
	random placement.Random
	// seenAll is whether every seat was seen in the term that began at seenIn.
	seenAll bool
	seenIn  time.Duration
	// orphans are tasks bound to seats that left the configuration.
	orphans []*task
	// discard lists tasks that may have to be forgotten.
	discard []*task
	// rules holds the rules of each policy in use.
	rules map[configuration.Policy]*placement.Rules
}

func newPlacer() placer {
	return placer{queue: newQueue(), rules: map[configuration.Policy]*placement.Rules{}}
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
	now := placement.Node{
		Name: w.name, Rack: w.rack, Capacity: w.capacity, Free: w.free(), Tasks: old.Tasks,
		Unconfirmed: len(w.assumed), Blocked: c.blocked(w),
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
	opened := opens(old, &now)
	c.cell.Set(old, now)
	if opened {
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
	case !w.claim.Owned(c.now) || w.seenAt < 0:
		return placement.NotOwned
	case w.leaving:
		return placement.Leaving
	case w.drained:
		return placement.Draining
	}
	return ""
}

// place tries to place the first task of a group.
func (c *Core) place(g *group, t *task) {
	rules := c.rulesOf(g)
	req := c.request(g, t)
	n := c.cell.Place(req, rules)
	if n == nil {
		c.reasons["no-fit"]++
		c.queue.block(g, placement.CPU)
		return
	}
	g.pop()
	c.cell.Take(req, n)
	c.assume(t, c.workers[n.Name], g, req.Size)
}

// request describes a task of the group to placement.
func (c *Core) request(g *group, t *task) *placement.Request {
	r := &placement.Request{Task: t.name, Workload: g.spec, Size: c.sizeOf(g), Confirmed: c.rulesOf(g).Confirmed}
	if g.spec.Spread {
		r.Racks = g.racks
	}
	return r
}

// mayHelp reports whether a node that changed could take the group's next task.
func (c *Core) mayHelp(g *group, n *placement.Node) bool {
	t := c.head(g)
	if t == nil {
		return true
	}
	return placement.Feasible(c.request(g, t), n) == ""
}

// sizeOf returns what a task of the group takes.
func (c *Core) sizeOf(g *group) resource.Vector { return g.spec.Size }

// assume hands the task to a worker's next write and counts it there.
func (c *Core) assume(t *task, w *worker, g *group, size resource.Vector) {
	c.bind(t, w, placed, c.newAttempt())
	s := Start{Task: t.name, Attempt: t.attempt, Size: size, RunMillis: g.spec.RunMillis, Checkpoint: t.checkpoint}
	if g.spec.Kind == configuration.Service {
		s.Service = g.spec.Name
	}
	flush := c.now + c.rulesOf(g).Linger
	if len(w.starts) == 0 || flush < w.flushAt {
		w.flushAt = flush
	}
	w.starts = append(w.starts, s)
	if !c.lacks(ownership.GuardAssumed) {
		w.assumed[s.Attempt] = s
	}
	c.touch(w)
}
