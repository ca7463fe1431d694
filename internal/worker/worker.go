// Package worker is the port to the machines that run tasks under leases, and
// to the service that tells which of them may run a step.
package worker

import (
	"context"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Info is a worker's entry in the platform's list.
type Info struct {
	ID      string
	Address string
	Pool    string
	Domain  string
	// Machine identifies the machine that the worker is one life of, if it is told.
	Machine  string
	Capacity workflow.Size
	// Labels are the worker's kind and its rack.
	Labels []string
	// Draining workers take no new work.
	Draining bool
	// Remaining is the least time that a draining worker has left; it is
	// meaningful only while RemainingKnown.
	Remaining      time.Duration
	RemainingKnown bool
	// Cold is how much longer the worker is slow after its start.
	Cold time.Duration
	// Born tells lives of the same ID apart, in Unix milliseconds; 0 is not told.
	Born int64
	// ClockMillis is the worker's steady clock when it wrote the entry.
	ClockMillis int64
}

// Rack returns the label that names the rack: the one that isn't the kind.
func (i *Info) Rack() string {
	if len(i.Labels) > 1 {
		return i.Labels[1]
	}
	return ""
}

// Code is how a worker answered an order.
type Code int

// The codes.
const (
	// OK: carried out, or already so.
	OK Code = iota
	// Unknown: no answer; the order may have been or may yet be carried out.
	Unknown
	// NotDone: the order surely never reached the worker, or it did nothing.
	NotDone
	// Fenced: a higher token has been seen there.
	Fenced
	// Old: that run, or a higher one, was stopped or has ended there.
	Old
	// Late: the order's deadline had passed.
	Late
	// NoRoom: the worker guards its capacity and has no room.
	NoRoom
	// NoTicket: the ticket is missing, expired or for another step.
	NoTicket
	// WrongLife: another life of the worker answered.
	WrongLife
	// Invalid: the worker could not read the order.
	Invalid
	// Absent: nothing listens at the worker's address.
	Absent
)

var codeNames = [...]string{"ok", "unknown", "not-done", "fenced", "old", "late", "no-room", "no-ticket", "wrong-life", "invalid", "absent"}

func (c Code) String() string { return codeNames[c] }

// Order is the common part of what is sent to a worker.
type Order struct {
	Worker  string
	Address string
	// Token is the sender's right; a worker does nothing for a lower one than it has seen.
	Token int64
}

// Start orders a worker to run a task.
type Start struct {
	Order
	Task workflow.TaskID
	Run  int64
	Spec string
	// DeadlineMillis is the lease's end on the worker's clock, and the latest
	// time at which the order counts.
	DeadlineMillis int64
	Checkpoint     string
	Ticket         string
}

// Stop orders a worker to end a run, or never to begin it.
type Stop struct {
	Order
	Task workflow.TaskID
	Run  int64
}

// Pace sets the share, in percent, at which a task works.
type Pace struct {
	Order
	Task    workflow.TaskID
	Run     int64
	Percent int
}

// Hold extends the lease of everything on a worker and asks for its lists.
type Hold struct {
	Order
	// DeadlineMillis of 0 extends nothing.
	DeadlineMillis int64
	// LastSeen is the number of the last end that is taken note of for good.
	LastSeen int64
	// Wait is how long the worker waits for an end before it answers.
	Wait time.Duration
}

// Running is a run that a worker lists.
type Running struct {
	Task       workflow.TaskID
	Run        int64
	Checkpoint string
	// Percent is how far the task is; a lasting task is at work at 100.
	Percent float64
	// Load is the tail latency in milliseconds of a serving task, the
	// thousandths of a core in use of any other; -1 when it isn't told.
	Load float64
}

// How tells how a run ended.
type How string

// The ways of ending.
const (
	Done    How = "done"
	Failed  How = "failed"
	Stopped How = "stopped"
	Lapsed  How = "lapsed"
	// Broken: another member of the gang ended.
	Broken How = "broken"
	// Alone: the other members of the gang didn't come in time.
	Alone How = "alone"
)

// End is an end that a worker lists.
type End struct {
	Number     int64
	Task       workflow.TaskID
	Run        int64
	How        How
	Checkpoint string
}

// Lists is a worker's answer to a hold.
type Lists struct {
	ClockMillis int64
	// Born tells lives of the worker apart; 0 is not told.
	Born    int64
	Running []Running
	Ends    []End
}

// Approval is one worker that may run a step, with the ticket that shows it.
type Approval struct{ Worker, Ticket string }

// Approvals is an answer of the policy service.
type Approvals struct {
	Approved []Approval
	// Validity is how long the tickets hold; 0 is not told.
	Validity time.Duration
}

// Client speaks to workers. Its methods may be called concurrently; each
// returns when the context ends at the latest.
type Client interface {
	// Start and Stop return the worker's clock in milliseconds, 0 if not told.
	Start(ctx context.Context, s Start) (Code, int64)
	Stop(ctx context.Context, s Stop) (Code, int64)
	Pace(ctx context.Context, p Pace) (Code, int64)
	// Hold returns the lists with OK, and nothing with any other code.
	Hold(ctx context.Context, h Hold) (Code, Lists)
}

// Adviser asks the policy service which of the workers may run a step. Its
// method may be called concurrently.
type Adviser interface {
	Advise(ctx context.Context, step workflow.StepID, workers []string) (Approvals, error)
}

// Machine is one entry of the platform's list of machines.
type Machine struct {
	Name     string
	Pool     string
	State    string
	Domain   string
	Labels   []string
	Capacity workflow.Size
	// Worker is the ID of the machine's worker, if it has one.
	Worker string
}

// The states of a machine.
const (
	MachineUp      = "up"
	MachineMoving  = "moving"
	MachineUpkeep  = "upkeep"
	MachineDown    = "down"
	MachineUnknown = ""
)

// Duty is a right to give orders for machines.
type Duty struct {
	Holder string
	Token  int64
}

// MachineCode is how an order for a machine was answered.
type MachineCode int

// The codes of orders for machines.
const (
	MachineOK MachineCode = iota
	// MachineUnanswered: the order may have been or may yet be carried out.
	MachineUnanswered
	// MachineRefused: nothing was done now; it may be tried again.
	MachineRefused
	// MachineFenced: a higher token has been seen for the machine.
	MachineFenced
	// MachineBusy: the machine isn't up.
	MachineBusy
	// MachineWrong: the order will never be carried out.
	MachineWrong
)

// Machines moves machines between pools and sends them into upkeep. Its
// methods may be called concurrently.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, d Duty, machine, pool string) MachineCode
	Upkeep(ctx context.Context, d Duty, machine string, wave int64) MachineCode
}

// Wave asks that each of its machines has its upkeep.
type Wave struct {
	Number   int64
	Machines []string
	// Duration is within what time the wave is to be completed.
	Duration time.Duration
	// Most bounds the machines that are down at once.
	Most int
}
