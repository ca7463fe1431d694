// Package intake defines the service that handles callers' requests about jobs,
// independent of the protocol.
package intake

import (
	"context"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Code is the result of a caller's request.
type Code int

// Results of requests.
const (
	// OK: the request was executed.
	OK Code = iota
	// QueueNotFound: no queue has this address.
	QueueNotFound
	// JobNotFound: the job doesn't exist.
	JobNotFound
	// Invalid: the request can never succeed as specified.
	Invalid
	// TooLarge: the body exceeds the configured limit.
	TooLarge
	// Busy: nothing was done because this node is at capacity; retry later.
	Busy
	// Unavailable: nothing was done because the node can't serve the request now;
	// retry later.
	Unavailable
	// OutcomeUnknown: the request may have been executed; retry with the same ID.
	OutcomeUnknown
	// Unauthenticated: the queue needs a known key, and the request carries none.
	Unauthenticated
	// Forbidden: the job belongs to another account.
	Forbidden
)

var codeNames = [...]string{"ok", "no-queue", "no-job", "invalid", "too-large", "busy", "unavailable", "unknown", "unauthenticated", "forbidden"}

func (c Code) String() string { return codeNames[c] }

// Outcome is the result of a request with its reason.
type Outcome struct {
	Code   Code
	Reason string
	// RetryAfter is the delay before a retry, for Busy and Unavailable.
	RetryAfter time.Duration
}

// RejectedError reports that a job was not accepted and never runs.
type RejectedError struct {
	Reason string
	// RetryAfter is the delay before a retry.
	RetryAfter time.Duration
}

func (e *RejectedError) Error() string { return "job rejected: " + e.Reason }

// Caller is the sender of a request.
type Caller struct {
	// Account is the client account whose key the request carries, empty for none.
	Account string
	// Unrestricted callers reach the jobs of all accounts: operators, and every caller
	// where accounts are not in use.
	Unrestricted bool
}

// MayAccess reports whether the caller may ask about a job of the account, or cancel
// it. A job without an account is open to all callers.
func (c Caller) MayAccess(account string) bool {
	return c.Unrestricted || account == "" || account == c.Account
}

// Service handles callers' requests. Its methods may be called concurrently.
type Service interface {
	// Match returns the addressed queue and the remainder of the path. The outcome
	// is Unavailable if there is no configuration yet.
	Match(host, path string) (*workflow.Queue, string, Outcome)
	// Authenticate returns the caller whose key a request to the queue carries. It is to
	// be called before the body of the request is read.
	Authenticate(q *workflow.Queue, key string) (Caller, Outcome)
	// MaxBodyBytes returns the limit of a request's body; 0 means no limit.
	MaxBodyBytes() int64
	// Submit submits a job of the job's account. OK means that it is durably stored.
	Submit(ctx context.Context, q *workflow.Queue, job workflow.Job) Outcome
	// State returns a job's state.
	State(ctx context.Context, caller Caller, q *workflow.Queue, id string) (workflow.State, Outcome)
	// Cancel cancels a job. OK means that the cancellation is durably stored. So does
	// JobNotFound: a Submit that is still being stored, or comes later, doesn't run.
	Cancel(ctx context.Context, caller Caller, q *workflow.Queue, id string) Outcome
	// Pending returns the number of jobs of the queue that have no started task.
	Pending(ctx context.Context, q *workflow.Queue) (int, Outcome)
	// Ready reports whether the node can currently serve callers.
	Ready() bool
}
