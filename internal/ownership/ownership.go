// Package ownership decides when a scheduler may act on the workers of its
// failure domain. Leadership of the domain (package tenure) comes with a fencing
// token: a worker that has seen a token refuses lower ones. A Fence is what one
// scheduler knows about one worker. A Term is the part of a leadership in which
// tasks may be started and leases extended. docs/design/ownership.md gives the
// safety argument.
//
// The package reads no clock. Local times are passed in, as the time since the
// process started.
package ownership

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/tenure"
)

// Timing holds the durations that the safety guarantees depend on. All schedulers
// of a domain must use the same values.
type Timing struct {
	// Start is how long a start order stays valid and its first lease lasts,
	// counted from the worker clock reading that it is based on. A worker that
	// hasn't answered for this long gets no starts.
	Start time.Duration
	// Renew is the interval between writes to a worker.
	Renew time.Duration
	// Task is the duration of a renewed lease, counted from the worker clock
	// reading that it is based on.
	Task time.Duration
	// Reply is the timeout for a worker's reply to a write.
	Reply time.Duration
	// DriftPerMille bounds the difference in rate between two clocks, in
	// thousandths.
	DriftPerMille int64
	// Grant is how long after its confirmation a token allows slots to be
	// granted. It is shorter than Tenure.Confidence so that a successor may grant
	// slots early.
	Grant time.Duration
	// Tenure holds the timing of leadership.
	Tenure tenure.Timing
	// Without is the set of guards that a test has disabled.
	Without Guard
}

// disables reports whether a test has disabled the guard.
func (t Timing) disables(g Guard) bool { return t.Without&g != 0 }

// DefaultTiming returns values for links with round trips well below a second.
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

// tenureTiming lets the peers tolerate one leader heartbeat whose answer is lost,
// and its retry.
func tenureTiming() tenure.Timing {
	t := tenure.DefaultTiming()
	t.Beat, t.Silence = 500*time.Millisecond, 2500*time.Millisecond
	return t
}

// MinusDrift returns d less the clock drift that may accumulate over it.
func (t Timing) MinusDrift(d time.Duration) time.Duration {
	return d - d*time.Duration(t.DriftPerMille)/1000
}

// PlusDrift returns d plus the clock drift that may accumulate over it.
func (t Timing) PlusDrift(d time.Duration) time.Duration {
	return d + d*time.Duration(t.DriftPerMille)/1000
}

// WorkerStartupDelay is how long after its start a worker accepts no tasks. It
// has lost the tokens that it had seen; after the delay, every leader that it had
// refused has lost its confirmation.
func (t Timing) WorkerStartupDelay() time.Duration { return t.PlusDrift(t.Tenure.Confidence) }

// PreviousLeaderTimeout is how long after its last confirmation, measured by
// another clock, a previous leader may still give orders.
func (t Timing) PreviousLeaderTimeout() time.Duration { return t.PlusDrift(t.Tenure.Confidence) }
