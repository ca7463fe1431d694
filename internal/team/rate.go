package team

import (
	"math"
	"time"
)

// Rate tells which jobs of an account are within the rate that it may send, by the generic
// cell rate algorithm: a bucket of Burst that fills at PerSecond. Its state follows from the
// jobs and their times alone, so that whoever takes the same jobs in the same order comes
// to the same result.
type Rate struct {
	// PerSecond is the number of jobs per second; 0 or less means no limit.
	PerSecond float64
	// Burst is how much of the rate may be used at once; at least one job may.
	Burst time.Duration
	// next and nextExcess are when the bucket is full again, for the jobs within the rate
	// and for those in excess of it, in milliseconds.
	next, nextExcess float64
}

// Take takes the next job, sent at a time in Unix milliseconds. It reports whether the job is
// in excess of the rate. order then tells how far the account's excess jobs reach into the
// future, in milliseconds: of several accounts, the one with the least comes first.
func (r *Rate) Take(atMillis int64) (excess bool, order int64) {
	if r.PerSecond <= 0 {
		return false, 0
	}
	cost := float64(time.Second.Milliseconds()) / r.PerSecond
	at := float64(atMillis)
	// The last job within the burst may still begin in it.
	if next := max(r.next, at); next-at < max(float64(r.Burst.Milliseconds()), cost) {
		r.next = next + cost
		return false, 0
	}
	r.nextExcess = max(r.nextExcess, at) + cost
	// A tiny rate leads beyond the range of integers.
	return true, int64(min(r.nextExcess, math.MaxInt64/2))
}
