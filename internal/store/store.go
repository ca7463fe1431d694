// Package store defines the interface to the platform's log, which holds all
// durable state.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Partition identifies an ordered stream of records.
type Partition struct {
	Topic  string
	Number int
}

func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Number) }

// Record is a keyed entry of a partition. The log is compacted: the newest record
// of each key is kept indefinitely, and an empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// StoredRecord is a record with its offset.
type StoredRecord struct {
	Offset int64
	Record
}

// Producer identifies a writer and fences its predecessors: an append with a lower
// epoch than the partition has seen under the same name is refused.
type Producer struct {
	Name  string
	Epoch int64
	// Sequence is one more than the last one of the same epoch. An append that
	// repeats a recent sequence gets the answer of the first one.
	Sequence int64
}

// AppendOptions are preconditions of an append.
type AppendOptions struct {
	// ExpectedEnd, if not nil, is the end that the partition must have.
	ExpectedEnd *int64
	// Producer, if not nil, identifies the writer for fencing.
	Producer *Producer
}

// AppendResult holds the offsets of appended records.
type AppendResult struct {
	// First is the offset of the first record, End the one after the last.
	First, End int64
}

// MaxBatchBytes bounds a batch. It exceeds the largest record (256 KB). A link of
// 10 Mbit/s transfers it in 0.26 s, well below the timeout of a read, so that a
// view that is far behind catches up with each read.
const MaxBatchBytes = 320 << 10

// DefaultMaxRecordBytes and DefaultMaxRequestBytes are the limits of a record and of an append
// where the platform doesn't state them.
const (
	DefaultMaxRecordBytes  = 256 << 10
	DefaultMaxRequestBytes = 2 << 20
)

// Batch is a contiguous part of a partition.
type Batch struct {
	Records []StoredRecord
	// NextOffset is the offset at which to continue.
	NextOffset int64
	// End is the partition's end when it was read, -1 if unknown.
	End int64
	// ReadAt is when the partition was last read up to NextOffset, if the records
	// were relayed by another node. It is zero for a direct read, which is current
	// when it returns.
	ReadAt time.Time
}

// Page is a part of the newest records of all keys. A sequence of pages is not a
// consistent snapshot.
type Page struct {
	Records []StoredRecord
	// NextKey is the key after which to continue, empty on the last page.
	NextKey string
	// End is the partition's end when the page was made.
	End int64
	// ReadAt is when the partition was last read up to End, if the page comes from
	// another node's view. It is zero for a direct read, which is current when it
	// returns.
	ReadAt time.Time
}

// Reader reads the platform's log. Its methods may be called concurrently. Errors
// match ErrNotExecuted or *ExpiredError with errors.Is and errors.As; another
// node's view may also return ErrLoading.
type Reader interface {
	// Read returns records from an offset on. It waits for the first one for at most
	// the given time.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Batch, error)
	// Newest returns a page with the newest record of each key after the given key.
	Newest(ctx context.Context, p Partition, after string) (Page, error)
}

// Store is the platform's log. Its methods may be called concurrently. Errors
// match ErrNotExecuted, ErrRejected, ErrOutcomeUnknown, ErrFenced, *ConflictError,
// *SequenceError or *ExpiredError with errors.Is and errors.As. A read that fails
// returns ErrNotExecuted, if not *ExpiredError.
type Store interface {
	// Append adds all of the records or none. With a producer and no records it only
	// sets the epoch.
	Append(ctx context.Context, p Partition, records []Record, opt AppendOptions) (AppendResult, error)
	Reader
}

// Errors of calls that did not succeed.
var (
	// ErrNotExecuted: the call had no effect.
	ErrNotExecuted = errors.New("store: not done")
	// ErrRejected: the call had no effect and can't have one as it is: the same call will
	// be rejected again. It is ErrNotExecuted as well.
	ErrRejected = errors.WithMessage(ErrNotExecuted, "store: rejected for good")
	// ErrOutcomeUnknown: no answer came; the call may have been executed or may still be.
	ErrOutcomeUnknown = errors.New("store: outcome unknown")
	// ErrLoading: the node that was asked is still reading the partition itself.
	ErrLoading = errors.New("store: being read")
	// ErrFenced: a writer with a higher epoch has taken over.
	ErrFenced = errors.New("store: fenced by a higher epoch")
)

// ConflictError reports that the partition's end did not match the expected one.
type ConflictError struct{ End int64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: the partition ends at %d", e.End)
}

// SequenceError reports the sequence that the store expects.
type SequenceError struct{ Expected int64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("store: sequence %d was expected", e.Expected)
}

// ExpiredError reports that the requested records are no longer retained. First
// is the oldest offset available.
type ExpiredError struct{ First int64 }

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("store: records before %d are gone", e.First)
}

// ReadAll returns the newest record of every key, and an offset from which on
// reads return every later change.
func ReadAll(ctx context.Context, r Reader, p Partition) ([]StoredRecord, int64, error) {
	var all []StoredRecord
	end := int64(-1)
	after := ""
	for {
		page, err := r.Newest(ctx, p, after)
		if err != nil {
			return nil, 0, err
		}
		if end < 0 {
			end = page.End
		}
		all = append(all, page.Records...)
		if page.NextKey == "" {
			return all, end, nil
		}
		after = page.NextKey
	}
}
