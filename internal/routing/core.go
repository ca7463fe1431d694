// Package routing is the control state of one entry: it admits callers'
// requests, queues them, fills runners' slots and ends every request with the
// upstream's answer, not run, or outcome unknown. It reads no clock, does no
// I/O and starts no goroutine. A Core isn't safe for concurrent use; one
// goroutine owns it.
package routing

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Core is the control state.
type Core struct {
	set Settings
	now time.Duration
	out []Effect
	// number is the last number given to a send or timer.
	number   uint64
	random   *rand.Rand
	timers   heap[*timer]
	requests map[uint64]*request
	services map[string]*service
	runners  map[uint64]*runner
	// order lists the runners by attempt.
	order []*runner
	// changed lists the services whose queues may have become servable.
	changed []*service
	// grantUntil is the local time up to which granted slots may be filled.
	grantUntil time.Duration
	// reservedUntil is the local time before which nobody else is granted them.
	reservedUntil time.Duration
	known         bool
	leaving       bool
	remotes       remotes
	keys          keys
	counters      map[Counter]int64
}

// Counter names one count of refusals, retries or losses.
type Counter struct {
	Kind   Kind
	Reason Reason
}

// Kind is what is counted by reason.
type Kind string

// The kinds.
const (
	KindRefusal    Kind = "refusal"
	KindRetry      Kind = "retry"
	KindLoss       Kind = "loss"
	KindForward    Kind = "forward"
	KindQuarantine Kind = "quarantine"
)

// New returns a core that knows no runner.
func New(set Settings) *Core {
	c := &Core{
		set:      set,
		random:   rand.New(rand.NewPCG(set.Seed, set.Seed)),
		requests: map[uint64]*request{},
		services: map[string]*service{},
		runners:  map[uint64]*runner{},
		counters: map[Counter]int64{},
	}
	c.remotes.init(set)
	c.keys.init(c)
	return c
}

// Step takes one event at the local time now, the time since the process
// started, and returns what is to be done. Times never decrease. The returned
// slice is valid until the next Step.
func (c *Core) Step(now time.Duration, ev Event) []Effect {
	c.now = now
	clear(c.out)
	c.out = c.out[:0]
	c.fireDue()
	c.take(ev)
	for len(c.changed) > 0 {
		s := c.changed[0]
		c.changed = c.changed[1:]
		s.changed = false
		c.dispatch(s)
	}
	c.changed = c.changed[:0]
	return c.out
}

func (c *Core) take(ev Event) {
	switch ev := ev.(type) {
	case Admit:
		c.admit(ev)
	case Progress:
		c.progress(ev)
	case Answered:
		c.answered(ev)
	case Refused:
		c.refused(ev)
	case Failed:
		c.failed(ev)
	case CallerLeft:
		c.callerLeft(ev.ID)
	case DirectoryRead:
		c.readDirectory(ev)
	case PeerLoad:
		c.remotes.heard(c.now, ev)
	case IntentStored:
		c.intentStored(ev)
	case IntentHeard:
		c.intentHeard(ev)
	case RecallHeard:
		c.recallHeard(ev)
	case Recalled:
		c.recalled(ev)
	case Leave:
		c.leaving = true
	}
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) count(kind Kind, why Reason) { c.counters[Counter{kind, why}]++ }

func (c *Core) next() uint64 {
	c.number++
	return c.number
}

// dirty has the service's queue looked at before the step ends.
func (c *Core) dirty(s *service) {
	if !s.changed {
		s.changed = true
		c.changed = append(c.changed, s)
	}
}

// jitter returns a time from 0 up to d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(d) + 1))
}

func (c *Core) lengthen(d time.Duration) time.Duration {
	return d + d*time.Duration(c.set.Timing.DriftPerMille)/1000
}

func (c *Core) shorten(d time.Duration) time.Duration {
	return d - d*time.Duration(c.set.Timing.DriftPerMille)/1000
}

// granted reports whether the granted slots may be filled now.
func (c *Core) granted() bool { return c.now < c.grantUntil }

// Ready reports whether the core knows its runners and takes new requests.
func (c *Core) Ready() bool { return c.known && !c.leaving }

// Leaving reports whether a planned stop has begun.
func (c *Core) Leaving() bool { return c.leaving }

// Waiting returns how many requests wait for a slot.
func (c *Core) Waiting() int {
	n := 0
	for _, s := range c.services {
		n += s.queue.size
	}
	return n
}

// InFlight returns how many requests have not ended here, and how many slots
// are still held, for requests whose callers have been answered among them.
func (c *Core) InFlight() (requests, slots int) {
	for _, r := range c.order {
		slots += r.busy
	}
	return len(c.requests), slots
}

// Counters returns the counts by kind and reason. The caller must not change them.
func (c *Core) Counters() map[Counter]int64 { return c.counters }

// Held is what the entry reports of one runner to the holder of the domain's term.
type Held struct {
	Attempt uint64
	// Slots is the grant as applied here, Busy the slots held.
	Slots int
	Busy  int
}

// DropLapsed drops the grants once they may have been given to others, and
// reports whether it did. A query must not report such grants as held.
func (c *Core) DropLapsed() bool {
	if c.now < c.reservedUntil {
		return false
	}
	for _, r := range c.order {
		r.Slots = 0
	}
	for _, s := range c.services {
		s.recount(c.now)
	}
	return true
}

// Held reports the runners on which the entry has a grant or holds a slot.
func (c *Core) Held() []Held {
	list := make([]Held, 0, len(c.order))
	for _, r := range c.order {
		if r.Slots > 0 || r.busy > 0 {
			list = append(list, Held{r.Attempt, r.Slots, r.busy})
		}
	}
	return list
}

// Demand is how many slots of a service the entry could use.
type Demand struct {
	Service string
	Slots   int
}

// Demands returns each service's slots held and requests waiting, by name.
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

// Loads returns how long a new request of each service would wait here, by
// name, without the services that can't be served.
func (c *Core) Loads() []ServiceLoad {
	var list []ServiceLoad
	for _, s := range c.services {
		if s.slots > 0 && c.granted() && !c.leaving {
			list = append(list, ServiceLoad{s.name, s.expectedWait("")})
		}
	}
	slices.SortFunc(list, func(a, b ServiceLoad) int { return strings.Compare(a.Service, b.Service) })
	return list
}
