package standin

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	api "github.com/mimosaspool/mimosaspool/api/platform"
	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

const (
	// usageLagMs is how long after its start a task's use is reported.
	usageLagMs = 5000
	// failMs is how long a task runs on a worker that fails everything.
	failMs = 50
	// throttled tasks take this many times as long.
	throttleFactor = 2
	percent        = 100
)

// task is a task on a worker.
type task struct {
	api    *api.Task
	runner *Runner
	// endsAt is when finite work is done, in the worker's time; 0 is never.
	endsAt   int64
	endState api.TaskState
	began    int64
	usage    *api.Resources
}

// newTask returns the task that a start asks for; it resumes from a checkpoint.
func (s *Site) newTask(now int64, st *api.Start) *task {
	workload := configuration.WorkloadOf(st.Task)
	t := &task{
		api:   &api.Task{Task: st.Task, Attempt: st.Attempt, Size: st.Size, LeaseExpiryMs: st.LeaseExpiryMs},
		began: now,
		usage: scale(st.Size, s.factor(TaskUsage, workload)),
	}
	run := st.RunMs * s.factor(TaskRunTime, workload) / percent
	if left, ok := s.checkpoints[st.Checkpoint]; ok && st.Checkpoint != 0 {
		run = left
	}
	if run > 0 {
		t.endsAt, t.endState = now+run, api.TaskState_SUCCEEDED
	}
	return t
}

// factor returns a fault's value for a workload, in percent.
func (s *Site) factor(kind FaultKind, workload string) int64 {
	if x, on := s.Faults.On(kind, workload); on && x.Value > 0 {
		return x.Value
	}
	return percent
}

func scale(r *api.Resources, factor int64) *api.Resources {
	return &api.Resources{
		MilliCpu:     r.GetMilliCpu() * factor / percent,
		MemoryMib:    r.GetMemoryMib() * factor / percent,
		Accelerators: r.GetAccelerators(),
	}
}

// checkpoint keeps what is left of a task's work and returns its number.
func (s *Site) checkpoint(t *task, now int64) uint64 {
	n := uint64(len(s.checkpoints) + 1)
	s.checkpoints[n] = max(t.endsAt-now, 0)
	return n
}

func (t *task) running() bool { return t.api.State == api.TaskState_RUNNING }

// report makes the task's use known once it has run for a while.
func (t *task) report(now int64) {
	if t.api.Usage == nil && now-t.began >= usageLagMs {
		t.api.Usage = t.usage
	}
}

// throttle slows the task down, or lets it run as before.
func (t *task) throttle(now int64, on bool) {
	if t.api.Throttled == on {
		return
	}
	t.api.Throttled = on
	left := t.endsAt - now
	switch {
	case t.endsAt == 0:
	case on:
		t.endsAt = now + left*throttleFactor
	default:
		t.endsAt = now + left/throttleFactor
	}
}

func (t *task) copy() *api.Task { return proto.Clone(t.api).(*api.Task) }

// place is where an attempt of a task is live.
type place struct {
	attempt uint64
	worker  *Worker
}

// entered notes an attempt that began and records a breach when another one of
// the task is live.
func (s *Site) entered(st *api.Start, w *Worker) {
	for _, p := range s.places[st.Task] {
		p.worker.sweep(p.worker.now())
	}
	for _, p := range s.places[st.Task] {
		s.Breaches.Record(PromiseOnePlace, st.Task, fmt.Sprintf("attempt %d on %s while %d on %s", st.Attempt, w.host.Name, p.attempt, p.worker.host.Name))
	}
	s.places[st.Task] = append(s.places[st.Task], place{st.Attempt, w})
}

// left notes that an attempt is no longer live.
func (s *Site) left(task string, attempt uint64) {
	var rest []place
	for _, p := range s.places[task] {
		if p.attempt != attempt {
			rest = append(rest, p)
		}
	}
	if s.places[task] = rest; len(rest) == 0 {
		delete(s.places, task)
	}
}
