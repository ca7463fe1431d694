package node

import (
	"context"
	"encoding/json"
	"runtime/debug"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/worker"
)

// term is a period during which this node is the leader. It begins with a record in
// the job log that fences all former writers. The dispatcher starts when the node's
// view holds everything before that record.
type term struct {
	token       int64
	offset      int64
	recorded    bool
	startedAt   time.Duration
	dispatcher  *dispatch.Core
	workersByID map[string]worker.Info
	// unreadableWorkers holds the keys of the entries that can't be read, each of which
	// has been logged.
	unreadableWorkers map[string]bool
	// workersLoaded is set when the list of workers has been read in this term.
	workersLoaded bool
	// reportedCounters are the dispatcher's counters as last reported.
	reportedCounters dispatch.Counters
	writer           *jobLogWriter
	// maintenance is nil while there are no machines to manage.
	maintenance *maintenanceController
	cancel      context.CancelFunc
	ctx         context.Context
	// nextCommitAt is when the next commit may be written. Only the commit in flight uses it.
	nextCommitAt time.Time
	// handoverUntil is when the term ends at the latest after its release, or 0 if it
	// is not released.
	handoverUntil time.Duration
	steps         stepRate
	// admissionAt is when the admission was last published.
	admissionAt time.Duration
}

// producerName is the producer name under which leaders append to the store.
const producerName = "holder"

func (n *Node) beginTerm(ctx context.Context) {
	t := &term{token: n.leadership.Token(), workersByID: map[string]worker.Info{}, startedAt: n.uptime()}
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.writer = newJobLogWriter(n.deps.Store, t.token, newAppendLimits(&n.settings), n.storeReader, n.log, n.deps.Count, func(ev recordsWritten) { n.send(t.ctx, ev) })
	t.writer.termEnded = t.ctx.Done()
	n.term = t
	go func() {
		if err := t.writer.run(ctx); err != nil {
			n.send(t.ctx, termRecordWritten{token: t.token, err: err})
		}
	}()
	debug.SetGCPercent(leaderGCPercent)
	n.termToken.Store(t.token)
	n.members.resetPolicyNodes()
	n.log.WithField("token", t.token).Info("term begins")
	value, _ := json.Marshal(termRecord{Node: n.settings.Node, Token: t.token, RecordsSuccession: true})
	x := t.writer.enqueue([]store.Record{{Key: termKey, Value: value}})
	// Callers' records follow the term's own record.
	n.termWriter.Store(t.writer)
	go func() {
		first, err := x.wait(t.ctx)
		n.send(t.ctx, termRecordWritten{token: t.token, offset: first, err: err})
	}()
}

// leaderGCPercent is the garbage collector's target on the leader, whose answers from workers
// make more garbage than all else. The memory limit of the process still holds.
const leaderGCPercent, defaultGCPercent = 300, 100

func (n *Node) endTerm(reason string) {
	debug.SetGCPercent(defaultGCPercent)
	n.log.WithFields(logrus.Fields{"token": n.term.token, "reason": reason}).Info("term ends")
	n.termWriter.Store(nil)
	n.admission.Store(nil)
	n.dispatching.Store(false)
	n.term.cancel()
	n.deps.Workers.CloseIdleConnections()
	n.term = nil
	n.termToken.Store(0)
}

func (n *Node) handleTermRecordWritten(ev termRecordWritten) {
	t := n.term
	if t == nil || t.token != ev.token {
		return
	}
	if ev.err != nil || ev.offset == unknownOffset {
		// Without the record's offset it is unknown which jobs precede the term.
		n.deps.Count("retry", "term-"+errorReason(ev.err))
		n.leadership.MarkLost()
		if t.handoverUntil > 0 {
			n.endTerm("another term has begun")
		}
		return
	}
	t.offset, t.recorded = ev.offset, true
}

// startDispatcher starts the dispatcher once everything before the term's record
// has been read.
func (n *Node) startDispatcher(t *term) []dispatch.Event {
	cat := n.desk.catalog.Load()
	if !t.recorded || cat == nil || !t.workersLoaded || n.table.position() <= t.offset {
		return nil
	}
	settings := n.dispatchSettings(t.token, t.offset)
	settings.LegacyToken = n.table.legacyToken()
	n.dispatching.Store(true)
	t.dispatcher = dispatch.New(settings, n.uptime(), time.Now().UnixMilli())
	events := []dispatch.Event{dispatch.CatalogChanged{Catalog: cat}}
	n.table.mu.RLock()
	defer n.table.mu.RUnlock()
	if b := n.table.runTimes; len(b) > 0 {
		events = append(events, dispatch.RunTimesRecorded{Snapshot: b})
	}
	events = append(events, n.table.succession.leadersEnded(n.uptime())...)
	for _, e := range sortedEngagements(n.table.registrations) {
		events = append(events, dispatch.WorkerRegistered{Registration: e, LastLeader: n.table.succession.lastLeader(e.Worker)})
	}
	for _, e := range n.table.jobsByOffset() {
		events = append(events, dispatch.JobAccepted{Job: e.job, Offset: e.offset, Progress: e.progress})
		if e.cancelled && e.progress.Final == "" {
			events = append(events, dispatch.JobCancelled{ID: e.job.ID})
		}
	}
	for id, e := range n.table.entries {
		if e.unmatchedCancel() {
			events = append(events, dispatch.JobCancelled{ID: id, WrittenMillis: e.cancelledMillis})
		}
	}
	n.log.WithFields(logrus.Fields{"token": t.token, "jobs": len(n.table.entries), "workers": len(t.workersByID),
		"engaged": len(n.table.registrations), "after_ms": (n.uptime() - t.startedAt).Milliseconds()}).Info("dispatching")
	n.deps.Observe("takeover", n.uptime()-t.startedAt)
	return append(events, dispatch.WorkersListed{Workers: t.sortedWorkers()})
}

func sortedEngagements(m map[string]dispatch.Registration) []dispatch.Registration {
	out := make([]dispatch.Registration, 0, len(m))
	for _, e := range m {
		out = append(out, e)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Worker < out[b].Worker })
	return out
}

// jobsByOffset returns the jobs in order of acceptance. The caller holds the lock.
func (t *jobTable) jobsByOffset() []*jobEntry {
	out := make([]*jobEntry, 0, len(t.entries))
	for _, e := range t.entries {
		if e.job != nil {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].offset < out[b].offset })
	return out
}

// stepDispatcher runs one step of the dispatcher and executes its effects.
func (n *Node) stepDispatcher(ctx context.Context, batch []dispatch.Event) {
	t := n.term
	if t == nil {
		return
	}
	if t.dispatcher == nil {
		if batch = n.startDispatcher(t); batch == nil {
			return
		}
	}
	batch = append(batch, t.takeDispatchEvents()...)
	batch = append(batch, dispatch.LeadershipConfirmed{Until: n.leadership.ConfirmedUntil()})
	began := time.Now()
	effects := t.dispatcher.Step(n.uptime(), began.UnixMilli(), batch...)
	n.deps.Observe("step", time.Since(began))
	for _, e := range effects {
		n.execute(t, e)
	}
	n.publishAdmission(t)
	n.stepMaintenance(t)
	n.logDecisions(t.dispatcher.Decisions())
	n.countDispatchReasons(t)
	t.steps.record(n.uptime())
}
