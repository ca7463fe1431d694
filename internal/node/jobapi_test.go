package node

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

func singleTaskJob(id string) workflow.Job {
	return workflow.Job{ID: id, Spec: "spec", Steps: []workflow.Step{{Count: 1, Size: workflow.Size{MilliCPU: 500}, EstimateMillis: 500}}}
}

func TestNoFaults(t *testing.T) {
	runScenario(t, func(c *cluster) {
		time.Sleep(15 * time.Second)
		c.Expect(c.log.Usage(c.other(c.leader()).name).Appends).To(BeNumerically("<", 100), "only accepts, cancels and its own record")
	})
}

func TestStateAndPendingAtEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standardOptions)
		defer c.close()
		for _, n := range []string{"a", "b", "c"} {
			c.startNode(n)
		}
		time.Sleep(4 * time.Second)
		huge := singleTaskJob("00000000000000b1")
		huge.Steps[0].Size.MilliCPU = 100000
		a, b := c.running()[0], c.running()[1]
		waits := c.submit(huge, "plain", a)
		runs := c.submit(singleTaskJob("00000000000000b2"), "plain", b)
		state := func(p *process, h *submittedJob) workflow.State {
			s, o := p.node.Desk().State(c.ctx, &h.queue, h.job.ID)
			c.Expect(o.Code).To(Equal(intake.OK))
			return s
		}
		c.Expect(state(a, waits)).To(Equal(workflow.Queued))
		c.Expect(state(b, runs)).To(Equal(workflow.Queued))
		time.Sleep(480 * time.Millisecond)
		for _, p := range c.running() {
			c.Expect(state(p, waits)).To(Equal(workflow.Queued))
			c.Expect(state(p, runs)).To(Equal(workflow.Running))
		}
		time.Sleep(400 * time.Millisecond)
		for _, p := range c.running() {
			c.Expect(state(p, runs)).To(Equal(workflow.Completed))
			pending, o := p.node.Desk().Pending(c.ctx, &waits.queue)
			c.Expect(o.Code).To(Equal(intake.OK))
			c.Expect(pending).To(Equal(1))
			_, o = p.node.Desk().State(c.ctx, &waits.queue, "00000000000000ff")
			c.Expect(o.Code).To(Equal(intake.JobNotFound))
		}
		c.cancelJob(waits)
		time.Sleep(time.Second)
		for _, p := range c.running() {
			c.Expect(state(p, waits)).To(Equal(workflow.Cancelled))
		}
		c.expectAllJobsEnd()
	})
}

func TestDuplicateSubmitsAreOneJob(t *testing.T) {
	runScenario(t, func(c *cluster) {
		job := singleTaskJob("00000000000000b3")
		for _, p := range c.running() {
			c.callers.Go(func() { c.submit(job, "plain", p) })
		}
		time.Sleep(3 * time.Second)
		c.Expect(c.submit(job, "plain").accepted).To(BeTrue())
	})
}

func TestCancelAtAnotherNodeRightAfterAccept(t *testing.T) {
	runScenario(t, func(c *cluster) {
		job := singleTaskJob("00000000000000b5")
		job.Steps[0].LongRunning = true
		p := c.running()[0]
		h := c.submit(job, "plain", p)
		c.Expect(h.accepted).To(BeTrue())
		o := c.other(p).node.Desk().Cancel(c.ctx, &h.queue, job.ID)
		c.Expect(o.Code).NotTo(Equal(intake.JobNotFound), "for the caller this acknowledges the cancelling")
		c.cancelJob(h)
	})
}

func TestBadInput(t *testing.T) {
	runScenario(t, func(c *cluster) {
		bad := [][]byte{[]byte("\xff{"), []byte("null"), []byte(`{"s":7}`), []byte("[]"), []byte(`"x"`), []byte("{}")}
		for i, b := range bad {
			for _, key := range []string{jobKeyPrefix, cancelKeyPrefix, progressKeyPrefix, workerKeyPrefix, ""} {
				c.log.Put(jobsPartition, store.Record{Key: key + "bad" + string(rune('0'+i)), Value: b})
			}
			c.log.Put(workersPartition, store.Record{Key: "w1", Value: b}, store.Record{Key: "alien", Value: b})
			c.log.Put(operatorsPartition, store.Record{Key: "config", Value: b})
		}
		c.log.Put(jobsPartition, store.Record{}, store.Record{Key: jobKeyPrefix, Value: []byte(`{"q":"plain","s":[{"n":1}]}`)})
		value, err := json.Marshal(c.catalog)
		c.Expect(err).NotTo(HaveOccurred())
		c.log.Put(operatorsPartition, store.Record{Key: "config", Value: value})

		desk, plain := c.other(c.leader()).node.Desk(), c.catalog.Queues["plain"]
		job := singleTaskJob("00000000000000b4")
		job.Steps[0].Count = workflow.MaxTasks + 1
		c.Expect(desk.Submit(c.ctx, &plain, job).Code).To(Equal(intake.Invalid))
		_, _, o := desk.Match("h", "/nowhere/x")
		c.Expect(o.Code).To(Equal(intake.QueueNotFound))
		_, o = desk.State(c.ctx, &plain, "00000000000000b4")
		c.Expect(o.Code).To(Equal(intake.JobNotFound))
		c.kill(c.leader())
		time.Sleep(3 * time.Second)
		c.log.DropHistory()
	})
}
