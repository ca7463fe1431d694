// Package fakeworker is a worker as the platform's protocol describes it, in
// virtual time: it obeys, and refuses nothing but lower tokens and what has lapsed. What runs on
// it, for how long, and who judges it is the business of its hooks.
package fakeworker

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// Hooks tie a worker to its surroundings. Now is needed; the others may be nil.
type Hooks struct {
	// Now reads the worker's clock.
	Now func() time.Duration
	// Began is told of a task that begins to run, and may set what is true of it.
	Began func(*Task, scheduler.Start)
	// Ordered is told of an order to a running task before it takes effect, and
	// returns the checkpoint that such an order leaves behind.
	Ordered func(*Task, scheduler.OrderKind) uint64
	// Ended is told of a task that runs no longer.
	Ended func(*Task)
}

// Task is a task on a worker, which runs or has ended.
type Task struct {
	scheduler.ObservedTask
	// EndsAt is when the task ends by itself, in the worker's clock; 0 is never.
	EndsAt time.Duration
	// Ending is the state that it then has.
	Ending scheduler.TaskState
	// Use is what the task truly uses; it is reported from ReportAt on, in the
	// worker's clock, 0 being never.
	Use      resource.Vector
	ReportAt time.Duration
	// sum is the task's part of the digest.
	sum uint64
}

// Worker is a machine. It isn't safe for concurrent use.
type Worker struct {
	Hooks
	Name     string
	Capacity resource.Vector
	// Boot is the worker's time of its last start.
	Boot time.Duration
	// Tasks holds what runs or has ended here, by attempt, until it is forgotten.
	Tasks map[uint64]*Task
	// FailAfter is how long a task lasts while the worker fails all that it
	// starts; 0 is not at all.
	FailAfter time.Duration
	// Token is the highest that the worker has seen since its start.
	Token int64

	timing ownership.Timing
	// digest sums up the list of tasks.
	digest uint64
}

// New returns a worker that started the given time ago. It lacks the guards
// that the timing is without.
func New(name string, capacity resource.Vector, up time.Duration, timing ownership.Timing, h Hooks) *Worker {
	w := &Worker{Hooks: h, Name: name, Capacity: capacity, timing: timing, Tasks: map[uint64]*Task{}}
	w.Boot = w.Now() - up
	return w
}

func (w *Worker) lacks(g ownership.Guard) bool { return w.timing.Without&g != 0 }

// Restart loses the token and all tasks.
func (w *Worker) Restart() {
	w.Boot = w.Now()
	w.Lose()
}

// Lose ends all that runs here at once.
func (w *Worker) Lose() {
	for _, t := range w.Live() {
		w.End(t, scheduler.Lapsed)
	}
	clear(w.Tasks)
	w.Token, w.digest = 0, 0
}

// Live returns the running tasks by attempt, lapsed ones included that nothing
// has looked at since.
func (w *Worker) Live() []*Task {
	list := make([]*Task, 0, len(w.Tasks))
	for _, t := range w.Tasks {
		if t.State == scheduler.Running {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, byAttempt)
	return list
}

func byAttempt(a, b *Task) int {
	if a.Attempt < b.Attempt {
		return -1
	}
	return 1
}

// Running counts the running tasks.
func (w *Worker) Running() int {
	n := 0
	for _, t := range w.Tasks {
		if t.State == scheduler.Running {
			n++
		}
	}
	return n
}

// Write takes one message of a scheduler and returns the answer. A message
// meant for another start of the worker, or under a lower token than it has
// seen, has no effect.
func (w *Worker) Write(eff scheduler.WriteWorker) scheduler.WriteReplied {
	now := w.Now()
	w.Sweep()
	if eff.Boot != 0 && eff.Boot != w.Boot && !w.lacks(ownership.GuardBoot) {
		return w.reply(now, eff)
	}
	if eff.Token < w.Token && !w.lacks(ownership.GuardToken) {
		return w.reply(now, eff)
	}
	w.Token = eff.Token
	if eff.RenewExpiry > now {
		w.renew(eff.RenewExpiry)
	}
	for _, o := range eff.Orders {
		w.order(now, o)
	}
	for _, s := range eff.Starts {
		w.start(now, s)
	}
	for _, a := range eff.Forget {
		if t := w.Tasks[a]; t != nil && t.State != scheduler.Running {
			delete(w.Tasks, a)
			w.digest ^= t.sum
		}
	}
	return w.reply(now, eff)
}

// Sweep ends what has lapsed or is done by now.
func (w *Worker) Sweep() {
	now := w.Now()
	var over []*Task
	for _, t := range w.Tasks {
		switch {
		case t.State != scheduler.Running:
		case t.Expiry <= now || t.EndsAt > 0 && t.EndsAt <= now:
			over = append(over, t)
		case t.ReportAt > 0 && t.ReportAt <= now:
			t.ReportAt = 0
			w.Report(t, t.Use)
		}
	}
	slices.SortFunc(over, byAttempt)
	for _, t := range over {
		if t.EndsAt > 0 && t.EndsAt <= now && t.EndsAt < t.Expiry {
			w.End(t, t.Ending)
		} else {
			w.End(t, scheduler.Lapsed)
		}
	}
}

// End ends a running task.
func (w *Worker) End(t *Task, state scheduler.TaskState) {
	t.State = state
	w.changed(t)
	if w.Ended != nil {
		w.Ended(t)
	}
}

// Report makes a task's use known.
func (w *Worker) Report(t *Task, use resource.Vector) {
	t.Usage = use
	w.changed(t)
}

func (w *Worker) renew(expiry time.Duration) {
	for _, t := range w.Tasks {
		if t.State == scheduler.Running {
			t.Expiry = max(t.Expiry, expiry)
		}
	}
}

func (w *Worker) order(now time.Duration, o scheduler.Order) {
	t := w.Tasks[o.Attempt]
	if o.ValidUntil <= now || t == nil || t.State != scheduler.Running {
		return
	}
	var point uint64
	if w.Ordered != nil {
		point = w.Ordered(t, o.Kind)
	}
	switch o.Kind {
	case scheduler.Stop:
		w.End(t, scheduler.Stopped)
	case scheduler.Checkpoint:
		t.Checkpoint = point
		w.End(t, scheduler.Checkpointed)
	case scheduler.Throttle, scheduler.Resume:
		w.throttle(t, now, o.Kind == scheduler.Throttle)
	}
}

// throttleFactor is how many times as long throttled work takes.
const throttleFactor = 2

func (w *Worker) throttle(t *Task, now time.Duration, on bool) {
	if t.Throttled == on {
		return
	}
	t.Throttled = on
	w.changed(t)
	left := t.EndsAt - now
	switch {
	case t.EndsAt == 0:
	case on:
		t.EndsAt = now + left*throttleFactor
	default:
		t.EndsAt = now + left/throttleFactor
	}
}

func (w *Worker) start(now time.Duration, s scheduler.Start) {
	if w.Tasks[s.Attempt] != nil {
		return
	}
	expiry := s.Expiry
	if expiry <= now {
		if !w.lacks(ownership.GuardExpiry) {
			return
		}
		expiry = now + w.timing.Start
	}
	t := &Task{ObservedTask: scheduler.ObservedTask{Task: s.Task, Attempt: s.Attempt, Size: s.Size, Expiry: expiry}}
	if s.RunMillis > 0 {
		t.EndsAt, t.Ending = now+time.Duration(s.RunMillis)*time.Millisecond, scheduler.Succeeded
	}
	w.Tasks[s.Attempt] = t
	if w.Began != nil {
		w.Began(t, s)
	}
	if w.FailAfter > 0 {
		t.EndsAt, t.Ending = now+w.FailAfter, scheduler.Failed
	}
	w.changed(t)
}

func (w *Worker) reply(now time.Duration, eff scheduler.WriteWorker) scheduler.WriteReplied {
	ev := scheduler.WriteReplied{Worker: eff.Worker, Reply: ownership.Reply{Write: eff.Write, Now: now, Boot: w.Boot, Token: w.Token}}
	if ev.Digest = w.digest | 1; ev.Digest == eff.Digest {
		ev.Unchanged = true
		return ev
	}
	ev.Capacity = w.Capacity
	for _, a := range slices.Sorted(maps.Keys(w.Tasks)) {
		ev.Tasks = append(ev.Tasks, w.Tasks[a].ObservedTask)
	}
	return ev
}

// changed brings a task's part of the digest up to date.
func (w *Worker) changed(t *Task) {
	if w.Tasks[t.Attempt] != t {
		return
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %v %d %d", t.Attempt, t.State, t.Throttled, t.Checkpoint, t.Usage)
	w.digest ^= t.sum
	t.sum = h.Sum64()
	w.digest ^= t.sum
}
