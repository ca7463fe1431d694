package node

import (
	"context"
	"encoding/json"
	"fmt"
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
			s, o := p.node.Desk().State(c.ctx, anyCaller, &h.queue, h.job.ID)
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
			_, o = p.node.Desk().State(c.ctx, anyCaller, &waitingJob.queue, "00000000000000ff")
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
		o := c.other(p).node.Desk().Cancel(c.ctx, anyCaller, &h.queue, job.ID)
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
		_, o = api.State(c.ctx, anyCaller, &plain, "00000000000000b4")
		c.Expect(o.Code).To(Equal(intake.JobNotFound))
		c.kill(c.leader())
		time.Sleep(3 * time.Second)
		c.log.DropHistory()
	})
}

// submitAndLeave acts as a caller that submits a job of several steps at p and leaves early.
func (c *cluster) submitAndLeave(id string, p *process) *submittedJob {
	job := singleTaskJob(id)
	for i := range 5 {
		s := job.Steps[0]
		s.DependsOn = []int{i}
		job.Steps = append(job.Steps, s)
	}
	h := &submittedJob{job: job, queue: c.catalog.Queues["plain"]}
	c.fleet.Know(&h.job, h.queue.Pool, h.queue.Attempts)
	ctx, cancel := context.WithTimeout(c.ctx, 200*time.Millisecond)
	defer cancel()
	p.node.Desk().Submit(ctx, &h.queue, h.job)
	return h
}

// cancelUntilAcknowledged cancels a job at the running nodes in turn. Both answers that callers
// take as the confirmation count: that it is cancelled, and that there is no such job.
func (c *cluster) cancelUntilAcknowledged(h *submittedJob) {
	for try := range callerAttempts {
		up := c.running()
		ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
		o := up[try%len(up)].node.Desk().Cancel(ctx, anyCaller, &h.queue, h.job.ID)
		cancel()
		if o.Code == intake.OK || o.Code == intake.JobNotFound {
			c.fleet.Cancelled(h.job.ID)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.t.Errorf("the cancellation of %s was never acknowledged", h.job.ID)
}

// TestCancelledJobDoesNotRunWhenItsSubmitIsWrittenLate guards against jobs that run though
// their cancellation was acknowledged: the caller left before its submit was written, and
// the node that got the cancellation found no such job. With a change of leaders, the
// next one must know of the cancellation, too.
func TestCancelledJobDoesNotRunWhenItsSubmitIsWrittenLate(t *testing.T) {
	for name, afterCancel := range map[string]func(c *cluster){
		"same-leader": func(*cluster) {},
		"next-leader": func(c *cluster) { c.kill(c.leader()) },
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(c *cluster) {
				c.log.LateReplies(1)
				c.noteDisruption()
				var jobs []*submittedJob
				for i, p := range c.running() {
					jobs = append(jobs, c.submitAndLeave(fmt.Sprintf("00000000000000d%d", i), p))
				}
				c.callers.Go(func() {
					time.Sleep(500 * time.Millisecond)
					c.clearFaults()
				})
				for _, h := range jobs {
					c.cancelUntilAcknowledged(h)
				}
				afterCancel(c)
				time.Sleep(12 * time.Second)
				for _, h := range jobs {
					progress, _ := c.fleet.Progress(h.job.ID)
					c.Expect(progress.Done).To(BeNumerically("<=", 4), "steps that ran of job %s", h.job.ID)
				}
			})
		})
	}
}

// TestSubmitAfterCancelStaysCancelled submits a job whose cancellation was acknowledged
// before, as a delayed or repeated request does. It must not run.
func TestSubmitAfterCancelStaysCancelled(t *testing.T) {
	runScenario(t, func(c *cluster) {
		h := &submittedJob{job: singleTaskJob("00000000000000da"), queue: c.catalog.Queues["plain"]}
		c.fleet.Know(&h.job, h.queue.Pool, h.queue.Attempts)
		a, b := c.running()[0], c.running()[1]
		c.Expect(a.node.Desk().Cancel(c.ctx, anyCaller, &h.queue, h.job.ID).Code).To(Equal(intake.JobNotFound))
		c.Expect(a.node.Desk().Cancel(c.ctx, anyCaller, &h.queue, h.job.ID).Code).To(Equal(intake.JobNotFound), "a repeat")
		c.fleet.Cancelled(h.job.ID)
		c.Expect(b.node.Desk().Submit(c.ctx, &h.queue, h.job).Code).To(Equal(intake.OK))
		time.Sleep(2 * time.Second)
		for _, p := range c.running() {
			state, o := p.node.Desk().State(c.ctx, anyCaller, &h.queue, h.job.ID)
			c.Expect(o.Code).To(Equal(intake.OK))
			c.Expect(state).To(Equal(workflow.Cancelled))
		}
		progress, _ := c.fleet.Progress(h.job.ID)
		c.Expect(progress.Done).To(BeZero())
	})
}

// TestTooManyUnmatchedCancelsAreRefused checks that callers can't fill the log with
// cancellations of jobs that don't exist.
func TestTooManyUnmatchedCancelsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standardOptions)
		defer c.close()
		c.startNode("a")
		time.Sleep(4 * time.Second)
		p, plain := c.running()[0], c.catalog.Queues["plain"]
		for i := range maxUnmatchedCancels {
			c.log.Put(jobsPartition, store.Record{Key: fmt.Sprintf("%s%016x", cancelKeyPrefix, i), Value: []byte("{}")})
		}
		time.Sleep(2 * time.Second)
		o := p.node.Desk().Cancel(c.ctx, anyCaller, &plain, "00000000000fffff")
		c.Expect(o.Code).To(Equal(intake.Busy))
		c.Expect(o.RetryAfter).To(BeNumerically(">", 0))
		c.Expect(p.node.Desk().Cancel(c.ctx, anyCaller, &plain, "0000000000000001").Code).To(Equal(intake.JobNotFound))
		time.Sleep(p.node.settings.Limits.StatusRetention + 5*time.Second)
		c.Expect(p.node.table.unmatchedCancelCount()).To(BeZero(), "the leader removes those of an earlier version, too")
		c.Expect(p.node.Desk().Cancel(c.ctx, anyCaller, &plain, "00000000000fffff").Code).To(Equal(intake.JobNotFound))
	})
}

// A job that the control loop has read back before its writer was answered must not stay
// among those that wait to be read: it would be reported as queued for ever, and the list
// would grow.
func TestJobReadBackBeforeItsAnswerIsNotKept(t *testing.T) {
	g := NewWithT(t)
	table := newJobTable()
	desk := newJobAPI(nil, table, func(string, string) {}, nil)
	f, _ := desk.beginSubmission("a")
	desk.forgetStored(table.apply(withOffsets(0, jobRecord(g, "a", "")), 1))
	desk.endSubmission("a", "", f)
	_, stored := desk.storedBy("a")
	g.Expect(stored).To(BeFalse())

	f, _ = desk.beginSubmission("b")
	desk.endSubmission("b", "x", f)
	owner, stored := desk.storedBy("b")
	g.Expect(stored).To(BeTrue())
	g.Expect(owner).To(Equal("x"))
	desk.forgetStored(table.apply(withOffsets(1, jobRecord(g, "b", "")), 2))
	_, stored = desk.storedBy("b")
	g.Expect(stored).To(BeFalse())
}
