// Package placement chooses workers for tasks. It reads a view of the workers'
// free capacity and knows neither network nor storage.
package placement

import (
	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// Node is a worker as placement sees it.
type Node struct {
	Name     string
	Rack     string
	Capacity resource.Vector
	// Free is the capacity that neither live tasks nor assumed starts hold.
	Free resource.Vector
	// Tasks counts the live and assumed tasks by workload.
	Tasks map[string]int
	// Blocked is why the worker takes nothing now; empty when it does.
	Blocked Reason
}

// Request is one task to be placed.
type Request struct {
	Task     string
	Workload *configuration.Workload
	// Size is what the task takes: the larger of declared and observed.
	Size resource.Vector
}

// Reason tells why a worker can't take a task.
type Reason string

// The reasons.
const (
	NotOwned     Reason = "not-owned"
	Draining     Reason = "draining"
	Leaving      Reason = "leaving"
	Quarantined  Reason = "quarantined"
	CPU          Reason = "cpu"
	Memory       Reason = "memory"
	Accelerators Reason = "accelerators"
)

// FitError carries the reason of every worker that refused a task.
type FitError struct {
	Task    string
	Reasons map[string]Reason
}

func (e *FitError) Error() string { return "no worker fits task " + e.Task }

// Filter returns why the node can't take the request, or nothing.
type Filter func(r Request, n *Node) Reason

// Scorer rates a node that fits; higher is better.
type Scorer interface {
	Score(r Request, n *Node) float64
}

// Feasible is the filter that every placement passes.
func Feasible(r Request, n *Node) Reason {
	switch {
	case n.Blocked != "":
		return n.Blocked
	case r.Size.MilliCPU > n.Free.MilliCPU:
		return CPU
	case r.Size.MemoryMiB > n.Free.MemoryMiB:
		return Memory
	case r.Size.Accelerators > n.Free.Accelerators:
		return Accelerators
	}
	return ""
}

// Place returns the best node for r by the scorer; ties go to the earlier node.
func Place(r Request, nodes []*Node, s Scorer) (*Node, *FitError) {
	var best *Node
	var top float64
	var reasons map[string]Reason
	for _, n := range nodes {
		if why := Feasible(r, n); why != "" {
			if reasons == nil {
				reasons = map[string]Reason{}
			}
			reasons[n.Name] = why
			continue
		}
		if score := s.Score(r, n); best == nil || score > top {
			best, top = n, score
		}
	}
	if best == nil {
		return nil, &FitError{Task: r.Task, Reasons: reasons}
	}
	return best, nil
}

// Spare prefers the node that keeps the most of its capacity free and holds
// the fewest tasks of the same workload.
type Spare struct{}

// Score implements Scorer.
func (Spare) Score(r Request, n *Node) float64 {
	score := ratio(n.Free.MilliCPU-r.Size.MilliCPU, n.Capacity.MilliCPU) +
		ratio(n.Free.MemoryMiB-r.Size.MemoryMiB, n.Capacity.MemoryMiB)
	if r.Size.Accelerators == 0 {
		score -= 2 * ratio(n.Capacity.Accelerators, n.Capacity.Accelerators+1)
	}
	return score - float64(n.Tasks[r.Workload.Name])
}

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
