package scheduler_test

import (
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/fakeworker"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// declareWorkers declares the domain again with the given workers.
func (c *testCell) declareWorkers(names ...string) {
	c.Declare(configuration.Op{Domain: &configuration.Domain{Name: fakeworker.Domain, Entries: []string{"h1"}, Workers: names}})
}

var _ = Describe("Reconciling", func() {
	It("keeps tasks of a worker that was removed and declared again until their leases have expired", func() {
		c := newCell(4, smallWorker)
		c.Declare(declareOp(workload("s", configuration.Service, 4, cpu(1))))
		c.Run(5 * time.Second)
		all := slices.Sorted(maps.Keys(c.Workers))
		Expect(c.started).To(HaveLen(4))
		Expect(c.runningByWorker("s")).To(HaveKeyWithValue("w0003", 1))
		c.Mute["w0003"] = true
		c.declareWorkers(all[:3]...)
		c.Run(time.Second)
		c.declareWorkers(all...)
		var again time.Duration
		c.Written = func(w scheduler.WriteWorker) {
			c.recordWrite(w)
			if len(w.Starts) > 0 && again == 0 {
				again = c.Now
			}
		}
		from := c.Now
		for again == 0 && c.Now < from+time.Minute {
			c.Run(fakeworker.TickInterval)
			if again == 0 {
				continue
			}
			for _, t := range c.Workers["w0003"].Tasks {
				Expect(t.Expiry).To(BeNumerically("<=", again+fakeworker.ClockAhead), "started again before its lease expired")
			}
		}
		Expect(again).To(BeNumerically(">", from+ownership.DefaultTiming().Task/2))
		Expect(c.Core.Counters()).To(HaveKeyWithValue("task-lost", int64(1)))
	})

	It("stops an attempt of a completed task that a worker still reports, and does not restart the task", func() {
		c := newCell(1, smallWorker)
		c.Declare(declareOp(workload("b", configuration.Batch, 1, cpu(1))))
		c.Run(5 * time.Second)
		w, first := c.Workers["w0000"], c.started[0]
		c.end("w0000", first.Attempt, scheduler.Succeeded)
		c.Run(3 * time.Second)
		late := &fakeworker.Task{ObservedTask: scheduler.ObservedTask{
			Task: first.Task, Attempt: first.Attempt + 1, Size: first.Size, Expiry: w.Now() + time.Minute,
		}}
		w.Tasks[late.Attempt] = late
		w.Report(late, first.Size)
		c.Run(3 * time.Second)
		Expect(c.orders).To(HaveLen(1))
		Expect(c.orders[0]).To(And(HaveField("Kind", scheduler.Stop), HaveField("Attempt", late.Attempt)))
		Expect(late.State).To(Equal(scheduler.Stopped))
		c.Run(time.Minute)
		Expect(c.started).To(HaveLen(1))
	})

	It("limits the rate of orders that a worker does not carry out", func() {
		c := newCell(1, smallWorker)
		c.Declare(declareOp(workload("b", configuration.Batch, 1, cpu(1))))
		c.Run(5 * time.Second)
		c.Workers["w0000"].Ended = func(t *fakeworker.Task) { t.State = scheduler.Running }
		const most = 6 // one at once, and one every 200 ms
		c.Written = func(w scheduler.WriteWorker) {
			c.recordWrite(w)
			Expect(len(c.orders)).To(BeNumerically("<=", most))
		}
		c.Declare(cancelOp("b"))
		c.Run(time.Second)
		Expect(len(c.orders)).To(BeNumerically(">", 1))
	})
})
