package dispatch

import "time"

// contactRecord is the state of contact with a worker as the log records it.
// While contact is lost, nothing is started there. So a later leader that can't
// reach the worker either knows all runs that may exist on it. A worker that is about to
// leave is recorded like one that is lost: it gets no new work either, and is gone when
// the next leader looks for it.
type contactRecord int

const (
	contactNormal contactRecord = iota
	// contactLossPending means that the record of lost contact is not committed yet.
	contactLossPending
	contactLossRecorded
	// contactRegainPending means that the record of regained contact is not
	// committed yet.
	contactRegainPending
)

// recorded returns the state after the pending record has been committed.
func (s contactRecord) recorded() contactRecord {
	switch s {
	case contactLossPending:
		return contactLossRecorded
	case contactRegainPending:
		return contactNormal
	}
	return s
}

// inContact reports whether a record of the worker made now states that the leader is in
// contact with it.
func (h *host) inContact() bool {
	return h.contact == contactNormal || h.contact == contactRegainPending
}

// recordContactChanges records lost and regained contact with workers. It records
// nothing for a worker that this leader has not fenced yet, since it doesn't know
// what runs there.
func (c *Core) recordContactChanges() {
	for _, h := range c.sortedHosts {
		if !h.fenced {
			continue
		}
		lost := h.contactLost() || c.delisted(h)
		switch {
		case (lost || c.isLeaving(h)) && h.contact == contactNormal && h.registered:
			h.contact = contactLossPending
			if lost {
				c.recordDecision(Decision{Kind: "contact-lost", Worker: h.info.ID, Age: c.now - h.lastContact})
			}
			c.commits.recordWorker(h)
		case h.contact == contactLossRecorded && h.recordedRuns > 0 && len(h.runs) == 0 && !h.recordQueued:
			c.commits.recordWorker(h)
		case h.unanswered == 0 && h.listed && h.contact == contactLossRecorded && !c.isLeaving(h):
			h.contact = contactRegainPending
			c.recordDecision(Decision{Kind: "contact-regained", Worker: h.info.ID})
			c.commits.recordWorker(h)
		}
	}
}

// isLeaving reports whether the worker gets no new work because it or its machine is about
// to be taken away.
func (c *Core) isLeaving(h *host) bool {
	return h.drainingSince > 0 || c.evacuations[h.info.ID] != nil
}

// delisted reports whether the worker has been missing from the platform's list
// for a while. Nothing is started there, and without runs it gets no heartbeats
// either, so that the end of its incarnation would go unnoticed.
func (c *Core) delisted(h *host) bool { return !h.listed && c.now-h.unlistedSince > delistedAfter }

// delistedAfter is how long an entry may be missing, for example after an outage of
// the store.
const delistedAfter = time.Second

// mayRunUnseen reports whether the task may run, unknown to this leader, on a worker
// that can't be fenced.
func (c *Core) mayRunUnseen(t *task) bool {
	if len(c.suspectTasks) == 0 {
		return false
	}
	name := t.id().String()
	h := c.suspectTasks[name]
	if h == nil {
		return false
	}
	if c.hosts[h.info.ID] == h && h.inherited && !h.fenced {
		return true
	}
	delete(c.suspectTasks, name)
	return false
}
