// Package worker defines the interfaces to the workers, which run tasks under
// leases, to the policy service, which decides which workers may run a step, and
// to the platform's machine management.
package worker

import (
	"context"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Info describes a worker as the platform lists it.
type Info struct {
	ID      string
	Address string
	Pool    string
	Domain  string
	// Machine identifies the machine that the worker is one incarnation of; empty if not reported.
	Machine  string
	Capacity workflow.Size
	// Labels hold the worker's kind and its rack, in this order.
	Labels []string
	// Draining workers take no new work.
	Draining bool
	// Remaining is the minimum time until a draining worker goes away. It is
	// valid only if RemainingKnown is set.
	Remaining      time.Duration
	RemainingKnown bool
	// Cold is the remaining time for which the worker runs slowly after its start.
	Cold time.Duration
	// Born is the start time in Unix milliseconds; it distinguishes incarnations of
	// the same ID. 0 means not reported.
	Born int64
	// ClockMillis is the worker's monotonic clock when it wrote the entry.
	ClockMillis int64
}

// Rack returns the rack label, which follows the kind, or "" if there is none.
func (i *Info) Rack() string {
	if len(i.Labels) > 1 {
		return i.Labels[1]
	}
	return ""
}

// Code is the result of an order to a worker.
type Code int

// Results of orders to workers.
const (
	// OK: the order was executed, now or earlier.
	OK Code = iota
	// Unknown: no answer came; the order may have been executed or may still be.
	Unknown
	// NotExecuted: the order is known not to have reached the worker, or the worker
	// did nothing.
	NotExecuted
	// Fenced: the worker has seen a higher token.
	Fenced
	// StaleRun: this run, or one with a higher number, was stopped or has ended on
	// the worker.
	StaleRun
	// DeadlineExceeded: the order arrived after its deadline.
	DeadlineExceeded
	// InsufficientCapacity: the worker enforces its capacity and has too little left.
	InsufficientCapacity
	// InvalidTicket: the ticket is missing, expired or for another step.
	InvalidTicket
	// WrongIncarnation: another incarnation of the worker answered.
	WrongIncarnation
	// Invalid: the worker could not parse the order.
	Invalid
	// ConnectionRefused: no connection was made. Nothing listens at the worker's address,
	// or something in between refused it.
	ConnectionRefused
	// ConnectionsExhausted: the worker accepts no further connection. The order was not sent;
	// a heartbeat may have been.
	ConnectionsExhausted
)

var codeNames = [...]string{"ok", "unknown", "not-done", "fenced", "old", "late", "no-room", "no-ticket", "wrong-life", "invalid", "absent", "no-connection"}

// FromWorker reports whether the worker has answered.
func (c Code) FromWorker() bool {
	switch c {
	case Unknown, NotExecuted, ConnectionRefused, ConnectionsExhausted:
		return false
	}
	return true
}

func (c Code) String() string { return codeNames[c] }

// Order holds the fields common to all requests to a worker.
type Order struct {
	Worker  string
	Address string
	// Token is the sender's fencing token. A worker ignores orders with a lower
	// token than it has seen.
	Token int64
	// MaxConnections bounds the sender's connections to the worker; 0 stands for the least
	// number that it needs.
	MaxConnections int
}

// Start orders a worker to run a task.
type Start struct {
	Order
	Task workflow.TaskID
	Run  int64
	Spec string
	// DeadlineMillis is the end of the lease on the worker's clock. The worker
	// rejects the order after this time.
	DeadlineMillis int64
	Checkpoint     string
	Ticket         string
}

// Stop orders a worker to end a run, or not to begin it if it hasn't yet.
type Stop struct {
	Order
	Task workflow.TaskID
	Run  int64
}

// Throttle sets the speed of a task in percent of full speed.
type Throttle struct {
	Order
	Task    workflow.TaskID
	Run     int64
	Percent int
}

// Heartbeat extends the leases of all runs on a worker and requests its active
// and ended runs.
type Heartbeat struct {
	Order
	// DeadlineMillis is the new end of the leases on the worker's clock; 0 extends
	// nothing.
	DeadlineMillis int64
	// LastAckedEnd is the number of the last ended run that is durably recorded.
	LastAckedEnd int64
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// ActiveRun is a run in progress, as the worker reports it.
type ActiveRun struct {
	Task       workflow.TaskID
	Run        int64
	Checkpoint string
	// Percent is the task's progress. A long-running task reports 100 while it works.
	Percent float64
	// Load is the tail latency in milliseconds for a serving task, and the CPU use
	// in thousandths of a core for any other; -1 means not reported.
	Load float64
}

// ExitStatus says how a run ended.
type ExitStatus string

// Exit statuses.
const (
	Done         ExitStatus = "done"
	Failed       ExitStatus = "failed"
	Stopped      ExitStatus = "stopped"
	LeaseExpired ExitStatus = "lapsed"
	// GangBroken: another member of the gang ended.
	GangBroken ExitStatus = "broken"
	// GangTimeout: the other members of the gang did not arrive in time.
	GangTimeout ExitStatus = "alone"
)

// EndedRun is a run that has ended, as the worker reports it. Number counts the
// worker's ended runs.
type EndedRun struct {
	Number     int64
	Task       workflow.TaskID
	Run        int64
	How        ExitStatus
	Checkpoint string
}

// HeartbeatResponse is a worker's answer to a Heartbeat.
type HeartbeatResponse struct {
	ClockMillis int64
	// Born distinguishes incarnations of the worker; 0 means not reported.
	Born    int64
	Running []ActiveRun
	Ended   []EndedRun
	// Incomplete is set if some rows of the lists could not be read, so that a run
	// that is in neither list may still be there.
	Incomplete bool
}

// Approval names a worker that may run a step and holds the ticket that proves it.
type Approval struct{ Worker, Ticket string }

// Approvals is a response of the policy service.
type Approvals struct {
	Approved []Approval
	// Validity is how long the tickets are valid; 0 means not reported.
	Validity time.Duration
}

// Client sends requests to workers. Its methods may be called concurrently; each
// returns no later than the end of its context.
type Client interface {
	// Start and Stop return the worker's clock in milliseconds, 0 if not reported.
	Start(ctx context.Context, s Start) (Code, int64)
	Stop(ctx context.Context, s Stop) (Code, int64)
	Throttle(ctx context.Context, p Throttle) (Code, int64)
	// Heartbeat returns a response only with OK.
	Heartbeat(ctx context.Context, h Heartbeat) (Code, HeartbeatResponse)
	// CloseIdleConnections closes the connections that carry no call.
	CloseIdleConnections()
}

// PolicyClient asks the policy service which of the given workers may run a
// step. Its method may be called concurrently.
type PolicyClient interface {
	ApproveWorkers(ctx context.Context, step workflow.StepID, workers []string) (Approvals, error)
}

// Machine describes a machine as the platform lists it.
type Machine struct {
	Name     string
	Pool     string
	State    string
	Domain   string
	Labels   []string
	Capacity workflow.Size
	// Worker is the ID of the machine's worker, empty if it has none.
	Worker string
}

// Machine states.
const (
	MachineUp          = "up"
	MachineMoving      = "moving"
	MachineMaintenance = "upkeep"
	MachineDown        = "down"
	MachineUnknown     = ""
)

// MachineLease identifies the leader that gives orders for machines and its
// fencing token.
type MachineLease struct {
	Holder string
	Token  int64
}

// MachineCode is the result of an order for a machine.
type MachineCode int

// Results of orders for machines.
const (
	MachineOK MachineCode = iota
	// MachineUnanswered: the order may have been executed or may still be.
	MachineUnanswered
	// MachineRefused: nothing was done; the order may be retried.
	MachineRefused
	// MachineFenced: the platform has seen a higher token for the machine.
	MachineFenced
	// MachineBusy: the machine is not up.
	MachineBusy
	// MachineInvalid: the order will never be executed; a retry is useless.
	MachineInvalid
)

// MachineClient lists machines, moves them between pools and takes them down for
// maintenance. Its methods may be called concurrently.
type MachineClient interface {
	List(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, d MachineLease, machine, pool string) MachineCode
	StartMaintenance(ctx context.Context, d MachineLease, machine string, wave int64) MachineCode
}

// MaintenanceWave requests maintenance of each of its machines.
type MaintenanceWave struct {
	Number   int64
	Machines []string
	// Duration is the time within which the wave should be completed.
	Duration time.Duration
	// MaxUnavailable bounds the number of machines that are down at the same time.
	MaxUnavailable int
}
