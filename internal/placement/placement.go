// Package placement selects workers for tasks. It works on a view of the workers'
// free capacity and has no network or storage access.
package placement

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// Node is a worker as placement sees it.
type Node struct {
	Name     string
	Rack     string
	Capacity resource.Vector
	// Free is the capacity not used by live tasks or assumed starts.
	Free resource.Vector
	// Tasks counts the live and assumed tasks by workload.
	Tasks map[string]int
	// Unconfirmed counts the starts that the worker has not reported yet.
	Unconfirmed int
	// Blocked is why the worker accepts no tasks; empty when it does.
	Blocked Reason
	// ProbeOnly admits one task at a time, and only expendable ones.
	ProbeOnly bool
	// ProbeByAny admits any task as the probe, since no expendable one has come.
	ProbeByAny bool
	// Held is capacity, free now or soon, that is kept for the workload HeldFor.
	Held    resource.Vector
	HeldFor string
	// ReservedFor is the workload whose reservation includes the node from
	// ReservedFrom on. FreeBesideReservation is the capacity free from then on
	// beside the reservation.
	ReservedFor           string
	ReservedFrom          time.Duration
	FreeBesideReservation resource.Vector
	guard                 *AcceleratorGuard
}

// AcceleratorGuard prevents work without accelerators from taking the CPU and
// memory that accelerator work needs to use free accelerators.
type AcceleratorGuard struct {
	// PerAccelerator is the CPU and memory that accelerator work needs for each
	// accelerator.
	PerAccelerator resource.Vector
}

// Request is one task to be placed.
type Request struct {
	Task     string
	Workload *configuration.Workload
	// Size is what the task takes: the larger of its declared and observed size.
	Size resource.Vector
	// ExpectedEnd is when the task is expected to end if it starts now.
	ExpectedEnd time.Duration
	// Racks counts the workload's tasks by rack; nil if they need not be spread.
	Racks map[string]int
	// ConfirmedOnly excludes workers whose newest starts are not confirmed.
	ConfirmedOnly bool
	// Urgent requests ignore reservations.
	Urgent bool
	// Expendable tasks may be used to probe a quarantined worker.
	Expendable bool
}

// Reason is why a worker can't take a task, or why no worker is tried.
type Reason string

// Reasons.
const (
	NotOwned     Reason = "not-owned"
	Draining     Reason = "draining"
	Leaving      Reason = "leaving"
	Quarantined  Reason = "quarantined"
	CPU          Reason = "cpu"
	Memory       Reason = "memory"
	Accelerators Reason = "accelerators"
	// AcceleratorsKept: the worker's free accelerators need the resources that
	// the task would take.
	AcceleratorsKept Reason = "accelerators-kept"
	// Unconfirmed: work with the careful policy waits until the worker has
	// reported its newest starts.
	Unconfirmed Reason = "unconfirmed"
	// Held: the capacity is kept for work for which other tasks were preempted.
	Held Reason = "held"
	// Reserved: the task would delay the start of work that holds a reservation.
	Reserved Reason = "reserved"
	// Quota: the team's quota in this domain is used up.
	Quota Reason = "quota"
	// Impossible: no worker of the domain could ever hold the task.
	Impossible Reason = "impossible"
	// GangTooLarge: the domain could never hold all tasks of the gang at once.
	GangTooLarge Reason = "gang-too-large"
	// GangSplit: a gang must have exactly one home domain.
	GangSplit Reason = "gang-split"
	// GangWaits: the gang's other tasks can't start yet.
	GangWaits Reason = "gang-waits"
)

// FitError holds the reason of each worker that refused a task.
type FitError struct {
	Task    string
	Reasons map[string]Reason
}

func (e *FitError) Error() string { return "no worker fits task " + e.Task }

// Feasible returns why the node can't take the request, or an empty reason. Every
// placement passes this check.
func Feasible(r *Request, n *Node) Reason {
	if n.Blocked != "" {
		return n.Blocked
	}
	if why := insufficientResource(r.Size, n.Free); why != "" {
		return why
	}
	switch {
	case n.ProbeOnly && !n.ProbeByAny && !r.Expendable:
		return Quarantined
	case r.ConfirmedOnly && n.Unconfirmed > 0:
		return Unconfirmed
	case n.HeldFor != "" && n.HeldFor != r.Workload.Name && !r.Size.Fits(n.Free.Sub(n.Held)):
		return Held
	case !r.Urgent && n.ReservedFor != "" && n.ReservedFor != r.Workload.Name && r.ExpectedEnd > n.ReservedFrom && !r.Size.Fits(n.FreeBesideReservation):
		return Reserved
	case r.Size.Accelerators == 0 && n.Capacity.Accelerators > 0 && n.HeldFor != r.Workload.Name && n.strandsAccelerators(r.Size):
		return AcceleratorsKept
	}
	return ""
}

// insufficientResource returns the first resource of which too little is free.
func insufficientResource(size, free resource.Vector) Reason {
	switch {
	case size.MilliCPU > free.MilliCPU:
		return CPU
	case size.MemoryMiB > free.MemoryMiB:
		return Memory
	case size.Accelerators > free.Accelerators:
		return Accelerators
	}
	return ""
}

// Usable returns how much of the free capacity a task of the given size may use.
// Work without accelerators must leave what the free accelerators need.
func (n *Node) Usable(size, free resource.Vector) resource.Vector {
	if n.guard == nil || size.Accelerators > 0 || free.Accelerators <= 0 {
		return free
	}
	return free.Sub(n.guard.PerAccelerator.Scale(free.Accelerators))
}

// strandsAccelerators reports whether work without accelerators would take what
// the node's free accelerators need.
func (n *Node) strandsAccelerators(size resource.Vector) bool {
	left := n.Usable(size, n.Free)
	return size.MilliCPU > left.MilliCPU || size.MemoryMiB > left.MemoryMiB
}
