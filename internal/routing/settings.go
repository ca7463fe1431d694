package routing

import "time"

// Settings configures a Core. It does not change during the core's lifetime.
type Settings struct {
	Host string
	// Incarnation distinguishes this process from earlier ones of the same
	// host.
	Incarnation string
	Domain      string
	Region      string
	// Peers are the entry hosts of all domains, including this one.
	Peers []Peer
	// Seed seeds the random source of the backoff jitter.
	Seed uint64
	// NewDomain is set if it is certain that no earlier process of this host's
	// domain has taken a request with a key.
	NewDomain bool
	// AcceptKeysFrom is the local time before which requests with a key are
	// refused.
	AcceptKeysFrom time.Duration
	Timing         Timing
}

// InstanceID returns an ID of this process that no other process ever has.
func (s Settings) InstanceID() string { return s.Host + "#" + s.Incarnation }

// Timing holds the timeouts and limits of a Core.
type Timing struct {
	// Lease is how long granted slots may be filled, counted from the sending
	// of the query that returned the grant.
	Lease time.Duration
	// MaxRequestTime is the maximum time from a request's send to its end at a
	// runner.
	MaxRequestTime time.Duration
	// DriftPerMille is the maximum difference in rate between two clocks, in
	// thousandths.
	DriftPerMille int64
	// IdleTimeout is how long a send may make no progress.
	IdleTimeout time.Duration
	// BackoffBase and BackoffMax limit the delay before a retry.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// RetryAfterMax limits the Retry-After that a runner or another entry can
	// set.
	RetryAfterMax time.Duration
	// KeyRetention is how long a key is kept, counted from its first request.
	// It must be longer than the longest deadline and MaxRequestTime together.
	KeyRetention time.Duration
}

// DefaultTiming returns a Timing for networks with round-trip times well below
// a second.
func DefaultTiming() Timing {
	return Timing{
		Lease:          10 * time.Second,
		MaxRequestTime: time.Minute,
		DriftPerMille:  5,
		IdleTimeout:    10 * time.Second,
		BackoffBase:    20 * time.Millisecond,
		BackoffMax:     2 * time.Second,
		RetryAfterMax:  5 * time.Second,
		KeyRetention:   5 * time.Minute,
	}
}
