package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/fakeworker"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
	"github.com/mimosaspool/mimosaspool/internal/tenure"
)

// recordPreviousLeader records a leader of the domain before the cell's core, which
// may have started tasks on the given workers, and returns its token.
func (c *testCell) recordPreviousLeader(workers ...string) int64 {
	claim := tenure.Record{Node: "h2", Incarnation: "1"}
	offset := c.Tenure.Append(scheduler.AppendTenure{Record: claim, End: c.Tenure.End()}).Offset
	beat := claim
	beat.Token = offset + 1
	for _, w := range workers {
		beat.Members = append(beat.Members, w+"@"+w)
	}
	c.Tenure.Append(scheduler.AppendTenure{Record: beat, End: c.Tenure.End()})
	return beat.Token
}

// timeToFirstStart runs the cell until a task starts and returns how long that
// took, at most maxWait.
func (c *testCell) timeToFirstStart(maxWait time.Duration) time.Duration {
	from, n := c.Now, len(c.started)
	for c.Now < from+maxWait && len(c.started) == n {
		c.Run(fakeworker.TickInterval)
	}
	return c.Now - from
}

var _ = Describe("Leadership", func() {
	timing := ownership.DefaultTiming()
	confidence := timing.Tenure.Confidence
	service := func(n int) configuration.Op { return declareOp(workload("s", configuration.Service, n, cpu(1))) }

	It("is claimed by one of two concurrent schedulers, and only that one writes to workers", func() {
		var p fakeworker.Partition
		writes := map[int]int{}
		claims := 0
		var cores []*scheduler.Core
		for i := range 2 {
			c := scheduler.New(scheduler.DefaultSettings(fmt.Sprint("h", i), "1", "d"))
			c.Step(0, scheduler.HostsRead{Hosts: []scheduler.Host{{Name: "w1", Address: "a1"}}})
			cores = append(cores, c)
		}
		data, err := configuration.Encode(configuration.Record{ID: "a", Ops: []configuration.Op{
			{Domain: &configuration.Domain{Name: "d", Workers: []string{"w1"}, Entries: []string{"h0", "h1"}}},
		}})
		Expect(err).NotTo(HaveOccurred())
		for now := time.Duration(0); now < 5*time.Second; now += 100 * time.Millisecond {
			read := p.Read(0)
			for i, c := range cores {
				if now == 0 {
					c.Step(now, scheduler.LogRead{Records: []configuration.Numbered{{Data: data}}})
				}
				queue := c.Step(now, read)
				// Both read a partition that lacks the other's newest record.
				queue = append(queue, c.Step(now, scheduler.Tick{})...)
				for len(queue) > 0 {
					switch eff := queue[0].(type) {
					case scheduler.WriteWorker:
						writes[i]++
					case scheduler.AppendTenure:
						if eff.Record.Token == 0 {
							claims++
						}
						queue = append(queue, c.Step(now, p.Append(eff))...)
					}
					queue = queue[1:]
				}
			}
		}
		Expect(claims).To(BeNumerically(">", 0))
		Expect(writes).To(HaveLen(1))
		Expect(cores[0].IsLeader()).NotTo(Equal(cores[1].IsLeader()))
	})

	It("starts its term immediately when every machine of the previous leader answers", func() {
		c := newCell(3, smallWorker)
		c.recordPreviousLeader("w0000", "w0001", "w0002")
		c.Declare(service(3))
		Expect(c.timeToFirstStart(time.Minute)).To(BeNumerically("<", timing.Tenure.Silence+time.Second))
		Expect(c.Core.Term().Held).To(BeFalse(), "the previous leader may still grant slots")
		c.Run(timing.Grant - time.Second)
		Expect(c.Core.Term().Held).To(BeFalse())
		c.Run(2 * time.Second)
		Expect(c.Core.Term().Held).To(BeTrue())
	})

	It("starts no term while the previous leader may give orders, and no task that may run on an unreachable machine", func() {
		c := newCell(3, smallWorker)
		c.recordPreviousLeader("w0000", "w0001", "w0002")
		c.Silent["w0002"] = true
		c.Declare(service(3))
		for !c.Core.IsLeader() {
			c.Run(fakeworker.TickInterval)
		}
		Expect(c.Now).To(BeNumerically(">=", timing.PreviousLeaderTimeout()))
		Expect(c.timeToFirstStart(time.Minute)).To(BeNumerically(">=", timing.Task-fakeworker.TickInterval))
	})

	It("starts no term without a majority of the previous leader's machines", func() {
		c := newCell(4, smallWorker)
		c.recordPreviousLeader("w0000", "w0001", "w0002", "w0003")
		c.Silent["w0002"], c.Silent["w0003"] = true, true
		c.Declare(service(1))
		c.Run(time.Minute)
		Expect(c.Core.IsLeader()).To(BeFalse())
	})

	It("treats a machine of the previous leader without a worker name as unreachable", func() {
		c := newCell(2, smallWorker)
		c.recordPreviousLeader("w0000", "w0001", "removed")
		c.Declare(service(1))
		Expect(c.timeToFirstStart(time.Minute)).To(BeNumerically(">=", timing.PreviousLeaderTimeout()+timing.Task))
	})

	It("takes over machines that the previous leader reached at other addresses", func() {
		c := newCell(2, smallWorker)
		for i, h := range c.Hosts {
			c.Hosts[i].Machine, c.Hosts[i].Address = h.Name, "by-h1-"+h.Name
		}
		c.step(scheduler.HostsRead{Hosts: c.Hosts})
		c.recordPreviousLeader("w0000", "w0001")
		c.Declare(service(1))
		Expect(c.timeToFirstStart(time.Minute)).To(BeNumerically("<", timing.PreviousLeaderTimeout()))
		Expect(c.Tenure.Members()).To(Equal([]string{"w0000@w0000", "w0001@w0001"}))
	})

	It("detects another machine behind a worker's name even at the same address", func() {
		c := newCell(1, smallWorker)
		c.Declare(service(1))
		c.Run(5 * time.Second)
		Expect(c.started).To(HaveLen(1))
		c.Hosts[0].Machine = "other"
		c.step(scheduler.HostsRead{Hosts: c.Hosts})
		c.Run(5 * time.Second)
		Expect(c.Tenure.Members()).To(ConsistOf("w0000@w0000", "w0000@other"))
	})

	It("starts tasks only on machines that it has recorded", func() {
		c := newCell(3, smallWorker)
		c.Declare(service(3))
		c.Written = func(w scheduler.WriteWorker) {
			c.recordWrite(w)
			if len(w.Starts) > 0 {
				Expect(c.Tenure.Members()).To(ContainElement(w.Worker + "@" + w.Address))
			}
		}
		c.Run(5 * time.Second)
		Expect(c.started).To(HaveLen(3))
	})

	It("continues during a log outage only while a majority of workers answers", func() {
		c := newCell(3, smallWorker)
		c.Declare(service(3))
		c.Run(5 * time.Second)
		c.Tenure.Out = true
		c.Run(time.Minute)
		Expect(c.Core.IsLeader()).To(BeTrue())
		c.Silent["w0000"], c.Silent["w0001"] = true, true
		c.Run(confidence + timing.Renew)
		Expect(c.Core.IsLeader()).To(BeFalse())
		expiries := map[string]time.Duration{}
		c.Written = func(w scheduler.WriteWorker) { expiries[w.Worker] = w.RenewExpiry }
		c.Silent = map[string]bool{}
		c.Run(time.Minute)
		Expect(expiries).To(BeEmpty(), "a lost leadership must not be resumed")
		c.Tenure.Out = false
		c.Run(5 * time.Second)
		Expect(c.Core.IsLeader()).To(BeTrue())
	})

	It("is not confirmed by workers that restarted and lost their tokens", func() {
		c := newCell(3, smallWorker)
		c.Declare(service(3))
		c.Run(5 * time.Second)
		c.Tenure.Out = true
		for _, w := range c.Workers {
			w.Restart()
		}
		c.Run(timing.WorkerStartupDelay() - fakeworker.TickInterval)
		Expect(c.Core.IsLeader()).To(BeFalse())
		Expect(c.started).To(HaveLen(3))
	})

	It("ends when a worker has seen a higher token", func() {
		c := newCell(3, smallWorker)
		c.Declare(service(3))
		c.Run(5 * time.Second)
		c.Workers["w0001"].Token = 1000
		c.Tenure.Out = true
		c.Run(timing.Renew + fakeworker.TickInterval)
		Expect(c.Core.Counters()).To(HaveKeyWithValue("fenced", int64(1)))
		Expect(c.Core.IsLeader()).To(BeFalse())
		writes := 0
		c.Written = func(scheduler.WriteWorker) { writes++ }
		c.Run(10 * time.Second)
		Expect(writes).To(BeZero())
	})

	It("is given up at growing intervals by a leader that reaches no majority", func() {
		c := newCell(3, smallWorker)
		c.Declare(service(1))
		c.Run(timing.PreviousLeaderTimeout() + 5*time.Second)
		c.Silent["w0000"], c.Silent["w0001"] = true, true
		c.Run(20 * time.Second)
		first := c.Core.Counters()["yielded"]
		Expect(first).To(BeNumerically(">", 0))
		c.Run(100 * time.Second)
		Expect(c.Core.Counters()["yielded"] - first).To(BeNumerically("<=", 4))
	})

	It("is released by a planned stop, after which no orders are sent", func() {
		c := newCell(2, smallWorker)
		c.Declare(service(2))
		c.Run(timing.PreviousLeaderTimeout() + 5*time.Second)
		c.step(scheduler.Leave{})
		Expect(c.Tenure.Last().Resigned).To(BeTrue())
		writes := 0
		c.Written = func(scheduler.WriteWorker) { writes++ }
		c.Run(10 * time.Second)
		Expect(writes).To(BeZero())
		other := newCell(2, smallWorker)
		other.Tenure = c.Tenure
		other.Run(time.Second)
		Expect(other.Core.IsLeader()).To(BeTrue())
	})

	It("is not released while a previous leader may still give orders", func() {
		c := newCell(2, smallWorker)
		c.recordPreviousLeader("w0000", "w0001")
		c.Run(timing.Tenure.Silence + time.Second)
		Expect(c.Core.IsLeader()).To(BeTrue())
		c.step(scheduler.Leave{})
		Expect(c.Tenure.Last().Resigned).To(BeFalse())
	})
})
