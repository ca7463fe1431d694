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

// singleTaskJob returns a job of one task that runs for 500 ms.
func singleTaskJob(id string) workflow.Job {
	return workflow.Job{ID: id, Spec: "spec", Steps: []workflow.Step{{Count: 1, Size: workflow.Size{MilliCPU: 500}, EstimateMillis: 500}}}
}

// TestFollowerAppendsLittleWithoutFaults runs the nodes without faults. Besides the
// checks of every scenario it bounds the appends of a node that is not the leader.
func TestFollowerAppendsLittleWithoutFaults(t *testing.T) {
	runScenario(t, func(c *cluster) {
		time.Sleep(15 * time.Second)
		c.Expect(c.log.Usage(c.other(c.leader()).name).Appends).To(BeNumerically("<", 100), "it appends only accepted jobs, cancellations and its member record")
	})
}

// TestStateAndPendingAtEveryNode checks that every node reports the state of a job
// from submit to end, the number of pending jobs and unknown jobs, whichever node
// accepted the job.
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
		waitingJob := c.submit(huge, "plain", a)
		runningJob := c.submit(singleTaskJob("00000000000000b2"), "plain", b)
		state := func(p *process, h *submittedJob) workflow.State {
			s, o := p.node.Desk().State(c.ctx, &h.queue, h.job.ID)
			c.Expect(o.Code).To(Equal(intake.OK))
			return s
		}
		c.Expect(state(a, waitingJob)).To(Equal(workflow.Queued))
		c.Expect(state(b, runningJob)).To(Equal(workflow.Queued))
		time.Sleep(480 * time.Millisecond)
		for _, p := range c.running() {
			c.Expect(state(p, waitingJob)).To(Equal(workflow.Queued))
			c.Expect(state(p, runningJob)).To(Equal(workflow.Running))
		}
		time.Sleep(400 * time.Millisecond)
		for _, p := range c.running() {
			c.Expect(state(p, runningJob)).To(Equal(workflow.Completed))
			pending, o := p.node.Desk().Pending(c.ctx, &waitingJob.queue)
			c.Expect(o.Code).To(Equal(intake.OK))
			c.Expect(pending).To(Equal(1))
			_, o = p.node.Desk().State(c.ctx, &waitingJob.queue, "00000000000000ff")
			c.Expect(o.Code).To(Equal(intake.JobNotFound))
		}
		c.cancelJob(waitingJob)
		time.Sleep(time.Second)
		for _, p := range c.running() {
			c.Expect(state(p, waitingJob)).To(Equal(workflow.Cancelled))
		}
		c.expectAllJobsEnd()
	})
}

// TestDuplicateSubmitsCreateOneJob submits one job at all nodes at the same time, and
// again 3 s later: that submit must be accepted, too, as the same job.
func TestDuplicateSubmitsCreateOneJob(t *testing.T) {
	runScenario(t, func(c *cluster) {
		job := singleTaskJob("00000000000000b3")
		for _, p := range c.running() {
			c.callers.Go(func() { c.submit(job, "plain", p) })
		}
		time.Sleep(3 * time.Second)
		c.Expect(c.submit(job, "plain").accepted).To(BeTrue())
	})
}

// TestCancelAtAnotherNodeRightAfterAccept cancels a job at a node that may not have read
// its accept record yet. That node must not answer that the job is unknown.
func TestCancelAtAnotherNodeRightAfterAccept(t *testing.T) {
	runScenario(t, func(c *cluster) {
		job := singleTaskJob("00000000000000b5")
		job.Steps[0].LongRunning = true
		p := c.running()[0]
		h := c.submit(job, "plain", p)
		c.Expect(h.accepted).To(BeTrue())
		o := c.other(p).node.Desk().Cancel(c.ctx, &h.queue, job.ID)
		c.Expect(o.Code).NotTo(Equal(intake.JobNotFound), "a caller would take this as the confirmation of the cancellation")
		c.cancelJob(h)
	})
}

// TestMalformedRecordsAndRequests guards against nodes that fail or stop working at
// records of the job log, the worker list or the configuration that they can't decode,
// also after the loss of the leader and of the log's history. It checks the answers to
// invalid requests, too.
func TestMalformedRecordsAndRequests(t *testing.T) {
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

		api, plain := c.other(c.leader()).node.Desk(), c.catalog.Queues["plain"]
		job := singleTaskJob("00000000000000b4")
		job.Steps[0].Count = workflow.MaxTasks + 1
		c.Expect(api.Submit(c.ctx, &plain, job).Code).To(Equal(intake.Invalid))
		_, _, o := api.Match("h", "/nowhere/x")
		c.Expect(o.Code).To(Equal(intake.QueueNotFound))
		_, o = api.State(c.ctx, &plain, "00000000000000b4")
		c.Expect(o.Code).To(Equal(intake.JobNotFound))
		c.kill(c.leader())
		time.Sleep(3 * time.Second)
		c.log.DropHistory()
	})
}
