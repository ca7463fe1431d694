package node

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/tenure"
	"github.com/mimosaspool/mimosaspool/internal/worker"
)

// The events of the control goroutine, beside those of the dispatcher.
type (
	jobsRead      struct{ reading }
	tenureRead    struct{ reading }
	operatorsRead struct{ reading }
	workersRead   struct{ reading }
	membersRead   struct{ reading }
	// tenureActed brings the end of a claim or a beat.
	tenureActed struct {
		record tenure.Record
		offset int64
		err    error
		took   time.Duration
	}
	// termBegun brings the offset of a term's first record.
	termBegun struct {
		token, offset int64
		err           error
	}
	// recordsWritten brings what this node has written as the holder.
	recordsWritten struct {
		records []store.Record
		first   int64
		// sent is when the append was first sent.
		sent time.Time
	}
	// yielded tells that the holder of the token gives the right up.
	yielded struct{ token int64 }
	// holderAbsent tells that nothing listens at the holder's address.
	holderAbsent struct{ address string }
	// settingsChanged brings reloaded settings; a new term works by them.
	settingsChanged struct{ Settings }
	// coreEvent is for the dispatcher of the given term.
	coreEvent struct {
		token int64
		event dispatch.Event
	}
)

const (
	// tickEvery is how often the control goroutine looks at the time while it
	// dispatches. Otherwise it does when an act of the tenure is due, or each
	// idleTick while the act can't be done; at the latest after longestTick.
	tickEvery   = 25 * time.Millisecond
	idleTick    = 100 * time.Millisecond
	longestTick = 500 * time.Millisecond
)

// control is the one goroutine that owns the node's state.
func (n *Node) control(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	wakeAt := n.now()
	leave := n.leave
	for {
		var batch []dispatch.Event
		select {
		case <-ctx.Done():
			return
		case <-leave:
			leave = nil
			n.release(ctx)
		case ev := <-n.events:
			batch = n.take(ctx, ev, batch)
			batch = n.drain(ctx, batch)
		case <-timer.C:
			wakeAt = never
		}
		n.actTenure(ctx)
		n.dispatch(ctx, batch)
		n.followRight()
		n.publishInspection()
		if next := n.now() + n.tick(); next < wakeAt {
			wakeAt = next
			timer.Reset(next - n.now())
		}
	}
}

// never is later than any time.
const never = time.Duration(1<<63 - 1)

// tick is the time until the control goroutine has to look at the time again.
func (n *Node) tick() time.Duration {
	if n.term != nil {
		return n.term.tick(n.now())
	}
	at, ok := n.tenure.NextActionAt()
	switch left := at - n.now(); {
	case !ok:
		return longestTick
	case left <= 0:
		return idleTick
	default:
		return min(left, longestTick)
	}
}

// tick is the time until the dispatcher has to look at the time again.
func (t *term) tick(now time.Duration) time.Duration {
	if t.core == nil {
		return tickEvery
	}
	if at, ok := t.core.DeferredPass(); ok {
		return max(0, min(at-now, tickEvery))
	}
	return tickEvery
}

// drain takes the events that wait already, so that they share one step.
func (n *Node) drain(ctx context.Context, batch []dispatch.Event) []dispatch.Event {
	for range eventQueue {
		select {
		case ev := <-n.events:
			batch = n.take(ctx, ev, batch)
		default:
			return batch
		}
	}
	return batch
}

func (n *Node) take(ctx context.Context, ev any, batch []dispatch.Event) []dispatch.Event {
	switch ev := ev.(type) {
	case jobsRead:
		return n.takeJobs(ev.reading, batch)
	case recordsWritten:
		return n.takeWritten(ev, batch)
	case tenureRead:
		n.takeTenure(ev.reading)
	case operatorsRead:
		return n.takeOperators(ev.reading, batch)
	case workersRead:
		return n.takeWorkers(ev.reading, batch)
	case membersRead:
		n.takeMembers(ev.reading)
	case tenureActed:
		n.takeActed(ev)
	case termBegun:
		n.takeTerm(ev)
	case adviceEnded:
		n.members.ended(ev.node, ev.failed, n.now())
	case inspectAsked:
		n.inspector.ask(ev.Want)
	case yielded:
		n.tenure.LeaderSteppedDown(n.now(), ev.token)
	case holderAbsent:
		if h, ok := n.tenure.Leader(); ok && h.Address == ev.address {
			n.tenure.SuspectLeader(n.now())
		}
	case upkeepEvent, dutyRead:
		n.takeDuty(ev)
	case settingsChanged:
		n.set.Limits = ev.Limits
	case coreEvent:
		if n.term != nil && n.term.token == ev.token {
			return append(batch, ev.event)
		}
	}
	return batch
}

func (n *Node) takeJobs(r reading, batch []dispatch.Event) []dispatch.Event {
	if r.err != nil {
		return batch
	}
	if r.whole {
		n.table.replace(r.records, r.next)
	}
	n.recent.add(r)
	batch = n.takeRecords(r.records, r.next, batch)
	n.table.read(r)
	return batch
}

// takeWritten takes in this node's own records without waiting to read them back.
func (n *Node) takeWritten(ev recordsWritten, batch []dispatch.Event) []dispatch.Event {
	numbered := make([]store.StoredRecord, len(ev.records))
	for i, r := range ev.records {
		numbered[i] = store.StoredRecord{Offset: ev.first + int64(i), Record: r}
	}
	if ev.first > n.table.position() {
		return n.takeRecords(numbered, 0, batch)
	}
	// Nothing that others have written lies in between, so that the append has
	// shown the log's end as a reading would have.
	r := reading{records: numbered, next: ev.first + int64(len(numbered)), sent: ev.sent, at: ev.sent, caughtUp: true}
	n.views.note(n.viewName(jobsPartition), nil, r)
	n.recent.add(r)
	batch = n.takeRecords(numbered, r.next, batch)
	n.table.read(r)
	return batch
}

func (n *Node) takeRecords(records []store.StoredRecord, next int64, batch []dispatch.Event) []dispatch.Event {
	changes := n.table.apply(records, next)
	n.desk.readBack(changes)
	if n.term == nil || n.term.core == nil {
		return batch
	}
	for _, ch := range changes {
		if ch.term > n.term.token {
			// What follows in the log is another holder's to start.
			n.endTerm("another term has begun")
			n.tenure.MarkLost()
			return nil
		}
		if ch.accepted != nil {
			batch = append(batch, dispatch.JobAccepted{Job: ch.accepted.job, Offset: ch.accepted.offset, Progress: ch.accepted.progress})
			if ch.accepted.cancelled {
				batch = append(batch, dispatch.JobCancelled{ID: ch.accepted.job.ID})
			}
		} else {
			batch = append(batch, dispatch.JobCancelled{ID: ch.cancelled})
		}
	}
	return batch
}

func (n *Node) takeTenure(r reading) {
	if r.err != nil {
		n.tenure.HandleReadError(n.now())
		return
	}
	offsets := make([]int64, 0, len(r.records))
	records := make([]tenure.Record, 0, len(r.records))
	for _, x := range r.records {
		rec, err := tenure.Decode(x.Value)
		if err != nil {
			n.ports.Count("unreadable", "tenure")
			continue
		}
		offsets, records = append(offsets, x.Offset), append(records, rec)
	}
	before := n.tenure.Token()
	n.tenure.HandleRecords(n.now(), offsets, records, r.next)
	if h, ok := n.tenure.Leader(); ok {
		n.desk.slowness.Store(int64(time.Duration(h.StoreMillis) * time.Millisecond))
	}
	if t := n.tenure.Token(); t != before {
		n.publishPeers()
		h, _ := n.tenure.Leader()
		n.log.WithFields(logrus.Fields{"holder": h.Node, "token": t, "former": before}).Info("the right to place has moved")
	} else if t == 0 {
		n.deferClaims(n.Members())
	}
}

// actTenure claims or confirms the right when it is time, and begins or ends a term.
func (n *Node) actTenure(ctx context.Context) {
	if n.term != nil && n.passedOn() {
		n.endTerm("the right has passed on")
	}
	if n.term != nil && n.reader.othersReach(yieldAfter) && n.now() > n.tenure.ConfirmedAt()+yieldUnconfirmed+slowStore*n.tenure.StoreLatency() {
		n.yield(ctx)
	}
	if n.term == nil && n.tenure.IsLeader() && !n.desk.leaving.Load() {
		n.beginTerm(ctx)
	}
	act := n.tenure.NextAction(n.now())
	switch {
	case act == tenure.Wait, act == tenure.Claim && !n.mayClaim(), act == tenure.ReleaseFormer && n.reader.isDown():
		return
	}
	rec, end := n.tenure.BeginAction(n.now(), act, n.address)
	go n.appendTenure(ctx, rec, end)
}

// passedOn reports whether the term is over. A term that is handed over goes on
// until the next one fences it.
func (n *Node) passedOn() bool {
	if n.term.handoverUntil > 0 {
		return n.now() >= n.term.handoverUntil
	}
	return !n.tenure.IsLeader() || n.tenure.Token() != n.term.token
}

// yieldAfter is how long this node must be unable to reach the store, while
// others can, before it gives the right up.
const yieldAfter = 400 * time.Millisecond

// yieldUnconfirmed is how old the last confirmed beat must be for that, and
// slowStore of the store's answers more: a slow store is no reason.
const (
	yieldUnconfirmed = 700 * time.Millisecond
	slowStore        = 3
)

// yield gives the right up and tells the others, since it can't tell the store.
func (n *Node) yield(ctx context.Context) {
	token := n.term.token
	n.endTerm("the store is in reach of others only")
	n.tenure.MarkLost()
	for _, address := range n.otherAddresses() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, yieldTimeout)
			defer cancel()
			if err := n.ports.Peers.Yield(ctx, address, token); err != nil {
				n.ports.Count("loss", "yield-unanswered")
			}
		}()
	}
}

// yieldTimeout bounds a peer's answer to a yield.
const yieldTimeout = 500 * time.Millisecond

// mayClaim reports whether this node could dispatch: it knows the
// configuration and reads the log itself.
func (n *Node) mayClaim() bool {
	return !n.reader.isDown() && n.desk.catalog.Load() != nil && n.table.fresh(time.Now(), storeSilence)
}

// tenureTimeout bounds the store's answer to a claim or a beat.
const tenureTimeout = 1500 * time.Millisecond

func (n *Node) appendTenure(ctx context.Context, rec tenure.Record, end int64) {
	backCtx, cancelBack := n.reader.untilBack(ctx)
	defer cancelBack()
	callCtx, cancel := context.WithTimeout(backCtx, tenureTimeout)
	defer cancel()
	began := time.Now()
	res, err := n.ports.Store.Append(callCtx, tenurePartition, []store.Record{{Key: "holder", Value: rec.Encode()}}, store.AppendOptions{ExpectedEnd: &end})
	n.send(ctx, tenureActed{record: rec, offset: res.First, err: err, took: time.Since(began)})
}

func (n *Node) takeActed(ev tenureActed) {
	n.tenure.CompleteAction(n.now(), ev.record, ev.offset, ev.err == nil)
	n.tenure.SetStoreLatency(ev.took)
	if ev.err != nil {
		n.ports.Count("retry", "tenure-"+errorReason(ev.err))
		return
	}
	if ev.record.Resigned {
		n.log.WithField("token", ev.record.Token).Info("the right to place is left to larger nodes")
	}
	if ev.record.Token == 0 {
		n.log.WithFields(logrus.Fields{"token": n.tenure.Token(), "quiet": "yes"}).Info("claimed the right to place")
	}
}

// release gives the right back, for a planned stop. The term goes on until the
// next holder's begins: its first record fences this one's writes, and its
// token this one's orders.
func (n *Node) release(ctx context.Context) {
	if !n.tenure.IsLeader() {
		if n.term != nil {
			n.endTerm("a planned stop")
		}
		n.tenure.Resign()
		close(n.left)
		return
	}
	if n.term != nil {
		n.term.handoverUntil = n.now() + handoverTime
		n.log.WithField("token", n.term.token).Info("the term is handed over")
	}
	rec := n.tenure.Resign()
	go func() {
		defer close(n.left)
		callCtx, cancel := context.WithTimeout(ctx, tenureTimeout)
		defer cancel()
		_, err := n.ports.Store.Append(callCtx, tenurePartition, []store.Record{{Key: "holder", Value: rec.Encode()}}, store.AppendOptions{})
		if err != nil {
			n.ports.Count("loss", "release-"+errorReason(err))
		}
	}()
}

// handoverTime is how long a leaving holder goes on at most; the process lives
// on for longer.
const handoverTime = 2400 * time.Millisecond

// errorReason names a store's error for counters.
func errorReason(err error) string {
	switch {
	case errors.Is(err, store.ErrLoading):
		return "loading"
	case errors.Is(err, store.ErrNotExecuted):
		return "not-done"
	case errors.Is(err, store.ErrOutcomeUnknown):
		return "unanswered"
	case errors.Is(err, store.ErrFenced):
		return "fenced"
	case errors.As(err, new(*store.ConflictError)):
		return "conflict"
	case errors.As(err, new(*store.SequenceError)):
		return "sequence"
	}
	return "other"
}

func (n *Node) takeOperators(r reading, batch []dispatch.Event) []dispatch.Event {
	if r.err != nil {
		return batch
	}
	if !r.at.IsZero() {
		n.desk.configured.Store(r.at.UnixNano())
	}
	for _, rec := range r.records {
		cat, err := n.ports.Feeds.Catalog(rec.Record)
		if err != nil {
			n.ports.Count("unreadable", "configuration")
			n.log.WithError(err).Warn("a configuration can't be read")
			continue
		}
		if cat == nil {
			n.takeWave(rec.Record)
			continue
		}
		if old := n.desk.catalog.Load(); old != nil && cat.Version <= old.Version {
			continue
		}
		n.desk.catalog.Store(cat)
		n.log.WithFields(logrus.Fields{"version": cat.Version, "offset": rec.Offset}).Info("configuration in force")
		if n.term != nil && n.term.core != nil {
			batch = append(batch, dispatch.CatalogChanged{Catalog: cat})
		}
	}
	return batch
}

func (n *Node) takeWave(rec store.Record) {
	w, err := n.ports.Feeds.Wave(rec)
	if err != nil {
		n.ports.Count("unreadable", "wave")
		return
	}
	if w != nil {
		n.log.WithField("wave", w.Number).Info("an upkeep wave is asked for")
	}
	n.keepWave(rec.Key, w)
}

// takeWorkers takes in the platform's list of workers.
func (n *Node) takeWorkers(r reading, batch []dispatch.Event) []dispatch.Event {
	t := n.term
	if r.err != nil || t == nil {
		return batch
	}
	if r.whole {
		clear(t.listed)
	} else if !t.listedOnce {
		return batch // it goes on from a former term's
	}
	for _, rec := range r.records {
		if len(rec.Value) == 0 {
			delete(t.listed, rec.Key)
			continue
		}
		info, err := n.ports.Feeds.Worker(rec.Record)
		if err != nil {
			n.ports.Count("unreadable", "worker-entry")
			continue
		}
		t.listed[info.ID] = info
	}
	t.listedOnce = true
	if t.core == nil || len(r.records) == 0 && !r.whole {
		return batch
	}
	return append(batch, dispatch.WorkersListed{Workers: t.workers()})
}

func (t *term) workers() []worker.Info {
	infos := make([]worker.Info, 0, len(t.listed))
	for _, i := range t.listed {
		infos = append(infos, i)
	}
	sort.Slice(infos, func(a, b int) bool { return infos[a].ID < infos[b].ID })
	return infos
}

func (n *Node) takeMembers(r reading) {
	if r.err == nil {
		known := n.members.records != nil
		n.members.read(r.records, r.whole)
		n.publishPeers()
		if !known {
			close(n.membersRead)
		}
	}
}

// publishPeers tells the goroutines of traffic where the other nodes are.
func (n *Node) publishPeers() {
	address := n.readMembership()
	n.holder.Store(&address)
	others := n.members.addresses(address)
	n.others.Store(&others)
}
