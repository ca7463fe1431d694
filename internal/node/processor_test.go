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
	// callCost is the processor time for sending a call, and for reading its answer.
	callCost = time.Millisecond
	// scarceWorkers is the number of workers that the leader keeps leases on.
	scarceWorkers                     = 50
	longRunningJobs, longRunningTasks = 20, 2
	// burstTime is how long callers submit jobs, burstInterval how often.
	burstTime, burstInterval = 4 * time.Second, 250 * time.Millisecond
	// overloadFactor is the processor time needed for the burst's calls, as a multiple
	// of the burst's duration.
	overloadFactor = 2
	// callsPerTask counts a start and a heartbeat call, although one heartbeat may
	// report several ended tasks.
	callsPerTask = 2
	// maxBacklogTime is how long after the burst tasks may still wait.
	maxBacklogTime = 5 * time.Second
	// killAfter is when during the burst the leader is killed.
	killAfter = 1500 * time.Millisecond
	// minTaskTime and maxTaskTime bound the run time of a burst task.
	minTaskTime, maxTaskTime = 200 * time.Millisecond, 500 * time.Millisecond
)

// orderCounts counts the orders sent to workers, by task.
type orderCounts struct {
	mu            sync.Mutex
	starts, stops map[workflow.TaskID]int
}

type countingWorkers struct {
	worker.Client
	orders *orderCounts
}

func (w countingWorkers) Start(ctx context.Context, s worker.Start) (worker.Code, int64) {
	w.orders.mu.Lock()
	w.orders.starts[s.Task]++
	w.orders.mu.Unlock()
	return w.Client.Start(ctx, s)
}

func (w countingWorkers) Stop(ctx context.Context, s worker.Stop) (worker.Code, int64) {
	w.orders.mu.Lock()
	w.orders.stops[s.Task]++
	w.orders.mu.Unlock()
	return w.Client.Stop(ctx, s)
}

// decisionCounts counts logged decisions by kind; it is a log hook.
type decisionCounts struct {
	mu     sync.Mutex
	byKind map[string]int
}

// Levels implements logrus.Hook.
func (*decisionCounts) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (k *decisionCounts) Fire(e *logrus.Entry) error {
	if kind, ok := e.Data["kind"].(string); ok {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.byKind[kind]++
	}
	return nil
}

func (k *decisionCounts) count(kind string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.byKind[kind]
}

// scarceCluster is a cluster whose nodes have limited processor time.
type scarceCluster struct {
	*cluster
	callCost    time.Duration
	orders      *orderCounts
	decisions   *decisionCounts
	processors  map[string]*emulator.Processor
	longRunning []*submittedJob
	burst       []*submittedJob
	burstTasks  int
	burstStart  time.Time
}

// callCostFactors are the multiples of callCost at which processor time is scarce.
var callCostFactors = []int{1, 2, 4}

// runScarce submits long-running jobs, waits until they run, and then makes callers
// submit a burst of short tasks, which begins when play is called.
func runScarce(t *testing.T, costs []int, scenario func(s *scarceCluster)) {
	for _, factor := range costs {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("cost=%d/seed=%d", factor, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := newScarceCluster(t, seed, time.Duration(factor)*callCost)
					defer s.close()
					s.submitLongRunning()
					s.submitBurst()
					scenario(s)
				})
			})
		}
	}
}

func newScarceCluster(t *testing.T, seed uint64, cost time.Duration) *scarceCluster {
	s := &scarceCluster{cluster: newCluster(t, seed, singleSeedOptions), callCost: cost, decisions: &decisionCounts{byKind: map[string]int{}},
		orders:     &orderCounts{starts: map[workflow.TaskID]int{}, stops: map[workflow.TaskID]int{}},
		processors: map[string]*emulator.Processor{}}
	for i := len(s.fleet.Infos()); i < scarceWorkers; i++ {
		s.fleet.Add(emulator.WorkerConfig{ID: fmt.Sprintf("x%02d", i), Pool: "cpu", Labels: []string{"std", fmt.Sprintf("r%d", i%5)},
			Capacity: workflow.Size{MilliCPU: 4000, MemoryMiB: 8192}})
	}
	s.logger.AddHook(s.decisions)
	s.configure = func(p *process, settings *Settings, ports *Dependencies) {
		settings.Limits.CPUShare = 0.8
		s.processors[p.name] = &emulator.Processor{}
		ports.ProcessorTime = func() time.Duration { return s.processors[p.name].Usage().Used }
		ports.Workers = s.processors[p.name].Workers(countingWorkers{ports.Workers, s.orders}, emulator.CallCost{Send: cost, Read: cost})
	}
	for _, name := range []string{"a", "b", "c"} {
		s.startNode(name)
	}
	time.Sleep(8 * time.Second)
	return s
}

// submitLongRunning submits long-running jobs and waits until all their tasks run.
func (s *scarceCluster) submitLongRunning() {
	for i := range longRunningJobs {
		job := singleTaskJob(fmt.Sprintf("00000000000a%04x", i))
		job.Steps[0].Count, job.Steps[0].LongRunning = longRunningTasks, true
		job.Steps[0].Size.MilliCPU = 2500 // one per worker
		s.longRunning = append(s.longRunning, s.submit(job, "plain"))
	}
	time.Sleep(10 * time.Second)
	s.Expect(s.notRunning(s.longRunning)).To(BeEmpty(), "long-running tasks don't run before the burst: %s", s)
	s.Expect(s.decisions.count("contact-lost")).To(BeZero(), "before the burst")
}

// submitBurst makes callers submit short tasks whose calls need overloadFactor
// times the available processor time.
func (s *scarceCluster) submitBurst() {
	cost := s.callCost
	if cost == 0 {
		cost = callCost
	}
	s.burstStart = time.Now()
	s.burstTasks = int(overloadFactor * burstTime / (callsPerTask * 2 * cost))
	jobs := int(burstTime / burstInterval)
	for i := range jobs {
		job := singleTaskJob(fmt.Sprintf("00000000000b%04x", i))
		job.Steps[0].Count = s.burstTasks*(i+1)/jobs - s.burstTasks*i/jobs
		job.Steps[0].Size.MilliCPU = 150
		s.mu.Lock()
		job.Steps[0].EstimateMillis = minTaskTime.Milliseconds() + s.rng.Int64N((maxTaskTime - minTaskTime).Milliseconds())
		s.mu.Unlock()
		s.callers.Go(func() {
			sleepContext(s.ctx, time.Duration(i)*burstInterval)
			h := s.submit(job, "plain")
			s.mu.Lock()
			defer s.mu.Unlock()
			s.burst = append(s.burst, h)
		})
	}
}

// notRunning returns the tasks of accepted jobs that are neither done nor running.
func (s *scarceCluster) notRunning(jobs []*submittedJob) []workflow.TaskID {
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

// watchLongRunning watches the long-running tasks for the given time and returns
// those that were not running at some point.
func (s *scarceCluster) watchLongRunning(d time.Duration) map[workflow.TaskID]bool {
	interrupted := map[workflow.TaskID]bool{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, id := range s.notRunning(s.longRunning) {
			interrupted[id] = true
		}
	}
	return interrupted
}

// requiredCallTime is the processor time for the calls that the burst requires at
// least.
func (s *scarceCluster) requiredCallTime() time.Duration {
	return time.Duration(s.burstTasks) * callsPerTask * 2 * s.callCost
}

// submittedBurst returns the burst's jobs whose callers have returned.
func (s *scarceCluster) submittedBurst() []*submittedJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.burst)
}

// extraOrders returns how many starts beyond the first, and how many stops, were
// sent for the tasks of the jobs.
func (s *scarceCluster) extraOrders(jobs []*submittedJob) (starts, stops int) {
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

// acceptedBurst returns the number of accepted jobs of the burst.
func (s *scarceCluster) acceptedBurst() int {
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

// burstProgress returns when the last of the burst's jobs was done, measured from
// the start of the burst, and how many are not done yet.
func (s *scarceCluster) burstProgress() (took time.Duration, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.burst {
		p, _ := s.fleet.Progress(h.job.ID)
		if p.Finished.IsZero() {
			open++
		}
		took = max(took, p.Finished.Sub(s.burstStart))
	}
	return took, open
}

// String describes the cluster for failure messages.
func (s *scarceCluster) String() string {
	var b strings.Builder
	starts, stops := s.extraOrders(s.submittedBurst())
	took, open := s.burstProgress()
	fmt.Fprintf(&b, "%v after the burst began: %d tasks, %d restarts, %d stops, %d unfinished jobs, last job done after %v, required call time %v",
		time.Since(s.burstStart), s.burstTasks, starts, stops, open, took, s.requiredCallTime())
	starts, stops = s.extraOrders(s.longRunning)
	fmt.Fprintf(&b, "; long-running tasks: %d restarts, %d stops; runs ended: %v", starts, stops, s.fleet.Ends())
	s.decisions.mu.Lock()
	fmt.Fprintf(&b, "; decisions: %v", s.decisions.byKind)
	s.decisions.mu.Unlock()
	for _, p := range s.running() {
		fmt.Fprintf(&b, "; %s: %+v", p.name, s.processors[p.name].Usage())
	}
	return b.String()
}

// expectContact expects that no healthy worker was given up and that no lease
// expired.
func (s *scarceCluster) expectContact() {
	s.Expect(s.fleet.Ends()[worker.LeaseExpired]).To(BeZero(), "expired runs: %s", s)
	for _, kind := range []string{"contact-lost", "leases-lapsed", "worker-gone"} {
		s.Expect(s.decisions.count(kind)).To(BeZero(), "%s: %s", kind, s)
	}
}

func expectLongRunningUndisturbed(s *scarceCluster) {
	interrupted := s.watchLongRunning(burstTime + maxBacklogTime)
	s.Expect(interrupted).To(BeEmpty(), "long-running tasks that were not running: %s", s)
	s.expectContact()
	s.callers.Wait()
	s.Expect(s.acceptedBurst()).To(Equal(int(burstTime/burstInterval)), "jobs accepted: %s", s)
	s.Expect(s.notRunning(s.submittedBurst())).To(BeEmpty(), "tasks that still wait: %s", s)
}

func expectFewExtraOrders(s *scarceCluster) {
	s.callers.Wait()
	time.Sleep(time.Until(s.burstStart.Add(max(2*s.requiredCallTime(), burstTime+maxBacklogTime) + maxTaskTime)))
	starts, stops := s.extraOrders(s.submittedBurst())
	s.Expect(10*(starts+stops)).To(BeNumerically("<=", s.burstTasks), "%s", s)
	_, open := s.burstProgress()
	s.Expect(open).To(BeZero(), "jobs that aren't done: %s", s)
}

func expectAdoption(s *scarceCluster) {
	time.Sleep(killAfter)
	s.kill(s.leader())
	interrupted := s.watchLongRunning(burstTime - killAfter + maxBacklogTime)
	s.Expect(interrupted).To(BeEmpty(), "long-running tasks that were not running: %s", s)
	starts, stops := s.extraOrders(s.longRunning)
	s.Expect(starts+stops).To(BeZero(), "long-running tasks weren't adopted: %s", s)
	s.expectContact()
}

// TestHolderShortOfProcessorTimeKeepsLastingTasksRunning guards against lost
// workers and expired leases when a burst of short tasks needs more processor time
// than the leader has: renewals for long-running tasks must not wait behind the
// burst's calls.
func TestHolderShortOfProcessorTimeKeepsLastingTasksRunning(t *testing.T) {
	runScarce(t, callCostFactors, expectLongRunningUndisturbed)
}

// TestOverloadedLeaderSendsFewExtraOrders guards against a leader that makes its
// overload worse by starting again or stopping tasks of the burst: at most one
// extra order per ten tasks is allowed.
func TestOverloadedLeaderSendsFewExtraOrders(t *testing.T) {
	runScarce(t, callCostFactors, expectFewExtraOrders)
}

// TestNextHolderShortOfProcessorTimeAdoptsLastingTasks guards against a next leader
// that restarts or stops long-running tasks: it takes over from a killed leader
// during a burst and has too little processor time itself.
func TestNextHolderShortOfProcessorTimeAdoptsLastingTasks(t *testing.T) {
	runScarce(t, callCostFactors, expectAdoption)
}

// TestLeaderWithSpareProcessorTimeHandlesSameBurst runs the same three scenarios
// with calls that cost no processor time.
func TestLeaderWithSpareProcessorTimeHandlesSameBurst(t *testing.T) {
	for name, play := range map[string]func(s *scarceCluster){
		"lasting": expectLongRunningUndisturbed, "work": expectFewExtraOrders, "takeover": expectAdoption,
	} {
		t.Run(name, func(t *testing.T) { runScarce(t, []int{0}, play) })
	}
}
