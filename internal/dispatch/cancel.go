package dispatch

import "time"

// minCancelRetention is how long a leader keeps the cancellation of an unknown job at
// least, by its own clock, since the clocks of the nodes may differ or be set. It exceeds
// the time by which the store may carry an append out late.
const minCancelRetention = 20 * time.Second

// unmatchedCancels holds the cancellations of jobs that are not in the log. Such a job may
// still reach it, from a caller that has left, and must not run then. The cancellation is
// removed from the log once that can't happen any more.
type unmatchedCancels struct {
	byID map[string]unmatchedCancel
	// order holds the IDs in the order in which they were seen, also of those that
	// are in byID no longer.
	order []string
}

type unmatchedCancel struct {
	seenAt time.Duration
	// writtenMillis is in Unix milliseconds, and not ahead of this leader's clock.
	writtenMillis int64
}

// keepCancel keeps the cancellation of an unknown job.
func (c *Core) keepCancel(ev JobCancelled) {
	u := &c.cancels
	if _, ok := u.byID[ev.ID]; ok {
		return
	}
	written := ev.WrittenMillis
	if written == 0 || written > c.wall {
		written = c.wall
	}
	u.byID[ev.ID] = unmatchedCancel{c.now, written}
	u.order = append(u.order, ev.ID)
}

// takeCancel reports whether a job that is now known was cancelled before. Its cancellation
// is then kept for as long as the job.
func (c *Core) takeCancel(id string) bool {
	_, ok := c.cancels.byID[id]
	delete(c.cancels.byID, id)
	return ok
}

// purgeCancels removes the cancellations whose retention time has passed.
func (c *Core) purgeCancels() {
	u := &c.cancels
	for len(u.order) > 0 {
		id := u.order[0]
		if x, ok := u.byID[id]; ok {
			if c.now-x.seenAt < minCancelRetention || c.wall-x.writtenMillis < c.set.StatusRetention.Milliseconds() {
				return
			}
			delete(u.byID, id)
			c.commits.next.purged = append(c.commits.next.purged, id)
			c.commitWithin(startCommitDelay)
		}
		u.order = u.order[1:]
	}
}
