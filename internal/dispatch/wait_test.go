package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// A job that can't start must be reported once for each reason.
func TestWaitReasonIsReportedOnce(t *testing.T) {
	g := NewWithT(t)
	c := New(Settings{Lease: time.Second}, 0, 1000)
	job := &workflow.Job{ID: "aa00000000000001", Queue: "q", Steps: []workflow.Step{{Count: 1, Size: workflow.Size{MilliCPU: 1}}}}
	var waits []Decision
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		events := []Event{LeadershipConfirmed{Until: at + time.Second}}
		switch at {
		case 0:
			events = append(events, JobAccepted{Job: job, Offset: 1})
		case 10 * time.Second:
			events = append(events, CatalogChanged{Catalog: &workflow.Catalog{Version: 1, Queues: map[string]workflow.Queue{"q": {Name: "q", Pool: "p"}}}})
		}
		c.Step(at, 1000+at.Milliseconds(), events...)
		for _, d := range c.Decisions() {
			if d.Kind == "job-waits" {
				waits = append(waits, d)
			}
		}
	}
	g.Expect(waits).To(HaveLen(2))
	g.Expect(waits[0]).To(Equal(Decision{Kind: "job-waits", Job: job.ID, Task: job.ID + ".0.0.0", Outcome: reasonNoQueue, Age: time.Second}))
	g.Expect(waits[1].Outcome).To(Equal(reasonNoWorker))
	g.Expect(waits[1].Reason).To(Equal("pool p"))
}

// A wait for workers must state what the step requests, and how many workers are
// large enough.
func TestWaitReportStatesNeeds(t *testing.T) {
	g := NewWithT(t)
	c := New(Settings{Lease: time.Second}, 0, 1000)
	size := workflow.Size{MilliCPU: 1500, MemoryMiB: 10, Accelerators: 1}
	job := &workflow.Job{ID: "aa00000000000001", Queue: "q", Steps: []workflow.Step{{Count: 2, Size: size, Gang: true}}}
	var waits []Decision
	for at := time.Duration(0); at < 3*time.Second; at += 100 * time.Millisecond {
		events := []Event{LeadershipConfirmed{Until: at + time.Second}}
		if at == 0 {
			events = append(events,
				CatalogChanged{Catalog: &workflow.Catalog{Version: 1, Queues: map[string]workflow.Queue{"q": {Name: "q", Pool: "p"}}}},
				JobAccepted{Job: job, Offset: 1},
				WorkersListed{Workers: []worker.Info{{ID: "small", Pool: "p", Capacity: workflow.Size{MilliCPU: 1000}}, {ID: "large", Pool: "p", Capacity: size}}})
		}
		c.Step(at, 1000+at.Milliseconds(), events...)
		for _, d := range c.Decisions() {
			if d.Kind == "job-waits" {
				waits = append(waits, d)
			}
		}
	}
	g.Expect(waits).NotTo(BeEmpty())
	g.Expect(waits[0].Needs).To(Equal("2 tasks at once, each 1.5 cores, 10 MiB, 1 accelerators; workers large enough: 1"))
}
