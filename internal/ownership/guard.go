package ownership

// Guard names one of the rules that the promises rest on. Tests take single
// guards out to see that the checker notices; programs leave Timing.Without zero.
type Guard uint32

// The guards.
const (
	// GuardExpiry: a worker ignores marks and starts whose expiry has passed.
	GuardExpiry Guard = 1 << iota
	// GuardBound: a start's expiry is never later than the confirmed mark.
	GuardBound
	// GuardSince: a renewal counts only while the mark is the same unbroken one.
	GuardSince
	// GuardOthers: a claim is confirmed only where no other mark is live.
	GuardOthers
	// GuardBoot: nobody owns a worker for a whole mark after its restart.
	GuardBoot
	// GuardNewest: only the reply to the newest write counts.
	GuardNewest
	// GuardAssumed: starts without a reply count as taken.
	GuardAssumed
	// GuardHidden: a task unseen in this term waits until it surely runs nowhere.
	GuardHidden
	// GuardQuiet: a worker is released only when nothing sent to it is open.
	GuardQuiet
	// GuardRenewed: tasks on a silent worker count as running until their leases ran out.
	GuardRenewed
)
