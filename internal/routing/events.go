package routing

import "time"

// Event is something that happened outside the core. Times inside events and
// effects are local times: the time since the process started.
type Event interface{ event() }

// isEvent marks events.
type isEvent struct{}

func (isEvent) event() {}

// Tick lets time pass.
type Tick struct{ isEvent }

// Admit brings a caller's request. Its ID is new in this process.
type Admit struct {
	isEvent
	ID      uint64
	Service string
	Team    string
	// Deadline is the local time by which the answer must begin.
	Deadline   time.Duration
	Idempotent bool
	// Key is the idempotency key of a non-idempotent request; empty without one.
	Key string
	// Hop is set on a request that another entry has passed on.
	Hop bool
}

// CallerLeft tells that the caller closed its connection.
type CallerLeft struct {
	isEvent
	ID uint64
}

// Progress tells that bytes moved in a send, in either direction.
type Progress struct {
	isEvent
	ID   uint64
	Send uint64
	// Begun is set once the answer's header has been passed to the caller.
	Begun bool
}

// Answered tells that the whole answer of a send has come.
type Answered struct {
	isEvent
	ID     uint64
	Send   uint64
	Status int
}

// Refused tells that the other end refused a send before starting the request.
type Refused struct {
	isEvent
	ID         uint64
	Send       uint64
	RetryAfter time.Duration
	// Replayable is set when the whole request can be sent again.
	Replayable bool
	// Reason is the reason that another entry gave; empty from a runner.
	Reason Reason
}

// Failed tells that a send ended without a whole answer. It also confirms a GiveUp.
type Failed struct {
	isEvent
	ID   uint64
	Send uint64
	// Reached is set unless surely no byte of the request left the entry.
	Reached bool
	// Begun is set when part of the answer has been passed to the caller.
	Begun bool
	// Replayable is set when the whole request can be sent again.
	Replayable bool
	// Unknown is set when another entry answered that the outcome is unknown,
	// with its reason and when to come back.
	Unknown    bool
	Reason     Reason
	RetryAfter time.Duration
}

// DirectoryRead brings the domain's runners and the slots granted to this entry.
type DirectoryRead struct {
	isEvent
	// SentAt is the local time at which the query left; the grant lease counts from it.
	SentAt time.Duration
	// Unchanged renews the lease and leaves all else as it is.
	Unchanged bool
	// Partial brings only the runners whose grants changed; all else stays.
	Partial bool
	// Former is how long an earlier process of this host may still send under a
	// grant; nil where that wasn't told.
	Former   *time.Duration
	Runners  []Runner
	Services []Service
}

// Runner is a service's runner with the slots that this entry may fill.
type Runner struct {
	Attempt uint64
	Service string
	Task    string
	Address string
	Slots   int
	// Leaving runners get nothing new.
	Leaving bool
}

// Policy decides when a request may be passed on to another domain.
type Policy string

// The policies.
const (
	Fast    Policy = "fast"
	Thrifty Policy = "thrifty"
	Careful Policy = "careful"
)

// Service is a declared service.
type Service struct {
	Name   string
	Policy Policy
	// QueueLimit bounds the waiting requests; 0 is the default.
	QueueLimit int
}

// Peer is a configured entry host.
type Peer struct {
	Host    string
	Domain  string
	Region  string
	Address string
}

// PeerLoad brings another entry's expected waits.
type PeerLoad struct {
	isEvent
	Host     string
	Services []ServiceLoad
}

// ServiceLoad is how long a new request of a service would wait at an entry.
type ServiceLoad struct {
	Service string
	Wait    time.Duration
}

// IntentStored tells how a StoreIntent ended.
type IntentStored struct {
	isEvent
	Intent Intent
	Host   string
	Failed bool
	// Conflict is set when the host knows the key from another holder.
	Conflict bool
}

// IntentHeard brings an intent that another entry wants kept; the answer is an
// IntentReply with the same Call.
type IntentHeard struct {
	isEvent
	Call   uint64
	Intent Intent
}

// RecallHeard brings another entry's query for all keys known here; the answer
// is a RecallReply with the same Call.
type RecallHeard struct {
	isEvent
	Call uint64
}

// Recalled brings the keys that a peer knows, or the news that it could not be asked.
type Recalled struct {
	isEvent
	Host   string
	Failed bool
	// Complete is set when the peer itself knows all keys.
	Complete bool
	Intents  []Intent
}

// Leave begins a planned stop: nothing new is admitted from now on.
type Leave struct{ isEvent }

// Effect is something that the core wants done outside.
type Effect interface{ effect() }

// isEffect marks effects.
type isEffect struct{}

func (isEffect) effect() {}

// Target is what a send goes to.
type Target int

// A send goes to a runner, to the home entry of the request's key, or to an
// entry of another domain.
const (
	ToRunner Target = iota
	ToHome
	ToDomain
)

// Send hands a request to a runner or another entry. The shell answers with
// Progress while bytes move and at last with exactly one of Answered, Refused
// and Failed, all with the same Send number.
type Send struct {
	isEffect
	ID      uint64
	Send    uint64
	Target  Target
	Attempt uint64
	Address string
	// Fresh asks for a new connection and for the idle ones to be closed.
	Fresh bool
	// NotAfter is the latest local time at which the first byte may leave.
	NotAfter time.Duration
	// CrossRegion is set when the bytes are billed.
	CrossRegion bool
	// Keep asks for the answer to be kept, for later requests with the same key.
	Keep bool
}

// GiveUp closes the connection of a send. The shell confirms with Failed, or
// with Answered where the answer was there already.
type GiveUp struct {
	isEffect
	ID   uint64
	Send uint64
}

// Finish ends a request towards its caller. A send still in flight goes on and
// its answer is dropped.
type Finish struct {
	isEffect
	ID     uint64
	Ending Ending
}

// StoreIntent asks another entry to keep an intent; how it went comes back as
// IntentStored.
type StoreIntent struct {
	isEffect
	Host    string
	Address string
	Intent  Intent
}

// Recall asks another entry for all the keys that it knows; the reply comes
// back as Recalled.
type Recall struct {
	isEffect
	Host    string
	Address string
}

// IntentReply answers an IntentHeard.
type IntentReply struct {
	isEffect
	Call     uint64
	Conflict bool
}

// RecallReply answers a RecallHeard.
type RecallReply struct {
	isEffect
	Call     uint64
	Complete bool
	Intents  []Intent
}

// DropAnswer lets a kept answer go.
type DropAnswer struct {
	isEffect
	ID uint64
}

// Intent is what entries keep of a non-idempotent request with a key.
type Intent struct {
	Key string
	// Holder is the incarnation of the home entry that took the request, and ID
	// the request's number there.
	Holder string
	ID     uint64
	State  KeyState
}

// KeyState is where the one run of a key stands.
type KeyState int

// A key is intended from before its request is sent. It ends answered or
// unknown, or is withdrawn when its request surely did not run.
const (
	KeyIntended KeyState = iota
	KeyAnswered
	KeyUnknown
	KeyWithdrawn
)

// Outcome is how a request ended.
type Outcome int

// The outcomes. NotRun is said only where no byte reached a runner or every
// runner that was reached refused before starting.
const (
	OutcomeAnswered Outcome = iota
	OutcomeNotRun
	OutcomeUnknown
)

// Ending is what a caller is told.
type Ending struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is when a request that did not run may come back.
	RetryAfter time.Duration
	// Replay names the request whose answer is this one's answer; 0 is its own.
	Replay uint64
}

// Reason tells why a request did not run, was retried, or has no known outcome.
type Reason string

// The reasons.
const (
	ReasonNone           Reason = ""
	ReasonNoService      Reason = "no-service"
	ReasonNoRunner       Reason = "no-runner"
	ReasonNoGrant        Reason = "no-grant"
	ReasonNoSlot         Reason = "no-slot"
	ReasonQueueFull      Reason = "queue-full"
	ReasonDisplaced      Reason = "displaced"
	ReasonDeadline       Reason = "deadline"
	ReasonExpectedWait   Reason = "expected-wait"
	ReasonLeaving        Reason = "entry-leaving"
	ReasonCallerLeft     Reason = "caller-left"
	ReasonRefused        Reason = "runner-refused"
	ReasonUnreachable    Reason = "runner-unreachable"
	ReasonLost           Reason = "connection-lost"
	ReasonSilent         Reason = "connection-silent"
	ReasonRetryBudget    Reason = "retry-budget"
	ReasonHomeUnknown    Reason = "home-unknown"
	ReasonHomeLost       Reason = "home-unreachable"
	ReasonNotHome        Reason = "not-home"
	ReasonKeysIncomplete Reason = "keys-incomplete"
	ReasonNoSecond       Reason = "no-second-entry"
	ReasonKeyUnknown     Reason = "key-unknown"
	ReasonAnswerNotKept  Reason = "answer-not-kept"
	ReasonKeyPending     Reason = "key-pending"
	ReasonTooManyKeys    Reason = "too-many-keys"
	ReasonDomainLost     Reason = "domain-unreachable"
	ReasonRemote         Reason = "other-entry"
	ReasonRunnerFailing  Reason = "runner-quarantined"
	ReasonExpectedLess   Reason = "shorter-wait-elsewhere"
)
