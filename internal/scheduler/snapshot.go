package scheduler

import (
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

// snapshotState tracks when the log needs a snapshot. Snapshots let a host that
// starts after older records have been deleted read the full state.
type snapshotState struct {
	// count is the number of snapshots in the log, and lastAt is when the newest
	// was read.
	count  int
	lastAt time.Duration
	// appendID is the ID of the append in flight, or empty.
	appendID string
	// nextAppend is the earliest time of the next append.
	nextAppend time.Duration
}

const (
	// snapshotInterval is the time between snapshots. It is far below the log's
	// retention time.
	snapshotInterval = 30 * time.Minute
	// snapshotStagger is how much longer each further domain, in order of name,
	// waits, so that one domain appends and the others step in if it doesn't.
	snapshotStagger = 2 * time.Minute
	// snapshotRetry is the delay after a failed append.
	snapshotRetry = 30 * time.Second
)

// appendSnapshot appends the state if the log has had no snapshot for too long.
func (c *Core) appendSnapshot() {
	s := &c.snapshot
	if !c.IsLeader() || !c.view.Complete() || s.appendID != "" || c.now < s.nextAppend {
		return
	}
	if c.now-s.lastAt < snapshotInterval+snapshotStagger*time.Duration(c.domainIndex()) {
		return
	}
	r := configuration.Record{ID: c.newRecordID(), Actor: c.settings.Host, Snapshot: &configuration.Snapshot{Catalog: c.view.Catalog.Freeze()}}
	s.appendID = r.ID
	c.effects = append(c.effects, AppendRecord{Record: r})
}

// domainIndex is the index of this domain among all domains, by name.
func (c *Core) domainIndex() int {
	names := make([]string, 0, len(c.view.Catalog.Domains))
	for n := range c.view.Catalog.Domains {
		names = append(names, n)
	}
	slices.Sort(names)
	return max(0, slices.Index(names, c.settings.Domain))
}

// CatalogSnapshot returns a copy of the configuration that later steps don't
// change, or nil while the configuration isn't known.
func (c *Core) CatalogSnapshot() *configuration.Catalog {
	if !c.view.Complete() {
		return nil
	}
	return c.view.Catalog.Freeze()
}
