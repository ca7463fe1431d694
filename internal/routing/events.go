package routing

import "time"

// Event is an input of the core. Times in events and effects are local times:
// the time since the process started.
type Event interface{ event() }

// isEvent marks a type as an Event.
type isEvent struct{}

func (isEvent) event() {}

// Tick advances the time so that due timers fire.
type Tick struct{ isEvent }

// RequestReceived is a new request from a caller. Its ID must be unique within
// this process.
type RequestReceived struct {
	isEvent
	ID      uint64
	Service string
	Team    string
	// Deadline is the local time by which the response must begin.
	Deadline   time.Duration
	Idempotent bool
	// Key is the idempotency key of a non-idempotent request; it may be empty.
	Key string
	// FromEntry is set on a request that another entry has forwarded.
	FromEntry bool
}

// CallerDisconnected reports that the caller closed its connection.
type CallerDisconnected struct {
	isEvent
	ID uint64
}

// SendProgressed reports that bytes of a send were transferred in either
// direction.
type SendProgressed struct {
	isEvent
	ID   uint64
	Send uint64
	// ResponseStarted is set once the response header has been passed to the
	// caller.
	ResponseStarted bool
}

// SendAnswered reports that the complete response of a send was received.
type SendAnswered struct {
	isEvent
	ID     uint64
	Send   uint64
	Status int
}

// SendRefused reports that the receiver rejected a send before it started the
// request.
type SendRefused struct {
	isEvent
	ID         uint64
	Send       uint64
	RetryAfter time.Duration
	// Replayable is set when the whole request can be sent again.
	Replayable bool
	// Reason is the reason that the other entry gave. It is empty if a runner
	// refused.
	Reason Reason
}

// SendFailed reports that a send ended without a complete response. It also
// confirms a CancelSend.
type SendFailed struct {
	isEvent
	ID   uint64
	Send uint64
	// MaybeSent is set unless it is certain that no byte of the request left
	// the entry.
	MaybeSent bool
	// ResponseStarted is set when part of the response has been passed to the
	// caller.
	ResponseStarted bool
	// Replayable is set when the whole request can be sent again.
	Replayable bool
	// Unknown is set when another entry answered that the outcome is unknown.
	// Reason and RetryAfter are taken from its answer.
	Unknown    bool
	Reason     Reason
	RetryAfter time.Duration
}

// DirectoryUpdated carries the domain's runners, its services and the slots
// granted to this entry.
type DirectoryUpdated struct {
	isEvent
	// SentAt is the local time at which the query was sent. The grant lease
	// starts then.
	SentAt time.Duration
	// Unchanged means that only the lease is renewed; the other fields are
	// ignored.
	Unchanged bool
	// Partial means that Runners holds only the runners whose grants changed.
	Partial bool
	// PreviousLeaseRemaining is how long an earlier process of this host may
	// still send under a grant. It is nil if the reply did not say.
	PreviousLeaseRemaining *time.Duration
	Runners                []Runner
	Services               []Service
}

// Runner is a runner of a service with the slots granted to this entry.
type Runner struct {
	Attempt uint64
	Service string
	Task    string
	Address string
	Slots   int
	// Draining runners receive no new requests.
	Draining bool
}

// ForwardingPolicy decides when a request may be forwarded to another domain.
type ForwardingPolicy string

// Forwarding policies.
const (
	PolicyFast    ForwardingPolicy = "fast"
	PolicyThrifty ForwardingPolicy = "thrifty"
	PolicyCareful ForwardingPolicy = "careful"
)

// Service is a service declared in the directory.
type Service struct {
	Name   string
	Policy ForwardingPolicy
	// QueueLimit is the maximum number of queued requests; 0 selects the
	// default.
	QueueLimit int
}

// Peer is a configured entry host.
type Peer struct {
	Host    string
	Domain  string
	Region  string
	Address string
}

// PeerLoadReported carries the expected waits at another entry.
type PeerLoadReported struct {
	isEvent
	Host     string
	Services []ServiceLoad
}

// ServiceLoad is the expected wait of a new request for a service at an entry.
type ServiceLoad struct {
	Service string
	Wait    time.Duration
}

// StoreIntentDone reports the result of a StoreIntent.
type StoreIntentDone struct {
	isEvent
	Intent Intent
	Host   string
	Failed bool
	// Conflict is set when the host already has the key from another process or
	// request.
	Conflict bool
}

// StoreIntentRequested is a request from another entry to store an intent. It
// is answered with a StoreIntentReply that has the same Call.
type StoreIntentRequested struct {
	isEvent
	Call   uint64
	Intent Intent
}

// ListIntentsRequested is a query from another entry for all intents stored
// here. It is answered with a ListIntentsReply that has the same Call.
type ListIntentsRequested struct {
	isEvent
	Call uint64
}

// IntentsListed carries a peer's reply to ListIntents, or reports that the
// query failed.
type IntentsListed struct {
	isEvent
	Host   string
	Failed bool
	// Complete is set when the peer itself knows every key of the domain.
	Complete bool
	Intents  []Intent
}

// Drain begins a planned stop: no new requests are admitted.
type Drain struct{ isEvent }

// Effect is an action that the caller of Step must carry out.
type Effect interface{ effect() }

// isEffect marks a type as an Effect.
type isEffect struct{}

func (isEffect) effect() {}

// Target is the kind of receiver of a send.
type Target int

// A send goes to a runner, to the home entry of the request's key, or to an
// entry of another domain.
const (
	TargetRunner Target = iota
	TargetHome
	TargetRemoteDomain
)

// Send sends a request to a runner or to another entry. It is followed by any
// number of SendProgressed events and then exactly one of SendAnswered,
// SendRefused and SendFailed, all with the same Send number.
type Send struct {
	isEffect
	ID      uint64
	Send    uint64
	Target  Target
	Attempt uint64
	Address string
	// NewConnection asks for a new connection and for the idle ones to be
	// closed.
	NewConnection bool
	// NotAfter is the latest local time at which the first byte may be sent.
	NotAfter time.Duration
	// CrossRegion is set when the traffic is billed as cross-region.
	CrossRegion bool
	// KeepResponse asks for the response to be kept for later requests with the
	// same key.
	KeepResponse bool
}

// CancelSend closes the connection of a send. It is confirmed with SendFailed,
// or with SendAnswered if the response had already arrived.
type CancelSend struct {
	isEffect
	ID   uint64
	Send uint64
}

// Finish reports a request's result to its caller. A send that is still in
// flight continues and its response is discarded.
type Finish struct {
	isEffect
	ID     uint64
	Result Result
}

// StoreIntent asks another entry to store an intent. The result is reported by
// StoreIntentDone.
type StoreIntent struct {
	isEffect
	Host    string
	Address string
	Intent  Intent
}

// ListIntents asks another entry for all intents that it has stored. The result
// is reported by IntentsListed.
type ListIntents struct {
	isEffect
	Host    string
	Address string
}

// StoreIntentReply answers a StoreIntentRequested.
type StoreIntentReply struct {
	isEffect
	Call     uint64
	Conflict bool
}

// ListIntentsReply answers a ListIntentsRequested.
type ListIntentsReply struct {
	isEffect
	Call     uint64
	Complete bool
	Intents  []Intent
}

// DropResponse discards a response kept because of Send.KeepResponse.
type DropResponse struct {
	isEffect
	ID uint64
}

// Intent is the record that entries store for a non-idempotent request with an
// idempotency key.
type Intent struct {
	Key string
	// InstanceID identifies the process of the home entry that took the
	// request. ID is the request's ID in that process.
	InstanceID string
	ID         uint64
	State      KeyState
}

// KeyState is the state of the only run of a key.
type KeyState int

// A key is pending from before its request is sent. It then becomes answered or
// unknown, or is withdrawn if the request certainly did not run.
const (
	KeyPending KeyState = iota
	KeyAnswered
	KeyUnknown
	KeyWithdrawn
)

// Outcome is how a request ended.
type Outcome int

// Request outcomes. OutcomeNotRun is reported only if no byte reached a runner,
// or if every runner that was reached refused the request before starting it.
const (
	OutcomeAnswered Outcome = iota
	OutcomeNotRun
	OutcomeUnknown
)

// Result is the final result of a request, as reported to its caller.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is when the caller may retry a request that did not run.
	RetryAfter time.Duration
	// ReplayOf is the ID of the request whose response is returned; 0 means
	// this request's own response.
	ReplayOf uint64
}

// Reason is why a request did not run, was retried, or has an unknown outcome.
type Reason string

// Reasons for refusals, retries, losses, forwarding and quarantine.
const (
	ReasonNone                 Reason = ""
	ReasonNoService            Reason = "no-service"
	ReasonNoRunner             Reason = "no-runner"
	ReasonNoGrant              Reason = "no-grant"
	ReasonNoSlot               Reason = "no-slot"
	ReasonQueueFull            Reason = "queue-full"
	ReasonDisplaced            Reason = "displaced"
	ReasonDeadline             Reason = "deadline"
	ReasonExpectedWait         Reason = "expected-wait"
	ReasonEntryLeaving         Reason = "entry-leaving"
	ReasonCallerLeft           Reason = "caller-left"
	ReasonRunnerRefused        Reason = "runner-refused"
	ReasonRunnerUnreachable    Reason = "runner-unreachable"
	ReasonConnectionLost       Reason = "connection-lost"
	ReasonConnectionSilent     Reason = "connection-silent"
	ReasonRetryBudget          Reason = "retry-budget"
	ReasonHomeUnknown          Reason = "home-unknown"
	ReasonHomeUnreachable      Reason = "home-unreachable"
	ReasonNotHome              Reason = "not-home"
	ReasonKeysIncomplete       Reason = "keys-incomplete"
	ReasonNoSecondEntry        Reason = "no-second-entry"
	ReasonKeyUnknown           Reason = "key-unknown"
	ReasonAnswerNotKept        Reason = "answer-not-kept"
	ReasonKeyPending           Reason = "key-pending"
	ReasonTooManyKeys          Reason = "too-many-keys"
	ReasonDomainUnreachable    Reason = "domain-unreachable"
	ReasonOtherEntry           Reason = "other-entry"
	ReasonRunnerQuarantined    Reason = "runner-quarantined"
	ReasonShorterWaitElsewhere Reason = "shorter-wait-elsewhere"
)
