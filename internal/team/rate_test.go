package team_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/team"
)

// TestRateLimitsEveryPeriod checks that in no period more jobs than the rate and the burst
// allow are within the rate, that jobs at or below the rate never are in excess, and that
// excess jobs are ordered as they come.
func TestRateLimitsEveryPeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(1e-300, 1000).Draw(t, "rate")
		if rapid.Bool().Draw(t, "usual") {
			perSecond = rapid.Float64Range(0.1, 100).Draw(t, "usual rate")
		}
		r := team.Rate{PerSecond: perSecond, Burst: time.Second}
		var within []int64
		at, last := int64(1_700_000_000_000), int64(0)
		for _, gap := range rapid.SliceOfN(rapid.Int64Range(0, 3000), 1, 60).Draw(t, "gaps") {
			at += gap
			excess, order := r.Take(at)
			if !excess {
				within = append(within, at)
				continue
			}
			if order < at || order < last {
				t.Fatalf("excess job at %d has order %d after %d", at, order, last)
			}
			last = order
		}
		for i := range within {
			for k := i; k < len(within); k++ {
				seconds := float64(within[k]-within[i])/1000 + max(1, 1/perSecond)
				if n := float64(k - i + 1); n > seconds*perSecond+1+1e-6 {
					t.Fatalf("%v jobs within a rate of %v/s in %v s", n, perSecond, seconds)
				}
			}
		}
		steady := team.Rate{PerSecond: perSecond, Burst: time.Second}
		cost := 1000 / perSecond
		for i := range 20 {
			if cost > 1e9 {
				break
			}
			if excess, _ := steady.Take(1_700_000_000_000 + int64(float64(i)*(cost+1))); excess {
				t.Fatalf("job %d at a rate below %v/s is in excess", i, perSecond)
			}
		}
	})
}

// Without a rate, no job is in excess. A rate so small that its cost exceeds all numbers must
// not put the excess jobs of its account first.
func TestRateOfOddWeights(t *testing.T) {
	for _, perSecond := range []float64{0, -1} {
		r := team.Rate{PerSecond: perSecond}
		for range 3 {
			if excess, _ := r.Take(1); excess {
				t.Fatal("there is no rate")
			}
		}
	}
	for _, perSecond := range []float64{1e-17, 1e-300, 5e-324} {
		r := team.Rate{PerSecond: perSecond, Burst: time.Second}
		r.Take(1000)
		for range 3 {
			if excess, order := r.Take(1000); !excess || order < 1000 {
				t.Fatalf("rate %v: excess %v, order %d", perSecond, excess, order)
			}
		}
	}
}
