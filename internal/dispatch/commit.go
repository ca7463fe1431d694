package dispatch

import (
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	// endCommitDelay is how long task ends wait to be batched into a commit.
	endCommitDelay = 30 * time.Millisecond
	// startCommitDelay is how long the first start of a job waits to be batched
	// into a commit.
	startCommitDelay = 300 * time.Millisecond
)

// commits batches the changes to be written to the log. One commit is in flight
// at a time.
type commits struct {
	number   int64
	inFlight bool
	sent     batch
	next     batch
	// urgent is set if the next commit must not wait for more changes.
	urgent bool
	// successionRecorded is set once the log holds this leader's Succession. The newest one
	// was made at successionMadeAt. unreachedRecorded is set once one lists the workers
	// that this leader gives no orders.
	successionRecorded, unreachedRecorded bool
	successionMadeAt                      time.Duration
	// ended holds ended jobs, in order of their ends.
	ended []*job
	// dueAt is the latest time at which the next batch must be sent.
	dueAt time.Duration
}

// batch is the contents of one commit.
type batch struct {
	jobs []*job
	// workers are to be recorded, recorded holds what the records state once they are
	// made.
	workers  []*host
	recorded map[*host]workerRecord
	ends     []endsRecord
	released []*host
	// purged holds the IDs of jobs whose records are to be removed.
	purged  []string
	crashes []*crashHistory
	// succession is set if the leader's Succession is to be recorded anew, unreached holds
	// the workers that the record lists.
	succession bool
	unreached  []string
	// runTimes is set if the run times are recorded.
	runTimes bool
}

// workerRecord is what the record of a worker's incarnation states.
type workerRecord struct {
	contact contactRecord
	voter   bool
}

// endsRecord is a worker whose ends up to lastEnd have their effects in the same
// commit.
type endsRecord struct {
	host    *host
	lastEnd int64
}

func newCommits() commits { return commits{} }

func (p *batch) empty() bool {
	return len(p.jobs)+len(p.workers)+len(p.ends)+len(p.released)+len(p.purged) == 0 && !p.succession
}

func (c *Core) commitWithin(delay time.Duration) {
	at := c.now + delay
	if c.commits.dueAt == 0 || at < c.commits.dueAt {
		c.commits.dueAt = at
	}
}

func (c *Core) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		c.commits.next.jobs = append(c.commits.next.jobs, j)
	}
	c.commitWithin(startCommitDelay)
}

// recordWorker queues a record of the worker's incarnation and commits it at once.
func (m *commits) recordWorker(h *host) {
	h.recordQueued = true
	m.next.workers = append(m.next.workers, h)
	m.urgent = true
}

// recordCrash commits a change of a crash history at once, with its job's progress.
func (m *commits) recordCrash(k *crashHistory) {
	k.unrecorded = true
	m.next.crashes = append(m.next.crashes, k)
	m.urgent = true
}

func (m *commits) release(h *host) { m.next.released = append(m.next.released, h) }

// recordEnds queues a record of the worker's ends, so that the worker may discard
// them once the record is committed.
func (m *commits) recordEnds(h *host) {
	for _, n := range m.next.ends {
		if n.host == h {
			return
		}
	}
	m.next.ends = append(m.next.ends, endsRecord{host: h})
}

// flushCommit sends the pending batch when it is due.
func (c *Core) flushCommit() {
	m := &c.commits
	c.purgeJobs()
	c.purgeCancels()
	if len(m.next.ends) > 0 {
		c.commitWithin(endCommitDelay)
	}
	if m.inFlight || m.next.empty() || (!m.urgent && c.now < m.dueAt) {
		return
	}
	m.number++
	m.inFlight, m.urgent, m.dueAt = true, false, 0
	m.sent, m.next = m.next, batch{}
	e := Commit{Number: m.number}
	if m.sent.succession {
		e.Succession = c.makeSuccession()
	}
	for _, h := range m.sent.released {
		e.Released = append(e.Released, h.info.ID)
	}
	for _, j := range m.sent.jobs {
		j.dirty = false
		p := JobProgress{ID: j.def.ID, Progress: j.progress()}
		if j.finalState != "" {
			p.Summary = j.def.Summary()
		}
		e.Progress = append(e.Progress, p)
	}
	e.Purged = m.sent.purged
	included := map[*host]bool{}
	for i := range m.sent.ends {
		n := &m.sent.ends[i]
		n.lastEnd = n.host.lastEnd
		included[n.host] = true
	}
	for _, h := range m.sent.workers {
		included[h] = true
	}
	m.sent.recorded = map[*host]workerRecord{}
	for _, h := range c.sortedHosts {
		if included[h] {
			m.sent.recorded[h] = workerRecord{h.contact, c.mayVote(h)}
			e.Registered = append(e.Registered, c.registration(h))
		}
	}
	e.RunTimes = c.recordRunTimes()
	m.sent.runTimes = e.RunTimes != nil
	c.emit(e)
}

// registration returns the log record of the worker's incarnation. Of one that has not
// been fenced, the record of a previous leader stays in force.
func (c *Core) registration(h *host) Registration {
	if !h.fenced {
		e := h.former
		e.NonVoter = !c.mayVote(h)
		return e
	}
	e := Registration{Worker: h.info.ID, Address: h.info.Address, Pool: h.info.Pool, Machine: h.info.Machine, Born: h.info.Born, LastEnd: h.lastEnd,
		Leader: c.set.Token, NonVoter: !c.mayVote(h)}
	h.recordedRuns = 0
	if h.inContact() {
		return e
	}
	e.Unreachable = true
	for _, r := range h.sortedRuns() {
		e.Runs = append(e.Runs, r.taskID.String())
	}
	h.recordedRuns = len(e.Runs)
	return e
}

func (c *Core) committed(ev Committed) {
	m := &c.commits
	if ev.Number != m.number || !m.inFlight {
		return
	}
	m.inFlight = false
	sent := m.sent
	m.sent = batch{}
	if ev.Failed {
		c.requeueCommit(sent)
		return
	}
	for _, id := range ev.RejectedJobs {
		if j := c.jobs[id]; j != nil && j.finalState == "" {
			c.reasons["job-unrecordable"]++
			c.finishJob(j, workflow.Failed, "its progress can't be recorded")
		}
	}
	for _, j := range sent.jobs {
		if j.finalState != "" && !j.dirty && !j.finalRecorded {
			j.finalRecorded = true
			j.def = j.def.Summary()
			m.ended = append(m.ended, j)
		}
	}
	if sent.succession {
		c.successionCommitted(sent.unreached)
	}
	for _, h := range sent.workers {
		h.recordQueued = slices.Contains(m.next.workers, h)
	}
	for h, x := range sent.recorded {
		c.workerRecorded(h, x, slices.Contains(ev.RejectedWorkers, h.info.ID))
	}
	for _, h := range sent.released {
		h.voter = false
	}
	for _, k := range sent.crashes {
		k.unrecorded = slices.Contains(m.next.crashes, k)
		c.dirty = true
	}
	for _, n := range sent.ends {
		n.host.lastRecordedEnd = max(n.host.lastRecordedEnd, n.lastEnd)
		if !n.host.heartbeatInFlight {
			n.host.nextHeartbeat = c.now
		}
	}
}

// workerRecorded applies that a worker's record is in the log. A worker whose record was
// rejected stays as it was, and gets no work if this leader has not recorded it before.
func (c *Core) workerRecorded(h *host, x workerRecord, rejected bool) {
	if h.recordRejected = rejected; rejected {
		return
	}
	c.dirty = c.dirty || !h.registered
	h.registered, h.registering, h.voter = true, false, x.voter
	if next := x.contact.recorded(); h.contact == x.contact && next != h.contact {
		h.contact = next
		c.dirty = true
	}
}

func (c *Core) requeueCommit(sent batch) {
	m := &c.commits
	for _, j := range sent.jobs {
		c.markDirty(j)
	}
	for _, n := range sent.ends {
		m.recordEnds(n.host)
	}
	m.next.workers = append(m.next.workers, sent.workers...)
	m.next.released = append(m.next.released, sent.released...)
	m.next.purged = append(m.next.purged, sent.purged...)
	m.next.crashes = append(m.next.crashes, sent.crashes...)
	m.next.succession = m.next.succession || sent.succession
	c.runTimes.changed = c.runTimes.changed || sent.runTimes
}

// purgeJobs removes ended jobs whose retention time has passed.
func (c *Core) purgeJobs() {
	m := &c.commits
	for len(m.ended) > 0 && c.wall-m.ended[0].endedAt > c.set.StatusRetention.Milliseconds() {
		j := m.ended[0]
		m.ended = m.ended[1:]
		delete(c.jobs, j.def.ID)
		m.next.purged = append(m.next.purged, j.def.ID)
		c.commitWithin(startCommitDelay)
	}
}
