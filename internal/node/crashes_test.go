package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// submitDeadly submits jobs whose first task crashes each worker that starts it, a second
// apart.
func (c *cluster) submitDeadly(kinds ...func(*workflow.Step)) []*submittedJob {
	var jobs []*submittedJob
	for i, edit := range kinds {
		step := workflow.Step{Count: 2, Size: workflow.Size{MilliCPU: 500, MemoryMiB: 256}, EstimateMillis: 1000}
		edit(&step)
		id := fmt.Sprintf("%s%015x", crashesWorkers, 0xdead00+i)
		jobs = append(jobs, c.submit(workflow.Job{ID: id, Spec: "s", Steps: []workflow.Step{step}}, "plain"))
		time.Sleep(time.Second)
	}
	return jobs
}

var deadlyKinds = []func(*workflow.Step){
	func(*workflow.Step) {},
	func(s *workflow.Step) { s.Gang = true },
	func(s *workflow.Step) { s.LongRunning = true },
	func(s *workflow.Step) { s.Speculative = true },
	func(s *workflow.Step) { s.Checkpointing = true },
}

func TestDeadlyTasksAreGivenUpWhileLeadersAreLost(t *testing.T) {
	runScenario(t, func(c *cluster) {
		jobs := c.submitDeadly(deadlyKinds[:2]...)
		c.kill(c.leader())
		c.startNode("d")
		jobs = append(jobs, c.submitDeadly(deadlyKinds[2:]...)...)
		c.kill(c.leader())
		c.runDisrupted(15 * time.Second)
		for i, h := range jobs {
			c.Expect(h.accepted).To(BeTrue(), "job %d", i)
			c.Expect(c.fleet.Idle(h.job.ID)).NotTo(BeEmpty(), "job %d", i)
		}
		c.Expect(c.violations()).To(BeEmpty())
	})
}

func TestCapacitiesShrinkAndGrowUnderLoad(t *testing.T) {
	runScenario(t, func(c *cluster) {
		full := workflow.Size{MilliCPU: 4000, MemoryMiB: 8192}
		for range 12 {
			id := fmt.Sprintf("w%d", 1+c.rng.IntN(6))
			part := full
			part.MilliCPU = 500 * (1 + c.rng.Int64N(8))
			c.fleet.Resize(id, part)
			c.runDisrupted(time.Duration(c.rng.IntN(4000)) * time.Millisecond)
		}
		for i := 1; i <= 6; i++ {
			c.fleet.Resize(fmt.Sprintf("w%d", i), full)
		}
		c.Expect(c.violations()).To(BeEmpty())
	})
}
