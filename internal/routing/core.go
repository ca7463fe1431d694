// Package routing is the control state of one entry: it admits callers'
// requests, queues them, fills runners' slots and ends every request with the
// upstream's answer, not run, or outcome unknown. It reads no clock, does no
// I/O and starts no goroutine. A Core isn't safe for concurrent use; one
// goroutine owns it.
package routing

import "time"

// Settings are fixed for a core's life.
type Settings struct {
	Host string
	// Incarnation tells this process from earlier ones of the same host.
	Incarnation string
	Domain      string
	Region      string
	// Seed starts the source of backoff jitter.
	Seed uint64
	// NewDomain is set while it is certain that no earlier process of this
	// host's domain has taken a request with a key.
	NewDomain bool
	Timing    Timing
}

// Timing holds the durations and bounds that the core works with.
type Timing struct {
	// Lease is how long granted slots may be filled, from the query that brought them.
	Lease time.Duration
	// Longest bounds the time from a request's send to its end at a runner.
	Longest time.Duration
	// DriftPerMille bounds the difference in rate between two clocks.
	DriftPerMille int64
	// Silence is how long a send may make no progress.
	Silence time.Duration
	// BackoffBase and BackoffMax bound the wait before a retry.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// RetryAfterMax caps the Retry-After of a refusing runner.
	RetryAfterMax time.Duration
	// KeyRetention is how long an ended key is remembered.
	KeyRetention time.Duration
}

// DefaultTiming suits links with round trips well below a second.
func DefaultTiming() Timing {
	return Timing{
		Lease:         10 * time.Second,
		Longest:       time.Minute,
		DriftPerMille: 5,
		Silence:       10 * time.Second,
		BackoffBase:   20 * time.Millisecond,
		BackoffMax:    2 * time.Second,
		RetryAfterMax: 5 * time.Second,
		KeyRetention:  5 * time.Minute,
	}
}

// Core is the control state.
type Core struct {
	set Settings
	now time.Duration
	out []Effect
}

// New returns a core that knows no runner.
func New(set Settings) *Core { return &Core{set: set} }

// Step takes one event at the local time now, the time since the process
// started, and returns what is to be done. Times never decrease. The returned
// slice is valid until the next Step.
func (c *Core) Step(now time.Duration, ev Event) []Effect {
	c.now = now
	c.out = c.out[:0]
	return c.out
}
