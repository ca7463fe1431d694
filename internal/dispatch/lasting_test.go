package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// restartBound is within what time a lasting task must run again.
const restartBound = 6 * time.Second

// press keeps a backlog of urgent work that takes all room, for a time.
func (b *bed) press(d time.Duration) {
	for end := b.now + d; b.now < end; {
		for i := range 3 {
			b.next = append(b.next, JobAccepted{Offset: int64(b.now), Job: &workflow.Job{ID: fmt.Sprint("urgent", b.now.Milliseconds(), i), Queue: "urgent",
				Spec: "s", AcceptedMillis: b.now.Milliseconds(), Steps: []workflow.Step{{Count: 1, Size: workflow.Size{MilliCPU: 1000}, EstimateMillis: 400}}}})
		}
		b.run(200 * time.Millisecond)
		for _, w := range b.workers {
			for _, r := range w.lists.Running {
				if r.Task.Job[0] == 'u' {
					w.end(r.Task, worker.Done)
				}
			}
		}
	}
}

func TestLastingTaskRunsAgainThoughUrgentWorkTakesAllRoom(t *testing.T) {
	b := newBed(t, "w1", "w2", "w3")
	b.next = []Event{Configured{&workflow.Catalog{Version: 1, Queues: map[string]workflow.Queue{
		"q":      {Name: "q", Pool: "p", Priority: 1, Attempts: 2},
		"urgent": {Name: "urgent", Pool: "p", Priority: 0, Attempts: 2, Stretch: 1, Target: time.Minute},
	}}}}
	b.list()
	b.accept("service", 1, workflow.Step{LongRunning: true}, workflow.Progress{})
	b.run(time.Second)
	b.Expect(b.startsOn("service")).To(HaveLen(1))
	b.press(2 * time.Second)
	w := b.workers[b.startsOn("service")[0]]
	w.end(taskName("service", 0), worker.Lapsed)
	b.press(restartBound)
	b.Expect(b.startsOn("service")).To(HaveLen(2), "starts within %v of its end", restartBound)
}
