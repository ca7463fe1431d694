package placement

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

// The baselines that measurements compare with. Operators can't declare them.
const (
	// RandomBaseline picks a random worker that fits.
	RandomBaseline configuration.Policy = "random"
	// FirstFitBaseline takes tasks strictly in order of arrival and the first worker that fits.
	FirstFitBaseline configuration.Policy = "first-fit"
)

// Rules are what a policy decides by.
type Rules struct {
	Scorer Scorer
	// Sample bounds the feasible nodes that are compared; 0 compares all.
	Sample int
	// Rotate begins each search where the last one ended, in cells larger than the sample.
	Rotate bool
	// Poll has workers asked for news more often while work waits for room.
	Poll bool
	// Linger is how long a start may wait to share a message to its worker.
	Linger time.Duration
	// Confirmed keeps off workers whose newest starts are not confirmed.
	Confirmed bool
	// CheckpointOnly forbids to stop others' work without a checkpoint.
	CheckpointOnly bool
	// InOrder holds back all later work of the same rules while the first finds no place, and
	// knows neither urgency nor shares.
	InOrder bool
}

// sampleSize bounds the nodes compared for one task, so that the time of a
// decision does not grow with the number of workers.
const sampleSize = 64

// thriftyLinger is how long a thrifty start waits for the worker's next message.
const thriftyLinger = 2 * time.Second

// RulesOf returns the rules of a policy; an unknown or empty one is fast. The
// random baseline draws from the given source.
func RulesOf(p configuration.Policy, random *Random) Rules {
	switch p {
	case configuration.Thrifty:
		return Rules{Scorer: BestFit{}, Sample: 4 * sampleSize, Linger: thriftyLinger}
	case configuration.Careful:
		return Rules{Scorer: Spare{}, Sample: sampleSize, Rotate: true, Confirmed: true, CheckpointOnly: true}
	case RandomBaseline:
		return Rules{Scorer: random, InOrder: true}
	case FirstFitBaseline:
		return Rules{Scorer: Flat{}, Sample: 1, InOrder: true}
	}
	return Rules{Scorer: Spare{}, Sample: sampleSize, Rotate: true, Poll: true}
}

// Scorer rates a node that fits; higher is better.
type Scorer interface {
	Score(r *Request, n *Node, c *Cell) float64
}

// rackWeight is how much one more task of a spread workload on the same rack
// counts, against a whole worker's capacity.
const rackWeight = 8

func rackPenalty(r *Request, n *Node) float64 {
	if r.Racks == nil {
		return 0
	}
	return rackWeight * float64(r.Racks[n.Rack])
}

// Spare prefers the node that keeps the most of its capacity free and holds
// the fewest tasks of the same workload, so that the next task finds room anywhere.
type Spare struct{}

// Score implements Scorer.
func (Spare) Score(r *Request, n *Node, _ *Cell) float64 {
	score := ratio(n.Free.MilliCPU-r.Size.MilliCPU, n.Capacity.MilliCPU) +
		ratio(n.Free.MemoryMiB-r.Size.MemoryMiB, n.Capacity.MemoryMiB)
	if r.Size.Accelerators == 0 && n.Capacity.Accelerators > 0 {
		score -= 2
	}
	return score - float64(n.Tasks[r.Workload.Name]) - rackPenalty(r, n)
}

// BestFit prefers the node that keeps the least free, each resource weighed by
// how scarce it is in the cell.
type BestFit struct{}

// scarcity is how much more a fully used resource counts than an idle one.
const scarcity = 4

// Score implements Scorer.
func (BestFit) Score(r *Request, n *Node, c *Cell) float64 {
	used := c.Used()
	left := (1+scarcity*used.CPU)*ratio(n.Free.MilliCPU-r.Size.MilliCPU, n.Capacity.MilliCPU) +
		(1+scarcity*used.Memory)*ratio(n.Free.MemoryMiB-r.Size.MemoryMiB, n.Capacity.MemoryMiB)
	if n.Capacity.Accelerators > 0 {
		left += (1 + scarcity*used.Accelerators) * ratio(n.Free.Accelerators-r.Size.Accelerators, n.Capacity.Accelerators)
		if r.Size.Accelerators == 0 {
			left += 3 * (1 + scarcity)
		}
	}
	return -left - rackPenalty(r, n)
}

// Flat rates all nodes alike.
type Flat struct{}

// Score implements Scorer.
func (Flat) Score(*Request, *Node, *Cell) float64 { return 0 }

// Random rates nodes by a seeded sequence.
type Random struct{ State uint64 }

// Score implements Scorer with the next number of the sequence (splitmix64).
func (s *Random) Score(*Request, *Node, *Cell) float64 {
	s.State += 0x9e3779b97f4a7c15
	z := s.State
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
