package node

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// keyAgeShare is the share of the revocation bound for which keys are accepted without a
// read of the configuration. The rest covers the time in which a change becomes visible.
const keyAgeShare = 0.6

// reasonKeysExpired is the reason of refusals because the configuration is too old to
// know that a key is still good.
const reasonKeysExpired = "keys-expired"

// keyGuard decides whether callers' keys are accepted. It may be used concurrently.
type keyGuard struct {
	// clock goes on while the host is suspended.
	clock func() time.Duration
	log   logrus.FieldLogger
	// required is set if callers need keys even if the configuration has no accounts.
	required atomic.Bool
	// maxAge is the maximum age of the configuration for accepting keys, 0 for no bound.
	maxAge atomic.Int64
	// knownAt is a time at which the store still held the configuration in force, by the
	// clock, in nanoseconds.
	knownAt atomic.Int64
	// expired is set while keys are refused because of the configuration's age.
	expired atomic.Bool
}

func newKeyGuard(clock func() time.Duration, log logrus.FieldLogger) *keyGuard {
	return &keyGuard{clock: clock, log: log}
}

// configure applies the settings of the deployment.
func (g *keyGuard) configure(l *Limits) {
	g.required.Store(l.AccountsInUse)
	g.maxAge.Store(int64(float64(l.RevocationBound) * keyAgeShare))
}

// configurationRead records a successful read of the configuration. What counts is when
// it was sent: if this process stood still before it handled the answer, the answer says
// nothing about that time.
func (g *keyGuard) configurationRead(r readResult) {
	at := r.sentClock
	if cached := r.sentAt.Sub(r.readAt); cached > 0 {
		at -= cached // another node had read it before
	}
	g.knownAt.Store(max(g.knownAt.Load(), int64(at)))
	if g.expired.Load() && g.current() && g.expired.CompareAndSwap(true, false) {
		g.log.Info("keys are accepted again")
	}
}

// current reports whether the configuration is recent enough to accept keys.
func (g *keyGuard) current() bool {
	maxAge := time.Duration(g.maxAge.Load())
	return maxAge == 0 || g.clock()-time.Duration(g.knownAt.Load()) <= maxAge
}

// authenticate returns the caller of a request with the given key, or why it is refused.
func (g *keyGuard) authenticate(cat *workflow.Catalog, q *workflow.Queue, key string) (intake.Caller, *intake.Outcome) {
	if len(cat.Accounts) == 0 && !g.required.Load() {
		return intake.Caller{Unrestricted: true}, nil
	}
	account, known := cat.Keys.Lookup(key)
	switch current := g.current(); {
	case known && current:
		return intake.Caller{Account: account}, nil
	case q.Public && !known:
		return intake.Caller{}, nil
	case !current:
		if g.expired.CompareAndSwap(false, true) {
			g.log.WithField("age_ms", (g.clock() - time.Duration(g.knownAt.Load())).Milliseconds()).
				Warn("keys are refused: the configuration is too old to know that they are still good")
		}
		return intake.Caller{}, &intake.Outcome{Code: intake.Unavailable, Reason: reasonKeysExpired}
	}
	return intake.Caller{}, &intake.Outcome{Code: intake.Unauthenticated, Reason: "unknown-key"}
}

// suspendAwareUptime is like uptime and goes on while the host is suspended.
func (n *Node) suspendAwareUptime() time.Duration { return n.uptime() + n.suspendedTime() }
