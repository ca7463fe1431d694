// Package ownership decides when a scheduler may act on the workers of its
// failure domain. The right to place is a tenure (package tenure), whose token
// fences each worker: a worker that has seen a token refuses lower ones. A Fence
// is what one scheduler knows of one worker, and a Term is the part of a tenure
// in which tasks may be started and leases extended.
// docs/design/ownership.md gives the argument.
//
// The package reads no clock: local times are passed in, as the time since the
// process started.
package ownership

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/tenure"
)

// Timing holds the durations that the promises depend on. All schedulers of a
// domain must use the same.
type Timing struct {
	// Start is how long a start counts, and its first lease holds, from the
	// worker clock reading that it is based on. A worker that has not answered
	// for as long gets no starts.
	Start time.Duration
	// Renew is the time between writes to a worker.
	Renew time.Duration
	// Task is how long a renewed lease holds from the reading it is based on.
	Task time.Duration
	// Reply is how long a write waits for its reply.
	Reply time.Duration
	// DriftPerMille bounds the difference in rate between two clocks.
	DriftPerMille int64
	// Grant is how long after its confirmation a token allows grants of slots. It
	// is shorter than Tenure.Confidence, so that a successor may grant early.
	Grant time.Duration
	// Tenure are the bounds of the tenure.
	Tenure tenure.Timing
	// Without names the guards that a test has taken out.
	Without Guard
}

// lacks reports whether a test has taken the guard out.
func (t Timing) lacks(g Guard) bool { return t.Without&g != 0 }

// DefaultTiming suits links with round trips well below a second.
func DefaultTiming() Timing {
	return Timing{
		Start:         6 * time.Second,
		Renew:         2 * time.Second,
		Task:          15 * time.Second,
		Reply:         time.Second,
		DriftPerMille: 5,
		Grant:         3 * time.Second,
		Tenure:        tenureTiming(),
	}
}

// tenureTiming gives the peers patience for one beat whose answer is lost and
// its repetition.
func tenureTiming() tenure.Timing {
	t := tenure.DefaultTiming()
	t.Beat, t.Silence = 500*time.Millisecond, 2500*time.Millisecond
	return t
}

// Shorten returns d less the drift that may have gathered over it.
func (t Timing) Shorten(d time.Duration) time.Duration {
	return d - d*time.Duration(t.DriftPerMille)/1000
}

// Lengthen returns d and the drift that may gather over it.
func (t Timing) Lengthen(d time.Duration) time.Duration {
	return d + d*time.Duration(t.DriftPerMille)/1000
}

// Settle is how long after its start a worker takes no tasks: it has forgotten
// the tokens that it has seen, and by then every holder whom it had refused has
// lost its confirmation.
func (t Timing) Settle() time.Duration { return t.Lengthen(t.Tenure.Confidence) }

// LastOrder is how long after its last confirmation a former holder may still
// give orders, by another clock.
func (t Timing) LastOrder() time.Duration { return t.Lengthen(t.Tenure.Confidence) }
