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

// workers declares the domain anew with the given workers.
func (c *cell) workers(names ...string) {
	c.Declare(configuration.Op{Domain: &configuration.Domain{Name: fakeworker.Domain, Entries: []string{"h1"}, Workers: names}})
}

var _ = Describe("Reconciling", func() {
	It("counts tasks of a worker that was removed and declared again as lost only when their leases have run out", func() {
		c := newCell(4, small)
		c.Declare(declared(workload("s", configuration.Service, 4, cpu(1))))
		c.Run(5 * time.Second)
		all := slices.Sorted(maps.Keys(c.Workers))
		Expect(c.started).To(HaveLen(4))
		Expect(c.on("s")).To(HaveKeyWithValue("w0003", 1))
		c.Mute["w0003"] = true
		c.workers(all[:3]...)
		c.Run(time.Second)
		c.workers(all...)
		var again time.Duration
		c.Written = func(w scheduler.WriteWorker) {
			c.written(w)
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
				Expect(t.Expiry).To(BeNumerically("<=", again+fakeworker.ClockAhead), "started again while its lease runs")
			}
		}
		Expect(again).To(BeNumerically(">", from+ownership.DefaultTiming().Task/2))
		Expect(c.Core.Counters()).To(HaveKeyWithValue("task-lost", int64(1)))
	})

	It("does not take up a task that is over because a worker lists an attempt of it", func() {
		c := newCell(1, small)
		c.Declare(declared(workload("b", configuration.Batch, 1, cpu(1))))
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

	It("pauses between orders that a worker does not carry out", func() {
		c := newCell(1, small)
		c.Declare(declared(workload("b", configuration.Batch, 1, cpu(1))))
		c.Run(5 * time.Second)
		c.Workers["w0000"].Ended = func(t *fakeworker.Task) { t.State = scheduler.Running }
		const most = 6 // one at once, and one each 200 ms
		c.Written = func(w scheduler.WriteWorker) {
			c.written(w)
			Expect(len(c.orders)).To(BeNumerically("<=", most))
		}
		c.Declare(cancelled("b"))
		c.Run(time.Second)
		Expect(len(c.orders)).To(BeNumerically(">", 1))
	})
})
