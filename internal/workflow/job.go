// Package workflow is the model of a caller's job: steps with dependencies,
// each of a number of tasks, and what has been recorded of their progress. It
// is pure: no clock, no I/O.
package workflow

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Size is what one task takes of a worker.
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

// Within reports whether s fits into room.
func (s Size) Within(room Size) bool {
	return s.MilliCPU <= room.MilliCPU && s.MemoryMiB <= room.MemoryMiB && s.Accelerators <= room.Accelerators
}

// Step is a number of like tasks that become ready together.
type Step struct {
	Count int  `json:"n"`
	Size  Size `json:"z,omitzero"`
	// EstimateMillis is the caller's rough estimate of a task's run time.
	EstimateMillis int64 `json:"e,omitempty"`
	// DependsOn lists earlier steps whose tasks must all be done first.
	DependsOn []int `json:"d,omitempty"`
	// Checkpointing tasks save their progress.
	Checkpointing bool `json:"cp,omitempty"`
	// Gang tasks work only while all of them are present.
	Gang bool `json:"g,omitempty"`
	// SameRack tasks run slower when spread over racks.
	SameRack bool `json:"sr,omitempty"`
	// Requires is a label that the worker must have; empty means any.
	Requires string `json:"r,omitempty"`
	// Rack is where the data is; elsewhere the tasks run slower.
	Rack string `json:"k,omitempty"`
	// MostPerWorker bounds the tasks of one occurrence on a worker; 0 is unbounded.
	MostPerWorker int `json:"x,omitempty"`
	// Speculative tasks may run in several copies; the first end counts.
	Speculative bool `json:"s,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"l,omitempty"`
	// Image names what the tasks run.
	Image string `json:"i,omitempty"`
	// TargetMillis is the tail latency that a serving task must stay under; 0 is none.
	TargetMillis int64 `json:"t,omitempty"`
	// Filler tasks take unused processor capacity; their MilliCPU isn't counted.
	Filler bool `json:"f,omitempty"`
	// DisruptionBudget is how many tasks may be away by the system's own acts.
	DisruptionBudget int `json:"b,omitempty"`
}

// Counted returns what a task of the step is counted with on a worker.
func (s *Step) Counted() Size {
	z := s.Size
	if s.Filler {
		z.MilliCPU = 0
	}
	return z
}

// Job is what a caller hands in. It never changes.
type Job struct {
	ID    string `json:"-"`
	Queue string `json:"q"`
	Spec  string `json:"p"`
	Steps []Step `json:"s"`
	// Times is how often the steps run on schedule; 0 means once, at once.
	Times int `json:"t,omitempty"`
	// FirstMillis is the due time of occurrence 0, in Unix milliseconds.
	FirstMillis int64 `json:"f,omitempty"`
	// IntervalMillis lies between the due times of two occurrences.
	IntervalMillis int64 `json:"v,omitempty"`
	// Policy is the queue as it was when the job was accepted; it holds on when
	// the queue is removed.
	Policy *Queue `json:"y,omitempty"`
	// AcceptedMillis is when an entry took the job, in Unix milliseconds.
	AcceptedMillis int64 `json:"a,omitempty"`
	// Unchecked is set when the entry did not know yet which jobs there were, so
	// that this may repeat one that was accepted before.
	Unchecked bool `json:"u,omitempty"`
}

// Summary returns what is kept of a job that has ended: where it was handed in, how
// many tasks its steps had and what these take, as some may still be running.
func (j *Job) Summary() *Job {
	s := &Job{ID: j.ID, Queue: j.Queue, Steps: make([]Step, len(j.Steps)), AcceptedMillis: j.AcceptedMillis}
	for i := range j.Steps {
		d := &j.Steps[i]
		s.Steps[i] = Step{Count: d.Count, Size: d.Size, Gang: d.Gang, Filler: d.Filler}
	}
	return s
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Times) }

// Due returns when occurrence k is due, in Unix milliseconds; 0 means at once.
func (j *Job) Due(k int) int64 {
	if j.Times == 0 {
		return 0
	}
	return j.FirstMillis + int64(k)*j.IntervalMillis
}

// LongRunning reports whether the job lasts until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// The bounds of a job.
const (
	// MaxSpecBytes bounds the text of a job.
	MaxSpecBytes = 4000
	// MaxTasks bounds the tasks of one occurrence.
	MaxTasks = 20000
	// MaxSteps bounds the steps of a job.
	MaxSteps = 1000
	// MaxOccurrences bounds how often a job runs.
	MaxOccurrences = 100000
)

// InvalidError tells why a job can't be accepted.
type InvalidError struct{ Field, Reason string }

func (e *InvalidError) Error() string { return "job: " + e.Field + ": " + e.Reason }

// Check returns an *InvalidError when the job could not be carried out as written.
func (j *Job) Check() error {
	bad := func(field, format string, args ...any) error {
		return errors.WithStack(&InvalidError{field, fmt.Sprintf(format, args...)})
	}
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return bad("spec", "%d bytes, at most %d are allowed", len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return bad("steps", "%d steps, 1 to %d are allowed", len(j.Steps), MaxSteps)
	case j.Times < 0 || j.Times > MaxOccurrences || j.IntervalMillis < 0:
		return bad("schedule", "%d occurrences every %d ms", j.Times, j.IntervalMillis)
	}
	total := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		z := s.Size
		switch {
		case s.Count <= 0 || s.Count > MaxTasks:
			return bad("steps", "step %d has %d tasks", i, s.Count)
		case z.MilliCPU < 0 || z.MemoryMiB < 0 || z.Accelerators < 0:
			return bad("steps", "step %d has a size below zero", i)
		case s.MostPerWorker < 0 || s.TargetMillis < 0 || s.DisruptionBudget < 0 || s.EstimateMillis < 0:
			return bad("steps", "step %d has a bound below zero", i)
		}
		for _, d := range s.DependsOn {
			if d < 0 || d >= i {
				return bad("steps", "step %d depends on step %d, which is not an earlier one", i, d)
			}
		}
		total += s.Count
	}
	if total > MaxTasks {
		return bad("steps", "%d tasks, at most %d are allowed", total, MaxTasks)
	}
	return nil
}

// StepID names one step of one occurrence.
type StepID struct {
	Job              string
	Occurrence, Step int
}

// String returns the form JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return s.Job + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskID names one task.
type TaskID struct {
	StepID
	Index int
}

// String returns the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// ParseTaskID reads the form that String returns.
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

// Advice is how a queue's policy service answers.
type Advice struct {
	// Decision is the time of a call; PerWorker is added for each worker named.
	Decision, PerWorker time.Duration
	// Validity is how long a ticket holds.
	Validity time.Duration
}

// Queue is where callers hand jobs in, and the policy for them.
type Queue struct {
	Name string
	// Host and Prefix are how callers address the queue: the longest prefix of
	// the path among the queues of the host.
	Host, Prefix string
	// Pool names the workers that run the queue's tasks.
	Pool string
	// Priority 0 comes first and may preempt others.
	Priority int
	// Attempts is how many runs of a task may fail.
	Attempts int
	// Stretch is how many times its own length a job may take within its objective.
	Stretch float64
	// Target is added to the objective.
	Target time.Duration
	// Advice is nil where no policy service restricts the queue.
	Advice *Advice
	// Timeout bounds one call of a caller; 0 means none.
	Timeout time.Duration
}

// Pool is a named group of workers.
type Pool struct {
	Name string
	// Guarded workers refuse what doesn't fit.
	Guarded bool
	// Standby machines of the pool are off until they are moved.
	Standby bool
}

// Catalog is the configuration in force.
type Catalog struct {
	Version int64
	// Queues and Pools are keyed by name.
	Queues map[string]Queue
	Pools  map[string]Pool
	// MaxBodyBytes bounds what a caller sends; 0 is unbounded.
	MaxBodyBytes int64
}

// Match returns the queue that a caller addresses, and the rest of the path
// after its prefix.
func (c *Catalog) Match(host, path string) (*Queue, string, bool) {
	var best *Queue
	for name := range c.Queues {
		q := c.Queues[name]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = &q
		}
	}
	if best == nil {
		return nil, "", false
	}
	return best, path[len(best.Prefix):], true
}
