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
	// maxDispatchDelay and maxAcceptDelay are within what time of the nodes' start a
	// site dispatches, and each of its nodes accepts a job (issue 20).
	maxDispatchDelay = 4 * time.Second
	maxAcceptDelay   = 3 * time.Second
	// maxStartSkew is within what time of each other all nodes start (DEPLOY.md).
	maxStartSkew = 300 * time.Millisecond
	// storeReadRate is how fast the store answers all reads, in bytes a second (readMbS).
	storeReadRate = 80 << 20
	// siteNodes and siteJobs are of a grown site.
	siteNodes, siteJobs = 39, 5000
	// siteDomains is the number of failure domains of a grown site.
	siteDomains = 6
	// openJobInterval is one in how many jobs has not ended.
	openJobInterval = 10
	// specBytes is the size of a caller's text.
	specBytes = 250
	// askInterval is how often callers ask each node for jobs while it starts.
	askInterval = 100 * time.Millisecond
)

// startSeeds is how many seeds of each start are played.
var startSeeds = flag.Uint64("start-seeds", 1, "seeds of each start of a site")

// startScenario is what a site is like whose nodes all start at the same time.
type startScenario struct {
	nodes, jobs int
	readRate    int64
	seed        uint64
	// during, if not nil, disturbs the start.
	during func(s *site)
	// absent nodes, if not nil, don't start; nothing is expected of those apart.
	absent, excluded func(i int) bool
}

// site is a cluster whose log holds jobs when its nodes start.
type site struct {
	*cluster
	startedAt time.Time
	mu        sync.Mutex
	// dispatched is how long after the start the first node dispatched; accepted
	// is by node when it first accepted a job.
	dispatched time.Duration
	accepted   map[string]time.Duration
	scenario   startScenario
}

// runStart starts the nodes and waits until they all accept jobs and know all
// of them and one dispatches, or for three times the bounds.
func runStart(t *testing.T, scenario startScenario, check func(s *site)) {
	synctest.Test(t, func(t *testing.T) {
		with := singleSeedOptions
		with.log = emulator.LogConfig{ReadBytesPerSecond: scenario.readRate, ReadsPerSecond: 6000, WritesPerSecond: 1200, Latency: 2 * time.Millisecond}
		s := &site{cluster: newCluster(t, scenario.seed, with), accepted: map[string]time.Duration{}, scenario: scenario}
		defer s.close()
		s.fillJobs(scenario.jobs)
		s.registerNodes(scenario.nodes)
		s.configure = s.configureProcess
		s.startedAt = time.Now()
		s.bootAll(scenario.nodes)
		if scenario.during != nil {
			scenario.during(s)
		}
		for time.Since(s.startedAt) < 3*maxDispatchDelay && !s.recovered() {
			time.Sleep(50 * time.Millisecond)
		}
		check(s)
	})
}

// recovered reports whether a node dispatches, and all that run accept jobs and
// know all of them.
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
		if s.accepted[p.name] == 0 {
			return false
		}
	}
	return s.dispatched > 0 && len(up) > 0
}

// bootAll starts the nodes within maxStartSkew of each other.
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

// indexOf is a process's number among the nodes.
func (s *site) indexOf(p *process) int {
	var i int
	_, err := fmt.Sscanf(p.name, "n%d", &i)
	s.Expect(err).NotTo(HaveOccurred())
	return i
}

// everyNth returns the names of every nth node of the usual site.
func (s *site) everyNth(nth int) []string {
	var names []string
	for i := 0; i < siteNodes; i += nth {
		names = append(names, nodeName(i))
	}
	return names
}

func nodeName(i int) string { return fmt.Sprintf("n%03d", i) }

// placement returns a node's failure domain and share of a core: two of each
// domain are large.
func placement(i int) (domain string, share float64) {
	if i < 2*siteDomains {
		return fmt.Sprint("d", i%siteDomains), 0.8
	}
	return fmt.Sprint("d", i%siteDomains), 0.192
}

// registerNodes writes the nodes' records of their former lives.
func (s *site) registerNodes(nodes int) {
	for i := range nodes {
		rec := memberRecord{Address: nodeName(i) + ":1"}
		rec.Domain, rec.CPUShare = placement(i)
		value, err := json.Marshal(rec)
		s.Expect(err).NotTo(HaveOccurred())
		s.log.Put(memberPartition, store.Record{Key: nodeName(i), Value: value})
	}
}

// configureProcess tells a process where it is.
func (s *site) configureProcess(p *process, set *Settings, ports *Dependencies) {
	i := s.indexOf(p)
	set.Domain, set.Limits.CPUShare = placement(i)
	ports.Observe = func(name string, _ time.Duration) {
		if name == "takeover" {
			s.update(func() { s.dispatched = time.Since(s.startedAt) })
		}
	}
}

func (s *site) update(edit func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit()
}

// fillJobs writes jobs into the log as holders leave them, most of them ended.
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
			Progress: workflow.Progress{Started: true, Final: workflow.Completed, EndedMillis: job.AcceptedMillis, FinishedOccurrences: 1}}}})
		s.Expect(err).NotTo(HaveOccurred())
		records = append(records, ended...)
	}
	s.log.Put(jobsPartition, records...)
}

// callNode is what callers ask of a node while it starts: the states of jobs that
// they handed in before, and whether it takes another.
func (s *site) callNode(p *process) {
	desk, q := p.node.Desk(), s.catalog.Queues["plain"]
	for i := 0; time.Since(s.startedAt) < 3*maxDispatchDelay && s.ctx.Err() == nil; i++ {
		known := fmt.Sprintf("00000000%08x", i)
		s.callers.Go(func() { desk.State(s.ctx, &q, known) })
		job := singleTaskJob(fmt.Sprintf("%s%012x", p.name, i))
		s.fleet.Know(&job, q.Pool, q.Attempts)
		if _, _, o := desk.Match(q.Host, q.Prefix); o.Code == intake.OK && desk.Submit(s.ctx, &q, job).Code == intake.OK {
			s.update(func() { s.accepted[p.name] = time.Since(s.startedAt) })
			return
		}
		sleepContext(s.ctx, askInterval)
	}
}

// slowestAccept returns the time after which the last of all nodes accepted a job, and
// how many never did.
func (s *site) slowestAccept(nodes int) (took time.Duration, never int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.accepted {
		took = max(took, at)
	}
	return took, nodes - len(s.accepted)
}

// readBytes returns the bytes that the store has answered all reads with.
func (s *site) readBytes(nodes int) int64 {
	var sum int64
	for i := range nodes {
		sum += s.log.Usage(nodeName(i)).ReadBytes
	}
	return sum
}

func TestSiteRecoversInTimeFromTheLossOfAllNodes(t *testing.T) {
	for _, size := range []startScenario{{nodes: siteNodes, jobs: siteJobs}, {nodes: 97, jobs: 10000}} {
		for seed := uint64(1); seed <= *startSeeds; seed++ {
			size.readRate, size.seed = storeReadRate, seed
			t.Run(fmt.Sprintf("nodes=%d/seed=%d", size.nodes, seed), func(t *testing.T) {
				t.Parallel()
				runStart(t, size, func(s *site) {
					took, never := s.slowestAccept(size.nodes)
					whole := time.Since(s.startedAt)
					t.Logf("dispatched after %v, the last node accepted after %v, all knew all after %v, %d MB read", s.dispatched, took, whole, s.readBytes(size.nodes)>>20)
					s.Expect(whole).To(BeNumerically("<=", maxDispatchDelay), "knowing all jobs")
					s.Expect(s.dispatched).To(And(BeNumerically(">", 0), BeNumerically("<=", maxDispatchDelay)), "dispatching")
					s.Expect(never).To(BeZero(), "nodes that accept nothing")
					s.Expect(took).To(BeNumerically("<=", maxAcceptDelay), "accepting")
				})
			})
		}
	}
}

// startFaults disturb a start. Each ends by itself, or lasts.
var startFaults = map[string]struct {
	during func(s *site)
	// slack is added to the bounds.
	slack time.Duration
	rate  int64
	// absent nodes don't start; nothing is expected of those apart.
	absent, apart func(i int) bool
}{
	"a quarter of the read rate": {rate: storeReadRate / 4, slack: maxDispatchDelay},
	"a slow store":               {during: func(s *site) { s.log.Slow(20) }, slack: maxDispatchDelay},
	"lost answers":               {during: func(s *site) { s.log.LoseReplies(0.3) }, slack: maxDispatchDelay},
	"the store turns a third away": {during: func(s *site) {
		s.log.Refuse(true, s.everyNth(3)...)
		time.Sleep(2 * time.Second)
		s.log.Calm()
	}, slack: 2 * time.Second},
	// A node that starts without the store knows nobody whom it could ask.
	"a domain without the store": {apart: func(i int) bool { return i%siteDomains == 0 },
		during: func(s *site) { s.log.Down(true, s.everyNth(siteDomains)...) }},
	"the large nodes don't come": {absent: func(i int) bool {
		_, share := placement(i)
		return share > 0.5
	}, slack: 2 * time.Second},
	"all are lost again": {during: func(s *site) {
		time.Sleep(maxStartSkew + 200*time.Millisecond)
		for _, p := range s.running() {
			s.kill(p)
		}
		s.update(func() { s.dispatched = 0; clear(s.accepted); s.startedAt = time.Now() })
		s.bootAll(siteNodes)
	}},
}

func TestSiteRecoversAmidTrouble(t *testing.T) {
	for what, trouble := range startFaults {
		for seed := uint64(1); seed <= *startSeeds; seed++ {
			t.Run(fmt.Sprintf("%s/seed=%d", what, seed), func(t *testing.T) {
				t.Parallel()
				set := startScenario{nodes: siteNodes, jobs: siteJobs, readRate: storeReadRate, seed: seed, during: trouble.during, absent: trouble.absent, excluded: trouble.apart}
				if trouble.rate > 0 {
					set.readRate = trouble.rate
				}
				runStart(t, set, func(s *site) {
					up := len(s.running())
					took, _ := s.slowestAccept(up)
					t.Logf("dispatched after %v, the last of %d nodes accepted after %v, all knew all after %v, %d MB read",
						s.dispatched, len(s.accepted), took, time.Since(s.startedAt), s.readBytes(set.nodes)>>20)
					s.Expect(s.dispatched).To(And(BeNumerically(">", 0), BeNumerically("<=", maxDispatchDelay+trouble.slack)), "dispatching")
					s.Expect(time.Since(s.startedAt)).To(BeNumerically("<=", maxDispatchDelay+trouble.slack), "accepting, and knowing all jobs")
				})
			})
		}
	}
}
