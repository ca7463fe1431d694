package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/fakeworker"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

var _ = Describe("A new leader", func() {
	// This scheduler saw attempt 1. The leader then restarted the task as attempt
	// 2 and stopped. The worker's next list shows only attempt 2.
	It("adopts a task whose attempt changed since the worker's last report", func() {
		c := scheduler.New(scheduler.DefaultSettings("h1", "1", "d"))
		c.Step(0, scheduler.HostsRead{Hosts: []scheduler.Host{{Name: "w1", Address: "a1"}}})
		domain := configuration.Op{Domain: &configuration.Domain{Name: "d", Workers: []string{"w1"}, Entries: []string{"h1", "h2"}}}
		data, err := configuration.Encode(configuration.Record{ID: "a", Ops: []configuration.Op{domain, declareOp(workload("s", configuration.Service, 1, cpu(1)))}})
		Expect(err).NotTo(HaveOccurred())
		effects := c.Step(0, scheduler.LogRead{Records: []configuration.Numbered{{Data: data}}})
		var p fakeworker.Partition
		attempt := uint64(1)
		for now := time.Millisecond; now < 70*time.Second; now += 100 * time.Millisecond {
			queue := append(effects, c.Step(now, p.Read(p.End()))...)
			queue = append(queue, c.Step(now, scheduler.Tick{})...)
			effects = nil
			for len(queue) > 0 {
				if eff, ok := queue[0].(scheduler.AppendTenure); ok {
					queue = append(queue[1:], c.Step(now, p.Append(eff))...)
					continue
				}
				w := queue[0].(scheduler.WriteWorker)
				queue = queue[1:]
				Expect(w.Starts).To(BeEmpty())
				Expect(w.Orders).To(BeEmpty())
				ev := scheduler.WriteReplied{Worker: "w1", Digest: attempt, Capacity: resource.Vector{MilliCPU: 8000}}
				ev.Reply = ownership.Reply{Write: w.Write, Now: now + time.Hour, Boot: time.Minute, Token: w.Token}
				ev.Tasks = []scheduler.ObservedTask{{Task: "s/0/d/0", Attempt: attempt, Expiry: now + 2*time.Hour}}
				attempt = 2
				queue = append(queue, c.Step(now, ev)...)
			}
		}
		Expect(c.IsLeader()).To(BeTrue())
	})
})
