package job_test

import (
	"testing"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/job"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// TestCheckFeasibility checks that only workloads that can never run are refused,
// and that nothing is refused for its size while a worker's capacity is unknown.
func TestCheckFeasibility(t *testing.T) {
	known := []resource.Vector{{MilliCPU: 4000, MemoryMiB: 100}, {MilliCPU: 2000, MemoryMiB: 400}}
	for name, c := range map[string]struct {
		kind    configuration.WorkloadKind
		size    resource.Vector
		unknown int
		homes   []configuration.Home
		want    job.Cause
	}{
		"fits":                    {configuration.Batch, resource.Vector{MilliCPU: 4000}, 0, []configuration.Home{{Domain: "d", Count: 9}}, ""},
		"no worker has both":      {configuration.Batch, resource.Vector{MilliCPU: 4000, MemoryMiB: 400}, 0, []configuration.Home{{Domain: "d", Count: 1}}, job.TaskTooLarge},
		"an unknown worker might": {configuration.Batch, resource.Vector{MilliCPU: 9000}, 1, []configuration.Home{{Domain: "d", Count: 1}}, ""},
		"no home in this domain":  {configuration.Batch, resource.Vector{MilliCPU: 9000}, 0, []configuration.Home{{Domain: "e", Count: 1}}, ""},
		"gang too large":          {configuration.Gang, resource.Vector{MilliCPU: 1000}, 0, []configuration.Home{{Domain: "d", Count: 7}}, job.GangTooLarge},
		"gang split":              {configuration.Gang, resource.Vector{MilliCPU: 1000}, 1, []configuration.Home{{Domain: "d", Count: 1}, {Domain: "e", Count: 1}}, job.GangSplit},
	} {
		r := job.CheckFeasibility(&configuration.Workload{Name: "w", Kind: c.kind, Size: c.size, Homes: c.homes}, job.WorkerCapacities{Domain: "d", Known: known, Unknown: c.unknown})
		if got := r; (got == nil) != (c.want == "") || got != nil && got.Cause != c.want {
			t.Errorf("%s: %v, want %q", name, got, c.want)
		}
	}
}

// TestProfile checks that learned run times replace the declared one and that the
// learned size stays within the largest worker.
func TestProfile(t *testing.T) {
	var p job.Profile
	if got := p.RunTime(time.Minute); got != time.Minute {
		t.Errorf("declared run time: %v", got)
	}
	for range 5 {
		p.ObserveRun(10 * time.Minute)
	}
	if got := p.RunTime(time.Minute); got != 10*time.Minute {
		t.Errorf("learned run time: %v", got)
	}
	if got := p.Remaining(time.Minute, 15*time.Minute); got != 15*time.Minute {
		t.Errorf("remaining time after the estimate: %v", got)
	}
	p.ObserveUsage(resource.Vector{MilliCPU: 5000})
	size := p.Size(resource.Vector{MilliCPU: 1000, MemoryMiB: 10}, resource.Vector{MilliCPU: 4000, MemoryMiB: 400})
	if want := (resource.Vector{MilliCPU: 4000, MemoryMiB: 10}); size != want {
		t.Errorf("size %v, want %v", size, want)
	}
}
