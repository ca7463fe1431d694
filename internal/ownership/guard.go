package ownership

// Guard names one of the rules that the promises rest on. Tests take single
// guards out to see that the checker notices; programs leave Timing.Without zero.
type Guard uint32

// The guards.
const (
	// GuardExpiry: a worker ignores starts whose expiry has passed.
	GuardExpiry Guard = 1 << iota
	// GuardBound: a start's expiry is based on a reading of the worker's clock.
	GuardBound
	// GuardFence: a worker refuses lower tokens than it has seen.
	GuardFence
	// GuardConfidence: a holder without a fresh confirmation gives no orders.
	GuardConfidence
	// GuardFormer: a term begins only when the former holder's orders are over.
	GuardFormer
	// GuardBoot: a write has no effect on another start of the worker than the
	// one that it names.
	GuardBoot
	// GuardSettle: a worker takes no tasks for a while after its start.
	GuardSettle
	// GuardNewest: only the reply to the newest write counts.
	GuardNewest
	// GuardAssumed: starts without a reply count as taken.
	GuardAssumed
	// GuardHidden: a task unseen in this term waits until it surely runs nowhere.
	GuardHidden
	// GuardRenewed: tasks on a silent worker count as running until their leases ran out.
	GuardRenewed
)
