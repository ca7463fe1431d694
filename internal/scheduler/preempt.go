package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/placement"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// hold is room on a node that is being cleared, or was, for an urgent group.
type hold struct {
	node  *placement.Node
	until time.Duration
	tasks int
}

// Bounds of preemption.
const (
	// holdTime is how long cleared room is kept for the work it was cleared for.
	holdTime = 10 * time.Second
	// orderRetry is the least time between two writes of the same orders.
	orderRetry = 200 * time.Millisecond
	// worthCheckpoint is the run time from which a task's work is worth a checkpoint.
	worthCheckpoint = 2 * time.Second
	// preemptSample bounds the workers that are compared for one task.
	preemptSample = 32
	// preemptMost bounds the tasks of a group for which room is cleared at once.
	preemptMost = 64
)

// preempt clears room for waiting tasks of an urgent group by stopping batch
// work of lower urgency, with a checkpoint where there is something to keep.
func (c *Core) preempt(g *group, t *task) {
	rules := c.rulesOf(g)
	if g.spec.Urgency != configuration.Urgent || rules.InOrder || g.isGang() {
		return
	}
	c.dropHolds(g, false)
	have := 0
	for _, h := range g.holds {
		have += h.tasks
	}
	want := min(g.waitingCount(), preemptMost) - have
	req := c.request(g, t)
	for range want {
		if !c.clearRoom(g, req, rules) {
			return
		}
	}
}

// waitingCount returns the tasks listed in the group, an upper bound of those that wait.
func (g *group) waitingCount() int { return len(g.tasks) }

// clearRoom orders the cheapest victims of one worker away.
func (c *Core) clearRoom(g *group, req *placement.Request, rules *placement.Rules) bool {
	nodes := c.cell.Nodes()
	var best *placement.Node
	var victims []*task
	found := 0
	for i := range nodes {
		n := &nodes[(c.clearFrom+i)%len(nodes)]
		list := c.victims(n, g, req)
		if list == nil {
			continue
		}
		if best == nil || cheaper(list, victims) {
			best, victims = n, list
		}
		if found++; found == preemptSample {
			break
		}
	}
	if best == nil {
		return false
	}
	c.clearFrom++
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
			g.holds[i].until = c.now + holdTime
			return
		}
	}
	g.holds = append(g.holds, hold{node: n, until: c.now + holdTime, tasks: 1})
}

// victims returns the tasks whose end makes room on the node, or nil when there is no way.
func (c *Core) victims(n *placement.Node, g *group, req *placement.Request) []*task {
	if n.Blocked != "" || n.Probe || n.HeldFor != "" && n.HeldFor != g.workload || !req.Size.Fits(n.Capacity) {
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
	slices.SortFunc(list, moreExpendable)
	count := 0
	for ; count < len(list) && !req.Size.Fits(n.Usable(req.Size, free)); count++ {
		free = free.Add(list[count].size)
	}
	if !req.Size.Fits(n.Usable(req.Size, free)) {
		return nil
	}
	return spare(list[:count], n, free, req.Size)
}

// spare takes those out of the victims that need not go after all.
func spare(victims []*task, n *placement.Node, free, size resource.Vector) []*task {
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
	return t.in != nil && t.wanted && t.in.spec.Kind == configuration.Batch && t.in.spec.Urgency != configuration.Urgent
}

// moreExpendable orders victims: the less urgent first, then the latest started.
func moreExpendable(a, b *task) int {
	if x, y := urgencyRank(a.in.spec.Urgency), urgencyRank(b.in.spec.Urgency); x != y {
		return x - y
	}
	if a.boundAt != b.boundAt {
		return int(min(max(b.boundAt-a.boundAt, -1), 1))
	}
	return strings.Compare(a.name, b.name)
}

// cheaper reports whether stopping the tasks of a costs less than those of b.
func cheaper(a, b []*task) bool { return preemptCost(a) < preemptCost(b) }

func preemptCost(list []*task) int {
	sum := 0
	for _, t := range list {
		sum += 1 + 2*urgencyRank(t.in.spec.Urgency)
	}
	return sum
}

// evict has a running task stopped; it waits again once the worker has shown its end.
func (c *Core) evict(t *task, rules *placement.Rules) {
	kind := Checkpoint
	if !rules.CheckpointOnly && c.now-t.boundAt < worthCheckpoint {
		kind = Stop
	}
	c.reasons["preempted"]++
	t.evict = evictAs(kind)
	w := c.workers[t.worker]
	w.orders = append(w.orders, Order{Kind: kind, Task: t.name, Attempt: t.attempt})
	w.orderedAt = c.now
	c.touch(w)
}

// eviction is the order that takes a task off its worker; the zero value is none.
type eviction int

func evictAs(k OrderKind) eviction      { return eviction(k + 1) }
func (e eviction) orderKind() OrderKind { return OrderKind(e - 1) }

// heldNode returns a node that was cleared for the group and has the room now.
func (c *Core) heldNode(g *group, req *placement.Request) *placement.Node {
	for _, h := range g.holds {
		if placement.Feasible(req, h.node) == "" {
			return h.node
		}
	}
	return nil
}

// useHold takes a placed task out of what is held on its node.
func (c *Core) useHold(g *group, n *placement.Node, size resource.Vector) {
	for i, h := range g.holds {
		if h.node != n {
			continue
		}
		n.Held = n.Held.Sub(size)
		if g.holds[i].tasks--; g.holds[i].tasks == 0 {
			g.holds = slices.Delete(g.holds, i, i+1)
			c.releaseHeld(n)
		}
		return
	}
}

func (c *Core) releaseHeld(n *placement.Node) {
	n.HeldFor, n.Held = "", resource.Vector{}
	c.wakeFreed(n)
}

// dropHolds gives back holds that are over, or all of the group's.
func (c *Core) dropHolds(g *group, all bool) {
	for i := 0; i < len(g.holds); {
		h := g.holds[i]
		if !all && c.now < h.until && h.node.Blocked == "" {
			i++
			continue
		}
		g.holds = slices.Delete(g.holds, i, i+1)
		c.releaseHeld(h.node)
	}
}
