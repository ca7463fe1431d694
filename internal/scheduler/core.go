// Package scheduler implements the control logic of one scheduler as a
// deterministic state machine: events go in, effects come out. It reads no clock,
// does no I/O and starts no goroutine, so the program, the replay and the tests
// run the same code. A Core isn't safe for concurrent use; one goroutine owns it.
package scheduler

import (
	"fmt"
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
)

// Settings are fixed for the lifetime of a core.
type Settings struct {
	Host string
	// Incarnation distinguishes this process from earlier ones on the same host.
	Incarnation string
	Domain      string
	Timing      ownership.Timing
}

// DefaultSettings returns the settings for the given host of the domain.
func DefaultSettings(host, incarnation, domain string) Settings {
	return Settings{Host: host, Incarnation: incarnation, Domain: domain, Timing: ownership.DefaultTiming()}
}

// InstanceID identifies this process: the host and its incarnation.
func (s Settings) InstanceID() string { return s.Host + "#" + s.Incarnation }

// Core is the scheduler's state machine.
type Core struct {
	settings Settings
	now      time.Duration
	view     *configuration.View
	term     *ownership.Term
	// workers holds the domain's workers by name; workerNames lists the names in
	// order.
	workers     map[string]*worker
	workerNames []string
	// tasks holds the domain's wanted tasks by name.
	tasks map[string]*task
	hosts map[string]Host
	// lastAttempt numbers the starts of this incarnation.
	lastAttempt uint64
	// lastAttemptBeforeTerm is the value of lastAttempt when the present term began.
	lastAttemptBeforeTerm uint64
	leadership            leadershipState
	ended                 endedTasks
	snapshot              snapshotState
	leaving               bool
	// termHeld is whether the term was held when it was last updated.
	termHeld       bool
	appliedOffset  int64
	effects        []Effect
	directory      Directory
	directoryDirty bool
	reasons        Counters
	// dirty lists the workers that the present step examines; wakeups orders all
	// workers by the time of their next wakeup.
	dirty   []*worker
	wakeups wakeupHeap
	// strays holds running attempts other than their tasks' current ones, by
	// task.
	strays map[string][]stray
	// unreachableMachine is set when a machine that may run tasks can't be asked
	// because no worker name refers to it. Until the term has lasted long enough,
	// any unseen task may run there.
	unreachableMachine bool
	// declaredVersion is the version of the domain's declaration whose workers
	// have been applied.
	declaredVersion domainVersion
	placer
	drainState
}

// New returns a core with no knowledge of its domain.
func New(settings Settings) *Core {
	return &Core{
		settings:      settings,
		view:          configuration.NewView(),
		term:          ownership.NewTerm(settings.Timing),
		workers:       map[string]*worker{},
		tasks:         map[string]*task{},
		strays:        map[string][]stray{},
		hosts:         map[string]Host{},
		ended:         newEndedTasks(),
		appliedOffset: -1,
		reasons:       Counters{},
		leadership:    newLeadershipState(settings),
		placer:        newPlacer(),

		drainState: drainState{moves: map[string][]move{}},
	}
}

// Counters counts refusals and retries by reason.
type Counters map[string]int64

// Step processes one event at the local time now, the time since the process
// started, and returns the effects to carry out. Times must not decrease.
func (c *Core) Step(now time.Duration, ev Event) []Effect {
	c.now = now
	c.effects = nil
	c.expire()
	c.markAffected(ev)
	c.handle(ev)
	c.updateTerm()
	c.reconcile()
	return c.effects
}

func (c *Core) handle(ev Event) {
	switch ev := ev.(type) {
	case Tick:
		c.advanceLeadership()
		c.appendEnded()
		c.appendSnapshot()
	case LogRead:
		c.handleLogRead(ev)
	case HostsRead:
		c.handleHostsRead(ev)
	case WriteReplied:
		c.handleWriteReplied(ev)
	case WriteFailed:
		c.handleWriteFailed(ev)
	case TenureRead:
		c.handleTenureRead(ev)
		c.advanceLeadership()
	case TenureUnread:
		c.leadership.state.HandleReadError(c.now)
	case TenureAppended:
		c.handleTenureAppended(ev)
		c.advanceLeadership()
	case AppendDone:
		c.handleAppendDone(ev)
	case SlotsIdle:
		c.handleSlotsIdle(ev)
	case Leave:
		c.handleLeave()
	}
}

func (c *Core) handleLogRead(ev LogRead) {
	c.view.Adopt(ev.State)
	for _, o := range c.view.Feed(ev.First, ev.Records) {
		if o.Conflict != nil {
			c.reasons["config-conflict"]++
		}
	}
	if c.view.Snapshots != c.snapshot.count {
		c.snapshot.count, c.snapshot.lastAt = c.view.Snapshots, c.now
	}
	if next := c.view.Catalog.Next; next != c.appliedOffset && c.view.Complete() {
		c.appliedOffset = next
		c.applyCatalog()
	}
}

// applyCatalog updates workers and wanted tasks from the catalog.
func (c *Core) applyCatalog() {
	d, declared := c.view.Catalog.Domains[c.settings.Domain]
	if v := (domainVersion{declared, d.Version}); v != c.declaredVersion {
		c.declaredVersion = v
		c.syncWorkers(d.Value.Workers)
	}
	c.syncDrained()
	c.syncTasks()
	c.ended.prune(c.view.Catalog)
	c.directoryDirty = true
}

// domainVersion identifies a declaration of the domain, or its absence.
type domainVersion struct {
	declared bool
	version  int64
}

func (c *Core) syncWorkers(names []string) {
	want := map[string]bool{}
	for _, n := range names {
		want[n] = true
		if c.workers[n] == nil {
			c.workers[n] = newWorker(n, c.settings.Timing)
		}
	}
	for _, n := range c.workerNames {
		if !want[n] {
			c.removeWorker(n)
		}
	}
	c.workerNames = c.workerNames[:0]
	for n := range c.workers {
		c.workerNames = append(c.workerNames, n)
	}
	sort.Strings(c.workerNames)
	c.rebuildNodes()
	c.applyHosts()
}

func (c *Core) handleHostsRead(ev HostsRead) {
	clear(c.hosts)
	for _, h := range ev.Hosts {
		c.hosts[h.Name] = h
	}
	c.applyHosts()
}

func (c *Core) applyHosts() {
	moved := false
	for _, n := range c.workerNames {
		w := c.workers[n]
		if h, ok := c.hosts[n]; ok && w.address != "" && (w.address != h.Address || w.identity != h.Machine) {
			c.replaceMachine(n)
			moved = true
		}
	}
	if moved {
		c.rebuildNodes()
		c.syncDrained()
		c.collectOrphans()
	}
	c.markAllDirty()
	for n, w := range c.workers {
		h, ok := c.hosts[n]
		if !ok {
			continue
		}
		if w.leaving != h.Leaving {
			c.directoryDirty = true
		}
		w.address, w.identity, w.rack, w.leaving = h.Address, h.Machine, h.Rack, h.Leaving
	}
	c.syncRecorded()
}

// Ready reports whether the core knows its configuration.
func (c *Core) Ready() bool { return c.view.Complete() }

// IsLeader reports whether this scheduler places the domain's tasks.
func (c *Core) IsLeader() bool { return c.term.Held(c.now) }

// Catalog returns the active configuration. Callers must not change it and must
// not keep it past the next Step.
func (c *Core) Catalog() *configuration.Catalog { return c.view.Catalog }

// NextOffset returns the log offset that the core needs next.
func (c *Core) NextOffset() int64 { return c.view.Next() }

// Counters returns refusals and retries by reason.
func (c *Core) Counters() Counters { return c.reasons }

// guardDisabled reports whether a test has disabled the guard.
func (c *Core) guardDisabled(g ownership.Guard) bool { return c.settings.Timing.Without&g != 0 }

func (c *Core) newAttempt() uint64 {
	c.lastAttempt++
	return attemptBase(c.settings.InstanceID()) + c.lastAttempt
}

func (c *Core) newRecordID() string {
	c.lastAttempt++
	return fmt.Sprintf("%s-%d", c.settings.InstanceID(), c.lastAttempt)
}
