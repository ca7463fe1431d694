package emulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// The bounds of a worker's lists.
const (
	// MaxHoldWait is the longest wait of a hold.
	MaxHoldWait = 2 * time.Second
	// MaxListedEnds bounds the ends of one answer.
	MaxListedEnds = 500
	// SlowClockRate is the rate of a slow steady clock.
	SlowClockRate = 0.98
)

// WorkerConfig describes a worker.
type WorkerConfig struct {
	ID, Pool string
	// Address defaults to the ID with port 1.
	Address         string
	Domain, Machine string
	// Labels are the kind and the rack.
	Labels   []string
	Capacity workflow.Size
	// Guarded workers refuse what doesn't fit.
	Guarded bool
	// SlowClock makes the steady clock 2% slow.
	SlowClock bool
}

type runKey struct {
	task   workflow.TaskID
	number int64
}

// life is one incarnation of a worker. The fleet's lock guards it.
type life struct {
	fleet *Fleet
	cfg   WorkerConfig
	link  *link
	born  time.Time
	alive bool
	// crashed is set when it went without notice. Its address then refuses connections.
	crashed bool
	// left is set when the worker went in an orderly way.
	left  bool
	fence int64
	// deadline is the lease's end on the worker's clock; lapsed is set once it is over.
	deadline int64
	lapsed   bool
	lease    *time.Timer
	runs     map[runKey]*run
	// barred has the highest run of a task that was stopped or ended here.
	barred map[workflow.TaskID]int64
	// ends are those after the last seen one; pending are the judge's, of the same.
	ends          []worker.EndedRun
	pending       []*endRecord
	lastEnd       int64
	ended         chan struct{}
	failing, hung bool
	// largest is the capacity before it shrank at shrunk.
	largest        workflow.Size
	shrunk         time.Time
	slow           float64
	drains, leaves time.Time
}

func newLife(f *Fleet, cfg WorkerConfig, l *link) *life {
	return &life{
		fleet: f, cfg: cfg, link: l, born: time.Now(), alive: true, slow: 1, lapsed: true,
		runs:   map[runKey]*run{},
		barred: map[workflow.TaskID]int64{},
		ended:  make(chan struct{}),
	}
}

func (w *life) clockRate() float64 {
	if w.cfg.SlowClock {
		return SlowClockRate
	}
	return 1
}

// clock returns the worker's steady clock in milliseconds; it starts at 1.
func (w *life) clock() int64 {
	return 1 + int64(float64(time.Since(w.born))*w.clockRate()/float64(time.Millisecond))
}

func (w *life) info() worker.Info {
	i := worker.Info{
		ID: w.cfg.ID, Address: w.cfg.Address, Pool: w.cfg.Pool, Domain: w.cfg.Domain, Machine: w.cfg.Machine,
		Capacity: w.cfg.Capacity, Labels: slices.Clone(w.cfg.Labels),
		Born: w.born.UnixMilli(), ClockMillis: w.clock(),
	}
	if i.Draining = !w.drains.IsZero(); i.Draining {
		i.Remaining, i.RemainingKnown = max(0, time.Until(w.leaves)), true
	}
	return i
}

func (w *life) rack() string {
	i := worker.Info{Labels: w.cfg.Labels}
	return i.Rack()
}

// used returns the size of all runs, of those that are being stopped too.
func (w *life) used() workflow.Size {
	var sum workflow.Size
	for _, r := range w.runs {
		sum = sum.Add(r.size())
	}
	return sum
}

// admit checks and raises the fence.
func (w *life) admit(token int64) bool {
	if token < w.fence {
		return false
	}
	w.fence = token
	return true
}

// extend lengthens the lease; it never shortens.
func (w *life) extend(deadline int64) {
	now := w.clock()
	deadline = min(deadline, now+w.fleet.cfg.Limits.MaxLease.Milliseconds())
	if deadline <= now || deadline <= w.deadline {
		return
	}
	w.deadline, w.lapsed = deadline, false
	w.arm()
}

// arm sets the timer of the lease's end.
func (w *life) arm() {
	elapsed := time.Duration(float64(time.Duration(w.deadline-1)*time.Millisecond) / w.clockRate())
	due := time.Until(w.born.Add(elapsed)) + time.Microsecond
	if w.lease == nil {
		w.lease = time.AfterFunc(due, w.lapse)
		return
	}
	w.lease.Reset(due)
}

// lapse kills everything when the lease is over.
func (w *life) lapse() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	switch {
	case !w.alive || w.lapsed:
	case w.clock() < w.deadline:
		w.arm()
	default:
		w.lapsed = true
		for _, e := range w.pending {
			e.void = true
		}
		w.endAll(worker.LeaseExpired)
	}
}

// endAll ends all runs, each gang at once.
func (w *life) endAll(how worker.ExitStatus) {
	byCrew := map[*crew][]*run{}
	for _, r := range w.sorted() {
		byCrew[r.crew] = append(byCrew[r.crew], r)
	}
	for _, r := range w.sorted() {
		if members := byCrew[r.crew]; members != nil {
			delete(byCrew, r.crew)
			r.crew.finish(how, members...)
		}
	}
}

func (w *life) sorted() []*run {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *run) int {
		x, y := a.task, b.task
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Occurrence, y.Occurrence), cmp.Compare(x.Step, y.Step),
			cmp.Compare(x.Index, y.Index), cmp.Compare(a.number, b.number))
	})
}

// start carries out an order to run a task.
func (w *life) start(s worker.Start, late bool) worker.Code {
	code := w.judgeStart(s)
	switch code {
	case worker.OK, worker.StaleRun, worker.InsufficientCapacity:
		w.extend(s.DeadlineMillis)
	default:
		return code
	}
	if code == worker.OK && w.runs[runKey{s.Task, s.Run}] == nil {
		w.begin(s, late)
	}
	return code
}

func (w *life) judgeStart(s worker.Start) worker.Code {
	switch {
	case s.Run < 1 || s.Task.Job == "":
		return worker.Invalid
	case !w.admit(s.Token):
		return worker.Fenced
	case s.DeadlineMillis <= w.clock():
		return worker.DeadlineExceeded
	case w.runs[runKey{s.Task, s.Run}] != nil:
		return worker.OK
	case s.Run <= w.barred[s.Task]:
		return worker.StaleRun
	case w.cfg.Guarded && !w.used().Add(countedSize(w.fleet.stepOf(s.Task))).FitsIn(w.cfg.Capacity):
		return worker.InsufficientCapacity
	case !w.fleet.ticketHolds(w, s):
		return worker.InvalidTicket
	}
	return worker.OK
}

func (w *life) begin(s worker.Start, late bool) {
	r := &run{
		life: w, task: s.Task, number: s.Run, spec: s.Spec, checkpoint: s.Checkpoint, saved: s.Checkpoint,
		step: w.fleet.stepOf(s.Task), pace: 100, began: time.Now(), late: late,
	}
	w.fleet.judge.started(r)
	w.runs[runKey{r.task, r.number}] = r
	w.fleet.live[r.task] = append(w.fleet.live[r.task], r)
	if w.failing {
		r.failAt = r.began.Add(failDelay)
	}
	w.fleet.enlist(r)
	if after := w.fleet.cfg.Work(r.task).CrashAfter; after > 0 {
		time.AfterFunc(after, func() { w.crashUnder(r) })
	}
}

// stop carries out an order to end a run, or bars it from beginning.
func (w *life) stop(s worker.Stop) worker.Code {
	if s.Run < 1 || s.Task.Job == "" {
		return worker.Invalid
	}
	if !w.admit(s.Token) {
		return worker.Fenced
	}
	w.barred[s.Task] = max(w.barred[s.Task], s.Run)
	if r := w.runs[runKey{s.Task, s.Run}]; r != nil && r.stopAt.IsZero() {
		f := w.fleet
		f.judge.disrupts(r)
		least := f.cfg.Limits.StopTimeout / 10
		takes := least + time.Duration(f.random.Int64N(int64(f.cfg.Limits.StopTimeout-least)+1))
		r.crew.change(func() { r.stopAt = time.Now().Add(takes) })
	}
	return worker.OK
}

// pace carries out an order to work at a share of the speed.
func (w *life) pace(p worker.Throttle) worker.Code {
	if p.Percent < 0 || p.Percent > 100 {
		return worker.Invalid
	}
	if !w.admit(p.Token) {
		return worker.Fenced
	}
	r := w.runs[runKey{p.Task, p.Run}]
	if r == nil {
		return worker.OK
	}
	time.AfterFunc(w.fleet.cfg.Limits.PaceDelay, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if !r.crew.over {
			r.crew.change(func() { r.pace = p.Percent })
		}
	})
	return worker.OK
}

// note forgets the ends up to the last seen one.
func (w *life) note(lastSeen int64) {
	n, _ := slices.BinarySearchFunc(w.ends, lastSeen+1, func(e worker.EndedRun, number int64) int { return cmp.Compare(e.Number, number) })
	noted := w.pending[:n]
	w.ends, w.pending = w.ends[n:], w.pending[n:]
	for _, e := range noted {
		w.fleet.judge.noted(e)
	}
}

// list adds an end.
func (w *life) list(r *run, how worker.ExitStatus) {
	w.lastEnd++
	w.ends = append(w.ends, worker.EndedRun{Number: w.lastEnd, Task: r.task, Run: r.number, How: how, Checkpoint: r.saved})
	w.pending = append(w.pending, w.fleet.judge.ended(r, how))
	w.barred[r.task] = max(w.barred[r.task], r.number)
	w.wake()
}

func (w *life) wake() {
	close(w.ended)
	w.ended = make(chan struct{})
}

// lists returns what runs and the ends that aren't seen yet.
func (w *life) lists() worker.HeartbeatResponse {
	l := worker.HeartbeatResponse{ClockMillis: w.clock(), Born: w.born.UnixMilli()}
	for _, r := range w.sorted() {
		r.crew.advance(time.Now())
		l.Running = append(l.Running, r.listed())
	}
	l.Ended = slices.Clone(w.ends[:min(len(w.ends), MaxListedEnds)])
	return l
}

// perish ends the life; what ran is gone without an end.
func (w *life) perish() {
	if !w.alive {
		return
	}
	w.alive = false
	if w.lease != nil {
		w.lease.Stop()
	}
	w.endAll(vanished)
	w.ends, w.pending = nil, nil
	w.wake()
}
