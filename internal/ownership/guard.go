package ownership

// Guard identifies one of the rules that the safety guarantees depend on. Tests
// disable single guards to verify that the checker detects the violation.
// Programs leave Timing.Without at zero.
type Guard uint32

// Guards. They can be combined as bits.
const (
	// GuardExpiry: a worker ignores starts whose expiry has passed.
	GuardExpiry Guard = 1 << iota
	// GuardStartBound: a start's expiry is based on a reading of the worker's
	// clock.
	GuardStartBound
	// GuardToken: a worker refuses tokens lower than the highest it has seen.
	GuardToken
	// GuardConfidence: a leader without a fresh confirmation gives no orders.
	GuardConfidence
	// GuardPreviousLeader: a term begins only when the previous leader can no
	// longer give orders.
	GuardPreviousLeader
	// GuardBoot: a write takes effect only on the start of the worker that it
	// names.
	GuardBoot
	// GuardStartupDelay: a worker accepts no tasks for a while after its start.
	GuardStartupDelay
	// GuardNewestReply: only the reply to the newest write counts.
	GuardNewestReply
	// GuardAssumedStarts: starts without a reply count as using their resources.
	GuardAssumedStarts
	// GuardUnseen: a task not seen in this term waits until it certainly runs
	// nowhere.
	GuardUnseen
	// GuardRenewedLeases: tasks on a silent worker count as running until their
	// leases have expired.
	GuardRenewedLeases
)
