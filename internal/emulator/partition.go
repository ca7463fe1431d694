package emulator

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

// rememberedAppends is how many appends of a producer are known for repeats.
const rememberedAppends = 5

// kept is a record of the history with its time.
type kept struct {
	store.StoredRecord
	at time.Time
}

// partition is one stream: a history that expires, and the newest record of
// each key, which doesn't.
type partition struct {
	history    []kept
	first, end int64
	newest     map[string]store.StoredRecord
	producers  map[string]*producer
	// free is when the last append in line is done.
	free time.Time
	// changed is closed at the next append.
	changed chan struct{}
}

// producer is what a partition knows of a writer.
type producer struct {
	epoch, last int64
	// fresh is set until the epoch's first append, which may have any sequence.
	fresh  bool
	recent []numberedAppend
}

type numberedAppend struct {
	sequence int64
	result   store.AppendResult
}

func newPartition() *partition {
	return &partition{newest: map[string]store.StoredRecord{}, producers: map[string]*producer{}, changed: make(chan struct{})}
}

// add appends without conditions.
func (p *partition) add(now time.Time, records []store.Record) store.AppendResult {
	result := store.AppendResult{First: p.end, End: p.end + int64(len(records))}
	if len(records) == 0 {
		return result
	}
	for _, r := range records {
		n := store.StoredRecord{Offset: p.end, Record: r}
		p.history = append(p.history, kept{n, now})
		p.end++
		if len(r.Value) == 0 {
			delete(p.newest, r.Key)
		} else {
			p.newest[r.Key] = n
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return result
}

// conditional appends if the producer and the expected end allow it. A refused
// append leaves no trace.
func (p *partition) conditional(now time.Time, records []store.Record, opt store.AppendOptions) (store.AppendResult, error) {
	if opt.Producer != nil {
		if result, done, err := p.admit(*opt.Producer, len(records)); done || err != nil {
			return result, err
		}
	}
	if opt.ExpectedEnd != nil && *opt.ExpectedEnd != p.end {
		return store.AppendResult{}, &store.ConflictError{End: p.end}
	}
	result := p.add(now, records)
	if opt.Producer != nil {
		p.note(*opt.Producer, len(records), result)
	}
	return result, nil
}

// admit judges a producer's right; done is set for a repeat.
func (p *partition) admit(w store.Producer, records int) (result store.AppendResult, done bool, err error) {
	known := p.producers[w.Name]
	switch {
	case known == nil || w.Epoch > known.epoch:
		return result, false, nil
	case w.Epoch < known.epoch:
		return result, false, store.ErrFenced
	case records == 0:
		return result, false, nil
	}
	for _, a := range known.recent {
		if a.sequence == w.Sequence {
			return a.result, true, nil
		}
	}
	if !known.fresh && w.Sequence != known.last+1 {
		return result, false, &store.SequenceError{Expected: known.last + 1}
	}
	return result, false, nil
}

// note remembers a producer's append. An empty one sets the epoch only.
func (p *partition) note(w store.Producer, records int, result store.AppendResult) {
	known := p.producers[w.Name]
	if known == nil || w.Epoch > known.epoch {
		known = &producer{epoch: w.Epoch, fresh: true}
		p.producers[w.Name] = known
	}
	if records == 0 {
		return
	}
	known.last, known.fresh = w.Sequence, false
	known.recent = append(known.recent, numberedAppend{w.Sequence, result})
	if len(known.recent) > rememberedAppends {
		known.recent = known.recent[1:]
	}
}

// expire removes the history before a time.
func (p *partition) expire(before time.Time) {
	n := 0
	for n < len(p.history) && p.history[n].at.Before(before) {
		n++
	}
	p.history = p.history[n:]
	p.first += int64(n)
}

// read returns the records from an offset on, as many as fit into a batch.
func (p *partition) read(from int64) (store.Batch, error) {
	if from < p.first {
		return store.Batch{}, &store.ExpiredError{First: p.first}
	}
	batch := store.Batch{NextOffset: from, End: p.end}
	size := 0
	for i := from - p.first; i < int64(len(p.history)); i++ {
		n := p.history[i].StoredRecord
		size += len(n.Key) + len(n.Value)
		if len(batch.Records) > 0 && size > store.MaxBatchBytes {
			break
		}
		batch.Records = append(batch.Records, copyNumbered(n))
		batch.NextOffset = n.Offset + 1
	}
	return batch, nil
}

// page returns the newest records of the keys after the given one.
func (p *partition) page(after string) store.Page {
	page := store.Page{End: p.end}
	size := 0
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if key <= after && after != "" {
			continue
		}
		n := p.newest[key]
		size += len(n.Key) + len(n.Value)
		if k := len(page.Records); k == PageRecords || k > 0 && size > PageBytes {
			page.NextKey = page.Records[k-1].Key
			break
		}
		page.Records = append(page.Records, copyNumbered(n))
	}
	return page
}

func copyNumbered(n store.StoredRecord) store.StoredRecord {
	n.Value = bytes.Clone(n.Value)
	return n
}

func copyRecords(records []store.Record) []store.Record {
	out := slices.Clone(records)
	for i := range out {
		out[i].Value = bytes.Clone(out[i].Value)
	}
	return out
}

func copyOptions(opt store.AppendOptions) store.AppendOptions {
	if opt.ExpectedEnd != nil {
		at := *opt.ExpectedEnd
		opt.ExpectedEnd = &at
	}
	if opt.Producer != nil {
		w := *opt.Producer
		opt.Producer = &w
	}
	return opt
}
