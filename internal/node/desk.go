package node

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// The places where the product keeps what must last.
var (
	jobsPartition   = store.Partition{Topic: "keyed.mimosaspool-jobs"}
	tenurePartition = store.Partition{Topic: "keyed.mimosaspool-tenure"}
	memberPartition = store.Partition{Topic: "keyed.mimosaspool-members"}
)

const (
	// acceptTimeout bounds the store's answer to an accept or a cancel.
	acceptTimeout = 2600 * time.Millisecond
	// settleTimeout bounds the wait for a record whose answer was lost.
	settleTimeout = 250 * time.Millisecond
	// hedgeTime is how long the holder may take while the store is not slow;
	// hedgeFactor is how many of the store's answers are added to it.
	hedgeTime   = 500 * time.Millisecond
	hedgeFactor = 4
	// holderRetry is the pause before a record is handed to the holder again.
	holderRetry = 40 * time.Millisecond
	// appendTries is how often an append that did nothing is sent.
	appendTries = 2
	// comeBack is when refused callers are told to come back, comeBackLater
	// when the store is out of reach.
	comeBack      = time.Second
	comeBackLater = 2 * time.Second
	// maxAccepts bounds the appends of callers that wait for the store.
	maxAccepts = 256
	// viewTimeout bounds the wait to see the log's end before a job is said not to exist.
	viewTimeout = 1200 * time.Millisecond
	// viewBound is how old the view of the log may be to count jobs.
	viewBound = 2 * time.Second
	// configBound is how old the knowledge of the configuration may be to serve by it.
	configBound = 2 * time.Second
	// storeSilence is how long the store may be unread before new jobs are refused unsent.
	storeSilence = 1800 * time.Millisecond
)

// desk serves callers from the table, and writes what they hand in to the log.
type desk struct {
	// direct writes what the holder of the right does not.
	direct *writer
	// holder has the holder of the right write a record.
	holder func(context.Context, store.Record) (bool, error)
	// holderWrites tells whether the holder is at work on what it was handed.
	holderWrites func(context.Context) bool
	// catchUp has the log read to its end.
	catchUp func()
	// storeAnswers tells whether the store has answered this node lately.
	storeAnswers func() bool
	// slowness is how long the store took to answer lately, in nanoseconds.
	slowness atomic.Int64
	table    *table
	catalog  atomic.Pointer[workflow.Catalog]
	// configured is when the operators' records were last read without fail, in Unix nanoseconds.
	configured atomic.Int64
	leaving    atomic.Bool
	// accepts bounds the appends that wait for the store.
	accepts chan struct{}
	mu      sync.Mutex
	// flights holds the submits in progress by ID, for repeats to wait for.
	flights map[string]*flight
	// stored holds the jobs that this node has stored and not yet read back.
	stored map[string]bool
	count  func(kind, reason string)
}

type flight struct {
	done    chan struct{}
	outcome intake.Outcome
}

func newDesk(direct *writer, t *table, count func(kind, reason string), holder func(context.Context, store.Record) (bool, error)) *desk {
	return &desk{direct: direct, holder: holder, table: t, accepts: make(chan struct{}, maxAccepts), flights: map[string]*flight{}, stored: map[string]bool{}, count: count}
}

func (d *desk) outcome(code intake.Code, reason string) intake.Outcome {
	o := intake.Outcome{Code: code, Reason: reason}
	switch {
	case reason == "store-unreachable" || reason == "configuration-stale":
		o.RetryAfter = comeBackLater
	case code == intake.Busy || code == intake.Unavailable:
		o.RetryAfter = comeBack
	}
	if code != intake.OK {
		d.count("refusal", reason)
	}
	return o
}

// Match implements intake.Desk.
func (d *desk) Match(host, path string) (*workflow.Queue, string, intake.Outcome) {
	cat := d.catalog.Load()
	if cat == nil {
		return nil, "", d.outcome(intake.Unavailable, "no-configuration")
	}
	if time.Since(time.Unix(0, d.configured.Load())) > configBound {
		return nil, "", d.outcome(intake.Unavailable, "configuration-stale")
	}
	q, rest, ok := cat.Match(host, path)
	if !ok {
		return nil, "", d.outcome(intake.QueueNotFound, "no-queue")
	}
	return q, rest, intake.Outcome{}
}

// MaxBodyBytes implements intake.Desk.
func (d *desk) MaxBodyBytes() int64 {
	if cat := d.catalog.Load(); cat != nil {
		return cat.MaxBodyBytes
	}
	return 0
}

// Ready implements intake.Desk.
func (d *desk) Ready() bool {
	return !d.leaving.Load() && d.catalog.Load() != nil && d.table.fresh(time.Now(), storeSilence)
}

// Submit implements intake.Desk.
func (d *desk) Submit(ctx context.Context, q *workflow.Queue, job workflow.Job) intake.Outcome {
	if err := job.Validate(); err != nil {
		return d.outcome(intake.Invalid, "invalid-job")
	}
	// Asked first: jobs that come into the view after the look-up must not pass for unknown ones.
	job.MaybeDuplicate = !d.table.isLoaded()
	if _, ok := d.table.lookup(job.ID); ok {
		return intake.Outcome{Reason: "known"}
	}
	f, first := d.fly(job.ID)
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
	if err != nil {
		f.outcome = d.outcome(intake.Invalid, "invalid-job")
	} else {
		f.outcome = d.write(ctx, store.Record{Key: jobKey + job.ID, Value: value}, job.ID,
			func(_ entry, ok bool) bool { return ok })
	}
	d.land(job.ID, f)
	return f.outcome
}

func (d *desk) fly(id string) (*flight, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.flights[id]; f != nil {
		return f, false
	}
	f := &flight{done: make(chan struct{})}
	d.flights[id] = f
	return f, true
}

func (d *desk) land(id string, f *flight) {
	d.mu.Lock()
	delete(d.flights, id)
	if f.outcome.Code == intake.OK {
		d.stored[id] = true
	}
	d.mu.Unlock()
	close(f.done)
}

// write stores one record: by the holder of the right, which writes all that
// waits in one append, or directly when the holder does not answer. Both are
// safe together, since the first record of a key holds.
func (d *desk) write(ctx context.Context, r store.Record, id string, seen func(entry, bool) bool) intake.Outcome {
	if !d.mayWrite() {
		return d.outcome(intake.Unavailable, "store-unreachable")
	}
	select {
	case d.accepts <- struct{}{}:
		defer func() { <-d.accepts }()
	default:
		return d.outcome(intake.Busy, "too-many-accepts")
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	switch d.race(ctx, r) {
	case written:
		return intake.Outcome{}
	case notWritten:
		return d.outcome(intake.Unavailable, "store-refused")
	}
	return d.settle(ctx, id, seen)
}

// mayWrite reports whether the store is taken to be in reach. While all jobs are
// being read, an answer to any read tells it.
func (d *desk) mayWrite() bool {
	if !d.table.isLoaded() {
		return d.storeAnswers()
	}
	return d.table.fresh(time.Now(), storeSilence)
}

// ending is what became of a write.
type ending int

const (
	written ending = iota
	// notWritten: surely nothing was written and never will be.
	notWritten
	// unsettled: it may have been or may yet be written.
	unsettled
)

// race has the holder write the record, and writes it directly when the holder
// does not, or takes long without being in touch with the store: on a slow
// store direct writes would only lengthen its queue. The first success counts.
func (d *desk) race(ctx context.Context, r store.Record) ending {
	ends := make(chan ending, 2)
	go func() { ends <- d.writeAtHolder(ctx, r) }()
	hedge := time.NewTimer(d.hedge())
	defer hedge.Stop()
	out, direct, worst := 1, false, notWritten
	begin := func() {
		if !direct {
			direct = true
			out++
			d.count("retry", "direct-write")
			go func() { ends <- d.writeDirect(ctx, r) }()
		}
	}
	for {
		select {
		case <-hedge.C:
			if d.holderWrites(ctx) {
				hedge.Reset(hedgeTime)
				continue
			}
			begin()
		case e := <-ends:
			out--
			if e == written {
				return written
			}
			worst = max(worst, e)
			begin()
			if out == 0 {
				return worst
			}
		}
	}
}

// writeAtHolder hands the record to the holder of the right. Between two holders
// it waits for the next one, for longer while the store is slow.
func (d *desk) writeAtHolder(ctx context.Context, r store.Record) ending {
	until := time.Now().Add(hedgeFactor * time.Duration(d.slowness.Load()))
	for {
		done, err := d.holder(ctx, r)
		switch {
		case err != nil:
			d.count("retry", "holder-unanswered")
			return unsettled
		case done:
			return written
		case ctx.Err() != nil || time.Now().Add(holderRetry).After(until):
			return notWritten
		}
		pauseFor(ctx, holderRetry)
	}
}

// writeDirect appends the record to the log itself.
func (d *desk) writeDirect(ctx context.Context, r store.Record) ending {
	switch _, err := d.direct.append(ctx, []store.Record{r}); {
	case err == nil:
		return written
	case errors.Is(err, store.ErrNotExecuted):
		return notWritten
	}
	d.count("retry", "accept-unanswered")
	return unsettled
}

// hedge is how long the holder is waited for before the record is written
// directly: longer while the store is slow, so that its queue does not grow.
func (d *desk) hedge() time.Duration {
	return min(hedgeTime+hedgeFactor*time.Duration(d.slowness.Load()), acceptTimeout)
}

// settle finds out by reading what became of an append without an answer.
func (d *desk) settle(ctx context.Context, id string, seen func(entry, bool) bool) intake.Outcome {
	// The wait for the answer may have used up the time of ctx.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if d.table.await(ctx.Done(), id, seen) {
		return intake.Outcome{Reason: "seen-in-log"}
	}
	return d.outcome(intake.OutcomeUnknown, "store-unanswered")
}

// State implements intake.Desk.
func (d *desk) State(ctx context.Context, _ *workflow.Queue, id string) (workflow.State, intake.Outcome) {
	if e, ok := d.table.lookup(id); ok {
		return e.state(), intake.Outcome{}
	}
	if d.isStored(id) {
		return workflow.Queued, intake.Outcome{}
	}
	if out := d.missing(ctx, id); out.Code != intake.OK {
		return "", out
	}
	e, _ := d.table.lookup(id)
	return e.state(), intake.Outcome{}
}

func (d *desk) isStored(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stored[id]
}

// readBack takes note of jobs that the table now holds.
func (d *desk) readBack(changes []change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range changes {
		if c.accepted != nil {
			delete(d.stored, c.accepted.job.ID)
		}
	}
}

// missing is the answer about a job that isn't in the table: OK if it comes
// into the table as the log is read to its present end.
func (d *desk) missing(ctx context.Context, id string) intake.Outcome {
	if !d.table.isLoaded() {
		return d.outcome(intake.Unavailable, "view-loading")
	}
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	d.catchUp()
	caughtUp := d.table.awaitEnd(ctx.Done(), asked)
	if _, ok := d.table.lookup(id); ok {
		return intake.Outcome{}
	}
	if !caughtUp {
		return d.outcome(intake.Unavailable, "view-stale")
	}
	return d.outcome(intake.JobNotFound, "no-job")
}

// Cancel implements intake.Desk.
func (d *desk) Cancel(ctx context.Context, _ *workflow.Queue, id string) intake.Outcome {
	e, ok := d.table.lookup(id)
	if !ok && !d.isStored(id) {
		if out := d.missing(ctx, id); out.Code != intake.OK {
			return out
		}
		e, _ = d.table.lookup(id)
	}
	if e.cancelled || e.progress.Final != "" {
		return intake.Outcome{}
	}
	return d.write(ctx, store.Record{Key: cancelKey + id, Value: []byte("{}")}, id,
		func(e entry, ok bool) bool { return ok && e.cancelled })
}

// Pending implements intake.Desk.
func (d *desk) Pending(_ context.Context, q *workflow.Queue) (int, intake.Outcome) {
	if !d.table.fresh(time.Now(), viewBound) {
		return 0, d.outcome(intake.Unavailable, "view-stale")
	}
	return d.table.pendingOf(q.Name), intake.Outcome{}
}
