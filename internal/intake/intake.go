// Package intake is what callers' requests about jobs come to, whatever
// protocol they came by.
package intake

import (
	"context"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Code is the ending of a caller's request.
type Code int

// The codes.
const (
	// OK: done as asked.
	OK Code = iota
	// NoQueue: no queue is addressed so.
	NoQueue
	// NoJob: no such job exists.
	NoJob
	// Invalid: the request can never be carried out as written.
	Invalid
	// TooLarge: the body is over the configured bound.
	TooLarge
	// Busy: nothing was done for want of capacity here; come back.
	Busy
	// Unavailable: nothing was done; the node can't serve it now; come back.
	Unavailable
	// Unknown: it may have been done; ask again under the same ID.
	Unknown
)

var codeNames = [...]string{"ok", "no-queue", "no-job", "invalid", "too-large", "busy", "unavailable", "unknown"}

func (c Code) String() string { return codeNames[c] }

// Outcome is the ending of a request with its reason.
type Outcome struct {
	Code   Code
	Reason string
	// RetryAfter is when to come back, for Busy and Unavailable.
	RetryAfter time.Duration
}

// Desk takes callers' requests. Its methods may be called concurrently.
type Desk interface {
	// Match returns the queue that is addressed, and the rest of the path. With
	// no configuration yet the outcome is Unavailable.
	Match(host, path string) (*workflow.Queue, string, Outcome)
	// MaxBodyBytes bounds a request's body; 0 is unbounded.
	MaxBodyBytes() int64
	// Submit hands a job in. OK means that it is stored.
	Submit(ctx context.Context, q *workflow.Queue, job workflow.Job) Outcome
	// State returns a job's state.
	State(ctx context.Context, q *workflow.Queue, id string) (workflow.State, Outcome)
	// Cancel cancels a job. OK means that this is stored.
	Cancel(ctx context.Context, q *workflow.Queue, id string) Outcome
	// Pending returns the number of the queue's jobs of which no task has started.
	Pending(ctx context.Context, q *workflow.Queue) (int, Outcome)
	// Ready reports whether the node can serve callers now.
	Ready() bool
}
