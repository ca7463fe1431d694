package standin

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	api "github.com/mimosaspool/mimosaspool/api/platform"
)

// Worker is a machine that runs tasks under leases. It refuses nothing for
// want of room: it records a breach and obeys.
type Worker struct {
	host *api.Host
	site *Site
	// mu guards all below, of all the site's workers.
	mu *sync.Mutex
	// ahead is how far the worker's clock is ahead of the machine's.
	ahead time.Duration
	// boot is the worker's time of its last start.
	boot  int64
	marks map[string]*api.Mark
	tasks map[uint64]*task
	use   WorkerUse
}

// WorkerUse is what a worker was asked to do and what its tasks hold.
type WorkerUse struct {
	Name     string         `json:"name"`
	Domain   string         `json:"domain"`
	Capacity *api.Resources `json:"capacity"`
	Held     *api.Resources `json:"held"`
	Running  int            `json:"running"`
	Writes   int64          `json:"writes"`
	Starts   int64          `json:"starts"`
}

// Start is one start of a task.
type Start struct {
	Time    time.Time `json:"time"`
	Task    string    `json:"task"`
	Attempt uint64    `json:"attempt"`
	Worker  string    `json:"worker"`
}

// maxClockSkew bounds how far a worker's clock is from the machine's.
const maxClockSkew = time.Hour

func newWorker(host *api.Host, site *Site) *Worker {
	w := &Worker{host: host, site: site, mu: &site.mu}
	w.skew(host.Name)
	w.reset(w.now() - time.Hour.Milliseconds())
	return w
}

// skew sets the clock as of another machine.
func (w *Worker) skew(seed string) {
	h := fnv.New64a()
	h.Write([]byte(seed))
	w.ahead = time.Duration(h.Sum64()%uint64(2*maxClockSkew)) - maxClockSkew
}

func (w *Worker) reset(boot int64) {
	w.boot, w.marks, w.tasks = boot, map[string]*api.Mark{}, map[uint64]*task{}
}

// now returns the worker's time in milliseconds.
func (w *Worker) now() int64 { return time.Now().Add(w.ahead).UnixMilli() }

// Write implements the platform's Worker service.
func (w *Worker) Write(ctx context.Context, req *api.WriteRequest) (*api.WriteReply, error) {
	if !w.site.Faults.Wait(ctx.Done(), WorkerPause, w.host.Name) {
		return nil, ctx.Err()
	}
	reply := w.apply(req)
	if x, lost := w.site.Faults.On(WorkerLostReply, w.host.Name); lost && rand.Int64N(100) < x.Value {
		return nil, errOut()
	}
	return reply, nil
}

func (w *Worker) apply(req *api.WriteRequest) *api.WriteReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.use.Writes++
	now := w.now()
	w.sweep(now)
	if req.BootMs != 0 && req.BootMs != w.boot {
		return w.reply(now, req)
	}
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
		if t := w.tasks[a]; t != nil && !t.running() {
			delete(w.tasks, a)
		}
	}
	return w.reply(now, req)
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
		switch {
		case !t.running():
		case t.endsAt > 0 && t.endsAt <= now && t.endsAt < t.api.LeaseExpiryMs:
			w.end(t, t.endState)
		case t.api.LeaseExpiryMs <= now:
			w.end(t, api.TaskState_LAPSED)
		default:
			t.report(now)
		}
	}
}

func (w *Worker) end(t *task, state api.TaskState) {
	t.api.State = state
	w.site.left(t.api.Task, t.api.Attempt)
	if t.runner != nil {
		t.runner.Close()
	}
}

// restart forgets marks and tasks, as a machine does that was switched off.
func (w *Worker) restart() {
	for _, t := range w.tasks {
		if t.running() {
			w.end(t, api.TaskState_LAPSED)
		}
	}
	w.reset(w.now())
}

func (w *Worker) renew(expiry int64) {
	for _, t := range w.tasks {
		if t.running() {
			t.api.LeaseExpiryMs = max(t.api.LeaseExpiryMs, expiry)
		}
	}
}

func (w *Worker) order(now int64, o *api.Order) {
	t := w.tasks[o.Attempt]
	if o.ValidUntilMs <= now || t == nil || !t.running() {
		return
	}
	switch o.Kind {
	case api.OrderKind_STOP:
		w.checkGraceful(t)
		w.end(t, api.TaskState_STOPPED)
	case api.OrderKind_CHECKPOINT:
		w.checkGraceful(t)
		t.api.Checkpoint = w.site.checkpoint(t, now)
		w.end(t, api.TaskState_CHECKPOINTED)
	case api.OrderKind_THROTTLE:
		t.throttle(now, true)
	case api.OrderKind_RESUME:
		t.throttle(now, false)
	}
}

func (w *Worker) checkGraceful(t *task) {
	if t.runner == nil {
		return
	}
	if n := t.runner.busy.Load(); n > 0 {
		w.site.Breaches.Record(PromiseGraceful, t.api.Task, fmt.Sprintf("stopped with %d requests in flight", n))
	}
}

func (w *Worker) start(now int64, s *api.Start) {
	if s.LeaseExpiryMs <= now || w.tasks[s.Attempt] != nil {
		return
	}
	t := w.site.newTask(now, s)
	if _, failing := w.site.Faults.On(WorkerBlackHole, w.host.Name); failing {
		t.endsAt, t.endState = now+failMs, api.TaskState_FAILED
	}
	if s.Service != "" {
		t.runner = newRunner(s, w)
		t.api.Address = t.runner.Address()
	}
	w.tasks[s.Attempt] = t
	w.use.Starts++
	w.site.starts = append(w.site.starts, Start{Time: time.Now(), Task: s.Task, Attempt: s.Attempt, Worker: w.host.Name})
	w.site.entered(s, w)
	w.checkStart(s)
}

func (w *Worker) checkStart(s *api.Start) {
	h, c := w.held(), w.host.Capacity
	if h.MilliCpu > c.MilliCpu || h.MemoryMib > c.MemoryMib || h.Accelerators > c.Accelerators {
		w.site.Breaches.Record(PromiseCapacity, w.host.Name, fmt.Sprintf("%d mcpu %d MiB %d acc held after start of %s", h.MilliCpu, h.MemoryMib, h.Accelerators, s.Task))
	}
	if since, leaving := w.site.toldLeaving(w.host.Name); leaving && since > leavingGrace {
		w.site.Breaches.Record(PromiseLeaving, w.host.Name, fmt.Sprintf("task %s started %s after the list said so", s.Task, since))
	}
}

// held adds up the sizes of the running tasks.
func (w *Worker) held() *api.Resources {
	sum := &api.Resources{}
	for _, t := range w.tasks {
		if t.running() {
			sum.MilliCpu += t.api.Size.GetMilliCpu()
			sum.MemoryMib += t.api.Size.GetMemoryMib()
			sum.Accelerators += t.api.Size.GetAccelerators()
		}
	}
	return sum
}

func (w *Worker) reply(now int64, req *api.WriteRequest) *api.WriteReply {
	reply := &api.WriteReply{NowMs: now, BootMs: w.boot}
	for h, m := range w.marks {
		copied := &api.Mark{Holder: h, ExpiryMs: m.ExpiryMs, SinceMs: m.SinceMs}
		if h == req.Holder {
			reply.Mark = copied
		} else {
			reply.Others = append(reply.Others, copied)
		}
	}
	attempts := make([]uint64, 0, len(w.tasks))
	for a := range w.tasks {
		attempts = append(attempts, a)
	}
	slices.Sort(attempts)
	reply.Digest = w.digest(attempts)
	if reply.Digest == req.Digest {
		reply.Unchanged = true
		return reply
	}
	reply.Capacity = w.host.Capacity
	for _, a := range attempts {
		reply.Tasks = append(reply.Tasks, w.tasks[a].copy())
	}
	return reply
}

// digest sums up the task list and the capacity; it is never 0.
func (w *Worker) digest(attempts []uint64) uint64 {
	h := fnv.New64a()
	for _, a := range attempts {
		t := w.tasks[a].api
		fmt.Fprintf(h, "%d %d %v %d %d;", a, t.State, t.Throttled, t.Checkpoint, t.Usage.GetMilliCpu())
	}
	c := w.host.Capacity
	fmt.Fprintf(h, "%d %d %d", c.MilliCpu, c.MemoryMib, c.Accelerators)
	return h.Sum64() | 1
}

// report returns what the worker was asked to do.
func (w *Worker) report() WorkerUse {
	w.sweep(w.now())
	u := w.use
	u.Name, u.Domain, u.Capacity, u.Held = w.host.Name, w.host.Domain, w.host.Capacity, w.held()
	for _, t := range w.tasks {
		if t.running() {
			u.Running++
		}
	}
	return u
}
