package ownership

import "time"

// Reply is a worker's answer to one write.
type Reply struct {
	Write uint64
	// Now and Boot are readings of the worker's clock: the present time and the
	// time of its last start.
	Now, Boot time.Duration
	// Token is the highest token that the worker has seen since its last start.
	Token int64
}

// Fence tracks what one scheduler knows about one worker. The worker is fenced
// once it has answered under the scheduler's token, and owned while that answer
// is fresh.
type Fence struct {
	timing Timing
	// token is the token of the newest write.
	token int64
	// answeredToken is the newest token under which the worker has answered.
	answeredToken int64
	// owned is set while the newest accepted reply carried the scheduler's token
	// and came from a worker whose startup delay is over.
	owned bool
	// reading is the newest known time of the worker's clock.
	reading time.Duration
	// readingSent is the local time at which the write that returned the reading
	// was sent. The reading was taken no earlier.
	readingSent time.Duration
	// confirmedAt is the send time of the newest write whose reply confirms the
	// token.
	confirmedAt time.Duration
	// boot is the worker's last start, in the worker's clock.
	boot time.Duration
	// write is the number of the newest write, and sentAt its local send time.
	write   uint64
	sentAt  time.Duration
	pending bool
}

// NewFence returns the fence of a worker about which nothing is known.
func NewFence(t Timing) *Fence { return &Fence{timing: t} }

// BeginWrite registers a write under the token, sent at the local time now, and
// returns its number.
func (f *Fence) BeginWrite(now time.Duration, token int64) uint64 {
	if token != f.token {
		f.token, f.owned, f.confirmedAt = token, false, 0
	}
	f.write++
	f.sentAt, f.pending = now, true
	return f.write
}

// HandleReply processes a reply and reports whether it answers the newest write.
// Other replies are ignored.
func (f *Fence) HandleReply(r Reply) bool {
	if (r.Write != f.write || !f.pending) && !f.timing.disables(GuardNewestReply) {
		return false
	}
	f.pending = false
	f.updateReading(r)
	if r.Token != f.token {
		f.owned = false
		return true
	}
	f.answeredToken = r.Token
	f.owned = r.Now-r.Boot >= f.timing.WorkerStartupDelay() || f.timing.disables(GuardStartupDelay)
	if f.owned {
		f.confirmedAt = f.sentAt
	}
	return true
}

// updateReading stores the reply's clock reading. After a restart, or when
// another machine answers at the address, the clock may be behind the earlier
// one.
func (f *Fence) updateReading(r Reply) {
	if r.Boot != f.boot {
		f.boot, f.reading = r.Boot, 0
		f.owned, f.confirmedAt = false, 0
	}
	if r.Now > f.reading {
		f.reading, f.readingSent = r.Now, f.sentAt
	}
}

// Expire drops ownership once the newest answer is no longer fresh, and gives up
// a write whose reply has timed out.
func (f *Fence) Expire(now time.Duration) {
	if f.pending && now-f.sentAt >= f.timing.Reply {
		f.pending = false
	}
	if now >= f.FreshUntil() {
		f.owned = false
	}
}

// FailWrite stops waiting for the reply to the given write.
func (f *Fence) FailWrite(write uint64) {
	if write == f.write {
		f.pending = false
	}
}

// Fenced reports whether the worker has answered under the token.
func (f *Fence) Fenced(token int64) bool { return f.answeredToken == token }

// ConfirmedAt returns the send time of the newest write whose reply confirms the
// token, or 0 if there is none.
func (f *Fence) ConfirmedAt() time.Duration { return f.confirmedAt }

// Owned reports whether the worker has recently answered under the newest token.
func (f *Fence) Owned(now time.Duration) bool { return f.owned && now < f.FreshUntil() }

// FreshUntil returns the local time until which the newest answer counts as
// fresh.
func (f *Fence) FreshUntil() time.Duration {
	return f.readingSent + f.timing.MinusDrift(f.timing.Start)
}

// WritePending reports whether a write is waiting for its reply.
func (f *Fence) WritePending() bool { return f.pending }

// LastWriteAt returns the local send time of the newest write.
func (f *Fence) LastWriteAt() time.Duration { return f.sentAt }

// StartExpiry returns the lease expiry, in the worker's clock, for a task that is
// started now.
func (f *Fence) StartExpiry() time.Duration {
	if f.timing.disables(GuardStartBound) {
		return f.reading + f.timing.Task
	}
	return f.reading + f.timing.Start
}

// RenewalExpiry returns the lease expiry, in the worker's clock, that a renewal
// sent now gives to running tasks, and the local time by which that lease has
// certainly expired.
func (f *Fence) RenewalExpiry(now time.Duration) (time.Duration, time.Duration) {
	return f.reading + f.timing.Task, now + f.timing.PlusDrift(f.timing.Task)
}

// BootTime returns the worker's last start in the worker's clock, or 0 if it
// isn't known.
func (f *Fence) BootTime() time.Duration { return f.boot }

// ClockReading returns the newest known time of the worker's clock.
func (f *Fence) ClockReading() time.Duration { return f.reading }
