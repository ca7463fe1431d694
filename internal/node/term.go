package node

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/worker"
)

// term is the time in which this node holds the right to place. It begins with
// a record in the log of jobs that fences all former writers; the dispatcher
// starts when the table holds everything before that record.
type term struct {
	token  int64
	offset int64
	begun  bool
	began  time.Duration
	core   *dispatch.Core
	listed map[string]worker.Info
	// listedOnce tells that the list of workers was read in this term.
	listedOnce bool
	// counted is what of the dispatcher's counters was passed on.
	counted dispatch.Counters
	writer  *writer
	// duty is what the term has to do with machines, nil while there is nothing.
	duty   *duty
	cancel context.CancelFunc
	ctx    context.Context
	// handoverUntil is until when the term goes on after its release, or 0.
	handoverUntil time.Duration
}

// producerName is the name under which holders write progress.
const producerName = "holder"

func (n *Node) beginTerm(ctx context.Context) {
	t := &term{token: n.tenure.Token(), listed: map[string]worker.Info{}, began: n.now()}
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.writer = newWriter(n.ports.Store, t.token, n.set.MaxRequestBytes, n.reader, n.log, n.ports.Count, func(ev recordsWritten) { n.send(t.ctx, ev) })
	t.writer.ended = t.ctx.Done()
	n.term = t
	go func() {
		if err := t.writer.run(ctx); err != nil {
			n.send(t.ctx, termBegun{token: t.token, err: err})
		}
	}()
	n.holding.Store(t.token)
	n.members.calm()
	n.log.WithField("token", t.token).Info("term begins")
	value, _ := json.Marshal(termRecord{Node: n.set.Node, Token: t.token})
	x := t.writer.enqueue([]store.Record{{Key: termKey, Value: value}})
	// Callers' records follow the term's own.
	n.writer.Store(t.writer)
	go func() {
		first, err := x.wait(t.ctx)
		n.send(t.ctx, termBegun{token: t.token, offset: first, err: err})
	}()
}

func (n *Node) endTerm(why string) {
	n.log.WithFields(logrus.Fields{"token": n.term.token, "reason": why}).Info("term ends")
	n.writer.Store(nil)
	n.term.cancel()
	n.term = nil
	n.holding.Store(0)
}

func (n *Node) takeTerm(ev termBegun) {
	t := n.term
	if t == nil || t.token != ev.token {
		return
	}
	if ev.err != nil || ev.offset == unknownOffset {
		// Without the record's offset it isn't known which jobs are older.
		n.ports.Count("retry", "term-"+errorReason(ev.err))
		n.tenure.MarkLost()
		if t.handoverUntil > 0 {
			n.endTerm("another term has begun")
		}
		return
	}
	t.offset, t.begun = ev.offset, true
}

// startCore starts the dispatcher once everything before the term's record was read.
func (n *Node) startCore(t *term) []dispatch.Event {
	cat := n.desk.catalog.Load()
	if !t.begun || cat == nil || !t.listedOnce || n.table.position() <= t.offset {
		return nil
	}
	t.core = dispatch.New(n.dispatchSettings(t.token, t.offset), n.now(), time.Now().UnixMilli())
	events := []dispatch.Event{dispatch.CatalogChanged{Catalog: cat}}
	n.table.mu.RLock()
	defer n.table.mu.RUnlock()
	for _, e := range sortedEngagements(n.table.engaged) {
		events = append(events, dispatch.WorkerRegistered{Registration: e})
	}
	for _, e := range n.table.byOffset() {
		events = append(events, dispatch.JobAccepted{Job: e.job, Offset: e.offset, Progress: e.progress})
		if e.cancelled && e.progress.Final == "" {
			events = append(events, dispatch.JobCancelled{ID: e.job.ID})
		}
	}
	n.log.WithFields(logrus.Fields{"token": t.token, "jobs": len(n.table.entries), "workers": len(t.listed),
		"engaged": len(n.table.engaged), "after_ms": (n.now() - t.began).Milliseconds()}).Info("dispatching")
	n.ports.Observe("takeover", n.now()-t.began)
	return append(events, dispatch.WorkersListed{Workers: t.workers()})
}

func sortedEngagements(m map[string]dispatch.Registration) []dispatch.Registration {
	out := make([]dispatch.Registration, 0, len(m))
	for _, e := range m {
		out = append(out, e)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Worker < out[b].Worker })
	return out
}

// byOffset returns the jobs in order of acceptance. The caller holds the lock.
func (t *table) byOffset() []*entry {
	out := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		if e.job != nil {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].offset < out[b].offset })
	return out
}

// dispatch lets the dispatcher take a step and carries out what it wants.
func (n *Node) dispatch(ctx context.Context, batch []dispatch.Event) {
	t := n.term
	if t == nil {
		return
	}
	if t.core == nil {
		if batch = n.startCore(t); batch == nil {
			return
		}
	}
	batch = append(batch, t.takeOrders()...)
	batch = append(batch, dispatch.LeadershipConfirmed{Until: n.tenure.ConfirmedUntil()})
	began := time.Now()
	effects := t.core.Step(n.now(), began.UnixMilli(), batch...)
	n.ports.Observe("step", time.Since(began))
	for _, e := range effects {
		n.carryOut(t, e)
	}
	n.tendMachines(t)
	n.tell(t.core.Decisions())
	n.countReasons(t)
}

// commitRecords returns the log's records of a commit.
func commitRecords(c dispatch.Commit) ([]store.Record, error) {
	var out []store.Record
	add := func(key string, v any) error {
		b, err := json.Marshal(v)
		if err != nil {
			return errors.Wrap(err, key)
		}
		out = append(out, store.Record{Key: key, Value: b})
		return nil
	}
	// A life that is over is released before the next one of the same worker is engaged.
	for _, id := range c.Released {
		out = append(out, store.Record{Key: workerKey + id})
	}
	for _, p := range c.Progress {
		if err := add(progressKey+p.ID, p.Progress); err != nil {
			return nil, err
		}
		if p.Summary == nil {
			continue
		}
		// A start reads the newest record of each key: that of a job which has ended
		// needn't hold what its tasks were.
		if err := add(jobKey+p.ID, p.Summary); err != nil {
			return nil, err
		}
	}
	for _, e := range c.Registered {
		if err := add(workerKey+e.Worker, e); err != nil {
			return nil, err
		}
	}
	for _, id := range c.Purged {
		out = append(out, store.Record{Key: jobKey + id}, store.Record{Key: cancelKey + id}, store.Record{Key: progressKey + id})
	}
	return out, nil
}
