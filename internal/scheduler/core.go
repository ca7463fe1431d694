// Package scheduler is the control state of one scheduler: events in, effects
// out. It reads no clock, does no I/O and starts no goroutine, so the program,
// the replay and the tests run the same code. A Core isn't safe for concurrent
// use; one goroutine owns it.
package scheduler

import (
	"fmt"
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
)

// Settings are fixed for a core's life.
type Settings struct {
	Host string
	// Incarnation tells this process from earlier ones of the same host.
	Incarnation string
	Domain      string
	Timing      ownership.Timing
}

// DefaultSettings returns the settings of the given host of the domain.
func DefaultSettings(host, incarnation, domain string) Settings {
	return Settings{Host: host, Incarnation: incarnation, Domain: domain, Timing: ownership.DefaultTiming()}
}

// Holder is the name of this process.
func (s Settings) Holder() string { return s.Host + "#" + s.Incarnation }

// Core is the control state.
type Core struct {
	set  Settings
	now  time.Duration
	view *configuration.View
	term *ownership.Term
	// workers holds the domain's workers by name; order lists them sorted.
	workers map[string]*worker
	order   []string
	// tasks holds the domain's wanted tasks by name.
	tasks map[string]*task
	hosts map[string]Host
	// attempts numbers the starts of this incarnation.
	attempts uint64
	// termAttempts is the number that the present term began with.
	termAttempts uint64
	tenancy      tenancy
	ended        endings
	snapshot     snapshots
	leaving      bool
	// held is whether the term was held when it was last worked out.
	held     bool
	applied  int64
	out      []Effect
	dir      Directory
	dirDirty bool
	reasons  Counters
	// touched lists the workers that the present step looks at; agenda orders
	// all by the time of their next look.
	touched []*worker
	agenda  agenda
	// strays holds running attempts that are not their tasks' own, by task.
	strays map[string][]stray
	// leftUnseen is set when a machine that may run tasks can't be asked, since
	// it is behind no worker's name: until the term has lasted long enough, any
	// unknown task may run there.
	leftUnseen bool
	// declared is the version of the domain's declaration whose workers are in place.
	declared domainVersion
	placer
	departures
}

// New returns a core that knows nothing.
func New(set Settings) *Core {
	return &Core{
		set:     set,
		view:    configuration.NewView(),
		term:    ownership.NewTerm(set.Timing),
		workers: map[string]*worker{},
		tasks:   map[string]*task{},
		strays:  map[string][]stray{},
		hosts:   map[string]Host{},
		ended:   newEndings(),
		applied: -1,
		reasons: Counters{},
		tenancy: newTenancy(set),
		placer:  newPlacer(),

		departures: departures{moves: map[string][]move{}},
	}
}

// Counters counts refusals and retries by reason.
type Counters map[string]int64

// Step takes one event at the local time now, the time since the process
// started, and returns what is to be done. Times never decrease.
func (c *Core) Step(now time.Duration, ev Event) []Effect {
	c.now = now
	c.out = nil
	c.expire()
	c.touchFor(ev)
	c.take(ev)
	c.updateTerm()
	c.reconcile()
	return c.out
}

func (c *Core) take(ev Event) {
	switch ev := ev.(type) {
	case Tick:
		c.proceed()
		c.flushEnded()
		c.takeSnapshot()
	case LogRead:
		c.readLog(ev)
	case HostsRead:
		c.readHosts(ev)
	case WriteReplied:
		c.replied(ev)
	case WriteFailed:
		c.failed(ev)
	case TenureRead:
		c.readTenure(ev)
		c.proceed()
	case TenureUnread:
		c.tenancy.state.HandleReadError(c.now)
	case TenureAppended:
		c.tenureAppended(ev)
		c.proceed()
	case AppendDone:
		c.appended(ev)
	case SlotsIdle:
		c.takeIdle(ev)
	case Leave:
		c.leave()
	}
}

func (c *Core) readLog(ev LogRead) {
	c.view.Adopt(ev.State)
	for _, o := range c.view.Feed(ev.First, ev.Records) {
		if o.Conflict != nil {
			c.reasons["config-conflict"]++
		}
	}
	if c.view.Snapshots != c.snapshot.seen {
		c.snapshot.seen, c.snapshot.at = c.view.Snapshots, c.now
	}
	if next := c.view.Catalog.Next; next != c.applied && c.view.Complete() {
		c.applied = next
		c.configure()
	}
}

// configure brings workers and wanted tasks in line with the catalog.
func (c *Core) configure() {
	d, declared := c.view.Catalog.Domains[c.set.Domain]
	if v := (domainVersion{declared, d.Version}); v != c.declared {
		c.declared = v
		c.setWorkers(d.Value.Workers)
	}
	c.setDrained()
	c.setTasks()
	c.ended.settle(c.view.Catalog)
	c.dirDirty = true
}

// domainVersion tells one declaration of the domain from another, and from none.
type domainVersion struct {
	declared bool
	version  int64
}

func (c *Core) setWorkers(names []string) {
	want := map[string]bool{}
	for _, n := range names {
		want[n] = true
		if c.workers[n] == nil {
			c.workers[n] = newWorker(n, c.set.Timing)
		}
	}
	for _, n := range c.order {
		if !want[n] {
			c.dropWorker(n)
		}
	}
	c.order = c.order[:0]
	for n := range c.workers {
		c.order = append(c.order, n)
	}
	sort.Strings(c.order)
	c.rebuild()
	c.applyHosts()
}

func (c *Core) readHosts(ev HostsRead) {
	clear(c.hosts)
	for _, h := range ev.Hosts {
		c.hosts[h.Name] = h
	}
	c.applyHosts()
}

func (c *Core) applyHosts() {
	moved := false
	for _, n := range c.order {
		w := c.workers[n]
		if h, ok := c.hosts[n]; ok && w.address != "" && (w.address != h.Address || w.identity != h.Machine) {
			c.replaceMachine(n)
			moved = true
		}
	}
	if moved {
		c.rebuild()
		c.setDrained()
		c.adoptOrphans()
	}
	c.touchAll()
	for n, w := range c.workers {
		h, ok := c.hosts[n]
		if !ok {
			continue
		}
		if w.leaving != h.Leaving {
			c.dirDirty = true
		}
		w.address, w.identity, w.rack, w.leaving = h.Address, h.Machine, h.Rack, h.Leaving
	}
	c.setEnlisted()
}

// Ready reports whether the core knows its configuration.
func (c *Core) Ready() bool { return c.view.Complete() }

// Leader reports whether this scheduler places the domain's tasks.
func (c *Core) Leader() bool { return c.term.Held(c.now) }

// Catalog returns the configuration in force here. Callers must not change it
// and must not keep it past the next Step.
func (c *Core) Catalog() *configuration.Catalog { return c.view.Catalog }

// NextOffset returns the log offset that the core needs next.
func (c *Core) NextOffset() int64 { return c.view.Next() }

// Counters returns refusals and retries by reason.
func (c *Core) Counters() Counters { return c.reasons }

// lacks reports whether a test has taken the guard out.
func (c *Core) lacks(g ownership.Guard) bool { return c.set.Timing.Without&g != 0 }

func (c *Core) newAttempt() uint64 {
	c.attempts++
	return attemptBase(c.set.Holder()) + c.attempts
}

func (c *Core) recordID() string {
	c.attempts++
	return fmt.Sprintf("%s-%d", c.set.Holder(), c.attempts)
}
