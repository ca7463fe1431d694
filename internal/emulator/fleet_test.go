package emulator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	jobID   = "00000000000000aa"
	forever = int64(1) << 40
)

// bed is two workers, w1 and w2, in pool p, on racks r1 and r2.
type bed struct {
	*WithT
	ctx  context.Context
	f    *Fleet
	c    worker.Client
	work map[workflow.TaskID]Behaviour
}

// onFleet runs a test in virtual time.
func onFleet(t *testing.T, cfg FleetConfig, test func(b *bed)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bed{WithT: NewWithT(t), ctx: t.Context(), work: map[workflow.TaskID]Behaviour{}}
		cfg.Seed = 7
		cfg.Work = func(task workflow.TaskID) Behaviour { return b.work[task] }
		b.f = NewFleet(cfg)
		b.c = b.f.Client("a")
		size := workflow.Size{MilliCPU: 2000, MemoryMiB: 1000}
		b.f.Add(WorkerConfig{ID: "w1", Pool: "p", Labels: []string{"big", "r1"}, Capacity: size})
		b.f.Add(WorkerConfig{ID: "w2", Pool: "p", Labels: []string{"big", "r2"}, Capacity: size})
		test(b)
	})
}

// know registers a job of the steps, of 1 s tasks of one core each if not told otherwise.
func (b *bed) know(steps ...workflow.Step) *workflow.Job {
	for i := range steps {
		steps[i].EstimateMillis = orDefault(steps[i].EstimateMillis, 1000)
		steps[i].Count = orDefault(steps[i].Count, 1)
		steps[i].Size = orDefault(steps[i].Size, workflow.Size{MilliCPU: 1000})
	}
	job := &workflow.Job{ID: jobID, Queue: "q", Spec: "s", Steps: steps}
	b.f.Know(job, "p", 2)
	return job
}

func task(step, index int) workflow.TaskID {
	return workflow.TaskID{StepID: workflow.StepID{Job: jobID, Step: step}, Index: index}
}

func order(id string) worker.Order { return worker.Order{Worker: id, Address: id + ":1"} }

func (b *bed) start(id string, t workflow.TaskID, run int64, edit ...func(*worker.Start)) worker.Code {
	s := worker.Start{Order: order(id), Task: t, Run: run, Spec: "s", DeadlineMillis: forever}
	for _, e := range edit {
		e(&s)
	}
	code, _ := b.c.Start(b.ctx, s)
	return code
}

func (b *bed) stop(id string, t workflow.TaskID, run int64) {
	code, _ := b.c.Stop(b.ctx, worker.Stop{Order: order(id), Task: t, Run: run})
	b.Expect(code).To(Equal(worker.OK))
}

// hold extends the lease and returns the lists.
func (b *bed) hold(id string, seen int64) worker.HeartbeatResponse {
	code, lists := b.c.Heartbeat(b.ctx, worker.Heartbeat{Order: order(id), DeadlineMillis: forever, LastAckedEnd: seen})
	b.Expect(code).To(Equal(worker.OK))
	return lists
}

// keep holds leases for a time.
func (b *bed) keep(d time.Duration, ids ...string) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(time.Second, time.Until(end)))
		for _, id := range ids {
			b.hold(id, 0)
		}
	}
}

func (b *bed) hows(id string) []worker.ExitStatus {
	var hows []worker.ExitStatus
	for _, e := range b.hold(id, 0).Ended {
		hows = append(hows, e.How)
	}
	return hows
}

// breaches returns the rules that were broken.
func (b *bed) breaches() []Rule {
	var rules []Rule
	for _, x := range b.f.Judge().Breaches() {
		rules = append(rules, x.Rule)
	}
	return rules
}

func TestTaskEndsAndHoldWaitsForIt(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.know(workflow.Step{})
		b.Expect(b.start("w1", task(0, 0), 1)).To(Equal(worker.OK))
		b.Expect(b.start("w1", task(0, 0), 1)).To(Equal(worker.OK), "already there")
		began := time.Now()
		code, lists := b.c.Heartbeat(b.ctx, worker.Heartbeat{Order: order("w1"), Wait: MaxHoldWait})
		b.Expect(code).To(Equal(worker.OK))
		b.Expect(time.Since(began)).To(BeNumerically("~", time.Second, 10*time.Millisecond))
		b.Expect(lists.Ended).To(Equal([]worker.EndedRun{{Number: 1, Task: task(0, 0), Run: 1, How: worker.Done}}))
		b.Expect(b.hold("w1", 1).Ended).To(BeEmpty())
		p, _ := b.f.Progress(jobID)
		b.Expect(p.Done).To(Equal(1))
		b.Expect(p.Finished).NotTo(BeZero())
		b.Expect(b.start("w1", task(0, 0), 1)).To(Equal(worker.StaleRun))
		b.Expect(b.breaches()).To(BeEmpty())
	})
}

func TestLeaseLapsesOnTheWorkersClock(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.f.Add(WorkerConfig{ID: "w3", Pool: "p", Capacity: workflow.Size{MilliCPU: 1000}, SlowClock: true})
		b.know(workflow.Step{Count: 2, EstimateMillis: 60000})
		b.start("w1", task(0, 0), 1, func(s *worker.Start) { s.DeadlineMillis = 5000 })
		b.start("w3", task(0, 1), 1)
		time.Sleep(4990 * time.Millisecond)
		b.Expect(b.f.Infos()[0].ClockMillis).To(BeNumerically("<", 5000))
		_, lists := b.c.Heartbeat(b.ctx, worker.Heartbeat{Order: order("w1")})
		b.Expect(lists.Running).To(HaveLen(1))
		time.Sleep(10 * time.Millisecond)
		b.Expect(b.hows("w1")).To(Equal([]worker.ExitStatus{worker.LeaseExpired}))
		time.Sleep(5100 * time.Millisecond)
		_, lists = b.c.Heartbeat(b.ctx, worker.Heartbeat{Order: order("w3")})
		b.Expect(lists.Running).To(HaveLen(1), "10 s of a slow clock are 10.2 s")
		time.Sleep(200 * time.Millisecond)
		b.Expect(b.hows("w3")).To(Equal([]worker.ExitStatus{worker.LeaseExpired}), "no lease is longer than the longest")
	})
}

func TestFenceDeadlineAndOldRuns(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.know(workflow.Step{Count: 3, EstimateMillis: 60000})
		token := func(n int64) func(*worker.Start) { return func(s *worker.Start) { s.Token = n } }
		b.Expect(b.start("w1", task(0, 0), 1, token(5))).To(Equal(worker.OK))
		b.Expect(b.start("w1", task(0, 1), 1, token(4))).To(Equal(worker.Fenced))
		code, _ := b.c.Heartbeat(b.ctx, worker.Heartbeat{Order: order("w1")})
		b.Expect(code).To(Equal(worker.Fenced), "a missing token is 0")
		b.Expect(b.start("w1", task(0, 1), 1, token(5), func(s *worker.Start) { s.DeadlineMillis = 1 })).To(Equal(worker.DeadlineExceeded))
		b.stop("w2", task(0, 2), 3)
		b.Expect(b.start("w2", task(0, 2), 3)).To(Equal(worker.StaleRun), "stopped before it came")
		b.Expect(b.start("w2", task(0, 2), 4)).To(Equal(worker.OK))
		b.Expect(b.start("w2", task(0, 2), 0)).To(Equal(worker.Invalid))
		b.Expect(b.breaches()).To(BeEmpty())
	})
}

func TestStopTakesTimeAndCapacity(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.know(workflow.Step{Count: 2, EstimateMillis: 60000, Size: workflow.Size{MilliCPU: 2000}})
		b.f.Add(WorkerConfig{ID: "w3", Pool: "p", Capacity: workflow.Size{MilliCPU: 2000}, Guarded: true})
		b.start("w3", task(0, 0), 1)
		b.stop("w3", task(0, 0), 1)
		b.Expect(b.start("w3", task(0, 1), 1)).To(Equal(worker.InsufficientCapacity))
		b.keep(2*time.Second, "w3")
		b.Expect(b.hows("w3")).To(Equal([]worker.ExitStatus{worker.Stopped}))
		b.Expect(b.start("w3", task(0, 1), 1)).To(Equal(worker.OK))
		b.Expect(b.breaches()).To(BeEmpty())
	})
}

func TestCheckpointResumes(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.know(workflow.Step{Checkpointing: true, EstimateMillis: 10000})
		b.start("w1", task(0, 0), 1)
		b.keep(5*time.Second, "w1")
		running := b.hold("w1", 0).Running[0]
		b.Expect(running.Checkpoint).To(HavePrefix("00000fa0"), "4 s of work")
		b.Expect(running.Percent).To(BeNumerically("~", 50, 1))
		b.stop("w1", task(0, 0), 1)
		b.keep(2*time.Second, "w1")
		saved := b.hold("w1", 0).Ended[0].Checkpoint
		b.Expect(saved).To(HavePrefix("0000138"), "and 1 s more at the stop")
		began := time.Now()
		b.start("w2", task(0, 0), 2, func(s *worker.Start) { s.Checkpoint = saved })
		b.keep(5*time.Second, "w2")
		_, lists := b.c.Heartbeat(b.ctx, worker.Heartbeat{Order: order("w2"), Wait: MaxHoldWait})
		b.Expect(lists.Ended[0].How).To(Equal(worker.Done))
		b.Expect(time.Since(began)).To(BeNumerically("~", 5500*time.Millisecond, 50*time.Millisecond), "half of it and the restoring")
		b.Expect(b.breaches()).To(BeEmpty())
	})
}

func TestLateOrderIsCarriedOut(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.know(workflow.Step{EstimateMillis: 60000})
		b.f.Late(1, "w1")
		short, cancel := context.WithTimeout(b.ctx, time.Second)
		defer cancel()
		code, _ := b.c.Start(short, worker.Start{Order: order("w1"), Task: task(0, 0), Run: 1, Spec: "s", DeadlineMillis: 60000})
		b.Expect(code).To(Equal(worker.Unknown))
		b.f.Late(0, "w1")
		b.f.Cancelled(jobID)
		b.Expect(b.hold("w1", 0).Running).To(BeEmpty())
		b.keep(maxLateOrder, "w1")
		b.Expect(b.hold("w1", 0).Running).To(HaveLen(1))
		b.Expect(b.breaches()).NotTo(ContainElement(RuleTwice))
		b.stop("w1", task(0, 0), 1)
		b.keep(10*time.Second, "w1")
		b.Expect(b.breaches()).To(BeEmpty(), "time-bound rules don't count for late orders")
	})
}

func TestCutCrashRestartReplace(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.know(workflow.Step{EstimateMillis: 3000})
		b.start("w1", task(0, 0), 1)
		b.f.Cut("w1", "a")
		short, cancel := context.WithTimeout(b.ctx, time.Second)
		defer cancel()
		code, _ := b.c.Heartbeat(short, worker.Heartbeat{Order: order("w1")})
		b.Expect(code).To(Equal(worker.Unknown))
		code, lists := b.f.Client("b").Heartbeat(b.ctx, worker.Heartbeat{Order: order("w1")})
		b.Expect(code).To(Equal(worker.OK))
		b.Expect(lists.Running).To(HaveLen(1))
		b.f.Heal("w1")
		born := b.f.Infos()[0].Born
		b.f.Crash("w1")
		b.Expect(b.f.Infos()).To(HaveLen(1))
		b.Expect(b.start("w1", task(0, 0), 2)).To(Equal(worker.ConnectionRefused))
		b.f.Restart("w1")
		b.Expect(b.hold("w1", 0).Running).To(BeEmpty())
		b.Expect(b.f.Infos()[0].Born).To(BeNumerically(">", born))
		b.f.Replace("w1", WorkerConfig{ID: "w9", Pool: "p"})
		b.Expect(b.start("w1", task(0, 0), 2)).To(Equal(worker.WrongIncarnation))
		b.Expect(b.f.Codes()[worker.WrongIncarnation]).To(Equal(1))
	})
}

func TestRefusedConnectionsLeaveTheWorkerRunning(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.know(workflow.Step{Count: 2, EstimateMillis: 60000})
		b.start("w1", task(0, 0), 1)
		time.AfterFunc(300*time.Millisecond, func() { b.f.RefuseConnections("w1", "a") })
		began := time.Now()
		code, _ := b.c.Heartbeat(b.ctx, worker.Heartbeat{Order: order("w1"), DeadlineMillis: forever, Wait: MaxHoldWait})
		b.Expect(code).To(Equal(worker.Unknown))
		b.Expect(time.Since(began)).To(Equal(300*time.Millisecond), "the wait is broken off")
		b.f.Late(1, "w1")
		began = time.Now()
		b.Expect(b.start("w1", task(0, 1), 1)).To(Equal(worker.ConnectionRefused))
		b.Expect(time.Since(began)).To(Equal(2 * DefaultLatency))
		b.f.Late(0, "w1")
		code, lists := b.f.Client("b").Heartbeat(b.ctx, worker.Heartbeat{Order: order("w1")})
		b.Expect(code).To(Equal(worker.OK))
		b.Expect(lists.Running).To(HaveLen(1))
		b.f.RefuseConnections("w1")
		code, _ = b.f.Client("b").Heartbeat(b.ctx, worker.Heartbeat{Order: order("w1")})
		b.Expect(code).To(Equal(worker.ConnectionRefused))
		b.f.Restart("w1")
		b.Expect(b.start("w1", task(0, 0), 2)).To(Equal(worker.ConnectionRefused), "the fault is of the network")
		b.f.Heal("w1")
		b.Expect(b.hold("w1", 0).Running).To(BeEmpty())
		b.f.RefuseConnections("w1")
		b.f.Calm()
		b.Expect(b.start("w1", task(0, 0), 2)).To(Equal(worker.OK))
		b.Expect(b.breaches()).To(BeEmpty())
	})
}

func TestAnswerIsLostWhenConnectionsAreReset(t *testing.T) {
	onFleet(t, FleetConfig{Latency: time.Second}, func(b *bed) {
		b.know(workflow.Step{EstimateMillis: 60000})
		time.AfterFunc(1500*time.Millisecond, func() { b.f.RefuseConnections("w1") })
		b.Expect(b.start("w1", task(0, 0), 1)).To(Equal(worker.Unknown))
		b.f.Heal("w1")
		b.Expect(b.hold("w1", 0).Running).To(HaveLen(1))
	})
}

func TestCutHidesACrash(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.f.Cut("w1")
		b.f.Crash("w1")
		short, cancel := context.WithTimeout(b.ctx, time.Second)
		defer cancel()
		code, _ := b.c.Heartbeat(short, worker.Heartbeat{Order: order("w1")})
		b.Expect(code).To(Equal(worker.Unknown))
		b.f.Heal("w1")
		code, _ = b.c.Heartbeat(b.ctx, worker.Heartbeat{Order: order("w1")})
		b.Expect(code).To(Equal(worker.ConnectionRefused))
	})
}

func TestOrderToAFormerLife(t *testing.T) {
	for _, strict := range []bool{false, true} {
		onFleet(t, FleetConfig{Latency: time.Second, StrictLives: strict}, func(b *bed) {
			b.know(workflow.Step{})
			time.AfterFunc(time.Second/2, func() { b.f.Restart("w1") })
			b.Expect(b.start("w1", task(0, 0), 1)).To(Equal(map[bool]worker.Code{false: worker.OK, true: worker.WrongIncarnation}[strict]))
		})
	}
}

func TestWorkersThatFailHangAndSlowDown(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.know(workflow.Step{Count: 4, Size: workflow.Size{MilliCPU: 1}})
		b.work[task(0, 2)] = Behaviour{FailFirst: 1}
		b.start("w1", task(0, 0), 1)
		b.start("w2", task(0, 1), 1)
		b.f.FailAll("w1", true)
		b.f.Hang("w2", true)
		time.Sleep(5 * time.Second)
		b.Expect(b.hows("w1")).To(Equal([]worker.ExitStatus{worker.Failed}))
		b.f.Hang("w2", false)
		b.f.SlowDown("w2", 3)
		time.Sleep(2900 * time.Millisecond)
		b.Expect(b.hows("w2")).To(BeEmpty())
		time.Sleep(200 * time.Millisecond)
		b.Expect(b.hows("w2")).To(Equal([]worker.ExitStatus{worker.Done}))
		b.f.Calm()
		b.start("w2", task(0, 2), 1)
		time.Sleep(1100 * time.Millisecond)
		b.start("w2", task(0, 2), 2)
		time.Sleep(1100 * time.Millisecond)
		b.Expect(b.hows("w2")[1:]).To(Equal([]worker.ExitStatus{worker.Failed, worker.Done}))
		b.start("w2", task(0, 3), 1)
		code, _ := b.c.Throttle(b.ctx, worker.Throttle{Order: order("w2"), Task: task(0, 3), Run: 1, Percent: 0})
		b.Expect(code).To(Equal(worker.OK))
		time.Sleep(2 * time.Second)
		b.Expect(b.hold("w2", 0).Running[0].Percent).To(BeNumerically("~", 30, 1))
	})
}

func TestLastingTaskIsAtWorkAfterItsStartup(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.know(workflow.Step{Count: 2, LongRunning: true})
		b.work[task(0, 1)] = Behaviour{FailAfter: 3 * time.Second}
		b.start("w1", task(0, 0), 1)
		b.start("w1", task(0, 1), 1)
		time.Sleep(500 * time.Millisecond)
		b.Expect(b.hold("w1", 0).Running[0].Percent).To(BeNumerically("~", 50, 1))
		b.keep(30*time.Second, "w1")
		lists := b.hold("w1", 0)
		b.Expect(lists.Running).To(HaveLen(1))
		b.Expect(lists.Running[0].Percent).To(Equal(100.0))
		b.Expect(lists.Ended[0].How).To(Equal(worker.Failed))
	})
}

func TestWorkAwayFromItsData(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		b.know(workflow.Step{DataRack: "r1", Count: 2}, workflow.Step{Gang: true, SameRack: true, Count: 2})
		b.start("w1", task(0, 0), 1)
		b.start("w2", task(0, 1), 1)
		time.Sleep(1100 * time.Millisecond)
		b.Expect(b.hows("w1")).To(HaveLen(1))
		b.Expect(b.hows("w2")).To(BeEmpty())
		time.Sleep(time.Second)
		b.Expect(b.hows("w2")).To(HaveLen(1))
		b.start("w1", task(1, 0), 1)
		b.start("w2", task(1, 1), 1)
		time.Sleep(1100 * time.Millisecond)
		b.Expect(b.hold("w1", 0).Running).To(HaveLen(1))
		time.Sleep(time.Second)
		b.Expect(b.hold("w1", 0).Running).To(BeEmpty())
		b.Expect(b.breaches()).To(BeEmpty())

		began := time.Now()
		code, _ := b.c.Heartbeat(b.ctx, worker.Heartbeat{Order: order("w1"), Wait: time.Second})
		b.Expect(code).To(Equal(worker.OK))
		b.Expect(time.Since(began)).To(Equal(2*DefaultLatency), "an end is there already")
		b.f.LoseReplies(1, "w2")
		b.Expect(b.start("w2", task(1, 0), 2)).To(Equal(worker.Unknown))
		b.f.Calm()
		b.Expect(b.hold("w2", 0).Running).To(HaveLen(1))
	})
}

func TestPublishedEntries(t *testing.T) {
	onFleet(t, FleetConfig{}, func(b *bed) {
		ctx, cancel := context.WithCancel(b.ctx)
		defer cancel()
		log := NewLog(LogConfig{})
		encode := func(i worker.Info) store.Record { return store.Record{Key: i.ID, Value: []byte("x")} }
		go b.f.Publish(ctx, log, encode, jobsPart)
		listed := func() int {
			all, _, err := store.ReadAll(ctx, log.Client("a"), jobsPart)
			b.Expect(err).NotTo(HaveOccurred())
			return len(all)
		}
		time.Sleep(time.Second)
		b.Expect(listed()).To(Equal(2))
		b.f.Unlist("w1", true)
		time.Sleep((missedHeartbeats + 1) * Heartbeat)
		b.Expect(listed()).To(Equal(1))
		b.Expect(b.f.Infos()).To(HaveLen(2))
		b.hold("w1", 0)
		b.f.Unlist("w1", false)
		time.Sleep(Heartbeat)
		b.Expect(listed()).To(Equal(2))
		b.f.Crash("w1")
		time.Sleep(Heartbeat)
		b.Expect(listed()).To(Equal(2))
		time.Sleep(missedHeartbeats * Heartbeat)
		b.Expect(listed()).To(Equal(1))
		b.f.Drain("w2", 5*time.Second)
		b.Expect(b.f.Infos()[0].Draining).To(BeTrue())
		time.Sleep(5*time.Second + Heartbeat)
		b.Expect(listed()).To(Equal(0))
	})
}
