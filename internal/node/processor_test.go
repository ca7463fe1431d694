package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/emulator"
	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	// callCost is the processor time to send a call, and to read its answer.
	callCost = time.Millisecond
	// shortWorkers is how many workers the holder has to hold.
	shortWorkers              = 50
	lastingJobs, lastingTasks = 20, 2
	// burstTime is how long callers hand jobs in, burstEvery how often.
	burstTime, burstEvery = 4 * time.Second, 250 * time.Millisecond
	// overload is how many times the burst's length the processor needs for its calls.
	overload = 2
	// callsOfTask is a start and a hold, though one hold may show several ends.
	callsOfTask = 2
	// backlogTime is how long after the burst tasks may wait.
	backlogTime = 5 * time.Second
	// killAfter is when in the burst the holder is killed.
	killAfter = 1500 * time.Millisecond
	// leastTask and mostTask bound how long a task of the burst runs.
	leastTask, mostTask = 200 * time.Millisecond, 500 * time.Millisecond
)

// orders counts what workers were sent, by task.
type orders struct {
	mu            sync.Mutex
	starts, stops map[workflow.TaskID]int
}

type countedWorkers struct {
	worker.Client
	orders *orders
}

func (w countedWorkers) Start(ctx context.Context, s worker.Start) (worker.Code, int64) {
	w.orders.mu.Lock()
	w.orders.starts[s.Task]++
	w.orders.mu.Unlock()
	return w.Client.Start(ctx, s)
}

func (w countedWorkers) Stop(ctx context.Context, s worker.Stop) (worker.Code, int64) {
	w.orders.mu.Lock()
	w.orders.stops[s.Task]++
	w.orders.mu.Unlock()
	return w.Client.Stop(ctx, s)
}

// kinds counts decisions by kind; it is a hook of the log.
type kinds struct {
	mu sync.Mutex
	n  map[string]int
}

// Levels implements logrus.Hook.
func (*kinds) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (k *kinds) Fire(e *logrus.Entry) error {
	if kind, ok := e.Data["kind"].(string); ok {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.n[kind]++
	}
	return nil
}

func (k *kinds) of(kind string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.n[kind]
}

// scarce is a cluster whose nodes have a limited processor.
type scarce struct {
	*cluster
	cost       time.Duration
	orders     *orders
	kinds      *kinds
	processors map[string]*emulator.Processor
	lasting    []*handed
	burst      []*handed
	tasks      int
	began      time.Time
}

// shortAt are the costs of a call, in callCosts, that make the processor short.
var shortAt = []int{1, 2, 4}

// playScarce hands lasting jobs in, waits until they run, and then has callers
// hand in a burst of short tasks, which begins when play is called.
func playScarce(t *testing.T, costs []int, play func(s *scarce)) {
	for _, times := range costs {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("cost=%d/seed=%d", times, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := newScarce(t, seed, time.Duration(times)*callCost)
					defer s.close()
					s.handLasting()
					s.handBurst()
					play(s)
				})
			})
		}
	}
}

func newScarce(t *testing.T, seed uint64, cost time.Duration) *scarce {
	s := &scarce{cluster: newCluster(t, seed, brief), cost: cost, kinds: &kinds{n: map[string]int{}},
		orders:     &orders{starts: map[workflow.TaskID]int{}, stops: map[workflow.TaskID]int{}},
		processors: map[string]*emulator.Processor{}}
	for i := len(s.fleet.Infos()); i < shortWorkers; i++ {
		s.fleet.Add(emulator.WorkerConfig{ID: fmt.Sprintf("x%02d", i), Pool: "cpu", Labels: []string{"std", fmt.Sprintf("r%d", i%5)},
			Capacity: workflow.Size{MilliCPU: 4000, MemoryMiB: 8192}})
	}
	s.logger.AddHook(s.kinds)
	s.adapt = func(p *process, _ *Settings, ports *Ports) {
		s.processors[p.name] = &emulator.Processor{}
		ports.Workers = s.processors[p.name].Workers(countedWorkers{ports.Workers, s.orders}, emulator.CallCost{Send: cost, Read: cost})
	}
	for _, name := range []string{"a", "b", "c"} {
		s.boot(name)
	}
	time.Sleep(8 * time.Second)
	return s
}

// handLasting hands in lasting jobs and waits until all their tasks run.
func (s *scarce) handLasting() {
	for i := range lastingJobs {
		job := oneTask(fmt.Sprintf("00000000000a%04x", i))
		job.Steps[0].Count, job.Steps[0].LongRunning = lastingTasks, true
		job.Steps[0].Size.MilliCPU = 2500 // one on each worker
		s.lasting = append(s.lasting, s.hand(job, "plain"))
	}
	time.Sleep(10 * time.Second)
	s.Expect(s.idle(s.lasting)).To(BeEmpty(), "lasting tasks don't run before the burst: %s", s)
	s.Expect(s.kinds.of("contact-lost")).To(BeZero(), "before the burst")
}

// handBurst has callers hand in short tasks that ask for overload times the
// processor's time.
func (s *scarce) handBurst() {
	cost := s.cost
	if cost == 0 {
		cost = callCost
	}
	s.began = time.Now()
	s.tasks = int(overload * burstTime / (callsOfTask * 2 * cost))
	jobs := int(burstTime / burstEvery)
	for i := range jobs {
		job := oneTask(fmt.Sprintf("00000000000b%04x", i))
		job.Steps[0].Count = s.tasks*(i+1)/jobs - s.tasks*i/jobs
		job.Steps[0].Size.MilliCPU = 150
		s.mu.Lock()
		job.Steps[0].EstimateMillis = leastTask.Milliseconds() + s.random.Int64N((mostTask - leastTask).Milliseconds())
		s.mu.Unlock()
		s.callers.Go(func() {
			pauseFor(s.ctx, time.Duration(i)*burstEvery)
			h := s.hand(job, "plain")
			s.mu.Lock()
			defer s.mu.Unlock()
			s.burst = append(s.burst, h)
		})
	}
}

// idle returns the tasks of accepted jobs that are neither done nor running.
func (s *scarce) idle(jobs []*handed) []workflow.TaskID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var idle []workflow.TaskID
	for _, h := range jobs {
		if h.accepted {
			idle = append(idle, s.fleet.Idle(h.job.ID)...)
		}
	}
	return idle
}

// watchLasting looks at the lasting tasks for a time, and returns those that
// were once not running.
func (s *scarce) watchLasting(d time.Duration) map[workflow.TaskID]bool {
	away := map[workflow.TaskID]bool{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, id := range s.idle(s.lasting) {
			away[id] = true
		}
	}
	return away
}

// necessary is the processor's time for the calls that the burst can't do without.
func (s *scarce) necessary() time.Duration {
	return time.Duration(s.tasks) * callsOfTask * 2 * s.cost
}

// handedBurst returns the burst's jobs whose callers have come back.
func (s *scarce) handedBurst() []*handed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.burst)
}

// again returns how many starts beyond the first, and how many stops, were sent
// for the tasks of the jobs.
func (s *scarce) again(jobs []*handed) (starts, stops int) {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	of := map[string]bool{}
	for _, h := range jobs {
		of[h.job.ID] = true
	}
	for id, n := range s.orders.starts {
		if of[id.Job] {
			starts += n - 1
		}
	}
	for id, n := range s.orders.stops {
		if of[id.Job] {
			stops += n
		}
	}
	return starts, stops
}

// accepted counts the burst's accepted jobs.
func (s *scarce) accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, h := range s.burst {
		if h.accepted {
			n++
		}
	}
	return n
}

// done returns when the last of the burst's jobs was done, after its begin, and
// how many are not.
func (s *scarce) done() (took time.Duration, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.burst {
		p, _ := s.fleet.Progress(h.job.ID)
		if p.Finished.IsZero() {
			open++
		}
		took = max(took, p.Finished.Sub(s.began))
	}
	return took, open
}

// String tells what is needed to understand a failure.
func (s *scarce) String() string {
	var b strings.Builder
	starts, stops := s.again(s.handedBurst())
	took, open := s.done()
	fmt.Fprintf(&b, "%v after the burst began: %d tasks, %d started again, %d stops, %d jobs open, the last done after %v, necessary %v",
		time.Since(s.began), s.tasks, starts, stops, open, took, s.necessary())
	starts, stops = s.again(s.lasting)
	fmt.Fprintf(&b, "; lasting tasks: %d started again, %d stops; runs ended: %v", starts, stops, s.fleet.Ends())
	s.kinds.mu.Lock()
	fmt.Fprintf(&b, "; decisions: %v", s.kinds.n)
	s.kinds.mu.Unlock()
	for _, p := range s.up() {
		fmt.Fprintf(&b, "; %s: %+v", p.name, s.processors[p.name].Usage())
	}
	return b.String()
}

// expectContact expects that no sound worker was given up and no lease has lapsed.
func (s *scarce) expectContact() {
	s.Expect(s.fleet.Ends()[worker.LeaseExpired]).To(BeZero(), "lapsed runs: %s", s)
	for _, kind := range []string{"contact-lost", "leases-lapsed", "worker-gone"} {
		s.Expect(s.kinds.of(kind)).To(BeZero(), "%s: %s", kind, s)
	}
}

func keepsLastingTasksRunning(s *scarce) {
	away := s.watchLasting(burstTime + backlogTime)
	s.Expect(away).To(BeEmpty(), "lasting tasks that were away: %s", s)
	s.expectContact()
	s.callers.Wait()
	s.Expect(s.accepted()).To(Equal(int(burstTime/burstEvery)), "jobs accepted: %s", s)
	s.Expect(s.idle(s.handedBurst())).To(BeEmpty(), "tasks that wait: %s", s)
}

func makesNoWorkOfItsOwn(s *scarce) {
	s.callers.Wait()
	time.Sleep(time.Until(s.began.Add(max(2*s.necessary(), burstTime+backlogTime) + mostTask)))
	starts, stops := s.again(s.handedBurst())
	s.Expect(10*(starts+stops)).To(BeNumerically("<=", s.tasks), "%s", s)
	_, open := s.done()
	s.Expect(open).To(BeZero(), "jobs that aren't done: %s", s)
}

func adoptsLastingTasks(s *scarce) {
	time.Sleep(killAfter)
	s.kill(s.holder())
	away := s.watchLasting(burstTime - killAfter + backlogTime)
	s.Expect(away).To(BeEmpty(), "lasting tasks that were away: %s", s)
	starts, stops := s.again(s.lasting)
	s.Expect(starts+stops).To(BeZero(), "lasting tasks weren't adopted: %s", s)
	s.expectContact()
}

func TestHolderShortOfProcessorTimeKeepsLastingTasksRunning(t *testing.T) {
	playScarce(t, shortAt, keepsLastingTasksRunning)
}

func TestHolderShortOfProcessorTimeMakesNoWorkOfItsOwn(t *testing.T) {
	playScarce(t, shortAt, makesNoWorkOfItsOwn)
}

func TestNextHolderShortOfProcessorTimeAdoptsLastingTasks(t *testing.T) {
	playScarce(t, shortAt, adoptsLastingTasks)
}

func TestHolderWithProcessorTimeToSpareTakesTheSameBurst(t *testing.T) {
	for name, play := range map[string]func(s *scarce){
		"lasting": keepsLastingTasksRunning, "work": makesNoWorkOfItsOwn, "takeover": adoptsLastingTasks,
	} {
		t.Run(name, func(t *testing.T) { playScarce(t, []int{0}, play) })
	}
}
