package workflow

import (
	"encoding/hex"
	"slices"
)

// Progress is the recorded progress of a job. The zero value is a job of which
// no start has been ordered.
type Progress struct {
	// Ordered is set once a leader has ordered the start of a task, which may not have
	// begun. It is for leaders only.
	Ordered bool `json:"s,omitempty"`
	// Begun is set once a worker has shown that it began a task. Versions that know only
	// Ordered don't record it; see HasBegun.
	Begun bool `json:"b,omitempty"`
	// Final is the state in which the job ended, empty before its end.
	Final State `json:"f,omitempty"`
	// EndedMillis is when the job ended, in Unix milliseconds.
	EndedMillis int64 `json:"e,omitempty"`
	// FinishedOccurrences counts the leading occurrences, from 0 on without a gap,
	// that are finished.
	FinishedOccurrences int `json:"n,omitempty"`
	// Occurrences holds the later occurrences that have progress.
	Occurrences []OccurrenceProgress `json:"o,omitempty"`
	// FinishedLater is the set of later occurrences that are finished, counted from
	// FinishedOccurrences, if they are too many for Occurrences.
	FinishedLater Bitmap `json:"l,omitempty"`
}

// HasBegun reports whether a worker is known to have begun a task of the job. Tasks that
// have ended or have saved a checkpoint prove it also in records that lack Begun.
func (p *Progress) HasBegun() bool {
	if p.Begun || p.FinishedOccurrences > 0 || len(p.FinishedLater) > 0 {
		return true
	}
	return slices.ContainsFunc(p.Occurrences, func(o OccurrenceProgress) bool {
		return o.Finished || slices.ContainsFunc(o.Steps, StepProgress.hasBegun)
	})
}

// hasBegun reports whether a task of the step is known to have begun. A worker that crashed
// under a run may not have begun it.
func (s StepProgress) hasBegun() bool {
	if slices.ContainsFunc(s.Done, func(b byte) bool { return b != 0 }) {
		return true
	}
	for _, n := range s.Failures {
		if n > 0 {
			return true
		}
	}
	for _, checkpoint := range s.Checkpoints {
		if checkpoint != "" {
			return true
		}
	}
	return false
}

// WithoutCheckpoints returns a copy without the checkpoints of tasks.
func (p Progress) WithoutCheckpoints() Progress {
	occurrences := make([]OccurrenceProgress, len(p.Occurrences))
	for i, o := range p.Occurrences {
		steps := make([]StepProgress, len(o.Steps))
		for k, s := range o.Steps {
			s.Checkpoints = nil
			steps[k] = s
		}
		o.Steps = steps
		occurrences[i] = o
	}
	p.Occurrences = occurrences
	return p
}

// OccurrenceProgress is the progress of one occurrence.
type OccurrenceProgress struct {
	Number   int            `json:"k"`
	Finished bool           `json:"x,omitempty"`
	Steps    []StepProgress `json:"s,omitempty"`
}

// StepProgress is the progress of one step.
type StepProgress struct {
	Step int `json:"i"`
	// Done is the set of completed tasks.
	Done Bitmap `json:"d,omitempty"`
	// Failures counts failed runs by task index; a gang uses index 0.
	Failures map[int]int `json:"f,omitempty"`
	// Crashes counts the workers that crashed under a run, by task index; a gang uses
	// index 0.
	Crashes map[int]int `json:"w,omitempty"`
	// Trials is the set of tasks with crashes that may have been started once more.
	Trials Bitmap `json:"t,omitempty"`
	// Checkpoints holds the newest checkpoint by task index; a gang uses index 0.
	Checkpoints map[int]string `json:"c,omitempty"`
}

// Bitmap is a set of small non-negative integers. Its text form is hexadecimal.
type Bitmap []byte

// Set adds i to the set.
func (b *Bitmap) Set(i int) {
	for len(*b) <= i/8 {
		*b = append(*b, 0)
	}
	(*b)[i/8] |= 1 << (i % 8)
}

// Has reports whether i is in the set.
func (b Bitmap) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// MarshalText implements encoding.TextMarshaler.
func (b Bitmap) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(b)), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Bitmap) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	*b = raw
	return err
}
