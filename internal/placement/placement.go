// Package placement chooses workers for tasks. It reads a view of the workers'
// free capacity and knows neither network nor storage.
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
	// Free is the capacity that neither live tasks nor assumed starts hold.
	Free resource.Vector
	// Tasks counts the live and assumed tasks by workload.
	Tasks map[string]int
	// Unconfirmed counts the starts that the worker has not shown yet.
	Unconfirmed int
	// Blocked is why the worker takes nothing now; empty when it does.
	Blocked Reason
	// Probe lets through one task at a time that may be lost without harm.
	Probe bool
	// Held is free or soon to be free, and kept for the workload HeldFor.
	Held    resource.Vector
	HeldFor string
	// ReservedFor is the workload whose reservation includes the node from
	// ReservedFrom on. Later is what is free from then on beside the reservation.
	ReservedFor  string
	ReservedFrom time.Duration
	Later        resource.Vector
	guard        *Guard
}

// Guard protects accelerators from being stranded by work that needs none.
type Guard struct {
	// PerAccelerator is what accelerator work takes beside one accelerator.
	PerAccelerator resource.Vector
}

// Request is one task to be placed.
type Request struct {
	Task     string
	Workload *configuration.Workload
	// Size is what the task takes: the larger of declared and observed.
	Size resource.Vector
	// Ends is the expected end if the task starts now.
	Ends time.Duration
	// Racks counts the workload's tasks by rack; nil when they need not spread.
	Racks map[string]int
	// Confirmed keeps off workers whose newest starts are not confirmed.
	Confirmed bool
	// Urgent work passes over reservations.
	Urgent bool
	// Expendable marks a task that may probe a worker under quarantine.
	Expendable bool
}

// Reason tells why a worker can't take a task, or why no worker is tried.
type Reason string

// The reasons.
const (
	NotOwned     Reason = "not-owned"
	Draining     Reason = "draining"
	Leaving      Reason = "leaving"
	Quarantined  Reason = "quarantined"
	CPU          Reason = "cpu"
	Memory       Reason = "memory"
	Accelerators Reason = "accelerators"
	// AcceleratorsKept: the worker's free accelerators need what the task would take.
	AcceleratorsKept Reason = "accelerators-kept"
	// Unconfirmed: careful work waits until the worker has shown its newest starts.
	Unconfirmed Reason = "unconfirmed"
	// Held: the room is kept for work that others were stopped for.
	Held Reason = "held"
	// Reserved: the task would delay the start of work that waits for much room.
	Reserved Reason = "reserved"
	// Quota: the team's quota in this domain is used up.
	Quota Reason = "quota"
	// Impossible: no worker of the domain could ever hold the task.
	Impossible Reason = "impossible"
	// GangTooLarge: the domain could never hold all tasks of the gang at once.
	GangTooLarge Reason = "gang-too-large"
	// GangSplit: a gang must have one home domain.
	GangSplit Reason = "gang-split"
	// GangWaits: the gang's other tasks can't start yet.
	GangWaits Reason = "gang-waits"
)

// FitError carries the reason of every worker that refused a task.
type FitError struct {
	Task    string
	Reasons map[string]Reason
}

func (e *FitError) Error() string { return "no worker fits task " + e.Task }

// Feasible returns why the node can't take the request, or nothing. Every
// placement passes it.
func Feasible(r *Request, n *Node) Reason {
	if n.Blocked != "" {
		return n.Blocked
	}
	if why := shortOf(r.Size, n.Free); why != "" {
		return why
	}
	switch {
	case n.Probe && !r.Expendable:
		return Quarantined
	case r.Confirmed && n.Unconfirmed > 0:
		return Unconfirmed
	case n.HeldFor != "" && n.HeldFor != r.Workload.Name && !r.Size.Fits(n.Free.Sub(n.Held)):
		return Held
	case !r.Urgent && n.ReservedFor != "" && n.ReservedFor != r.Workload.Name && r.Ends > n.ReservedFrom && !r.Size.Fits(n.Later):
		return Reserved
	case r.Size.Accelerators == 0 && n.Capacity.Accelerators > 0 && n.HeldFor != r.Workload.Name && n.strands(r.Size):
		return AcceleratorsKept
	}
	return ""
}

// shortOf returns the first resource of which there is too little.
func shortOf(size, free resource.Vector) Reason {
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

// Usable returns what of the given free capacity a task of the given size may
// take: work without accelerators leaves what the free ones need.
func (n *Node) Usable(size, free resource.Vector) resource.Vector {
	if n.guard == nil || size.Accelerators > 0 || free.Accelerators <= 0 {
		return free
	}
	return free.Sub(n.guard.PerAccelerator.Scale(free.Accelerators))
}

// strands reports whether work that needs no accelerator would take what the
// node's free accelerators need.
func (n *Node) strands(size resource.Vector) bool {
	left := n.Usable(size, n.Free)
	return size.MilliCPU > left.MilliCPU || size.MemoryMiB > left.MemoryMiB
}
