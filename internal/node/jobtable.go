package node

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Prefixes of keys in the partition of jobs; they tell the kind of a record.
const (
	jobKeyPrefix      = "j/"
	cancelKeyPrefix   = "c/"
	progressKeyPrefix = "p/"
	workerKeyPrefix   = "w/"
	termKey           = "term"
	successionKey     = "succession"
	runTimesKey       = "runtimes"
)

// jobEntry is the state of one job according to the job log.
type jobEntry struct {
	job    *workflow.Job
	offset int64
	// memory is what the job counts for in the table's room.
	memory    int64
	cancelled bool
	// cancelledMillis is when the cancellation was written, in Unix milliseconds, 0 if
	// that isn't recorded.
	cancelledMillis int64
	progress        workflow.Progress
}

// cancelRecord is the log record of a cancellation. Records of earlier versions are empty
// objects.
type cancelRecord struct {
	// WrittenMillis is in Unix milliseconds.
	WrittenMillis int64 `json:"a,omitempty"`
}

// unmatchedCancel reports whether the entry is the cancellation of a job whose record is not
// in the log.
func (e *jobEntry) unmatchedCancel() bool { return e.cancelled && e.job == nil }

func (e *jobEntry) state() workflow.State {
	switch {
	case e.progress.Final != "":
		return e.progress.Final
	case e.cancelled:
		return workflow.Cancelled
	case e.progress.HasBegun():
		return workflow.Running
	}
	return workflow.Queued
}

// account returns the client account of the job, empty for none.
func (e *jobEntry) account() string {
	if e.job == nil {
		return ""
	}
	return e.job.Account
}

func (e *jobEntry) pending() bool {
	return e.job != nil && !e.progress.HasBegun() && e.progress.Final == "" && !e.cancelled
}

// jobTable is a node's view of all jobs, built from the job log. Only the control
// goroutine writes to it; goroutines of callers' requests read it.
type jobTable struct {
	mu      sync.RWMutex
	entries map[string]*jobEntry
	// pendingByQueue counts, by queue, the jobs of which no task is known to have begun.
	pendingByQueue map[string]int
	// room bounds the memory of all jobs.
	room *intake.JobRoom
	// unmatchedCancels counts the cancellations of jobs whose records are not in the log.
	unmatchedCancels int
	registrations    map[string]dispatch.Registration
	succession       successionView
	// runTimes is the newest snapshot of the leaders' run times, nil if there is none.
	runTimes []byte
	// splits holds the values that are too large for one record.
	splits splitValues
	// newestOffsets holds, by key, the offset of the newest record applied.
	newestOffsets map[string]int64
	// deletions holds the newest deletions of keys, in the order in which they were applied.
	deletions []deletion
	// nextOffset is the offset of the first record not yet read.
	nextOffset int64
	// readAt is when the log was last read successfully, by this node or by the node
	// whose view it reads: the table contains what the log held at that time.
	readAt time.Time
	// endSeenAt is when the newest read that reached the end of the log was sent.
	endSeenAt time.Time
	// loaded reports whether all jobs have been read once.
	loaded bool
	// unreadable counts records that could not be decoded.
	unreadable int64
	// changed is closed and replaced whenever records are applied or a read is
	// recorded.
	changed chan struct{}
}

func newJobTable() *jobTable {
	return &jobTable{entries: map[string]*jobEntry{}, pendingByQueue: map[string]int{}, registrations: map[string]dispatch.Registration{}, splits: splitValues{},
		newestOffsets: map[string]int64{}, changed: make(chan struct{}), room: intake.NewJobRoom(0)}
}

// tableChange is the change that one record made to the table. One field is set.
type tableChange struct {
	// accepted is the entry of a new job.
	accepted *jobEntry
	// cancelled is the ID of a cancelled job, cancelledMillis when that was written.
	cancelled       string
	cancelledMillis int64
	// term is the token of a term that has begun.
	term int64
}

// apply applies the records of a read; next is the offset after them. It returns the
// changes that a dispatcher must handle.
func (t *jobTable) apply(records []store.StoredRecord, next int64) []tableChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []tableChange
	for _, r := range records {
		if last, ok := t.newestOffsets[r.Key]; ok && r.Offset <= last {
			continue
		}
		t.newestOffsets[r.Key] = r.Offset
		if len(r.Value) == 0 {
			t.recordDeletion(r)
		}
		whole, ok := t.splits.join(r)
		if !ok {
			continue
		}
		c, err := t.applyRecord(whole)
		if err != nil {
			t.unreadable++
			continue
		}
		if c != nil {
			out = append(out, *c)
		}
	}
	t.nextOffset = max(t.nextOffset, next)
	close(t.changed)
	t.changed = make(chan struct{})
	return out
}

// maxDeletions bounds the deleted keys whose offsets are kept. Records of a key that come
// more deletions later than that are not outdated.
const maxDeletions = 20000

// deletion is the record that deletes a key.
type deletion struct {
	key    string
	offset int64
}

// recordDeletion forgets the offset of the oldest deletion if there are too many.
func (t *jobTable) recordDeletion(r store.StoredRecord) {
	t.deletions = append(t.deletions, deletion{r.Key, r.Offset})
	if len(t.deletions) <= maxDeletions {
		return
	}
	if d := t.deletions[0]; t.newestOffsets[d.key] == d.offset {
		delete(t.newestOffsets, d.key)
	}
	t.deletions = t.deletions[1:]
}

// prune removes what is missing from records, which hold the newest record of every
// key up to the offset next: the log dropped it while this node did not read. What
// was applied from later offsets stays.
func (t *jobTable) prune(records []store.StoredRecord, next int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[string]bool, len(records))
	t.succession.gap = true
	for _, r := range records {
		kept[r.Key] = true
		if r.Key == termKey && r.Offset == t.newestOffsets[termKey] {
			t.succession.gap = false // no term has been missed
		}
	}
	for id, e := range t.entries {
		if e.job != nil && e.offset < next && !kept[jobKeyPrefix+id] {
			t.removeEntry(id, e)
		}
		if e.unmatchedCancel() && t.newestOffsets[cancelKeyPrefix+id] < next && !kept[cancelKeyPrefix+id] {
			t.removeEntry(id, e)
		}
	}
	for id := range t.registrations {
		if t.newestOffsets[workerKeyPrefix+id] < next && !kept[workerKeyPrefix+id] {
			delete(t.registrations, id)
		}
	}
	t.splits.prune(func(key string) bool { return t.newestOffsets[key] < next && !kept[key] })
	for key, offset := range t.newestOffsets {
		if offset < next && !kept[key] {
			delete(t.newestOffsets, key)
		}
	}
}

// applyRecord applies one record. Records of an unknown kind are ignored.
func (t *jobTable) applyRecord(r store.StoredRecord) (*tableChange, error) {
	switch {
	case strings.HasPrefix(r.Key, jobKeyPrefix):
		return t.applyJob(r, r.Key[len(jobKeyPrefix):])
	case strings.HasPrefix(r.Key, cancelKeyPrefix):
		return t.applyCancel(r, r.Key[len(cancelKeyPrefix):]), nil
	case strings.HasPrefix(r.Key, progressKeyPrefix):
		return nil, t.applyProgress(r, r.Key[len(progressKeyPrefix):])
	case r.Key == termKey:
		return t.applyTerm(r)
	case r.Key == successionKey:
		return nil, t.applySuccession(r)
	case r.Key == runTimesKey:
		return nil, t.applyRunTimes(r)
	case strings.HasPrefix(r.Key, workerKeyPrefix):
		return nil, t.applyWorker(r, r.Key[len(workerKeyPrefix):])
	}
	return nil, nil
}

func (t *jobTable) ensureEntry(id string) *jobEntry {
	e := t.entries[id]
	if e == nil {
		e = &jobEntry{}
		t.entries[id] = e
	}
	return e
}

// updateEntry changes an entry and keeps the counts of entries consistent with it.
func (t *jobTable) updateEntry(e *jobEntry, apply func()) {
	t.countEntry(e, -1)
	apply()
	t.countEntry(e, 1)
	t.changeMemory(e, e.currentMemory())
}

// changeMemory sets what the job of an entry counts for.
func (t *jobTable) changeMemory(e *jobEntry, n int64) {
	if n != e.memory {
		t.room.Change(e.account(), n-e.memory, time.Now())
		e.memory = n
	}
}

// currentMemory returns the memory that the job takes in its state.
func (e *jobEntry) currentMemory() int64 {
	switch {
	case e.job == nil:
		return 0
	case e.progress.Final != "":
		return e.job.EndedMemoryBytes()
	}
	return e.job.MemoryBytes()
}

func (t *jobTable) countEntry(e *jobEntry, n int) {
	if e.pending() {
		t.pendingByQueue[e.job.Queue] += n
	}
	if e.unmatchedCancel() {
		t.unmatchedCancels += n
	}
}

// removeEntry removes an entry. The entry itself stays as it is, since a change of the
// same read may refer to it.
func (t *jobTable) removeEntry(id string, e *jobEntry) {
	t.countEntry(e, -1)
	t.changeMemory(e, 0)
	delete(t.entries, id)
}

func (t *jobTable) applyJob(r store.StoredRecord, id string) (*tableChange, error) {
	if len(r.Value) == 0 {
		if e := t.entries[id]; e != nil {
			t.removeEntry(id, e)
		}
		return nil, nil
	}
	if id == "" {
		return nil, errors.New("job record without an ID") // no worker accepts its tasks
	}
	e := t.ensureEntry(id)
	if e.job != nil && e.progress.Final == "" {
		return nil, nil // a duplicate: the first record stays in force
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
		// The summary kept after the end of the job.
		t.updateEntry(e, func() { e.job = &job })
		return nil, nil
	}
	t.updateEntry(e, func() { e.job, e.offset = &job, r.Offset })
	t.room.Applied(id)
	return &tableChange{accepted: e}, nil
}

func (t *jobTable) applyCancel(r store.StoredRecord, id string) *tableChange {
	if len(r.Value) == 0 {
		if e := t.entries[id]; e != nil && e.unmatchedCancel() {
			t.removeEntry(id, e)
		}
		return nil
	}
	e := t.ensureEntry(id)
	if e.cancelled {
		return nil
	}
	var c cancelRecord
	if err := json.Unmarshal(r.Value, &c); err != nil {
		c = cancelRecord{} // a cancellation without its time
	}
	t.updateEntry(e, func() { e.cancelled, e.cancelledMillis = true, c.WrittenMillis })
	return &tableChange{cancelled: id, cancelledMillis: c.WrittenMillis}
}

func (t *jobTable) applyProgress(r store.StoredRecord, id string) error {
	if len(r.Value) == 0 {
		return nil
	}
	var p workflow.Progress
	if err := json.Unmarshal(r.Value, &p); err != nil {
		return errors.Wrap(err, "progress record")
	}
	e := t.ensureEntry(id)
	t.updateEntry(e, func() { e.progress = p })
	return nil
}

// termRecord is the first record of a term.
type termRecord struct {
	Node  string `json:"n"`
	Token int64  `json:"t"`
	// RecordsSuccession is set if the leader writes a dispatch.Succession and records voters.
	RecordsSuccession bool `json:"s,omitempty"`
}

func (t *jobTable) applyTerm(r store.StoredRecord) (*tableChange, error) {
	var rec termRecord
	if err := json.Unmarshal(r.Value, &rec); err != nil {
		return nil, errors.Wrap(err, "term record")
	}
	t.succession.applyTerm(rec)
	return &tableChange{term: rec.Token}, nil
}

func (t *jobTable) applySuccession(r store.StoredRecord) error {
	var rec dispatch.Succession
	if err := json.Unmarshal(r.Value, &rec); err != nil {
		return errors.Wrap(err, "succession record")
	}
	t.succession.applyRecord(rec)
	return nil
}

// runTimesRecord is the log record of the run times that a leader has learned.
type runTimesRecord struct {
	Snapshot []byte `json:"s"`
}

func (t *jobTable) applyRunTimes(r store.StoredRecord) error {
	if len(r.Value) == 0 {
		t.runTimes = nil
		return nil
	}
	var rec runTimesRecord
	if err := json.Unmarshal(r.Value, &rec); err != nil {
		return errors.Wrap(err, "run times record")
	}
	t.runTimes = rec.Snapshot
	return nil
}

func (t *jobTable) applyWorker(r store.StoredRecord, id string) error {
	if len(r.Value) == 0 {
		delete(t.registrations, id)
		return nil
	}
	var e dispatch.Registration
	if err := json.Unmarshal(r.Value, &e); err != nil {
		return errors.Wrap(err, "worker record")
	}
	e.Worker = id
	t.registrations[id] = e
	return nil
}

// recordRead updates the age of the table after a read. A read that reached the end
// of the log returned everything that the log held when the read was sent.
func (t *jobTable) recordRead(r readResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loaded = t.loaded || r.full
	if r.readAt.After(t.readAt) {
		t.readAt = r.readAt
	}
	if r.reachedEnd && r.sentAt.After(t.endSeenAt) {
		t.endSeenAt = r.sentAt
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// awaitEnd waits until a read sent at since or later has reached the end of the log.
// It returns false if done is closed first.
func (t *jobTable) awaitEnd(done <-chan struct{}, since time.Time) bool {
	for {
		t.mu.RLock()
		changed, ok := t.changed, !t.endSeenAt.Before(since)
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

// endSeen returns when the newest read that reached the end of the log was sent.
func (t *jobTable) endSeen() time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.endSeenAt
}

// lookup returns a copy of the entry of a job, false if the job is unknown. The entry of
// an unknown job tells whether it is cancelled.
func (t *jobTable) lookup(id string) (jobEntry, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[id]
	if e == nil {
		return jobEntry{}, false
	}
	return *e, e.job != nil
}

// unmatchedCancelCount returns the number of cancellations of jobs whose records are not in
// the log.
func (t *jobTable) unmatchedCancelCount() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.unmatchedCancels
}

// awaitJob waits until the condition holds for the result of lookup for a job. It
// returns false if done is closed first.
func (t *jobTable) awaitJob(done <-chan struct{}, id string, cond func(jobEntry, bool) bool) bool {
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

// pendingCount returns the number of a queue's jobs of which no task is known to have begun.
func (t *jobTable) pendingCount(queue string) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.pendingByQueue[queue]
}

// removeSurplusParts returns the records with those added that remove parts of former values of
// the same keys, given the maximum size of a record.
func (t *jobTable) removeSurplusParts(records []store.Record, maxBytes int) []store.Record {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(t.splits) == 0 {
		return records
	}
	out := make([]store.Record, 0, len(records))
	for _, r := range records {
		out = append(out, r)
		for _, key := range t.splits.surplus(r.Key, partCount(r, maxBytes)) {
			out = append(out, store.Record{Key: key})
		}
	}
	return out
}

// isFresh reports whether the table is loaded and the log was last read no longer
// than maxAge before now.
func (t *jobTable) isFresh(now time.Time, maxAge time.Duration) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.loaded && now.Sub(t.readAt) <= maxAge
}

// isLoaded reports whether all jobs have been read once.
func (t *jobTable) isLoaded() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.loaded
}

// position returns the offset of the first record not yet read.
func (t *jobTable) position() int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.nextOffset
}
