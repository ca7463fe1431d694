package slots

import (
	"cmp"
	"slices"
	"time"
)

// divide works out the targets anew where the entries or runners changed or an
// entry is short of slots that another has to spare.
func (l *Ledger) divide(now time.Duration) {
	parties := l.live(now)
	all := !slices.Equal(parties, l.parties)
	l.parties = parties
	for from := 0; from < len(l.order); {
		to := from
		for to < len(l.order) && l.order[to].Service == l.order[from].Service {
			to++
		}
		group := l.order[from:to]
		if all || l.unbalanced(group) {
			l.target(group)
		}
		from = to
	}
}

// live returns the entries that slots are divided among, by host.
func (l *Ledger) live(now time.Duration) []*holder {
	var list []*holder
	for _, h := range l.current {
		if !h.leaving && now-h.reportedAt < l.timing.Lease {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b *holder) int { return cmp.Compare(a.host, b.host) })
	return list
}

// unbalanced reports whether a runner of the service has no division yet, or
// one entry wants more than its share while another wants less.
func (l *Ledger) unbalanced(group []*runner) bool {
	share := map[*holder]int{}
	for _, r := range group {
		if len(r.targets) == 0 {
			return true
		}
		for h, n := range r.targets {
			share[h] += n
		}
	}
	short, spare := false, false
	for _, h := range l.parties {
		d := h.demands[group[0].Service]
		short = short || d > share[h]
		spare = spare || d < share[h] && share[h] > len(group)
	}
	return short && spare
}

// target gives every entry one slot of each runner and divides the rest by
// demand, or evenly where there is none. Remainders go round the entries.
func (l *Ledger) target(group []*runner) {
	n := len(l.parties)
	weights, sum := l.weights(group[0].Service)
	carry := make([]int, n)
	for i, r := range group {
		clear(r.targets)
		rest := PerRunner
		if n <= PerRunner {
			rest -= n
			for _, h := range l.parties {
				r.targets[h] = 1
			}
		}
		if n > 0 {
			l.share(r, rest, weights, sum, carry, i)
		}
	}
}

func (l *Ledger) weights(service string) ([]int, int) {
	weights, sum := make([]int, len(l.parties)), 0
	for i, h := range l.parties {
		weights[i] = h.demands[service]
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

// share divides rest slots of one runner. What an entry's exact part has over
// the slots that it got is carried to the next runner, in units of 1/sum.
func (l *Ledger) share(r *runner, rest int, weights []int, sum int, carry []int, turn int) {
	left := rest
	for i, h := range l.parties {
		carry[i] += rest * weights[i]
		n := min(max(carry[i]/sum, 0), left)
		r.targets[h] += n
		carry[i] -= n * sum
		left -= n
	}
	for ; left > 0; left-- {
		best := 0
		for k := range carry {
			if i := (turn + k) % len(carry); k == 0 || carry[i] > carry[best] {
				best = i
			}
		}
		r.targets[l.parties[best]]++
		carry[best] -= sum
	}
}
