package emulator

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

func gang() workflow.Step { return workflow.Step{Count: 2, Gang: true} }

func TestGangWorksTogether(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.know(gang())
		b.start("w1", task(0, 0), 1)
		time.Sleep(3 * time.Second)
		b.Expect(b.hold("w1", 0).Running[0].Percent).To(BeZero())
		b.start("w2", task(0, 1), 1)
		time.Sleep(1010 * time.Millisecond)
		b.Expect(b.hows("w1")).To(Equal([]worker.ExitStatus{worker.Done}))
		b.Expect(b.hows("w2")).To(Equal([]worker.ExitStatus{worker.Done}))
		b.Expect(b.breaches()).To(BeEmpty())
	})
}

func TestGangMemberAlone(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.know(gang())
		b.start("w1", task(0, 0), 1)
		b.start("w2", task(0, 1), 2)
		b.keep(6*time.Second, "w1", "w2")
		b.Expect(b.hows("w1")).To(Equal([]worker.ExitStatus{worker.GangTimeout}), "another run is another gang")
		b.Expect(b.breaches()).To(Equal([]Rule{RuleAlone, RuleAlone}))
	})
}

func TestGangAloneIsExcusedByADisruption(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.know(gang())
		b.f.Crash("w2")
		b.start("w1", task(0, 0), 1)
		b.keep(6*time.Second, "w1")
		b.Expect(b.hows("w1")).To(Equal([]worker.ExitStatus{worker.GangTimeout}))
		b.Expect(b.breaches()).To(BeEmpty())
	})
}

func TestGangIsBroken(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.know(gang())
		b.work[task(0, 1)] = Behaviour{FailFirst: 1}
		b.start("w1", task(0, 0), 1)
		b.start("w2", task(0, 1), 1)
		time.Sleep(1010 * time.Millisecond)
		b.Expect(b.hows("w1")).To(Equal([]worker.ExitStatus{worker.GangBroken}))
		b.Expect(b.hows("w2")).To(Equal([]worker.ExitStatus{worker.Failed}))
		b.start("w1", task(0, 0), 2)
		b.start("w2", task(0, 1), 2)
		b.f.Crash("w2")
		b.Expect(b.hows("w1")).To(Equal([]worker.ExitStatus{worker.GangBroken, worker.GangBroken}))
		b.Expect(b.breaches()).To(BeEmpty())
	})
}

// TestEachBreachIsRecordedOnce causes each breach on purpose.
func TestEachBreachIsRecordedOnce(t *testing.T) {
	long := int64(60000)
	edit := func(e func(*worker.Start)) func(*worker.Start) { return e }
	cases := []struct {
		name string
		rule Rule
		act  func(b *bed)
	}{
		{"over the capacity, with what is being stopped", RuleOvercommit, func(b *bed) {
			b.know(workflow.Step{Count: 2, EstimateMillis: long, Size: workflow.Size{MilliCPU: 1500}})
			b.start("w1", task(0, 0), 1)
			b.stop("w1", task(0, 0), 1)
			b.start("w1", task(0, 1), 1)
		}},
		{"two live runs", RuleTwice, func(b *bed) {
			b.know(workflow.Step{EstimateMillis: long})
			b.start("w1", task(0, 0), 1)
			b.start("w2", task(0, 0), 2)
		}},
		{"a start after a done end that is noted later", RuleTwice, func(b *bed) {
			b.know(workflow.Step{})
			b.start("w1", task(0, 0), 1)
			time.Sleep(2 * time.Second)
			b.start("w2", task(0, 0), 2)
			b.Expect(b.breaches()).To(BeEmpty())
			b.hold("w1", 1)
			time.Sleep(2 * time.Second)
			b.hold("w2", 1)
		}},
		{"a gang after the end of one member is noted", RuleTwice, func(b *bed) {
			b.know(gang())
			b.start("w1", task(0, 0), 1)
			b.start("w2", task(0, 1), 1)
			time.Sleep(2 * time.Second)
			b.hold("w1", 1)
			b.start("w2", task(0, 1), 2)
		}},
		{"a copy long after a noted end", RuleTwice, func(b *bed) {
			b.know(workflow.Step{Speculative: true})
			b.start("w1", task(0, 0), 1)
			b.start("w2", task(0, 0), 2)
			time.Sleep(2 * time.Second)
			b.hold("w1", 1)
			b.start("w1", task(0, 0), 3)
			b.Expect(b.breaches()).To(BeEmpty())
			time.Sleep(2 * time.Second)
			b.start("w1", task(0, 0), 4)
		}},
		{"before a step it depends on", RuleOrder, func(b *bed) {
			b.know(workflow.Step{}, workflow.Step{DependsOn: []int{0}})
			b.start("w1", task(0, 0), 1)
			b.start("w2", task(1, 0), 1)
		}},
		{"after two copies of one of two tasks", RuleOrder, func(b *bed) {
			b.know(workflow.Step{Count: 2, Speculative: true}, workflow.Step{DependsOn: []int{0}})
			b.start("w1", task(0, 0), 1)
			b.start("w2", task(0, 0), 2)
			time.Sleep(2 * time.Second)
			b.start("w2", task(1, 0), 1)
		}},
		{"before its time", RuleOrder, func(b *bed) {
			job := b.know(workflow.Step{})
			job.ScheduledOccurrences, job.IntervalMillis = 2, 1000
			job.FirstDueMillis = time.Now().Add(time.Second).UnixMilli()
			b.start("w1", task(0, 0), 1)
			next := task(0, 0)
			next.Occurrence = 1
			time.Sleep(time.Until(time.UnixMilli(job.DueMillis(1))))
			b.start("w1", next, 1)
		}},
		{"a wrong pool", RuleRoute, func(b *bed) {
			b.f.Add(WorkerConfig{ID: "w3", Pool: "other", Capacity: workflow.Size{MilliCPU: 1000}})
			b.know(workflow.Step{})
			b.start("w3", task(0, 0), 1)
		}},
		{"no label", RuleRoute, func(b *bed) {
			b.know(workflow.Step{Requires: "small"})
			b.start("w1", task(0, 0), 1)
		}},
		{"beyond the bound of a worker", RuleRoute, func(b *bed) {
			b.know(workflow.Step{Count: 2, MaxPerWorker: 1})
			b.start("w1", task(0, 0), 1)
			b.start("w1", task(0, 1), 1)
		}},
		{"beyond the attempts", RuleBudget, func(b *bed) {
			b.know(workflow.Step{})
			b.work[task(0, 0)] = Behaviour{Fails: true}
			for run := range int64(3) {
				b.start("w1", task(0, 0), run+1)
				time.Sleep(2 * time.Second)
				b.hold("w1", run+1)
			}
		}},
		{"an unknown task", RuleUnasked, func(b *bed) { b.start("w1", task(0, 0), 1) }},
		{"another spec", RuleUnasked, func(b *bed) {
			b.know(workflow.Step{})
			b.start("w1", task(0, 0), 1, edit(func(s *worker.Start) { s.Spec = "t" }))
		}},
		{"a checkpoint of another task", RuleUnasked, func(b *bed) {
			b.know(workflow.Step{Count: 2, Checkpointing: true, EstimateMillis: long})
			b.start("w1", task(0, 0), 1)
			time.Sleep(3 * time.Second)
			saved := b.hold("w1", 0).Running[0].Checkpoint
			b.Expect(saved).NotTo(BeEmpty())
			b.start("w2", task(0, 1), 1, edit(func(s *worker.Start) { s.Checkpoint = saved }))
		}},
		{"members of a gang with different checkpoints", RuleUnasked, func(b *bed) {
			b.know(workflow.Step{Count: 2, Gang: true, Checkpointing: true, EstimateMillis: long})
			b.start("w1", task(0, 0), 1)
			b.start("w2", task(0, 1), 1)
			time.Sleep(3 * time.Second)
			saved := b.hold("w2", 0).Running[0].Checkpoint
			b.f.Crash("w2")
			b.f.Restart("w2")
			b.start("w1", task(0, 0), 2, edit(func(s *worker.Start) { s.Checkpoint = saved }))
			b.start("w2", task(0, 1), 2)
		}},
		{"after the cancelling", RuleUnasked, func(b *bed) {
			b.know(workflow.Step{EstimateMillis: long})
			b.f.Cancelled(jobID)
			time.Sleep(3100 * time.Millisecond)
			b.start("w1", task(0, 0), 1)
			b.keep(20*time.Second, "w1")
		}},
		{"on and on after the cancelling", RuleUnasked, func(b *bed) {
			b.know(workflow.Step{EstimateMillis: long})
			b.start("w1", task(0, 0), 1)
			b.f.Cancelled(jobID)
			b.keep(20*time.Second, "w1")
		}},
		{"a job that was refused", RuleUnasked, func(b *bed) {
			b.know(workflow.Step{})
			b.f.Refused(jobID)
			b.start("w1", task(0, 0), 1)
		}},
		{"on a draining worker", RuleDrain, func(b *bed) {
			b.know(workflow.Step{Count: 2})
			b.f.Drain("w1", time.Minute)
			b.start("w1", task(0, 0), 1)
			time.Sleep(3100 * time.Millisecond)
			b.start("w1", task(0, 1), 1)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			onFleet(t, FleetConfig{}, func(b *bed) {
				c.act(b)
				b.hold("w1", 0)
				b.Expect(b.breaches()).To(Equal([]Rule{c.rule}), "%v", b.f.Judge().Breaches())
			})
		})
	}
}

func TestEndBeforeALapseIsNeverTakenNoteOf(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.know(workflow.Step{})
		b.start("w1", task(0, 0), 1, func(s *worker.Start) { s.DeadlineMillis = 3000 })
		time.Sleep(4 * time.Second)
		b.hold("w1", 1)
		b.start("w2", task(0, 0), 2)
		b.Expect(b.breaches()).To(BeEmpty())
	})
}

func TestLostDoneEndMayRunAgain(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.know(workflow.Step{})
		b.start("w1", task(0, 0), 1)
		time.Sleep(2 * time.Second)
		b.f.Crash("w1")
		b.start("w2", task(0, 0), 2)
		b.Expect(b.breaches()).To(BeEmpty())
	})
}
