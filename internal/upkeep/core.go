// Package upkeep is the control state of whoever may give orders for machines:
// which waves of upkeep are open, which machine is away for one, and which are
// moved between pools. Events in, effects out; it reads no clock, does no I/O
// and starts no goroutine. A Core isn't safe for concurrent use.
package upkeep

import (
	"slices"
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Settings are fixed for a core's life, which is one term of its holder.
type Settings struct {
	// DutyLease is how long after a former holder's last order for a machine
	// this one must not give one; CallTimeout is how long an order may be on its way.
	DutyLease, CallTimeout time.Duration
	// UpkeepTime and MoveTime are how long a machine is away.
	UpkeepTime, MoveTime time.Duration
	// StopTimeout is the longest time that a task's stop takes.
	StopTimeout time.Duration
	// ListsPerSecond and OrdersPerSecond bound calls; 0 is without bound.
	ListsPerSecond, OrdersPerSecond float64
}

const (
	// wayMargin is added to the wait for a former holder's orders.
	wayMargin = 300 * time.Millisecond
	// listBusy is the pause between lists while something is done, listOpen
	// while waves are open, listQuiet while there is but a pool on standby.
	listBusy, listOpen, listQuiet = time.Second, 2 * time.Second, 10 * time.Second
	// listOld is how old the list may be for an order.
	listOld = 8 * time.Second
	// mostBackoff bounds the pause after calls that failed.
	mostBackoff = 4 * time.Second
	// fencedPause is how long no order is given after a higher token was seen.
	fencedPause = 10 * time.Second
	// lookEvery is how often the core looks for something to do without an event.
	lookEvery = 100 * time.Millisecond
)

// Facts are what the core asks of the dispatcher. They are valid during a step.
type Facts struct {
	// Clear reports whether a worker that is being evacuated runs nothing any
	// more that must not be ended.
	Clear func(worker string) bool
	// Idle reports whether nothing runs on the worker.
	Idle func(worker string) bool
	// Shortages returns the work that has waited for room for at least so long.
	Shortages func(over time.Duration) []Shortage
}

// Shortage is work of a pool that waits for room.
type Shortage struct {
	Pool string
	// Requires is a label that the machine must have; empty means any.
	Requires string
	Size     workflow.Size
}

// Event is something that happened outside the core.
type Event interface{ event() }

// WaveAsked brings an operators' wave, and since when it is known here.
type WaveAsked struct {
	Wave  worker.Wave
	Since time.Duration
}

// WaveDropped tells that the operators have taken a wave back.
type WaveDropped struct{ Number int64 }

// Restored brings what former holders have recorded. No order goes out before it.
type Restored struct {
	Progress []Progress
	// Completed are the waves whose status says so.
	Completed []int64
	// Homes are the pools on standby that machines were taken from, by machine.
	Homes map[string]string
}

// PoolsKnown brings the pools of the configuration in force.
type PoolsKnown struct{ Pools map[string]workflow.Pool }

// Listed brings the whole list of machines, or that it could not be read.
type Listed struct {
	Machines []worker.Machine
	// Sent is when the reading began.
	Sent   time.Duration
	Failed bool
}

// WorkersKnown brings the platform's list of workers.
type WorkersKnown struct{ Workers []worker.Info }

// RightConfirmed tells until when orders may be given; the newest one counts.
type RightConfirmed struct{ Until time.Duration }

// Answered brings the answer to an order for a machine.
type Answered struct {
	Machine string
	Code    worker.MachineCode
}

// Recorded tells that a record is in the store, or that it isn't known to be.
type Recorded struct {
	Number int64
	Failed bool
}

func (WaveAsked) event()      {}
func (WaveDropped) event()    {}
func (Restored) event()       {}
func (PoolsKnown) event()     {}
func (Listed) event()         {}
func (WorkersKnown) event()   {}
func (RightConfirmed) event() {}
func (Answered) event()       {}
func (Recorded) event()       {}

// Effect is something that the core wants done outside.
type Effect interface{ effect() }

// ListMachines reads the list; its end comes back as Listed.
type ListMachines struct{}

// OrderUpkeep sends a machine into upkeep; its end comes back as Answered.
type OrderUpkeep struct {
	Machine string
	Wave    int64
}

// OrderMove moves a machine; its end comes back as Answered.
type OrderMove struct{ Machine, Pool string }

// Evacuate keeps new work off a worker and moves away what runs there, what can
// end by itself until the given time excepted.
type Evacuate struct {
	Worker string
	By     time.Duration
}

// Resume ends an evacuation: the worker gets work again.
type Resume struct{ Worker string }

// LifeEnded tells that nothing runs any more on a worker's lives up to Born.
type LifeEnded struct {
	Worker string
	Born   int64
}

// Record writes to the store; its end comes back as Recorded.
type Record struct {
	Number int64
	// Progress holds waves, Status those whose status is to be written.
	Progress []Progress
	Status   []Status
	// Homes are the pools that machines were taken from; empty ones are dropped.
	Homes map[string]string
}

// Status is how far a wave is.
type Status struct {
	Wave      int64
	Completed bool
}

// Progress is what is recorded of a wave, so that it outlasts a holder.
type Progress struct {
	Wave int64 `json:"w"`
	// SinceMillis is when the wave was first known, in Unix milliseconds.
	SinceMillis int64 `json:"t"`
	// Done machines have begun their upkeep; an order for an Ordered one may
	// have been given.
	Done    []string `json:"d,omitempty"`
	Ordered []string `json:"o,omitempty"`
}

func (ListMachines) effect() {}
func (OrderUpkeep) effect()  {}
func (OrderMove) effect()    {}
func (Evacuate) effect()     {}
func (Resume) effect()       {}
func (LifeEnded) effect()    {}
func (Record) effect()       {}

// Core is the control state.
type Core struct {
	set  Settings
	now  time.Duration
	wall int64
	// began is when the holder's term did.
	began      time.Duration
	rightUntil time.Duration
	restored   bool
	restoring  Restored
	waves      map[int64]*wave
	machines   map[string]*machine
	pools      map[string]workflow.Pool
	// born are the births of the workers, by ID.
	born map[string]int64
	// listedAt is when the newest list was asked for; known that there is one.
	listedAt, nextList, listPause time.Duration
	known, listing                bool
	// nextOrder spaces orders; fencedUntil bars them.
	nextOrder, fencedUntil time.Duration
	lookAt                 time.Duration
	records                records
	moves                  moves
	facts                  Facts
	out                    []Effect
	counters               map[string]int64
}

// machine is what is known of one machine.
type machine struct {
	worker.Machine
	// present tells that the newest list has it; missing since when none has.
	present  bool
	missing  time.Duration
	misses   int
	downFrom time.Duration
	// errand is what is being done with it, or nil.
	errand *errand
	// idleFrom is since when nothing runs there, or 0.
	idleFrom time.Duration
}

// New returns the core of a holder whose term has begun at the given time.
func New(set Settings, began time.Duration) *Core {
	return &Core{
		set: set, began: began, waves: map[int64]*wave{}, machines: map[string]*machine{},
		born: map[string]int64{}, counters: map[string]int64{}, records: newRecords(), moves: newMoves(),
	}
}

// Counters counts what was done, by reason.
func (c *Core) Counters() map[string]int64 { return c.counters }

// Active reports whether there is anything to look after.
func (c *Core) Active() bool { return len(c.waves) > 0 || c.standby() }

// Step takes events at the local steady time now and the time of day wall, and
// returns what is to be done. Times never decrease.
func (c *Core) Step(now time.Duration, wall int64, facts Facts, events ...Event) []Effect {
	c.now, c.wall, c.facts, c.out = now, wall, facts, nil
	looks := now >= c.lookAt
	for _, ev := range events {
		if _, ok := ev.(RightConfirmed); !ok {
			looks = true
		}
		c.take(ev)
	}
	if !looks {
		return c.out
	}
	c.lookAt = now + lookEvery
	c.ask()
	if !c.restored {
		return c.out
	}
	if c.known {
		for _, w := range c.sortedWaves() {
			c.pursue(w)
		}
		c.pursueMoves()
		for _, m := range c.sortedMachines() {
			c.proceed(m)
		}
	}
	c.flush()
	return c.out
}

func (c *Core) take(ev Event) {
	switch ev := ev.(type) {
	case WaveAsked:
		c.asked(ev)
	case WaveDropped:
		c.dropWave(ev.Number)
	case Restored:
		c.restoring, c.restored = ev, true
		c.moves.restore(ev.Homes)
		for _, w := range c.sortedWaves() {
			c.restore(w)
		}
	case PoolsKnown:
		c.pools = ev.Pools
	case Listed:
		c.list(ev)
	case WorkersKnown:
		clear(c.born)
		for i := range ev.Workers {
			c.born[ev.Workers[i].ID] = ev.Workers[i].Born
		}
	case RightConfirmed:
		c.rightUntil = ev.Until
	case Answered:
		c.answered(ev)
	case Recorded:
		c.recorded(ev)
	}
}

func (c *Core) emit(e Effect)       { c.out = append(c.out, e) }
func (c *Core) count(reason string) { c.counters[reason]++ }

// ask reads the list when it is time.
func (c *Core) ask() {
	if c.listing || c.now < c.nextList || !c.Active() {
		return
	}
	c.listing = true
	c.count("machines-listed")
	c.emit(ListMachines{})
}

func (c *Core) list(ev Listed) {
	c.listing = false
	// A list without machines is taken for none, as all would count as gone.
	if ev.Failed || len(ev.Machines) == 0 {
		c.count("list-failed")
		c.listPause = min(max(2*c.listPause, listBusy), listOpen)
		if len(c.waves) == 0 {
			c.listPause = listQuiet
		}
		c.nextList = c.now + c.listPause
		return
	}
	c.listPause = 0
	c.known, c.listedAt = true, ev.Sent
	for _, m := range c.machines {
		m.present = false
	}
	for _, x := range ev.Machines {
		m := c.machine(x.Name)
		m.present, m.misses = true, 0
		m.Machine = x
		if x.State != worker.MachineDown {
			m.downFrom = 0
		} else if m.downFrom == 0 {
			m.downFrom = max(c.now, 1)
		}
	}
	for _, m := range c.machines {
		if !m.present {
			if m.misses++; m.misses == 1 {
				m.missing = c.now
			}
		}
		c.see(m, ev.Sent)
	}
	c.nextList = c.now + c.listEvery()
}

// listEvery returns the pause before the next list.
func (c *Core) listEvery() time.Duration {
	every := listQuiet
	switch {
	case c.busy():
		every = listBusy
	case len(c.waves) > 0 || len(c.moves.homes) > 0 || c.moves.wanted:
		every = listOpen
	}
	if c.set.ListsPerSecond > 0 {
		every = max(every, time.Duration(2/c.set.ListsPerSecond*float64(time.Second)))
	}
	return every
}

func (c *Core) busy() bool {
	for _, m := range c.machines {
		if m.errand != nil {
			return true
		}
	}
	return false
}

func (c *Core) machine(name string) *machine {
	m := c.machines[name]
	if m == nil {
		m = &machine{Machine: worker.Machine{Name: name}}
		c.machines[name] = m
	}
	return m
}

func (c *Core) sortedMachines() []*machine {
	out := make([]*machine, 0, len(c.machines))
	for _, m := range c.machines {
		out = append(out, m)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

func (c *Core) sortedWaves() []*wave {
	out := make([]*wave, 0, len(c.waves))
	for _, w := range c.waves {
		out = append(out, w)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Number < out[b].Number })
	return out
}

// mayOrder reports whether orders may be given now: the right is confirmed, no
// former holder's order can be recent, and the list isn't old.
func (c *Core) mayOrder() bool {
	return c.now < c.rightUntil && c.now >= c.began+c.set.DutyLease+c.set.CallTimeout+wayMargin &&
		c.now >= c.nextOrder && c.now >= c.fencedUntil && c.now-c.listedAt <= listOld
}

// spaced takes note of an order.
func (c *Core) spaced() {
	if c.set.OrdersPerSecond > 0 {
		c.nextOrder = c.now + time.Duration(float64(time.Second)/c.set.OrdersPerSecond)
	}
}

// records gathers what is to be written; one record is out at a time.
type records struct {
	number, done int64
	out          bool
	retryAt      time.Duration
	waves        map[int64]bool
	status       map[int64]bool
	homes        map[string]string
	sent         Record
}

func newRecords() records {
	return records{waves: map[int64]bool{}, status: map[int64]bool{}, homes: map[string]string{}}
}

// next is the number of the record that what is gathered now goes into.
func (r *records) next() int64 { return r.number + 1 }

func (c *Core) flush() {
	r := &c.records
	if r.out || c.now < r.retryAt || len(r.waves)+len(r.status)+len(r.homes) == 0 {
		return
	}
	r.number++
	r.out = true
	r.sent = Record{Number: r.number, Homes: r.homes}
	for n := range r.waves {
		if w := c.waves[n]; w != nil {
			r.sent.Progress = append(r.sent.Progress, w.progress(c))
		}
	}
	for n, completed := range r.status {
		r.sent.Status = append(r.sent.Status, Status{n, completed})
	}
	slices.SortFunc(r.sent.Progress, func(a, b Progress) int { return int(a.Wave - b.Wave) })
	slices.SortFunc(r.sent.Status, func(a, b Status) int { return int(a.Wave - b.Wave) })
	r.waves, r.status, r.homes = map[int64]bool{}, map[int64]bool{}, map[string]string{}
	c.emit(r.sent)
}

// recordRetry is the pause before a record that failed is written again.
const recordRetry = 500 * time.Millisecond

func (c *Core) recorded(ev Recorded) {
	r := &c.records
	if !r.out || ev.Number != r.number {
		return
	}
	r.out = false
	sent := r.sent
	if ev.Failed {
		r.retryAt = c.now + recordRetry
		for _, p := range sent.Progress {
			r.waves[p.Wave] = true
		}
		for _, s := range sent.Status {
			if _, newer := r.status[s.Wave]; !newer {
				r.status[s.Wave] = s.Completed
			}
		}
		for m, home := range sent.Homes {
			if _, newer := r.homes[m]; !newer {
				r.homes[m] = home
			}
		}
		for _, m := range c.machines {
			if m.errand != nil && m.errand.record == ev.Number {
				m.errand.record = r.next()
			}
		}
		return
	}
	r.done = ev.Number
	for _, s := range sent.Status {
		if s.Completed {
			delete(c.waves, s.Wave)
			c.restoring.Completed = append(c.restoring.Completed, s.Wave)
			c.count("wave-completed")
		}
	}
}
