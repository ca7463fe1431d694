package measure

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

// Bound is what no scheduler can beat, whatever it knows: true run times are
// used, control takes no time, and each domain counts as one large worker.
type Bound struct {
	P50, P99, P999 time.Duration
	Packing        Packing
}

// piece is one finite task as the bound sees it.
type piece struct {
	at, run float64
	size    [3]float64
}

// bounds works out the bound of a trace.
func bounds(t *Trace) Bound {
	byDomain := map[string][]piece{}
	total := map[string][3]float64{}
	for _, w := range t.Workers {
		total[w.Domain] = plus(total[w.Domain], amounts(w.Capacity.MilliCPU, w.Capacity.MemoryMiB, w.Capacity.Accelerators), 1)
	}
	n := 0
	for _, j := range t.Jobs {
		s := j.taken()
		size := amounts(s.MilliCPU, s.MemoryMiB, s.Accelerators)
		for _, run := range j.Run {
			if j.Spec.Kind == configuration.Service {
				total[j.Domain] = plus(total[j.Domain], size, -1)
				continue
			}
			byDomain[j.Domain] = append(byDomain[j.Domain], piece{j.At.Seconds(), run.Seconds(), size})
			n++
		}
	}
	wait := func(q float64) time.Duration {
		return time.Duration(leastWait(byDomain, total, int(float64(n)*(1-q)), t.Length.Seconds()) * float64(time.Second))
	}
	return Bound{P50: wait(0.5), P99: wait(0.99), P999: wait(0.999), Packing: packingBound(t)}
}

func amounts(a, b, c int64) [3]float64 { return [3]float64{float64(a), float64(b), float64(c)} }

func plus(a, b [3]float64, times float64) [3]float64 {
	for i := range a {
		a[i] += b[i] * times
	}
	return a
}

// The search's fineness: points at which windows begin and end, and steps of
// the bisection.
const (
	windowPoints  = 24
	bisectSteps   = 14
	longestWait   = 3600.0
	windowsBeyond = 1.5
	// tolerance keeps rounding from making the bound too high.
	tolerance = 1e-6
)

// leastWait returns a wait, in seconds, below which no schedule starts all tasks
// but the given number. For a wait W a task lies, whenever it starts, with at
// least a part of its run in a window; where these parts together exceed what
// the window holds, some tasks must wait longer (energetic reasoning). The
// number of those, taken the largest parts first, adds up over the domains.
func leastWait(byDomain map[string][]piece, total map[string][3]float64, drop int, length float64) float64 {
	low, high := 0.0, longestWait
	for range bisectSteps {
		mid := (low + high) / 2
		var late atomic.Int64
		var wg sync.WaitGroup
		for d, list := range byDomain {
			wg.Go(func() { late.Add(int64(lateTasks(list, total[d], length, mid))) })
		}
		wg.Wait()
		if late.Load() > int64(drop) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// lateTasks returns the least number of tasks that must wait longer than wait.
func lateTasks(list []piece, total [3]float64, length, wait float64) int {
	most := 0
	for i := range windowPoints {
		a := length * float64(i) / windowPoints
		for k := 1; k <= windowPoints; k++ {
			b := a + length*windowsBeyond*float64(k)/windowPoints
			for r := range total {
				most = max(most, excess(list, r, total[r]*(b-a), a, b, wait))
			}
		}
	}
	return most
}

// excess returns how many of the largest parts must leave a window of the given room.
func excess(list []piece, r int, room, a, b, wait float64) int {
	var parts []float64
	sum := 0.0
	for _, p := range list {
		in := min(p.overlap(p.at, a, b), p.overlap(p.at+wait, a, b)) * p.size[r]
		if in > 0 {
			parts = append(parts, in)
			sum += in
		}
	}
	room *= 1 + tolerance
	if sum <= room {
		return 0
	}
	slices.Sort(parts)
	n := 0
	for ; sum > room; n++ {
		sum -= parts[len(parts)-1-n]
	}
	return n
}

// overlap returns how much of a run that starts at the given time lies in the window.
func (p piece) overlap(start, a, b float64) float64 {
	return max(0, min(start+p.run, b)-max(start, a))
}

// packingBound returns the largest use of each resource over the trace's
// length, with every task started on arrival where the sum of resources allows it.
func packingBound(t *Trace) Packing {
	var used, total [3]float64
	end := t.Length.Seconds()
	perDomain := map[string][3]float64{}
	asked := map[string][3]float64{}
	for _, w := range t.Workers {
		perDomain[w.Domain] = plus(perDomain[w.Domain], amounts(w.Capacity.MilliCPU, w.Capacity.MemoryMiB, w.Capacity.Accelerators), end)
	}
	for _, j := range t.Jobs {
		s := j.taken()
		for _, run := range j.Run {
			left := end - j.At.Seconds()
			if run > 0 {
				left = min(left, run.Seconds())
			}
			asked[j.Domain] = plus(asked[j.Domain], amounts(s.MilliCPU, s.MemoryMiB, s.Accelerators), max(0, left))
		}
	}
	for d, room := range perDomain {
		for r := range room {
			used[r] += math.Min(asked[d][r], room[r])
			total[r] += room[r]
		}
	}
	return Packing{CPU: used[0] / total[0], Memory: used[1] / total[1], Accelerators: used[2] / total[2]}
}
