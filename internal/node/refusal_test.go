package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/emulator"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// refusedWorkers are those to which connections are refused while they run on.
var refusedWorkers = []string{"w1", "w2", "w4", "g1"}

func (c *cluster) refuseConnections(nodes ...string) {
	for _, id := range refusedWorkers {
		c.fleet.RefuseConnections(id, nodes...)
	}
}

func (c *cluster) healWorkers() {
	for _, id := range refusedWorkers {
		c.fleet.Heal(id)
	}
}

func (c *cluster) unlistWorkers(on bool) {
	for _, id := range refusedWorkers {
		c.fleet.Unlist(id, on)
	}
}

// spreadJob returns a job with a step for each count, whose tasks run on different workers.
func spreadJob(id string, duration time.Duration, counts ...int) workflow.Job {
	job := workflow.Job{ID: id, Spec: "s"}
	for _, n := range counts {
		job.Steps = append(job.Steps, workflow.Step{Count: n, MaxPerWorker: 1, Size: workflow.Size{MilliCPU: 250, MemoryMiB: 64},
			EstimateMillis: duration.Milliseconds()})
	}
	return job
}

// expectWorkOnAllWorkers expects that each worker gets work within the time in which
// contact with it must be regained and its entry be listed again.
func (c *cluster) expectWorkOnAllWorkers() {
	const bound, cpuWorkers = contactRecoveryTime + emulator.Heartbeat, 6
	began := time.Now()
	probe := c.submit(spreadJob("00000000000000b2", 2*bound, cpuWorkers), "plain")
	for len(c.fleet.Idle(probe.job.ID)) > 0 && time.Since(began) < bound {
		time.Sleep(50 * time.Millisecond)
	}
	c.Expect(c.fleet.Idle(probe.job.ID)).To(BeEmpty(), "tasks that got no worker within %v", bound)
}

// runRefusalScenario runs a scenario while long tasks are on most of the workers.
func runRefusalScenario(t *testing.T, scenario func(c *cluster)) {
	runScenario(t, func(c *cluster) {
		c.submit(spreadJob("00000000000000b1", 8*time.Second, 3, 3, 4, 4), "plain")
		time.Sleep(time.Second)
		scenario(c)
		c.clearFaults()
		c.Expect(c.violations()).To(BeEmpty())
		c.expectWorkOnAllWorkers()
	})
}

// Refused connections must not be taken as the end of a worker, whose tasks run on.
func TestWorkersBehindRefusedConnectionsRunOn(t *testing.T) {
	for _, d := range []time.Duration{900 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second, 12 * time.Second} {
		t.Run("AllNodes"+d.String(), func(t *testing.T) {
			runRefusalScenario(t, func(c *cluster) {
				c.refuseConnections()
				time.Sleep(d)
			})
		})
		t.Run("Leader"+d.String(), func(t *testing.T) {
			runRefusalScenario(t, func(c *cluster) {
				c.refuseConnections(c.leader().name)
				time.Sleep(d)
			})
		})
	}
	t.Run("AllWorkers", func(t *testing.T) {
		runRefusalScenario(t, func(c *cluster) {
			for _, i := range c.fleet.Infos() {
				c.fleet.RefuseConnections(i.ID)
			}
			time.Sleep(1500 * time.Millisecond)
		})
	})
	t.Run("Flapping", func(t *testing.T) {
		runRefusalScenario(t, func(c *cluster) {
			for range 20 {
				c.refuseConnections()
				time.Sleep(300 * time.Millisecond)
				c.healWorkers()
				time.Sleep(200 * time.Millisecond)
			}
		})
	})
}

// refusalsAmidOtherFaults are run on three nodes under traffic.
var refusalsAmidOtherFaults = map[string]func(c *cluster){
	"LeaderKilled": func(c *cluster) {
		c.refuseConnections()
		time.Sleep(time.Duration(c.rng.IntN(1500)) * time.Millisecond)
		p := c.leader()
		c.kill(p)
		c.startNode(p.name)
		time.Sleep(5 * time.Second)
	},
	"NextLeaderRefused": func(c *cluster) {
		p := c.leader()
		c.kill(p)
		c.startNode(p.name)
		time.Sleep(time.Duration(c.rng.IntN(1000)) * time.Millisecond)
		c.refuseConnections()
		time.Sleep(6 * time.Second)
	},
	"OtherWorkersCrash": func(c *cluster) {
		c.refuseConnections()
		time.Sleep(time.Duration(c.rng.IntN(500)) * time.Millisecond)
		c.fleet.Crash("w3")
		c.fleet.Crash("w5")
		time.Sleep(emulator.CrashDowntime)
		c.fleet.Restart("w3")
		c.fleet.Restart("w5")
		time.Sleep(2 * time.Second)
	},
	"Unlisted": func(c *cluster) {
		c.unlistWorkers(true)
		time.Sleep(time.Duration(c.rng.IntN(5000)) * time.Millisecond)
		c.refuseConnections()
		time.Sleep(5 * time.Second)
	},
	"UnlistedAndLeaderKilled": func(c *cluster) {
		c.unlistWorkers(true)
		c.refuseConnections()
		time.Sleep(5 * time.Second)
		c.kill(c.leader())
		time.Sleep(4 * time.Second)
	},
	"RestartedUnderTheSameID": func(c *cluster) {
		c.refuseConnections()
		time.Sleep(1500 * time.Millisecond)
		c.fleet.Restart("w1")
		time.Sleep(1500 * time.Millisecond)
		c.healWorkers()
		c.fleet.Restart("w4")
	},
	"CrashedAndRestartedUnderTheSameID": func(c *cluster) {
		c.refuseConnections()
		time.Sleep(1500 * time.Millisecond)
		c.fleet.Crash("w1")
		c.healWorkers()
		time.Sleep(emulator.CrashDowntime)
		c.fleet.Restart("w1")
	},
	"LateOrders": func(c *cluster) {
		c.fleet.Late(0.3)
		time.Sleep(2 * time.Second)
		c.refuseConnections()
		time.Sleep(4 * time.Second)
		c.healWorkers()
		time.Sleep(2 * time.Second)
		c.refuseConnections(c.leader().name)
		time.Sleep(2 * time.Second)
	},
}

// The same must hold while nodes and workers fail, orders arrive late, or the workers
// are not listed.
func TestRefusedConnectionsAmidOtherFaults(t *testing.T) {
	for name, scenario := range refusalsAmidOtherFaults {
		t.Run(name, func(t *testing.T) { runRefusalScenario(t, scenario) })
	}
}

// A worker whose entry is missing from the platform's list must not be taken for one that
// has ended.
func TestUnlistedWorkersRunOn(t *testing.T) {
	for name, scenario := range map[string]func(c *cluster){
		"Briefly": func(c *cluster) { time.Sleep(6 * time.Second) },
		"Long":    func(c *cluster) { time.Sleep(25 * time.Second) },
		"LeaderKilled": func(c *cluster) {
			time.Sleep(6 * time.Second)
			c.kill(c.leader())
			time.Sleep(5 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runRefusalScenario(t, func(c *cluster) {
				c.unlistWorkers(true)
				scenario(c)
			})
		})
	}
}
