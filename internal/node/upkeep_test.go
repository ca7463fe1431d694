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

// gatedMachines blocks a process's machine calls while it is stalled.
type gatedMachines struct {
	worker.MachineClient
	p *process
}

func (g gatedMachines) StartMaintenance(ctx context.Context, d worker.MachineLease, machine string, wave int64) worker.MachineCode {
	if g.p.waitWhileStalled(); ctx.Err() != nil {
		return worker.MachineUnanswered // nothing is sent any more
	}
	defer g.p.waitWhileStalled()
	return g.MachineClient.StartMaintenance(ctx, d, machine, wave)
}

// cloudCluster is a cluster with machines m1 to m6 besides its workers.
type cloudCluster struct {
	*cluster
	cloud *emulator.Cloud
}

var statusPartition = store.Partition{Topic: "keyed.status"}

func (c *cloudCluster) configureNode(p *process, set *Settings, ports *Dependencies) {
	set.Limits.MaintenanceTime, set.Limits.MoveTime, set.Limits.MachineLease = 2*time.Second, 1500*time.Millisecond, 3*time.Second
	set.Limits.MachineListPerSecond, set.Limits.MachineOrdersPerSecond = 60, 60
	ports.MachineClient = gatedMachines{c.cloud, p}
	catalog := ports.Feeds.DecodeCatalog
	ports.Feeds.DecodeCatalog = func(r store.Record) (*workflow.Catalog, error) {
		if strings.HasPrefix(r.Key, waveKeyPrefix) {
			return nil, nil
		}
		return catalog(r)
	}
	ports.Feeds.DecodeWave = func(r store.Record) (*worker.MaintenanceWave, error) {
		if len(r.Value) == 0 {
			return nil, nil
		}
		w := &worker.MaintenanceWave{}
		return w, json.Unmarshal(r.Value, w)
	}
	ports.Feeds.EncodeWaveStatus = func(wave int64, completed bool) store.Record {
		return store.Record{Key: fmt.Sprint(waveKeyPrefix, wave), Value: fmt.Append(nil, completed)}
	}
}

// requestWave requests a maintenance wave as an operator.
func (c *cloudCluster) requestWave(number int64, d time.Duration, most int, machines ...string) {
	w := worker.MaintenanceWave{Number: number, Machines: machines, Duration: d, MaxUnavailable: most}
	c.cloud.Ask(w)
	value, err := json.Marshal(w)
	c.Expect(err).NotTo(HaveOccurred())
	c.log.Put(operatorsPartition, store.Record{Key: fmt.Sprint(waveKeyPrefix, number), Value: value})
}

// reportCompletedWaves reports the completed waves to the cloud's checker.
func (c *cloudCluster) reportCompletedWaves() {
	for next := int64(0); c.ctx.Err() == nil; {
		b, err := c.log.Client("operator").Read(c.ctx, statusPartition, next, time.Second)
		if err != nil {
			sleepContext(c.ctx, 100*time.Millisecond)
			continue
		}
		next = b.NextOffset
		for _, r := range b.Records {
			var wave int64
			if _, err := fmt.Sscanf(r.Key, waveKeyPrefix+"%d", &wave); err == nil && string(r.Value) == "true" {
				c.cloud.Completed(wave)
			}
		}
	}
}

// expectWaveCompleted waits until the wave is reported as completed, and checks
// that this happened within the bound.
func (c *cloudCluster) expectWaveCompleted(wave int64, bound time.Duration) {
	for range int(bound/(100*time.Millisecond)) + 600 {
		if c.cloud.Took(wave) > 0 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	took := c.cloud.Took(wave)
	c.Expect(took).To(BeNumerically(">", 0), "wave %d was never completed; %d machines began; %v", wave, c.cloud.Begun(wave), c.violations())
	c.Expect(took).To(BeNumerically("<=", bound), "wave %d", wave)
}

// submitService submits a job with long-running tasks, one of which may be absent
// at a time.
func (c *cloudCluster) submitService(id string, count int) *submittedJob {
	h := c.submit(workflow.Job{ID: id, Steps: []workflow.Step{{Count: count, Size: workflow.Size{MilliCPU: 1000, MemoryMiB: 256},
		LongRunning: true, TargetLatencyMillis: 100, DisruptionBudget: 1, MaxPerWorker: 1, Requires: "mach"}}}, "plain")
	c.Expect(h.accepted).To(BeTrue())
	return h
}

var allMachines = []string{"m1", "m2", "m3", "m4", "m5", "m6"}

// runMachineScenario runs a scenario on three nodes with machines, while callers
// submit jobs.
func runMachineScenario(t *testing.T, seeds uint64, edit func(*emulator.CloudConfig, *workflow.Catalog), scenario func(c *cloudCluster)) {
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := &cloudCluster{cluster: newCluster(t, seed, standardOptions)}
				defer c.close()
				cfg := emulator.CloudConfig{Seed: seed, Kinds: map[string]string{"cpu": "mach", "gpu": "gpu", "spare": "mach"}}
				if edit != nil {
					edit(&cfg, c.catalog)
					value, err := json.Marshal(c.catalog)
					c.Expect(err).NotTo(HaveOccurred())
					c.log.Put(operatorsPartition, store.Record{Key: "config", Value: value})
				}
				c.cloud = emulator.NewCloud(cfg, c.fleet)
				c.configure = c.configureNode
				for i, name := range allMachines {
					pool := "cpu"
					if len(cfg.Standby) > 0 {
						pool = cfg.Standby[0]
					}
					c.cloud.Add(name, emulator.WorkerConfig{Pool: pool, Labels: []string{"mach", fmt.Sprintf("r%d", 1+i%3)},
						Capacity: workflow.Size{MilliCPU: 4000, MemoryMiB: 8192}})
				}
				c.wg.Go(c.reportCompletedWaves)
				for _, name := range []string{"a", "b", "c"} {
					c.startNode(name)
				}
				c.startTraffic(20*time.Second, 3)
				time.Sleep(6 * time.Second)
				scenario(c)
				c.expectAllJobsEnd()
			})
		})
	}
}

// TestLeaderGivesNoMachineOrdersAfterSuspend guards against machine orders based on
// a confirmation from before the host was suspended. The next heartbeat confirms
// leadership again.
func TestLeaderGivesNoMachineOrdersAfterSuspend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := &Node{startedAt: time.Now(), leadership: tenure.New(tenure.DefaultTiming(), "a", "1", 0)}
		slept := time.Duration(0)
		n.deps.BootTime = func() time.Duration { return time.Hour + n.uptime() + slept }
		d := &maintenanceController{suspended: n.suspendedTime()}
		n.leadership.HandleRecords(n.uptime(), nil, nil, 0)
		confirm := func(act tenure.Action, offset int64) {
			time.Sleep(500 * time.Millisecond)
			rec, _ := n.leadership.BeginAction(n.uptime(), act, "")
			n.leadership.CompleteAction(n.uptime(), rec, offset, true)
		}
		confirm(tenure.Claim, 0)
		g.Expect(n.machineOrdersUntil(d)).To(Equal(n.uptime() + machineOrderWindow))
		slept = 2 * time.Second
		g.Expect(n.machineOrdersUntil(d)).To(BeZero())
		time.Sleep(dispatchTick)
		g.Expect(n.machineOrdersUntil(d)).To(BeZero())
		confirm(tenure.Heartbeat, 1)
		g.Expect(n.machineOrdersUntil(d)).To(Equal(n.uptime() + machineOrderWindow))
	})
}

// TestWaveDuringTraffic guards against a wave that violates a limit or takes too
// long while jobs run.
func TestWaveDuringTraffic(t *testing.T) {
	t.Parallel()
	runMachineScenario(t, 3, nil, func(c *cloudCluster) {
		h := c.submitService("00000000000000a1", 4)
		time.Sleep(4 * time.Second)
		c.requestWave(1, 45*time.Second, 2, allMachines...)
		c.expectWaveCompleted(1, 45*time.Second)
		c.cancelJob(h)
	})
}

// TestUrgentWave requests more than can be done in time. The disruption budget and
// the wave's limit must hold nevertheless.
func TestUrgentWave(t *testing.T) {
	t.Parallel()
	runMachineScenario(t, 3, nil, func(c *cloudCluster) {
		h := c.submitService("00000000000000a1", 4)
		time.Sleep(4 * time.Second)
		c.requestWave(1, 8*time.Second, 2, allMachines...)
		c.expectWaveCompleted(1, 40*time.Second)
		c.requestWave(2, 8*time.Second, 1, allMachines...)
		c.expectWaveCompleted(2, 60*time.Second)
		c.cancelJob(h)
	})
}

// TestTwoWavesAtOnce guards against waves that share machines and never complete,
// or violate a limit together.
func TestTwoWavesAtOnce(t *testing.T) {
	t.Parallel()
	runMachineScenario(t, 2, nil, func(c *cloudCluster) {
		h := c.submitService("00000000000000a1", 4)
		c.requestWave(1, 30*time.Second, 1, "m1", "m2", "m3", "m4")
		c.requestWave(2, 30*time.Second, 1, "m3", "m4", "m5", "m6")
		c.expectWaveCompleted(1, 60*time.Second)
		c.expectWaveCompleted(2, 60*time.Second)
		c.cancelJob(h)
	})
}

// TestLeaderKilledDuringWave guards against a wave that stalls, or machines taken
// twice, after the leader is killed and restarted during the wave.
func TestLeaderKilledDuringWave(t *testing.T) {
	t.Parallel()
	runMachineScenario(t, 3, nil, func(c *cloudCluster) {
		h := c.submitService("00000000000000a1", 4)
		c.requestWave(1, 90*time.Second, 1, allMachines...)
		for n := 1; n <= 4; n += 2 {
			for c.cloud.Begun(1) < n {
				time.Sleep(50 * time.Millisecond)
			}
			p := c.leader()
			c.kill(p)
			c.startNode(p.name)
		}
		c.expectWaveCompleted(1, 90*time.Second)
		c.cancelJob(h)
	})
}

// TestLeaderStalledDuringWave guards against orders of a leader that is stalled for
// 12 s during a wave and then resumes, while another node has taken over.
func TestLeaderStalledDuringWave(t *testing.T) {
	t.Parallel()
	runMachineScenario(t, 2, nil, func(c *cloudCluster) {
		c.requestWave(1, 90*time.Second, 1, allMachines...)
		for c.cloud.Begun(1) < 2 {
			time.Sleep(50 * time.Millisecond)
		}
		p := c.leader()
		p.stall()
		c.runDisrupted(12 * time.Second)
		p.resume()
		c.expectWaveCompleted(1, 90*time.Second)
	})
}

// TestWaveWithSlowLossyOrFailedCloud guards against violated limits and stuck waves
// when the cloud API answers slowly, loses answers or is down, and the leader is
// killed meanwhile.
func TestWaveWithSlowLossyOrFailedCloud(t *testing.T) {
	t.Parallel()
	runMachineScenario(t, 3, nil, func(c *cloudCluster) {
		h := c.submitService("00000000000000a1", 4)
		c.cloud.Disturb(time.Second, 0.5, false)
		c.requestWave(1, 120*time.Second, 2, allMachines...)
		time.Sleep(25 * time.Second)
		p := c.leader()
		c.kill(p)
		c.startNode(p.name)
		c.cloud.Disturb(0, 0, true)
		time.Sleep(8 * time.Second)
		c.cloud.Disturb(200*time.Millisecond, 0.3, false)
		c.expectWaveCompleted(1, 120*time.Second)
		c.cancelJob(h)
	})
}

// TestMachineRemovedDuringWave guards against a wave that never completes because
// one of its machines has left for good.
func TestMachineRemovedDuringWave(t *testing.T) {
	t.Parallel()
	runMachineScenario(t, 2, nil, func(c *cloudCluster) {
		c.requestWave(1, 90*time.Second, 1, allMachines...)
		time.Sleep(3 * time.Second)
		c.cloud.Leave("m5")
		c.expectWaveCompleted(1, 90*time.Second)
	})
}

// TestStandbyMachinesMoveAndReturn guards against standby machines that do not move
// to a pool with a shortage, do not return to their home pool after a change of
// leader, or move back and forth too often.
func TestStandbyMachinesMoveAndReturn(t *testing.T) {
	t.Parallel()
	runMachineScenario(t, 2, func(cfg *emulator.CloudConfig, cat *workflow.Catalog) {
		cfg.Standby = []string{"spare"}
		cat.Pools["spare"] = workflow.Pool{Name: "spare", Standby: true}
	}, func(c *cloudCluster) {
		steps := []workflow.Step{{Count: 40, Size: workflow.Size{MilliCPU: 4000, MemoryMiB: 4096}, EstimateMillis: 4000, Requires: "mach"}}
		c.Expect(c.submit(workflow.Job{ID: "00000000000000b1", Steps: steps}, "plain").accepted).To(BeTrue())
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
		p := c.leader()
		c.kill(p)
		c.startNode(p.name)
		for began := time.Now(); at("spare") < 6 && time.Since(began) < 150*time.Second; {
			time.Sleep(time.Second)
		}
		c.Expect(at("spare")).To(Equal(6))
		c.Expect(c.cloud.Usage("move")).To(BeNumerically("<=", 16))
	})
}
