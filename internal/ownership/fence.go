package ownership

import "time"

// Reply is what a worker answered to one write.
type Reply struct {
	Write uint64
	// Now and Boot are in the worker's clock.
	Now, Boot time.Duration
	// Token is the highest that the worker has seen since its start.
	Token int64
}

// Fence is what one scheduler knows of one worker. The worker is fenced once it
// has answered under the scheduler's token, and owned while that answer is fresh.
type Fence struct {
	timing Timing
	// token is that of the newest write.
	token int64
	// fenced is the newest token under which the worker has answered.
	fenced int64
	// owned is set while the newest counted reply was given under the token by
	// a worker that has settled.
	owned bool
	// reading is the newest known time of the worker's clock.
	reading time.Duration
	// readingSent is the local time at which the write that brought the
	// reading was sent; the reading was taken no earlier.
	readingSent time.Duration
	// vouched is when the newest write was sent that confirms the token.
	vouched time.Duration
	// boot is the worker's time of its last start.
	boot time.Duration
	// write is the number of the newest write, sent at sentAt.
	write   uint64
	sentAt  time.Duration
	pending bool
}

// NewFence returns the fence of a worker of which nothing is known.
func NewFence(t Timing) *Fence { return &Fence{timing: t} }

// Send begins a write under a token at the local time now and returns its number.
func (f *Fence) Send(now time.Duration, token int64) uint64 {
	if token != f.token {
		f.token, f.owned, f.vouched = token, false, 0
	}
	f.write++
	f.sentAt, f.pending = now, true
	return f.write
}

// Receive takes a reply. It reports whether the reply was to the newest write; others change nothing.
func (f *Fence) Receive(r Reply) bool {
	if (r.Write != f.write || !f.pending) && !f.timing.lacks(GuardNewest) {
		return false
	}
	f.pending = false
	f.read(r)
	if r.Token != f.token {
		f.owned = false
		return true
	}
	f.fenced = r.Token
	f.owned = r.Now-r.Boot >= f.timing.Settle() || f.timing.lacks(GuardSettle)
	if f.owned {
		f.vouched = f.sentAt
	}
	return true
}

// read takes over the reply's clock reading. A restarted worker, or another
// machine under its address, may have a clock that is behind the former one.
func (f *Fence) read(r Reply) {
	if r.Boot != f.boot {
		f.boot, f.reading = r.Boot, 0
		f.owned, f.vouched = false, 0
	}
	if r.Now > f.reading {
		f.reading, f.readingSent = r.Now, f.sentAt
	}
}

// Expire drops ownership that no fresh answer supports and gives up a write
// whose reply is overdue.
func (f *Fence) Expire(now time.Duration) {
	if f.pending && now-f.sentAt >= f.timing.Reply {
		f.pending = false
	}
	if now >= f.ValidUntil() {
		f.owned = false
	}
}

// Fail gives up the wait for the reply to the given write.
func (f *Fence) Fail(write uint64) {
	if write == f.write {
		f.pending = false
	}
}

// Fenced reports whether the worker has answered under the token.
func (f *Fence) Fenced(token int64) bool { return f.fenced == token }

// Vouched returns when the newest write was sent whose answer confirms the
// token, 0 if there is none.
func (f *Fence) Vouched() time.Duration { return f.vouched }

// Owned reports whether the worker has answered lately under the newest token.
func (f *Fence) Owned(now time.Duration) bool { return f.owned && now < f.ValidUntil() }

// ValidUntil returns the local time up to which the newest answer counts as fresh.
func (f *Fence) ValidUntil() time.Duration { return f.readingSent + f.timing.Shorten(f.timing.Start) }

// Pending reports whether a write waits for its reply.
func (f *Fence) Pending() bool { return f.pending }

// SentAt returns the local time of the newest write.
func (f *Fence) SentAt() time.Duration { return f.sentAt }

// StartExpiry returns the expiry, in the worker's clock, of a lease given to a
// task that is started now.
func (f *Fence) StartExpiry() time.Duration {
	if f.timing.lacks(GuardBound) {
		return f.reading + f.timing.Task
	}
	return f.reading + f.timing.Start
}

// TaskExpiry returns the expiry, in the worker's clock, that a renewal sent now
// gives to running tasks, and the local time by which that lease has surely run out.
func (f *Fence) TaskExpiry(now time.Duration) (time.Duration, time.Duration) {
	return f.reading + f.timing.Task, now + f.timing.Lengthen(f.timing.Task)
}

// Boot returns the worker's time of its last start, 0 before it is known.
func (f *Fence) Boot() time.Duration { return f.boot }

// Reading returns the newest known time of the worker's clock.
func (f *Fence) Reading() time.Duration { return f.reading }
