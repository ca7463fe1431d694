// Package job learns the resource usage and run time of a workload's tasks and
// detects workloads that can never run.
package job

import (
	"fmt"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// Profile holds the observed usage and run times of a workload's tasks. The zero
// value is a workload without observations.
type Profile struct {
	peakUsage   resource.Vector
	runs        int
	meanRunTime time.Duration
}

// minLearnedRuns is the number of completed runs from which on the mean run time
// takes precedence over the declared one.
const minLearnedRuns = 3

// newestRunDivisor sets the weight of the newest run in the mean run time: 1/4
// once there are that many runs.
const newestRunDivisor = 4

// defaultRunTime is the expected run time of finite work without a declared or
// learned one.
const defaultRunTime = 10 * time.Minute

// ObserveUsage records a task's reported usage. It reports whether the peak rose.
func (p *Profile) ObserveUsage(usage resource.Vector) bool {
	before := p.peakUsage
	p.peakUsage = p.peakUsage.Max(usage)
	return p.peakUsage != before
}

// ObserveRun records the run time of a task that succeeded.
func (p *Profile) ObserveRun(d time.Duration) {
	p.runs++
	if p.runs == 1 {
		p.meanRunTime = d
		return
	}
	p.meanRunTime += (d - p.meanRunTime) / time.Duration(min(p.runs, newestRunDivisor))
}

// Size returns the resources to reserve for a task: the larger of the declared
// size and the observed peak. The peak counts up to limit, the capacity of the
// largest worker.
func (p *Profile) Size(declared, limit resource.Vector) resource.Vector {
	want := declared.Max(p.peakUsage)
	within := resource.Vector{
		MilliCPU:     min(want.MilliCPU, limit.MilliCPU),
		MemoryMiB:    min(want.MemoryMiB, limit.MemoryMiB),
		Accelerators: min(want.Accelerators, limit.Accelerators),
	}
	return declared.Max(within)
}

// RunTime returns the expected run time of a task of finite work.
func (p *Profile) RunTime(declared time.Duration) time.Duration {
	switch {
	case p.runs >= minLearnedRuns:
		return p.meanRunTime
	case declared > 0:
		return declared
	}
	return defaultRunTime
}

// Remaining returns the expected remaining run time of a task that has run for
// the given time. A task that exceeds its estimate is assumed to be half done.
func (p *Profile) Remaining(declared, ran time.Duration) time.Duration {
	if left := p.RunTime(declared) - ran; left > 0 {
		return left
	}
	return ran
}

// Cause is the reason why a workload is refused.
type Cause string

// Causes of a refusal.
const (
	// TaskTooLarge: no worker of the home domain has the capacity for a single task.
	TaskTooLarge Cause = "impossible"
	// GangTooLarge: the home domain lacks the capacity for all tasks at once.
	GangTooLarge Cause = "gang-too-large"
	// GangSplit: the gang has more than one home domain.
	GangSplit Cause = "gang-split"
)

// Refusal is the error for a workload that can never run.
type Refusal struct {
	Workload string
	Domain   string
	Cause    Cause
	Detail   string
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("workload %s can never run in %s: %s", r.Workload, r.Domain, r.Detail)
}

// WorkerCapacities holds the capacities of the workers of a failure domain.
type WorkerCapacities struct {
	Domain string
	// Known holds the last reported capacity of each worker.
	Known []resource.Vector
	// Unknown counts the workers that have not reported their capacity yet. While
	// there are any, no workload is refused for its size.
	Unknown int
}

// CheckFeasibility returns a Refusal if the domain's part of the workload can
// never run, otherwise nil.
func CheckFeasibility(w *configuration.Workload, capacities WorkerCapacities) *Refusal {
	refuse := func(c Cause, format string, args ...any) *Refusal {
		return &Refusal{Workload: w.Name, Domain: capacities.Domain, Cause: c, Detail: fmt.Sprintf(format, args...)}
	}
	localTasks, homeDomains := 0, 0
	for _, h := range w.Homes {
		if h.Count > 0 {
			homeDomains++
		}
		if h.Domain == capacities.Domain {
			localTasks += h.Count
		}
	}
	if w.Kind == configuration.Gang && homeDomains > 1 {
		return refuse(GangSplit, "a gang has one home domain, not %d", homeDomains)
	}
	if localTasks == 0 || capacities.Unknown > 0 {
		return nil
	}
	slots := 0
	for _, c := range capacities.Known {
		slots += Slots(w.Size, c, localTasks)
	}
	switch {
	case slots == 0:
		return refuse(TaskTooLarge, "no worker holds %v", w.Size)
	case w.Kind == configuration.Gang && slots < localTasks:
		return refuse(GangTooLarge, "room for %d of %d tasks at once", slots, localTasks)
	}
	return nil
}

// Slots returns how many tasks of the given size fit into free, up to limit.
func Slots(size, free resource.Vector, limit int) int {
	n := int64(limit)
	for _, r := range [...][2]int64{{size.MilliCPU, free.MilliCPU}, {size.MemoryMiB, free.MemoryMiB}, {size.Accelerators, free.Accelerators}} {
		if r[0] > 0 {
			n = min(n, max(r[1], 0)/r[0])
		}
	}
	return int(n)
}
