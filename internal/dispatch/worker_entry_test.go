package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const oddEntryBorn = 1_700_000_000_000

// addresses, births and others are edits that make another writer's entry of a worker's own.
var (
	addresses = map[string]func(*worker.Info){
		"same born":         func(i *worker.Info) { i.Address = "x:1" },
		"no born":           func(i *worker.Info) { i.Address, i.Born = "x:1", 0 },
		"of another worker": func(i *worker.Info) { i.Address = "w2:1" },
	}
	births = map[string]func(*worker.Info){
		"lower":                  func(i *worker.Info) { i.Born = 5 },
		"lower, other address":   func(i *worker.Info) { i.Address, i.Born = "x:1", 5 },
		"higher":                 func(i *worker.Info) { i.Born = oddEntryBorn + 60_000 },
		"higher, other address":  func(i *worker.Info) { i.Address, i.Born = "x:1", oddEntryBorn+60_000 },
		"none":                   func(i *worker.Info) { i.Born = 0 },
		"negative, other labels": func(i *worker.Info) { i.Labels, i.Born = nil, -1 },
	}
	others = map[string]func(*worker.Info){
		"pool":        func(i *worker.Info) { i.Pool = "x" },
		"no labels":   func(i *worker.Info) { i.Labels = nil },
		"no capacity": func(i *worker.Info) { i.Capacity = workflow.Size{} },
		"very much capacity": func(i *worker.Info) {
			i.Capacity = workflow.Size{MilliCPU: 1 << 40, MemoryMiB: 1 << 40, Accelerators: 1 << 40}
		},
	}
)

func ownEntry(*worker.Info) {}

// oddHarness is a harness with workers w1 and w2, of which list lists w2 only if it is named.
func oddHarness(t *testing.T) *harness {
	b := newHarness(t, "w1", "w2")
	b.workers["w1"].lists.Born, b.workers["w2"].lists.Born = oddEntryBorn, oddEntryBorn
	return b
}

func (b *harness) list(editFirst func(*worker.Info), more ...string) {
	infos := []worker.Info{testInfo("w1", oddEntryBorn)}
	editFirst(&infos[0])
	for _, id := range more {
		infos = append(infos, testInfo(id, oddEntryBorn))
	}
	b.queuedEvents = append(b.queuedEvents, WorkersListed{infos})
}

// advanceByAddress is advance where nothing listens at other addresses than the workers' own.
func (b *harness) advanceByAddress(d time.Duration) {
	for end := b.now + d; b.now < end; b.now += tick {
		events := append(b.queuedEvents, LeadershipConfirmed{b.now + 5*time.Second})
		b.queuedEvents = nil
		for _, e := range b.core.Step(b.now, b.now.Milliseconds(), events...) {
			var o worker.Order
			switch e := e.(type) {
			case SendHeartbeat:
				o = e.Heartbeat.Order
			case StartTask:
				o = e.Start.Order
			case StopTask:
				o = e.Stop.Order
			}
			if w := b.workers[o.Worker]; w != nil {
				w.addressReused = o.Address == "w2:1" && o.Worker == "w1"
				w.crashed = o.Address != o.Worker+":1" && !w.addressReused
			}
			b.answer(e)
		}
	}
}

// expectRunGoesOn checks that a task's only run goes on while entries of another writer come and go.
func expectRunGoesOn(t *testing.T, cases map[string]func(*worker.Info)) {
	for name, odd := range cases {
		t.Run(name, func(t *testing.T) {
			b := oddHarness(t)
			b.list(ownEntry)
			b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
			b.advanceByAddress(500 * time.Millisecond)
			b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}))
			incarnation := b.core.hosts["w1"].incarnation
			for range 3 {
				b.list(odd, "w2")
				b.advanceByAddress(3 * time.Second)
				b.list(ownEntry, "w2")
				b.advanceByAddress(3 * time.Second)
			}
			b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}), "its run goes on")
			b.Expect(b.stops).To(BeEmpty())
			b.Expect(b.core.hosts["w1"].incarnation).To(Equal(incarnation))
			b.workers["w1"].end(testTaskID("j", 0), worker.Done)
			b.list(ownEntry)
			b.acceptJob("next", testOffset+2, workflow.Step{}, workflow.Progress{})
			b.advanceByAddress(time.Second)
			b.Expect(b.startHosts("next")).To(Equal([]string{"w1"}), "the worker gets work")
		})
	}
}

// expectUsable checks that a worker gets work soon after another writer's entry, which the leader read first, is replaced.
func expectUsable(t *testing.T, cases map[string]func(*worker.Info)) {
	for name, odd := range cases {
		t.Run(name, func(t *testing.T) {
			b := oddHarness(t)
			b.list(odd)
			b.advanceByAddress(3 * time.Second)
			b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
			for range 3 {
				b.list(ownEntry)
				b.advanceByAddress(time.Second)
			}
			b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}))
			b.Expect(b.core.hosts["w1"].free).To(Equal(workflow.Size{}))
		})
	}
}

func TestRunGoesOnUnderOddEntry(t *testing.T) { expectRunGoesOn(t, others) }

func TestRunGoesOnUnderOddBorn(t *testing.T) { expectRunGoesOn(t, births) }

// The worker was taken for crashed because nothing listens at the address in another writer's entry, and its task was started twice.
func TestRunGoesOnUnderOddAddress(t *testing.T) { expectRunGoesOn(t, addresses) }

func TestWorkerIsUsableAfterOddEntry(t *testing.T) { expectUsable(t, others) }

func TestWorkerIsUsableAfterOddAddress(t *testing.T) { expectUsable(t, addresses) }

// The worker's answers were taken for those of an earlier incarnation until the end of the term.
func TestWorkerIsUsableAfterOddBorn(t *testing.T) { expectUsable(t, births) }

// Each list with such an entry made the worker unusable, and two records were written.
func TestHigherBornThatStaysCostsOneCheck(t *testing.T) {
	for _, name := range []string{"higher", "higher, other address"} {
		t.Run(name, func(t *testing.T) {
			b := oddHarness(t)
			b.list(ownEntry)
			b.advanceByAddress(500 * time.Millisecond)
			for range 20 {
				b.list(births[name])
				b.advanceByAddress(200 * time.Millisecond)
			}
			records := 0
			for _, x := range b.commits {
				records += len(x.Registered)
			}
			b.Expect(records).To(BeNumerically("<=", 3), "the incarnation, a loss of contact and its end")
			b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
			for range 10 {
				b.list(births[name])
				b.advanceByAddress(100 * time.Millisecond)
			}
			b.Expect(b.startHosts("j")).To(Equal([]string{"w1"}))
		})
	}
}

// A worker that answers with a lower born than its entry's was asked again at each step.
func TestAnswersThatContradictEntryAreNotAskedForAtOnce(t *testing.T) {
	b := oddHarness(t)
	b.list(births["higher"])
	b.advanceByAddress(2 * time.Second)
	atOnce := 0
	for _, x := range b.heartbeats {
		if x.Heartbeat.Wait == 0 {
			atOnce++
		}
	}
	b.Expect(atOnce).To(BeNumerically("<=", int(2*time.Second/heartbeatRetry)+1))
}

// A worker that was started again at another address got no work as long as its former address was silent.
func TestNextIncarnationAtAnotherAddressIsReached(t *testing.T) {
	for name, step := range map[string]*workflow.Step{"idle": nil, "with a run": {}} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, "w1")
			w, info := b.workers["w1"], testInfo("w1", 1)
			b.queuedEvents = append(b.queuedEvents, WorkersListed{[]worker.Info{info}})
			if step != nil {
				b.acceptJob("j", testOffset+1, *step, workflow.Progress{})
			}
			b.advance(500 * time.Millisecond)
			w.unreachable = true
			b.advance(time.Second)
			info.Born, info.Address = 2, "new:1"
			for range 20 {
				b.queuedEvents = append(b.queuedEvents, WorkersListed{[]worker.Info{info}})
				b.advance(time.Second)
			}
			b.Expect(b.lastHeartbeat("w1").Heartbeat.Address).To(Equal("new:1"))
		})
	}
}

// A new leader looked for a worker's runs at the address in another writer's entry, and started its task a second time.
func TestInheritedRunGoesOnUnderOddAddress(t *testing.T) {
	for name, odd := range addresses {
		t.Run(name, func(t *testing.T) {
			b := oddHarness(t)
			b.queuedEvents = append(b.queuedEvents, WorkerRegistered{Registration: Registration{Worker: "w1", Address: "w1:1", Pool: "p", Born: oddEntryBorn}})
			b.acceptJob("j", testOffset-1, workflow.Step{}, workflow.Progress{Ordered: true, Begun: true})
			b.workers["w1"].lists.Running = []worker.ActiveRun{{Task: testTaskID("j", 0), Run: 7}}
			b.list(odd, "w2")
			b.advanceByAddress(3 * time.Second)
			b.list(ownEntry, "w2")
			b.advanceByAddress(3 * time.Second)
			b.Expect(b.starts).To(BeEmpty())
			b.Expect(b.stops).To(BeEmpty())
		})
	}
}

// Ends of a restarted worker were skipped as known if its old entry was listed once more before it answered.
func TestEndsOfRestartedWorkerAreSeenAfterOutdatedEntry(t *testing.T) {
	for _, listedFirst := range []bool{false, true} {
		testEndsAfterOutdatedEntry(t, listedFirst)
	}
}

func testEndsAfterOutdatedEntry(t *testing.T, listedFirst bool) {
	b := newHarness(t, "w1")
	w := b.workers["w1"]
	b.listWorkers()
	for i := range 3 {
		b.acceptJob(fmt.Sprint("old", i), testOffset+1+int64(i), workflow.Step{}, workflow.Progress{})
	}
	for i := range 3 {
		b.advance(500 * time.Millisecond)
		w.end(testTaskID(fmt.Sprint("old", i), 0), worker.Done)
	}
	b.advance(time.Second)
	b.crash("w1")
	b.advance(time.Second)
	b.listWorkers() // its entry has not expired yet
	b.advance(100 * time.Millisecond)
	w.crashed, w.born, w.lists.Born = false, b.now, 2
	if listedFirst {
		b.listWorkers()
	}
	b.advance(time.Second)
	b.listWorkers()
	b.acceptJob("new", testOffset+9, workflow.Step{}, workflow.Progress{})
	b.advance(time.Second)
	w.end(testTaskID("new", 0), worker.Done)
	b.advance(2 * time.Second)
	b.Expect(b.startHosts("new")).To(HaveLen(1))
	b.Expect(b.finalState("new")).To(Equal(workflow.Completed))
}

// A new leader had ends discarded that it had not seen, of a worker that was restarted since the previous leader's last record.
func TestEndsOfRestartedWorkerAreSeenByNextLeader(t *testing.T) {
	b := newHarness(t, "w1")
	w := b.workers["w1"]
	w.lists.Born = 2
	w.lists.Ended, w.lastEnd = []worker.EndedRun{{Number: 1, Task: testTaskID("j", 0), Run: 7, How: worker.Done}}, 1
	b.queuedEvents = append(b.queuedEvents, WorkerRegistered{Registration: Registration{Worker: "w1", Address: "w1:1", Pool: "p", Born: 1, LastEnd: 3}})
	b.acceptJob("j", testOffset-1, workflow.Step{}, workflow.Progress{Ordered: true, Begun: true})
	b.listWorkers()
	b.advance(time.Second)
	b.Expect(b.startHosts("j")).To(BeEmpty())
	b.Expect(b.finalState("j")).To(Equal(workflow.Completed))
}

// An entry of the next incarnation must not drop the starts that may still be carried out there.
func TestLateStartIsStoppedAfterEntryOfNextIncarnation(t *testing.T) {
	b := newHarness(t, "w1")
	w, info := b.workers["w1"], testInfo("w1", 1)
	b.queuedEvents = append(b.queuedEvents, WorkersListed{[]worker.Info{info}})
	b.advance(500 * time.Millisecond)
	w.unreachable = true
	b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
	b.advance(100 * time.Millisecond)
	b.Expect(b.startHosts("j")).NotTo(BeEmpty(), "its answer is lost")
	for len(b.core.hosts["w1"].runs) > 0 {
		b.advance(tick)
	}
	b.Expect(b.now - b.core.hosts["w1"].lastContact).To(BeNumerically("<", maxOrderDelay))
	b.Expect(b.core.hosts["w1"].possibleLateStarts(b.now)).NotTo(BeEmpty())
	info.Born = 2
	b.queuedEvents = append(b.queuedEvents, WorkersListed{[]worker.Info{info}})
	b.advance(100 * time.Millisecond)
	b.stops = nil
	w.unreachable, w.born = false, b.now
	w.lists = worker.HeartbeatResponse{Born: 2}
	b.advance(time.Second)
	b.Expect(b.stops).NotTo(BeEmpty(), "the start may still reach the next incarnation")
}

// A host whose clock was set back starts its worker again at another address.
func TestWorkerWithEarlierBornAtAnotherAddressIsReached(t *testing.T) {
	for name, fail := range map[string]func(w *testWorker){
		"silent":  func(w *testWorker) { w.unreachable = true },
		"refuses": func(w *testWorker) { w.refuses = true },
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, "w1")
			w, info := b.workers["w1"], testInfo("w1", 1000)
			w.lists.Born = 1000
			b.queuedEvents = append(b.queuedEvents, WorkersListed{[]worker.Info{info}})
			b.advance(500 * time.Millisecond)
			fail(w)
			info.Born, info.Address = 500, "new:1"
			for range 60 {
				b.queuedEvents = append(b.queuedEvents, WorkersListed{[]worker.Info{info}})
				b.advance(time.Second)
			}
			found := false
			for _, x := range b.heartbeats {
				found = found || x.Heartbeat.Address == "new:1"
			}
			b.Expect(found).To(BeTrue())
		})
	}
}

// Another writer stamps its entries with the time of writing.
func TestEntriesWithRisingBornDoNotKeepWorkerUnusable(t *testing.T) {
	for name, every := range map[string]int64{"own entries": 0, "rising": 500} {
		t.Run(name, func(t *testing.T) { expectUsableUnderRisingBorn(t, every) })
	}
}

func expectUsableUnderRisingBorn(t *testing.T, step int64) {
	b := oddHarness(t)
	b.list(ownEntry)
	b.advance(500 * time.Millisecond)
	b.workers["w1"].holdsHeartbeats = true
	b.heartbeats = nil
	answered, born := 0, int64(oddEntryBorn)
	pending := map[int]time.Duration{}
	for end := b.now + 20*time.Second; b.now < end; {
		if b.now%(500*time.Millisecond) == 0 {
			born += step
			b.list(func(i *worker.Info) { i.Born = born })
		}
		if b.now == time.Minute+5*time.Second {
			b.acceptJob("j", testOffset+1, workflow.Step{}, workflow.Progress{})
		}
		b.advance(tick)
		for ; answered < len(b.heartbeats); answered++ {
			pending[answered] = b.now - tick
		}
		for i, sent := range pending {
			if x := b.heartbeats[i]; b.now >= sent+x.Heartbeat.Wait {
				delete(pending, i)
				b.queuedEvents = append(b.queuedEvents, HeartbeatAnswered{Worker: "w1", Incarnation: x.Incarnation, SentAt: sent, Lists: b.workers["w1"].listed(b.now)})
			}
		}
	}
	b.Expect(b.startHosts("j")).To(HaveLen(1))
}

// A claim that stays in the list was forgotten as refuted at the next answer, and made the worker unusable at each list.
func TestRefutedClaimStaysRefuted(t *testing.T) {
	b := oddHarness(t)
	b.list(ownEntry)
	b.advanceByAddress(500 * time.Millisecond)
	for range 5 {
		b.list(births["higher"])
		b.advanceByAddress(time.Second)
	}
	b.list(births["higher"])
	b.core.Step(b.now, b.now.Milliseconds(), b.queuedEvents...)
	b.Expect(b.core.usable(b.core.hosts["w1"])).To(BeTrue())
}
