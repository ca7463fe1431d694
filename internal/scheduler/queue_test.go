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

func small(int) resource.Vector { return resource.Vector{MilliCPU: 4000, MemoryMiB: 4096} }

// TestStepByStep checks that what a core keeps up step by step equals what its
// state gives anew, and that no worker is given more than it holds, while tasks
// end, workers fall silent and work is declared and cancelled.
func TestStepByStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCell(rapid.IntRange(1, 6).Draw(t, "workers"), small)
		names := slices.Sorted(maps.Keys(c.Workers))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "worker")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				c.Declare(declared(drawWorkload(t)))
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
			c.checkRoom(t)
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
		// A gang keeps its homes, so each count has a name of its own.
		w.Name = fmt.Sprintf("j%d-%d", len(w.Team), w.Count)
	}
	return w
}

// checkGangs fails on a gang of which only a part runs, or waits to be retried.
func (c *cell) checkGangs(t *rapid.T) {
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
			t.Fatalf("gang %s is at once %v", name, s)
		}
	}
}

// checkRoom fails when a worker holds too much or a task runs in two places.
func (c *cell) checkRoom(t *rapid.T) {
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
			t.Fatalf("%s holds %v of %v", name, sum, w.Capacity)
		}
	}
}

var _ = Describe("Queue", func() {
	It("takes the workers of a domain that the log's first record declares", func() {
		c := scheduler.New(scheduler.DefaultSettings("h1", "1", "d"))
		c.Step(0, scheduler.LogRead{})
		data, err := configuration.Encode(configuration.Record{ID: "a", Ops: []configuration.Op{{Domain: &configuration.Domain{Name: "d", Workers: []string{"w"}}}}})
		Expect(err).NotTo(HaveOccurred())
		c.Step(0, scheduler.LogRead{Records: []configuration.Numbered{{Data: data}}})
		Expect(c.Workers()).To(HaveLen(1))
	})

	It("renews a task before its first lease runs out, whenever it starts", func() {
		for phase := range 25 {
			c := newCell(3, small)
			c.Run(5*time.Second + time.Duration(phase)*100*time.Millisecond)
			w := workload("t", configuration.Batch, 2, resource.Vector{MilliCPU: 1000})
			w.Policy = configuration.Thrifty
			c.Declare(declared(w))
			c.Run(10 * time.Second)
			Expect(c.started).To(HaveLen(2))
		}
	})

	It("starts a blocked task as soon as a report frees room for it", func() {
		c := newCell(1, small)
		c.Declare(declared(workload("a", configuration.Batch, 4, resource.Vector{MilliCPU: 1000})))
		c.Declare(declared(workload("b", configuration.Batch, 1, resource.Vector{MilliCPU: 2000})))
		c.Run(5 * time.Second)
		Expect(c.Running()).To(HaveLen(4))
		c.end("w0000", c.started[0].Attempt, scheduler.Succeeded)
		c.end("w0000", c.started[1].Attempt, scheduler.Succeeded)
		c.Run(2 * time.Second)
		Expect(c.Running()).To(HaveKey("b/2/0"))
	})
})
