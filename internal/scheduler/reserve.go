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

// reservation keeps room for the first group that finds none, from the time at
// which enough tasks will have ended. Other work may use the room until then
// when it is expected to end in time, or for longer beside the reserved amount.
type reservation struct {
	holder *group
	// first is the start that was foreseen first. Once it has passed, nothing
	// new is put on the reserved workers.
	first time.Duration
	// made is when the reservation was last worked out.
	made  time.Duration
	nodes []*placement.Node
}

// reserveAfter is how long a single task waits before room is kept for it.
const reserveAfter = 30 * time.Second

// reserveInterval is the least time between two workings-out of a reservation
// for the same group, and replanLeast that for any.
const (
	reserveInterval = time.Second
	replanLeast     = 200 * time.Millisecond
)

// ends returns the time at which a task of the group ends if it starts now.
func (c *Core) ends(g *group) time.Duration {
	if g.spec.Kind == configuration.Service {
		return never
	}
	return c.now + g.profile.RunTime(g.declaredRun())
}

func (g *group) declaredRun() time.Duration {
	return time.Duration(g.spec.RunMillis) * time.Millisecond
}

// endOf returns when a bound task is expected to end.
func (c *Core) endOf(t *task) time.Duration {
	if t.in == nil || t.in.spec.Kind == configuration.Service {
		return never
	}
	return c.now + t.in.profile.Remaining(t.in.declaredRun(), c.now-t.boundAt)
}

// reserve gives the group the reservation unless one that goes first has it.
func (c *Core) reserve(g *group) {
	r := c.reservationFor(g)
	if !g.isGang() && c.now-g.first().since < reserveAfter {
		return
	}
	if r.holder != nil && r.holder != g && !c.before(g, r.holder) {
		return
	}
	if since := c.now - r.made; r.made > 0 && (since < replanLeast || r.holder == g && since < reserveInterval) {
		return
	}
	keep := r.holder == g && c.now >= r.first && c.holds(r.nodes)
	if keep {
		for _, n := range r.nodes {
			n.ReservedFrom, n.Later = 0, resource.Vector{}
		}
		r.made = c.now
		return
	}
	first := r.first
	if r.holder != g {
		first = 0
	}
	c.unreserve(r)
	r.made = c.now
	c.plan(g, r, first)
}

// reservationFor returns the reservation that the group may hold. Work with
// accelerators has its own, so that neither kind waits for the other's room.
func (c *Core) reservationFor(g *group) *reservation {
	if g.spec.Size.Accelerators > 0 {
		return &c.reserved[1]
	}
	return &c.reserved[0]
}

// giveUp drops the reservation if the group holds it.
func (c *Core) giveUp(g *group) {
	for i := range c.reserved {
		if c.reserved[i].holder == g {
			c.unreserve(&c.reserved[i])
		}
	}
}

// holds reports whether all nodes still take work.
func (c *Core) holds(nodes []*placement.Node) bool {
	return len(nodes) > 0 && !slices.ContainsFunc(nodes, func(n *placement.Node) bool { return n.Blocked != "" })
}

// unreserve drops a reservation; its nodes are open to others again.
func (c *Core) unreserve(r *reservation) {
	if r.holder == nil {
		return
	}
	for _, n := range r.nodes {
		n.ReservedFor, n.ReservedFrom, n.Later = "", 0, resource.Vector{}
		c.wakeFreed(n)
	}
	*r = reservation{made: r.made}
}

// opening is a time at which a node gets room for more tasks of a group.
type opening struct {
	at    time.Duration
	node  *placement.Node
	slots int
}

// plan finds the earliest time at which the group fits, by the expected ends of
// what runs, and reserves the room.
func (c *Core) plan(g *group, r *reservation, first time.Duration) {
	need := 1
	if g.isGang() {
		need = c.gangState(g).waiting
	}
	size := c.sizeOf(g)
	openings := c.openings(size, need)
	slots := map[*placement.Node]int{}
	var order []*placement.Node
	at := time.Duration(-1)
	for _, o := range openings {
		if slots[o.node] == 0 {
			order = append(order, o.node)
		}
		take := min(o.slots, need)
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
	*r = reservation{holder: g, first: first, made: c.now, nodes: order}
	for _, n := range order {
		n.ReservedFor, n.ReservedFrom = g.workload, at
		n.Later = c.freeAt(n, at).Sub(size.Scale(int64(slots[n])))
	}
}

// openings lists when the nodes get room for tasks of the given size, in order
// of time, up to need tasks a node.
func (c *Core) openings(size resource.Vector, need int) []opening {
	var list []opening
	for i := range c.cell.Nodes() {
		n := &c.cell.Nodes()[i]
		if n.Blocked != "" || n.Probe || n.ReservedFor != "" || !size.Fits(n.Capacity) {
			continue
		}
		free, have := n.Free, job.Slots(size, n.Usable(size, n.Free), need)
		if have > 0 {
			list = append(list, opening{c.now, n, have})
		}
		for _, t := range c.byEnd(c.workers[n.Name]) {
			free = free.Add(t.size)
			if slots := job.Slots(size, n.Usable(size, free), need); slots > have {
				list = append(list, opening{c.endOf(t), n, slots - have})
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

// byEnd returns a worker's finite tasks in the order of their expected ends.
func (c *Core) byEnd(w *worker) []*task {
	var list []*task
	for _, t := range w.bound {
		if c.endOf(t) < never {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int {
		if x, y := c.endOf(a), c.endOf(b); x != y {
			return int(min(max(x-y, -1), 1))
		}
		return strings.Compare(a.name, b.name)
	})
	return list
}

// freeAt returns what is expected to be free on a node at a time.
func (c *Core) freeAt(n *placement.Node, at time.Duration) resource.Vector {
	free := n.Free
	for _, t := range c.workers[n.Name].bound {
		if c.endOf(t) <= at {
			free = free.Add(t.size)
		}
	}
	return free
}
