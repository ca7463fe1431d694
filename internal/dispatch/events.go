package dispatch

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Event is an input to the core.
type Event interface{ event() }

// Tick advances the time.
type Tick struct{}

// CatalogChanged supplies the catalog in force.
type CatalogChanged struct{ Catalog *workflow.Catalog }

// WorkersListed supplies the complete list of workers.
type WorkersListed struct{ Workers []worker.Info }

// JobAccepted supplies a job from the log.
type JobAccepted struct {
	Job      *workflow.Job
	Offset   int64
	Progress workflow.Progress
}

// JobCancelled supplies a cancellation from the log. The job may be unknown: its record may
// come later or never.
type JobCancelled struct {
	ID string
	// WrittenMillis is when the cancellation was written, in Unix milliseconds, 0 if that
	// is unknown.
	WrittenMillis int64
}

// Registration is the log record of a worker incarnation on which a leader may
// have started tasks.
type Registration struct {
	Worker  string `json:"-"`
	Address string `json:"a"`
	Pool    string `json:"p"`
	Machine string `json:"m,omitempty"`
	Born    int64  `json:"b,omitempty"`
	// LastEnd is the number of the last task end there whose effect is recorded.
	LastEnd int64 `json:"s,omitempty"`
	// Unreachable is set if the leader had lost contact and, since then, had sent
	// nothing but what Runs lists: the tasks that may still run there.
	Unreachable bool     `json:"x,omitempty"`
	Runs        []string `json:"r,omitempty"`
	// Leader is the token of the leader that made the record, 0 if its version recorded
	// no voters.
	Leader int64 `json:"t,omitempty"`
	// NonVoter is set if the worker doesn't count in the majority of workers that
	// confirms a leader.
	NonVoter bool `json:"n,omitempty"`
}

// Succession is the log record of what a leader knows of its predecessors.
type Succession struct {
	// Token is the leader's token.
	Token int64 `json:"t"`
	// LegacyToken is that of its Settings.
	LegacyToken int64 `json:"l,omitempty"`
	// Ends are the ends of previous leaders that may still matter.
	Ends []LeaderEnd `json:"e,omitempty"`
	// Unreached holds the workers to which this leader has given no orders, and gives none
	// while it is recorded, with the token of the last leader that may have. If it is
	// empty, the leader may have given orders to all.
	Unreached map[string]int64 `json:"u,omitempty"`
}

// LeaderEnd states that no leader with a token below Before has been confirmed for
// AgeMillis, at least, when the record was made. A negative age is the time until then,
// at most.
type LeaderEnd struct {
	Before    int64 `json:"b"`
	AgeMillis int64 `json:"a"`
}

// LeadersEnded states that no leader with a token below Before is confirmed after the
// local time Since, as a previous leader has recorded.
type LeadersEnded struct {
	Before int64
	Since  time.Duration
}

// WorkerRegistered supplies a registration recorded by a previous leader.
type WorkerRegistered struct {
	Registration Registration
	// LastLeader is the token of the last leader that may have given the worker orders.
	LastLeader int64
}

// LeadershipConfirmed states until when leases may be extended.
type LeadershipConfirmed struct{ Until time.Duration }

// HeartbeatAnswered is the result of a SendHeartbeat.
type HeartbeatAnswered struct {
	Worker      string
	Incarnation int64
	Code        worker.Code
	SentAt      time.Duration
	Lists       worker.HeartbeatResponse
}

// StartAnswered is the result of a StartTask.
type StartAnswered struct {
	Worker      string
	Incarnation int64
	Task        workflow.TaskID
	Run         int64
	Code        worker.Code
	ClockMillis int64
}

// StopAnswered is the result of a StopTask.
type StopAnswered struct {
	Worker      string
	Incarnation int64
	Task        workflow.TaskID
	Run         int64
	Code        worker.Code
}

// PaceAnswered is the result of a PaceTask.
type PaceAnswered struct {
	Worker      string
	Incarnation int64
	Task        workflow.TaskID
	Run         int64
	Percent     int
	Code        worker.Code
}

// AdviceAnswered is the result of a RequestAdvice.
type AdviceAnswered struct {
	Step      workflow.StepID
	Asked     []string
	Approvals worker.Approvals
	Failed    bool
}

// Committed reports that a commit is in the log or, if Failed is set, that it
// never will be.
type Committed struct {
	Number int64
	Failed bool
	// RejectedJobs and RejectedWorkers are the jobs and workers whose records are not in the
	// log, and never will be as they are.
	RejectedJobs, RejectedWorkers []string
}

// RunTimesRecorded supplies the run times that a previous leader has learned. It comes before
// the jobs.
type RunTimesRecorded struct{ Snapshot []byte }

func (Tick) event()                {}
func (CatalogChanged) event()      {}
func (WorkersListed) event()       {}
func (JobAccepted) event()         {}
func (JobCancelled) event()        {}
func (WorkerRegistered) event()    {}
func (LeadersEnded) event()        {}
func (LeadershipConfirmed) event() {}
func (HeartbeatAnswered) event()   {}
func (StartAnswered) event()       {}
func (StopAnswered) event()        {}
func (PaceAnswered) event()        {}
func (AdviceAnswered) event()      {}
func (Committed) event()           {}
func (RunTimesRecorded) event()    {}

// Effect is an action that the core requests.
type Effect interface{ effect() }

// SendHeartbeat sends a heartbeat to a worker. Its result is HeartbeatAnswered.
type SendHeartbeat struct {
	Incarnation int64
	Heartbeat   worker.Heartbeat
	// Timeout bounds the wait for the answer. It includes the Wait of the heartbeat.
	Timeout time.Duration
}

// StartTask sends a start order. Its result is StartAnswered.
type StartTask struct {
	Incarnation int64
	Start       worker.Start
	// Timeout bounds the wait for the answer.
	Timeout time.Duration
}

// StopTask sends a stop order. Its result is StopAnswered.
type StopTask struct {
	Incarnation int64
	Stop        worker.Stop
	// Timeout bounds the wait for the answer.
	Timeout time.Duration
}

// PaceTask sets the pace of a run. Its result is PaceAnswered.
type PaceTask struct {
	Incarnation int64
	Pace        worker.Throttle
}

// RequestAdvice asks the policy service. Its result is AdviceAnswered.
type RequestAdvice struct {
	Step    workflow.StepID
	Workers []string
	// Cost is how long the request is expected to occupy the service.
	Cost time.Duration
	// Urgent requests are sent at once. Others may be refused while the service is
	// busy.
	Urgent bool
	// Overdue requests are for steps that have waited for long. They may be sent by
	// nodes that are kept free for urgent ones.
	Overdue bool
}

// Commit writes its records to the log, all or none. Its result is Committed.
type Commit struct {
	Number int64
	// Succession, if not nil, is to be written before all other records.
	Succession *Succession
	// Progress holds the newest progress of jobs, by ID.
	Progress []JobProgress
	// Registered and Released are the worker incarnations on which tasks may run
	// from now on, and those on which they may run no longer.
	Registered []Registration
	Released   []string
	// Purged holds the IDs of jobs whose state is no longer kept.
	Purged []string
	// RunTimes is a snapshot of the learned run times, nil if none is to be written.
	RunTimes []byte
}

// JobProgress is the progress of one job.
type JobProgress struct {
	ID       string
	Progress workflow.Progress
	// Summary replaces a job that has ended. It is nil for other jobs.
	Summary *workflow.Job
}

// StepDown reports that a worker has seen a higher token.
type StepDown struct{}

func (SendHeartbeat) effect() {}
func (StartTask) effect()     {}
func (StopTask) effect()      {}
func (PaceTask) effect()      {}
func (RequestAdvice) effect() {}
func (Commit) effect()        {}
func (StepDown) effect()      {}
