package scheduler

import (
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

// snapshots tells when the log needs a snapshot, so that a host that starts
// after older records are gone finds the whole state.
type snapshots struct {
	// seen counts the snapshots in the log, and at is when the newest was read.
	seen int
	at   time.Duration
	// sending is the ID of the append under way, or nothing.
	sending string
	// next is the earliest time of the next append.
	next time.Duration
}

const (
	// snapshotInterval is the time between snapshots; it is far below the time
	// that the log keeps records.
	snapshotInterval = 30 * time.Minute
	// snapshotStagger is how much longer each further domain waits, by name, so
	// that one domain appends and the others stand in for it.
	snapshotStagger = 2 * time.Minute
	// snapshotRetry is the wait after an append that failed.
	snapshotRetry = 30 * time.Second
)

// takeSnapshot appends the state when none was seen in the log for long.
func (c *Core) takeSnapshot() {
	s := &c.snapshot
	if !c.Leader() || !c.view.Complete() || s.sending != "" || c.now < s.next {
		return
	}
	if c.now-s.at < snapshotInterval+snapshotStagger*time.Duration(c.domainPlace()) {
		return
	}
	r := configuration.Record{ID: c.recordID(), Actor: c.set.Host, Snapshot: &configuration.Snapshot{Catalog: c.view.Catalog.Freeze()}}
	s.sending = r.ID
	c.out = append(c.out, AppendRecord{Record: r})
}

// domainPlace is the place of this domain among all, by name.
func (c *Core) domainPlace() int {
	names := make([]string, 0, len(c.view.Catalog.Domains))
	for n := range c.view.Catalog.Domains {
		names = append(names, n)
	}
	slices.Sort(names)
	return max(0, slices.Index(names, c.set.Domain))
}

// State returns a copy of the configuration that later steps don't change, or
// nil while it isn't known.
func (c *Core) State() *configuration.Catalog {
	if !c.view.Complete() {
		return nil
	}
	return c.view.Catalog.Freeze()
}
