package dispatch

import (
	"time"
)

const (
	// noteDelay is how long ends wait to share a commit.
	noteDelay = 30 * time.Millisecond
	// startDelay is how long the first start of a job waits to share a commit.
	startDelay = 300 * time.Millisecond
)

// commits gathers what is to be recorded. One commit is out at a time.
type commits struct {
	number int64
	out    bool
	sent   pending
	next   pending
	// urgent commits don't wait to be shared.
	urgent bool
	// forget holds ended jobs in order of their ends.
	forget []*job
	// dueAt is when what is gathered must go at the latest.
	dueAt time.Duration
}

// pending is what one commit holds.
type pending struct {
	jobs     []*job
	telling  []telling
	noting   []noting
	released []string
	forgot   []*job
}

// telling is a worker whose life is recorded, with what is said of contact.
type telling struct {
	host    *host
	silence silenceRecord
}

// noting is a worker's ends up to seen, whose effects are in the same commit.
type noting struct {
	host *host
	seen int64
}

func newCommits() commits { return commits{} }

func (p *pending) empty() bool {
	return len(p.jobs)+len(p.telling)+len(p.noting)+len(p.released)+len(p.forgot) == 0
}

func (c *Core) due(within time.Duration) {
	at := c.now + within
	if c.commits.dueAt == 0 || at < c.commits.dueAt {
		c.commits.dueAt = at
	}
}

func (c *Core) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		c.commits.next.jobs = append(c.commits.next.jobs, j)
	}
	c.due(startDelay)
}

// tell has what is known of a worker's life recorded at once.
func (m *commits) tell(h *host) {
	m.next.telling = append(m.next.telling, telling{host: h})
	m.urgent = true
}

func (m *commits) release(worker string) { m.next.released = append(m.next.released, worker) }

// note has the worker's ends recorded, so that it may forget them.
func (m *commits) note(h *host) {
	for _, n := range m.next.noting {
		if n.host == h {
			return
		}
	}
	m.next.noting = append(m.next.noting, noting{host: h})
}

// flush sends what is to be recorded when it is due.
func (c *Core) flush() {
	m := &c.commits
	c.forgetJobs()
	if len(m.next.noting) > 0 {
		c.due(noteDelay)
	}
	if m.out || m.next.empty() || (!m.urgent && c.now < m.dueAt) {
		return
	}
	m.number++
	m.out, m.urgent, m.dueAt = true, false, 0
	m.sent, m.next = m.next, pending{}
	e := Commit{Number: m.number, Released: m.sent.released}
	for _, j := range m.sent.jobs {
		j.dirty = false
		p := JobProgress{ID: j.def.ID, Progress: j.progress()}
		if j.final != "" {
			p.Summary = j.def.Summary()
		}
		e.Progress = append(e.Progress, p)
	}
	for _, j := range m.sent.forgot {
		e.Forgotten = append(e.Forgotten, j.def.ID)
	}
	told := map[*host]bool{}
	for i := range m.sent.noting {
		n := &m.sent.noting[i]
		n.seen = n.host.seen
		told[n.host] = true
	}
	for i := range m.sent.telling {
		x := &m.sent.telling[i]
		x.silence = x.host.silence
		told[x.host] = true
	}
	for _, h := range c.order {
		if told[h] {
			e.Engaged = append(e.Engaged, h.record())
		}
	}
	c.emit(e)
}

// record is what the log is told of a worker's life.
func (h *host) record() Engagement {
	e := Engagement{Worker: h.info.ID, Address: h.info.Address, Pool: h.info.Pool, Born: h.info.Born, Seen: h.seen}
	if h.silence == silenceNone || h.silence == silenceEnding {
		return e
	}
	e.Silent = true
	for _, r := range h.sortedRuns() {
		e.Runs = append(e.Runs, r.id.String())
	}
	return e
}

func (c *Core) committed(ev Committed) {
	m := &c.commits
	if ev.Number != m.number || !m.out {
		return
	}
	m.out = false
	sent := m.sent
	m.sent = pending{}
	if ev.Failed {
		c.restoreCommit(sent)
		return
	}
	for _, j := range sent.jobs {
		if j.final != "" && !j.dirty && !j.recorded {
			j.recorded = true
			m.forget = append(m.forget, j)
		}
	}
	c.dirty = c.dirty || len(sent.telling) > 0
	for _, x := range sent.telling {
		x.host.engaged, x.host.engaging = true, false
		if x.host.silence == x.silence {
			x.host.silence = x.silence.recorded()
		}
		c.dirty = true
	}
	for _, n := range sent.noting {
		n.host.noted = max(n.host.noted, n.seen)
		if !n.host.holding {
			n.host.nextHold = c.now
		}
	}
}

func (c *Core) restoreCommit(sent pending) {
	m := &c.commits
	for _, j := range sent.jobs {
		c.markDirty(j)
	}
	for _, n := range sent.noting {
		m.note(n.host)
	}
	m.next.telling = append(m.next.telling, sent.telling...)
	m.next.released = append(m.next.released, sent.released...)
	m.next.forgot = append(m.next.forgot, sent.forgot...)
}

// forgetJobs lets go of jobs that ended long enough ago.
func (c *Core) forgetJobs() {
	m := &c.commits
	for len(m.forget) > 0 && c.wall-m.forget[0].endedAt > c.set.StatusRetention.Milliseconds() {
		j := m.forget[0]
		m.forget = m.forget[1:]
		delete(c.jobs, j.def.ID)
		m.next.forgot = append(m.next.forgot, j)
		c.due(startDelay)
	}
}
