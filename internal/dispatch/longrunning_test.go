package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// restartBound is the time within which a long-running task must run again.
const restartBound = 6 * time.Second

// saturate keeps up a backlog of urgent work that takes all capacity, for the time d.
func (b *harness) saturate(d time.Duration) {
	for end := b.now + d; b.now < end; {
		for i := range 3 {
			b.queuedEvents = append(b.queuedEvents, JobAccepted{Offset: int64(b.now), Job: &workflow.Job{ID: fmt.Sprint("urgent", b.now.Milliseconds(), i), Queue: "urgent",
				Spec: "s", AcceptedMillis: b.now.Milliseconds(), Steps: []workflow.Step{{Count: 1, Size: workflow.Size{MilliCPU: 1000}, EstimateMillis: 400}}}})
		}
		b.advance(200 * time.Millisecond)
		b.endRuns(func(_, job string) worker.ExitStatus {
			if job[0] == 'u' {
				return worker.Done
			}
			return ""
		})
	}
}

// A backlog of urgent finite work must not keep a long-running task from starting again.
func TestLastingTaskRunsAgainThoughUrgentWorkTakesAllRoom(t *testing.T) {
	b := newHarness(t, "w1", "w2", "w3")
	b.queuedEvents = []Event{CatalogChanged{&workflow.Catalog{Version: 1, Queues: map[string]workflow.Queue{
		"q":      {Name: "q", Pool: "p", Priority: 1, Attempts: 2},
		"urgent": {Name: "urgent", Pool: "p", Priority: 0, Attempts: 2, Stretch: 1, Target: time.Minute},
	}}}}
	b.listWorkers()
	b.acceptJob("service", 1, workflow.Step{LongRunning: true}, workflow.Progress{})
	b.advance(time.Second)
	b.Expect(b.startHosts("service")).To(HaveLen(1))
	b.saturate(2 * time.Second)
	w := b.workers[b.startHosts("service")[0]]
	w.end(testTaskID("service", 0), worker.LeaseExpired)
	b.saturate(restartBound)
	b.Expect(b.startHosts("service")).To(HaveLen(2), "must start within %v of its end", restartBound)
}
