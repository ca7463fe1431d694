// Package workflow models a caller's job, its recorded progress and the
// configuration that applies to it. A job consists of steps with dependencies;
// each step has a number of tasks. The package reads no clock and does no I/O.
package workflow

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/account"
)

// Size is the amount of a worker's resources that one task requests.
type Size struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"c,omitempty"`
	// MemoryMiB is in mebibytes.
	MemoryMiB int64 `json:"m,omitempty"`
	// Accelerators are whole devices.
	Accelerators int64 `json:"a,omitempty"`
}

// Add returns the sum.
func (s Size) Add(o Size) Size {
	return Size{s.MilliCPU + o.MilliCPU, s.MemoryMiB + o.MemoryMiB, s.Accelerators + o.Accelerators}
}

// Sub returns the difference.
func (s Size) Sub(o Size) Size {
	return Size{s.MilliCPU - o.MilliCPU, s.MemoryMiB - o.MemoryMiB, s.Accelerators - o.Accelerators}
}

// FitsIn reports whether s fits into capacity.
func (s Size) FitsIn(capacity Size) bool {
	return s.MilliCPU <= capacity.MilliCPU && s.MemoryMiB <= capacity.MemoryMiB && s.Accelerators <= capacity.Accelerators
}

// Step is a group of identical tasks that become ready together.
type Step struct {
	Count int  `json:"n"`
	Size  Size `json:"z,omitzero"`
	// EstimateMillis is the caller's rough estimate of a task's run time.
	EstimateMillis int64 `json:"e,omitempty"`
	// DependsOn lists the indexes of earlier steps that must be done before this one.
	DependsOn []int `json:"d,omitempty"`
	// Checkpointing tasks save their progress.
	Checkpointing bool `json:"cp,omitempty"`
	// Gang tasks make progress only while all of them are running.
	Gang bool `json:"g,omitempty"`
	// SameRack tasks run slower when they are spread over several racks.
	SameRack bool `json:"sr,omitempty"`
	// Requires is a label that the worker must have; empty means any.
	Requires string `json:"r,omitempty"`
	// DataRack is the rack that holds the input data; tasks run slower elsewhere.
	DataRack string `json:"k,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on a worker; 0 means no limit.
	MaxPerWorker int `json:"x,omitempty"`
	// Speculative tasks may run in several copies; the first one to end counts.
	Speculative bool `json:"s,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"l,omitempty"`
	// Image names what the tasks run.
	Image string `json:"i,omitempty"`
	// TargetLatencyMillis is the tail latency that a serving task must stay under;
	// 0 means none.
	TargetLatencyMillis int64 `json:"t,omitempty"`
	// Filler tasks use idle CPU capacity; their MilliCPU is not reserved.
	Filler bool `json:"f,omitempty"`
	// DisruptionBudget is the maximum number of tasks that the system's own actions
	// may interrupt at the same time.
	DisruptionBudget int `json:"b,omitempty"`
}

// ReservedSize returns the resources that a task of the step reserves on a worker.
func (s *Step) ReservedSize() Size {
	z := s.Size
	if s.Filler {
		z.MilliCPU = 0
	}
	return z
}

// Job is a job as submitted by a caller. It is immutable.
type Job struct {
	ID    string `json:"-"`
	Queue string `json:"q"`
	Spec  string `json:"p"`
	Steps []Step `json:"s"`
	// ScheduledOccurrences is how many times the steps run on schedule; 0 means
	// once and immediately.
	ScheduledOccurrences int `json:"t,omitempty"`
	// FirstDueMillis is the due time of occurrence 0, in Unix milliseconds.
	FirstDueMillis int64 `json:"f,omitempty"`
	// IntervalMillis is the time between the due times of consecutive occurrences.
	IntervalMillis int64 `json:"v,omitempty"`
	// QueueSnapshot is the queue's configuration when the job was accepted. It
	// applies even after the queue is removed.
	QueueSnapshot *Queue `json:"y,omitempty"`
	// AcceptedMillis is when an entry accepted the job, in Unix milliseconds.
	AcceptedMillis int64 `json:"a,omitempty"`
	// Account is the client account that submitted the job, empty for none.
	Account string `json:"c,omitempty"`
	// MaybeDuplicate is set when the entry had not yet loaded the known jobs, so
	// that this one may already have been accepted before.
	MaybeDuplicate bool `json:"u,omitempty"`
}

// Summary returns the part of a job that is kept after it has ended: its queue,
// and the number and size of the tasks of each step and whether these are copied,
// because some tasks may still be running.
func (j *Job) Summary() *Job {
	s := &Job{ID: j.ID, Queue: j.Queue, Steps: make([]Step, len(j.Steps)), AcceptedMillis: j.AcceptedMillis, Account: j.Account}
	for i := range j.Steps {
		d := &j.Steps[i]
		s.Steps[i] = Step{Count: d.Count, Size: d.Size, Gang: d.Gang, Filler: d.Filler, Speculative: d.Speculative}
	}
	return s
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.ScheduledOccurrences) }

// DueMillis returns when occurrence k is due, in Unix milliseconds; 0 means immediately.
func (j *Job) DueMillis(k int) int64 {
	if j.ScheduledOccurrences == 0 {
		return 0
	}
	return j.FirstDueMillis + int64(k)*j.IntervalMillis
}

// LongRunning reports whether the job runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Limits of a job.
const (
	// MaxSpecBytes bounds the length of Job.Spec.
	MaxSpecBytes = 4000
	// MaxTasks bounds the number of tasks of one occurrence.
	MaxTasks = 20000
	// MaxSteps bounds the number of steps of a job.
	MaxSteps = 1000
	// MaxGangTasks bounds the tasks of a gang, which start at the same time.
	MaxGangTasks = 500
	// MaxOccurrences bounds the number of scheduled occurrences.
	MaxOccurrences = 100000
)

// InvalidError reports why a job can't be accepted.
type InvalidError struct{ Field, Reason string }

func (e *InvalidError) Error() string { return "job: " + e.Field + ": " + e.Reason }

// Validate returns an *InvalidError if the job can't be executed as specified.
func (j *Job) Validate() error {
	invalid := func(field, format string, args ...any) error {
		return errors.WithStack(&InvalidError{field, fmt.Sprintf(format, args...)})
	}
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return invalid("spec", "%d bytes, at most %d are allowed", len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return invalid("steps", "%d steps, 1 to %d are allowed", len(j.Steps), MaxSteps)
	case j.ScheduledOccurrences < 0 || j.ScheduledOccurrences > MaxOccurrences || j.IntervalMillis < 0:
		return invalid("schedule", "%d occurrences every %d ms", j.ScheduledOccurrences, j.IntervalMillis)
	}
	total := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		z := s.Size
		switch {
		case s.Count <= 0 || s.Count > MaxTasks:
			return invalid("steps", "step %d has %d tasks", i, s.Count)
		case z.MilliCPU < 0 || z.MemoryMiB < 0 || z.Accelerators < 0:
			return invalid("steps", "step %d has a size below zero", i)
		case s.MaxPerWorker < 0 || s.TargetLatencyMillis < 0 || s.DisruptionBudget < 0 || s.EstimateMillis < 0:
			return invalid("steps", "step %d has a bound below zero", i)
		}
		for _, d := range s.DependsOn {
			if d < 0 || d >= i {
				return invalid("steps", "step %d depends on step %d, which is not an earlier one", i, d)
			}
		}
		total += s.Count
	}
	if total > MaxTasks {
		return invalid("steps", "%d tasks, at most %d are allowed", total, MaxTasks)
	}
	return nil
}

// ValidateGangs returns an *InvalidError if a gang is too large to be started at the same time.
// Jobs that earlier versions have accepted are not held to it.
func (j *Job) ValidateGangs() error {
	for i := range j.Steps {
		if s := &j.Steps[i]; s.Gang && s.Count > MaxGangTasks {
			return errors.WithStack(&InvalidError{"steps", fmt.Sprintf("step %d is a gang of %d tasks, at most %d are allowed", i, s.Count, MaxGangTasks)})
		}
	}
	return nil
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job              string
	Occurrence, Step int
}

// String returns the ID in the format JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return s.Job + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskID identifies a task.
type TaskID struct {
	StepID
	Index int
}

// String returns the ID in the format JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// ParseTaskID parses the format that TaskID.String returns.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, errors.Errorf("task %q does not have four parts", s)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, errors.Errorf("task %q: part %d is not a number", s, i+1)
		}
		n[i] = v
	}
	return TaskID{StepID{parts[0], n[0], n[1]}, n[2]}, nil
}

// PolicySettings describes the policy service of a queue.
type PolicySettings struct {
	// Decision is the duration of a call; PerWorker is added for each worker in it.
	Decision, PerWorker time.Duration
	// Validity is how long a ticket is valid.
	Validity time.Duration
}

// Queue accepts jobs from callers and holds the policy for them.
type Queue struct {
	Name string
	// Host and Prefix are how callers address the queue. Among the queues of the
	// host, the one with the longest matching path prefix is chosen.
	Host, Prefix string
	// Pool names the workers that run the queue's tasks.
	Pool string
	// Priority 0 is the highest; it may preempt others.
	Priority int
	// Attempts is the number of runs of a task that may fail.
	Attempts int
	// Stretch is the ratio of a job's completion time to its own run time that its
	// objective allows.
	Stretch float64
	// Target is a constant that is added to the objective.
	Target time.Duration
	// Advice is nil where no policy service restricts the queue.
	Advice *PolicySettings
	// Timeout bounds a call of a caller; 0 means no timeout.
	Timeout time.Duration
	// Public queues serve callers without a key.
	Public bool
}

// Account is a client account, which shares the workers with others.
type Account struct {
	Name string
	// Weight is the number of jobs per second that the account may send, and its
	// proportion of the room when there is not enough for all. 0 means that neither is
	// set.
	Weight float64
	// Maximum bounds what the account's tasks have on all workers together; an amount of
	// 0 means no limit.
	Maximum Size
}

// Pool is a named group of workers.
type Pool struct {
	Name string
	// Guarded workers refuse tasks that exceed their free capacity.
	Guarded bool
	// Standby marks a pool whose machines are powered off until they are moved to
	// another pool.
	Standby bool
}

// Catalog is the configuration in force.
type Catalog struct {
	Version int64
	// Queues and Pools are keyed by name.
	Queues map[string]Queue
	Pools  map[string]Pool
	// MaxBodyBytes bounds the body of a caller's request; 0 means the default.
	MaxBodyBytes int64
	// Accounts are the client accounts, keyed by name, and Keys their keys.
	Accounts    map[string]Account
	Keys        account.KeySet `json:"-"`
	Connections ConnectionLimits
}

// ConnectionLimits bound a caller's connection. Fields of 0 mean the default.
type ConnectionLimits struct {
	// MaxHeadBytes bounds the head of a request, HeadTimeout the time to receive it.
	MaxHeadBytes int64
	HeadTimeout  time.Duration
	// IdleTimeout bounds the time between two requests.
	IdleTimeout time.Duration
}

// Match returns the queue that a caller addresses and the remainder of the path
// after the queue's prefix.
func (c *Catalog) Match(host, path string) (*Queue, string, bool) {
	var longest *Queue
	for name := range c.Queues {
		q := c.Queues[name]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if longest == nil || len(q.Prefix) > len(longest.Prefix) {
			longest = &q
		}
	}
	if longest == nil {
		return nil, "", false
	}
	return longest, path[len(longest.Prefix):], true
}
