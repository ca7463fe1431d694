// Package upkeep implements machine maintenance and moves of machines between
// pools. A Core holds the state of the leader: the open maintenance waves, the
// machines that are down for them, and the machines that are being moved. It takes
// events and returns effects; it reads no clock, does no I/O and starts no
// goroutine. A Core isn't safe for concurrent use.
package upkeep

import (
	"slices"
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Settings are fixed for the lifetime of a Core, which is one term of its leader.
type Settings struct {
	// MachineLease is the time after the previous leader's last order for a machine
	// during which this leader must not send one. CallTimeout is the longest time
	// that an order may be in transit.
	MachineLease, CallTimeout time.Duration
	// MaintenanceTime and MoveTime are how long a machine is down for maintenance
	// and for a move.
	MaintenanceTime, MoveTime time.Duration
	// StopTimeout is the longest time that it takes to stop a task.
	StopTimeout time.Duration
	// ListsPerSecond and OrdersPerSecond limit the rates of calls; 0 means no limit.
	ListsPerSecond, OrdersPerSecond float64
}

const (
	// transitMargin is added to the wait for a previous leader's orders.
	transitMargin = 300 * time.Millisecond
	// busyListInterval is the interval between lists while an operation is in
	// progress, waveListInterval while waves are open or moves may be due, and
	// idleListInterval while there is only a standby pool.
	busyListInterval, waveListInterval, idleListInterval = time.Second, 2 * time.Second, 10 * time.Second
	// maxListAge is the maximum age of the list when an order is sent.
	maxListAge = 8 * time.Second
	// maxOrderBackoff bounds the delay after failed orders.
	maxOrderBackoff = 4 * time.Second
	// fencedPause is how long no order is sent after the platform reported a higher
	// token.
	fencedPause = 10 * time.Second
	// pollInterval is how often the core looks for work without an event.
	pollInterval = 100 * time.Millisecond
)

// DispatcherState gives access to the dispatcher's state. It is valid during a Step.
type DispatcherState struct {
	// Evacuated reports whether a worker that is being evacuated no longer runs
	// anything that must not be interrupted.
	Evacuated func(worker string) bool
	// Idle reports whether nothing runs on the worker.
	Idle func(worker string) bool
	// Shortages returns the work that has waited for capacity for at least the
	// given time.
	Shortages func(over time.Duration) []Shortage
}

// Shortage is work of a pool that waits for capacity.
type Shortage struct {
	Pool string
	// Requires is a label that the machine must have; empty means any.
	Requires string
	Size     workflow.Size
}

// Event is an input of the core.
type Event interface{ event() }

// WaveRequested adds or updates a wave requested by operators. KnownSince is when
// this node learned of it.
type WaveRequested struct {
	Wave       worker.MaintenanceWave
	KnownSince time.Duration
}

// WaveCancelled reports that the operators cancelled a wave.
type WaveCancelled struct{ Number int64 }

// StateRestored holds what previous leaders have recorded. No order is sent before
// it.
type StateRestored struct {
	Progress []WaveProgress
	// Completed are the waves with a recorded status of completed.
	Completed []int64
	// HomePools are the standby pools that machines were taken from, by machine.
	HomePools map[string]string
}

// PoolsUpdated holds the pools of the current configuration.
type PoolsUpdated struct{ Pools map[string]workflow.Pool }

// MachinesListed holds the complete list of machines, or reports that it could not
// be read.
type MachinesListed struct {
	Machines []worker.Machine
	// RequestedAt is when the list was requested.
	RequestedAt time.Duration
	Failed      bool
}

// WorkersListed holds the platform's list of workers.
type WorkersListed struct{ Workers []worker.Info }

// LeadershipConfirmed sets until when orders may be sent. The newest one applies.
type LeadershipConfirmed struct{ Until time.Duration }

// OrderAnswered holds the result of an order for a machine.
type OrderAnswered struct {
	Machine string
	Code    worker.MachineCode
}

// RecordWritten reports that a record is in the store or, if Failed is set, that it
// is not known to be.
type RecordWritten struct {
	Number int64
	Failed bool
}

func (WaveRequested) event()       {}
func (WaveCancelled) event()       {}
func (StateRestored) event()       {}
func (PoolsUpdated) event()        {}
func (MachinesListed) event()      {}
func (WorkersListed) event()       {}
func (LeadershipConfirmed) event() {}
func (OrderAnswered) event()       {}
func (RecordWritten) event()       {}

// Effect is an action that the core requests from its caller.
type Effect interface{ effect() }

// ListMachines requests the list of machines. The result is MachinesListed.
type ListMachines struct{}

// OrderMaintenance starts a machine's maintenance. The result is OrderAnswered.
type OrderMaintenance struct {
	Machine string
	Wave    int64
}

// OrderMove moves a machine to a pool. The result is OrderAnswered.
type OrderMove struct{ Machine, Pool string }

// Evacuate keeps new work off a worker and moves its running tasks away, except for
// those that can end on their own before the deadline.
type Evacuate struct {
	Worker   string
	Deadline time.Duration
}

// EndEvacuation ends an evacuation: the worker accepts work again.
type EndEvacuation struct{ Worker string }

// IncarnationEnded reports that nothing runs any more on a worker's incarnations up
// to Born.
type IncarnationEnded struct {
	Worker string
	Born   int64
}

// WriteRecord writes to the store. The result is RecordWritten.
type WriteRecord struct {
	Number int64
	// Progress and Status hold the progress and the status of waves.
	Progress []WaveProgress
	Status   []WaveStatus
	// HomePools are the standby pools that machines were taken from, by machine; an
	// empty value deletes the entry.
	HomePools map[string]string
}

// WaveStatus is the status of a wave.
type WaveStatus struct {
	Wave      int64
	Completed bool
}

// WaveProgress is the recorded progress of a wave, which the next leader restores.
type WaveProgress struct {
	Wave int64 `json:"w"`
	// SinceMillis is when the wave was first known, in Unix milliseconds.
	SinceMillis int64 `json:"t"`
	// Started machines have begun their maintenance. An order may have been sent
	// for Ordered machines.
	Started []string `json:"d,omitempty"`
	Ordered []string `json:"o,omitempty"`
}

func (ListMachines) effect()     {}
func (OrderMaintenance) effect() {}
func (OrderMove) effect()        {}
func (Evacuate) effect()         {}
func (EndEvacuation) effect()    {}
func (IncarnationEnded) effect() {}
func (WriteRecord) effect()      {}

// Core is the state of machine maintenance and moves.
type Core struct {
	settings   Settings
	now        time.Duration
	wallMillis int64
	// termBegan is when the leader's term began.
	termBegan      time.Duration
	confirmedUntil time.Duration
	restored       bool
	restoredState  StateRestored
	waves          map[int64]*wave
	machines       map[string]*machine
	pools          map[string]workflow.Pool
	// born holds the start times of the workers' incarnations, by ID.
	born map[string]int64
	// listedAt is when the newest list was requested; hasList is set if there is one.
	listedAt, nextList, listBackoff time.Duration
	hasList, listInFlight           bool
	// nextOrder limits the rate of orders; no order is sent before fencedUntil.
	nextOrder, fencedUntil time.Duration
	nextPoll               time.Duration
	records                records
	moves                  moves
	dispatcher             DispatcherState
	effects                []Effect
	counters               map[string]int64
}

// machine is the state of a machine.
type machine struct {
	worker.Machine
	// listed is set if the newest list contains the machine; missingSince is when
	// a list first did not.
	listed       bool
	missingSince time.Duration
	missedLists  int
	downSince    time.Duration
	// operation is the operation in progress, or nil.
	operation *operation
	// idleSince is since when nothing runs on the machine, or 0.
	idleSince time.Duration
}

// New returns the core of a leader whose term began at the given time.
func New(settings Settings, began time.Duration) *Core {
	return &Core{
		settings: settings, termBegan: began, waves: map[int64]*wave{}, machines: map[string]*machine{},
		born: map[string]int64{}, counters: map[string]int64{}, records: newRecords(), moves: newMoves(),
	}
}

// Counters returns counts of actions by reason.
func (c *Core) Counters() map[string]int64 { return c.counters }

// Active reports whether there are open waves or standby pools.
func (c *Core) Active() bool { return len(c.waves) > 0 || c.hasStandbyPool() }

// Step processes events and returns the resulting effects. now is the local
// monotonic time, wallMillis the wall clock in Unix milliseconds. Times must not
// decrease.
func (c *Core) Step(now time.Duration, wallMillis int64, dispatcher DispatcherState, events ...Event) []Effect {
	c.now, c.wallMillis, c.dispatcher, c.effects = now, wallMillis, dispatcher, nil
	poll := now >= c.nextPoll
	for _, ev := range events {
		if _, ok := ev.(LeadershipConfirmed); !ok {
			poll = true
		}
		c.handle(ev)
	}
	if !poll {
		return c.effects
	}
	c.nextPoll = now + pollInterval
	c.requestList()
	if !c.restored {
		return c.effects
	}
	if c.hasList {
		for _, w := range c.sortedWaves() {
			c.advanceWave(w)
		}
		c.advanceMoves()
		for _, m := range c.sortedMachines() {
			c.advance(m)
		}
	}
	c.writeRecords()
	return c.effects
}

func (c *Core) handle(ev Event) {
	switch ev := ev.(type) {
	case WaveRequested:
		c.addWave(ev)
	case WaveCancelled:
		c.cancelWave(ev.Number)
	case StateRestored:
		c.restoredState, c.restored = ev, true
		c.moves.restore(ev.HomePools)
		for _, w := range c.sortedWaves() {
			c.restoreWave(w)
		}
	case PoolsUpdated:
		c.pools = ev.Pools
	case MachinesListed:
		c.handleList(ev)
	case WorkersListed:
		clear(c.born)
		for i := range ev.Workers {
			c.born[ev.Workers[i].ID] = ev.Workers[i].Born
		}
	case LeadershipConfirmed:
		c.confirmedUntil = ev.Until
	case OrderAnswered:
		c.handleAnswer(ev)
	case RecordWritten:
		c.handleRecordWritten(ev)
	}
}

func (c *Core) emit(e Effect)       { c.effects = append(c.effects, e) }
func (c *Core) count(reason string) { c.counters[reason]++ }

// requestList requests the list of machines if it is due.
func (c *Core) requestList() {
	if c.listInFlight || c.now < c.nextList || !c.Active() {
		return
	}
	c.listInFlight = true
	c.count("machines-listed")
	c.emit(ListMachines{})
}

func (c *Core) handleList(ev MachinesListed) {
	c.listInFlight = false
	// An empty list counts as failed, because otherwise all machines would count as
	// gone.
	if ev.Failed || len(ev.Machines) == 0 {
		c.count("list-failed")
		c.listBackoff = min(max(2*c.listBackoff, busyListInterval), waveListInterval)
		if len(c.waves) == 0 {
			c.listBackoff = idleListInterval
		}
		c.nextList = c.now + c.listBackoff
		return
	}
	c.listBackoff = 0
	c.hasList, c.listedAt = true, ev.RequestedAt
	for _, m := range c.machines {
		m.listed = false
	}
	for _, listed := range ev.Machines {
		m := c.machine(listed.Name)
		m.listed, m.missedLists = true, 0
		m.Machine = listed
		if listed.State != worker.MachineDown {
			m.downSince = 0
		} else if m.downSince == 0 {
			m.downSince = max(c.now, 1)
		}
	}
	for _, m := range c.machines {
		if !m.listed {
			if m.missedLists++; m.missedLists == 1 {
				m.missingSince = c.now
			}
		}
		c.reconcile(m, ev.RequestedAt)
	}
	c.nextList = c.now + c.listInterval()
}

// listInterval returns the interval until the next list.
func (c *Core) listInterval() time.Duration {
	interval := idleListInterval
	switch {
	case c.hasOperation():
		interval = busyListInterval
	case len(c.waves) > 0 || len(c.moves.homePools) > 0 || c.moves.hasShortage:
		interval = waveListInterval
	}
	if c.settings.ListsPerSecond > 0 {
		interval = max(interval, time.Duration(2/c.settings.ListsPerSecond*float64(time.Second)))
	}
	return interval
}

func (c *Core) hasOperation() bool {
	for _, m := range c.machines {
		if m.operation != nil {
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

// canSendOrder reports whether orders may be sent now: leadership is confirmed, the
// wait for the previous leader's orders is over, neither the rate limit nor a higher
// token forbids it, and the list is recent.
func (c *Core) canSendOrder() bool {
	return c.now < c.confirmedUntil && c.now >= c.termBegan+c.settings.MachineLease+c.settings.CallTimeout+transitMargin &&
		c.now >= c.nextOrder && c.now >= c.fencedUntil && c.now-c.listedAt <= maxListAge
}

// limitOrderRate delays the next order after one has been sent.
func (c *Core) limitOrderRate() {
	if c.settings.OrdersPerSecond > 0 {
		c.nextOrder = c.now + time.Duration(float64(time.Second)/c.settings.OrdersPerSecond)
	}
}

// records collects what has to be written. One record is in flight at a time.
type records struct {
	lastNumber, writtenNumber int64
	inFlight                  bool
	retryAt                   time.Duration
	waves                     map[int64]bool
	status                    map[int64]bool
	homePools                 map[string]string
	sent                      WriteRecord
}

func newRecords() records {
	return records{waves: map[int64]bool{}, status: map[int64]bool{}, homePools: map[string]string{}}
}

// nextNumber returns the number of the record that will hold what is collected now.
func (r *records) nextNumber() int64 { return r.lastNumber + 1 }

func (c *Core) writeRecords() {
	r := &c.records
	if r.inFlight || c.now < r.retryAt || len(r.waves)+len(r.status)+len(r.homePools) == 0 {
		return
	}
	r.lastNumber++
	r.inFlight = true
	r.sent = WriteRecord{Number: r.lastNumber, HomePools: r.homePools}
	for n := range r.waves {
		if w := c.waves[n]; w != nil {
			r.sent.Progress = append(r.sent.Progress, w.progress(c))
		}
	}
	for n, completed := range r.status {
		r.sent.Status = append(r.sent.Status, WaveStatus{n, completed})
	}
	slices.SortFunc(r.sent.Progress, func(a, b WaveProgress) int { return int(a.Wave - b.Wave) })
	slices.SortFunc(r.sent.Status, func(a, b WaveStatus) int { return int(a.Wave - b.Wave) })
	r.waves, r.status, r.homePools = map[int64]bool{}, map[int64]bool{}, map[string]string{}
	c.emit(r.sent)
}

// recordRetryDelay is the delay before a failed record is written again.
const recordRetryDelay = 500 * time.Millisecond

func (c *Core) handleRecordWritten(ev RecordWritten) {
	r := &c.records
	if !r.inFlight || ev.Number != r.lastNumber {
		return
	}
	r.inFlight = false
	sent := r.sent
	if ev.Failed {
		r.retryAt = c.now + recordRetryDelay
		for _, p := range sent.Progress {
			r.waves[p.Wave] = true
		}
		for _, s := range sent.Status {
			if _, newer := r.status[s.Wave]; !newer {
				r.status[s.Wave] = s.Completed
			}
		}
		for m, home := range sent.HomePools {
			if _, newer := r.homePools[m]; !newer {
				r.homePools[m] = home
			}
		}
		for _, m := range c.machines {
			if m.operation != nil && m.operation.recordNumber == ev.Number {
				m.operation.recordNumber = r.nextNumber()
			}
		}
		return
	}
	r.writtenNumber = ev.Number
	for _, s := range sent.Status {
		if s.Completed {
			delete(c.waves, s.Wave)
			c.restoredState.Completed = append(c.restoredState.Completed, s.Wave)
			c.count("wave-completed")
		}
	}
}
