package scheduler

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/tenure"
)

// Event is something that happened outside the core.
type Event interface{ event() }

// isEvent marks events.
type isEvent struct{}

func (isEvent) event() {}

// Tick lets time pass.
type Tick struct{ isEvent }

// LogRead brings records of the platform's log, read there or relayed by a peer.
type LogRead struct {
	isEvent
	// First is the offset of the oldest record that the log still has.
	First   int64
	Records []configuration.Numbered
	// State is a peer's whole state, for a scheduler that has none; or nil.
	State *configuration.Catalog
}

// HostsRead brings the platform's list of hosts, which lags.
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
	// Machine identifies the machine behind the name to all schedulers, whose
	// addresses for it may differ. Without it the address does.
	Machine string `json:",omitempty"`
}

// WriteReplied brings a worker's answer to a write.
type WriteReplied struct {
	isEvent
	Worker string
	Reply  ownership.Reply
	// Unchanged means that Tasks and Capacity are as last told.
	Unchanged bool
	Digest    uint64
	Tasks     []ObservedTask
	Capacity  resource.Vector
}

// TaskState is the state of a task on a worker.
type TaskState int

// The states, in the order of the platform's protocol.
const (
	Running TaskState = iota
	Succeeded
	Failed
	Stopped
	Lapsed
	Checkpointed
)

// ObservedTask is a task as a worker reports it.
type ObservedTask struct {
	Task    string
	Attempt uint64
	Size    resource.Vector
	// Expiry of the lease, in the worker's clock.
	Expiry  time.Duration
	State   TaskState
	Address string
	// Usage lags behind the truth.
	Usage      resource.Vector
	Checkpoint uint64
	Throttled  bool
}

// WriteFailed tells that a write got no reply; it may still take effect.
type WriteFailed struct {
	isEvent
	Worker string
	Write  uint64
}

// TenureRead brings records of the domain's tenure partition, those without
// news included.
type TenureRead struct {
	isEvent
	// First is the offset of the oldest record that the partition still has,
	// and End that of the next one to come.
	First, End int64
	// Offsets are those of the records.
	Offsets []int64
	Records []tenure.Record
}

// TenureUnread tells that the tenure partition could not be read.
type TenureUnread struct{ isEvent }

// TenureAppended tells how the append of a record to the tenure partition
// ended. A failed append may have taken effect.
type TenureAppended struct {
	isEvent
	Record tenure.Record
	Offset int64
	Failed bool
	// Took is how long the answer took.
	Took time.Duration
}

// AppendDone tells how an append ended. A failed append may have taken effect.
type AppendDone struct {
	isEvent
	ID     string
	Failed bool
}

// SlotsIdle brings the leaving runners of which no entry can fill a slot any
// more, as worked out in the term that began at Began with the directory of
// the given version.
type SlotsIdle struct {
	isEvent
	Began   time.Duration
	Version int64
	// Attempts are in order.
	Attempts []uint64
}

// Leave begins a planned stop: the core gives up its tenure.
type Leave struct{ isEvent }

// Effect is something that the core wants done outside.
type Effect interface{ effect() }

// isEffect marks effects.
type isEffect struct{}

func (isEffect) effect() {}

// WriteWorker sends one write to a worker; its reply comes back as
// WriteReplied, and its loss as WriteFailed, with the same number.
type WriteWorker struct {
	isEffect
	Worker  string
	Address string
	// Token is that of the sender's tenure. A worker that has seen a higher one
	// only answers.
	Token int64
	Write uint64
	// Boot is the worker's time of the start that the write is meant for. A
	// worker that started at another time only answers it; 0 names none.
	Boot time.Duration
	// RenewExpiry extends the leases of the worker's live tasks; 0 leaves them.
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
	// Expiry is the first lease's end and the latest time at which the start
	// counts. Invariant: based on a reading of the worker's clock.
	Expiry     time.Duration
	Service    string
	RunMillis  int64
	Checkpoint uint64
}

// OrderKind is what a worker is told to do with a running task.
type OrderKind int

// The orders, in the order of the platform's protocol.
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
	// ValidUntil is the latest worker time at which the order counts.
	ValidUntil time.Duration
}

// AppendRecord appends to the platform's log; the end comes back as AppendDone.
type AppendRecord struct {
	isEffect
	Record configuration.Record
}

// AppendTenure appends to the domain's tenure partition if it ends at End, or
// in any case if End is negative; the end comes back as TenureAppended.
type AppendTenure struct {
	isEffect
	Record tenure.Record
	End    int64
}
