package standin

import (
	"context"
	"fmt"
	"hash/fnv"
	"sort"
	"sync"
	"time"

	api "github.com/mimosaspool/mimosaspool/api/platform"
)

// Worker is a machine that runs tasks under leases. It refuses nothing for
// want of room: it records a breach and obeys.
type Worker struct {
	host     *api.Host
	breaches *Breaches
	mu       sync.Mutex
	boot     time.Time
	marks    map[string]*api.Mark
	tasks    map[uint64]*workerTask
}

type workerTask struct {
	api    *api.Task
	runner *Runner
	// endsAt is when batch work is done, in milliseconds of the worker's clock; 0 is never.
	endsAt int64
}

// NewWorker returns a worker that started long ago.
func NewWorker(host *api.Host, breaches *Breaches) *Worker {
	return &Worker{
		host:     host,
		breaches: breaches,
		boot:     time.Now().Add(-time.Hour),
		marks:    map[string]*api.Mark{},
		tasks:    map[uint64]*workerTask{},
	}
}

// Write implements the platform's Worker service.
func (w *Worker) Write(_ context.Context, req *api.WriteRequest) (*api.WriteReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now().UnixMilli()
	w.sweep(now)
	w.setMark(now, req)
	if req.RenewExpiryMs > now {
		w.renew(req.RenewExpiryMs)
	}
	for _, o := range req.Orders {
		w.order(now, o)
	}
	for _, s := range req.Starts {
		w.start(now, s)
	}
	for _, a := range req.Forget {
		if t := w.tasks[a]; t != nil && t.api.State != api.TaskState_RUNNING {
			delete(w.tasks, a)
		}
	}
	return w.reply(now, req), nil
}

func (w *Worker) setMark(now int64, req *api.WriteRequest) {
	if req.MarkExpiryMs < 0 {
		delete(w.marks, req.Holder)
		return
	}
	if req.MarkExpiryMs <= now {
		return
	}
	m := w.marks[req.Holder]
	if m == nil {
		m = &api.Mark{Holder: req.Holder, SinceMs: now}
		w.marks[req.Holder] = m
	}
	m.ExpiryMs = max(m.ExpiryMs, req.MarkExpiryMs)
}

// sweep ends what has lapsed by now.
func (w *Worker) sweep(now int64) {
	for h, m := range w.marks {
		if m.ExpiryMs <= now {
			delete(w.marks, h)
		}
	}
	for _, t := range w.tasks {
		if t.api.State != api.TaskState_RUNNING {
			continue
		}
		if t.endsAt > 0 && t.endsAt <= now {
			w.end(t, api.TaskState_SUCCEEDED)
		} else if t.api.LeaseExpiryMs <= now {
			w.end(t, api.TaskState_LAPSED)
		}
	}
}

func (w *Worker) end(t *workerTask, state api.TaskState) {
	t.api.State = state
	w.breaches.stopped(t.api.Task, t.api.Attempt)
	if t.runner != nil {
		t.runner.Close()
	}
}

func (w *Worker) renew(expiry int64) {
	for _, t := range w.tasks {
		if t.api.State == api.TaskState_RUNNING {
			t.api.LeaseExpiryMs = max(t.api.LeaseExpiryMs, expiry)
		}
	}
}

func (w *Worker) order(now int64, o *api.Order) {
	t := w.tasks[o.Attempt]
	if o.ValidUntilMs <= now || t == nil || t.api.State != api.TaskState_RUNNING {
		return
	}
	switch o.Kind {
	case api.OrderKind_STOP:
		w.end(t, api.TaskState_STOPPED)
	case api.OrderKind_CHECKPOINT:
		t.api.Checkpoint = uint64(now)
		w.end(t, api.TaskState_CHECKPOINTED)
	case api.OrderKind_THROTTLE:
		t.api.Throttled = true
	case api.OrderKind_RESUME:
		t.api.Throttled = false
	}
}

func (w *Worker) start(now int64, s *api.Start) {
	if s.LeaseExpiryMs <= now || w.tasks[s.Attempt] != nil {
		return
	}
	t := &workerTask{api: &api.Task{Task: s.Task, Attempt: s.Attempt, Size: s.Size, LeaseExpiryMs: s.LeaseExpiryMs, Usage: s.Size}}
	if s.RunMs > 0 {
		t.endsAt = now + s.RunMs
	}
	if s.Service != "" {
		t.runner = NewRunner(s.Service, s.Task, w.breaches)
		t.api.Address = t.runner.Address()
	}
	w.tasks[s.Attempt] = t
	w.breaches.started(s.Task, s.Attempt, w.host.Name)
	w.checkRoom()
}

func (w *Worker) checkRoom() {
	var cpu, mem, acc int64
	for _, t := range w.tasks {
		if t.api.State == api.TaskState_RUNNING {
			cpu += t.api.Size.GetMilliCpu()
			mem += t.api.Size.GetMemoryMib()
			acc += t.api.Size.GetAccelerators()
		}
	}
	c := w.host.Capacity
	if cpu > c.MilliCpu || mem > c.MemoryMib || acc > c.Accelerators {
		w.breaches.Record(Breach{Promise: "capacity", Subject: w.host.Name, Detail: fmt.Sprintf("%d mcpu %d MiB %d acc", cpu, mem, acc)})
	}
}

func (w *Worker) reply(now int64, req *api.WriteRequest) *api.WriteReply {
	reply := &api.WriteReply{NowMs: now, BootMs: w.boot.UnixMilli(), Mark: w.marks[req.Holder]}
	for h, m := range w.marks {
		if h != req.Holder {
			reply.Others = append(reply.Others, m)
		}
	}
	attempts := make([]uint64, 0, len(w.tasks))
	for a := range w.tasks {
		attempts = append(attempts, a)
	}
	sort.Slice(attempts, func(i, j int) bool { return attempts[i] < attempts[j] })
	reply.Digest = w.digest(attempts)
	if reply.Digest == req.Digest {
		reply.Unchanged = true
		return reply
	}
	reply.Capacity = w.host.Capacity
	for _, a := range attempts {
		reply.Tasks = append(reply.Tasks, w.tasks[a].api)
	}
	return reply
}

// digest sums up the task list and the capacity; it is never 0.
func (w *Worker) digest(attempts []uint64) uint64 {
	h := fnv.New64a()
	for _, a := range attempts {
		t := w.tasks[a].api
		fmt.Fprintf(h, "%d %d %v %d;", a, t.State, t.Throttled, t.Checkpoint)
	}
	fmt.Fprintf(h, "%v", w.host.Capacity.String())
	return h.Sum64() | 1
}
