package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	// inspectEvery is the least time between two inspections.
	inspectEvery = 500 * time.Millisecond
	// maxExplained bounds the jobs that one inspection explains.
	maxExplained = 64
)

// ErrNoInspection tells that the control goroutine has not published in time
// what was asked for.
var ErrNoInspection = errors.New("the node's control state was not shown in time")

// Want is what an operator asks to be shown.
type Want struct {
	// Jobs asks for all jobs, Workers for the dispatcher's books.
	Jobs, Workers bool
	// Job, if not empty, asks for what the dispatcher says of this job.
	Job string
}

// JobState is what a node's view has of one job. It must not be changed.
type JobState struct {
	Job      *workflow.Job
	Offset   int64
	State    workflow.State
	Progress workflow.Progress
}

// Inspection shows a node's state at one moment. It is published by the control
// goroutine and never changes, so any number of readers may use it.
type Inspection struct {
	At time.Time
	// Dispatching tells that this node holds the right and has taken over.
	Dispatching bool
	// Workers are the dispatcher's books, if they were asked for.
	Workers []dispatch.WorkerView
	// Jobs has what the dispatcher says of the jobs that were asked for.
	Jobs map[string]dispatch.JobView

	hasJobs, hasWorkers bool
	table               []JobState
	sort                sync.Once
	// next is closed when another inspection has been published.
	next chan struct{}
}

// Table returns all jobs in order of acceptance, if they were asked for.
func (i *Inspection) Table() []JobState {
	i.sort.Do(func() {
		slices.SortFunc(i.table, func(a, b JobState) int { return cmp.Compare(a.Offset, b.Offset) })
	})
	return i.table
}

// shows reports whether the inspection has what is wanted and is new enough for
// who asked at the given time.
func (i *Inspection) shows(w Want, asked time.Time) bool {
	if i.At.IsZero() || asked.Sub(i.At) > inspectEvery || w.Jobs && !i.hasJobs || w.Workers && !i.hasWorkers {
		return false
	}
	if w.Job == "" {
		return true
	}
	_, ok := i.Jobs[w.Job]
	return ok
}

// inspector publishes inspections. All but latest belongs to the control goroutine.
type inspector struct {
	latest        atomic.Pointer[Inspection]
	asked         bool
	jobs, workers bool
	explain       []string
}

// inspectAsked asks the control goroutine for an inspection.
type inspectAsked struct{ Want }

// Inspect returns a recent inspection that shows what is wanted. It may be
// called concurrently; the control goroutine publishes one in inspectEvery at
// most, and none that nobody has asked for.
func (n *Node) Inspect(ctx context.Context, w Want) (*Inspection, error) {
	asked := time.Now()
	i := n.inspector.latest.Load()
	if i.shows(w, asked) {
		return i, nil
	}
	select {
	case n.events <- inspectAsked{w}:
	case <-ctx.Done():
		return nil, errors.WithStack(ErrNoInspection)
	}
	for {
		select {
		case <-i.next:
		case <-ctx.Done():
			return nil, errors.WithStack(ErrNoInspection)
		}
		if i = n.inspector.latest.Load(); i.shows(w, asked) {
			return i, nil
		}
	}
}

// ask takes note of what is asked for.
func (i *inspector) ask(w Want) {
	i.asked, i.jobs, i.workers = true, i.jobs || w.Jobs, i.workers || w.Workers
	if w.Job != "" && !slices.Contains(i.explain, w.Job) {
		i.explain = append(i.explain, w.Job)
	}
}

// publishInspection publishes what was asked for, when it is time.
func (n *Node) publishInspection() {
	in := &n.inspector
	last := in.latest.Load()
	now := time.Now()
	if !in.asked || !last.At.IsZero() && now.Sub(last.At) < inspectEvery {
		return
	}
	i := &Inspection{At: now, hasJobs: in.jobs, hasWorkers: in.workers, Jobs: map[string]dispatch.JobView{}, next: make(chan struct{})}
	if in.jobs {
		i.table = n.table.states()
	}
	var core *dispatch.Core
	if n.term != nil {
		core = n.term.core
	}
	i.Dispatching = core != nil
	if core != nil && in.workers {
		i.Workers = core.InspectWorkers()
	}
	most := min(len(in.explain), maxExplained)
	for _, id := range in.explain[:most] {
		i.Jobs[id] = dispatch.JobView{}
		if core != nil {
			i.Jobs[id] = core.InspectJob(id)
		}
	}
	in.explain = slices.Clone(in.explain[most:])
	in.asked, in.jobs, in.workers = len(in.explain) > 0, false, false
	in.latest.Store(i)
	close(last.next)
}

// states returns what is known of all jobs, in no order.
func (t *table) states() []JobState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]JobState, 0, len(t.entries))
	for _, e := range t.entries {
		if e.job != nil {
			out = append(out, e.shown())
		}
	}
	return out
}

func (e *entry) shown() JobState {
	return JobState{Job: e.job, Offset: e.offset, State: e.state(), Progress: e.progress}
}

// Job returns what this node's view has of a job.
func (n *Node) Job(id string) (JobState, bool) {
	e, ok := n.table.lookup(id)
	if !ok {
		return JobState{}, false
	}
	return e.shown(), true
}

// Queue returns the queue of a name, for what operators hand in.
func (n *Node) Queue(name string) (*workflow.Queue, intake.Outcome) {
	cat := n.desk.catalog.Load()
	switch {
	case cat == nil:
		return nil, n.desk.outcome(intake.Unavailable, "no-configuration")
	case time.Since(time.Unix(0, n.desk.configured.Load())) > configBound:
		return nil, n.desk.outcome(intake.Unavailable, "configuration-stale")
	}
	q, ok := cat.Queues[name]
	if !ok {
		return nil, n.desk.outcome(intake.QueueNotFound, "no-queue")
	}
	return &q, intake.Outcome{}
}

// Name returns the node's name.
func (n *Node) Name() string { return n.set.Node }
