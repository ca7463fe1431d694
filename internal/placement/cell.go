package placement

import "github.com/mimosaspool/mimosaspool/internal/resource"

// Cell holds the workers of one domain. It isn't safe for concurrent use.
type Cell struct {
	Guard Guard
	nodes []Node
	// total and free add up the nodes that take work.
	total, free resource.Vector
	// from is where the next sampled search begins.
	from int
	// closest is the reason closest to a placement in the last search.
	closest Reason
}

// Reset forgets all nodes and makes room for n.
func (c *Cell) Reset(n int) {
	c.nodes = make([]Node, 0, n)
	c.total, c.free = resource.Vector{}, resource.Vector{}
}

// Add adds a node within the room that Reset made and returns its place, which
// stays valid until the next Reset.
func (c *Cell) Add(n Node) *Node {
	n.guard = &c.Guard
	c.nodes = append(c.nodes, n)
	c.count(&n, 1)
	return &c.nodes[len(c.nodes)-1]
}

// Set replaces what is known of a node; reservations and holds stay.
func (c *Cell) Set(n *Node, now Node) {
	c.count(n, -1)
	now.guard, now.Held, now.HeldFor = n.guard, n.Held, n.HeldFor
	now.ReservedFor, now.ReservedFrom, now.Later = n.ReservedFor, n.ReservedFrom, n.Later
	*n = now
	c.count(n, 1)
}

func (c *Cell) count(n *Node, times int64) {
	if n.Blocked != "" {
		return
	}
	c.total = c.total.Add(n.Capacity.Scale(times))
	c.free = c.free.Add(n.Free.Scale(times))
}

// Take counts the request on the node.
func (c *Cell) Take(r *Request, n *Node) {
	n.Free = n.Free.Sub(r.Size)
	n.Tasks[r.Workload.Name]++
	n.Unconfirmed++
	if n.ReservedFor != "" && n.ReservedFor != r.Workload.Name && r.Ends > n.ReservedFrom {
		n.Later = n.Later.Sub(r.Size)
	}
	c.free = c.free.Sub(r.Size)
	if n.Probe {
		c.count(n, -1)
		n.Blocked = Quarantined
	}
}

// Nodes returns all nodes in order.
func (c *Cell) Nodes() []Node { return c.nodes }

// Total returns the capacity of the nodes that take work.
func (c *Cell) Total() resource.Vector { return c.total }

// Used returns how much of each resource is taken, from 0 to 1.
func (c *Cell) Used() Usage {
	return Usage{
		CPU:          1 - ratio(c.free.MilliCPU, c.total.MilliCPU),
		Memory:       1 - ratio(c.free.MemoryMiB, c.total.MemoryMiB),
		Accelerators: 1 - ratio(c.free.Accelerators, c.total.Accelerators),
	}
}

// Usage is a share of each resource.
type Usage struct{ CPU, Memory, Accelerators float64 }

// Place returns the best node for r by the rules, or nil. Ties go to the node
// that is looked at first.
func (c *Cell) Place(r *Request, rules *Rules) *Node {
	size := len(c.nodes)
	rotate := rules.Rotate && size > rules.Sample
	start := 0
	if rotate {
		start = c.from % size
	}
	var best *Node
	var top float64
	found, i, near := 0, start, -1
	c.closest = NotOwned
	for range size {
		n := &c.nodes[i]
		if i++; i == size {
			i = 0
		}
		if why := Feasible(r, n); why != "" {
			if rank := closeness(why); rank > near {
				c.closest, near = why, rank
			}
			continue
		}
		if score := rules.Scorer.Score(r, n, c); best == nil || score > top {
			best, top = n, score
		}
		if found++; found == rules.Sample {
			break
		}
	}
	if rotate {
		c.from = i
	}
	return best
}

// Closest returns the reason of the last search that found no node: the one
// that stands closest to a placement. What other work's moves can lift comes
// before a lack of capacity.
func (c *Cell) Closest() Reason { return c.closest }

func closeness(why Reason) int {
	switch why {
	case Reserved:
		return 6
	case Held:
		return 5
	case AcceleratorsKept:
		return 4
	case Unconfirmed:
		return 3
	case CPU, Memory, Accelerators:
		return 2
	case Quarantined:
		return 1
	}
	return 0
}

// Explain returns why no node takes r now.
func (c *Cell) Explain(r *Request) *FitError {
	e := &FitError{Task: r.Task, Reasons: make(map[string]Reason, len(c.nodes))}
	for i := range c.nodes {
		if why := Feasible(r, &c.nodes[i]); why != "" {
			e.Reasons[c.nodes[i].Name] = why
		}
	}
	return e
}

// Trial places several requests and takes all of them back unless it is kept.
type Trial struct {
	cell  *Cell
	taken []taken
}

type taken struct {
	node   *Node
	before Node
	req    *Request
}

// NewTrial begins a trial on the cell.
func (c *Cell) NewTrial() *Trial { return &Trial{cell: c} }

// Place places r within the trial. A placement of the same trial does not make
// a worker unconfirmed for the next.
func (t *Trial) Place(r *Request, rules *Rules) *Node {
	n := t.cell.Place(r, rules)
	if n == nil {
		return nil
	}
	t.taken = append(t.taken, taken{node: n, before: *n, req: r})
	t.cell.Take(r, n)
	n.Unconfirmed--
	return n
}

// Rollback takes back everything that the trial placed.
func (t *Trial) Rollback() {
	for i := len(t.taken) - 1; i >= 0; i-- {
		k := t.taken[i]
		tasks := k.node.Tasks
		*k.node = k.before
		if tasks[k.req.Workload.Name]--; tasks[k.req.Workload.Name] == 0 {
			delete(tasks, k.req.Workload.Name)
		}
		t.cell.free = t.cell.free.Add(k.req.Size)
	}
	t.taken = nil
}
