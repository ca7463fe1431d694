package node

import (
	"cmp"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// The partitions in which this program keeps its durable state.
var (
	jobsPartition   = store.Partition{Topic: "keyed.mimosaspool-jobs"}
	tenurePartition = store.Partition{Topic: "keyed.mimosaspool-tenure"}
	memberPartition = store.Partition{Topic: "keyed.mimosaspool-members"}
)

const (
	// acceptTimeout bounds the write of an accepted job or a cancellation.
	acceptTimeout = 2600 * time.Millisecond
	// confirmTimeout bounds the wait to see a record in the log after its reply
	// was lost.
	confirmTimeout = 250 * time.Millisecond
	// baseHedgeDelay is how long the leader may take before a direct write is
	// started, if the store is fast. hedgeLatencyFactor times the latency of the
	// store is added.
	baseHedgeDelay     = 500 * time.Millisecond
	hedgeLatencyFactor = 4
	// leaderRetryDelay is the delay before a record is sent to the leader again.
	leaderRetryDelay = 40 * time.Millisecond
	// maxAppendAttempts is how often an append that had no effect is attempted.
	maxAppendAttempts = 2
	// retryAfter is the delay after which rejected callers are told to retry,
	// retryAfterStoreDown the delay if the store is unreachable.
	retryAfter          = time.Second
	retryAfterStoreDown = 2 * time.Second
	// maxPendingWrites bounds the callers' writes in progress.
	maxPendingWrites = 256
	// defaultMaxBodyBytes applies if the operators state no limit.
	defaultMaxBodyBytes = 262144
	// pendingMemoryDivisor and jobMemoryDivisor are the shares of the memory for the jobs that
	// wait for the store and for those that are accepted.
	pendingMemoryDivisor = 16
	jobMemoryDivisor     = 5
	// maxUnmatchedCancels bounds the cancellations in the log of jobs that are not in it.
	maxUnmatchedCancels = 10000
	// catchUpTimeout bounds the wait to read the log to its end before a job is
	// reported as not existing.
	catchUpTimeout = 1200 * time.Millisecond
	// maxViewAge is the maximum age of the jobs view for counting jobs.
	maxViewAge = 2 * time.Second
	// maxConfigAge is the maximum age of the configuration for serving requests.
	maxConfigAge = 2 * time.Second
	// maxStoreSilence is how long the store may go unread before new jobs are
	// refused without a write attempt.
	maxStoreSilence = 1800 * time.Millisecond
)

// jobAPI serves callers from the job table and writes their jobs and
// cancellations to the job log.
type jobAPI struct {
	// directWriter writes to the log without the leader.
	directWriter *jobLogWriter
	// appendViaLeader sends a record to the leader, which writes it.
	appendViaLeader func(context.Context, store.Record) (bool, error)
	// currentLeader identifies the leader as far as this node knows.
	currentLeader func() string
	// leaderCanWrite reports whether the leader is writing what it was sent.
	leaderCanWrite func(context.Context) bool
	// requestCatchUp requests a read of the log to its end.
	requestCatchUp func()
	// storeReachable reports whether the store has answered this node recently.
	storeReachable func() bool
	// maxValueBytes is the size of the largest record of a job that can be stored.
	maxValueBytes int
	// storeLatency is the recent response time of the store, in nanoseconds.
	storeLatency atomic.Int64
	table        *jobTable
	catalog      atomic.Pointer[workflow.Catalog]
	// configReadAt is when the operators' records were last read without error,
	// in Unix nanoseconds.
	configReadAt atomic.Int64
	keys         *keyGuard
	leaving      atomic.Bool
	// writeSlots bounds the writes that wait for the store.
	writeSlots chan struct{}
	// pending bounds their bytes.
	pending byteBudget
	// hosts returns how many hosts may accept jobs at the same time.
	hosts func() int
	mu    sync.Mutex
	// submissions holds the submissions in progress by job ID, so that repeated
	// requests wait for the first.
	submissions map[string]*submission
	// storedAccounts holds the accounts of the jobs that this node has stored and not yet
	// read back.
	storedAccounts map[string]string
	count          func(kind, reason string)
}

// submission is a Submit call in progress. done is closed once outcome is set.
type submission struct {
	done    chan struct{}
	outcome intake.Outcome
}

func newJobAPI(directWriter *jobLogWriter, jobs *jobTable, count func(kind, reason string), appendViaLeader func(context.Context, store.Record) (bool, error)) *jobAPI {
	return &jobAPI{directWriter: directWriter, appendViaLeader: appendViaLeader, table: jobs, writeSlots: make(chan struct{}, maxPendingWrites), submissions: map[string]*submission{}, storedAccounts: map[string]string{}, count: count,
		hosts: func() int { return 1 }}
}

// outcome builds an outcome with its retry delay, and counts refusals.
func (d *jobAPI) outcome(code intake.Code, reason string) intake.Outcome {
	o := intake.Outcome{Code: code, Reason: reason}
	switch {
	case reason == "store-unreachable" || reason == "configuration-stale" || reason == reasonKeysExpired:
		o.RetryAfter = retryAfterStoreDown
	case code == intake.Busy || code == intake.Unavailable:
		o.RetryAfter = retryAfter
	}
	if code != intake.OK {
		d.count("refusal", reason)
	}
	return o
}

// Match implements intake.Desk.
func (d *jobAPI) Match(host, path string) (*workflow.Queue, string, intake.Outcome) {
	cat := d.catalog.Load()
	if cat == nil {
		return nil, "", d.outcome(intake.Unavailable, "no-configuration")
	}
	if time.Since(time.Unix(0, d.configReadAt.Load())) > maxConfigAge {
		return nil, "", d.outcome(intake.Unavailable, "configuration-stale")
	}
	q, rest, ok := cat.Match(host, path)
	if !ok {
		return nil, "", d.outcome(intake.QueueNotFound, "no-queue")
	}
	return q, rest, intake.Outcome{}
}

// Authenticate implements intake.Service.
func (d *jobAPI) Authenticate(q *workflow.Queue, key string) (intake.Caller, intake.Outcome) {
	cat := d.catalog.Load()
	if cat == nil {
		return intake.Caller{}, d.outcome(intake.Unavailable, "no-configuration")
	}
	caller, refused := d.keys.authenticate(cat, q, key)
	if refused != nil {
		return intake.Caller{}, d.outcome(refused.Code, refused.Reason)
	}
	return caller, intake.Outcome{}
}

// MaxBodyBytes implements intake.Desk.
func (d *jobAPI) MaxBodyBytes() int64 {
	if cat := d.catalog.Load(); cat != nil && cat.MaxBodyBytes > 0 {
		return cat.MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

// byteBudget bounds the bytes that are held at the same time.
type byteBudget struct{ held, limit atomic.Int64 }

// take reserves n bytes until release is called, and returns false if the limit is reached.
// The first holder always gets them.
func (b *byteBudget) take(n int64) bool {
	held := b.held.Add(n)
	if limit := b.limit.Load(); limit > 0 && held > limit && held > n {
		b.held.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) release(n int64) { b.held.Add(-n) }

// applyBounds sets the bounds on bytes; those of 0 are shares of the memory.
func (d *jobAPI) applyBounds(l Limits) {
	memory := l.MemoryMiB << 20
	share := func(v, divisor int64) int64 {
		if v > 0 {
			return v
		}
		return memory / divisor
	}
	d.pending.limit.Store(share(l.MaxPendingBytes, pendingMemoryDivisor))
	d.table.room.SetLimit(share(l.MaxJobBytes, jobMemoryDivisor))
}

// Ready implements intake.Desk.
func (d *jobAPI) Ready() bool {
	return !d.leaving.Load() && d.catalog.Load() != nil && d.table.isFresh(time.Now(), maxStoreSilence)
}

// Submit implements intake.Desk.
func (d *jobAPI) Submit(ctx context.Context, q *workflow.Queue, job workflow.Job) intake.Outcome {
	if err := cmp.Or(job.Validate(), job.ValidateGangs()); err != nil {
		return d.outcome(intake.Invalid, "invalid-job")
	}
	// Checked before the lookup: a job that the view loads after the lookup must not be taken for a new one.
	job.MaybeDuplicate = !d.table.isLoaded()
	if _, ok := d.table.lookup(job.ID); ok {
		return intake.Outcome{Reason: "known"}
	}
	f, first := d.beginSubmission(job.ID)
	if !first {
		select {
		case <-f.done:
			return f.outcome
		case <-ctx.Done():
			return d.outcome(intake.OutcomeUnknown, "repeat-unanswered")
		}
	}
	job.Queue, job.QueueSnapshot = q.Name, q
	job.AcceptedMillis = time.Now().UnixMilli()
	value, err := json.Marshal(job)
	switch {
	case err != nil:
		f.outcome = d.outcome(intake.Invalid, "invalid-job")
	case len(value) > d.maxValueBytes:
		f.outcome = d.outcome(intake.TooLarge, "job-too-large")
	default:
		f.outcome = d.writeJob(ctx, &job, value)
	}
	d.endSubmission(job.ID, job.Account, f)
	return f.outcome
}

// writeJob stores the record of a job if there is memory for the job.
func (d *jobAPI) writeJob(ctx context.Context, job *workflow.Job, value []byte) intake.Outcome {
	room := d.table.room
	if rejected := room.Reserve(job.ID, job.Account, job.MemoryBytes(), time.Now()); rejected != nil {
		return d.rejectedOutcome(rejected)
	}
	id := job.ID
	// The decoded job is held as well until it is written.
	decodedBytes := job.EndedMemoryBytes()
	out := d.write(ctx, store.Record{Key: jobKeyPrefix + id, Value: value}, id, decodedBytes,
		func(_ jobEntry, ok bool) bool { return ok })
	room.Release(id, out.Code == intake.OK || out.Code == intake.OutcomeUnknown, time.Now())
	return out
}

// rejectedOutcome returns the outcome for a job that was rejected before it was written.
func (d *jobAPI) rejectedOutcome(rejected *intake.RejectedError) intake.Outcome {
	code := intake.Busy
	if rejected.Reason == intake.ReasonJobTableFull {
		code = intake.Unavailable
	}
	o := d.outcome(code, rejected.Reason)
	o.RetryAfter = rejected.RetryAfter
	return o
}

// beginSubmission returns the submission in progress for a job, and whether the
// caller has started it.
func (d *jobAPI) beginSubmission(id string) (*submission, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.submissions[id]; f != nil {
		return f, false
	}
	f := &submission{done: make(chan struct{})}
	d.submissions[id] = f
	return f, true
}

// endSubmission removes a submission whose outcome is set and wakes those that
// wait for it.
func (d *jobAPI) endSubmission(id, account string, f *submission) {
	d.mu.Lock()
	delete(d.submissions, id)
	if f.outcome.Code == intake.OK {
		// The control loop may have read the job back before its writer was answered.
		if _, known := d.table.lookup(id); !known {
			d.storedAccounts[id] = account
		}
	}
	d.mu.Unlock()
	close(f.done)
}

// write stores one record: through the leader, which writes all waiting records
// in one append, or directly if the leader does not answer. Doing both is safe,
// since the first record of a key wins. decodedBytes are held beside the record.
func (d *jobAPI) write(ctx context.Context, r store.Record, id string, decodedBytes int64, seen func(jobEntry, bool) bool) intake.Outcome {
	if !d.canWrite() {
		return d.outcome(intake.Unavailable, "store-unreachable")
	}
	select {
	case d.writeSlots <- struct{}{}:
		defer func() { <-d.writeSlots }()
	default:
		return d.outcome(intake.Busy, "too-many-accepts")
	}
	size := int64(len(r.Key)+len(r.Value)) + decodedBytes
	if !d.pending.take(size) {
		return d.outcome(intake.Busy, "too-many-accept-bytes")
	}
	defer d.pending.release(size)
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	switch outcome, rejected := d.hedgedWrite(ctx, r); outcome {
	case writeDone:
		return intake.Outcome{}
	case writeRejected:
		return d.rejectedOutcome(rejected)
	case writeNotDone:
		return d.outcome(intake.Unavailable, "store-refused")
	}
	return d.confirmWrite(ctx, id, seen)
}

// canWrite reports whether the store is considered reachable. While the view is
// still loading, any answered read counts.
func (d *jobAPI) canWrite() bool {
	if !d.table.isLoaded() {
		return d.storeReachable()
	}
	return d.table.isFresh(time.Now(), maxStoreSilence)
}

// writeOutcome is the result of a write.
type writeOutcome int

const (
	writeDone writeOutcome = iota
	// writeRejected means that the leader has rejected the record: nothing was written and
	// nothing will be.
	writeRejected
	// writeNotDone means that nothing was written and nothing will be.
	writeNotDone
	// writeUnknown means that the record may have been written or may still be.
	writeUnknown
)

// maxLeaderWrites bounds the leaders that are sent the same record.
const maxLeaderWrites = 3

// writeResult is the result of one of the writes of a record.
type writeResult struct {
	outcome  writeOutcome
	rejected *intake.RejectedError
}

// hedgedWrite has the leader write the record. It also writes directly if the
// leader fails, or if it is slow and not in contact with the store: with a slow
// store, direct writes would only lengthen the queue of the store. A call to a leader that
// has lost the store stays unanswered, so its successor is sent the record as well. The first
// success wins.
func (d *jobAPI) hedgedWrite(ctx context.Context, r store.Record) (writeOutcome, *intake.RejectedError) {
	results := make(chan writeResult, maxLeaderWrites+1)
	pending, sent, leaderWrites, directStarted, worst := 0, 0, 0, false, writeNotDone
	start := func(write func() writeResult) {
		pending++
		sent++
		go func() { results <- write() }()
	}
	leader := ""
	startViaLeader := func() {
		leader = d.currentLeader()
		leaderWrites++
		start(func() writeResult { return d.writeViaLeader(ctx, r) })
	}
	startDirect := func() {
		// Without the leader, nobody sums up what all hosts accept.
		if !directStarted && d.table.room.AllowUncounted(strings.TrimPrefix(r.Key, jobKeyPrefix), d.hosts()) {
			directStarted = true
			d.count("retry", "direct-write")
			start(func() writeResult { return writeResult{outcome: d.writeDirect(ctx, r)} })
		}
	}
	startViaLeader()
	hedge := time.NewTimer(d.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			hedge.Reset(baseHedgeDelay)
			if now := d.currentLeader(); now != leader && now != "" && leaderWrites < maxLeaderWrites {
				d.count("retry", "next-leader")
				startViaLeader()
			}
			if !d.leaderCanWrite(ctx) {
				startDirect()
			}
		case result := <-results:
			pending--
			switch {
			case result.outcome == writeDone:
				return writeDone, nil
			case result.outcome == writeRejected && sent == 1:
				return writeRejected, result.rejected
			}
			worst = max(worst, result.outcome)
			startDirect()
			if pending == 0 {
				return worst, nil
			}
		}
	}
}

// writeViaLeader sends the record to the leader. While there is no leader, it
// waits for the next one, and longer if the store is slow.
func (d *jobAPI) writeViaLeader(ctx context.Context, r store.Record) writeResult {
	deadline := time.Now().Add(hedgeLatencyFactor * time.Duration(d.storeLatency.Load()))
	for {
		done, err := d.appendViaLeader(ctx, r)
		var rejected *intake.RejectedError
		switch {
		case errors.As(err, &rejected):
			return writeResult{writeRejected, rejected}
		case err != nil:
			d.count("retry", "holder-unanswered")
			return writeResult{outcome: writeUnknown}
		case done:
			return writeResult{outcome: writeDone}
		case ctx.Err() != nil || time.Now().Add(leaderRetryDelay).After(deadline):
			return writeResult{outcome: writeNotDone}
		}
		sleepContext(ctx, leaderRetryDelay)
	}
}

// writeDirect appends the record to the log without the leader.
func (d *jobAPI) writeDirect(ctx context.Context, r store.Record) writeOutcome {
	switch _, err := d.directWriter.append(ctx, []store.Record{r}); {
	case err == nil:
		return writeDone
	case errors.Is(err, store.ErrNotExecuted):
		return writeNotDone
	}
	d.count("retry", "accept-unanswered")
	return writeUnknown
}

// hedgeDelay returns how long to wait for the leader before the record is
// written directly. It grows with the latency of the store, so that direct
// writes do not lengthen the queue of a slow store.
func (d *jobAPI) hedgeDelay() time.Duration {
	return min(baseHedgeDelay+hedgeLatencyFactor*time.Duration(d.storeLatency.Load()), acceptTimeout)
}

// confirmWrite reads the log to find out whether a write without a reply was
// carried out.
func (d *jobAPI) confirmWrite(ctx context.Context, id string, seen func(jobEntry, bool) bool) intake.Outcome {
	// Waiting for the reply may have used up the deadline of ctx.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	if d.table.awaitJob(ctx.Done(), id, seen) {
		return intake.Outcome{Reason: "seen-in-log"}
	}
	return d.outcome(intake.OutcomeUnknown, "store-unanswered")
}

// State implements intake.Desk.
func (d *jobAPI) State(ctx context.Context, caller intake.Caller, _ *workflow.Queue, id string) (workflow.State, intake.Outcome) {
	e, ok := d.table.lookup(id)
	if owner, stored := d.storedBy(id); !ok && stored {
		return workflow.Queued, d.authorize(caller, owner)
	}
	if !ok {
		if out := d.resolveMissing(ctx, id); out.Code != intake.OK {
			return "", out
		}
		e, _ = d.table.lookup(id)
	}
	return e.state(), d.authorize(caller, e.account())
}

// authorize returns the outcome of a caller's access to a job of the account.
func (d *jobAPI) authorize(caller intake.Caller, account string) intake.Outcome {
	if caller.MayAccess(account) {
		return intake.Outcome{}
	}
	return d.outcome(intake.Forbidden, "other-account")
}

// storedBy returns the account of a job that this node has stored and not yet read
// back, and false for other jobs.
func (d *jobAPI) storedBy(id string) (account string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	account, ok = d.storedAccounts[id]
	return account, ok
}

// forgetStored removes jobs that the table now holds from storedAccounts.
func (d *jobAPI) forgetStored(changes []tableChange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range changes {
		if c.accepted != nil {
			delete(d.storedAccounts, c.accepted.job.ID)
		}
	}
}

// resolveMissing returns the outcome for a job that is not in the table: OK if
// it appears once the log is read to its current end.
func (d *jobAPI) resolveMissing(ctx context.Context, id string) intake.Outcome {
	if !d.table.isLoaded() {
		return d.outcome(intake.Unavailable, "view-loading")
	}
	requestedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	d.requestCatchUp()
	caughtUp := d.table.awaitEnd(ctx.Done(), requestedAt)
	if _, ok := d.table.lookup(id); ok {
		return intake.Outcome{}
	}
	if !caughtUp {
		return d.outcome(intake.Unavailable, "view-stale")
	}
	return d.outcome(intake.JobNotFound, "no-job")
}

// Cancel implements intake.Desk.
func (d *jobAPI) Cancel(ctx context.Context, caller intake.Caller, _ *workflow.Queue, id string) intake.Outcome {
	e, ok := d.table.lookup(id)
	owner, stored := d.storedBy(id)
	if !ok && !stored {
		out := d.resolveMissing(ctx, id)
		if out.Code == intake.JobNotFound {
			return d.cancelUnknown(ctx, id, out)
		}
		if out.Code != intake.OK {
			return out
		}
		e, ok = d.table.lookup(id)
	}
	if ok {
		owner = e.account()
	}
	if out := d.authorize(caller, owner); out.Code != intake.OK {
		return out
	}
	if e.cancelled || e.progress.Final != "" {
		return intake.Outcome{}
	}
	return d.writeCancel(ctx, id)
}

// cancelUnknown cancels a job that is not in the log. Its record may still be on the way
// there, from a Submit whose caller has left, and must not run once the caller has been
// told that there is no such job.
func (d *jobAPI) cancelUnknown(ctx context.Context, id string, notFound intake.Outcome) intake.Outcome {
	if e, _ := d.table.lookup(id); e.cancelled {
		return notFound
	}
	if d.table.unmatchedCancelCount() >= maxUnmatchedCancels {
		return d.outcome(intake.Busy, "too-many-cancels")
	}
	if out := d.writeCancel(ctx, id); out.Code != intake.OK {
		return out
	}
	if _, ok := d.table.lookup(id); ok {
		return intake.Outcome{}
	}
	return notFound
}

func (d *jobAPI) writeCancel(ctx context.Context, id string) intake.Outcome {
	value, err := json.Marshal(cancelRecord{WrittenMillis: time.Now().UnixMilli()})
	if err != nil {
		return d.outcome(intake.Invalid, "invalid-job")
	}
	return d.write(ctx, store.Record{Key: cancelKeyPrefix + id, Value: value}, id, 0,
		func(e jobEntry, _ bool) bool { return e.cancelled })
}

// Pending implements intake.Desk.
func (d *jobAPI) Pending(_ context.Context, q *workflow.Queue) (int, intake.Outcome) {
	if !d.table.isFresh(time.Now(), maxViewAge) {
		return 0, d.outcome(intake.Unavailable, "view-stale")
	}
	return d.table.pendingCount(q.Name), intake.Outcome{}
}
