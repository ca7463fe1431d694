package scheduler

import (
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

// endings collects the ends of finite tasks until the log has them.
type endings struct {
	// open holds ends that the catalog does not show yet, by task.
	open map[string]configuration.Ended
	// sending is the ID of the append under way, or nothing.
	sending string
	// next is the earliest time of the next append.
	next time.Duration
}

// endedInterval is the least time between two appends of ended tasks, which
// bounds a domain's share of the log's rate.
const endedInterval = time.Second

// endedBatch bounds the tasks in one record.
const endedBatch = 2000

func newEndings() endings { return endings{open: map[string]configuration.Ended{}} }

// note takes an ended attempt; only success of finite work is recorded.
func (e *endings) note(cat *configuration.Catalog, o ObservedTask) {
	spec, ok := cat.Workloads[configuration.WorkloadOf(o.Task)]
	if !ok || spec.Finished || spec.Value.Kind == configuration.Service || o.State != Succeeded {
		return
	}
	if _, done := cat.Ended[spec.Value.Name][o.Task]; !done {
		e.open[o.Task] = configuration.Ended{Task: o.Task}
	}
}

// unrecorded reports whether the end of o has yet to reach the log.
func (e *endings) unrecorded(o ObservedTask) bool {
	_, open := e.open[o.Task]
	return open && o.State == Succeeded
}

// settle drops what the catalog shows, or no longer wants.
func (e *endings) settle(cat *configuration.Catalog) {
	for task := range e.open {
		workload := configuration.WorkloadOf(task)
		spec, wanted := cat.Workloads[workload]
		_, done := cat.Ended[workload][task]
		if done || !wanted || spec.Finished {
			delete(e.open, task)
		}
	}
}

func (c *Core) flushEnded() {
	e := &c.ended
	if len(e.open) == 0 || e.sending != "" || c.now < e.next || !c.term.Held(c.now) {
		return
	}
	names := make([]string, 0, len(e.open))
	for n := range e.open {
		names = append(names, n)
	}
	sort.Strings(names)
	r := configuration.Record{ID: c.recordID(), Actor: c.set.Host}
	for _, n := range names[:min(len(names), endedBatch)] {
		r.Ended = append(r.Ended, e.open[n])
	}
	e.sending, e.next = r.ID, c.now+endedInterval
	c.out = append(c.out, AppendRecord{Record: r})
}

func (c *Core) appended(ev AppendDone) {
	if ev.ID == c.snapshot.sending {
		c.snapshot.sending, c.snapshot.next = "", c.now+snapshotRetry
	}
	if ev.Failed {
		c.reasons["append-failed"]++
	}
	if ev.ID != c.ended.sending {
		return
	}
	c.ended.sending = ""
	if ev.Failed {
		c.ended.next = c.now + 5*endedInterval
	}
}
