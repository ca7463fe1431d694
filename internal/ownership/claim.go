// Package ownership decides which scheduler may place on a worker, with the
// workers themselves as witnesses. A scheduler sets a mark on a worker: a lease
// without resources, whose expiry is in the worker's clock. It owns the worker
// when the reply to its own newest write shows no other live mark. It may place
// a failure domain's tasks while it owns a quorum of the domain's worker seats.
// docs/design/ownership.md gives the argument.
//
// The package reads no clock: local times are passed in, as the time since the
// process started.
package ownership

import (
	"strconv"
	"time"
)

// Timing holds the durations that the promises depend on. All schedulers of a
// domain must use the same.
type Timing struct {
	// Mark is how long a mark holds from the worker clock reading that it is based on.
	Mark time.Duration
	// Renew is the time between writes to an owned worker.
	Renew time.Duration
	// Task is how long a task's lease holds from the reading it is based on.
	Task time.Duration
	// Reply is how long a write waits for its reply.
	Reply time.Duration
	// DriftPerMille bounds the difference in rate between two clocks.
	DriftPerMille int64
	// Without names the guards that a test has taken out.
	Without Guard
}

// lacks reports whether a test has taken the guard out.
func (t Timing) lacks(g Guard) bool { return t.Without&g != 0 }

// DefaultTiming suits links with round trips well below a second.
func DefaultTiming() Timing {
	return Timing{
		Mark:          6 * time.Second,
		Renew:         2 * time.Second,
		Task:          15 * time.Second,
		Reply:         time.Second,
		DriftPerMille: 5,
	}
}

// Shorten returns d less the drift that may have gathered over it.
func (t Timing) Shorten(d time.Duration) time.Duration {
	return d - d*time.Duration(t.DriftPerMille)/1000
}

// Lengthen returns d and the drift that may gather over it.
func (t Timing) Lengthen(d time.Duration) time.Duration {
	return d + d*time.Duration(t.DriftPerMille)/1000
}

// Phase is where a claim stands.
type Phase int

// A claim starts idle, is claiming after its first mark is sent, and owned
// after a reply shows nothing else live. It falls back to idle when a reply
// shows another mark or a restart of the worker, or its confirmed mark runs out.
const (
	Idle Phase = iota
	Claiming
	Owned
)

// Reply is what a worker answered to one write.
type Reply struct {
	Write uint64
	// Now and Boot are in the worker's clock.
	Now, Boot time.Duration
	// Expiry and Since describe the writer's own mark; Expiry 0 is no mark.
	Expiry, Since time.Duration
	// Others is the number of live marks of other holders.
	Others int
}

// Claim is one scheduler's claim on one worker.
type Claim struct {
	timing Timing
	phase  Phase
	// confirmed is the expiry, in the worker's clock, of the mark that the
	// newest counted reply showed; starts never reach beyond it.
	confirmed time.Duration
	// since is the worker's time at which the confirmed mark was first set.
	since time.Duration
	// reading is the newest known time of the worker's clock.
	reading time.Duration
	// readingSent is the local time at which the write that brought the
	// reading was sent; the reading was taken no earlier.
	readingSent time.Duration
	// validUntil is the local time up to which the confirmed mark surely holds.
	validUntil time.Duration
	// boot is the worker's time of its last start.
	boot time.Duration
	// write is the number of the newest write, sent at sentAt with a mark
	// based on the reading taken no earlier than basis.
	write   uint64
	sentAt  time.Duration
	basis   time.Duration
	pending bool
	// marked is set while the worker may hold a live mark of the present name.
	marked bool
	// released counts the releases that the worker was told of.
	released int
}

// NewClaim returns an idle claim.
func NewClaim(t Timing) *Claim { return &Claim{timing: t} }

// Mark is the part of a write that concerns the claim.
type Mark struct {
	Write uint64
	// Expiry is the mark's new expiry in the worker's clock; 0 leaves the mark.
	Expiry time.Duration
}

// Send begins a write at the local time now. The first write to a worker whose
// clock is not known carries no mark.
func (c *Claim) Send(now time.Duration) Mark {
	c.write++
	c.sentAt, c.pending, c.basis = now, true, c.readingSent
	if c.reading == 0 {
		return Mark{Write: c.write}
	}
	if c.phase == Idle {
		c.phase = Claiming
	}
	c.marked = true
	return Mark{Write: c.write, Expiry: c.reading + c.timing.Mark}
}

// Receive takes a reply. It reports whether the reply was to the newest write; others change nothing.
func (c *Claim) Receive(r Reply) bool {
	if (r.Write != c.write || !c.pending) && !c.timing.lacks(GuardNewest) {
		return false
	}
	c.pending = false
	c.read(r)
	if c.phase == Idle {
		return true
	}
	if !c.confirms(r) {
		c.lose()
		return true
	}
	c.phase = Owned
	c.confirmed, c.since = r.Expiry, r.Since
	c.validUntil = c.basis + c.timing.Shorten(c.timing.Mark)
	return true
}

// read takes over the reply's clock reading. A restarted worker, or another
// machine under its address, may have a clock that is behind the former one.
func (c *Claim) read(r Reply) {
	if r.Boot != c.boot {
		c.boot, c.reading = r.Boot, 0
		c.lose()
	}
	if r.Now > c.reading {
		c.reading, c.readingSent = r.Now, c.sentAt
	}
}

// confirms reports whether r shows that the claim's mark holds alone.
func (c *Claim) confirms(r Reply) bool {
	if r.Expiry <= r.Now {
		return false
	}
	unbroken := r.Since == c.since && r.Boot <= c.since
	if c.phase == Owned && (unbroken || c.timing.lacks(GuardSince)) {
		return true
	}
	alone := r.Others == 0 || c.timing.lacks(GuardOthers)
	return alone && (r.Now-r.Boot >= c.timing.Mark || c.timing.lacks(GuardBoot))
}

// Expire drops a claim whose mark may have lapsed and gives up a write whose
// reply is overdue.
func (c *Claim) Expire(now time.Duration) {
	if c.pending && now-c.sentAt >= c.timing.Reply {
		c.pending = false
	}
	if c.phase == Owned && now >= c.validUntil {
		c.lose()
	}
}

// Release gives the claim up. Told is whether the worker is told so; a release
// that is told ends the holder's name.
func (c *Claim) Release(told bool) {
	c.lose()
	c.write++
	c.pending = false
	if told {
		c.marked = false
		c.released++
	}
}

// Marked reports whether the worker may hold a live mark of this claim.
func (c *Claim) Marked() bool { return c.marked }

// Holder returns the name that the claim's marks carry, given the scheduler's.
// A release that arrives late, or twice, takes no later mark away, since later
// marks carry another name.
func (c *Claim) Holder(scheduler string) string {
	if c.released == 0 {
		return scheduler
	}
	return scheduler + "/" + strconv.Itoa(c.released)
}

// Fail gives up the wait for the reply to the given write.
func (c *Claim) Fail(write uint64) {
	if write == c.write {
		c.pending = false
	}
}

func (c *Claim) lose() {
	c.phase, c.confirmed, c.since, c.validUntil = Idle, 0, 0, 0
}

// Phase returns where the claim stands.
func (c *Claim) Phase() Phase { return c.phase }

// Owned reports whether the worker is surely owned at the local time now.
func (c *Claim) Owned(now time.Duration) bool { return c.phase == Owned && now < c.validUntil }

// ValidUntil returns the local time up to which ownership surely holds.
func (c *Claim) ValidUntil() time.Duration { return c.validUntil }

// Pending reports whether a write waits for its reply.
func (c *Claim) Pending() bool { return c.pending }

// SentAt returns the local time of the newest write.
func (c *Claim) SentAt() time.Duration { return c.sentAt }

// StartExpiry returns the expiry, in the worker's clock, of a lease given to a
// task that is started now: no later than the confirmed mark.
func (c *Claim) StartExpiry() time.Duration {
	if c.timing.lacks(GuardBound) {
		return c.reading + c.timing.Task
	}
	return c.confirmed
}

// TaskExpiry returns the expiry, in the worker's clock, that a renewal sent now
// gives to running tasks, and the local time by which that lease has surely run out.
func (c *Claim) TaskExpiry(now time.Duration) (time.Duration, time.Duration) {
	return c.reading + c.timing.Task, now + c.timing.Lengthen(c.timing.Task)
}

// Boot returns the worker's time of its last start, 0 before it is known.
func (c *Claim) Boot() time.Duration { return c.boot }

// Reading returns the newest known time of the worker's clock.
func (c *Claim) Reading() time.Duration { return c.reading }
