package scheduler

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/tenure"
)

// Event is an input to the core.
type Event interface{ event() }

// isEvent marks events.
type isEvent struct{}

func (isEvent) event() {}

// Tick advances time.
type Tick struct{ isEvent }

// LogRead carries records of the platform's log, read there or relayed by a peer.
type LogRead struct {
	isEvent
	// First is the offset of the oldest record that the log still has.
	First   int64
	Records []configuration.Numbered
	// State is a peer's full configuration, for a scheduler that has none, or
	// nil.
	State *configuration.Catalog
}

// HostsRead carries the platform's list of hosts, which lags behind reality.
type HostsRead struct {
	isEvent
	Hosts []Host
}

// Host is one entry of the platform's list.
type Host struct {
	Name    string
	Domain  string
	Rack    string
	Address string
	Leaving bool
	Entry   bool
	// Machine identifies the machine behind the name consistently across
	// schedulers, whose addresses for it may differ. If it is empty, the address
	// identifies the machine.
	Machine string `json:",omitempty"`
}

// WriteReplied carries a worker's reply to a write.
type WriteReplied struct {
	isEvent
	Worker string
	Reply  ownership.Reply
	// Unchanged means that Tasks and Capacity are as last reported.
	Unchanged bool
	Digest    uint64
	Tasks     []ObservedTask
	Capacity  resource.Vector
}

// TaskState is the state of a task on a worker.
type TaskState int

// Task states, in the order of the platform's protocol.
const (
	Running TaskState = iota
	Succeeded
	Failed
	Stopped
	Lapsed
	Checkpointed
)

// ObservedTask is a task as reported by a worker.
type ObservedTask struct {
	Task    string
	Attempt uint64
	Size    resource.Vector
	// Expiry of the lease, in the worker's clock.
	Expiry  time.Duration
	State   TaskState
	Address string
	// Usage lags behind the actual usage.
	Usage      resource.Vector
	Checkpoint uint64
	Throttled  bool
}

// WriteFailed reports that a write got no reply. The write may still take effect.
type WriteFailed struct {
	isEvent
	Worker string
	Write  uint64
}

// TenureRead carries records of the domain's tenure partition, including those
// that change nothing.
type TenureRead struct {
	isEvent
	// First is the offset of the oldest record that the partition still has, and
	// End the offset of the next record to be appended.
	First, End int64
	// Offsets holds the offsets of Records.
	Offsets []int64
	Records []tenure.Record
}

// TenureUnread reports that the tenure partition could not be read.
type TenureUnread struct{ isEvent }

// TenureAppended reports the result of appending a record to the tenure
// partition. A failed append may have taken effect.
type TenureAppended struct {
	isEvent
	Record tenure.Record
	Offset int64
	Failed bool
	// Took is how long the answer took.
	Took time.Duration
}

// AppendDone reports the result of an append. A failed append may have taken
// effect.
type AppendDone struct {
	isEvent
	ID     string
	Failed bool
}

// SlotsIdle lists the leaving runners whose slots no entry can fill any more, as
// computed in the term that began at Began from the directory of the given
// version.
type SlotsIdle struct {
	isEvent
	Began   time.Duration
	Version int64
	// Attempts is sorted.
	Attempts []uint64
}

// Leave starts a planned stop: the core gives up leadership.
type Leave struct{ isEvent }

// Effect is an action that the core wants carried out.
type Effect interface{ effect() }

// isEffect marks effects.
type isEffect struct{}

func (isEffect) effect() {}

// WriteWorker sends one write to a worker. The reply comes back as WriteReplied,
// or its loss as WriteFailed, with the same number.
type WriteWorker struct {
	isEffect
	Worker  string
	Address string
	// Token is the token of the sender's leadership. A worker that has seen a
	// higher one only answers.
	Token int64
	Write uint64
	// Boot is the worker start, by the worker's clock, that the write is meant
	// for. A worker that started at another time only answers. 0 matches any
	// start.
	Boot time.Duration
	// RenewExpiry extends the leases of the worker's live tasks; 0 leaves them
	// unchanged.
	RenewExpiry time.Duration
	Starts      []Start
	Orders      []Order
	Forget      []uint64
	Digest      uint64
}

// Start orders a worker to run a task.
type Start struct {
	Task    string
	Attempt uint64
	Size    resource.Vector
	// Expiry is the first lease's expiry and the latest time at which the start
	// takes effect. Invariant: based on a reading of the worker's clock.
	Expiry     time.Duration
	Service    string
	RunMillis  int64
	Checkpoint uint64
}

// OrderKind is the kind of change to a running task.
type OrderKind int

// Order kinds, in the order of the platform's protocol.
const (
	Stop OrderKind = iota
	Checkpoint
	Throttle
	Resume
)

// Order tells a worker to change a running task.
type Order struct {
	Kind    OrderKind
	Task    string
	Attempt uint64
	// ValidUntil is the latest time, in the worker's clock, at which the order
	// takes effect.
	ValidUntil time.Duration
}

// AppendRecord appends to the platform's log. The result comes back as
// AppendDone.
type AppendRecord struct {
	isEffect
	Record configuration.Record
}

// AppendTenure appends to the domain's tenure partition if the partition ends at
// End, or unconditionally if End is negative. The result comes back as
// TenureAppended.
type AppendTenure struct {
	isEffect
	Record tenure.Record
	End    int64
}
