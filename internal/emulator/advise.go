package emulator

import (
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// The bounds of the policy service.
const (
	// MaxAdviceWorkers bounds the workers of one question.
	MaxAdviceWorkers = 100
	// MaxAdviceWaiting is how many calls of a node may wait for their turn.
	MaxAdviceWaiting = 32
)

// The policy service's errors.
var (
	// ErrAdviceBusy: too many calls of the node wait; nothing was done.
	ErrAdviceBusy = errors.New("emulator: too many calls for advice wait")
	// ErrAdviceInvalid: the question names too many workers, or a step of a
	// queue without advice.
	ErrAdviceInvalid = errors.New("emulator: invalid call for advice")
	// ErrAdviceSilent: no answer came before the context's end.
	ErrAdviceSilent = errors.New("emulator: no answer to a call for advice")
)

// ticket is a right to start the tasks of a step on a life of a worker.
type ticket struct {
	step    workflow.StepID
	life    *life
	expires time.Time
}

// adviceLine is the calls of one node.
type adviceLine struct {
	// free is when the last call in line is answered, calls how many are in it.
	free  time.Time
	calls int
}

// adviser is one node's way to the policy service.
type adviser struct {
	fleet *Fleet
	node  string
}

// Adviser returns the policy service as a node reaches it.
func (f *Fleet) Adviser(node string) worker.PolicyClient { return &adviser{f, node} }

// AdviceDown makes the policy service silent.
func (f *Fleet) AdviceDown(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adviceDown, f.disrupted = on, time.Now()
}

type advice struct {
	approvals worker.Approvals
	err       error
}

// ApproveWorkers implements worker.PolicyClient.
func (a *adviser) ApproveWorkers(ctx context.Context, step workflow.StepID, workers []string) (worker.Approvals, error) {
	workers = append([]string(nil), workers...)
	f := a.fleet
	r, ok := exchange(ctx, f.cfg.Latency, func(answer func(advice)) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.adviceDown {
			return
		}
		takes, err := a.enter(step, workers)
		if err != nil {
			time.AfterFunc(f.cfg.Latency, func() { answer(advice{err: err}) })
			return
		}
		time.AfterFunc(takes, func() {
			approvals := a.leave(step, workers)
			time.AfterFunc(f.cfg.Latency, func() { answer(advice{approvals: approvals}) })
		})
	})
	if !ok {
		return worker.Approvals{}, ErrAdviceSilent
	}
	return r.approvals, r.err
}

// enter lines a call up and returns how long it takes until it is answered.
func (a *adviser) enter(step workflow.StepID, workers []string) (time.Duration, error) {
	policy, ok := a.fleet.policyOf(step)
	if !ok || len(workers) > MaxAdviceWorkers {
		return 0, ErrAdviceInvalid
	}
	line := a.fleet.lines[a.node]
	if line == nil {
		line = &adviceLine{}
		a.fleet.lines[a.node] = line
	}
	// One call is being answered; the others wait.
	if line.calls > MaxAdviceWaiting {
		return 0, ErrAdviceBusy
	}
	now := time.Now()
	if line.free.Before(now) {
		line.free = now
	}
	line.free = line.free.Add(policy.Decision + time.Duration(len(workers))*policy.PerWorker)
	line.calls++
	return line.free.Sub(now), nil
}

// leave decides and issues the tickets.
func (a *adviser) leave(step workflow.StepID, workers []string) worker.Approvals {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lines[a.node].calls--
	policy, _ := f.policyOf(step)
	out := worker.Approvals{Validity: policy.Validity}
	for _, id := range workers {
		w := f.workers[id]
		if w == nil || !w.alive || !f.approves(step, id) {
			continue
		}
		name := fmt.Sprintf("%s.%s.%d", step, id, len(f.tickets)+1)
		f.tickets[name] = ticket{step, w, time.Now().Add(policy.Validity)}
		out.Approved = append(out.Approved, worker.Approval{Worker: id, Ticket: name})
	}
	return out
}

func (f *Fleet) policyOf(step workflow.StepID) (workflow.PolicySettings, bool) {
	k := f.jobs[step.Job]
	if k == nil {
		return workflow.PolicySettings{}, false
	}
	p, ok := f.cfg.Advice[k.job.Queue]
	return p, ok
}

// approves is the policy: it depends on the seed, the step and the worker only.
func (f *Fleet) approves(step workflow.StepID, id string) bool {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s %s", f.cfg.Seed, step, id)
	// The hash's own upper bits are poor for names that differ at their end.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x)/math.MaxUint64 < f.cfg.ApprovedShare
}

// ticketHolds reports whether a start may go on as to its ticket.
func (f *Fleet) ticketHolds(w *life, s worker.Start) bool {
	if _, needed := f.policyOf(s.Task.StepID); !needed {
		return true
	}
	t, ok := f.tickets[s.Ticket]
	return ok && t.step == s.Task.StepID && t.life == w && time.Now().Before(t.expires)
}
