package routing

import "time"

// Settings are fixed for a core's life.
type Settings struct {
	Host string
	// Incarnation tells this process from earlier ones of the same host.
	Incarnation string
	Domain      string
	Region      string
	// Peers are the entry hosts of all domains, this one included.
	Peers []Peer
	// Seed starts the source of backoff jitter.
	Seed uint64
	// NewDomain is set while it is certain that no earlier process of this
	// host's domain has taken a request with a key.
	NewDomain bool
	// KeysFrom is the local time before which no request with a key is taken.
	KeysFrom time.Duration
	Timing   Timing
}

// Holder names this process among all that ever ran.
func (s Settings) Holder() string { return s.Host + "#" + s.Incarnation }

// Timing holds the durations that the core works with.
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
	// KeyRetention is how long a key is remembered, from its first request on.
	// It is longer than the longest deadline and Longest together.
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
