package placement

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

// Baselines for measurements. Operators can't declare them.
const (
	// RandomBaseline selects a random worker that fits.
	RandomBaseline configuration.Policy = "random"
	// FirstFitBaseline places tasks strictly in order of arrival on the first
	// worker that fits.
	FirstFitBaseline configuration.Policy = "first-fit"
)

// Rules are the placement parameters of a policy.
type Rules struct {
	Scorer Scorer
	// Sample bounds the feasible nodes that are compared; 0 compares all.
	Sample int
	// Rotate begins each search where the last one ended, in cells larger than
	// the sample.
	Rotate bool
	// Poll has workers asked for reports more often while work waits for
	// capacity.
	Poll bool
	// StartDelay is how long a start may wait to share a message to its worker.
	StartDelay time.Duration
	// ConfirmedOnly excludes workers whose newest starts are not confirmed.
	ConfirmedOnly bool
	// CheckpointOnly forbids preempting other work without a checkpoint.
	CheckpointOnly bool
	// FIFO holds back all later work under the same rules while the first task
	// finds no node, and ignores urgency and team shares.
	FIFO bool
}

// sampleSize bounds the nodes compared for one task, so that decision time does
// not grow with the number of workers.
const sampleSize = 64

// thriftyStartDelay is how long a thrifty start waits for the worker's next
// message.
const thriftyStartDelay = 2 * time.Second

// RulesFor returns the rules of a policy. An unknown or empty policy counts as
// fast. The random baseline draws from the given source.
func RulesFor(p configuration.Policy, random *RandomScore) Rules {
	switch p {
	case configuration.Thrifty:
		return Rules{Scorer: BestFit{}, Sample: 4 * sampleSize, StartDelay: thriftyStartDelay}
	case configuration.Careful:
		return Rules{Scorer: LeastAllocated{}, Sample: sampleSize, Rotate: true, ConfirmedOnly: true, CheckpointOnly: true}
	case RandomBaseline:
		return Rules{Scorer: random, FIFO: true}
	case FirstFitBaseline:
		return Rules{Scorer: UniformScore{}, Sample: 1, FIFO: true}
	}
	return Rules{Scorer: LeastAllocated{}, Sample: sampleSize, Rotate: true, Poll: true}
}

// Scorer rates a node that fits. Higher is better.
type Scorer interface {
	Score(r *Request, n *Node, c *Cell) float64
}

// rackWeight is the weight of one more task of a spread workload on the same
// rack, relative to a worker's whole capacity.
const rackWeight = 8

func rackPenalty(r *Request, n *Node) float64 {
	if r.Racks == nil {
		return 0
	}
	return rackWeight * float64(r.Racks[n.Rack])
}

// LeastAllocated prefers the node with the largest free share after placement and
// the fewest tasks of the same workload, so that the next task fits anywhere.
type LeastAllocated struct{}

// Score implements Scorer.
func (LeastAllocated) Score(r *Request, n *Node, _ *Cell) float64 {
	score := ratio(n.Free.MilliCPU-r.Size.MilliCPU, n.Capacity.MilliCPU) +
		ratio(n.Free.MemoryMiB-r.Size.MemoryMiB, n.Capacity.MemoryMiB)
	if r.Size.Accelerators == 0 && n.Capacity.Accelerators > 0 {
		score -= 2
	}
	return score - float64(n.Tasks[r.Workload.Name]) - rackPenalty(r, n)
}

// BestFit prefers the node with the least capacity left, each resource weighted
// by its scarcity in the cell.
type BestFit struct{}

// scarcityWeight is how much more a fully used resource counts than an idle one.
const scarcityWeight = 4

// Score implements Scorer.
func (BestFit) Score(r *Request, n *Node, c *Cell) float64 {
	used := c.Utilization()
	left := (1+scarcityWeight*used.CPU)*ratio(n.Free.MilliCPU-r.Size.MilliCPU, n.Capacity.MilliCPU) +
		(1+scarcityWeight*used.Memory)*ratio(n.Free.MemoryMiB-r.Size.MemoryMiB, n.Capacity.MemoryMiB)
	if n.Capacity.Accelerators > 0 {
		left += (1 + scarcityWeight*used.Accelerators) * ratio(n.Free.Accelerators-r.Size.Accelerators, n.Capacity.Accelerators)
		if r.Size.Accelerators == 0 {
			left += 3 * (1 + scarcityWeight)
		}
	}
	return -left - rackPenalty(r, n)
}

// UniformScore rates all nodes equally.
type UniformScore struct{}

// Score implements Scorer.
func (UniformScore) Score(*Request, *Node, *Cell) float64 { return 0 }

// RandomScore rates nodes by a seeded pseudo-random sequence.
type RandomScore struct{ State uint64 }

// Score implements Scorer with the next number of the sequence (splitmix64).
func (s *RandomScore) Score(*Request, *Node, *Cell) float64 {
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
