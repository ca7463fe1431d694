package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// benchSize is a cluster in which every worker is fenced, registered and in contact.
type benchSize struct {
	workers, runs int
}

func (z benchSize) String() string { return fmt.Sprintf("workers=%d/runs=%d", z.workers, z.runs) }

var benchSizes = []benchSize{{350, 2000}, {1100, 17000}}

const (
	// benchRackSize is the number of workers in a rack.
	benchRackSize = 20
	// benchTasksPerJob is the number of tasks of a running job.
	benchTasksPerJob = 20
	// benchContactInterval is how often all workers answer, outside the measured
	// time.
	benchContactInterval = time.Second
	// benchTick is the time between two steps.
	benchTick = 20 * time.Millisecond
	// benchWorkerMilliCPU is the capacity of a worker in thousandths of a core.
	benchWorkerMilliCPU = 32000
)

// benchHarness drives a core as its node would, with workers that follow all orders.
type benchHarness struct {
	b           *testing.B
	core        *Core
	now         time.Duration
	lastContact time.Duration
	ids         []string
	ends        map[string]int64
	jobs        int
}

func benchCatalog() *workflow.Catalog {
	return &workflow.Catalog{Version: 1, Queues: map[string]workflow.Queue{
		"plain":   {Name: "plain", Pool: "p", Priority: 1, Attempts: 3},
		"advised": {Name: "advised", Pool: "p", Priority: 1, Attempts: 3, Advice: &workflow.PolicySettings{Decision: 20 * time.Millisecond, Validity: time.Hour}},
	}}
}

func benchSettings() Settings {
	return Settings{Token: testToken, TermOffset: testOffset, Lease: 6 * time.Second, MaxLease: 10 * time.Second,
		PreviousLeaderBound: 11500 * time.Millisecond, ConfirmationTTL: 5 * time.Second, StopTimeout: 2 * time.Second,
		RemoteFactor: 2, StatusRetention: time.Minute}
}

func benchWorkers(n int) []worker.Info {
	infos := make([]worker.Info, n)
	for i := range infos {
		id := fmt.Sprintf("w%04d", i)
		infos[i] = worker.Info{ID: id, Address: id + ":1", Pool: "p", Born: 1, Capacity: workflow.Size{MilliCPU: benchWorkerMilliCPU, MemoryMiB: 1 << 16},
			Labels: []string{"std", fmt.Sprintf("r%03d", i/benchRackSize)}}
	}
	return infos
}

// newBenchHarness returns a harness with the runs spread evenly over the workers.
func newBenchHarness(b *testing.B, z benchSize) *benchHarness {
	b.Helper()
	y := &benchHarness{b: b, now: time.Minute, ends: map[string]int64{}}
	y.core = New(benchSettings(), y.now, y.now.Milliseconds())
	infos := benchWorkers(z.workers)
	for _, w := range infos {
		y.ids = append(y.ids, w.ID)
	}
	y.core.window.size = 1 << 20
	y.step(CatalogChanged{benchCatalog()}, WorkersListed{infos})
	var events []Event
	rows := make([][]worker.ActiveRun, z.workers)
	for n := 0; n < z.runs; n += benchTasksPerJob {
		j := y.job("plain", workflow.Step{Count: min(benchTasksPerJob, z.runs-n), Size: workflow.Size{MilliCPU: 400, MemoryMiB: 512}})
		events = append(events, JobAccepted{Job: j, Offset: int64(y.jobs)})
		for i := range j.Steps[0].Count {
			at := (n + i) % z.workers
			rows[at] = append(rows[at], worker.ActiveRun{Task: testTaskID(j.ID, i), Run: 1, Load: -1})
		}
	}
	for i, id := range y.ids {
		events = append(events, HeartbeatAnswered{Worker: id, Incarnation: y.core.hosts[id].incarnation, SentAt: y.now, Lists: worker.HeartbeatResponse{Born: 1, ClockMillis: y.now.Milliseconds(), Running: rows[i]}})
	}
	y.step(events...)
	// A pass looks at only a slice of a long backlog: it takes several to see all
	// steps.
	for passes := 2 + len(y.core.waitingSteps)/backlogSlice; passes > 0; passes-- {
		y.core.dirty = true
		y.advance(benchTick)
	}
	y.check(z.runs)
	return y
}

func (y *benchHarness) check(runs int) {
	y.b.Helper()
	live := 0
	for _, h := range y.core.sortedHosts {
		if !y.core.usable(h) {
			y.b.Fatalf("worker %s is not usable", h.info.ID)
		}
		live += len(h.runs)
	}
	if live != runs || len(y.core.waitingSteps) != 0 {
		y.b.Fatalf("%d live runs and %d waiting steps, want %d and none", live, len(y.core.waitingSteps), runs)
	}
}

// liveHeap returns the bytes in use after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// reportHeap reports the memory held by the core, given the bytes in use before.
func (y *benchHarness) reportHeap(before uint64) {
	y.b.ReportMetric(float64(int64(liveHeap()-before))/1024, "live-KiB")
	runtime.KeepAlive(y.core)
}

// job returns a new job of one step that runs for an hour.
func (y *benchHarness) job(queue string, step workflow.Step) *workflow.Job {
	y.jobs++
	step.EstimateMillis = longTask.Milliseconds()
	return &workflow.Job{ID: fmt.Sprintf("j%06d", y.jobs), Queue: queue, Spec: "s", Steps: []workflow.Step{step}, AcceptedMillis: y.now.Milliseconds()}
}

func (y *benchHarness) step(events ...Event) []Effect {
	return y.core.Step(y.now, y.now.Milliseconds(), events...)
}

// advance advances the time and answers commits and, once per benchContactInterval,
// heartbeats.
func (y *benchHarness) advance(d time.Duration) {
	y.now += d
	events := []Event{LeadershipConfirmed{y.now + 5*time.Second}}
	if y.core.commits.inFlight {
		events = append(events, Committed{Number: y.core.commits.number})
	}
	if y.now-y.lastContact >= benchContactInterval {
		y.lastContact = y.now
		for _, id := range y.ids {
			events = append(events, y.heartbeatAnswer(id, 0))
		}
	}
	y.step(events...)
	y.core.Decisions()
}

// heartbeatAnswer returns a worker's list of its runs, the last of which have ended.
func (y *benchHarness) heartbeatAnswer(id string, ended int) HeartbeatAnswered {
	h := y.core.hosts[id]
	ev := HeartbeatAnswered{Worker: id, Incarnation: h.incarnation, SentAt: y.now, Lists: worker.HeartbeatResponse{Born: 1, ClockMillis: y.now.Milliseconds()}}
	runs := h.sortedRuns()
	for i, r := range runs {
		if i >= len(runs)-ended {
			y.ends[id]++
			ev.Lists.Ended = append(ev.Lists.Ended, worker.EndedRun{Number: y.ends[id], Task: r.taskID, Run: r.number, How: worker.Done})
			continue
		}
		ev.Lists.Running = append(ev.Lists.Running, worker.ActiveRun{Task: r.taskID, Run: r.number, Load: -1,
			Percent: 100 * (y.now - r.sentAt).Seconds() / longTask.Seconds()})
	}
	return ev
}

// refill starts the n tasks of a new job on one worker.
func (y *benchHarness) refill(id string, n int) {
	j := y.job("plain", workflow.Step{Count: n, Size: workflow.Size{MilliCPU: 400, MemoryMiB: 512}})
	y.core.apply(JobAccepted{Job: j, Offset: int64(y.jobs)})
	h := y.core.hosts[id]
	for i := range n {
		t := y.core.findTask(testTaskID(j.ID, i))
		r := y.core.startTask(t, h, y.core.nextRunNumber(t), "")
		y.core.apply(StartAnswered{Worker: id, Incarnation: h.incarnation, Task: r.taskID, Run: r.number})
	}
}

// acceptWaitingJobs accepts 40 jobs of one step that wait, with 200 tasks in all: 38
// of single tasks, and two gangs of eight in one rack. Every third step allows one
// task per worker. The policy has allowed every worker for each of them.
func (y *benchHarness) acceptWaitingJobs() []*workflow.Job {
	var jobs []*workflow.Job
	for i := range 40 {
		s := workflow.Step{Count: 5, Size: workflow.Size{MilliCPU: 500 + int64(i%4)*250, MemoryMiB: 512}}
		switch {
		case i >= 38:
			s.Count, s.Gang, s.SameRack = 8, true, true
		case i >= 32:
			s.Count = 4
		}
		if i%3 == 0 {
			s.MaxPerWorker = 1
		}
		j := y.job("advised", s)
		jobs = append(jobs, j)
		y.core.apply(JobAccepted{Job: j, Offset: int64(y.jobs)})
		ev := AdviceAnswered{Step: workflow.StepID{Job: j.ID}, Asked: y.ids}
		for _, id := range y.ids {
			ev.Approvals.Approved = append(ev.Approvals.Approved, worker.Approval{Worker: id, Ticket: "t"})
		}
		y.core.apply(ev)
	}
	return jobs
}

// discard removes jobs and their runs as if they had never existed.
func (y *benchHarness) discard(jobs []*workflow.Job) {
	c := y.core
	for _, def := range jobs {
		j := c.jobs[def.ID]
		j.cancelled = true
		for _, s := range j.occurrences[0].steps {
			for _, r := range s.liveRuns() {
				c.removeRun(r)
			}
		}
		delete(c.jobs, def.ID)
	}
	c.activeJobs = c.activeJobs[:len(c.activeJobs)-len(jobs)]
	c.commits.next, c.waitingSteps, c.effects, c.decisions = batch{}, nil, nil, nil
}

// BenchmarkPlacementPass is one pass over 200 waiting tasks that all fit.
func BenchmarkPlacementPass(b *testing.B) {
	for _, z := range benchSizes {
		b.Run(z.String(), func(b *testing.B) {
			y := newBenchHarness(b, z)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				y.advance(benchTick)
				jobs := y.acceptWaitingJobs()
				y.core.effects, y.core.dirty, y.core.lastPass = nil, true, 0
				b.StartTimer()
				y.core.place()
				b.StopTimer()
				started := 0
				for _, e := range y.core.effects {
					if _, ok := e.(StartTask); ok {
						started++
					}
				}
				if started != 200 {
					b.Fatalf("%d tasks were started, want 200", started)
				}
				y.discard(jobs)
				b.StartTimer()
			}
		})
	}
}

// BenchmarkPlacementPassFull is one pass over the same tasks when no worker has free capacity.
func BenchmarkPlacementPassFull(b *testing.B) {
	for _, z := range benchSizes {
		b.Run(z.String(), func(b *testing.B) {
			y := newBenchHarness(b, z)
			for _, h := range y.core.sortedHosts {
				h.free = workflow.Size{}
			}
			y.acceptWaitingJobs()
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				y.advance(benchTick)
				y.core.effects, y.core.dirty, y.core.lastPass = nil, true, 0
				b.StartTimer()
				y.core.place()
			}
			if len(y.core.waitingSteps) != 40 {
				b.Fatalf("%d steps wait, want 40", len(y.core.waitingSteps))
			}
		})
	}
}

// BenchmarkHeld is a step that applies one worker's list, with 20 runs and 2 ends.
func BenchmarkHeld(b *testing.B) {
	for _, z := range benchSizes {
		b.Run(z.String(), func(b *testing.B) {
			y := newBenchHarness(b, z)
			id := y.ids[0]
			y.refill(id, 22-len(y.core.hosts[id].runs))
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				y.advance(benchTick)
				ev := y.heartbeatAnswer(id, 2)
				if len(ev.Lists.Running) != 20 || len(ev.Lists.Ended) != 2 {
					b.Fatalf("%d runs and %d ends are listed", len(ev.Lists.Running), len(ev.Lists.Ended))
				}
				b.StartTimer()
				y.step(ev)
				b.StopTimer()
				y.refill(id, 2)
				b.StartTimer()
			}
		})
	}
}

// BenchmarkTick is a step with nothing to do. "watch" is one in which runs are
// checked too, as they are every 200 ms.
func BenchmarkTick(b *testing.B) {
	for _, z := range benchSizes {
		for _, watch := range []bool{false, true} {
			name := z.String() + "/plain"
			if watch {
				name = z.String() + "/watch"
			}
			b.Run(name, func(b *testing.B) {
				before := liveHeap()
				y := newBenchHarness(b, z)
				b.ReportAllocs()
				for b.Loop() {
					b.StopTimer()
					y.advance(benchTick)
					y.now += time.Millisecond
					y.core.nextRunCheck = never
					if watch {
						y.core.nextRunCheck = 0
					}
					b.StartTimer()
					out := y.step(Tick{})
					b.StopTimer()
					if len(out) != 0 {
						b.Fatalf("%d effects of a step with nothing to do, first %T", len(out), out[0])
					}
					y.core.nextRunCheck = never
					b.StartTimer()
				}
				b.StopTimer()
				y.check(z.runs)
				y.reportHeap(before)
			})
		}
	}
}

// BenchmarkTakeover is the first step of a term: the events that a node supplies, in
// its order, with every worker registered by a previous leader.
func BenchmarkTakeover(b *testing.B) {
	for _, z := range []struct{ workers, jobs int }{{350, 1000}, {1100, 9700}} {
		b.Run(fmt.Sprintf("workers=%d/jobs=%d", z.workers, z.jobs), func(b *testing.B) {
			infos := benchWorkers(z.workers)
			y := &benchHarness{b: b, now: time.Minute}
			events := []Event{CatalogChanged{benchCatalog()}}
			for _, w := range infos {
				events = append(events, WorkerRegistered{Registration: Registration{Worker: w.ID, Address: w.Address, Pool: w.Pool, Born: w.Born}})
			}
			for range z.jobs {
				j := y.job("plain", workflow.Step{Count: 5, Size: workflow.Size{MilliCPU: 400, MemoryMiB: 512}})
				j.Steps = append(j.Steps, workflow.Step{Count: 5, Size: j.Steps[0].Size, DependsOn: []int{0}})
				events = append(events, JobAccepted{Job: j, Offset: int64(y.jobs % testOffset)})
			}
			events = append(events, WorkersListed{infos}, LeadershipConfirmed{y.now + 5*time.Second})
			before := liveHeap()
			b.ReportAllocs()
			for b.Loop() {
				y.core = New(benchSettings(), y.now, y.now.Milliseconds())
				y.step(events...)
			}
			if len(y.core.sortedHosts) != z.workers || len(y.core.activeJobs) != z.jobs {
				b.Fatalf("%d workers and %d jobs", len(y.core.sortedHosts), len(y.core.activeJobs))
			}
			y.reportHeap(before)
			runtime.KeepAlive(events)
		})
	}
}
