package node

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/store"
)

// views tells how old what this node believes is. It may be used concurrently.
type views struct {
	log   logrus.FieldLogger
	mu    sync.Mutex
	views map[string]*view
}

// view is what was read of one feed.
type view struct {
	readAt time.Time
	// failedAt is when the reads began to fail, zero if the last one didn't.
	failedAt time.Time
	active   func() bool
}

func newViews(log logrus.FieldLogger) *views {
	return &views{log: log, views: map[string]*view{}}
}

// viewName names a feed in logs and metrics.
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

// note takes note of a reading, and logs when a feed is lost or regained.
func (v *views) note(name string, active func() bool, r reading) {
	v.mu.Lock()
	x := v.views[name]
	if x == nil {
		x = &view{active: active}
		v.views[name] = x
	}
	before, read := x.failedAt, x.readAt
	switch {
	case r.err == nil:
		x.failedAt = time.Time{}
		if !r.at.IsZero() {
			x.readAt = r.at
		}
	case before.IsZero():
		x.failedAt = r.at
	}
	v.mu.Unlock()
	switch {
	case r.err != nil && before.IsZero():
		f := logrus.Fields{"kind": "dependency-lost", "view": name, "reason": errorReason(r.err)}
		if !read.IsZero() {
			f["age_ms"] = r.at.Sub(read).Milliseconds()
		}
		v.log.WithFields(f).WithError(r.err).Warn("calls fail")
	case r.err == nil && !before.IsZero():
		v.log.WithFields(logrus.Fields{"kind": "dependency-regained", "view": name,
			"after_ms": time.Since(before).Milliseconds()}).Info("calls succeed again")
	}
}

// Services that are called, and not read as feeds.
const (
	serviceAdvice   = "advice"
	serviceMachines = "machines"
)

// called takes note of a call to a service, which is no view and has no age.
func (v *views) called(service string, err error) {
	v.note(service, func() bool { return false }, reading{err: err, at: time.Now()})
}

// ages returns how long ago each view that is followed now was read.
func (v *views) ages() map[string]time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[string]time.Duration{}
	for name, x := range v.views {
		if !x.readAt.IsZero() && (x.active == nil || x.active()) {
			out[name] = time.Since(x.readAt)
		}
	}
	return out
}

// Ages returns how long ago each of the node's views was read without fail.
// It may be called concurrently.
func (n *Node) Ages() map[string]time.Duration { return n.views.ages() }

// JobsAge returns how old the view of the jobs is, below 0 if there is none.
func (n *Node) JobsAge() time.Duration {
	n.table.mu.RLock()
	defer n.table.mu.RUnlock()
	if !n.table.loaded {
		return -1
	}
	return time.Since(n.table.readAt)
}

// Holds reports whether this node holds the right to place. It may be called
// concurrently.
func (n *Node) Holds() bool { return n.termToken.Load() != 0 }

// countReasons counts what the dispatcher has counted since the last call.
func (n *Node) countReasons(t *term) {
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

// observeShown measures from a job's end to its being in the log.
func (n *Node) observeShown(c dispatch.Commit) {
	now := time.Now().UnixMilli()
	for _, p := range c.Progress {
		if p.Progress.Final != "" {
			n.deps.Observe("shown", time.Duration(now-p.Progress.EndedMillis)*time.Millisecond)
		}
	}
}
