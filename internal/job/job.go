// Package job holds what is known of a workload's tasks beyond their
// declaration, and tells which jobs could never run.
package job

import (
	"fmt"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// Profile is what was learned of a workload's tasks. The zero value has
// learned nothing.
type Profile struct {
	peak resource.Vector
	runs int
	mean time.Duration
}

// learnedRuns is the number of ends from which on run times are trusted more
// than the declaration.
const learnedRuns = 3

// newestWeight is the weight of the newest run in the mean run time, as a divisor.
const newestWeight = 4

// assumedRun is the run time of finite work of which nothing is known.
const assumedRun = 10 * time.Minute

// Uses takes note of a task's reported use. It reports whether the peak rose.
func (p *Profile) Uses(usage resource.Vector) bool {
	before := p.peak
	p.peak = p.peak.Max(usage)
	return p.peak != before
}

// Ran takes note of a task that succeeded after the given time.
func (p *Profile) Ran(d time.Duration) {
	p.runs++
	if p.runs == 1 {
		p.mean = d
		return
	}
	p.mean += (d - p.mean) / time.Duration(min(p.runs, newestWeight))
}

// Size returns what a task takes: the larger of declared and observed, within
// the limit, which is the largest worker's capacity.
func (p *Profile) Size(declared, limit resource.Vector) resource.Vector {
	want := declared.Max(p.peak)
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
	case p.runs >= learnedRuns:
		return p.mean
	case declared > 0:
		return declared
	}
	return assumedRun
}

// Remaining returns how long a task that has run for the given time is
// expected to go on. One that has outrun its estimate is taken to be half done.
func (p *Profile) Remaining(declared, ran time.Duration) time.Duration {
	if left := p.RunTime(declared) - ran; left > 0 {
		return left
	}
	return ran
}

// Cause tells why a job is refused.
type Cause string

// The causes.
const (
	// TaskTooLarge: no worker of the home domain could ever hold one task.
	TaskTooLarge Cause = "impossible"
	// GangTooLarge: the home domain could never hold all tasks at once.
	GangTooLarge Cause = "gang-too-large"
	// GangSplit: a gang must have one home domain.
	GangSplit Cause = "gang-split"
)

// Refusal tells that a job could never run, and why.
type Refusal struct {
	Workload string
	Domain   string
	Cause    Cause
	Detail   string
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("workload %s can never run in %s: %s", r.Workload, r.Domain, r.Detail)
}

// Shapes are the capacities of a domain's workers.
type Shapes struct {
	Domain string
	// Known holds the workers' capacities as last told.
	Known []resource.Vector
	// Unknown counts workers whose capacity was not told yet; nothing is
	// refused for want of size while there are any.
	Unknown int
}

// Refuse returns why the domain's part of the workload could never run, or nil.
func Refuse(w *configuration.Workload, s Shapes) *Refusal {
	refuse := func(c Cause, format string, args ...any) *Refusal {
		return &Refusal{Workload: w.Name, Domain: s.Domain, Cause: c, Detail: fmt.Sprintf(format, args...)}
	}
	here, homes := 0, 0
	for _, h := range w.Homes {
		if h.Count > 0 {
			homes++
		}
		if h.Domain == s.Domain {
			here += h.Count
		}
	}
	if w.Kind == configuration.Gang && homes > 1 {
		return refuse(GangSplit, "a gang has one home domain, not %d", homes)
	}
	if here == 0 || s.Unknown > 0 {
		return nil
	}
	most := 0
	for _, c := range s.Known {
		most += Slots(w.Size, c, here)
	}
	switch {
	case most == 0:
		return refuse(TaskTooLarge, "no worker holds %v", w.Size)
	case w.Kind == configuration.Gang && most < here:
		return refuse(GangTooLarge, "room for %d of %d tasks at once", most, here)
	}
	return nil
}

// Slots returns how many tasks of the given size fit into free, up to most.
func Slots(size, free resource.Vector, most int) int {
	n := int64(most)
	for _, r := range [...][2]int64{{size.MilliCPU, free.MilliCPU}, {size.MemoryMiB, free.MemoryMiB}, {size.Accelerators, free.Accelerators}} {
		if r[0] > 0 {
			n = min(n, max(r[1], 0)/r[0])
		}
	}
	return int(n)
}
