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
	// inspectionInterval is the minimum time between two inspections.
	inspectionInterval = 500 * time.Millisecond
	// maxExplainedJobs limits the jobs that one inspection explains.
	maxExplainedJobs = 64
)

// ErrInspectionTimeout means that the control goroutine did not publish the
// requested inspection in time.
var ErrInspectionTimeout = errors.New("the node's control state was not shown in time")

// InspectRequest says which parts of the node's state an operator wants to see.
type InspectRequest struct {
	// Jobs requests all jobs, Workers the dispatcher's state of the workers.
	Jobs, Workers bool
	// Job, if not empty, requests the dispatcher's state of this job.
	Job string
}

// JobState is a job in the node's view. It must not be modified.
type JobState struct {
	Job      *workflow.Job
	Offset   int64
	State    workflow.State
	Progress workflow.Progress
}

// Inspection is a snapshot of a node's state. The control goroutine publishes it
// and never changes it, so it may be read concurrently.
type Inspection struct {
	At time.Time
	// Dispatching is set if this node is the leader and has taken over.
	Dispatching bool
	// Workers is the dispatcher's state of the workers, if requested.
	Workers []dispatch.WorkerView
	// JobDetails is the dispatcher's state of the jobs that were requested by ID.
	JobDetails map[string]dispatch.JobView

	hasJobs, hasWorkers bool
	allJobs             []JobState
	sortOnce            sync.Once
	// superseded is closed when a newer inspection has been published.
	superseded chan struct{}
}

// AllJobs returns all jobs in order of acceptance, if requested.
func (i *Inspection) AllJobs() []JobState {
	i.sortOnce.Do(func() {
		slices.SortFunc(i.allJobs, func(a, b JobState) int { return cmp.Compare(a.Offset, b.Offset) })
	})
	return i.allJobs
}

// satisfies reports whether the inspection contains what w requests and is recent
// enough for a request made at the given time.
func (i *Inspection) satisfies(w InspectRequest, asked time.Time) bool {
	if i.At.IsZero() || asked.Sub(i.At) > inspectionInterval || w.Jobs && !i.hasJobs || w.Workers && !i.hasWorkers {
		return false
	}
	if w.Job == "" {
		return true
	}
	_, ok := i.JobDetails[w.Job]
	return ok
}

// inspector publishes inspections. All fields but latest belong to the control
// goroutine.
type inspector struct {
	latest        atomic.Pointer[Inspection]
	requested     bool
	jobs, workers bool
	explainJobs   []string
}

// inspectRequested asks the control goroutine for an inspection.
type inspectRequested struct{ InspectRequest }

// Inspect returns a recent inspection that satisfies the request. It may be called
// concurrently. The control goroutine publishes at most one inspection per
// inspectionInterval, and only if one was requested.
func (n *Node) Inspect(ctx context.Context, w InspectRequest) (*Inspection, error) {
	asked := time.Now()
	i := n.inspector.latest.Load()
	if i.satisfies(w, asked) {
		return i, nil
	}
	select {
	case n.events <- inspectRequested{w}:
	case <-ctx.Done():
		return nil, errors.WithStack(ErrInspectionTimeout)
	}
	for {
		select {
		case <-i.superseded:
		case <-ctx.Done():
			return nil, errors.WithStack(ErrInspectionTimeout)
		}
		if i = n.inspector.latest.Load(); i.satisfies(w, asked) {
			return i, nil
		}
	}
}

// add records a request.
func (i *inspector) add(w InspectRequest) {
	i.requested, i.jobs, i.workers = true, i.jobs || w.Jobs, i.workers || w.Workers
	if w.Job != "" && !slices.Contains(i.explainJobs, w.Job) {
		i.explainJobs = append(i.explainJobs, w.Job)
	}
}

// publishInspection publishes the requested inspection when it is due.
func (n *Node) publishInspection() {
	in := &n.inspector
	last := in.latest.Load()
	now := time.Now()
	if !in.requested || !last.At.IsZero() && now.Sub(last.At) < inspectionInterval {
		return
	}
	i := &Inspection{At: now, hasJobs: in.jobs, hasWorkers: in.workers, JobDetails: map[string]dispatch.JobView{}, superseded: make(chan struct{})}
	if in.jobs {
		i.allJobs = n.table.jobStates()
	}
	var core *dispatch.Core
	if n.term != nil {
		core = n.term.dispatcher
	}
	i.Dispatching = core != nil
	if core != nil && in.workers {
		i.Workers = core.InspectWorkers()
	}
	explained := min(len(in.explainJobs), maxExplainedJobs)
	for _, id := range in.explainJobs[:explained] {
		i.JobDetails[id] = dispatch.JobView{}
		if core != nil {
			i.JobDetails[id] = core.InspectJob(id)
		}
	}
	in.explainJobs = slices.Clone(in.explainJobs[explained:])
	in.requested, in.jobs, in.workers = len(in.explainJobs) > 0, false, false
	in.latest.Store(i)
	close(last.superseded)
}

// jobStates returns all known jobs in no particular order.
func (t *jobTable) jobStates() []JobState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]JobState, 0, len(t.entries))
	for _, e := range t.entries {
		if e.job != nil {
			out = append(out, e.jobState())
		}
	}
	return out
}

func (e *jobEntry) jobState() JobState {
	return JobState{Job: e.job, Offset: e.offset, State: e.state(), Progress: e.progress}
}

// Job returns a job as this node's view has it.
func (n *Node) Job(id string) (JobState, bool) {
	e, ok := n.table.lookup(id)
	if !ok {
		return JobState{}, false
	}
	return e.jobState(), true
}

// Queue returns the named queue for jobs that operators submit.
func (n *Node) Queue(name string) (*workflow.Queue, intake.Outcome) {
	cat := n.desk.catalog.Load()
	switch {
	case cat == nil:
		return nil, n.desk.outcome(intake.Unavailable, "no-configuration")
	case time.Since(time.Unix(0, n.desk.configReadAt.Load())) > maxConfigAge:
		return nil, n.desk.outcome(intake.Unavailable, "configuration-stale")
	}
	q, ok := cat.Queues[name]
	if !ok {
		return nil, n.desk.outcome(intake.QueueNotFound, "no-queue")
	}
	return &q, intake.Outcome{}
}

// Name returns the node's name.
func (n *Node) Name() string { return n.settings.Node }
