package node

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/store"
)

// viewTracker tracks the age of the node's views. It may be used concurrently.
type viewTracker struct {
	log    logrus.FieldLogger
	mu     sync.Mutex
	byName map[string]*viewState
}

// viewState is the read state of one feed.
type viewState struct {
	readAt time.Time
	// failedAt is when reads began to fail, zero if the last one succeeded.
	failedAt time.Time
	active   func() bool
}

func newViewTracker(log logrus.FieldLogger) *viewTracker {
	return &viewTracker{log: log, byName: map[string]*viewState{}}
}

// viewName returns the name of a feed in logs and metrics.
func (n *Node) viewName(p store.Partition) string {
	switch p {
	case jobsPartition:
		return "jobs"
	case tenurePartition:
		return "tenure"
	case memberPartition:
		return "members"
	case n.deps.Feeds.Operators:
		return "configuration"
	case n.deps.Feeds.Workers:
		return "workers"
	}
	return p.Topic
}

// recordRead records the result of a read, and logs when a feed starts to fail
// or recovers.
func (v *viewTracker) recordRead(name string, active func() bool, r readResult) {
	v.mu.Lock()
	state := v.byName[name]
	if state == nil {
		state = &viewState{active: active}
		v.byName[name] = state
	}
	failedAt, readAt := state.failedAt, state.readAt
	switch {
	case r.err == nil:
		state.failedAt = time.Time{}
		if !r.readAt.IsZero() {
			state.readAt = r.readAt
		}
	case failedAt.IsZero():
		state.failedAt = r.readAt
	}
	v.mu.Unlock()
	switch {
	case r.err != nil && failedAt.IsZero():
		f := logrus.Fields{"kind": "dependency-lost", "view": name, "reason": errorReason(r.err)}
		if !readAt.IsZero() {
			f["age_ms"] = r.readAt.Sub(readAt).Milliseconds()
		}
		v.log.WithFields(f).WithError(r.err).Warn("calls fail")
	case r.err == nil && !failedAt.IsZero():
		v.log.WithFields(logrus.Fields{"kind": "dependency-regained", "view": name,
			"after_ms": time.Since(failedAt).Milliseconds()}).Info("calls succeed again")
	}
}

// Services that are called, not read as feeds.
const (
	serviceAdvice   = "advice"
	serviceMachines = "machines"
)

// recordCall records the result of a call to a service, which is not a view and
// has no age.
func (v *viewTracker) recordCall(service string, err error) {
	v.recordRead(service, func() bool { return false }, readResult{err: err, readAt: time.Now()})
}

// ages returns the time since each active view was last read.
func (v *viewTracker) ages() map[string]time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[string]time.Duration{}
	for name, x := range v.byName {
		if !x.readAt.IsZero() && (x.active == nil || x.active()) {
			out[name] = time.Since(x.readAt)
		}
	}
	return out
}

// ViewAges returns the time since each of the node's views was last read without
// error. It may be called concurrently.
func (n *Node) ViewAges() map[string]time.Duration { return n.views.ages() }

// JobsViewAge returns the age of the jobs view, negative if it is not loaded.
func (n *Node) JobsViewAge() time.Duration {
	n.table.mu.RLock()
	defer n.table.mu.RUnlock()
	if !n.table.loaded {
		return -1
	}
	return time.Since(n.table.readAt)
}

// IsLeader reports whether this node is the leader. It may be called
// concurrently.
func (n *Node) IsLeader() bool { return n.termToken.Load() != 0 }

// countDispatchReasons adds to the metrics what the dispatcher has counted since
// the last call.
func (n *Node) countDispatchReasons(t *term) {
	if t.reportedCounters == nil {
		t.reportedCounters = dispatch.Counters{}
	}
	for reason, now := range t.dispatcher.Counters() {
		for range now - t.reportedCounters[reason] {
			n.deps.Count("dispatch", reason)
		}
		t.reportedCounters[reason] = now
	}
}

// observeCompletionDelay observes the time from the end of each job to the time
// at which its final record is in the log.
func (n *Node) observeCompletionDelay(c dispatch.Commit) {
	now := time.Now().UnixMilli()
	for _, p := range c.Progress {
		if p.Progress.Final != "" {
			n.deps.Observe("shown", time.Duration(now-p.Progress.EndedMillis)*time.Millisecond)
		}
	}
}
