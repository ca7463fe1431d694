package emulator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// inCloud runs a test with machines m1 to m3 in pool p, of which waves 1 and 2
// ask for all, one at a time.
func inCloud(t *testing.T, cfg CloudConfig, test func(g *WithT, f *Fleet, c *Cloud)) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(FleetConfig{})
		cfg.Kinds = map[string]string{"p": "std", "q": "std", "r": "gpu"}
		c := NewCloud(cfg, f)
		names := []string{"m1", "m2", "m3"}
		for _, name := range names {
			c.Add(name, WorkerConfig{Pool: "p", Labels: []string{"std", "r1"}, Capacity: workflow.Size{MilliCPU: 1000}})
		}
		c.Ask(worker.MaintenanceWave{Number: 1, Machines: names, MaxUnavailable: 1})
		test(NewWithT(t), f, c)
	})
}

func (f *Fleet) rules() []Rule {
	var rules []Rule
	for _, b := range f.Judge().Breaches() {
		rules = append(rules, b.Rule)
	}
	return rules
}

func TestCloudCarriesOutOrders(t *testing.T) {
	inCloud(t, CloudConfig{}, func(g *WithT, f *Fleet, c *Cloud) {
		d := worker.MachineLease{Holder: "a", Token: 1}
		g.Expect(c.StartMaintenance(context.Background(), d, "m1", 1)).To(Equal(worker.MachineOK))
		g.Expect(c.StartMaintenance(context.Background(), d, "m1", 1)).To(Equal(worker.MachineOK), "it is done already")
		g.Expect(c.Move(context.Background(), d, "m1", "q")).To(Equal(worker.MachineBusy))
		g.Expect(c.StartMaintenance(context.Background(), d, "m2", 9)).To(Equal(worker.MachineInvalid))
		g.Expect(c.Move(context.Background(), d, "m2", "r")).To(Equal(worker.MachineInvalid))
		list, err := c.List(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(list[0].State).To(Equal(worker.MachineMaintenance))
		g.Expect(f.Infos()).To(HaveLen(2))
		time.Sleep(3 * time.Second)
		list, _ = c.List(context.Background())
		g.Expect(list[0].State).To(Equal(worker.MachineUp))
		g.Expect(list[0].Worker).To(Equal("m1-2"))
		g.Expect(c.Move(context.Background(), d, "m1", "q")).To(Equal(worker.MachineOK))
		time.Sleep(3 * time.Second)
		g.Expect(f.Infos()[2].Pool).To(Equal("q"))
		g.Expect(f.rules()).To(BeEmpty())
	})
}

func TestCloudBoundsRates(t *testing.T) {
	inCloud(t, CloudConfig{ListsPerSecond: 2}, func(g *WithT, _ *Fleet, c *Cloud) {
		for range 2 {
			_, err := c.List(context.Background())
			g.Expect(err).NotTo(HaveOccurred())
		}
		_, err := c.List(context.Background())
		g.Expect(err).To(MatchError(ErrCloud))
		g.Expect(c.Usage("too-many")).To(Equal(1))
	})
}

func TestJudgeOfWaves(t *testing.T) {
	inCloud(t, CloudConfig{}, func(g *WithT, f *Fleet, c *Cloud) {
		d := worker.MachineLease{Holder: "a", Token: 1}
		c.StartMaintenance(context.Background(), d, "m1", 1)
		g.Expect(f.rules()).To(BeEmpty())
		c.StartMaintenance(context.Background(), d, "m2", 1)
		g.Expect(f.rules()).To(Equal([]Rule{RuleWave}))
		c.Completed(1)
		g.Expect(f.rules()).To(Equal([]Rule{RuleWave, RuleEarlyEnd}))
	})
	inCloud(t, CloudConfig{}, func(g *WithT, f *Fleet, c *Cloud) {
		for _, m := range []string{"m1", "m2"} {
			c.StartMaintenance(context.Background(), worker.MachineLease{Holder: "a", Token: 1}, m, 1)
			time.Sleep(3 * time.Second)
		}
		c.Leave("m3")
		c.Completed(1)
		g.Expect(f.rules()).To(BeEmpty())
	})
}

func TestJudgeOfDuties(t *testing.T) {
	for _, x := range []struct {
		second  worker.MachineLease
		after   time.Duration
		fencing bool
		rules   []Rule
		code    worker.MachineCode
	}{
		{worker.MachineLease{Holder: "a", Token: 5}, 0, false, nil, worker.MachineOK},
		{worker.MachineLease{Holder: "b", Token: 6}, 4 * time.Second, false, nil, worker.MachineOK},
		{worker.MachineLease{Holder: "b", Token: 6}, 2 * time.Second, false, []Rule{RuleOne}, worker.MachineOK},
		{worker.MachineLease{Holder: "b", Token: 5}, 4 * time.Second, false, []Rule{RuleOne}, worker.MachineOK},
		{worker.MachineLease{Holder: "b", Token: 4}, 4 * time.Second, false, []Rule{RuleOne}, worker.MachineOK},
		{worker.MachineLease{Holder: "b", Token: 4}, 4 * time.Second, true, nil, worker.MachineFenced},
	} {
		inCloud(t, CloudConfig{Fencing: x.fencing}, func(g *WithT, f *Fleet, c *Cloud) {
			c.StartMaintenance(context.Background(), worker.MachineLease{Holder: "a", Token: 5}, "m1", 1)
			time.Sleep(x.after)
			g.Expect(c.StartMaintenance(context.Background(), x.second, "m1", 1)).To(Equal(x.code))
			g.Expect(f.rules()).To(Equal(x.rules))
		})
	}
}

func TestJudgeOfAvailability(t *testing.T) {
	for _, x := range []struct {
		between time.Duration
		failed  bool
		rules   []Rule
	}{
		{0, false, []Rule{RuleAvail}}, // the first is away by an order
		{0, true, nil},                // it went by itself, just now
		{6 * time.Second, true, []Rule{RuleAvail}},
	} {
		inCloud(t, CloudConfig{}, func(g *WithT, f *Fleet, c *Cloud) {
			job := &workflow.Job{ID: "0", Steps: []workflow.Step{{Count: 2, LongRunning: true, DisruptionBudget: 1}}}
			f.Know(job, "p", 0)
			for i := range 2 {
				o := worker.Order{Worker: f.Infos()[i].ID, Address: f.Infos()[i].Address, Token: 1}
				code, _ := f.Client("n").Start(context.Background(), worker.Start{Order: o, Task: workflow.TaskID{StepID: workflow.StepID{Job: "0"}, Index: i},
					Run: 1, DeadlineMillis: 30_000})
				g.Expect(code).To(Equal(worker.OK))
			}
			time.Sleep(2 * time.Second)
			d := worker.MachineLease{Holder: "a", Token: 1}
			if x.failed {
				f.Crash("m1-1")
			} else {
				c.StartMaintenance(context.Background(), d, "m1", 1)
				c.waves[1].MaxUnavailable = 2
			}
			time.Sleep(x.between)
			c.StartMaintenance(context.Background(), d, "m2", 1)
			g.Expect(f.rules()).To(Equal(x.rules))
		})
	}
}
