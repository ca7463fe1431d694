package node

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/emulator"
	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	// maxDispatchDelay and maxAcceptDelay bound the time from the nodes' start until a
	// site dispatches, and until each of its nodes accepts a job (issue 20).
	maxDispatchDelay = 4 * time.Second
	maxAcceptDelay   = 3 * time.Second
	// maxStartSkew bounds the time between the first and the last node's start
	// (DEPLOY.md).
	maxStartSkew = 300 * time.Millisecond
	// storeReadRate is the store's total read throughput in bytes per second (readMbS).
	storeReadRate = 80 << 20
	// siteNodes and siteJobs are the numbers of nodes and jobs of a large site.
	siteNodes, siteJobs = 39, 5000
	// siteDomains is the number of failure domains of a large site.
	siteDomains = 6
	// openJobInterval is the interval, in jobs, at which a job has not ended.
	openJobInterval = 10
	// specBytes is the size of a job's Spec, the caller's text.
	specBytes = 250
	// callerInterval is how often callers call each node while it starts.
	callerInterval = 100 * time.Millisecond
)

// startSeeds is the number of seeds that each scenario runs with.
var startSeeds = flag.Uint64("start-seeds", 1, "seeds of each start of a site")

// startScenario describes a site whose nodes all start at the same time.
type startScenario struct {
	nodes, jobs int
	readRate    int64
	seed        uint64
	// disturb, if not nil, injects faults during the start.
	disturb func(s *site)
	// Nodes for which absent returns true don't start; those for which excluded
	// returns true start but need not recover. Both may be nil.
	absent, excluded func(i int) bool
}

// site is a cluster whose job log already holds jobs when its nodes start.
type site struct {
	*cluster
	startedAt time.Time
	mu        sync.Mutex
	// dispatchedAfter is the time from the start until a node took over dispatching,
	// or 0; acceptedAfter is the time until a node first accepted a job, by node
	// name.
	dispatchedAfter time.Duration
	acceptedAfter   map[string]time.Duration
	scenario        startScenario
}

// runStart starts the nodes, waits until the site has recovered, or for three times
// maxDispatchDelay, and then runs the check.
func runStart(t *testing.T, scenario startScenario, check func(s *site)) {
	synctest.Test(t, func(t *testing.T) {
		options := singleSeedOptions
		options.log = emulator.LogConfig{ReadBytesPerSecond: scenario.readRate, ReadsPerSecond: 6000, WritesPerSecond: 1200, Latency: 2 * time.Millisecond}
		s := &site{cluster: newCluster(t, scenario.seed, options), acceptedAfter: map[string]time.Duration{}, scenario: scenario}
		defer s.close()
		s.fillJobs(scenario.jobs)
		s.registerNodes(scenario.nodes)
		s.configure = s.configureProcess
		s.startedAt = time.Now()
		s.bootAll(scenario.nodes)
		if scenario.disturb != nil {
			scenario.disturb(s)
		}
		for time.Since(s.startedAt) < 3*maxDispatchDelay && !s.recovered() {
			time.Sleep(50 * time.Millisecond)
		}
		check(s)
	})
}

// recovered reports whether a node dispatches and all running nodes that aren't
// excluded accept jobs and have a fresh view of all jobs.
func (s *site) recovered() bool {
	up := slices.DeleteFunc(s.running(), func(p *process) bool { return s.scenario.excluded != nil && s.scenario.excluded(s.indexOf(p)) })
	for _, p := range up {
		if !p.node.table.isFresh(time.Now(), maxStoreSilence) {
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range up {
		if s.acceptedAfter[p.name] == 0 {
			return false
		}
	}
	return s.dispatchedAfter > 0 && len(up) > 0
}

// bootAll starts the nodes within maxStartSkew of each other, without absent ones.
func (s *site) bootAll(nodes int) {
	for i := range nodes {
		if s.scenario.absent != nil && s.scenario.absent(i) {
			continue
		}
		s.callers.Go(func() {
			s.cluster.mu.Lock()
			wait := time.Duration(s.rng.Int64N(int64(maxStartSkew)))
			s.cluster.mu.Unlock()
			sleepContext(s.ctx, wait)
			s.callNode(s.startNode(nodeName(i)))
		})
	}
}

// indexOf returns the index of a process's node.
func (s *site) indexOf(p *process) int {
	var i int
	_, err := fmt.Sscanf(p.name, "n%d", &i)
	s.Expect(err).NotTo(HaveOccurred())
	return i
}

// everyNth returns the names of every nth of siteNodes nodes.
func (s *site) everyNth(nth int) []string {
	var names []string
	for i := 0; i < siteNodes; i += nth {
		names = append(names, nodeName(i))
	}
	return names
}

func nodeName(i int) string { return fmt.Sprintf("n%03d", i) }

// nodePlacement returns a node's failure domain and its share of a core. Two nodes of
// each domain are large.
func nodePlacement(i int) (domain string, share float64) {
	if i < 2*siteDomains {
		return fmt.Sprint("d", i%siteDomains), 0.8
	}
	return fmt.Sprint("d", i%siteDomains), 0.192
}

// registerNodes writes the member records of the nodes' previous incarnations.
func (s *site) registerNodes(nodes int) {
	for i := range nodes {
		rec := memberRecord{Address: nodeName(i) + ":1"}
		rec.Domain, rec.CPUShare = nodePlacement(i)
		value, err := json.Marshal(rec)
		s.Expect(err).NotTo(HaveOccurred())
		s.log.Put(memberPartition, store.Record{Key: nodeName(i), Value: value})
	}
}

// configureProcess sets a process's domain and CPU share, and observes when a node
// takes over dispatching.
func (s *site) configureProcess(p *process, set *Settings, deps *Dependencies) {
	i := s.indexOf(p)
	set.Domain, set.Limits.CPUShare = nodePlacement(i)
	deps.Observe = func(name string, _ time.Duration) {
		if name == "takeover" {
			s.update(func() { s.dispatchedAfter = time.Since(s.startedAt) })
		}
	}
}

func (s *site) update(edit func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit()
}

// fillJobs writes jobs to the log in the form in which leaders store them. Most of
// them have ended.
func (s *site) fillJobs(jobs int) {
	q := s.catalog.Queues["advised"]
	var records []store.Record
	for i := range jobs {
		job := singleTaskJob(fmt.Sprintf("00000000%08x", i))
		job.Queue, job.QueueSnapshot, job.Spec = q.Name, &q, strings.Repeat("s", specBytes)
		job.AcceptedMillis = time.Now().UnixMilli()
		value, err := json.Marshal(job)
		s.Expect(err).NotTo(HaveOccurred())
		records = append(records, store.Record{Key: jobKeyPrefix + job.ID, Value: value})
		if i%openJobInterval == 0 {
			continue
		}
		ended, err := commitRecords(dispatch.Commit{Progress: []dispatch.JobProgress{{ID: job.ID, Summary: job.Summary(),
			Progress: workflow.Progress{Ordered: true, Begun: true, Final: workflow.Completed, EndedMillis: job.AcceptedMillis, FinishedOccurrences: 1}}}}, store.DefaultMaxRequestBytes)
		s.Expect(err).NotTo(HaveOccurred())
		records = append(records, ended.records...)
	}
	s.log.Put(jobsPartition, records...)
}

// callNode acts as the callers of a starting node: they ask for the states of jobs
// that they submitted before, and submit new ones until one is accepted.
func (s *site) callNode(p *process) {
	api, q := p.node.Desk(), s.catalog.Queues["plain"]
	for i := 0; time.Since(s.startedAt) < 3*maxDispatchDelay && s.ctx.Err() == nil; i++ {
		known := fmt.Sprintf("00000000%08x", i)
		s.callers.Go(func() { api.State(s.ctx, anyCaller, &q, known) })
		job := singleTaskJob(fmt.Sprintf("%s%012x", p.name, i))
		s.fleet.Know(&job, q.Pool, q.Attempts)
		if _, _, o := api.Match(q.Host, q.Prefix); o.Code == intake.OK && api.Submit(s.ctx, &q, job).Code == intake.OK {
			s.update(func() { s.acceptedAfter[p.name] = time.Since(s.startedAt) })
			return
		}
		sleepContext(s.ctx, callerInterval)
	}
}

// slowestAccept returns the time until the last node accepted its first job, and the
// number of nodes that never accepted one.
func (s *site) slowestAccept(nodes int) (took time.Duration, never int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.acceptedAfter {
		took = max(took, at)
	}
	return took, nodes - len(s.acceptedAfter)
}

// readBytes returns the number of bytes that the store returned to all nodes' reads.
func (s *site) readBytes(nodes int) int64 {
	var sum int64
	for i := range nodes {
		sum += s.log.Usage(nodeName(i)).ReadBytes
	}
	return sum
}

// After the loss of all nodes, callers and tasks wait for the site: all nodes must
// accept jobs and load the view of all jobs, and one must dispatch, within the bounds,
// although they all read the log through one store of limited throughput.
func TestSiteRecoversInTimeFromTheLossOfAllNodes(t *testing.T) {
	for _, scenario := range []startScenario{{nodes: siteNodes, jobs: siteJobs}, {nodes: 97, jobs: 10000}} {
		for seed := uint64(1); seed <= *startSeeds; seed++ {
			scenario.readRate, scenario.seed = storeReadRate, seed
			t.Run(fmt.Sprintf("nodes=%d/seed=%d", scenario.nodes, seed), func(t *testing.T) {
				t.Parallel()
				runStart(t, scenario, func(s *site) {
					took, never := s.slowestAccept(scenario.nodes)
					recoveredAfter := time.Since(s.startedAt)
					t.Logf("dispatched after %v, last node accepted after %v, all views loaded after %v, %d MB read", s.dispatchedAfter, took, recoveredAfter, s.readBytes(scenario.nodes)>>20)
					s.Expect(recoveredAfter).To(BeNumerically("<=", maxDispatchDelay), "all views loaded")
					s.Expect(s.dispatchedAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", maxDispatchDelay)), "dispatching")
					s.Expect(never).To(BeZero(), "nodes that never accepted a job")
					s.Expect(took).To(BeNumerically("<=", maxAcceptDelay), "accepting")
				})
			})
		}
	}
}

// startFaults are faults during a start. Some end by themselves, the others last.
var startFaults = map[string]struct {
	disturb func(s *site)
	// slack is added to maxDispatchDelay.
	slack    time.Duration
	readRate int64
	// absent and excluded are as in startScenario.
	absent, excluded func(i int) bool
}{
	"a quarter of the read rate": {readRate: storeReadRate / 4, slack: maxDispatchDelay},
	"a slow store":               {disturb: func(s *site) { s.log.Slow(20) }, slack: maxDispatchDelay},
	"lost answers":               {disturb: func(s *site) { s.log.LoseReplies(0.3) }, slack: maxDispatchDelay},
	"the store turns a third away": {disturb: func(s *site) {
		s.log.Refuse(true, s.everyNth(3)...)
		time.Sleep(2 * time.Second)
		s.log.Calm()
	}, slack: 2 * time.Second},
	// A node that starts without the store knows no other node that it could ask.
	"a domain without the store": {excluded: func(i int) bool { return i%siteDomains == 0 },
		disturb: func(s *site) { s.log.Down(true, s.everyNth(siteDomains)...) }},
	"the large nodes don't come": {absent: func(i int) bool {
		_, share := nodePlacement(i)
		return share > 0.5
	}, slack: 2 * time.Second},
	"all are lost again": {disturb: func(s *site) {
		time.Sleep(maxStartSkew + 200*time.Millisecond)
		for _, p := range s.running() {
			s.kill(p)
		}
		s.update(func() { s.dispatchedAfter = 0; clear(s.acceptedAfter); s.startedAt = time.Now() })
		s.bootAll(siteNodes)
	}},
}

// A site whose nodes all start at the same time must recover within the bounds, plus
// slack, despite a fault during the start.
func TestSiteRecoversAmidTrouble(t *testing.T) {
	for faultName, fault := range startFaults {
		for seed := uint64(1); seed <= *startSeeds; seed++ {
			t.Run(fmt.Sprintf("%s/seed=%d", faultName, seed), func(t *testing.T) {
				t.Parallel()
				scenario := startScenario{nodes: siteNodes, jobs: siteJobs, readRate: storeReadRate, seed: seed, disturb: fault.disturb, absent: fault.absent, excluded: fault.excluded}
				if fault.readRate > 0 {
					scenario.readRate = fault.readRate
				}
				runStart(t, scenario, func(s *site) {
					up := len(s.running())
					took, _ := s.slowestAccept(up)
					t.Logf("dispatched after %v, last of %d nodes accepted after %v, all views loaded after %v, %d MB read",
						s.dispatchedAfter, len(s.acceptedAfter), took, time.Since(s.startedAt), s.readBytes(scenario.nodes)>>20)
					s.Expect(s.dispatchedAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", maxDispatchDelay+fault.slack)), "dispatching")
					s.Expect(time.Since(s.startedAt)).To(BeNumerically("<=", maxDispatchDelay+fault.slack), "accepting, and all views loaded")
				})
			})
		}
	}
}
