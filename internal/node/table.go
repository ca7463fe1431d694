package node

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// The kinds of records in the partition of jobs, by the first part of their key.
const (
	jobKey      = "j/"
	cancelKey   = "c/"
	progressKey = "p/"
	workerKey   = "w/"
	termKey     = "term"
)

// entry is what the log says of one job.
type entry struct {
	job       *workflow.Job
	offset    int64
	cancelled bool
	progress  workflow.Progress
}

func (e *entry) state() workflow.State {
	switch {
	case e.progress.Final != "":
		return e.progress.Final
	case e.cancelled:
		return workflow.Cancelled
	case e.progress.Started:
		return workflow.Running
	}
	return workflow.Queued
}

func (e *entry) pending() bool {
	return e.job != nil && !e.progress.Started && e.progress.Final == "" && !e.cancelled
}

// table is a node's view of all jobs, rebuilt from the log. The control
// goroutine alone writes to it; callers' goroutines read it.
type table struct {
	mu      sync.RWMutex
	entries map[string]*entry
	// pending counts the jobs of a queue of which no task has started.
	pending map[string]int
	engaged map[string]dispatch.Registration
	// newest is the offset of the newest record applied for a key, while the
	// table is being loaded.
	newest map[string]int64
	// next is the offset from which the log was not read yet.
	next int64
	// readAt is when the log was last read without fail, by this node or by the
	// one whose view it reads: what the log held then is in the table.
	readAt time.Time
	// caughtUp is when the newest read was sent that reached the log's end.
	caughtUp time.Time
	loaded   bool
	// unreadable counts records that could not be decoded.
	unreadable int64
	// changed is closed and replaced whenever records are applied.
	changed chan struct{}
}

func newTable() *table {
	return &table{entries: map[string]*entry{}, pending: map[string]int{}, engaged: map[string]dispatch.Registration{},
		newest: map[string]int64{}, changed: make(chan struct{})}
}

// change is one thing that a record has changed.
type change struct {
	accepted  *entry
	cancelled string
	// term is the token of a term that has begun.
	term int64
}

// apply takes in records and returns what is new to a dispatcher.
func (t *table) apply(records []store.StoredRecord, next int64) []change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []change
	for _, r := range records {
		if last, ok := t.newest[r.Key]; ok && r.Offset <= last {
			continue
		}
		t.newest[r.Key] = r.Offset
		c, err := t.applyOne(r)
		if err != nil {
			t.unreadable++
			continue
		}
		if c != nil {
			out = append(out, *c)
		}
	}
	t.next = max(t.next, next)
	close(t.changed)
	t.changed = make(chan struct{})
	return out
}

// replace forgets what a reading of all newest records up to next doesn't
// hold: it was dropped while the log was not read.
func (t *table) replace(records []store.StoredRecord, next int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[string]bool, len(records))
	for _, r := range records {
		kept[r.Key] = true
	}
	for id, e := range t.entries {
		if e.job != nil && e.offset < next && !kept[jobKey+id] {
			t.recount(e, func() { e.job = nil })
			delete(t.entries, id)
		}
	}
	for id := range t.engaged {
		if t.newest[workerKey+id] < next && !kept[workerKey+id] {
			delete(t.engaged, id)
		}
	}
	for key, offset := range t.newest {
		if offset < next && !kept[key] {
			delete(t.newest, key)
		}
	}
}

// applyOne takes in one record.
func (t *table) applyOne(r store.StoredRecord) (*change, error) {
	switch {
	case strings.HasPrefix(r.Key, jobKey):
		return t.applyJob(r, r.Key[len(jobKey):])
	case strings.HasPrefix(r.Key, cancelKey):
		return t.applyCancel(r, r.Key[len(cancelKey):]), nil
	case strings.HasPrefix(r.Key, progressKey):
		return nil, t.applyProgress(r, r.Key[len(progressKey):])
	case r.Key == termKey:
		return t.applyTerm(r)
	case strings.HasPrefix(r.Key, workerKey):
		return nil, t.applyWorker(r, r.Key[len(workerKey):])
	}
	return nil, nil
}

func (t *table) entryOf(id string) *entry {
	e := t.entries[id]
	if e == nil {
		e = &entry{}
		t.entries[id] = e
	}
	return e
}

// recount keeps the number of pending jobs right around a change of an entry.
func (t *table) recount(e *entry, apply func()) {
	if e.pending() {
		t.pending[e.job.Queue]--
	}
	apply()
	if e.pending() {
		t.pending[e.job.Queue]++
	}
}

func (t *table) applyJob(r store.StoredRecord, id string) (*change, error) {
	if len(r.Value) == 0 {
		if e := t.entries[id]; e != nil {
			t.recount(e, func() { e.job = nil })
			delete(t.entries, id)
		}
		return nil, nil
	}
	e := t.entryOf(id)
	if e.job != nil && e.progress.Final == "" {
		return nil, nil // a repeat: the first record holds
	}
	var job workflow.Job
	if err := json.Unmarshal(r.Value, &job); err != nil {
		return nil, errors.Wrap(err, "job record")
	}
	job.ID = id
	if err := job.Validate(); err != nil {
		return nil, err
	}
	if e.job != nil {
		e.job = &job // what is kept of it after its end
		return nil, nil
	}
	t.recount(e, func() { e.job, e.offset = &job, r.Offset })
	return &change{accepted: e}, nil
}

func (t *table) applyCancel(r store.StoredRecord, id string) *change {
	if len(r.Value) == 0 {
		return nil
	}
	e := t.entryOf(id)
	if e.cancelled {
		return nil
	}
	t.recount(e, func() { e.cancelled = true })
	return &change{cancelled: id}
}

func (t *table) applyProgress(r store.StoredRecord, id string) error {
	if len(r.Value) == 0 {
		return nil
	}
	var p workflow.Progress
	if err := json.Unmarshal(r.Value, &p); err != nil {
		return errors.Wrap(err, "progress record")
	}
	e := t.entryOf(id)
	t.recount(e, func() { e.progress = p })
	return nil
}

// termRecord is the first record of a term.
type termRecord struct {
	Node  string `json:"n"`
	Token int64  `json:"t"`
}

func (t *table) applyTerm(r store.StoredRecord) (*change, error) {
	var rec termRecord
	if err := json.Unmarshal(r.Value, &rec); err != nil {
		return nil, errors.Wrap(err, "term record")
	}
	return &change{term: rec.Token}, nil
}

func (t *table) applyWorker(r store.StoredRecord, id string) error {
	if len(r.Value) == 0 {
		delete(t.engaged, id)
		return nil
	}
	var e dispatch.Registration
	if err := json.Unmarshal(r.Value, &e); err != nil {
		return errors.Wrap(err, "worker record")
	}
	e.Worker = id
	t.engaged[id] = e
	return nil
}

// read takes note of a reading; one that reached the log's end shows all that
// was in it when the reading was sent.
func (t *table) read(r reading) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loaded = t.loaded || r.whole
	if r.at.After(t.readAt) {
		t.readAt = r.at
	}
	if r.caughtUp && r.sent.After(t.caughtUp) {
		t.caughtUp = r.sent
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// awaitEnd waits until the log was read to an end no earlier than since, or
// done closes. It reports whether that was so.
func (t *table) awaitEnd(done <-chan struct{}, since time.Time) bool {
	for {
		t.mu.RLock()
		changed, ok := t.changed, !t.caughtUp.Before(since)
		t.mu.RUnlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// endSeen returns when the newest read was sent that reached the log's end.
func (t *table) endSeen() time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.caughtUp
}

// lookup returns a copy of what is known of a job.
func (t *table) lookup(id string) (entry, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[id]
	if e == nil || e.job == nil {
		return entry{}, false
	}
	return *e, true
}

// await waits until the condition holds for what is known of a job, or done
// closes. It reports whether the condition held.
func (t *table) await(done <-chan struct{}, id string, cond func(entry, bool) bool) bool {
	for {
		t.mu.RLock()
		changed := t.changed
		t.mu.RUnlock()
		if e, ok := t.lookup(id); cond(e, ok) {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// pendingOf returns the number of a queue's jobs of which no task has started.
func (t *table) pendingOf(queue string) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.pending[queue]
}

// fresh reports whether the log was read no longer ago than bound.
func (t *table) fresh(now time.Time, bound time.Duration) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.loaded && now.Sub(t.readAt) <= bound
}

// isLoaded reports whether all jobs were read.
func (t *table) isLoaded() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.loaded
}

// position returns the offset from which the log was not read yet.
func (t *table) position() int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.next
}
