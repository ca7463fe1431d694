package emulator

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

func TestAdviceTicketsAndLine(t *testing.T) {
	policy := workflow.PolicySettings{Decision: 100 * time.Millisecond, PerWorker: 10 * time.Millisecond, Validity: 5 * time.Second}
	onFleet(t, FleetConfig{Advice: map[string]workflow.PolicySettings{"q": policy}, ApprovedShare: 1}, func(b *bed) {
		b.know(workflow.Step{Count: 3, Size: workflow.Size{MilliCPU: 1}})
		ask := func(step int) (worker.Approvals, error) {
			return b.f.Adviser("a").ApproveWorkers(b.ctx, task(step, 0).StepID, []string{"w1", "w2", "w9"})
		}
		began := time.Now()
		approvals, err := ask(0)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(time.Since(began)).To(Equal(130*time.Millisecond + 2*DefaultLatency))
		b.Expect(approvals.Approved).To(HaveLen(2))
		ticket := func(s *worker.Start) { s.Ticket = approvals.Approved[0].Ticket }
		b.Expect(b.start("w1", task(0, 0), 1)).To(Equal(worker.InvalidTicket))
		b.Expect(b.start("w2", task(0, 0), 1, ticket)).To(Equal(worker.InvalidTicket))
		b.Expect(b.start("w1", task(0, 0), 1, ticket)).To(Equal(worker.OK))
		b.Expect(b.start("w1", task(1, 0), 1, ticket)).To(Equal(worker.InvalidTicket), "of another step")
		time.Sleep(5 * time.Second)
		b.Expect(b.start("w1", task(0, 1), 1, ticket)).To(Equal(worker.InvalidTicket), "expired")

		errs := make(chan error, MaxAdviceWaiting+2)
		began = time.Now()
		for range cap(errs) {
			go func() { _, err := ask(0); errs <- err }()
		}
		b.Expect(<-errs).To(MatchError(ErrAdviceBusy))
		for range MaxAdviceWaiting + 1 {
			b.Expect(<-errs).NotTo(HaveOccurred())
		}
		b.Expect(time.Since(began)).To(Equal((MaxAdviceWaiting+1)*130*time.Millisecond + 2*DefaultLatency))
	})
}

func TestApprovedSetIsSeededAndNeverChanges(t *testing.T) {
	f := NewFleet(FleetConfig{Seed: 3, ApprovedShare: 0.3})
	g := NewWithT(t)
	n := 0
	for i := range 1000 {
		step := workflow.StepID{Job: jobID, Step: i}
		if f.approves(step, "w1") {
			n++
		}
		g.Expect(f.approves(step, "w1")).To(Equal(f.approves(step, "w1")))
	}
	g.Expect(n).To(BeNumerically("~", 300, 60))
}

// scheduler is a simple one for the load's test: each task of a step is run,
// then those of the next.
type scheduler struct {
	b         *bed
	mu        sync.Mutex
	n         int
	cancelled map[string]bool
}

func (s *scheduler) submit(ctx context.Context, _ *workflow.Queue, job workflow.Job) (accepted, unknown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.n++; {
	case s.n%5 == 0:
		return false, false
	case s.n%7 == 0:
		return false, true
	}
	go s.run(ctx, job)
	return true, false
}

func (s *scheduler) cancel(_ context.Context, _ *workflow.Queue, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled[id] = true
	return true
}

func (s *scheduler) run(ctx context.Context, job workflow.Job) {
	for i, step := range job.Steps {
		s.mu.Lock()
		gone := s.cancelled[job.ID]
		s.mu.Unlock()
		if gone {
			return
		}
		for k := range step.Count {
			id := workflow.TaskID{StepID: workflow.StepID{Job: job.ID, Step: i}, Index: k}
			s.b.c.Start(ctx, worker.Start{Order: order("w1"), Task: id, Run: 1, Spec: job.Spec, DeadlineMillis: forever})
		}
		time.Sleep(time.Duration(step.EstimateMillis+100) * time.Millisecond)
	}
}

func runLoad(t *testing.T) (r LoadReport, accepted []workflow.Job, breaches []Rule) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		s := &scheduler{b: b, cancelled: map[string]bool{}}
		load := NewLoad(LoadConfig{
			Seed: 5, Rate: 10, Duration: 20 * time.Second, Fleet: b.f, Submit: s.submit, Cancel: s.cancel,
			Mixes: []Mix{{
				Queue: workflow.Queue{Name: "q", Pool: "p", Attempts: 2}, Weight: 1, Cancel: 0.1,
				Steps: Between{1, 3}, Width: Between{1, 4}, EstimateMillis: Between{100, 500}, Gang: 0.2,
				CancelAfterMillis: Between{100, 300},
			}},
		})
		ctx, cancel := context.WithCancel(b.ctx)
		defer cancel()
		go func() {
			for ctx.Err() == nil {
				b.hold("w1", 0)
				time.Sleep(time.Second)
			}
		}()
		load.Run(ctx)
		b.Expect(load.Await(ctx)).To(Succeed())
		r, accepted, breaches = load.Report(), load.Accepted(), b.breaches()
		cancel()
		time.Sleep(time.Second)
	})
	return r, accepted, breaches
}

func TestLoadIsSeededAndCounted(t *testing.T) {
	g := NewWithT(t)
	r, accepted, breaches := runLoad(t)
	g.Expect(breaches).To(BeEmpty())
	g.Expect(r.Submitted).To(BeNumerically("~", 200, 50))
	g.Expect(r.Accepted + r.Refused + r.Unknown).To(Equal(r.Submitted))
	g.Expect(r.Refused).To(Equal(r.Submitted / 5))
	g.Expect(r.Unknown).To(BeNumerically(">", 10))
	g.Expect(r.Finished + r.Cancelled).To(Equal(r.Accepted))
	g.Expect(r.Cancelled).To(BeNumerically(">", 3))
	g.Expect(r.Wait.Max()).To(BeNumerically("<", 10))
	g.Expect(r.Total.Min()).To(BeNumerically(">=", 100))
	g.Expect(accepted).To(HaveLen(r.Accepted))
	t.Log(r)
	_, again, _ := runLoad(t)
	g.Expect(again).To(Equal(accepted))
}

// TestRealTime runs a task outside of a bubble.
func TestRealTime(t *testing.T) {
	g := NewWithT(t)
	f := NewFleet(FleetConfig{})
	f.Add(WorkerConfig{ID: "w1", Pool: "p"})
	f.Know(&workflow.Job{ID: jobID, Steps: []workflow.Step{{Count: 1, EstimateMillis: 20}}}, "p", 1)
	c := f.Client("a")
	code, _ := c.Start(t.Context(), worker.Start{Order: order("w1"), Task: task(0, 0), Run: 1, DeadlineMillis: forever})
	g.Expect(code).To(Equal(worker.OK))
	_, lists := c.Heartbeat(t.Context(), worker.Heartbeat{Order: order("w1"), Wait: time.Second})
	g.Expect(lists.Ended).To(HaveLen(1))
}

// TestBubbleMayEndAtAnyMoment leaves work of all kinds open.
func TestBubbleMayEndAtAnyMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(FleetConfig{})
		f.Add(WorkerConfig{ID: "w1", Pool: "p"})
		f.Late(1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		code, _ := f.Client("a").Start(ctx, worker.Start{Order: order("w1"), Task: task(0, 0), Run: 1, DeadlineMillis: forever})
		NewWithT(t).Expect(code).To(Equal(worker.Unknown))
	})
}
