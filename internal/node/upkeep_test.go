package node

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/emulator"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/tenure"
	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// gatedMachines are a process's machines behind its gate.
type gatedMachines struct {
	worker.MachineClient
	p *process
}

func (g gatedMachines) StartMaintenance(ctx context.Context, d worker.MachineLease, machine string, wave int64) worker.MachineCode {
	if g.p.pass(); ctx.Err() != nil {
		return worker.MachineUnanswered // nothing is sent any more
	}
	defer g.p.pass()
	return g.MachineClient.StartMaintenance(ctx, d, machine, wave)
}

// cloudCluster is a cluster with machines m1 to m6 beside its workers.
type cloudCluster struct {
	*cluster
	cloud *emulator.Cloud
}

var statusPartition = store.Partition{Topic: "keyed.status"}

func (c *cloudCluster) adaptPorts(p *process, set *Settings, ports *Ports) {
	set.Limits.UpkeepTime, set.Limits.MoveTime, set.Limits.DutyLease = 2*time.Second, 1500*time.Millisecond, 3*time.Second
	set.Limits.MachineListPerSecond, set.Limits.MachineOrdersPerSecond = 60, 60
	ports.Machines = gatedMachines{c.cloud, p}
	catalog := ports.Feeds.Catalog
	ports.Feeds.Catalog = func(r store.Record) (*workflow.Catalog, error) {
		if strings.HasPrefix(r.Key, waveKey) {
			return nil, nil
		}
		return catalog(r)
	}
	ports.Feeds.Wave = func(r store.Record) (*worker.MaintenanceWave, error) {
		if len(r.Value) == 0 {
			return nil, nil
		}
		w := &worker.MaintenanceWave{}
		return w, json.Unmarshal(r.Value, w)
	}
	ports.Feeds.WaveStatus = func(wave int64, completed bool) store.Record {
		return store.Record{Key: fmt.Sprint(waveKey, wave), Value: fmt.Append(nil, completed)}
	}
}

// ask has the operators ask for a wave.
func (c *cloudCluster) ask(number int64, d time.Duration, most int, machines ...string) {
	w := worker.MaintenanceWave{Number: number, Machines: machines, Duration: d, MaxUnavailable: most}
	c.cloud.Ask(w)
	value, err := json.Marshal(w)
	c.Expect(err).NotTo(HaveOccurred())
	c.log.Put(operatorsPartition, store.Record{Key: fmt.Sprint(waveKey, number), Value: value})
}

// watchStatus tells the cloud's judge what is said of the waves.
func (c *cloudCluster) watchStatus() {
	for next := int64(0); c.ctx.Err() == nil; {
		b, err := c.log.Client("operator").Read(c.ctx, statusPartition, next, time.Second)
		if err != nil {
			pauseFor(c.ctx, 100*time.Millisecond)
			continue
		}
		next = b.NextOffset
		for _, r := range b.Records {
			var wave int64
			if _, err := fmt.Sscanf(r.Key, waveKey+"%d", &wave); err == nil && string(r.Value) == "true" {
				c.cloud.Completed(wave)
			}
		}
	}
}

// await waits until the wave is said to be completed, and checks that it was in time.
func (c *cloudCluster) await(wave int64, bound time.Duration) {
	for range int(bound/(100*time.Millisecond)) + 600 {
		if c.cloud.Took(wave) > 0 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	took := c.cloud.Took(wave)
	c.Expect(took).To(BeNumerically(">", 0), "wave %d was never completed; %d began; %v", wave, c.cloud.Begun(wave), c.breaches())
	c.Expect(took).To(BeNumerically("<=", bound), "wave %d", wave)
}

// serve hands in a job whose tasks last, of which one may be away.
func (c *cloudCluster) serve(id string, count int) *handed {
	h := c.hand(workflow.Job{ID: id, Steps: []workflow.Step{{Count: count, Size: workflow.Size{MilliCPU: 1000, MemoryMiB: 256},
		LongRunning: true, TargetLatencyMillis: 100, DisruptionBudget: 1, MaxPerWorker: 1, Requires: "mach"}}}, "plain")
	c.Expect(h.accepted).To(BeTrue())
	return h
}

var allMachines = []string{"m1", "m2", "m3", "m4", "m5", "m6"}

// playMachines runs a scenario on three nodes amid traffic, with serving tasks beside it.
func playMachines(t *testing.T, seeds uint64, edit func(*emulator.CloudConfig, *workflow.Catalog), scenario func(c *cloudCluster)) {
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := &cloudCluster{cluster: newCluster(t, seed, standard)}
				defer c.close()
				cfg := emulator.CloudConfig{Seed: seed, Kinds: map[string]string{"cpu": "mach", "gpu": "gpu", "spare": "mach"}}
				if edit != nil {
					edit(&cfg, c.catalog)
					value, err := json.Marshal(c.catalog)
					c.Expect(err).NotTo(HaveOccurred())
					c.log.Put(operatorsPartition, store.Record{Key: "config", Value: value})
				}
				c.cloud = emulator.NewCloud(cfg, c.fleet)
				c.adapt = c.adaptPorts
				for i, name := range allMachines {
					pool := "cpu"
					if len(cfg.Standby) > 0 {
						pool = cfg.Standby[0]
					}
					c.cloud.Add(name, emulator.WorkerConfig{Pool: pool, Labels: []string{"mach", fmt.Sprintf("r%d", 1+i%3)},
						Capacity: workflow.Size{MilliCPU: 4000, MemoryMiB: 8192}})
				}
				c.wg.Go(c.watchStatus)
				for _, name := range []string{"a", "b", "c"} {
					c.boot(name)
				}
				c.traffic(20*time.Second, 3)
				time.Sleep(6 * time.Second)
				scenario(c)
				c.settle()
			})
		})
	}
}

// TestSuspendedHolderGivesNoOrders checks that what was confirmed before the
// host was suspended counts no more, and that the next beat confirms anew.
func TestSuspendedHolderGivesNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := &Node{start: time.Now(), tenure: tenure.New(tenure.DefaultTiming(), "a", "1", 0)}
		slept := time.Duration(0)
		n.ports.BootTime = func() time.Duration { return time.Hour + n.now() + slept }
		d := &duty{asleep: n.asleep()}
		n.tenure.HandleRecords(n.now(), nil, nil, 0)
		confirm := func(act tenure.Action, offset int64) {
			time.Sleep(500 * time.Millisecond)
			rec, _ := n.tenure.BeginAction(n.now(), act, "")
			n.tenure.CompleteAction(n.now(), rec, offset, true)
		}
		confirm(tenure.Claim, 0)
		g.Expect(n.dutyUntil(d)).To(Equal(n.now() + dutyConfidence))
		slept = 2 * time.Second
		g.Expect(n.dutyUntil(d)).To(BeZero())
		time.Sleep(tickEvery)
		g.Expect(n.dutyUntil(d)).To(BeZero())
		confirm(tenure.Heartbeat, 1)
		g.Expect(n.dutyUntil(d)).To(Equal(n.now() + dutyConfidence))
	})
}

func TestWaveAmidTraffic(t *testing.T) {
	t.Parallel()
	playMachines(t, 3, nil, func(c *cloudCluster) {
		h := c.serve("00000000000000a1", 4)
		time.Sleep(4 * time.Second)
		c.ask(1, 45*time.Second, 2, allMachines...)
		c.await(1, 45*time.Second)
		c.drop(h)
	})
}

// TestUrgentWave asks for more than can be done in time: the budget and the
// bound hold all the same.
func TestUrgentWave(t *testing.T) {
	t.Parallel()
	playMachines(t, 3, nil, func(c *cloudCluster) {
		h := c.serve("00000000000000a1", 4)
		time.Sleep(4 * time.Second)
		c.ask(1, 8*time.Second, 2, allMachines...)
		c.await(1, 40*time.Second)
		c.ask(2, 8*time.Second, 1, allMachines...)
		c.await(2, 60*time.Second)
		c.drop(h)
	})
}

func TestTwoWavesAtOnce(t *testing.T) {
	t.Parallel()
	playMachines(t, 2, nil, func(c *cloudCluster) {
		h := c.serve("00000000000000a1", 4)
		c.ask(1, 30*time.Second, 1, "m1", "m2", "m3", "m4")
		c.ask(2, 30*time.Second, 1, "m3", "m4", "m5", "m6")
		c.await(1, 60*time.Second)
		c.await(2, 60*time.Second)
		c.drop(h)
	})
}

func TestHolderKilledInTheMiddleOfAWave(t *testing.T) {
	t.Parallel()
	playMachines(t, 3, nil, func(c *cloudCluster) {
		h := c.serve("00000000000000a1", 4)
		c.ask(1, 90*time.Second, 1, allMachines...)
		for n := 1; n <= 4; n += 2 {
			for c.cloud.Begun(1) < n {
				time.Sleep(50 * time.Millisecond)
			}
			p := c.holder()
			c.kill(p)
			c.boot(p.name)
		}
		c.await(1, 90*time.Second)
		c.drop(h)
	})
}

func TestHolderStalledInTheMiddleOfAWave(t *testing.T) {
	t.Parallel()
	playMachines(t, 2, nil, func(c *cloudCluster) {
		c.ask(1, 90*time.Second, 1, allMachines...)
		for c.cloud.Begun(1) < 2 {
			time.Sleep(50 * time.Millisecond)
		}
		p := c.holder()
		p.stall()
		c.pass(12 * time.Second)
		p.resume()
		c.await(1, 90*time.Second)
	})
}

func TestCloudThatIsSlowUnansweredOrDown(t *testing.T) {
	t.Parallel()
	playMachines(t, 3, nil, func(c *cloudCluster) {
		h := c.serve("00000000000000a1", 4)
		c.cloud.Disturb(time.Second, 0.5, false)
		c.ask(1, 120*time.Second, 2, allMachines...)
		time.Sleep(25 * time.Second)
		p := c.holder()
		c.kill(p)
		c.boot(p.name)
		c.cloud.Disturb(0, 0, true)
		time.Sleep(8 * time.Second)
		c.cloud.Disturb(200*time.Millisecond, 0.3, false)
		c.await(1, 120*time.Second)
		c.drop(h)
	})
}

func TestMachineLeavesForGoodInAWave(t *testing.T) {
	t.Parallel()
	playMachines(t, 2, nil, func(c *cloudCluster) {
		c.ask(1, 90*time.Second, 1, allMachines...)
		time.Sleep(3 * time.Second)
		c.cloud.Leave("m5")
		c.await(1, 90*time.Second)
	})
}

func TestMachinesOnStandbyAreMovedAndMovedBack(t *testing.T) {
	t.Parallel()
	playMachines(t, 2, func(cfg *emulator.CloudConfig, cat *workflow.Catalog) {
		cfg.Standby = []string{"spare"}
		cat.Pools["spare"] = workflow.Pool{Name: "spare", Standby: true}
	}, func(c *cloudCluster) {
		steps := []workflow.Step{{Count: 40, Size: workflow.Size{MilliCPU: 4000, MemoryMiB: 4096}, EstimateMillis: 4000, Requires: "mach"}}
		c.Expect(c.hand(workflow.Job{ID: "00000000000000b1", Steps: steps}, "plain").accepted).To(BeTrue())
		at := func(pool string) (n int) {
			for _, name := range allMachines {
				if c.cloud.Pool(name) == pool {
					n++
				}
			}
			return n
		}
		for began := time.Now(); at("cpu") < 2 && time.Since(began) < 30*time.Second; {
			time.Sleep(100 * time.Millisecond)
		}
		c.Expect(at("cpu")).To(BeNumerically(">=", 2))
		p := c.holder()
		c.kill(p)
		c.boot(p.name)
		for began := time.Now(); at("spare") < 6 && time.Since(began) < 150*time.Second; {
			time.Sleep(time.Second)
		}
		c.Expect(at("spare")).To(Equal(6))
		c.Expect(c.cloud.Usage("move")).To(BeNumerically("<=", 16))
	})
}
