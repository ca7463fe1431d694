// Package routing implements the request routing of one entry as a
// deterministic state machine. It admits callers' requests, queues them,
// assigns them to free slots of runners, and ends each request with the
// upstream's answer, as not run, or with an unknown outcome.
//
// The package reads no clock, does no I/O and starts no goroutine. A Core is
// not safe for concurrent use; a single goroutine must own it.
package routing

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Core is the routing state machine. Events go in through Step, which returns
// the effects that the caller must carry out.
type Core struct {
	settings Settings
	now      time.Duration
	effects  []Effect
	// lastNumber is the last number assigned to a send, timer or request.
	lastNumber uint64
	rng        *rand.Rand
	timers     heap[*timer]
	requests   map[uint64]*request
	services   map[string]*service
	runners    map[uint64]*runner
	// runnersByAttempt is sorted by attempt.
	runnersByAttempt []*runner
	// servicesToDispatch are the services that may be able to send queued
	// requests.
	servicesToDispatch []*service
	// grantUntil is the local time at which the grant lease expires. Granted
	// slots may be filled only before it.
	grantUntil time.Duration
	// reservedUntil is the local time before which the granted slots are not
	// granted to another entry.
	reservedUntil  time.Duration
	directoryKnown bool
	draining       bool
	remotes        remoteEntries
	keys           keyTable
	counters       map[Counter]int64
}

// Counter identifies one count of refusals, retries, losses, forwarded requests
// or quarantined runners.
type Counter struct {
	Kind   Kind
	Reason Reason
}

// Kind is the type of event that a Counter counts.
type Kind string

// Kinds of counted events.
const (
	KindRefusal    Kind = "refusal"
	KindRetry      Kind = "retry"
	KindLoss       Kind = "loss"
	KindForward    Kind = "forward"
	KindQuarantine Kind = "quarantine"
)

// New returns a core without runners. It is not ready until the first
// DirectoryUpdated event.
func New(settings Settings) *Core {
	c := &Core{
		settings: settings,
		rng:      rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		requests: map[uint64]*request{},
		services: map[string]*service{},
		runners:  map[uint64]*runner{},
		counters: map[Counter]int64{},
	}
	c.remotes.init(settings)
	c.keys.init(c)
	return c
}

// Step handles one event and returns the effects to carry out. The local time
// now is the time since the process started; it must never decrease between
// calls. The returned slice is valid until the next Step.
func (c *Core) Step(now time.Duration, ev Event) []Effect {
	c.now = now
	clear(c.effects)
	c.effects = c.effects[:0]
	c.fireDue()
	c.handle(ev)
	for len(c.servicesToDispatch) > 0 {
		s := c.servicesToDispatch[0]
		c.servicesToDispatch = c.servicesToDispatch[1:]
		s.queuedForDispatch = false
		c.dispatch(s)
	}
	c.servicesToDispatch = c.servicesToDispatch[:0]
	return c.effects
}

func (c *Core) handle(ev Event) {
	switch ev := ev.(type) {
	case RequestReceived:
		c.handleRequest(ev)
	case SendProgressed:
		c.handleProgress(ev)
	case SendAnswered:
		c.handleAnswered(ev)
	case SendRefused:
		c.handleRefused(ev)
	case SendFailed:
		c.handleFailed(ev)
	case CallerDisconnected:
		c.handleCallerDisconnected(ev.ID)
	case DirectoryUpdated:
		c.handleDirectory(ev)
	case PeerLoadReported:
		c.remotes.update(c.now, ev)
	case StoreIntentDone:
		c.handleStoreIntentDone(ev)
	case StoreIntentRequested:
		c.handleStoreIntent(ev)
	case ListIntentsRequested:
		c.handleListIntents(ev)
	case IntentsListed:
		c.handleIntentsListed(ev)
	case Drain:
		c.draining = true
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) count(kind Kind, reason Reason) { c.counters[Counter{kind, reason}]++ }

func (c *Core) nextNumber() uint64 {
	c.lastNumber++
	return c.lastNumber
}

// scheduleDispatch schedules the service's queue for dispatch at the end of the
// current step.
func (c *Core) scheduleDispatch(s *service) {
	if !s.queuedForDispatch {
		s.queuedForDispatch = true
		c.servicesToDispatch = append(c.servicesToDispatch, s)
	}
}

// jitter returns a random duration from 0 to d, both included.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// plusDrift lengthens d by the maximum clock drift.
func (c *Core) plusDrift(d time.Duration) time.Duration {
	return d + d*time.Duration(c.settings.Timing.DriftPerMille)/1000
}

// minusDrift shortens d by the maximum clock drift.
func (c *Core) minusDrift(d time.Duration) time.Duration {
	return d - d*time.Duration(c.settings.Timing.DriftPerMille)/1000
}

// grantValid reports whether the grant lease allows filling slots now.
func (c *Core) grantValid() bool { return c.now < c.grantUntil }

// Ready reports whether the core has received a directory and admits new
// requests.
func (c *Core) Ready() bool { return c.directoryKnown && !c.draining }

// Draining reports whether a planned stop has begun.
func (c *Core) Draining() bool { return c.draining }

// QueuedRequests returns the number of requests that wait for a slot.
func (c *Core) QueuedRequests() int {
	n := 0
	for _, s := range c.services {
		n += s.queue.size
	}
	return n
}

// InFlight returns the number of requests that have not ended and the number of
// slots held. Held slots include those of requests whose callers already have
// their result.
func (c *Core) InFlight() (requests, slots int) {
	for _, r := range c.runnersByAttempt {
		slots += r.busy
	}
	return len(c.requests), slots
}

// Counters returns the counts by kind and reason. The caller must not modify
// the map.
func (c *Core) Counters() map[Counter]int64 { return c.counters }

// SlotUsage is what the entry reports about one runner to the domain's leader.
type SlotUsage struct {
	Attempt uint64
	// Slots is the grant that this entry has applied. Busy is the number of
	// slots held.
	Slots int
	Busy  int
}

// DropExpiredGrants drops all grants once the slots may have been granted to
// another entry, and reports whether it did. Call it before reporting usage: a
// report must not include such grants.
func (c *Core) DropExpiredGrants() bool {
	if c.now < c.reservedUntil {
		return false
	}
	for _, r := range c.runnersByAttempt {
		r.Slots = 0
	}
	for _, s := range c.services {
		s.updateCapacity(c.now)
	}
	return true
}

// SlotUsage returns the runners on which the entry has a grant or holds a slot.
func (c *Core) SlotUsage() []SlotUsage {
	list := make([]SlotUsage, 0, len(c.runnersByAttempt))
	for _, r := range c.runnersByAttempt {
		if r.Slots > 0 || r.busy > 0 {
			list = append(list, SlotUsage{r.Attempt, r.Slots, r.busy})
		}
	}
	return list
}

// Demand is the number of slots of a service that the entry could use.
type Demand struct {
	Service string
	Slots   int
}

// Demands returns, for each service, the number of slots held plus queued
// requests, sorted by service name.
func (c *Core) Demands() []Demand {
	list := make([]Demand, 0, len(c.services))
	for _, s := range c.services {
		d := Demand{Service: s.name, Slots: s.queue.size}
		for _, r := range s.runners {
			d.Slots += r.busy
		}
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b Demand) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// Loads returns the expected wait of a new request for each service, sorted by
// service name. Services that cannot be served here are left out.
func (c *Core) Loads() []ServiceLoad {
	var list []ServiceLoad
	for _, s := range c.services {
		if s.slots > 0 && c.grantValid() && !c.draining {
			list = append(list, ServiceLoad{s.name, s.expectedWait("")})
		}
	}
	slices.SortFunc(list, func(a, b ServiceLoad) int { return strings.Compare(a.Service, b.Service) })
	return list
}
