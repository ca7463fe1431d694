package upkeep

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

var testSettings = Settings{DutyLease: 3 * time.Second, CallTimeout: 2 * time.Second, UpkeepTime: 2 * time.Second,
	MoveTime: time.Second, StopTimeout: time.Second}

const tick = 100 * time.Millisecond

// bed is a core with a cloud that does at once what it is told, unless the
// test has it answer else.
type bed struct {
	*WithT
	core     *Core
	now      time.Duration
	machines []worker.Machine
	backAt   map[string]time.Duration
	lives    int
	// unclear workers can't be cleared; answer, if not nil, replaces the cloud's.
	unclear   map[string]bool
	busy      bool
	answer    func(machine string) worker.MachineCode
	shortages []Shortage
	unfit     bool
	noRecords bool
	next      []Event
	effects   []Effect
	orders    []string
	orderedAt []time.Duration
	records   []Record
	most      int
}

func newBed(t *testing.T, machines ...string) *bed {
	b := &bed{WithT: NewWithT(t), core: New(testSettings, 0), backAt: map[string]time.Duration{}, unclear: map[string]bool{}}
	for _, m := range machines {
		b.machines = append(b.machines, worker.Machine{Name: m, Pool: "p", State: worker.MachineUp, Worker: m + "-w", Labels: []string{"k"},
			Capacity: workflow.Size{MilliCPU: 4}})
	}
	b.next = append(b.next, Restored{})
	return b
}

func (b *bed) find(name string) *worker.Machine {
	for i := range b.machines {
		if b.machines[i].Name == name {
			return &b.machines[i]
		}
	}
	return &worker.Machine{}
}

func (b *bed) run(d time.Duration) {
	for end := b.now + d; b.now < end; b.now += tick {
		b.step()
	}
}

func (b *bed) step() {
	down := 0
	for i := range b.machines {
		m := &b.machines[i]
		if at, ok := b.backAt[m.Name]; ok && b.now >= at {
			delete(b.backAt, m.Name)
			m.State, b.lives = worker.MachineUp, b.lives+1
			m.Worker += "x"
		}
		if m.State == worker.MachineUpkeep {
			down++
		}
	}
	b.most = max(b.most, down)
	events := append(b.next, RightConfirmed{b.now + time.Second})
	if b.unfit {
		events[len(events)-1] = RightConfirmed{b.now}
	}
	b.next = nil
	facts := Facts{Clear: func(w string) bool { return !b.unclear[w] }, Idle: func(string) bool { return !b.busy },
		Shortages: func(time.Duration) []Shortage { return b.shortages }}
	for _, e := range b.core.Step(b.now, b.now.Milliseconds(), facts, events...) {
		b.effects = append(b.effects, e)
		switch e := e.(type) {
		case ListMachines:
			b.next = append(b.next, Listed{Machines: append([]worker.Machine(nil), b.machines...), Sent: b.now})
		case Record:
			b.records = append(b.records, e)
			if !b.noRecords {
				b.next = append(b.next, Recorded{Number: e.Number})
			}
		case OrderUpkeep:
			b.order(e.Machine, worker.MachineUpkeep, "")
		case OrderMove:
			b.order(e.Machine, worker.MachineMoving, e.Pool)
		}
	}
}

func (b *bed) order(name, state, pool string) {
	b.orders, b.orderedAt = append(b.orders, name), append(b.orderedAt, b.now)
	code := worker.MachineOK
	if b.answer != nil {
		code = b.answer(name)
	}
	if code == worker.MachineOK {
		m := b.find(name)
		m.State = state
		b.backAt[name] = b.now + testSettings.UpkeepTime
		if pool != "" {
			m.Pool = pool
		}
	}
	b.next = append(b.next, Answered{Machine: name, Code: code})
}

func (b *bed) ask(d time.Duration, most int, machines ...string) {
	b.next = append(b.next, WaveAsked{Wave: worker.Wave{Number: 1, Machines: machines, Duration: d, Most: most}, Since: b.now})
}

// status returns the newest recorded status of the wave.
func (b *bed) status() (completed, running bool) {
	for _, r := range b.records {
		for _, s := range r.Status {
			completed, running = s.Completed, running || !s.Completed
		}
	}
	return completed, running
}

func TestWaveIsSpreadAndCompleted(t *testing.T) {
	b := newBed(t, "a", "b", "c", "d")
	b.ask(60*time.Second, 1, "a", "b", "c", "d")
	b.run(60 * time.Second)
	b.Expect(b.orders).To(Equal([]string{"a", "b", "c", "d"}))
	b.Expect(b.orderedAt[3] - b.orderedAt[0]).To(BeNumerically(">", 10*time.Second))
	completed, running := b.status()
	b.Expect(completed && running).To(BeTrue())
	b.Expect(b.core.Active()).To(BeFalse())
}

func TestUrgentWaveKeepsItsBound(t *testing.T) {
	for most := 1; most <= 3; most++ {
		b := newBed(t, "a", "b", "c", "d", "e", "f")
		b.ask(time.Second, most, "a", "b", "c", "d", "e", "f")
		b.run(60 * time.Second)
		b.Expect(b.orders).To(HaveLen(6))
		b.Expect(b.most).To(Equal(most))
	}
}

func TestNoOrderBeforeTheFormerHoldersLease(t *testing.T) {
	b := newBed(t, "a")
	b.ask(time.Second, 1, "a")
	b.run(20 * time.Second)
	b.Expect(b.orderedAt[0]).To(BeNumerically(">=", testSettings.DutyLease+testSettings.CallTimeout))
	b.Expect(b.effects[0]).To(Equal(ListMachines{}))
}

func TestNoOrderWithoutRightRecordOrClearWorker(t *testing.T) {
	for name, edit := range map[string]func(*bed){
		"right":   func(b *bed) { b.unfit = true },
		"record":  func(b *bed) { b.noRecords = true },
		"clear":   func(b *bed) { b.unclear["a-w"] = true },
		"restore": func(b *bed) { b.next = nil },
	} {
		b := newBed(t, "a")
		edit(b)
		b.ask(10*time.Second, 1, "a")
		b.run(60 * time.Second)
		b.Expect(b.orders).To(BeEmpty(), name)
	}
}

func TestUnansweredOrderCountsAsDownAndIsAskedAgain(t *testing.T) {
	b := newBed(t, "a", "b")
	b.answer = func(m string) worker.MachineCode {
		if m == "a" {
			return worker.MachineUnanswered
		}
		return worker.MachineOK
	}
	b.ask(time.Second, 1, "a", "b")
	b.run(40 * time.Second)
	b.Expect(len(b.orders)).To(BeNumerically(">", 4))
	b.Expect(b.orders).NotTo(ContainElement("b"))
	b.answer = nil
	b.run(30 * time.Second)
	b.Expect(b.orders).To(ContainElement("b"))
	completed, _ := b.status()
	b.Expect(completed).To(BeTrue())
}

func TestRefusalsAreNoUpkeep(t *testing.T) {
	for _, code := range []worker.MachineCode{worker.MachineRefused, worker.MachineBusy, worker.MachineWrong, worker.MachineFenced} {
		b := newBed(t, "a", "b")
		b.answer = func(m string) worker.MachineCode {
			if m == "a" {
				return code
			}
			return worker.MachineOK
		}
		b.ask(time.Second, 1, "a", "b")
		b.run(90 * time.Second)
		completed, _ := b.status()
		b.Expect(completed).To(BeFalse())
		b.Expect(len(b.orders)).To(BeNumerically("<", 40), "backoff")
		b.answer = nil
		b.run(90 * time.Second)
		completed, _ = b.status()
		b.Expect(completed).To(BeTrue())
	}
}

// TestNewHolderFinishesWhatMayHaveBeenOrdered checks that a machine that a former
// holder may have ordered counts as down, and is asked for first.
func TestNewHolderFinishesWhatMayHaveBeenOrdered(t *testing.T) {
	b := newBed(t, "a", "b", "c")
	b.next = []Event{Restored{Progress: []Progress{{Wave: 1, Done: []string{"a"}, Ordered: []string{"c"}}}}}
	b.ask(time.Second, 1, "a", "b", "c")
	b.run(40 * time.Second)
	b.Expect(b.orders).To(Equal([]string{"c", "b"}))
	b.Expect(b.most).To(Equal(1))
	completed, _ := b.status()
	b.Expect(completed).To(BeTrue())
}

func TestCompletedWaveIsLeftAlone(t *testing.T) {
	b := newBed(t, "a")
	b.next = []Event{Restored{Completed: []int64{1}}}
	b.ask(time.Second, 1, "a")
	b.run(20 * time.Second)
	b.Expect(b.orders).To(BeEmpty())
	b.Expect(b.core.Active()).To(BeFalse())
}

func TestOrderIsRecordedFirst(t *testing.T) {
	b := newBed(t, "a")
	b.ask(time.Second, 1, "a")
	for len(b.orders) == 0 && b.now < time.Minute {
		b.run(tick)
	}
	last := b.records[len(b.records)-1]
	b.Expect(last.Progress).To(HaveLen(1))
	b.Expect(last.Progress[0].Ordered).To(Equal([]string{"a"}))
}

func TestMachineThatLeavesForGood(t *testing.T) {
	b := newBed(t, "a", "b")
	b.ask(time.Second, 1, "a", "b")
	b.run(2 * time.Second)
	b.machines = b.machines[:1]
	b.run(8 * time.Second)
	completed, _ := b.status()
	b.Expect(completed).To(BeFalse(), "it may come back")
	b.run(20 * time.Second)
	completed, _ = b.status()
	b.Expect(completed).To(BeTrue())
}

func TestEmptyOrFailedListIsNone(t *testing.T) {
	b := newBed(t)
	b.ask(time.Second, 1, "a")
	b.run(60 * time.Second)
	completed, _ := b.status()
	b.Expect(completed).To(BeFalse())
	b.Expect(len(b.effects)).To(BeNumerically("<=", 1+int(time.Minute/listOpen)), "it is read no more often")
}

func TestWaveTakenBackLetsItsWorkersGo(t *testing.T) {
	b := newBed(t, "a")
	b.unclear["a-w"] = true
	b.ask(time.Minute, 1, "a")
	b.run(3 * time.Second)
	b.next = append(b.next, WaveDropped{1})
	b.run(30 * time.Second)
	b.Expect(b.effects).To(ContainElement(Resume{Worker: "a-w"}))
	b.Expect(b.orders).To(BeEmpty())
}

// standby makes a bed with machines on standby, of which s can be moved to p.
func standbyBed(t *testing.T) *bed {
	b := newBed(t, "a", "s", "u")
	b.find("s").Pool, b.find("u").Pool, b.find("u").Labels = "spare", "spare", []string{"other"}
	b.next = append(b.next, PoolsKnown{map[string]workflow.Pool{"p": {Name: "p"}, "spare": {Name: "spare", Standby: true}}})
	b.shortages = []Shortage{{Pool: "p", Size: workflow.Size{MilliCPU: 2}}}
	return b
}

func TestStandbyMachineIsMovedAndMovedBack(t *testing.T) {
	b := standbyBed(t)
	b.run(30 * time.Second)
	b.Expect(b.orders).To(Equal([]string{"s"}))
	b.Expect(b.find("s").Pool).To(Equal("p"))
	b.shortages, b.busy = nil, true
	b.run(60 * time.Second)
	b.Expect(b.orders).To(HaveLen(1), "it isn't idle")
	b.busy, b.unclear["a-w"] = false, true
	b.ask(time.Minute, 1, "a")
	b.run(50 * time.Second)
	b.Expect(b.find("s").Pool).To(Equal("p"), "a wave is open")
	b.unclear["a-w"] = false
	b.run(120 * time.Second)
	b.Expect(b.find("s").Pool).To(Equal("spare"))
	b.Expect(b.records[len(b.records)-1].Homes).To(Equal(map[string]string{"s": ""}))
}

func TestWrongMoveIsNeverTriedAgain(t *testing.T) {
	b := standbyBed(t)
	b.answer = func(string) worker.MachineCode { return worker.MachineWrong }
	b.run(5 * time.Minute)
	b.Expect(b.orders).To(Equal([]string{"s"}))
}

func TestMoveNeedsRoomForTheWork(t *testing.T) {
	b := standbyBed(t)
	b.shortages = []Shortage{{Pool: "p", Size: workflow.Size{MilliCPU: 5}}, {Pool: "p", Requires: "none"}, {Pool: "spare"}}
	b.run(time.Minute)
	b.Expect(b.orders).To(BeEmpty())
}
