package upkeep

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

var testSettings = Settings{MachineLease: 3 * time.Second, CallTimeout: 2 * time.Second, MaintenanceTime: 2 * time.Second,
	MoveTime: time.Second, StopTimeout: time.Second}

const tick = 100 * time.Millisecond

// fixture runs a core against a fake platform that executes orders immediately,
// unless the test sets other answers.
type fixture struct {
	*WithT
	core      *Core
	now       time.Duration
	machines  []worker.Machine
	returnsAt map[string]time.Duration
	returns   int
	// notEvacuated workers never finish their evacuation; answerOrder, if not nil,
	// replaces the platform's answer to an order.
	notEvacuated          map[string]bool
	busy                  bool
	answerOrder           func(machine string) worker.MachineCode
	shortages             []Shortage
	leadershipUnconfirmed bool
	dropRecords           bool
	pendingEvents         []Event
	effects               []Effect
	orders                []string
	orderedAt             []time.Duration
	records               []WriteRecord
	maxInMaintenance      int
}

func newFixture(t *testing.T, machines ...string) *fixture {
	b := &fixture{WithT: NewWithT(t), core: New(testSettings, 0), returnsAt: map[string]time.Duration{}, notEvacuated: map[string]bool{}}
	for _, m := range machines {
		b.machines = append(b.machines, worker.Machine{Name: m, Pool: "p", State: worker.MachineUp, Worker: m + "-w", Labels: []string{"k"},
			Capacity: workflow.Size{MilliCPU: 4}})
	}
	b.pendingEvents = append(b.pendingEvents, StateRestored{})
	return b
}

func (b *fixture) machine(name string) *worker.Machine {
	for i := range b.machines {
		if b.machines[i].Name == name {
			return &b.machines[i]
		}
	}
	return &worker.Machine{}
}

func (b *fixture) run(d time.Duration) {
	for end := b.now + d; b.now < end; b.now += tick {
		b.step()
	}
}

func (b *fixture) step() {
	inMaintenance := 0
	for i := range b.machines {
		m := &b.machines[i]
		if at, ok := b.returnsAt[m.Name]; ok && b.now >= at {
			delete(b.returnsAt, m.Name)
			m.State, b.returns = worker.MachineUp, b.returns+1
			m.Worker += "x"
		}
		if m.State == worker.MachineMaintenance {
			inMaintenance++
		}
	}
	b.maxInMaintenance = max(b.maxInMaintenance, inMaintenance)
	events := append(b.pendingEvents, LeadershipConfirmed{b.now + time.Second})
	if b.leadershipUnconfirmed {
		events[len(events)-1] = LeadershipConfirmed{b.now}
	}
	b.pendingEvents = nil
	facts := DispatcherState{Evacuated: func(w string) bool { return !b.notEvacuated[w] }, Idle: func(string) bool { return !b.busy },
		Shortages: func(time.Duration) []Shortage { return b.shortages }}
	for _, e := range b.core.Step(b.now, b.now.Milliseconds(), facts, events...) {
		b.effects = append(b.effects, e)
		switch e := e.(type) {
		case ListMachines:
			b.pendingEvents = append(b.pendingEvents, MachinesListed{Machines: append([]worker.Machine(nil), b.machines...), RequestedAt: b.now})
		case WriteRecord:
			b.records = append(b.records, e)
			if !b.dropRecords {
				b.pendingEvents = append(b.pendingEvents, RecordWritten{Number: e.Number})
			}
		case OrderMaintenance:
			b.order(e.Machine, worker.MachineMaintenance, "")
		case OrderMove:
			b.order(e.Machine, worker.MachineMoving, e.Pool)
		}
	}
}

func (b *fixture) order(name, state, pool string) {
	b.orders, b.orderedAt = append(b.orders, name), append(b.orderedAt, b.now)
	code := worker.MachineOK
	if b.answerOrder != nil {
		code = b.answerOrder(name)
	}
	if code == worker.MachineOK {
		m := b.machine(name)
		m.State = state
		b.returnsAt[name] = b.now + testSettings.MaintenanceTime
		if pool != "" {
			m.Pool = pool
		}
	}
	b.pendingEvents = append(b.pendingEvents, OrderAnswered{Machine: name, Code: code})
}

func (b *fixture) requestWave(d time.Duration, maxUnavailable int, machines ...string) {
	b.pendingEvents = append(b.pendingEvents, WaveRequested{Wave: worker.MaintenanceWave{Number: 1, Machines: machines, Duration: d, MaxUnavailable: maxUnavailable}, KnownSince: b.now})
}

// status returns the newest recorded status of the wave, and whether it was ever
// recorded as running.
func (b *fixture) status() (completed, running bool) {
	for _, r := range b.records {
		for _, s := range r.Status {
			completed, running = s.Completed, running || !s.Completed
		}
	}
	return completed, running
}

// TestWaveIsSpreadAndCompleted checks that the machines of a wave are taken down one
// after the other over its duration, and that the wave is then completed.
func TestWaveIsSpreadAndCompleted(t *testing.T) {
	b := newFixture(t, "a", "b", "c", "d")
	b.requestWave(60*time.Second, 1, "a", "b", "c", "d")
	b.run(60 * time.Second)
	b.Expect(b.orders).To(Equal([]string{"a", "b", "c", "d"}))
	b.Expect(b.orderedAt[3] - b.orderedAt[0]).To(BeNumerically(">", 10*time.Second))
	completed, running := b.status()
	b.Expect(completed && running).To(BeTrue())
	b.Expect(b.core.Active()).To(BeFalse())
}

// TestUrgentWaveRespectsMaxUnavailable checks that a wave without time to spare takes
// down as many machines at once as MaxUnavailable allows, and no more.
func TestUrgentWaveRespectsMaxUnavailable(t *testing.T) {
	for maxUnavailable := 1; maxUnavailable <= 3; maxUnavailable++ {
		b := newFixture(t, "a", "b", "c", "d", "e", "f")
		b.requestWave(time.Second, maxUnavailable, "a", "b", "c", "d", "e", "f")
		b.run(60 * time.Second)
		b.Expect(b.orders).To(HaveLen(6))
		b.Expect(b.maxInMaintenance).To(Equal(maxUnavailable))
	}
}

// TestNoOrderBeforeThePreviousLeadersLeaseExpires checks that a new leader sends no
// order while one of the previous leader may still be executed.
func TestNoOrderBeforeThePreviousLeadersLeaseExpires(t *testing.T) {
	b := newFixture(t, "a")
	b.requestWave(time.Second, 1, "a")
	b.run(20 * time.Second)
	b.Expect(b.orderedAt[0]).To(BeNumerically(">=", testSettings.MachineLease+testSettings.CallTimeout))
	b.Expect(b.effects[0]).To(Equal(ListMachines{}))
}

// TestNoOrderUntilPreconditionsAreMet checks that no order is sent without confirmed
// leadership, a stored record of the intent, an evacuated worker and restored state.
func TestNoOrderUntilPreconditionsAreMet(t *testing.T) {
	for name, edit := range map[string]func(*fixture){
		"right":   func(b *fixture) { b.leadershipUnconfirmed = true },
		"record":  func(b *fixture) { b.dropRecords = true },
		"clear":   func(b *fixture) { b.notEvacuated["a-w"] = true },
		"restore": func(b *fixture) { b.pendingEvents = nil },
	} {
		b := newFixture(t, "a")
		edit(b)
		b.requestWave(10*time.Second, 1, "a")
		b.run(60 * time.Second)
		b.Expect(b.orders).To(BeEmpty(), name)
	}
}

// TestUnansweredOrderCountsAsDownAndIsRetried checks that a machine whose order had no
// answer counts against MaxUnavailable, because the order may have been executed, and
// that the order is sent again.
func TestUnansweredOrderCountsAsDownAndIsRetried(t *testing.T) {
	b := newFixture(t, "a", "b")
	b.answerOrder = func(m string) worker.MachineCode {
		if m == "a" {
			return worker.MachineUnanswered
		}
		return worker.MachineOK
	}
	b.requestWave(time.Second, 1, "a", "b")
	b.run(40 * time.Second)
	b.Expect(len(b.orders)).To(BeNumerically(">", 4))
	b.Expect(b.orders).NotTo(ContainElement("b"))
	b.answerOrder = nil
	b.run(30 * time.Second)
	b.Expect(b.orders).To(ContainElement("b"))
	completed, _ := b.status()
	b.Expect(completed).To(BeTrue())
}

// TestRefusedOrderIsNotCountedAsMaintenance checks that an order that was not executed
// doesn't complete the wave and is retried with a backoff.
func TestRefusedOrderIsNotCountedAsMaintenance(t *testing.T) {
	for _, code := range []worker.MachineCode{worker.MachineRefused, worker.MachineBusy, worker.MachineInvalid, worker.MachineFenced} {
		b := newFixture(t, "a", "b")
		b.answerOrder = func(m string) worker.MachineCode {
			if m == "a" {
				return code
			}
			return worker.MachineOK
		}
		b.requestWave(time.Second, 1, "a", "b")
		b.run(90 * time.Second)
		completed, _ := b.status()
		b.Expect(completed).To(BeFalse())
		b.Expect(len(b.orders)).To(BeNumerically("<", 40), "backoff")
		b.answerOrder = nil
		b.run(90 * time.Second)
		completed, _ = b.status()
		b.Expect(completed).To(BeTrue())
	}
}

// TestNewLeaderFinishesPossiblyOrderedMachines checks that a machine for which a
// previous leader may have sent an order counts as down and is ordered first.
func TestNewLeaderFinishesPossiblyOrderedMachines(t *testing.T) {
	b := newFixture(t, "a", "b", "c")
	b.pendingEvents = []Event{StateRestored{Progress: []WaveProgress{{Wave: 1, Started: []string{"a"}, Ordered: []string{"c"}}}}}
	b.requestWave(time.Second, 1, "a", "b", "c")
	b.run(40 * time.Second)
	b.Expect(b.orders).To(Equal([]string{"c", "b"}))
	b.Expect(b.maxInMaintenance).To(Equal(1))
	completed, _ := b.status()
	b.Expect(completed).To(BeTrue())
}

// TestCompletedWaveIsNotRepeated checks that a new leader doesn't repeat a wave that is
// recorded as completed.
func TestCompletedWaveIsNotRepeated(t *testing.T) {
	b := newFixture(t, "a")
	b.pendingEvents = []Event{StateRestored{Completed: []int64{1}}}
	b.requestWave(time.Second, 1, "a")
	b.run(20 * time.Second)
	b.Expect(b.orders).To(BeEmpty())
	b.Expect(b.core.Active()).To(BeFalse())
}

// TestOrderIsRecordedBeforeItIsSent checks that the store holds the intent before the
// order is sent, so that the next leader knows of the order.
func TestOrderIsRecordedBeforeItIsSent(t *testing.T) {
	b := newFixture(t, "a")
	b.requestWave(time.Second, 1, "a")
	for len(b.orders) == 0 && b.now < time.Minute {
		b.run(tick)
	}
	last := b.records[len(b.records)-1]
	b.Expect(last.Progress).To(HaveLen(1))
	b.Expect(last.Progress[0].Ordered).To(Equal([]string{"a"}))
}

// TestRemovedMachineDoesNotBlockTheWave checks that a wave completes without a machine
// that is missing from the lists, but not before goneAfter, as it may come back.
func TestRemovedMachineDoesNotBlockTheWave(t *testing.T) {
	b := newFixture(t, "a", "b")
	b.requestWave(time.Second, 1, "a", "b")
	b.run(2 * time.Second)
	b.machines = b.machines[:1]
	b.run(8 * time.Second)
	completed, _ := b.status()
	b.Expect(completed).To(BeFalse(), "the machine may come back")
	b.run(20 * time.Second)
	completed, _ = b.status()
	b.Expect(completed).To(BeTrue())
}

// TestEmptyListIsTreatedAsFailed checks that an empty list doesn't count all machines
// as removed, which would complete the wave, and is not requested more often.
func TestEmptyListIsTreatedAsFailed(t *testing.T) {
	b := newFixture(t)
	b.requestWave(time.Second, 1, "a")
	b.run(60 * time.Second)
	completed, _ := b.status()
	b.Expect(completed).To(BeFalse())
	b.Expect(len(b.effects)).To(BeNumerically("<=", 1+int(time.Minute/waveListInterval)), "the list is not requested more often")
}

// TestCancelledWaveEndsEvacuation checks that the workers of a cancelled wave accept
// work again.
func TestCancelledWaveEndsEvacuation(t *testing.T) {
	b := newFixture(t, "a")
	b.notEvacuated["a-w"] = true
	b.requestWave(time.Minute, 1, "a")
	b.run(3 * time.Second)
	b.pendingEvents = append(b.pendingEvents, WaveCancelled{1})
	b.run(30 * time.Second)
	b.Expect(b.effects).To(ContainElement(EndEvacuation{Worker: "a-w"}))
	b.Expect(b.orders).To(BeEmpty())
}

// newStandbyFixture returns a fixture with two standby machines, of which s can be
// moved to pool p and u can't because it is of another kind.
func newStandbyFixture(t *testing.T) *fixture {
	b := newFixture(t, "a", "s", "u")
	b.machine("s").Pool, b.machine("u").Pool, b.machine("u").Labels = "spare", "spare", []string{"other"}
	b.pendingEvents = append(b.pendingEvents, PoolsUpdated{map[string]workflow.Pool{"p": {Name: "p"}, "spare": {Name: "spare", Standby: true}}})
	b.shortages = []Shortage{{Pool: "p", Size: workflow.Size{MilliCPU: 2}}}
	return b
}

// TestStandbyMachineIsMovedAndMovedBack checks that a standby machine is moved to a
// pool with a shortage, and back when it is idle and no wave is open.
func TestStandbyMachineIsMovedAndMovedBack(t *testing.T) {
	b := newStandbyFixture(t)
	b.run(30 * time.Second)
	b.Expect(b.orders).To(Equal([]string{"s"}))
	b.Expect(b.machine("s").Pool).To(Equal("p"))
	b.shortages, b.busy = nil, true
	b.run(60 * time.Second)
	b.Expect(b.orders).To(HaveLen(1), "the machine isn't idle")
	b.busy, b.notEvacuated["a-w"] = false, true
	b.requestWave(time.Minute, 1, "a")
	b.run(50 * time.Second)
	b.Expect(b.machine("s").Pool).To(Equal("p"), "a wave is open")
	b.notEvacuated["a-w"] = false
	b.run(120 * time.Second)
	b.Expect(b.machine("s").Pool).To(Equal("spare"))
	b.Expect(b.records[len(b.records)-1].HomePools).To(Equal(map[string]string{"s": ""}))
}

// TestInvalidMoveIsNotRetried checks that a move that the platform will never execute
// is ordered only once.
func TestInvalidMoveIsNotRetried(t *testing.T) {
	b := newStandbyFixture(t)
	b.answerOrder = func(string) worker.MachineCode { return worker.MachineInvalid }
	b.run(5 * time.Minute)
	b.Expect(b.orders).To(Equal([]string{"s"}))
}

// TestMoveNeedsSufficientCapacity checks that no machine is moved for work that it
// can't run: too large, with an unknown label, or of a standby pool.
func TestMoveNeedsSufficientCapacity(t *testing.T) {
	b := newStandbyFixture(t)
	b.shortages = []Shortage{{Pool: "p", Size: workflow.Size{MilliCPU: 5}}, {Pool: "p", Requires: "none"}, {Pool: "spare"}}
	b.run(time.Minute)
	b.Expect(b.orders).To(BeEmpty())
}
