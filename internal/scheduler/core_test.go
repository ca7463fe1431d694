package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

func TestScheduler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Scheduler")
}

// answer replies to a write as a worker whose clock is an hour ahead and that
// takes every mark and start.
func answer(now time.Duration, w scheduler.WriteWorker) scheduler.WriteReplied {
	ev := scheduler.WriteReplied{Worker: w.Worker, Capacity: resource.Vector{MilliCPU: 8000, MemoryMiB: 8192}, Digest: w.Digest + 1}
	ev.Reply = ownership.Reply{Write: w.Write, Now: now + time.Hour, Boot: time.Minute, Expiry: w.MarkExpiry, Since: now + time.Hour}
	for _, s := range w.Starts {
		ev.Tasks = append(ev.Tasks, scheduler.ObservedTask{Task: s.Task, Attempt: s.Attempt, Size: s.Size, Expiry: s.Expiry})
	}
	return ev
}

var _ = Describe("Core", func() {
	It("places a declared service on workers that it owns", func() {
		c := scheduler.New(scheduler.DefaultSettings("h1", "1", "d"))
		data, err := configuration.Encode(configuration.Record{ID: "a", Ops: []configuration.Op{
			{Domain: &configuration.Domain{Name: "d", Workers: []string{"w1", "w2"}, Entries: []string{"h1"}}},
			{Workload: &configuration.Workload{
				Name: "s", Kind: configuration.Service, Count: 2, Size: resource.Vector{MilliCPU: 1000},
				Homes: []configuration.Home{{Domain: "d", Count: 2}},
			}},
		}})
		Expect(err).NotTo(HaveOccurred())
		effects := c.Step(0, scheduler.HostsRead{Hosts: []scheduler.Host{{Name: "w1", Address: "a1"}, {Name: "w2", Address: "a2"}}})
		effects = append(effects, c.Step(0, scheduler.LogRead{Records: []configuration.Numbered{{Data: data}}})...)
		starts := map[string]string{}
		for now := time.Millisecond; now < 5*time.Second; now += 100 * time.Millisecond {
			queue := append(effects, c.Step(now, scheduler.Tick{})...)
			effects = nil
			for len(queue) > 0 {
				w := queue[0].(scheduler.WriteWorker)
				queue = queue[1:]
				for _, s := range w.Starts {
					starts[s.Task] = w.Worker
					Expect(s.Expiry).To(BeNumerically("<=", now+time.Hour+ownership.DefaultTiming().Mark))
				}
				queue = append(queue, c.Step(now, answer(now, w))...)
			}
		}
		Expect(c.Leader()).To(BeTrue())
		Expect(starts).To(HaveLen(2))
		Expect(starts["s/0/d/0"]).NotTo(Equal(starts["s/0/d/1"]))
	})

	It("makes a new directory only when entries would learn something from it", func() {
		c := scheduler.New(scheduler.DefaultSettings("h1", "1", "d"))
		data, err := configuration.Encode(configuration.Record{ID: "a", Ops: []configuration.Op{
			{Domain: &configuration.Domain{Name: "d", Workers: []string{"w1"}, Entries: []string{"h1"}}},
			{Workload: &configuration.Workload{Name: "s", Kind: configuration.Service, Count: 1, Homes: []configuration.Home{{Domain: "d", Count: 1}}}},
		}})
		Expect(err).NotTo(HaveOccurred())
		queue := c.Step(0, scheduler.HostsRead{Hosts: []scheduler.Host{{Name: "w1", Address: "a1"}}})
		queue = append(queue, c.Step(0, scheduler.LogRead{Records: []configuration.Numbered{{Data: data}}})...)
		var tasks []scheduler.ObservedTask
		versions := map[int64]bool{}
		for now := time.Millisecond; now < 12*time.Second; now += 100 * time.Millisecond {
			queue = append(queue, c.Step(now, scheduler.Tick{})...)
			for ; len(queue) > 0; queue = queue[1:] {
				reply := answer(now, queue[0].(scheduler.WriteWorker))
				tasks = append(tasks, reply.Tasks...)
				reply.Tasks = nil
				for _, t := range tasks {
					t.Address, t.Usage.MilliCPU, t.Expiry = "r", int64(now), now+2*time.Hour
					reply.Tasks = append(reply.Tasks, t)
				}
				queue = append(queue, c.Step(now, reply)...)
			}
			if now > 6*time.Second {
				data, err := configuration.Encode(configuration.Record{ID: now.String(), Ops: []configuration.Op{{Team: &configuration.Team{Name: "t", Weight: int64(now)}}}})
				Expect(err).NotTo(HaveOccurred())
				queue = append(queue, c.Step(now, scheduler.LogRead{Records: []configuration.Numbered{{Offset: c.NextOffset(), Data: data}}})...)
				versions[c.Directory().Version] = true
			}
		}
		Expect(c.Directory().Endpoints).To(HaveLen(1))
		Expect(versions).To(HaveLen(1))
	})

	It("appends a snapshot when the log has had none for long", func() {
		c := scheduler.New(scheduler.DefaultSettings("h1", "1", "d"))
		data, err := configuration.Encode(configuration.Record{ID: "a", Ops: []configuration.Op{
			{Domain: &configuration.Domain{Name: "d", Workers: []string{"w1"}, Entries: []string{"h1"}}},
		}})
		Expect(err).NotTo(HaveOccurred())
		queue := c.Step(0, scheduler.HostsRead{Hosts: []scheduler.Host{{Name: "w1", Address: "a1"}}})
		queue = append(queue, c.Step(0, scheduler.LogRead{Records: []configuration.Numbered{{Data: data}}})...)
		var snapshots []time.Duration
		for now := time.Millisecond; now < 2*time.Hour; now += 500 * time.Millisecond {
			queue = append(queue, c.Step(now, scheduler.Tick{})...)
			for len(queue) > 0 {
				eff := queue[0]
				queue = queue[1:]
				switch eff := eff.(type) {
				case scheduler.WriteWorker:
					queue = append(queue, c.Step(now, answer(now, eff))...)
				case scheduler.AppendRecord:
					Expect(eff.Record.Snapshot.Catalog.Next).To(Equal(int64(1 + len(snapshots))))
					snapshots = append(snapshots, now)
					data, err := configuration.Encode(eff.Record)
					Expect(err).NotTo(HaveOccurred())
					n := configuration.Numbered{Offset: int64(len(snapshots)), Data: data}
					queue = append(queue, c.Step(now, scheduler.AppendDone{ID: eff.Record.ID})...)
					queue = append(queue, c.Step(now, scheduler.LogRead{Records: []configuration.Numbered{n}})...)
				}
			}
		}
		Expect(snapshots).To(HaveLen(3))
	})
})
