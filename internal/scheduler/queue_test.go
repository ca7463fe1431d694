package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/fakeworker"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

func smallWorker(int) resource.Vector { return resource.Vector{MilliCPU: 4000, MemoryMiB: 4096} }

// TestStepByStep guards against incremental updates that diverge from the state
// computed from scratch, and against workers that are given more than their
// capacity, while tasks end, workers stop replying and work is declared and
// cancelled.
func TestStepByStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCell(rapid.IntRange(1, 6).Draw(t, "workers"), smallWorker)
		names := slices.Sorted(maps.Keys(c.Workers))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "worker")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				c.Declare(declareOp(drawWorkload(t)))
			case 1:
				c.Declare(configuration.Op{Cancel: &configuration.Cancel{Workloads: []string{fmt.Sprint("j", rapid.IntRange(0, 3).Draw(t, "job"))}}})
			case 2:
				c.Mute[name] = !c.Mute[name]
			case 3:
				for _, a := range slices.Sorted(maps.Keys(c.Workers[name].Tasks)) {
					c.end(name, a, scheduler.TaskState(rapid.IntRange(1, 5).Draw(t, "end")))
				}
			default:
				c.Run(time.Duration(rapid.IntRange(1, 100).Draw(t, "time")) * 100 * time.Millisecond)
			}
			if s := c.Core.Inconsistent(); s != "" {
				t.Fatal(s)
			}
			c.checkPlacements(t)
		}
		clear(c.Mute)
		c.Run(3 * time.Minute)
		c.checkGangs(t)
	})
}

func drawWorkload(t *rapid.T) configuration.Workload {
	kind := rapid.SampledFrom([]configuration.WorkloadKind{configuration.Service, configuration.Batch, configuration.Gang}).Draw(t, "work")
	size := resource.Vector{MilliCPU: int64(rapid.IntRange(1, 5).Draw(t, "cpu")) * 1000, MemoryMiB: 512}
	w := workload(fmt.Sprint("j", rapid.IntRange(0, 3).Draw(t, "name")), kind, rapid.IntRange(1, 6).Draw(t, "count"), size)
	w.Policy = rapid.SampledFrom([]configuration.Policy{"", configuration.Thrifty, configuration.Careful}).Draw(t, "policy")
	w.Urgency = rapid.SampledFrom([]configuration.Urgency{"", configuration.Low, configuration.Urgent}).Draw(t, "urgency")
	w.Spread = rapid.Bool().Draw(t, "spread")
	w.RunMillis = int64(rapid.IntRange(0, 20).Draw(t, "run")) * 1000
	w.Team = rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "team")
	if w.Kind == configuration.Gang {
		// A gang's homes can't change, so each count has its own name.
		w.Name = fmt.Sprintf("j%d-%d", len(w.Team), w.Count)
	}
	return w
}

// checkGangs fails if only some members of a gang run, or wait to be retried.
func (c *testCell) checkGangs(t *rapid.T) {
	states := map[string]map[string]bool{}
	for _, task := range c.Core.Tasks() {
		w := c.Core.Catalog().Workloads[task.Workload]
		if w.Value.Kind == configuration.Gang && task.State != "ended" {
			if states[task.Workload] == nil {
				states[task.Workload] = map[string]bool{}
			}
			states[task.Workload][task.State] = true
		}
	}
	for name, s := range states {
		if len(s) > 1 {
			t.Fatalf("gang %s has members in different states: %v", name, s)
		}
	}
}

// checkPlacements fails if a worker exceeds its capacity or a task runs in two
// places.
func (c *testCell) checkPlacements(t *rapid.T) {
	places := map[string]string{}
	for name, w := range c.Workers {
		var sum resource.Vector
		for _, o := range w.Tasks {
			if o.State == scheduler.Running && o.Expiry > c.Now+fakeworker.ClockAhead {
				if other, twice := places[o.Task]; twice {
					t.Fatalf("%s runs on %s and %s", o.Task, other, name)
				}
				places[o.Task] = name
				sum = sum.Add(o.Size)
			}
		}
		if !sum.Fits(w.Capacity) {
			t.Fatalf("%s is over capacity: %v of %v", name, sum, w.Capacity)
		}
	}
}

var _ = Describe("Queue", func() {
	It("applies the workers of a domain declared in the log's first record", func() {
		c := scheduler.New(scheduler.DefaultSettings("h1", "1", "d"))
		c.Step(0, scheduler.LogRead{})
		data, err := configuration.Encode(configuration.Record{ID: "a", Ops: []configuration.Op{{Domain: &configuration.Domain{Name: "d", Workers: []string{"w"}}}}})
		Expect(err).NotTo(HaveOccurred())
		c.Step(0, scheduler.LogRead{Records: []configuration.Numbered{{Data: data}}})
		Expect(c.Workers()).To(HaveLen(1))
	})

	It("renews a task before its first lease expires, whenever it starts", func() {
		for phase := range 25 {
			c := newCell(3, smallWorker)
			c.Run(5*time.Second + time.Duration(phase)*100*time.Millisecond)
			w := workload("t", configuration.Batch, 2, resource.Vector{MilliCPU: 1000})
			w.Policy = configuration.Thrifty
			c.Declare(declareOp(w))
			c.Run(10 * time.Second)
			Expect(c.started).To(HaveLen(2))
		}
	})

	It("starts a blocked task as soon as a report frees capacity for it", func() {
		c := newCell(1, smallWorker)
		c.Declare(declareOp(workload("a", configuration.Batch, 4, resource.Vector{MilliCPU: 1000})))
		c.Declare(declareOp(workload("b", configuration.Batch, 1, resource.Vector{MilliCPU: 2000})))
		c.Run(5 * time.Second)
		Expect(c.Running()).To(HaveLen(4))
		c.end("w0000", c.started[0].Attempt, scheduler.Succeeded)
		c.end("w0000", c.started[1].Attempt, scheduler.Succeeded)
		c.Run(2 * time.Second)
		Expect(c.Running()).To(HaveKey("b/2/0"))
	})
})
