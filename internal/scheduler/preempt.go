package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/placement"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// hold is capacity on a node that is being or was freed for an urgent group.
type hold struct {
	node  *placement.Node
	until time.Duration
	tasks int
}

// Preemption limits.
const (
	// holdTimeout is how long freed capacity is kept for the work that it was
	// freed for.
	holdTimeout = 10 * time.Second
	// orderRetryInterval is the minimum time between two writes of the same
	// orders.
	orderRetryInterval = 200 * time.Millisecond
	// minCheckpointRunTime is the run time from which a task's work is worth a
	// checkpoint.
	minCheckpointRunTime = 2 * time.Second
	// maxPreemptCandidates bounds the workers that are compared for one task.
	maxPreemptCandidates = 32
	// maxPreemptTasks bounds the tasks of a group for which capacity is freed at
	// once.
	maxPreemptTasks = 64
)

// preempt frees capacity for waiting tasks of an urgent group by stopping batch
// work of lower urgency, with a checkpoint where there is work to keep.
func (c *Core) preempt(g *group, t *task) {
	rules := c.rulesFor(g)
	if g.spec.Urgency != configuration.Urgent || rules.FIFO || g.isGang() {
		return
	}
	c.releaseHolds(g, false)
	have := 0
	for _, h := range g.holds {
		have += h.tasks
	}
	want := min(g.waitingCount(), maxPreemptTasks) - have
	req := c.newRequest(g, t)
	for range want {
		if !c.preemptOne(g, req, rules) {
			return
		}
	}
}

// waitingCount returns the number of tasks listed in the group, an upper bound on
// those that wait.
func (g *group) waitingCount() int { return len(g.tasks) }

// preemptOne frees capacity for one task by evicting the cheapest victims on a
// single worker.
func (c *Core) preemptOne(g *group, req *placement.Request, rules *placement.Rules) bool {
	nodes := c.cell.Nodes()
	var best *placement.Node
	var victims []*task
	found := 0
	for i := range nodes {
		n := &nodes[(c.nextPreemptNode+i)%len(nodes)]
		list := c.selectVictims(n, g, req)
		if list == nil {
			continue
		}
		if best == nil || cheaper(list, victims) {
			best, victims = n, list
		}
		if found++; found == maxPreemptCandidates {
			break
		}
	}
	if best == nil {
		return false
	}
	c.nextPreemptNode++
	best.HeldFor, best.Held = g.workload, best.Held.Add(req.Size)
	c.addHold(g, best)
	for _, v := range victims {
		c.evict(v, rules)
	}
	return true
}

func (c *Core) addHold(g *group, n *placement.Node) {
	for i := range g.holds {
		if g.holds[i].node == n {
			g.holds[i].tasks++
			g.holds[i].until = c.now + holdTimeout
			return
		}
	}
	g.holds = append(g.holds, hold{node: n, until: c.now + holdTimeout, tasks: 1})
}

// selectVictims returns the tasks whose end frees enough capacity on the node, or
// nil if that is impossible.
func (c *Core) selectVictims(n *placement.Node, g *group, req *placement.Request) []*task {
	if n.Blocked != "" || n.ProbeOnly || n.HeldFor != "" && n.HeldFor != g.workload || !req.Size.Fits(n.Capacity) {
		return nil
	}
	w := c.workers[n.Name]
	free := n.Free.Sub(n.Held)
	var list []*task
	for _, t := range w.bound {
		switch {
		case t.evict != 0:
			free = free.Add(t.size)
		case t.state == live && c.preemptible(t):
			list = append(list, t)
		}
	}
	slices.SortFunc(list, compareVictims)
	count := 0
	for ; count < len(list) && !req.Size.Fits(n.Usable(req.Size, free)); count++ {
		free = free.Add(list[count].size)
	}
	if !req.Size.Fits(n.Usable(req.Size, free)) {
		return nil
	}
	return reprieveVictims(list[:count], n, free, req.Size)
}

// reprieveVictims removes those victims that need not be stopped after all.
func reprieveVictims(victims []*task, n *placement.Node, free, size resource.Vector) []*task {
	out := []*task{}
	for _, t := range victims {
		if size.Fits(n.Usable(size, free.Sub(t.size))) {
			free = free.Sub(t.size)
			continue
		}
		out = append(out, t)
	}
	return out
}

// preemptible reports whether urgent work may take the task's place.
func (c *Core) preemptible(t *task) bool {
	return t.group != nil && t.wanted && t.group.spec.Kind == configuration.Batch && t.group.spec.Urgency != configuration.Urgent
}

// compareVictims orders victims: the less urgent first, then the most recently
// started.
func compareVictims(a, b *task) int {
	if x, y := urgencyRank(a.group.spec.Urgency), urgencyRank(b.group.spec.Urgency); x != y {
		return x - y
	}
	if a.boundAt != b.boundAt {
		return int(min(max(b.boundAt-a.boundAt, -1), 1))
	}
	return strings.Compare(a.name, b.name)
}

// cheaper reports whether stopping the tasks of a costs less than stopping those
// of b.
func cheaper(a, b []*task) bool { return preemptCost(a) < preemptCost(b) }

func preemptCost(list []*task) int {
	sum := 0
	for _, t := range list {
		sum += 1 + 2*urgencyRank(t.group.spec.Urgency)
	}
	return sum
}

// evict orders a running task to stop. It waits again once the worker has
// reported its end.
func (c *Core) evict(t *task, rules *placement.Rules) {
	kind := Checkpoint
	if !rules.CheckpointOnly && c.now-t.boundAt < minCheckpointRunTime {
		kind = Stop
	}
	c.reasons["preempted"]++
	t.evict = evictionBy(kind)
	w := c.workers[t.worker]
	w.orders = append(w.orders, Order{Kind: kind, Task: t.name, Attempt: t.attempt})
	w.lastOrderAt = c.now
	c.markDirty(w)
}

// eviction is the order that takes a task off its worker. The zero value means
// none.
type eviction int

func evictionBy(k OrderKind) eviction   { return eviction(k + 1) }
func (e eviction) orderKind() OrderKind { return OrderKind(e - 1) }

// heldNode returns a node that was freed for the group and has the capacity now.
func (c *Core) heldNode(g *group, req *placement.Request) *placement.Node {
	for _, h := range g.holds {
		if placement.Feasible(req, h.node) == "" {
			return h.node
		}
	}
	return nil
}

// consumeHold subtracts a placed task from the capacity held on its node.
func (c *Core) consumeHold(g *group, n *placement.Node, size resource.Vector) {
	for i, h := range g.holds {
		if h.node != n {
			continue
		}
		n.Held = n.Held.Sub(size)
		if g.holds[i].tasks--; g.holds[i].tasks == 0 {
			g.holds = slices.Delete(g.holds, i, i+1)
			c.clearHold(n)
		}
		return
	}
}

func (c *Core) clearHold(n *placement.Node) {
	n.HeldFor, n.Held = "", resource.Vector{}
	c.addFreedNode(n)
}

// releaseHolds releases the group's expired holds, or all of them.
func (c *Core) releaseHolds(g *group, all bool) {
	for i := 0; i < len(g.holds); {
		h := g.holds[i]
		if !all && c.now < h.until && h.node.Blocked == "" {
			i++
			continue
		}
		g.holds = slices.Delete(g.holds, i, i+1)
		c.clearHold(h.node)
	}
}
