package workflow

import (
	"encoding/hex"
)

// Progress is what is recorded of a job as it runs. The zero value is a job
// of which nothing has started.
type Progress struct {
	Started bool `json:"s,omitempty"`
	// Final is the state that the job ended in, or empty.
	Final State `json:"f,omitempty"`
	// EndedMillis is when it ended, in Unix milliseconds.
	EndedMillis int64 `json:"e,omitempty"`
	// Finished is the number of occurrences from 0 on that are all finished.
	Finished int `json:"n,omitempty"`
	// Occurrences holds those that have progress and come after Finished.
	Occurrences []OccurrenceProgress `json:"o,omitempty"`
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
	// Done is a bitmap of the tasks that are done.
	Done Bitmap `json:"d,omitempty"`
	// Failures counts failed runs by task; of a gang, under task 0.
	Failures map[int]int `json:"f,omitempty"`
	// Checkpoints holds the newest checkpoint by task; of a gang, under task 0.
	Checkpoints map[int]string `json:"c,omitempty"`
}

// Bitmap is a set of small numbers, in text as hexadecimal digits.
type Bitmap []byte

// Set adds i.
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
