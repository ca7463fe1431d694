// Package store is the port to the platform's log, in which everything that
// must last is kept.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Partition names one ordered stream of records.
type Partition struct {
	Topic  string
	Number int
}

func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Number) }

// Record is one entry of a keyed stream. The newest record of each key is kept
// for good; an empty value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// Numbered is a record with its offset.
type Numbered struct {
	Offset int64
	Record
}

// Producer fences former writers: an append with a lower epoch than the
// partition has seen under the same name is refused.
type Producer struct {
	Name  string
	Epoch int64
	// Sequence follows the last one of the same epoch; a repeat of a recent one
	// gets its first answer again.
	Sequence int64
}

// AppendOptions are conditions of an append.
type AppendOptions struct {
	// At, if not nil, is the end that the partition must have.
	At *int64
	// Producer, if not nil, is the writer's right.
	Producer *Producer
}

// Appended tells where records were put.
type Appended struct {
	// First is the offset of the first record, End the one after the last.
	First, End int64
}

// BatchBytes bounds a batch. It is above the largest record (256 KB), and a link of
// 10 Mbit/s takes 0.26 s for it: well below the bound of a read, so that a view
// that is far behind comes nearer with each one.
const BatchBytes = 320 << 10

// Batch is an ordered part of a partition.
type Batch struct {
	Records []Numbered
	// Next is the offset to go on from.
	Next int64
	// End is the partition's end when it was read, -1 if that isn't known.
	End int64
	// ReadAt is when the partition was last read up to Next, if that isn't as this
	// read ends: the records come by way of another node. Zero otherwise.
	ReadAt time.Time
}

// Page is a part of the newest records of all keys. Pages aren't a snapshot.
type Page struct {
	Records []Numbered
	// More is the key to go on after, empty at the end.
	More string
	// End is the partition's end when the page was made.
	End int64
	// ReadAt is when the partition was last read up to End, if that isn't as this
	// read ends: the page comes from another node's view. Zero otherwise.
	ReadAt time.Time
}

// Reader reads the platform's log. Its methods may be called concurrently. Errors
// are, by errors.Is and errors.As, ErrNotDone or *ExpiredError; another node's
// view may also be ErrLoading.
type Reader interface {
	// Read returns records from an offset on; it waits for the first one up to the given time.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Batch, error)
	// Newest returns a page of the newest record of each key after the given one.
	Newest(ctx context.Context, p Partition, after string) (Page, error)
}

// Store is the platform's log. Its methods may be called concurrently. Errors
// are, by errors.Is and errors.As, ErrNotDone, ErrUnknown, ErrFenced,
// *ConflictError, *SequenceError, *ExpiredError; a read that fails is ErrNotDone.
type Store interface {
	// Append adds records, all or none. No records with a producer sets the epoch.
	Append(ctx context.Context, p Partition, records []Record, opt AppendOptions) (Appended, error)
	Reader
}

// The outcomes of a call that did not succeed.
var (
	// ErrNotDone: nothing was done.
	ErrNotDone = errors.New("store: not done")
	// ErrUnknown: no answer came; the call may have been or may yet be carried out.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrLoading: who was asked has not read the partition itself yet, but does so.
	ErrLoading = errors.New("store: being read")
	// ErrFenced: a writer with a higher epoch has come.
	ErrFenced = errors.New("store: fenced by a higher epoch")
)

// ConflictError tells that a condition on the partition's end did not hold.
type ConflictError struct{ End int64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: the partition ends at %d", e.End)
}

// SequenceError tells which sequence the store expects.
type SequenceError struct{ Expected int64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("store: sequence %d was expected", e.Expected)
}

// ExpiredError tells that the records asked for are gone.
type ExpiredError struct{ First int64 }

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("store: records before %d are gone", e.First)
}

// ReadAll returns the newest record of every key, and an end from which on a
// read brings every later change.
func ReadAll(ctx context.Context, s Reader, p Partition) ([]Numbered, int64, error) {
	var all []Numbered
	end := int64(-1)
	after := ""
	for {
		page, err := s.Newest(ctx, p, after)
		if err != nil {
			return nil, 0, err
		}
		if end < 0 {
			end = page.End
		}
		all = append(all, page.Records...)
		if page.More == "" {
			return all, end, nil
		}
		after = page.More
	}
}
