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

// Events of the control goroutine, besides those of the dispatcher.
type (
	jobsRead       struct{ readResult }
	leadershipRead struct{ readResult }
	operatorsRead  struct{ readResult }
	workersRead    struct{ readResult }
	membersRead    struct{ readResult }
	// leadershipAppended is the result of appending a claim, a heartbeat or a release.
	leadershipAppended struct {
		record tenure.Record
		offset int64
		err    error
		took   time.Duration
	}
	// termRecordWritten carries the offset of a term's first record.
	termRecordWritten struct {
		token, offset int64
		err           error
	}
	// recordsWritten carries records that this node has written as the leader.
	recordsWritten struct {
		records []store.Record
		first   int64
		// sent is when the append was first sent.
		sent time.Time
	}
	// leaderSteppedDown reports that the leader with the given token steps down.
	leaderSteppedDown struct{ token int64 }
	// leaderUnreachable reports that a connection to the leader's address was refused.
	leaderUnreachable struct{ address string }
	// settingsChanged carries reloaded settings, which apply from the next term on.
	settingsChanged struct{ Settings }
	// dispatcherEvent is an event for the dispatcher of the given term.
	dispatcherEvent struct {
		token int64
		event dispatch.Event
	}
)

const (
	// dispatchTick is how often the control goroutine checks the time while it
	// dispatches. Otherwise it checks when a leadership action is due, every
	// blockedTick while that action is not possible, and at least every maxTick.
	dispatchTick = 25 * time.Millisecond
	blockedTick  = 100 * time.Millisecond
	maxTick      = 500 * time.Millisecond
)

// controlLoop runs the one goroutine that owns the node's state.
func (n *Node) controlLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	wakeAt := n.uptime()
	leave := n.leaveRequested
	for {
		var batch []dispatch.Event
		select {
		case <-ctx.Done():
			return
		case <-leave:
			leave = nil
			n.releaseLeadership(ctx)
		case ev := <-n.events:
			n.awaitStepGap(ctx)
			batch = n.handleEvent(ctx, ev, batch)
			batch = n.drainEvents(ctx, batch)
		case <-timer.C:
			wakeAt = never
		}
		n.updateLeadership(ctx)
		n.stepDispatcher(ctx, batch)
		n.publishLeadershipChange()
		n.publishInspection()
		if next := n.uptime() + n.untilNextTick(); next < wakeAt {
			wakeAt = next
			timer.Reset(next - n.uptime())
		}
	}
}

const (
	// busyStepGap is the least time between two steps of a busy dispatcher. Workers' answers
	// come one by one, thousands a second on a large site, and a step costs as much for one
	// as for several.
	busyStepGap = 2 * time.Millisecond
	// busySteps is the number of steps in stepWindow from which on a dispatcher is busy.
	stepWindow = 100 * time.Millisecond
	busySteps  = 60
)

// stepRate tells how often the dispatcher steps.
type stepRate struct {
	// lastAt is when the last step ended, windowAt when the present window began.
	lastAt, windowAt time.Duration
	steps            int
	busy             bool
}

// record counts a step that has ended.
func (r *stepRate) record(now time.Duration) {
	r.lastAt = now
	if now-r.windowAt >= stepWindow {
		// Steps that wait for the gap still show that there is much to do.
		r.busy = r.steps >= busySteps || r.busy && r.steps >= busySteps/2
		r.windowAt, r.steps = now, 0
	}
	r.steps++
}

// gap returns how long the next step should wait for more events.
func (r *stepRate) gap(now time.Duration) time.Duration {
	if !r.busy {
		return 0
	}
	return r.lastAt + busyStepGap - now
}

// awaitStepGap lets more events come if the dispatcher is busy and has stepped just now.
func (n *Node) awaitStepGap(ctx context.Context) {
	if n.term != nil && n.term.dispatcher != nil {
		sleepContext(ctx, n.term.steps.gap(n.uptime()))
	}
}

// never is later than any other time.
const never = time.Duration(1<<63 - 1)

// untilNextTick returns the time until the control goroutine must check the time
// again.
func (n *Node) untilNextTick() time.Duration {
	if n.term != nil {
		return n.term.untilNextTick(n.uptime())
	}
	at, ok := n.leadership.NextActionAt()
	switch left := at - n.uptime(); {
	case !ok:
		return maxTick
	case left <= 0:
		return blockedTick
	default:
		return min(left, maxTick)
	}
}

// untilNextTick returns the time until the dispatcher must check the time again.
func (t *term) untilNextTick(now time.Duration) time.Duration {
	if t.dispatcher == nil {
		return dispatchTick
	}
	if at, ok := t.dispatcher.DeferredPass(); ok {
		return max(0, min(at-now, dispatchTick))
	}
	return dispatchTick
}

// drainEvents handles the events that are already queued, so that they share one
// step.
func (n *Node) drainEvents(ctx context.Context, batch []dispatch.Event) []dispatch.Event {
	for range eventQueueSize {
		select {
		case ev := <-n.events:
			batch = n.handleEvent(ctx, ev, batch)
		default:
			return batch
		}
	}
	return batch
}

func (n *Node) handleEvent(ctx context.Context, ev any, batch []dispatch.Event) []dispatch.Event {
	switch ev := ev.(type) {
	case jobsRead:
		return n.handleJobsRead(ev.readResult, batch)
	case recordsWritten:
		return n.handleRecordsWritten(ev, batch)
	case leadershipRead:
		n.handleLeadershipRead(ev.readResult)
	case operatorsRead:
		return n.handleOperatorsRead(ev.readResult, batch)
	case workersRead:
		return n.handleWorkersRead(ev.readResult, batch)
	case membersRead:
		n.handleMembersRead(ev.readResult)
	case leadershipAppended:
		n.handleLeadershipAppended(ev)
	case termRecordWritten:
		n.handleTermRecordWritten(ev)
	case policyCallDone:
		n.members.handlePolicyCallDone(ev.node, ev.failed, n.uptime())
	case inspectRequested:
		n.inspector.add(ev.InspectRequest)
	case leaderSteppedDown:
		n.leadership.LeaderSteppedDown(n.uptime(), ev.token)
	case leaderUnreachable:
		if h, ok := n.leadership.Leader(); ok && h.Address == ev.address {
			n.leadership.SuspectLeader(n.uptime())
		}
	case maintenanceEvent, maintenanceStateRead:
		n.handleMaintenanceEvent(ev)
	case settingsChanged:
		n.settings.Limits = ev.Limits
		n.desk.keys.configure(&ev.Limits)
	case dispatcherEvent:
		if n.term != nil && n.term.token == ev.token {
			return append(batch, ev.event)
		}
	}
	return batch
}

func (n *Node) handleJobsRead(r readResult, batch []dispatch.Event) []dispatch.Event {
	if r.err != nil {
		return batch
	}
	if r.full {
		n.table.prune(r.records, r.nextOffset)
	}
	n.recent.add(r)
	batch = n.applyJobRecords(r.records, r.nextOffset, batch)
	n.table.recordRead(r)
	return batch
}

// handleRecordsWritten applies this node's own records without waiting to read them
// back.
func (n *Node) handleRecordsWritten(ev recordsWritten, batch []dispatch.Event) []dispatch.Event {
	numbered := make([]store.StoredRecord, len(ev.records))
	for i, r := range ev.records {
		numbered[i] = store.StoredRecord{Offset: ev.first + int64(i), Record: r}
	}
	if ev.first > n.table.position() {
		return n.applyJobRecords(numbered, 0, batch)
	}
	// No other node's records lie in between, so the append has shown the end of the
	// log just as a read would have.
	r := readResult{records: numbered, nextOffset: ev.first + int64(len(numbered)), sentAt: ev.sent, readAt: ev.sent, reachedEnd: true}
	n.views.recordRead(n.viewName(jobsPartition), nil, r)
	n.recent.add(r)
	batch = n.applyJobRecords(numbered, r.nextOffset, batch)
	n.table.recordRead(r)
	return batch
}

func (n *Node) applyJobRecords(records []store.StoredRecord, next int64, batch []dispatch.Event) []dispatch.Event {
	changes := n.table.apply(records, next)
	n.desk.forgetStored(changes)
	if n.term == nil || n.term.dispatcher == nil {
		return batch
	}
	for _, ch := range changes {
		if ch.term > n.term.token {
			// Only the next leader may start what follows in the log.
			n.endTerm("another term has begun")
			n.leadership.MarkLost()
			return nil
		}
		if ch.accepted != nil {
			batch = append(batch, dispatch.JobAccepted{Job: ch.accepted.job, Offset: ch.accepted.offset, Progress: ch.accepted.progress})
			if ch.accepted.cancelled {
				batch = append(batch, dispatch.JobCancelled{ID: ch.accepted.job.ID, WrittenMillis: ch.accepted.cancelledMillis})
			}
		} else {
			batch = append(batch, dispatch.JobCancelled{ID: ch.cancelled, WrittenMillis: ch.cancelledMillis})
		}
	}
	return batch
}

func (n *Node) handleLeadershipRead(r readResult) {
	if r.err != nil {
		n.leadership.HandleReadError(n.uptime())
		return
	}
	offsets := make([]int64, 0, len(r.records))
	records := make([]tenure.Record, 0, len(r.records))
	for _, x := range r.records {
		rec, err := tenure.Decode(x.Value)
		if err != nil {
			n.deps.Count("unreadable", "tenure")
			continue
		}
		offsets, records = append(offsets, x.Offset), append(records, rec)
	}
	previousToken := n.leadership.Token()
	n.leadership.HandleRecords(n.uptime(), offsets, records, r.nextOffset)
	if h, ok := n.leadership.Leader(); ok {
		n.desk.storeLatency.Store(int64(time.Duration(h.StoreMillis) * time.Millisecond))
	}
	if t := n.leadership.Token(); t != previousToken {
		n.publishPeerAddresses()
		h, _ := n.leadership.Leader()
		n.log.WithFields(logrus.Fields{"holder": h.Node, "token": t, "former": previousToken}).Info("the right to place has moved")
	} else if t == 0 {
		n.updateClaimDeferral(n.Members())
	}
}

// updateLeadership claims or renews leadership when that is due, and begins or ends
// this node's term.
func (n *Node) updateLeadership(ctx context.Context) {
	if n.term != nil && n.termOver() {
		n.endTerm("the right has passed on")
	}
	if n.term != nil && n.storeReader.isolatedFor(stepDownAfter) && n.uptime() > n.leadership.ConfirmedAt()+stepDownUnconfirmed+stepDownStoreFactor*n.leadership.StoreLatency() {
		n.stepDown(ctx)
	}
	n.handOverIfOverloaded(ctx)
	if n.term == nil && n.leadership.IsLeader() && !n.desk.leaving.Load() {
		n.beginTerm(ctx)
	}
	act := n.leadership.NextAction(n.uptime())
	switch {
	case act == tenure.Wait, act == tenure.Claim && !n.canClaim(), act == tenure.ReleasePrevious && n.storeReader.isDown():
		return
	}
	rec, end := n.leadership.BeginAction(n.uptime(), act, n.address)
	go n.appendLeadership(ctx, rec, end)
}

// termOver reports whether the term is over. During a handover the term continues
// until the next one fences it, or the handover times out.
func (n *Node) termOver() bool {
	if n.term.handoverUntil > 0 {
		return n.uptime() >= n.term.handoverUntil
	}
	return !n.leadership.IsLeader() || n.leadership.Token() != n.term.token
}

// stepDownAfter is how long this node must be unable to reach the store, while
// others can, before it steps down.
const stepDownAfter = 400 * time.Millisecond

// To step down, the last confirmed heartbeat must also be older than
// stepDownUnconfirmed plus stepDownStoreFactor times the store's response time: a
// slow store is no reason to step down.
const (
	stepDownUnconfirmed = 700 * time.Millisecond
	stepDownStoreFactor = 3
)

// stepDown gives up leadership and tells the other nodes directly, because the
// store is unreachable.
func (n *Node) stepDown(ctx context.Context) {
	token := n.term.token
	n.endTerm("the store is in reach of others only")
	n.leadership.MarkLost()
	for _, address := range n.peerAddresses() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, stepDownTimeout)
			defer cancel()
			if err := n.deps.Peers.NotifyStepDown(ctx, address, token); err != nil {
				n.deps.Count("loss", "yield-unanswered")
			}
		}()
	}
}

// stepDownTimeout bounds a peer's answer to NotifyStepDown.
const stepDownTimeout = 500 * time.Millisecond

// canClaim reports whether this node could dispatch: it knows the configuration and
// reads the log itself.
func (n *Node) canClaim() bool {
	return !n.storeReader.isDown() && n.desk.catalog.Load() != nil && n.table.isFresh(time.Now(), maxStoreSilence)
}

// leadershipAppendTimeout bounds the store's answer to a leadership record.
const leadershipAppendTimeout = 1500 * time.Millisecond

func (n *Node) appendLeadership(ctx context.Context, rec tenure.Record, end int64) {
	backCtx, cancelBack := n.storeReader.cancelOnRecovery(ctx)
	defer cancelBack()
	callCtx, cancel := context.WithTimeout(backCtx, leadershipAppendTimeout)
	defer cancel()
	began := time.Now()
	res, err := n.deps.Store.Append(callCtx, tenurePartition, []store.Record{{Key: "holder", Value: rec.Encode()}}, store.AppendOptions{ExpectedEnd: &end})
	n.send(ctx, leadershipAppended{record: rec, offset: res.First, err: err, took: time.Since(began)})
}

func (n *Node) handleLeadershipAppended(ev leadershipAppended) {
	n.leadership.CompleteAction(n.uptime(), ev.record, ev.offset, ev.err == nil)
	n.leadership.SetStoreLatency(ev.took)
	if ev.err != nil {
		n.deps.Count("retry", "tenure-"+errorReason(ev.err))
		return
	}
	if ev.record.Resigned {
		n.log.WithField("token", ev.record.Token).Info("the right to place is left to larger nodes")
	}
	if ev.record.Token == 0 {
		n.log.WithFields(logrus.Fields{"token": n.leadership.Token(), "quiet": "yes"}).Info("claimed the right to place")
	}
}

// releaseLeadership releases leadership for a planned stop. The term continues
// until the next leader's begins: the next term's first record fences this term's
// writes, and its token fences this term's orders.
func (n *Node) releaseLeadership(ctx context.Context) {
	if !n.leadership.IsLeader() {
		if n.term != nil {
			n.endTerm("a planned stop")
		}
		n.leadership.Resign()
		close(n.leadershipReleased)
		return
	}
	if n.term != nil {
		n.term.handoverUntil = n.uptime() + maxHandoverTime
		n.log.WithField("token", n.term.token).Info("the term is handed over")
	}
	record := n.leadership.Resign()
	go func() {
		defer close(n.leadershipReleased)
		n.appendRelease(ctx, record, 1)
	}()
}

// maxHandoverTime is how long a leaving leader continues at most. The process
// outlives it.
const maxHandoverTime = 2400 * time.Millisecond

// errorReason returns the counter reason of a store error.
func errorReason(err error) string {
	switch {
	case errors.Is(err, store.ErrLoading):
		return "loading"
	case errors.Is(err, store.ErrRejected):
		return "rejected"
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

func (n *Node) handleOperatorsRead(r readResult, batch []dispatch.Event) []dispatch.Event {
	if r.err != nil {
		return batch
	}
	for _, rec := range r.records {
		cat, err := n.deps.Feeds.DecodeCatalog(rec.Record)
		if err != nil {
			n.deps.Count("unreadable", "configuration")
			n.log.WithError(err).Warn("a configuration can't be read")
			continue
		}
		if cat == nil {
			n.handleWaveRecord(rec.Record)
			continue
		}
		if old := n.desk.catalog.Load(); old != nil && cat.Version <= old.Version {
			continue
		}
		n.desk.catalog.Store(cat)
		n.table.room.SetWeights(accountWeights(cat))
		n.log.WithFields(logrus.Fields{"version": cat.Version, "offset": rec.Offset}).Info("configuration in force")
		if n.term != nil && n.term.dispatcher != nil {
			batch = append(batch, dispatch.CatalogChanged{Catalog: cat})
		}
	}
	// Only now, since the read says nothing good of the configuration before: its age must
	// not admit keys that the new one has revoked.
	if !r.readAt.IsZero() {
		n.desk.configReadAt.Store(r.readAt.UnixNano())
		n.desk.keys.configurationRead(r)
	}
	return batch
}

func (n *Node) handleWaveRecord(rec store.Record) {
	w, err := n.deps.Feeds.DecodeWave(rec)
	if err != nil {
		n.deps.Count("unreadable", "wave")
		return
	}
	if w != nil {
		n.log.WithField("wave", w.Number).Info("an upkeep wave is asked for")
	}
	n.updateWave(rec.Key, w)
}

// handleWorkersRead applies the platform's list of workers.
func (n *Node) handleWorkersRead(r readResult, batch []dispatch.Event) []dispatch.Event {
	t := n.term
	if r.err != nil || t == nil {
		return batch
	}
	reported := t.unreadableWorkers
	if r.full {
		clear(t.workersByID)
		t.unreadableWorkers = nil
	} else if !t.workersLoaded {
		return batch // this read continues one of a former term
	}
	for _, rec := range r.records {
		if len(rec.Value) == 0 {
			delete(t.workersByID, rec.Key)
			delete(t.unreadableWorkers, rec.Key)
			continue
		}
		info, err := n.deps.Feeds.DecodeWorker(rec.Record)
		if err != nil {
			n.deps.Count("unreadable", "worker-entry")
			if !reported[rec.Key] && !t.unreadableWorkers[rec.Key] {
				n.log.WithError(err).Warn("a worker's entry can't be read")
			}
			t.markUnreadable(rec.Key)
			continue
		}
		if info.Born < 0 || info.Born > time.Now().Add(maxBornAhead).UnixMilli() {
			info.Born = 0
		}
		t.workersByID[info.ID] = info
		delete(t.unreadableWorkers, rec.Key)
	}
	t.workersLoaded = true
	if t.dispatcher == nil || len(r.records) == 0 && !r.full {
		return batch
	}
	return append(batch, dispatch.WorkersListed{Workers: t.sortedWorkers()})
}

// maxBornAhead is how far ahead of this node's clock a worker's start time may be.
// A time further ahead counts as not reported, so that a clock that is set wrong
// excludes no worker.
const maxBornAhead = 24 * time.Hour

func (t *term) markUnreadable(key string) {
	if t.unreadableWorkers == nil {
		t.unreadableWorkers = map[string]bool{}
	}
	t.unreadableWorkers[key] = true
}

func (t *term) sortedWorkers() []worker.Info {
	infos := make([]worker.Info, 0, len(t.workersByID))
	for _, i := range t.workersByID {
		infos = append(infos, i)
	}
	sort.Slice(infos, func(a, b int) bool { return infos[a].ID < infos[b].ID })
	return infos
}

func (n *Node) handleMembersRead(r readResult) {
	if r.err == nil {
		known := n.members.records != nil
		n.members.update(r.records, r.full)
		n.publishPeerAddresses()
		if !known {
			close(n.membersLoaded)
		}
	}
}

// publishPeerAddresses publishes the other nodes' addresses to the goroutines that
// call them.
func (n *Node) publishPeerAddresses() {
	address := n.publishMembership()
	n.leaderAddr.Store(&address)
	others := n.members.addresses(address)
	n.peerAddrs.Store(&others)
}
