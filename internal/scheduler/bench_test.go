package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/fakeworker"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// testCell is a core with workers that reply at once and obey every write.
type testCell struct {
	*fakeworker.Cell
	started []scheduler.Start
	orders  []scheduler.Order
	// serving gives every service task an address.
	serving bool
	// onStop is called with each runner that is ordered to stop, before it stops.
	onStop func(attempt uint64)
}

// workersPerRack is the number of workers that share a rack; checkpointID is the
// ID of every checkpoint.
const (
	workersPerRack = 5
	checkpointID   = 7
)

func newCell(n int, capacity func(i int) resource.Vector) *testCell {
	c := &testCell{}
	c.Cell = fakeworker.NewCell(n, workersPerRack, capacity, fakeworker.Hooks{
		Began: func(t *fakeworker.Task, s scheduler.Start) {
			if c.serving && s.Service != "" {
				t.Address = fmt.Sprint("a", s.Attempt)
			}
		},
		Ordered: func(*fakeworker.Task, scheduler.OrderKind) uint64 { return checkpointID },
	})
	c.Written = c.recordWrite
	return c
}

func (c *testCell) recordWrite(eff scheduler.WriteWorker) {
	c.started = append(c.started, eff.Starts...)
	for _, o := range eff.Orders {
		c.orders = append(c.orders, o)
		if c.onStop != nil {
			c.onStop(o.Attempt)
		}
	}
}

// step processes an event that is neither a tick nor a log read.
func (c *testCell) step(ev scheduler.Event) { c.Step(fakeworker.Other, ev) }

// end ends an attempt if it runs on the worker.
func (c *testCell) end(worker string, attempt uint64, state scheduler.TaskState) {
	w := c.Workers[worker]
	if t := w.Tasks[attempt]; t != nil && t.State == scheduler.Running {
		if state == scheduler.Checkpointed {
			t.Checkpoint = checkpointID
		}
		w.End(t, state)
	}
}

func workload(name string, kind configuration.WorkloadKind, count int, size resource.Vector) configuration.Workload {
	return configuration.Workload{Name: name, Kind: kind, Count: count, Size: size, Homes: []configuration.Home{{Domain: "d", Count: count}}}
}

func declareOp(w configuration.Workload) configuration.Op { return configuration.Op{Workload: &w} }

// BenchmarkPlacement measures the steps of a full cell in which tasks end
// continuously: the duration of each step that starts a task, and the core's
// total time per started task, renewals included.
func BenchmarkPlacement(b *testing.B) {
	for _, waiting := range []int{0, 300} {
		for _, n := range []int{140, 1100} {
			b.Run(fmt.Sprintf("workers=%d/waiting=%d", n, waiting), func(b *testing.B) { benchmarkPlacement(b, n, waiting) })
		}
	}
}

// tasksPerWorker gives 17,000 tasks on 1,100 workers.
const tasksPerWorker = 15.5

// benchWorkloads is the number of workloads that the tasks are divided into.
const benchWorkloads = 50

// benchmarkPlacement runs with the given number of waiting workloads, each with
// more tasks than fit.
func benchmarkPlacement(b *testing.B, n, waiting int) {
	c := newCell(n, func(int) resource.Vector { return resource.Vector{MilliCPU: 16000, MemoryMiB: 65536} })
	c.staggerWorkers()
	tasks := int(float64(n)*tasksPerWorker) / benchWorkloads
	var ops []configuration.Op
	for i := range benchWorkloads {
		ops = append(ops, declareOp(workload(fmt.Sprintf("b%02d", i), configuration.Batch, tasks, resource.Vector{MilliCPU: 1000, MemoryMiB: 2048})))
	}
	c.Declare(ops...)
	for len(c.Running()) < tasks*benchWorkloads {
		c.Run(time.Second)
	}
	ops = nil
	for i := range waiting {
		ops = append(ops, declareOp(workload(fmt.Sprintf("w%03d", i), configuration.Batch, n, resource.Vector{MilliCPU: 1000, MemoryMiB: 2048})))
	}
	c.Declare(ops...)
	c.Run(10 * time.Second)
	m := &stepTimes{}
	c.Around = m.timed
	seq := 0
	b.ResetTimer()
	for m.starts < b.N {
		c.endOldest(n, &seq)
		c.Now += 2 * time.Millisecond
		c.Step(fakeworker.Tick, scheduler.Tick{})
	}
	b.StopTimer()
	m.report(b)
}

// staggerWorkers makes the workers' addresses known over the time between two
// renewals.
func (c *testCell) staggerWorkers() {
	const batches = 20
	for i := range batches {
		hosts := slices.Clone(c.Hosts)
		for j := range hosts {
			if j%batches > i {
				hosts[j].Address = ""
			}
		}
		c.step(scheduler.HostsRead{Hosts: hosts})
		c.Run(100 * time.Millisecond)
	}
}

// endOldest ends the oldest running task of the next worker in round-robin order.
func (c *testCell) endOldest(n int, seq *int) {
	w := c.Workers[fmt.Sprintf("w%04d", *seq%n)]
	*seq++
	if live := w.Live(); len(live) > 0 {
		w.End(live[0], scheduler.Stopped)
	}
}

// stepTimes collects the durations of a core's steps.
type stepTimes struct {
	starts         int
	total          time.Duration
	placementSteps []time.Duration
	// perTask holds each step's duration divided by the tasks that it started.
	perTask []time.Duration
}

func (m *stepTimes) timed(_ fakeworker.Kind, step func() []scheduler.Effect) []scheduler.Effect {
	from := time.Now()
	effects := step()
	spent := time.Since(from)
	m.total += spent
	starts := 0
	for _, e := range effects {
		if w, ok := e.(scheduler.WriteWorker); ok {
			starts += len(w.Starts)
		}
	}
	if m.starts += starts; starts > 0 {
		m.placementSteps = append(m.placementSteps, spent)
		m.perTask = append(m.perTask, spent/time.Duration(starts))
	}
	return effects
}

func (m *stepTimes) report(b *testing.B) {
	slices.Sort(m.placementSteps)
	slices.Sort(m.perTask)
	b.ReportMetric(float64(m.placementSteps[len(m.placementSteps)/2].Microseconds()), "step-p50-us")
	b.ReportMetric(float64(m.placementSteps[len(m.placementSteps)*99/100].Microseconds()), "step-p99-us")
	b.ReportMetric(float64(m.perTask[len(m.perTask)*99/100].Microseconds()), "task-p99-us")
	b.ReportMetric(float64(m.total.Microseconds())/float64(m.starts), "us/start")
}
