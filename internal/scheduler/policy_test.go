package scheduler_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/placement"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

func cpu(n int64) resource.Vector { return resource.Vector{MilliCPU: 1000 * n} }

// mixedWorker returns the capacity of a worker, with accelerators on every third.
func mixedWorker(i int) resource.Vector {
	v := resource.Vector{MilliCPU: 8000, MemoryMiB: 8192}
	if i%3 == 0 {
		v.Accelerators = 4
	}
	return v
}

// runningByWorker counts the running tasks of a workload by worker.
func (c *testCell) runningByWorker(name string) map[string]int {
	m := map[string]int{}
	for task, w := range c.Running() {
		if strings.HasPrefix(task, name+"/") {
			m[w]++
		}
	}
	return m
}

func sumCounts(m map[string]int) (n int) {
	for _, k := range m {
		n += k
	}
	return n
}

// waitReasons returns the reasons why tasks of a workload wait.
func (c *testCell) waitReasons(name string) []scheduler.WaitReason {
	var list []scheduler.WaitReason
	for _, t := range c.Core.Tasks() {
		if t.Workload == name && t.Reason != "" {
			list = append(list, t.Reason)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// nodeReasons returns the workers' reasons for refusing a waiting task.
func (c *testCell) nodeReasons(task string) []placement.Reason {
	var list []placement.Reason
	for _, n := range c.Core.ExplainTask(task).Nodes {
		list = append(list, n.Reason)
	}
	return list
}

func (c *testCell) endAll(name string, state scheduler.TaskState) {
	for on, w := range c.Workers {
		for a, t := range w.Tasks {
			if strings.HasPrefix(t.Task, name+"/") {
				c.end(on, a, state)
			}
		}
	}
}

var _ = Describe("Policies", func() {
	It("spread fast work and pack thrifty work", func() {
		c := newCell(4, smallWorker)
		fast, thrifty := workload("f", configuration.Batch, 4, cpu(1)), workload("t", configuration.Batch, 4, cpu(1))
		thrifty.Policy = configuration.Thrifty
		c.Declare(declareOp(fast))
		c.Run(5 * time.Second)
		Expect(c.runningByWorker("f")).To(HaveLen(4))
		c.Declare(configuration.Op{Cancel: &configuration.Cancel{Workloads: []string{"f"}}})
		c.Run(time.Second)
		c.Declare(declareOp(thrifty))
		c.Run(5 * time.Second)
		Expect(c.runningByWorker("t")).To(HaveLen(1))
	})

	It("change for running work with a new declaration", func() {
		c := newCell(4, smallWorker)
		w := workload("s", configuration.Service, 2, cpu(1))
		w.Policy = configuration.Thrifty
		c.Declare(declareOp(w))
		c.Run(5 * time.Second)
		Expect(c.runningByWorker("s")).To(HaveLen(1))
		w.Policy, w.Count, w.Homes = configuration.Fast, 4, []configuration.Home{{Domain: "d", Count: 4}}
		c.Declare(declareOp(w))
		c.Run(5 * time.Second)
		Expect(c.runningByWorker("s")).To(HaveLen(3))
	})

	It("start careful work only on workers that have confirmed their newest starts", func() {
		c := newCell(1, smallWorker)
		w := workload("c", configuration.Batch, 4, cpu(1))
		w.Policy = configuration.Careful
		c.Declare(declareOp(w))
		c.Written = func(w scheduler.WriteWorker) { Expect(len(w.Starts)).To(BeNumerically("<=", 1)) }
		c.Run(5 * time.Second)
		Expect(c.runningByWorker("c")).To(HaveKeyWithValue("w0000", 4))
	})

	It("spread tasks over all racks before sharing one", func() {
		c := newCell(15, smallWorker)
		w := workload("s", configuration.Service, 3, cpu(1))
		w.Spread = true
		c.Declare(declareOp(w))
		c.Run(5 * time.Second)
		racks := map[string]bool{}
		for name := range c.runningByWorker("s") {
			i := slices.IndexFunc(c.Hosts, func(h scheduler.Host) bool { return h.Name == name })
			racks[c.Hosts[i].Rack] = true
		}
		Expect(racks).To(HaveLen(3))
	})

	It("keep CPU and memory that free accelerators need from other work", func() {
		c := newCell(3, mixedWorker)
		acc := workload("a", configuration.Batch, 3, resource.Vector{MilliCPU: 2000, MemoryMiB: 1024, Accelerators: 1})
		c.Declare(declareOp(acc))
		c.Run(5 * time.Second)
		c.Declare(declareOp(workload("p", configuration.Batch, 24, cpu(1))))
		c.Run(5 * time.Second)
		Expect(sumCounts(c.runningByWorker("a"))).To(Equal(3))
		Expect(c.runningByWorker("p")).NotTo(HaveKey("w0000"))
		Expect(c.nodeReasons("p/2/9")).To(ContainElement(placement.AcceleratorsKept))
	})
})

var _ = Describe("Gangs", func() {
	gang := func(name string, n int, size resource.Vector) configuration.Workload {
		return workload(name, configuration.Gang, n, size)
	}

	It("start all tasks or none", func() {
		c := newCell(2, smallWorker)
		c.Declare(declareOp(workload("b", configuration.Batch, 1, cpu(1))))
		c.Run(5 * time.Second)
		c.Declare(declareOp(gang("g", 8, cpu(1))))
		c.Run(5 * time.Second)
		Expect(c.runningByWorker("g")).To(BeEmpty())
		c.endAll("b", scheduler.Succeeded)
		c.Run(5 * time.Second)
		Expect(sumCounts(c.runningByWorker("g"))).To(Equal(8))
	})

	It("do not deadlock while competing for capacity", func() {
		c := newCell(2, smallWorker)
		c.Declare(declareOp(gang("g", 6, cpu(1))), declareOp(gang("h", 6, cpu(1))))
		c.Run(5 * time.Second)
		Expect(sumCounts(c.runningByWorker("g")) + sumCounts(c.runningByWorker("h"))).To(Equal(6))
		c.endAll("g", scheduler.Succeeded)
		c.endAll("h", scheduler.Succeeded)
		c.Run(5 * time.Second)
		Expect(sumCounts(c.runningByWorker("g")) + sumCounts(c.runningByWorker("h"))).To(Equal(6))
	})

	It("stop and restart all tasks when a member fails", func() {
		c := newCell(2, smallWorker)
		c.Declare(declareOp(gang("g", 8, cpu(1))))
		c.Run(5 * time.Second)
		first := c.started[0]
		for name := range c.Workers {
			c.end(name, first.Attempt, scheduler.Failed)
		}
		c.Run(2500 * time.Millisecond)
		c.Run(8 * time.Second)
		Expect(sumCounts(c.runningByWorker("g"))).To(Equal(8))
		Expect(c.started).To(HaveLen(16))
		Expect(c.orders).To(HaveLen(7))
	})

	It("are not starved by small work, which is backfilled only until their reserved start", func() {
		c := newCell(2, smallWorker)
		long := workload("long", configuration.Batch, 4, cpu(1))
		long.RunMillis = 60000
		c.Declare(declareOp(long))
		c.Run(5 * time.Second)
		c.Declare(declareOp(gang("g", 8, cpu(1))))
		c.Run(time.Second)
		short, late := workload("short", configuration.Batch, 2, cpu(1)), workload("late", configuration.Batch, 2, cpu(1))
		short.RunMillis, late.RunMillis = 5000, 600000
		c.Declare(declareOp(short), declareOp(late))
		c.Run(3 * time.Second)
		Expect(sumCounts(c.runningByWorker("short"))).To(Equal(2))
		Expect(c.runningByWorker("late")).To(BeEmpty())
		Expect(c.nodeReasons("late/3/0")).To(ContainElement(placement.Reserved))
		c.endAll("long", scheduler.Succeeded)
		c.endAll("short", scheduler.Succeeded)
		c.Run(4 * time.Second)
		Expect(sumCounts(c.runningByWorker("g"))).To(Equal(8))
	})

	It("start even when other work declares a tenth of its actual run time", func() {
		c := newCell(2, smallWorker)
		c.Declare(declareOp(gang("g", 8, cpu(1))))
		n := 0
		for round := range 200 {
			w := workload(fmt.Sprint("b", round), configuration.Batch, 2, cpu(1))
			w.RunMillis = 2000
			c.Declare(declareOp(w))
			c.Run(time.Second)
			if round >= 20 {
				c.endAll(fmt.Sprint("b", round-20), scheduler.Succeeded)
			}
			if n = sumCounts(c.runningByWorker("g")); n > 0 && round > 25 {
				break
			}
		}
		Expect(n).To(Equal(8))
	})
})

var _ = Describe("Urgency", func() {
	It("preempts work with a checkpoint, from which it resumes later", func() {
		c := newCell(2, smallWorker)
		low, normal := workload("low", configuration.Batch, 4, cpu(1)), workload("normal", configuration.Batch, 4, cpu(1))
		low.Urgency = configuration.Low
		c.Declare(declareOp(low), declareOp(normal))
		c.Run(10 * time.Second)
		urgent := workload("u", configuration.Batch, 2, cpu(2))
		urgent.Urgency = configuration.Urgent
		c.Declare(declareOp(urgent))
		Expect(sumCounts(c.runningByWorker("u"))).To(Equal(2))
		Expect(sumCounts(c.runningByWorker("normal"))).To(Equal(4))
		for _, o := range c.orders {
			Expect(o.Kind).To(Equal(scheduler.Checkpoint))
			Expect(o.Task).To(HavePrefix("low/"))
		}
		c.endAll("u", scheduler.Succeeded)
		c.Run(5 * time.Second)
		Expect(sumCounts(c.runningByWorker("low"))).To(Equal(4))
		Expect(c.started[len(c.started)-1].Checkpoint).To(BeNumerically(">", 0))
	})

	It("never preempts without a checkpoint for careful work", func() {
		c := newCell(1, smallWorker)
		c.Run(5 * time.Second)
		c.Declare(declareOp(workload("b", configuration.Batch, 4, cpu(1))))
		c.Run(200 * time.Millisecond)
		urgent := workload("u", configuration.Batch, 1, cpu(1))
		urgent.Urgency, urgent.Policy = configuration.Urgent, configuration.Careful
		c.Declare(declareOp(urgent))
		Expect(sumCounts(c.runningByWorker("u"))).To(Equal(1))
		Expect(c.orders).To(HaveLen(1))
		Expect(c.orders[0].Kind).To(Equal(scheduler.Checkpoint))
	})
})

var _ = Describe("Teams", func() {
	team := func(name string, quota resource.Vector, weight int64) configuration.Op {
		return configuration.Op{Team: &configuration.Team{Name: name, Quota: quota, Weight: weight}}
	}
	of := func(t string, w configuration.Workload) configuration.Op {
		w.Team = t
		return declareOp(w)
	}

	It("stay within their quota, with quota as the wait reason", func() {
		c := newCell(2, smallWorker)
		c.Declare(team("t", cpu(3), 1), of("t", workload("b", configuration.Batch, 5, cpu(1))))
		c.Run(5 * time.Second)
		Expect(sumCounts(c.runningByWorker("b"))).To(Equal(3))
		Expect(c.waitReasons("b")).To(ConsistOf(BeEquivalentTo(placement.Quota)))
		c.Declare(team("t", cpu(4), 1))
		c.Run(time.Second)
		Expect(sumCounts(c.runningByWorker("b"))).To(Equal(4))
	})

	It("share capacity by weight, and borrow idle capacity of others", func() {
		c := newCell(3, smallWorker)
		c.Declare(team("x", resource.Vector{}, 2), team("y", resource.Vector{}, 1), of("x", workload("a", configuration.Batch, 40, cpu(1))))
		c.Run(5 * time.Second)
		Expect(sumCounts(c.runningByWorker("a"))).To(Equal(12))
		c.Declare(of("y", workload("b", configuration.Batch, 40, cpu(1))))
		for range 8 {
			for _, w := range c.Workers {
				for _, t := range w.Live() {
					w.End(t, scheduler.Stopped)
				}
			}
			c.Run(3 * time.Second)
		}
		Expect(sumCounts(c.runningByWorker("a"))).To(BeNumerically("~", 8, 1))
		Expect(sumCounts(c.runningByWorker("b"))).To(BeNumerically("~", 4, 1))
	})
})

var _ = Describe("Jobs", func() {
	It("that could never run are refused immediately with the reason", func() {
		c := newCell(2, smallWorker)
		c.Run(3 * time.Second)
		big, wide := workload("big", configuration.Batch, 1, cpu(5)), workload("wide", configuration.Gang, 9, cpu(1))
		c.Declare(declareOp(big), declareOp(wide))
		Expect(c.waitReasons("big")).To(ConsistOf(BeEquivalentTo(placement.Impossible)))
		Expect(c.waitReasons("wide")).To(ConsistOf(BeEquivalentTo(placement.GangTooLarge)))
		split := workload("split", configuration.Gang, 2, cpu(1))
		split.Count, split.Homes = 4, append(split.Homes, configuration.Home{Domain: "e", Count: 2})
		c.Declare(declareOp(split))
		Expect(c.waitReasons("split")).To(ConsistOf(BeEquivalentTo(placement.GangSplit)))
		Expect(c.Core.Refusal(&big)).To(MatchError(ContainSubstring("no worker holds")))
	})

	It("take the larger of declared and observed size", func() {
		c := newCell(1, smallWorker)
		c.Declare(declareOp(workload("b", configuration.Batch, 4, cpu(1))))
		c.Run(5 * time.Second)
		w := c.Workers["w0000"]
		for i, s := range c.started {
			w.Report(w.Tasks[s.Attempt], cpu(2))
			if i > 0 {
				c.end(w.Name, s.Attempt, scheduler.Stopped)
			}
		}
		c.Run(10 * time.Second)
		Expect(sumCounts(c.runningByWorker("b"))).To(Equal(2))
		Expect(c.started[len(c.started)-1].Size).To(Equal(cpu(2)))
	})

	It("avoid a worker that fails everything until a probe succeeds", func() {
		c := newCell(2, smallWorker)
		for i := range 4 {
			c.Declare(declareOp(workload(fmt.Sprint("b", i), configuration.Batch, 1, cpu(1))))
		}
		bad := true
		for range 100 {
			for _, t := range c.Workers["w0000"].Live() {
				if bad {
					c.Workers["w0000"].End(t, scheduler.Failed)
				}
			}
			c.Run(500 * time.Millisecond)
		}
		Expect(c.Running()).To(HaveLen(4))
		for _, w := range c.Running() {
			Expect(w).To(Equal("w0001"))
		}
		bad = false
		c.Run(2 * time.Minute)
		c.Declare(declareOp(workload("n", configuration.Batch, 4, cpu(1))))
		c.Run(30 * time.Second)
		Expect(c.runningByWorker("n")).To(HaveKeyWithValue("w0000", 4))
	})

	It("end the probation of a worker also where only services wait", func() {
		c := newCell(2, smallWorker)
		for i := range 4 {
			c.Declare(declareOp(workload(fmt.Sprint("b", i), configuration.Batch, 1, cpu(1))))
		}
		for range 100 {
			for _, t := range c.Workers["w0000"].Live() {
				c.Workers["w0000"].End(t, scheduler.Failed)
			}
			c.Run(500 * time.Millisecond)
		}
		Expect(c.runningByWorker("b0")).To(HaveKeyWithValue("w0001", 1))
		c.Declare(declareOp(workload("n", configuration.Service, 4, cpu(1))))
		c.Run(3 * time.Minute)
		Expect(c.runningByWorker("n")).To(HaveKeyWithValue("w0000", 4), "w0001 is full")
	})

	It("are cancelled together with one write per worker", func() {
		c := newCell(2, smallWorker)
		c.Declare(declareOp(workload("a", configuration.Batch, 4, cpu(1))), declareOp(workload("b", configuration.Batch, 4, cpu(1))))
		c.Run(5 * time.Second)
		writes := 0
		cancel := configuration.Op{Cancel: &configuration.Cancel{Workloads: []string{"a", "b"}}}
		data, err := configuration.Encode(configuration.Record{ID: "wave", Ops: []configuration.Op{cancel}})
		Expect(err).NotTo(HaveOccurred())
		for _, e := range c.Core.Step(c.Now, scheduler.LogRead{Records: []configuration.Numbered{{Offset: c.Offset, Data: data}}}) {
			if w, ok := e.(scheduler.WriteWorker); ok {
				Expect(w.Orders).To(HaveLen(4))
				writes++
			}
		}
		Expect(writes).To(Equal(2))
	})
})
