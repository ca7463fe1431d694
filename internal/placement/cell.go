package placement

import "github.com/mimosaspool/mimosaspool/internal/resource"

// Cell holds the nodes (workers) of one domain. It isn't safe for concurrent use.
type Cell struct {
	Guard AcceleratorGuard
	nodes []Node
	// total and free sum over the nodes that accept tasks.
	total, free resource.Vector
	// nextStart is the index where the next sampled search begins.
	nextStart int
	// closestReason is the reason nearest to a placement in the last search.
	closestReason Reason
}

// Reset removes all nodes and allocates space for n.
func (c *Cell) Reset(n int) {
	c.nodes = make([]Node, 0, n)
	c.total, c.free = resource.Vector{}, resource.Vector{}
}

// Add adds a node within the space allocated by Reset. The returned pointer stays
// valid until the next Reset.
func (c *Cell) Add(n Node) *Node {
	n.guard = &c.Guard
	c.nodes = append(c.nodes, n)
	c.addToTotals(&n, 1)
	return &c.nodes[len(c.nodes)-1]
}

// Update replaces a node's state; reservations and holds stay.
func (c *Cell) Update(n *Node, updated Node) {
	c.addToTotals(n, -1)
	updated.guard, updated.Held, updated.HeldFor = n.guard, n.Held, n.HeldFor
	updated.ReservedFor, updated.ReservedFrom, updated.FreeBesideReservation = n.ReservedFor, n.ReservedFrom, n.FreeBesideReservation
	*n = updated
	c.addToTotals(n, 1)
}

func (c *Cell) addToTotals(n *Node, times int64) {
	if n.Blocked != "" {
		return
	}
	c.total = c.total.Add(n.Capacity.Scale(times))
	c.free = c.free.Add(n.Free.Scale(times))
}

// Assign accounts for the request on the node.
func (c *Cell) Assign(r *Request, n *Node) {
	n.Free = n.Free.Sub(r.Size)
	n.Tasks[r.Workload.Name]++
	n.Unconfirmed++
	if n.ReservedFor != "" && n.ReservedFor != r.Workload.Name && r.ExpectedEnd > n.ReservedFrom {
		n.FreeBesideReservation = n.FreeBesideReservation.Sub(r.Size)
	}
	c.free = c.free.Sub(r.Size)
	if n.ProbeOnly {
		c.addToTotals(n, -1)
		n.Blocked = Quarantined
	}
}

// Nodes returns all nodes in the order in which they were added.
func (c *Cell) Nodes() []Node { return c.nodes }

// Total returns the capacity of the nodes that accept tasks.
func (c *Cell) Total() resource.Vector { return c.total }

// Utilization returns the used share of each resource, from 0 to 1.
func (c *Cell) Utilization() Utilization {
	return Utilization{
		CPU:          1 - ratio(c.free.MilliCPU, c.total.MilliCPU),
		Memory:       1 - ratio(c.free.MemoryMiB, c.total.MemoryMiB),
		Accelerators: 1 - ratio(c.free.Accelerators, c.total.Accelerators),
	}
}

// Utilization is a share of each resource.
type Utilization struct{ CPU, Memory, Accelerators float64 }

// FindNode returns the best node for r by the rules, or nil. Ties go to the node
// that is examined first.
func (c *Cell) FindNode(r *Request, rules *Rules) *Node {
	size := len(c.nodes)
	rotate := rules.Rotate && size > rules.Sample
	start := 0
	if rotate {
		start = c.nextStart % size
	}
	var best *Node
	var bestScore float64
	found, i, nearest := 0, start, -1
	c.closestReason = NotOwned
	for range size {
		n := &c.nodes[i]
		if i++; i == size {
			i = 0
		}
		if why := Feasible(r, n); why != "" {
			if rank := reasonRank(why); rank > nearest {
				c.closestReason, nearest = why, rank
			}
			continue
		}
		if score := rules.Scorer.Score(r, n, c); best == nil || score > bestScore {
			best, bestScore = n, score
		}
		if found++; found == rules.Sample {
			break
		}
	}
	if rotate {
		c.nextStart = i
	}
	return best
}

// ClosestReason returns, for a last search that found no node, the reason nearest
// to a placement. Reasons that changes to other work can lift rank before a lack
// of capacity.
func (c *Cell) ClosestReason() Reason { return c.closestReason }

func reasonRank(why Reason) int {
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

// Explain returns why each node that can't take r refuses it.
func (c *Cell) Explain(r *Request) *FitError {
	e := &FitError{Task: r.Task, Reasons: make(map[string]Reason, len(c.nodes))}
	for i := range c.nodes {
		if why := Feasible(r, &c.nodes[i]); why != "" {
			e.Reasons[c.nodes[i].Name] = why
		}
	}
	return e
}

// Trial places several requests tentatively; Rollback undoes all of them.
type Trial struct {
	cell     *Cell
	assigned []assignment
}

type assignment struct {
	node   *Node
	before Node
	req    *Request
}

// NewTrial starts a trial on the cell.
func (c *Cell) NewTrial() *Trial { return &Trial{cell: c} }

// Place places r within the trial. Such a placement doesn't make the node
// unconfirmed for the trial's later requests.
func (t *Trial) Place(r *Request, rules *Rules) *Node {
	n := t.cell.FindNode(r, rules)
	if n == nil {
		return nil
	}
	t.assigned = append(t.assigned, assignment{node: n, before: *n, req: r})
	t.cell.Assign(r, n)
	n.Unconfirmed--
	return n
}

// Rollback undoes all placements of the trial.
func (t *Trial) Rollback() {
	for i := len(t.assigned) - 1; i >= 0; i-- {
		k := t.assigned[i]
		tasks := k.node.Tasks
		*k.node = k.before
		if tasks[k.req.Workload.Name]--; tasks[k.req.Workload.Name] == 0 {
			delete(tasks, k.req.Workload.Name)
		}
		t.cell.free = t.cell.free.Add(k.req.Size)
	}
	t.assigned = nil
}
