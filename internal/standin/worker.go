package standin

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	api "github.com/mimosaspool/mimosaspool/api/platform"
	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/fakeworker"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// Worker is a machine that runs tasks under leases. It refuses nothing for
// want of room: it records a breach and obeys.
type Worker struct {
	*fakeworker.Worker
	host *api.Host
	site *Site
	// mu guards all below, of all the site's workers.
	mu *sync.Mutex
	// ahead is how far the worker's clock is ahead of the machine's.
	ahead time.Duration
	// runners holds the running tasks of services, by attempt.
	runners map[uint64]*Runner
	use     WorkerUse
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

const (
	// maxClockSkew bounds how far a worker's clock is from the machine's.
	maxClockSkew = time.Hour
	// usageLag is how long after its start a task's use is reported.
	usageLag = 5 * time.Second
	// failAfter is how long a task runs on a worker that fails everything.
	failAfter = 50 * time.Millisecond
	percent   = 100
)

func newWorker(host *api.Host, site *Site) *Worker {
	w := &Worker{host: host, site: site, mu: &site.mu, runners: map[uint64]*Runner{}}
	w.skew(host.Name)
	capacity := platform.Vector(host.Capacity)
	w.Worker = fakeworker.New(host.Name, capacity, time.Hour, ownership.DefaultTiming(), fakeworker.Hooks{
		Now: w.now, Began: w.began, Ordered: w.ordered, Ended: w.ended,
	})
	site.tasks.Machine(host.Name, capacity)
	return w
}

// skew sets the clock as of another machine.
func (w *Worker) skew(seed string) {
	h := fnv.New64a()
	h.Write([]byte(seed))
	w.ahead = time.Duration(h.Sum64()%uint64(2*maxClockSkew)) - maxClockSkew
}

// now returns the worker's time in whole milliseconds, as the protocol has it.
func (w *Worker) now() time.Duration {
	return time.Duration(time.Now().Add(w.ahead).UnixMilli()) * time.Millisecond
}

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
	return fakeworker.Encode(w.Worker.Write(fakeworker.Decode(req)))
}

// began sets what is true of a task that starts, has it judged, and serves it.
// It resumes from a checkpoint.
func (w *Worker) began(t *fakeworker.Task, s scheduler.Start) {
	site, workload := w.site, configuration.WorkloadOf(s.Task)
	run := time.Duration(s.RunMillis) * time.Millisecond * time.Duration(site.factor(TaskRunTime, workload)) / percent
	if left, ok := site.checkpoints[s.Checkpoint]; ok && s.Checkpoint != 0 {
		run = left
	}
	t.EndsAt, t.Ending = 0, scheduler.Succeeded
	if run > 0 {
		t.EndsAt = w.Now() + run
	}
	if _, failing := site.Faults.On(WorkerBlackHole, w.host.Name); failing {
		t.EndsAt, t.Ending = w.Now()+failAfter, scheduler.Failed
	}
	t.Use, t.ReportAt = s.Size.Scale(site.factor(TaskUsage, workload)), w.Now()+usageLag
	t.Use = resource.Vector{MilliCPU: t.Use.MilliCPU / percent, MemoryMiB: t.Use.MemoryMiB / percent, Accelerators: s.Size.Accelerators}
	if s.Service != "" {
		w.runners[s.Attempt] = newRunner(s, w)
		t.Address = w.runners[s.Attempt].Address()
	}
	w.use.Starts++
	site.starts = append(site.starts, Start{Time: time.Now(), Task: s.Task, Attempt: s.Attempt, Worker: w.host.Name})
	w.judge(s)
}

// judge records the breaches that a start brings.
func (w *Worker) judge(s scheduler.Start) {
	site := w.site
	for _, name := range site.tasks.On(s.Task) {
		site.workers[name].Sweep()
	}
	site.tasks.Started(time.Since(site.began), w.host.Name, s.Task, s.Attempt, s.Size)
	for _, b := range site.tasks.Breaches {
		site.Breaches.Record(Promise(b.Promise.String()), b.Subject, b.Detail)
	}
	site.tasks.Breaches = nil
	if since, leaving := site.toldLeaving(w.host.Name); leaving && since > leavingGrace {
		site.Breaches.Record(PromiseLeaving, w.host.Name, fmt.Sprintf("task %s started %s after the list said so", s.Task, since))
	}
}

// ordered checks that an order cuts nothing off, and keeps what is left of the
// work for a checkpoint.
func (w *Worker) ordered(t *fakeworker.Task, kind scheduler.OrderKind) uint64 {
	if r := w.runners[t.Attempt]; r != nil && (kind == scheduler.Stop || kind == scheduler.Checkpoint) {
		if n := r.busy.Load(); n > 0 {
			w.site.Breaches.Record(PromiseGraceful, t.Task, fmt.Sprintf("stopped with %d requests in flight", n))
		}
	}
	if kind != scheduler.Checkpoint {
		return 0
	}
	n := uint64(len(w.site.checkpoints) + 1)
	w.site.checkpoints[n] = max(t.EndsAt-w.Now(), 0)
	return n
}

func (w *Worker) ended(t *fakeworker.Task) {
	w.site.tasks.Ended(w.host.Name, t.Attempt)
	if r := w.runners[t.Attempt]; r != nil {
		r.Close()
		delete(w.runners, t.Attempt)
	}
}

// report returns what the worker was asked to do.
func (w *Worker) report() WorkerUse {
	w.Sweep()
	u := w.use
	var held resource.Vector
	for _, t := range w.Live() {
		held = held.Add(t.Size)
		u.Running++
	}
	u.Name, u.Domain, u.Capacity, u.Held = w.host.Name, w.host.Domain, w.host.Capacity, platform.Resources(held)
	return u
}

// factor returns a fault's value for a workload, in percent.
func (s *Site) factor(kind FaultKind, workload string) int64 {
	if x, on := s.Faults.On(kind, workload); on && x.Value > 0 {
		return x.Value
	}
	return percent
}
