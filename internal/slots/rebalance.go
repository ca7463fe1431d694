package slots

import (
	"cmp"
	"slices"
	"time"
)

// rebalance recomputes the targets of a service if the entries or its runners
// changed, or if one entry is short of slots that another can spare.
func (alloc *Allocator) rebalance(now time.Duration) {
	participants := alloc.liveProcesses(now)
	changed := !slices.Equal(participants, alloc.participants)
	alloc.participants = participants
	for from := 0; from < len(alloc.listedRunners); {
		to := from
		for to < len(alloc.listedRunners) && alloc.listedRunners[to].Service == alloc.listedRunners[from].Service {
			to++
		}
		group := alloc.listedRunners[from:to]
		if changed || alloc.unbalanced(group) {
			alloc.setTargets(group)
		}
		from = to
	}
}

// liveProcesses returns the entry processes that share the slots, sorted by
// host.
func (alloc *Allocator) liveProcesses(now time.Duration) []*process {
	var list []*process
	for _, p := range alloc.current {
		if !p.draining && now-p.reportedAt < alloc.timing.Lease {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *process) int { return cmp.Compare(a.host, b.host) })
	return list
}

// unbalanced reports whether a runner of the service has no targets yet, or one
// entry wants more than its share while another wants less.
func (alloc *Allocator) unbalanced(group []*runner) bool {
	share := map[*process]int{}
	for _, r := range group {
		if len(r.targets) == 0 {
			return true
		}
		for p, n := range r.targets {
			share[p] += n
		}
	}
	short, spare := false, false
	for _, p := range alloc.participants {
		d := p.demands[group[0].Service]
		short = short || d > share[p]
		spare = spare || d < share[p] && share[p] > len(group)
	}
	return short && spare
}

// setTargets gives each entry one slot of each runner and distributes the rest
// in proportion to demand, or evenly if there is none. Remainders rotate among
// the entries.
func (alloc *Allocator) setTargets(group []*runner) {
	n := len(alloc.participants)
	weights, sum := alloc.weights(group[0].Service)
	carry := make([]int, n)
	for i, r := range group {
		clear(r.targets)
		available := PerRunner
		if n <= PerRunner {
			available -= n
			for _, p := range alloc.participants {
				r.targets[p] = 1
			}
		}
		if n > 0 {
			alloc.distribute(r, available, weights, sum, carry, i)
		}
	}
}

func (alloc *Allocator) weights(service string) ([]int, int) {
	weights, sum := make([]int, len(alloc.participants)), 0
	for i, p := range alloc.participants {
		weights[i] = p.demands[service]
		sum += weights[i]
	}
	if sum > 0 {
		return weights, sum
	}
	for i := range weights {
		weights[i] = 1
	}
	return weights, len(weights)
}

// distribute assigns the available slots of one runner. The difference between an
// entry's exact share and the slots that it was assigned is carried over to the
// next runner, in units of 1/sum.
func (alloc *Allocator) distribute(r *runner, available int, weights []int, sum int, carry []int, offset int) {
	left := available
	for i, p := range alloc.participants {
		carry[i] += available * weights[i]
		n := min(max(carry[i]/sum, 0), left)
		r.targets[p] += n
		carry[i] -= n * sum
		left -= n
	}
	for ; left > 0; left-- {
		best := 0
		for k := range carry {
			if i := (offset + k) % len(carry); k == 0 || carry[i] > carry[best] {
				best = i
			}
		}
		r.targets[alloc.participants[best]]++
		carry[best] -= sum
	}
}
