package dispatch

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Event is something that happened outside the core.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// Configured brings the catalog in force.
type Configured struct{ Catalog *workflow.Catalog }

// WorkersListed brings the whole list of workers.
type WorkersListed struct{ Workers []worker.Info }

// JobAccepted brings a job from the log.
type JobAccepted struct {
	Job      *workflow.Job
	Offset   int64
	Progress workflow.Progress
}

// JobCancelled brings a cancellation from the log.
type JobCancelled struct{ ID string }

// Engagement names a worker life on which tasks may run by order of a holder.
type Engagement struct {
	Worker  string `json:"-"`
	Address string `json:"a"`
	Pool    string `json:"p"`
	Born    int64  `json:"b,omitempty"`
	// Seen is the number of the last end there whose effect is recorded.
	Seen int64 `json:"s,omitempty"`
	// Silent tells that the holder had lost contact, and had sent nothing since
	// but what Runs lists: the tasks that may still run there.
	Silent bool     `json:"x,omitempty"`
	Runs   []string `json:"r,omitempty"`
}

// WorkerEngaged brings an engagement that a former holder has recorded.
type WorkerEngaged struct{ Engagement Engagement }

// RightConfirmed tells until when leases may be extended.
type RightConfirmed struct{ Until time.Duration }

// Held brings the answer to a Hold.
type Held struct {
	Worker string
	Life   int64
	Code   worker.Code
	Sent   time.Duration
	Lists  worker.Lists
}

// Started brings the answer to a Start.
type Started struct {
	Worker      string
	Life        int64
	Task        workflow.TaskID
	Run         int64
	Code        worker.Code
	ClockMillis int64
}

// StopAnswered brings the answer to a Stop.
type StopAnswered struct {
	Worker string
	Life   int64
	Task   workflow.TaskID
	Run    int64
	Code   worker.Code
}

// PaceAnswered brings the answer to a Pace.
type PaceAnswered struct {
	Worker  string
	Life    int64
	Task    workflow.TaskID
	Run     int64
	Percent int
	Code    worker.Code
}

// Advised brings an answer of the policy service.
type Advised struct {
	Step      workflow.StepID
	Asked     []string
	Approvals worker.Approvals
	Failed    bool
}

// Committed tells that a commit is in the log, or that it surely never will be.
type Committed struct {
	Number int64
	Failed bool
}

func (Tick) event()           {}
func (Configured) event()     {}
func (WorkersListed) event()  {}
func (JobAccepted) event()    {}
func (JobCancelled) event()   {}
func (WorkerEngaged) event()  {}
func (RightConfirmed) event() {}
func (Held) event()           {}
func (Started) event()        {}
func (StopAnswered) event()   {}
func (PaceAnswered) event()   {}
func (Advised) event()        {}
func (Committed) event()      {}

// Effect is something that the core wants done outside.
type Effect interface{ effect() }

// HoldWorker sends a hold; its end comes back as Held.
type HoldWorker struct {
	Life int64
	Hold worker.Hold
	// Patience is how long the answer is waited for, Hold.Wait included.
	Patience time.Duration
}

// StartTask sends a start; its end comes back as Started.
type StartTask struct {
	Life  int64
	Start worker.Start
	// Patience is how long the answer is waited for.
	Patience time.Duration
}

// StopTask sends a stop; its end comes back as StopAnswered.
type StopTask struct {
	Life int64
	Stop worker.Stop
	// Patience is how long the answer is waited for.
	Patience time.Duration
}

// PaceTask sends a pace; its end comes back as PaceAnswered.
type PaceTask struct {
	Life int64
	Pace worker.Pace
}

// Advise asks the policy service; its end comes back as Advised.
type Advise struct {
	Step    workflow.StepID
	Workers []string
	// Cost is how long the call is expected to occupy the service.
	Cost time.Duration
	// Urgent calls are sent at once; others may be refused while the service is busy.
	Urgent bool
	// Overdue calls are of steps that have waited for long: they may go to nodes
	// that are kept free for urgent ones.
	Overdue bool
}

// Commit writes to the log, all or none; its end comes back as Committed.
type Commit struct {
	Number int64
	// Progress holds jobs' newest progress, by ID.
	Progress []JobProgress
	// Engaged and Released are workers' lives that tasks may run on from now
	// on, and no more.
	Engaged  []Engagement
	Released []string
	// Forgotten are jobs whose state is no longer kept.
	Forgotten []string
}

// JobProgress is one job's progress.
type JobProgress struct {
	ID       string
	Progress workflow.Progress
	// Summary takes the place of a job that has ended, nil for others.
	Summary *workflow.Job
}

// StepDown tells that a worker has seen a higher token.
type StepDown struct{}

func (HoldWorker) effect() {}
func (StartTask) effect()  {}
func (StopTask) effect()   {}
func (PaceTask) effect()   {}
func (Advise) effect()     {}
func (Commit) effect()     {}
func (StepDown) effect()   {}
