package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/fakeworker"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

func TestScheduler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Scheduler")
}

var _ = Describe("Core", func() {
	It("places a declared service on workers that it owns", func() {
		c := newCell(2, smallWorker)
		c.Written = func(w scheduler.WriteWorker) {
			c.recordWrite(w)
			for _, s := range w.Starts {
				Expect(s.Expiry).To(BeNumerically("<=", c.Now+fakeworker.ClockAhead+ownership.DefaultTiming().Start))
			}
		}
		c.Declare(declareOp(workload("s", configuration.Service, 2, cpu(1))))
		c.Run(5 * time.Second)
		Expect(c.Core.IsLeader()).To(BeTrue())
		Expect(c.started).To(HaveLen(2))
		Expect(c.Running()["s/1/d/0"]).NotTo(BeEmpty())
		Expect(c.Running()["s/1/d/0"]).NotTo(Equal(c.Running()["s/1/d/1"]))
	})

	It("publishes a new directory only when its contents for entries changed", func() {
		c := newServing(1)
		c.Declare(declareOp(workload("s", configuration.Service, 1, cpu(1))))
		c.Run(6 * time.Second)
		versions := map[int64]bool{}
		for range 60 {
			for _, t := range c.Workers["w0000"].Live() {
				c.Workers["w0000"].Report(t, resource.Vector{MilliCPU: int64(c.Now)})
			}
			c.Declare(configuration.Op{Team: &configuration.Team{Name: "t", Weight: int64(c.Now)}})
			c.Run(fakeworker.TickInterval)
			versions[c.Core.Directory().Version] = true
		}
		Expect(c.Core.Directory().Endpoints).To(HaveLen(1))
		Expect(versions).To(HaveLen(1))
	})

	It("appends a snapshot when the log has had none for the snapshot interval", func() {
		c := newCell(1, smallWorker)
		var snapshots []time.Duration
		c.Appended = func(r configuration.Record) {
			Expect(r.Snapshot.Catalog.Next).To(Equal(int64(1 + len(snapshots))))
			snapshots = append(snapshots, c.Now)
			data, err := configuration.Encode(r)
			Expect(err).NotTo(HaveOccurred())
			n := configuration.Numbered{Offset: c.Offset, Data: data}
			c.Offset++
			c.step(scheduler.AppendDone{ID: r.ID})
			c.step(scheduler.LogRead{Records: []configuration.Numbered{n}})
		}
		c.Run(2*time.Hour - fakeworker.TickInterval)
		Expect(snapshots).To(HaveLen(3))
	})
})
