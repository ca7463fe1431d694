package measure

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	api "github.com/mimosaspool/mimosaspool/api/platform"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// usageLag is how long after its start a task's use is reported.
const usageLag = 10 * time.Second

// workerClock is how far workers' clocks are ahead of the schedulers'.
const workerClock = time.Hour

// fakeWorker obeys every write and runs tasks for their true time.
type fakeWorker struct {
	Worker
	sim           *simulation
	mark, since   time.Duration
	tasks         map[uint64]*fakeTask
	version       uint64
	used          resource.Vector
	silent, fails bool
}

type fakeTask struct {
	scheduler.ObservedTask
	declared resource.Vector
	started  time.Duration
	use      resource.Vector
}

func (w *fakeWorker) write(eff scheduler.WriteWorker) scheduler.WriteReplied {
	now := w.sim.now + workerClock
	w.lapse(now)
	if eff.MarkExpiry > now || eff.MarkExpiry < 0 {
		if w.mark <= now {
			w.since = now
		}
		w.mark = max(eff.MarkExpiry, 0)
	}
	for _, t := range w.tasks {
		if t.State == scheduler.Running && eff.RenewExpiry > now {
			t.Expiry = max(t.Expiry, eff.RenewExpiry)
		}
	}
	w.order(eff, now)
	for _, a := range eff.Forget {
		delete(w.tasks, a)
		w.version++
	}
	for _, s := range eff.Starts {
		if s.Expiry > now && w.tasks[s.Attempt] == nil {
			w.start(s)
		}
	}
	return w.reply(eff, now)
}

func (w *fakeWorker) order(eff scheduler.WriteWorker, now time.Duration) {
	for _, o := range eff.Orders {
		t := w.tasks[o.Attempt]
		if t == nil || t.State != scheduler.Running || o.ValidUntil <= now {
			continue
		}
		if o.Kind == scheduler.Checkpoint {
			done := w.sim.now - t.started
			w.sim.done[t.Task] += done
			t.Checkpoint = uint64(max(w.sim.done[t.Task].Milliseconds(), 1))
			w.end(t, scheduler.Checkpointed)
			continue
		}
		w.end(t, scheduler.Stopped)
	}
}

func (w *fakeWorker) lapse(now time.Duration) {
	for _, t := range w.tasks {
		if t.State == scheduler.Running && t.Expiry <= now {
			w.end(t, scheduler.Lapsed)
		}
	}
}

func (w *fakeWorker) start(s scheduler.Start) {
	sim := w.sim
	truth := sim.truth[s.Task]
	t := &fakeTask{ObservedTask: scheduler.ObservedTask{Task: s.Task, Attempt: s.Attempt, Size: s.Size, Expiry: s.Expiry}, declared: truth.size, started: sim.now, use: truth.use}
	w.tasks[s.Attempt] = t
	w.version++
	sim.count(w, truth.size, 1)
	w.used = w.used.Add(s.Size)
	sim.begun(w, t)
	if s.Checkpoint == 0 {
		sim.done[s.Task] = 0
	}
	if w.fails {
		sim.after(time.Millisecond, func() { w.ends(t, scheduler.Failed) })
		return
	}
	if truth.run > 0 {
		sim.after(max(truth.run-sim.done[s.Task], 0), func() { w.ends(t, scheduler.Succeeded) })
	}
	sim.after(usageLag, func() {
		if t.State == scheduler.Running {
			t.Usage = t.use
			w.version++
		}
	})
}

// ends ends a task unless its lease ran out before.
func (w *fakeWorker) ends(t *fakeTask, state scheduler.TaskState) {
	w.lapse(w.sim.now + workerClock)
	if t.State == scheduler.Running {
		w.end(t, state)
	}
}

func (w *fakeWorker) end(t *fakeTask, state scheduler.TaskState) {
	t.State = state
	w.version++
	w.used = w.used.Sub(t.Size)
	w.sim.count(w, t.declared, -1)
	w.sim.ended(w, t)
}

func (w *fakeWorker) reply(eff scheduler.WriteWorker, now time.Duration) scheduler.WriteReplied {
	ev := scheduler.WriteReplied{Worker: w.Name, Capacity: w.Capacity, Digest: w.version + 1}
	ev.Reply = ownership.Reply{Write: eff.Write, Now: now, Boot: time.Minute, Since: w.since}
	if w.mark > now {
		ev.Reply.Expiry = w.mark
	}
	if ev.Unchanged = ev.Digest == eff.Digest; ev.Unchanged {
		return ev
	}
	for _, t := range w.tasks {
		ev.Tasks = append(ev.Tasks, t.ObservedTask)
	}
	slices.SortFunc(ev.Tasks, func(a, b scheduler.ObservedTask) int { return int(int64(a.Attempt - b.Attempt)) })
	return ev
}

// requestBytes returns the size of a write in the platform's protocol.
func requestBytes(eff scheduler.WriteWorker) int64 {
	req := &api.WriteRequest{Holder: eff.Holder, MarkExpiryMs: eff.MarkExpiry.Milliseconds(), RenewExpiryMs: eff.RenewExpiry.Milliseconds(), Forget: eff.Forget, Digest: eff.Digest}
	for _, s := range eff.Starts {
		req.Starts = append(req.Starts, &api.Start{Task: s.Task, Attempt: s.Attempt, Size: resources(s.Size), LeaseExpiryMs: s.Expiry.Milliseconds(), Service: s.Service, RunMs: s.RunMillis, Checkpoint: s.Checkpoint})
	}
	for _, o := range eff.Orders {
		req.Orders = append(req.Orders, &api.Order{Kind: api.OrderKind(o.Kind), Task: o.Task, Attempt: o.Attempt, ValidUntilMs: o.ValidUntil.Milliseconds()})
	}
	return int64(proto.Size(req))
}

// replyBytes returns the size of a reply in the platform's protocol.
func replyBytes(eff scheduler.WriteWorker, ev scheduler.WriteReplied) int64 {
	r := &api.WriteReply{NowMs: ev.Reply.Now.Milliseconds(), BootMs: ev.Reply.Boot.Milliseconds(), Unchanged: ev.Unchanged, Digest: ev.Digest}
	r.Mark = &api.Mark{Holder: eff.Holder, ExpiryMs: ev.Reply.Expiry.Milliseconds(), SinceMs: ev.Reply.Since.Milliseconds()}
	if !ev.Unchanged {
		r.Capacity = resources(ev.Capacity)
	}
	for _, t := range ev.Tasks {
		r.Tasks = append(r.Tasks, &api.Task{Task: t.Task, Attempt: t.Attempt, Size: resources(t.Size), LeaseExpiryMs: t.Expiry.Milliseconds(), State: api.TaskState(t.State), Usage: resources(t.Usage), Checkpoint: t.Checkpoint})
	}
	return int64(proto.Size(r))
}

func resources(v resource.Vector) *api.Resources {
	return &api.Resources{MilliCpu: v.MilliCPU, MemoryMib: v.MemoryMiB, Accelerators: v.Accelerators}
}
