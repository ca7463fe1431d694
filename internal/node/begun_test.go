package node

import (
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

// expectBegunIsTrue asks all nodes for the states of the jobs and the number of pending ones
// for d. A job is shown as running only if a task has begun, and is counted as pending soon
// after its accept if none has.
func (c *cluster) expectBegunIsTrue(jobs []*submittedJob, d time.Duration) {
	const visible = 3 * time.Second
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, p := range c.running() {
			waiting := 0
			for _, h := range jobs {
				_, wrong := c.checkState(p, h)
				c.Expect(wrong).To(BeEmpty(), "%s at %s", h.job.ID, p.name)
				if progress, _ := c.fleet.Progress(h.job.ID); progress.Started.IsZero() && time.Since(h.acceptedAt) > visible {
					waiting++
				}
			}
			n, o := p.node.Desk().Pending(c.ctx, &jobs[0].queue)
			if o.Code == intake.OK {
				c.Expect(n).To(BeNumerically(">=", waiting), "pending at %s", p.name)
			}
		}
	}
}

// Jobs whose starts got no answer, were refused or late, or went to a worker that was lost
// or cut off were shown as running, and were not counted as pending.
func TestJobIsPendingUntilWorkerHasBegunOneOfItsTasks(t *testing.T) {
	workers := []string{"w1", "w2", "w3", "w4", "w5", "w6"}
	for name, fault := range map[string]func(c *cluster){
		"workers are cut off": func(c *cluster) {
			for _, id := range workers[:5] {
				c.fleet.Cut(id)
			}
		},
		"workers refuse connections": func(c *cluster) {
			for _, id := range workers {
				c.fleet.RefuseConnections(id, "a", "b", "c")
			}
		},
		"workers crash": func(c *cluster) {
			for _, id := range workers[:5] {
				c.fleet.Crash(id)
			}
		},
		"orders are late":  func(c *cluster) { c.fleet.Late(1, workers...) },
		"answers are lost": func(c *cluster) { c.fleet.LoseReplies(1, workers...) },
		"workers are cut off and the leader is killed": func(c *cluster) {
			for _, id := range workers {
				c.fleet.Cut(id)
			}
			time.AfterFunc(700*time.Millisecond, func() { c.kill(c.leader()) })
		},
		"orders are late and the leader is killed": func(c *cluster) {
			c.fleet.Late(1, workers...)
			time.AfterFunc(700*time.Millisecond, func() { c.kill(c.leader()) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, singleSeedOptions)
				defer c.close()
				for _, name := range []string{"a", "b", "c"} {
					c.startNode(name)
				}
				time.Sleep(3 * time.Second)
				c.noteDisruption()
				fault(c)
				var jobs []*submittedJob
				for i := range 12 {
					jobs = append(jobs, c.submit(singleTaskJob(fmt.Sprintf("00000000000005%02d", i)), "plain"))
				}
				c.expectBegunIsTrue(jobs, 10*time.Second)
				c.fleet.Calm()
				c.healWorkers()
				for _, id := range workers {
					c.fleet.Heal(id)
				}
				c.expectBegunIsTrue(jobs, 10*time.Second)
			})
		})
	}
}

// The record of a leader of a version that knew orders only says nothing of what has begun,
// unless something has ended.
func TestOrderedJobOfOlderVersionIsPending(t *testing.T) {
	g, table := NewWithT(t), newJobTable()
	table.apply(withOffsets(0, jobRecord(g, "a", "")), 1)
	offset := int64(1)
	for _, x := range []struct {
		record  string
		state   workflow.State
		pending int
	}{
		{`{"s":true}`, workflow.Queued, 1},
		{`{"s":true,"o":[{"k":0,"s":[{"i":0,"w":{"0":1},"t":"01"}]}]}`, workflow.Queued, 1},
		{`{"s":true,"o":[{"k":0,"s":[{"i":0,"d":"01"}]}]}`, workflow.Running, 0},
		{`{"s":true,"o":[{"k":0,"s":[{"i":0,"f":{"0":1}}]}]}`, workflow.Running, 0},
		{`{"s":true,"n":1}`, workflow.Running, 0},
		{`{"s":true,"b":true}`, workflow.Running, 0},
	} {
		g.Expect(json.Unmarshal([]byte(x.record), &workflow.Progress{})).To(Succeed(), x.record)
		table.apply(withOffsets(offset, store.Record{Key: progressKeyPrefix + "a", Value: []byte(x.record)}), offset+1)
		offset++
		e, _ := table.lookup("a")
		g.Expect(e.state()).To(Equal(x.state), x.record)
		g.Expect(table.pendingCount("plain")).To(Equal(x.pending), x.record)
	}
}
