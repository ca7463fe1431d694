package workflow

// State is the state of a job as callers see it.
type State string

// Job states.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether s is a terminal state.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }
