package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/job"
	"github.com/mimosaspool/mimosaspool/internal/placement"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// reservation keeps capacity for the first group that doesn't fit, from the time
// at which enough tasks will have ended. Until then, other work may use the
// capacity if it is expected to end in time, or for longer beside the reserved
// amount.
type reservation struct {
	holder *group
	// firstStart is the start time that was predicted first. Once it has passed,
	// nothing new is placed on the reserved workers.
	firstStart time.Duration
	// plannedAt is when the reservation was last computed.
	plannedAt time.Duration
	nodes     []*placement.Node
}

// reservationDelay is how long a single task waits before capacity is reserved
// for it.
const reservationDelay = 30 * time.Second

// replanInterval is the minimum time between two computations of a reservation
// for the same group, and minReplanInterval between any two.
const (
	replanInterval    = time.Second
	minReplanInterval = 200 * time.Millisecond
)

// expectedEnd returns the time at which a task of the group ends if it starts
// now.
func (c *Core) expectedEnd(g *group) time.Duration {
	if g.spec.Kind == configuration.Service {
		return never
	}
	return c.now + g.profile.RunTime(g.declaredRunTime())
}

func (g *group) declaredRunTime() time.Duration {
	return time.Duration(g.spec.RunMillis) * time.Millisecond
}

// expectedEndOf returns when a bound task is expected to end.
func (c *Core) expectedEndOf(t *task) time.Duration {
	if t.group == nil || t.group.spec.Kind == configuration.Service {
		return never
	}
	return c.now + t.group.profile.Remaining(t.group.declaredRunTime(), c.now-t.boundAt)
}

// reserve gives the group the reservation unless a group that goes first holds
// it.
func (c *Core) reserve(g *group) {
	r := c.reservationFor(g)
	if !g.isGang() && c.now-g.first().waitingSince < reservationDelay {
		return
	}
	if r.holder != nil && r.holder != g && !c.before(g, r.holder) {
		return
	}
	if since := c.now - r.plannedAt; r.plannedAt > 0 && (since < minReplanInterval || r.holder == g && since < replanInterval) {
		return
	}
	keep := r.holder == g && c.now >= r.firstStart && c.allUsable(r.nodes)
	if keep {
		for _, n := range r.nodes {
			n.ReservedFrom, n.FreeBesideReservation = 0, resource.Vector{}
		}
		r.plannedAt = c.now
		return
	}
	first := r.firstStart
	if r.holder != g {
		first = 0
	}
	c.unreserve(r)
	r.plannedAt = c.now
	c.plan(g, r, first)
}

// reservationFor returns the reservation that the group may hold. Work with
// accelerators has its own, so that neither kind waits for the other's capacity.
func (c *Core) reservationFor(g *group) *reservation {
	if g.spec.Size.Accelerators > 0 {
		return &c.reserved[1]
	}
	return &c.reserved[0]
}

// releaseReservation drops the reservation if the group holds it.
func (c *Core) releaseReservation(g *group) {
	for i := range c.reserved {
		if c.reserved[i].holder == g {
			c.unreserve(&c.reserved[i])
		}
	}
}

// allUsable reports whether all nodes still accept work.
func (c *Core) allUsable(nodes []*placement.Node) bool {
	return len(nodes) > 0 && !slices.ContainsFunc(nodes, func(n *placement.Node) bool { return n.Blocked != "" })
}

// unreserve drops a reservation. Its nodes are available to others again.
func (c *Core) unreserve(r *reservation) {
	if r.holder == nil {
		return
	}
	for _, n := range r.nodes {
		n.ReservedFor, n.ReservedFrom, n.FreeBesideReservation = "", 0, resource.Vector{}
		c.addFreedNode(n)
	}
	*r = reservation{plannedAt: r.plannedAt}
}

// opening is a time at which a node gets capacity for more tasks of a group.
type opening struct {
	at    time.Duration
	node  *placement.Node
	tasks int
}

// plan finds the earliest time at which the group fits, by the expected ends of
// running tasks, and reserves the capacity.
func (c *Core) plan(g *group, r *reservation, first time.Duration) {
	need := 1
	if g.isGang() {
		need = c.gangState(g).waiting
	}
	size := c.taskSize(g)
	openings := c.openings(size, need)
	slots := map[*placement.Node]int{}
	var order []*placement.Node
	at := time.Duration(-1)
	for _, o := range openings {
		if slots[o.node] == 0 {
			order = append(order, o.node)
		}
		take := min(o.tasks, need)
		slots[o.node] += take
		if need -= take; need == 0 {
			at = o.at
			break
		}
	}
	if at < 0 {
		return
	}
	if first == 0 {
		first = at
	}
	*r = reservation{holder: g, firstStart: first, plannedAt: c.now, nodes: order}
	for _, n := range order {
		n.ReservedFor, n.ReservedFrom = g.workload, at
		n.FreeBesideReservation = c.freeAt(n, at).Sub(size.Scale(int64(slots[n])))
	}
}

// openings lists when the nodes get capacity for tasks of the given size, in
// order of time, up to need tasks per node.
func (c *Core) openings(size resource.Vector, need int) []opening {
	var list []opening
	for i := range c.cell.Nodes() {
		n := &c.cell.Nodes()[i]
		if n.Blocked != "" || n.ProbeOnly || n.ReservedFor != "" || !size.Fits(n.Capacity) {
			continue
		}
		free, have := n.Free, job.Slots(size, n.Usable(size, n.Free), need)
		if have > 0 {
			list = append(list, opening{c.now, n, have})
		}
		for _, t := range c.byExpectedEnd(c.workers[n.Name]) {
			free = free.Add(t.size)
			if slots := job.Slots(size, n.Usable(size, free), need); slots > have {
				list = append(list, opening{c.expectedEndOf(t), n, slots - have})
				have = slots
			}
		}
	}
	slices.SortStableFunc(list, func(a, b opening) int {
		if a.at != b.at {
			return int(min(max(a.at-b.at, -1), 1))
		}
		return strings.Compare(a.node.Name, b.node.Name)
	})
	return list
}

// byExpectedEnd returns a worker's finite tasks in the order of their expected
// ends.
func (c *Core) byExpectedEnd(w *worker) []*task {
	var list []*task
	for _, t := range w.bound {
		if c.expectedEndOf(t) < never {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int {
		if x, y := c.expectedEndOf(a), c.expectedEndOf(b); x != y {
			return int(min(max(x-y, -1), 1))
		}
		return strings.Compare(a.name, b.name)
	})
	return list
}

// freeAt returns the capacity expected to be free on a node at a time.
func (c *Core) freeAt(n *placement.Node, at time.Duration) resource.Vector {
	free := n.Free
	for _, t := range c.workers[n.Name].bound {
		if c.expectedEndOf(t) <= at {
			free = free.Add(t.size)
		}
	}
	return free
}
