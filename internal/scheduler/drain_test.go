package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
	"github.com/mimosaspool/mimosaspool/internal/slots"
)

// maxDrain is how long a leaving runner may finish its requests at most.
var maxDrain = slots.DefaultTiming().ReclaimAfter()

func cancelOp(names ...string) configuration.Op {
	return configuration.Op{Cancel: &configuration.Cancel{Workloads: names}}
}

func drainOp(name string, returned bool) configuration.Op {
	return configuration.Op{Drain: &configuration.Drain{Host: name, Return: returned}}
}

// newServing returns a cell whose service tasks serve requests.
func newServing(n int) *testCell {
	c := newCell(n, smallWorker)
	c.serving = true
	return c
}

// listLeaving makes the platform's host list show the workers as leaving or live.
func (c *testCell) listLeaving(leaving map[string]bool) {
	hosts := slices.Clone(c.Hosts)
	for i := range hosts {
		hosts[i].Leaving = leaving[hosts[i].Name]
	}
	c.step(scheduler.HostsRead{Hosts: hosts})
}

// leaving returns the runners that entries must send no new requests to.
func (c *testCell) leaving() []uint64 {
	var list []uint64
	for _, e := range c.Core.Directory().Endpoints {
		if e.Leaving {
			list = append(list, e.Attempt)
		}
	}
	return list
}

// reportIdle tells the core which leaving runners have no requests, as the slot
// ledger would.
func (c *testCell) reportIdle(busy map[uint64]bool) {
	idle := slices.DeleteFunc(c.leaving(), func(a uint64) bool { return busy[a] })
	c.step(scheduler.SlotsIdle{Began: c.Core.Term().Began, Version: c.Core.Directory().Version, Attempts: idle})
}

// tasksOn returns the number of tasks that operators see on a worker.
func (c *testCell) tasksOn(name string) int {
	i := slices.IndexFunc(c.Core.Workers(), func(w scheduler.WorkerInfo) bool { return w.Name == name })
	return c.Core.Workers()[i].Tasks
}

func (c *testCell) orderKinds() []scheduler.OrderKind {
	var list []scheduler.OrderKind
	for _, o := range c.orders {
		list = append(list, o.Kind)
	}
	return list
}

var _ = Describe("Draining", func() {
	It("moves batch work off a drained or leaving worker by checkpoint", func() {
		for _, take := range []func(*testCell, string){
			func(c *testCell, name string) { c.Declare(drainOp(name, false)) },
			func(c *testCell, name string) { c.listLeaving(map[string]bool{name: true}) },
		} {
			c := newCell(2, smallWorker)
			c.Declare(declareOp(workload("b", configuration.Batch, 4, cpu(1))))
			c.Run(5 * time.Second)
			on := c.runningByWorker("b")["w0000"]
			take(c, "w0000")
			c.Run(5 * time.Second)
			Expect(c.orderKinds()).To(HaveLen(on))
			Expect(c.orderKinds()).To(HaveEach(scheduler.Checkpoint))
			Expect(c.runningByWorker("b")).To(Equal(map[string]int{"w0001": 4}))
			Expect(c.started[len(c.started)-1].Checkpoint).To(BeNumerically(">", 0))
			Expect(c.tasksOn("w0000")).To(BeZero())
		}
	})

	It("moves a gang whole, with a checkpoint of every member", func() {
		c := newCell(3, smallWorker)
		c.Declare(declareOp(workload("g", configuration.Gang, 8, cpu(1))))
		c.Run(5 * time.Second)
		from := slices.Sorted(maps.Keys(c.runningByWorker("g")))[0]
		c.Declare(drainOp(from, false))
		c.Run(5 * time.Second)
		Expect(c.orderKinds()).To(HaveLen(8))
		Expect(c.orderKinds()).To(HaveEach(scheduler.Checkpoint))
		Expect(sumCounts(c.runningByWorker("g"))).To(Equal(8))
		Expect(c.tasksOn(from)).To(BeZero())
	})

	It("stops a cancelled service's runners once their slots are returned, and other work immediately", func() {
		c := newServing(2)
		c.Declare(declareOp(workload("s", configuration.Service, 2, cpu(1))), declareOp(workload("b", configuration.Batch, 2, cpu(1))))
		c.Run(5 * time.Second)
		stale := scheduler.SlotsIdle{Began: c.Core.Term().Began, Version: c.Core.Directory().Version}
		for _, e := range c.Core.Directory().Endpoints {
			stale.Attempts = append(stale.Attempts, e.Attempt)
		}
		c.Declare(cancelOp("s", "b"))
		Expect(c.leaving()).To(HaveLen(2))
		c.step(stale)
		c.Run(5 * time.Second)
		Expect(c.orders).To(HaveLen(2))
		Expect(sumCounts(c.runningByWorker("s"))).To(Equal(2))
		c.reportIdle(map[uint64]bool{c.leaving()[0]: true})
		Expect(sumCounts(c.runningByWorker("s"))).To(Equal(1))
		c.reportIdle(nil)
		Expect(c.Running()).To(BeEmpty())
	})

	It("stops a runner at its drain deadline even without a report on its slots", func() {
		c := newServing(1)
		c.Declare(declareOp(workload("s", configuration.Service, 1, cpu(1))))
		c.Run(5 * time.Second)
		c.Declare(cancelOp("s"))
		at := c.Now
		for c.Now < at+maxDrain {
			Expect(c.orders).To(BeEmpty())
			c.Run(100 * time.Millisecond)
		}
		c.Run(time.Second)
		Expect(c.Running()).To(BeEmpty())
		Expect(c.Core.Counters()).To(HaveKeyWithValue("stop-overdue", int64(1)))
	})

	It("moves a quarter of a service's runners at a time, and shows all leaving runners to entries immediately", func() {
		c := newServing(4)
		c.Declare(declareOp(workload("s", configuration.Service, 8, cpu(1))))
		c.Run(5 * time.Second)
		Expect(c.runningByWorker("s")).To(HaveLen(4))
		c.Declare(drainOp("w0000", false), drainOp("w0001", false), drainOp("w0002", false))
		Expect(c.leaving()).To(HaveLen(6))
		for range 200 {
			Expect(sumCounts(c.runningByWorker("s"))).To(BeNumerically(">=", 6))
			c.Run(100 * time.Millisecond)
			c.reportIdle(nil)
		}
		// The remaining worker is full. The tasks that don't fit wait, and no
		// more runners are stopped.
		Expect(c.runningByWorker("s")["w0003"]).To(Equal(4))
		Expect(sumCounts(c.runningByWorker("s"))).To(Equal(6))
		c.Declare(drainOp("w0002", true))
		for range 200 {
			c.Run(100 * time.Millisecond)
			c.reportIdle(nil)
		}
		Expect(c.runningByWorker("s")).To(Equal(map[string]int{"w0002": 4, "w0003": 4}))
		Expect(c.tasksOn("w0000") + c.tasksOn("w0001")).To(BeZero())
	})

	It("moves runners off a leaving worker in the same way", func() {
		c := newServing(2)
		c.Declare(declareOp(workload("s", configuration.Service, 4, cpu(1))))
		c.Run(5 * time.Second)
		on := c.runningByWorker("s")["w0000"]
		c.listLeaving(map[string]bool{"w0000": true})
		Expect(on).To(Equal(2))
		Expect(c.leaving()).To(HaveLen(on))
		c.reportIdle(nil)
		for range 5 {
			Expect(sumCounts(c.runningByWorker("s"))).To(BeNumerically(">=", 3))
			c.Run(100 * time.Millisecond)
		}
		Expect(sumCounts(c.runningByWorker("s"))).To(Equal(4))
		Expect(c.tasksOn("w0000")).To(BeZero())
	})

	It("does not stop a runner whose worker returns before the runner is idle", func() {
		c := newServing(2)
		c.Declare(declareOp(workload("s", configuration.Service, 1, cpu(1))))
		c.Run(5 * time.Second)
		from := slices.Sorted(maps.Keys(c.runningByWorker("s")))[0]
		c.Declare(drainOp(from, false))
		stale := scheduler.SlotsIdle{Began: c.Core.Term().Began, Version: c.Core.Directory().Version, Attempts: c.leaving()}
		Expect(stale.Attempts).To(HaveLen(1))
		c.Declare(drainOp(from, true))
		Expect(c.leaving()).To(BeEmpty())
		c.Declare(drainOp(from, false))
		c.step(stale)
		c.Run(time.Second)
		c.Declare(drainOp(from, true))
		c.Run(2 * maxDrain)
		Expect(c.orders).To(BeEmpty())
	})
})

// TestRunnersWithRequestsAreNotStoppedBeforeTheDrainLimit guards against requests
// that are cut off because their runner is stopped early, whatever is drained,
// cancelled or unreachable, and against drained and leaving workers that are not
// empty in the end.
func TestRunnersWithRequestsAreNotStoppedBeforeTheDrainLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newServing(rapid.IntRange(2, 6).Draw(t, "workers"))
		names := slices.Sorted(maps.Keys(c.Workers))
		drained, leaving, busy := map[string]bool{}, map[string]bool{}, map[uint64]bool{}
		leavingSince := map[uint64]time.Duration{}
		recordLeaving := func() {
			shown := c.leaving()
			for _, a := range shown {
				if _, ok := leavingSince[a]; !ok {
					leavingSince[a] = c.Now
				}
			}
			maps.DeleteFunc(leavingSince, func(a uint64, _ time.Duration) bool { return !slices.Contains(shown, a) })
		}
		c.onStop = func(a uint64) {
			if at, ok := leavingSince[a]; busy[a] && (!ok || c.Now < at+maxDrain) {
				t.Fatalf("runner %d was stopped with requests in flight, leaving since %v (%v)", a, at, ok)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "worker")
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				c.Declare(declareOp(drawWorkload(t)))
			case 1:
				c.Declare(cancelOp(fmt.Sprint("j", rapid.IntRange(0, 3).Draw(t, "job"))))
			case 2:
				c.Mute[name] = !c.Mute[name]
			case 3:
				drained[name] = !drained[name]
				c.Declare(drainOp(name, !drained[name]))
			case 4:
				leaving[name] = !leaving[name]
				c.listLeaving(leaving)
			case 5:
				for _, e := range c.Core.Directory().Endpoints {
					busy[e.Attempt] = (!e.Leaving || busy[e.Attempt]) && rapid.Bool().Draw(t, "busy")
				}
				c.reportIdle(busy)
			default:
				for range rapid.IntRange(1, 50).Draw(t, "time") {
					recordLeaving()
					c.Run(200 * time.Millisecond)
				}
			}
			recordLeaving()
			if s := c.Core.Inconsistent(); s != "" {
				t.Fatal(s)
			}
			c.checkPlacements(t)
		}
		c.finishDrains()
		for _, name := range names {
			if (drained[name] || leaving[name]) && c.tasksOn(name) > 0 && !c.hasWaitingTask() {
				t.Fatalf("%s is not empty: %v", name, c.Running())
			}
		}
	})
}

// finishDrains runs the cell until every possible move is done.
func (c *testCell) finishDrains() {
	clear(c.Mute)
	c.onStop = nil
	for range 60 {
		c.Run(2 * time.Second)
		c.reportIdle(nil)
	}
}

// hasWaitingTask reports whether a task waits. Its move then holds up others.
func (c *testCell) hasWaitingTask() bool {
	return slices.ContainsFunc(c.Core.Tasks(), func(t scheduler.TaskInfo) bool {
		return t.State == "waiting" && strings.HasPrefix(t.Name, "j")
	})
}
