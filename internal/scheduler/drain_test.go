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

// bound is how long a runner is left to its requests at most.
var bound = slots.DefaultTiming().Silent()

func cancelled(names ...string) configuration.Op {
	return configuration.Op{Cancel: &configuration.Cancel{Workloads: names}}
}

func drained(name string, back bool) configuration.Op {
	return configuration.Op{Drain: &configuration.Drain{Host: name, Return: back}}
}

// newServing returns a cell whose service tasks serve requests.
func newServing(n int) *cell {
	c := newCell(n, small)
	c.serving = true
	return c
}

// listLeaving has the platform's list show the workers as leaving or live.
func (c *cell) listLeaving(leaving map[string]bool) {
	hosts := slices.Clone(c.Hosts)
	for i := range hosts {
		hosts[i].Leaving = leaving[hosts[i].Name]
	}
	c.step(scheduler.HostsRead{Hosts: hosts})
}

// leaving returns the runners that entries are told to send nothing to.
func (c *cell) leaving() []uint64 {
	var list []uint64
	for _, e := range c.Core.Directory().Endpoints {
		if e.Leaving {
			list = append(list, e.Attempt)
		}
	}
	return list
}

// idle tells the core of all leaving runners without requests, as the ledger would.
func (c *cell) idle(busy map[uint64]bool) {
	list := slices.DeleteFunc(c.leaving(), func(a uint64) bool { return busy[a] })
	c.step(scheduler.SlotsIdle{Began: c.Core.Term().Began, Version: c.Core.Directory().Version, Attempts: list})
}

// tasksOn returns the count of tasks that operators see on a worker.
func (c *cell) tasksOn(name string) int {
	i := slices.IndexFunc(c.Core.Workers(), func(w scheduler.WorkerInfo) bool { return w.Name == name })
	return c.Core.Workers()[i].Tasks
}

func (c *cell) kinds() []scheduler.OrderKind {
	var list []scheduler.OrderKind
	for _, o := range c.orders {
		list = append(list, o.Kind)
	}
	return list
}

var _ = Describe("Draining", func() {
	It("moves batch work off a drained or leaving worker by checkpoint", func() {
		for _, take := range []func(*cell, string){
			func(c *cell, name string) { c.Declare(drained(name, false)) },
			func(c *cell, name string) { c.listLeaving(map[string]bool{name: true}) },
		} {
			c := newCell(2, small)
			c.Declare(declared(workload("b", configuration.Batch, 4, cpu(1))))
			c.Run(5 * time.Second)
			on := c.on("b")["w0000"]
			take(c, "w0000")
			c.Run(5 * time.Second)
			Expect(c.kinds()).To(HaveLen(on))
			Expect(c.kinds()).To(HaveEach(scheduler.Checkpoint))
			Expect(c.on("b")).To(Equal(map[string]int{"w0001": 4}))
			Expect(c.started[len(c.started)-1].Checkpoint).To(BeNumerically(">", 0))
			Expect(c.tasksOn("w0000")).To(BeZero())
		}
	})

	It("moves a gang whole, with a checkpoint of every member", func() {
		c := newCell(3, small)
		c.Declare(declared(workload("g", configuration.Gang, 8, cpu(1))))
		c.Run(5 * time.Second)
		from := slices.Sorted(maps.Keys(c.on("g")))[0]
		c.Declare(drained(from, false))
		c.Run(5 * time.Second)
		Expect(c.kinds()).To(HaveLen(8))
		Expect(c.kinds()).To(HaveEach(scheduler.Checkpoint))
		Expect(total(c.on("g"))).To(Equal(8))
		Expect(c.tasksOn(from)).To(BeZero())
	})

	It("stops a cancelled service's runners once their slots are back, and other work at once", func() {
		c := newServing(2)
		c.Declare(declared(workload("s", configuration.Service, 2, cpu(1))), declared(workload("b", configuration.Batch, 2, cpu(1))))
		c.Run(5 * time.Second)
		stale := scheduler.SlotsIdle{Began: c.Core.Term().Began, Version: c.Core.Directory().Version}
		for _, e := range c.Core.Directory().Endpoints {
			stale.Attempts = append(stale.Attempts, e.Attempt)
		}
		c.Declare(cancelled("s", "b"))
		Expect(c.leaving()).To(HaveLen(2))
		c.step(stale)
		c.Run(5 * time.Second)
		Expect(c.orders).To(HaveLen(2))
		Expect(total(c.on("s"))).To(Equal(2))
		c.idle(map[uint64]bool{c.leaving()[0]: true})
		Expect(total(c.on("s"))).To(Equal(1))
		c.idle(nil)
		Expect(c.Running()).To(BeEmpty())
	})

	It("stops a runner after the longest request even without word of its slots", func() {
		c := newServing(1)
		c.Declare(declared(workload("s", configuration.Service, 1, cpu(1))))
		c.Run(5 * time.Second)
		c.Declare(cancelled("s"))
		at := c.Now
		for c.Now < at+bound {
			Expect(c.orders).To(BeEmpty())
			c.Run(100 * time.Millisecond)
		}
		c.Run(time.Second)
		Expect(c.Running()).To(BeEmpty())
		Expect(c.Core.Counters()).To(HaveKeyWithValue("stop-overdue", int64(1)))
	})

	It("moves a quarter of a service's runners at a time, of which entries are told at once", func() {
		c := newServing(4)
		c.Declare(declared(workload("s", configuration.Service, 8, cpu(1))))
		c.Run(5 * time.Second)
		Expect(c.on("s")).To(HaveLen(4))
		c.Declare(drained("w0000", false), drained("w0001", false), drained("w0002", false))
		Expect(c.leaving()).To(HaveLen(6))
		for range 200 {
			Expect(total(c.on("s"))).To(BeNumerically(">=", 6))
			c.Run(100 * time.Millisecond)
			c.idle(nil)
		}
		// The room of one worker is used up; what finds none waits, and no more is stopped.
		Expect(c.on("s")["w0003"]).To(Equal(4))
		Expect(total(c.on("s"))).To(Equal(6))
		c.Declare(drained("w0002", true))
		for range 200 {
			c.Run(100 * time.Millisecond)
			c.idle(nil)
		}
		Expect(c.on("s")).To(Equal(map[string]int{"w0002": 4, "w0003": 4}))
		Expect(c.tasksOn("w0000") + c.tasksOn("w0001")).To(BeZero())
	})

	It("moves runners off a leaving worker in the same way", func() {
		c := newServing(2)
		c.Declare(declared(workload("s", configuration.Service, 4, cpu(1))))
		c.Run(5 * time.Second)
		on := c.on("s")["w0000"]
		c.listLeaving(map[string]bool{"w0000": true})
		Expect(on).To(Equal(2))
		Expect(c.leaving()).To(HaveLen(on))
		c.idle(nil)
		for range 5 {
			Expect(total(c.on("s"))).To(BeNumerically(">=", 3))
			c.Run(100 * time.Millisecond)
		}
		Expect(total(c.on("s"))).To(Equal(4))
		Expect(c.tasksOn("w0000")).To(BeZero())
	})

	It("leaves a runner where it is when its worker returns in time", func() {
		c := newServing(2)
		c.Declare(declared(workload("s", configuration.Service, 1, cpu(1))))
		c.Run(5 * time.Second)
		from := slices.Sorted(maps.Keys(c.on("s")))[0]
		c.Declare(drained(from, false))
		stale := scheduler.SlotsIdle{Began: c.Core.Term().Began, Version: c.Core.Directory().Version, Attempts: c.leaving()}
		Expect(stale.Attempts).To(HaveLen(1))
		c.Declare(drained(from, true))
		Expect(c.leaving()).To(BeEmpty())
		c.Declare(drained(from, false))
		c.step(stale)
		c.Run(time.Second)
		c.Declare(drained(from, true))
		c.Run(2 * bound)
		Expect(c.orders).To(BeEmpty())
	})
})

// TestStopsCutNothingOff checks that a runner with requests is stopped only at
// the bound, whatever is drained, cancelled or lost, and that drained and
// leaving workers are empty in the end.
func TestStopsCutNothingOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newServing(rapid.IntRange(2, 6).Draw(t, "workers"))
		names := slices.Sorted(maps.Keys(c.Workers))
		out, leaving, busy := map[string]bool{}, map[string]bool{}, map[uint64]bool{}
		since := map[uint64]time.Duration{}
		look := func() {
			shown := c.leaving()
			for _, a := range shown {
				if _, ok := since[a]; !ok {
					since[a] = c.Now
				}
			}
			maps.DeleteFunc(since, func(a uint64, _ time.Duration) bool { return !slices.Contains(shown, a) })
		}
		c.onStop = func(a uint64) {
			if at, ok := since[a]; busy[a] && (!ok || c.Now < at+bound) {
				t.Fatalf("runner %d is stopped with requests on it, leaving since %v (%v)", a, at, ok)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "worker")
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				c.Declare(declared(drawWorkload(t)))
			case 1:
				c.Declare(cancelled(fmt.Sprint("j", rapid.IntRange(0, 3).Draw(t, "job"))))
			case 2:
				c.Mute[name] = !c.Mute[name]
			case 3:
				out[name] = !out[name]
				c.Declare(drained(name, !out[name]))
			case 4:
				leaving[name] = !leaving[name]
				c.listLeaving(leaving)
			case 5:
				for _, e := range c.Core.Directory().Endpoints {
					busy[e.Attempt] = (!e.Leaving || busy[e.Attempt]) && rapid.Bool().Draw(t, "busy")
				}
				c.idle(busy)
			default:
				for range rapid.IntRange(1, 50).Draw(t, "time") {
					look()
					c.Run(200 * time.Millisecond)
				}
			}
			look()
			if s := c.Core.Inconsistent(); s != "" {
				t.Fatal(s)
			}
			c.checkRoom(t)
		}
		c.settleDrains()
		for _, name := range names {
			if (out[name] || leaving[name]) && c.tasksOn(name) > 0 && !c.serviceWaits() {
				t.Fatalf("%s is not empty: %v", name, c.Running())
			}
		}
	})
}

// settleDrains lets time pass until all that can move has moved.
func (c *cell) settleDrains() {
	clear(c.Mute)
	c.onStop = nil
	for range 60 {
		c.Run(2 * time.Second)
		c.idle(nil)
	}
}

// serviceWaits reports whether a task waits, whose move then holds others up.
func (c *cell) serviceWaits() bool {
	return slices.ContainsFunc(c.Core.Tasks(), func(t scheduler.TaskInfo) bool {
		return t.State == "waiting" && strings.HasPrefix(t.Name, "j")
	})
}
