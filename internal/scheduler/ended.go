package scheduler

import (
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

// endedTasks collects the ends of finite tasks until the log has them.
type endedTasks struct {
	// pending holds ends that the catalog does not show yet, by task.
	pending map[string]configuration.Ended
	// appendID is the ID of the append in flight, or empty.
	appendID string
	// nextAppend is the earliest time of the next append.
	nextAppend time.Duration
}

// endedAppendInterval is the minimum time between two appends of ended tasks. It
// bounds a domain's share of the log's rate.
const endedAppendInterval = time.Second

// maxEndedPerRecord bounds the tasks in one record.
const maxEndedPerRecord = 2000

func newEndedTasks() endedTasks { return endedTasks{pending: map[string]configuration.Ended{}} }

// add records an ended attempt. Only the success of finite work is kept.
func (e *endedTasks) add(cat *configuration.Catalog, o ObservedTask) {
	spec, ok := cat.Workloads[configuration.WorkloadOf(o.Task)]
	if !ok || spec.Finished || spec.Value.Kind == configuration.Service || o.State != Succeeded {
		return
	}
	if _, done := cat.Ended[spec.Value.Name][o.Task]; !done {
		e.pending[o.Task] = configuration.Ended{Task: o.Task}
	}
}

// isPending reports whether the end of o is not in the log yet.
func (e *endedTasks) isPending(o ObservedTask) bool {
	_, open := e.pending[o.Task]
	return open && o.State == Succeeded
}

// prune removes tasks whose end the catalog shows, or that are no longer wanted.
func (e *endedTasks) prune(cat *configuration.Catalog) {
	for task := range e.pending {
		workload := configuration.WorkloadOf(task)
		spec, wanted := cat.Workloads[workload]
		_, done := cat.Ended[workload][task]
		if done || !wanted || spec.Finished {
			delete(e.pending, task)
		}
	}
}

func (c *Core) appendEnded() {
	e := &c.ended
	if len(e.pending) == 0 || e.appendID != "" || c.now < e.nextAppend || !c.term.Held(c.now) {
		return
	}
	names := make([]string, 0, len(e.pending))
	for n := range e.pending {
		names = append(names, n)
	}
	sort.Strings(names)
	r := configuration.Record{ID: c.newRecordID(), Actor: c.settings.Host}
	for _, n := range names[:min(len(names), maxEndedPerRecord)] {
		r.Ended = append(r.Ended, e.pending[n])
	}
	e.appendID, e.nextAppend = r.ID, c.now+endedAppendInterval
	c.effects = append(c.effects, AppendRecord{Record: r})
}

func (c *Core) handleAppendDone(ev AppendDone) {
	if ev.ID == c.snapshot.appendID {
		c.snapshot.appendID, c.snapshot.nextAppend = "", c.now+snapshotRetry
	}
	if ev.Failed {
		c.reasons["append-failed"]++
	}
	if ev.ID != c.ended.appendID {
		return
	}
	c.ended.appendID = ""
	if ev.Failed {
		c.ended.nextAppend = c.now + 5*endedAppendInterval
	}
}
