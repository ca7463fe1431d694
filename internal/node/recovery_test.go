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
	// dispatchBound and acceptBound are within what time of the nodes' start a
	// site dispatches, and each of its nodes accepts a job (issue 20).
	dispatchBound = 4 * time.Second
	acceptBound   = 3 * time.Second
	// startSpread is within what time of each other all nodes start (DEPLOY.md).
	startSpread = 300 * time.Millisecond
	// readRate is how fast the store answers all reads, in bytes a second (readMbS).
	readRate = 80 << 20
	// siteNodes and siteJobs are of a grown site.
	siteNodes, siteJobs = 39, 5000
	// siteDomains is the number of failure domains of a grown site.
	siteDomains = 6
	// openShare is one in how many jobs has not ended.
	openShare = 10
	// specBytes is the size of a caller's text.
	specBytes = 250
	// askEvery is how often callers ask each node for jobs while it starts.
	askEvery = 100 * time.Millisecond
)

// startSeeds is how many seeds of each start are played.
var startSeeds = flag.Uint64("start-seeds", 1, "seeds of each start of a site")

// siteStart is what a site is like whose nodes all start at the same time.
type siteStart struct {
	nodes, jobs int
	readRate    int64
	seed        uint64
	// during, if not nil, disturbs the start.
	during func(s *site)
	// absent nodes, if not nil, don't start; nothing is expected of those apart.
	absent, apart func(i int) bool
}

// site is a cluster whose log holds jobs when its nodes start.
type site struct {
	*cluster
	began time.Time
	mu    sync.Mutex
	// dispatched is how long after the start the first node dispatched; accepted
	// is by node when it first accepted a job.
	dispatched time.Duration
	accepted   map[string]time.Duration
	set        siteStart
}

// playStart starts the nodes and waits until they all accept jobs and know all
// of them and one dispatches, or for three times the bounds.
func playStart(t *testing.T, set siteStart, check func(s *site)) {
	synctest.Test(t, func(t *testing.T) {
		with := singleSeedOptions
		with.log = emulator.LogConfig{ReadBytesPerSecond: set.readRate, ReadsPerSecond: 6000, WritesPerSecond: 1200, Latency: 2 * time.Millisecond}
		s := &site{cluster: newCluster(t, set.seed, with), accepted: map[string]time.Duration{}, set: set}
		defer s.close()
		s.fill(set.jobs)
		s.enrol(set.nodes)
		s.configure = s.place
		s.began = time.Now()
		s.bootAll(set.nodes)
		if set.during != nil {
			set.during(s)
		}
		for time.Since(s.began) < 3*dispatchBound && !s.recovered() {
			time.Sleep(50 * time.Millisecond)
		}
		check(s)
	})
}

// recovered reports whether a node dispatches, and all that run accept jobs and
// know all of them.
func (s *site) recovered() bool {
	up := slices.DeleteFunc(s.running(), func(p *process) bool { return s.set.apart != nil && s.set.apart(s.number(p)) })
	for _, p := range up {
		if !p.node.table.fresh(time.Now(), storeSilence) {
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

// bootAll starts the nodes within startSpread of each other.
func (s *site) bootAll(nodes int) {
	for i := range nodes {
		if s.set.absent != nil && s.set.absent(i) {
			continue
		}
		s.callers.Go(func() {
			s.cluster.mu.Lock()
			wait := time.Duration(s.rng.Int64N(int64(startSpread)))
			s.cluster.mu.Unlock()
			pauseFor(s.ctx, wait)
			s.ask(s.startNode(nodeName(i)))
		})
	}
}

// number is a process's number among the nodes.
func (s *site) number(p *process) int {
	var i int
	_, err := fmt.Sscanf(p.name, "n%d", &i)
	s.Expect(err).NotTo(HaveOccurred())
	return i
}

// some returns the names of every nth node of the usual site.
func (s *site) some(nth int) []string {
	var names []string
	for i := 0; i < siteNodes; i += nth {
		names = append(names, nodeName(i))
	}
	return names
}

func nodeName(i int) string { return fmt.Sprintf("n%03d", i) }

// placeOf returns a node's failure domain and share of a core: two of each
// domain are large.
func placeOf(i int) (domain string, share float64) {
	if i < 2*siteDomains {
		return fmt.Sprint("d", i%siteDomains), 0.8
	}
	return fmt.Sprint("d", i%siteDomains), 0.192
}

// enrol writes the nodes' records of their former lives.
func (s *site) enrol(nodes int) {
	for i := range nodes {
		rec := memberRecord{Address: nodeName(i) + ":1"}
		rec.Domain, rec.CPUShare = placeOf(i)
		value, err := json.Marshal(rec)
		s.Expect(err).NotTo(HaveOccurred())
		s.log.Put(memberPartition, store.Record{Key: nodeName(i), Value: value})
	}
}

// place tells a process where it is.
func (s *site) place(p *process, set *Settings, ports *Dependencies) {
	i := s.number(p)
	set.Domain, set.Limits.CPUShare = placeOf(i)
	ports.Observe = func(name string, _ time.Duration) {
		if name == "takeover" {
			s.note(func() { s.dispatched = time.Since(s.began) })
		}
	}
}

func (s *site) note(edit func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit()
}

// fill writes jobs into the log as holders leave them, most of them ended.
func (s *site) fill(jobs int) {
	q := s.catalog.Queues["advised"]
	var records []store.Record
	for i := range jobs {
		job := oneTask(fmt.Sprintf("00000000%08x", i))
		job.Queue, job.QueueSnapshot, job.Spec = q.Name, &q, strings.Repeat("s", specBytes)
		job.AcceptedMillis = time.Now().UnixMilli()
		value, err := json.Marshal(job)
		s.Expect(err).NotTo(HaveOccurred())
		records = append(records, store.Record{Key: jobKey + job.ID, Value: value})
		if i%openShare == 0 {
			continue
		}
		ended, err := commitRecords(dispatch.Commit{Progress: []dispatch.JobProgress{{ID: job.ID, Summary: job.Summary(),
			Progress: workflow.Progress{Started: true, Final: workflow.Completed, EndedMillis: job.AcceptedMillis, FinishedOccurrences: 1}}}})
		s.Expect(err).NotTo(HaveOccurred())
		records = append(records, ended...)
	}
	s.log.Put(jobsPartition, records...)
}

// ask is what callers ask of a node while it starts: the states of jobs that
// they handed in before, and whether it takes another.
func (s *site) ask(p *process) {
	desk, q := p.node.Desk(), s.catalog.Queues["plain"]
	for i := 0; time.Since(s.began) < 3*dispatchBound && s.ctx.Err() == nil; i++ {
		known := fmt.Sprintf("00000000%08x", i)
		s.callers.Go(func() { desk.State(s.ctx, &q, known) })
		job := oneTask(fmt.Sprintf("%s%012x", p.name, i))
		s.fleet.Know(&job, q.Pool, q.Attempts)
		if _, _, o := desk.Match(q.Host, q.Prefix); o.Code == intake.OK && desk.Submit(s.ctx, &q, job).Code == intake.OK {
			s.note(func() { s.accepted[p.name] = time.Since(s.began) })
			return
		}
		pauseFor(s.ctx, askEvery)
	}
}

// slowest returns the time after which the last of all nodes accepted a job, and
// how many never did.
func (s *site) slowest(nodes int) (took time.Duration, never int) {
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
	for _, size := range []siteStart{{nodes: siteNodes, jobs: siteJobs}, {nodes: 97, jobs: 10000}} {
		for seed := uint64(1); seed <= *startSeeds; seed++ {
			size.readRate, size.seed = readRate, seed
			t.Run(fmt.Sprintf("nodes=%d/seed=%d", size.nodes, seed), func(t *testing.T) {
				t.Parallel()
				playStart(t, size, func(s *site) {
					took, never := s.slowest(size.nodes)
					whole := time.Since(s.began)
					t.Logf("dispatched after %v, the last node accepted after %v, all knew all after %v, %d MB read", s.dispatched, took, whole, s.readBytes(size.nodes)>>20)
					s.Expect(whole).To(BeNumerically("<=", dispatchBound), "knowing all jobs")
					s.Expect(s.dispatched).To(And(BeNumerically(">", 0), BeNumerically("<=", dispatchBound)), "dispatching")
					s.Expect(never).To(BeZero(), "nodes that accept nothing")
					s.Expect(took).To(BeNumerically("<=", acceptBound), "accepting")
				})
			})
		}
	}
}

// startTroubles disturb a start. Each ends by itself, or lasts.
var startTroubles = map[string]struct {
	during func(s *site)
	// slack is added to the bounds.
	slack time.Duration
	rate  int64
	// absent nodes don't start; nothing is expected of those apart.
	absent, apart func(i int) bool
}{
	"a quarter of the read rate": {rate: readRate / 4, slack: dispatchBound},
	"a slow store":               {during: func(s *site) { s.log.Slow(20) }, slack: dispatchBound},
	"lost answers":               {during: func(s *site) { s.log.LoseReplies(0.3) }, slack: dispatchBound},
	"the store turns a third away": {during: func(s *site) {
		s.log.Refuse(true, s.some(3)...)
		time.Sleep(2 * time.Second)
		s.log.Calm()
	}, slack: 2 * time.Second},
	// A node that starts without the store knows nobody whom it could ask.
	"a domain without the store": {apart: func(i int) bool { return i%siteDomains == 0 },
		during: func(s *site) { s.log.Down(true, s.some(siteDomains)...) }},
	"the large nodes don't come": {absent: func(i int) bool {
		_, share := placeOf(i)
		return share > 0.5
	}, slack: 2 * time.Second},
	"all are lost again": {during: func(s *site) {
		time.Sleep(startSpread + 200*time.Millisecond)
		for _, p := range s.running() {
			s.kill(p)
		}
		s.note(func() { s.dispatched = 0; clear(s.accepted); s.began = time.Now() })
		s.bootAll(siteNodes)
	}},
}

func TestSiteRecoversAmidTrouble(t *testing.T) {
	for what, trouble := range startTroubles {
		for seed := uint64(1); seed <= *startSeeds; seed++ {
			t.Run(fmt.Sprintf("%s/seed=%d", what, seed), func(t *testing.T) {
				t.Parallel()
				set := siteStart{nodes: siteNodes, jobs: siteJobs, readRate: readRate, seed: seed, during: trouble.during, absent: trouble.absent, apart: trouble.apart}
				if trouble.rate > 0 {
					set.readRate = trouble.rate
				}
				playStart(t, set, func(s *site) {
					up := len(s.running())
					took, _ := s.slowest(up)
					t.Logf("dispatched after %v, the last of %d nodes accepted after %v, all knew all after %v, %d MB read",
						s.dispatched, len(s.accepted), took, time.Since(s.began), s.readBytes(set.nodes)>>20)
					s.Expect(s.dispatched).To(And(BeNumerically(">", 0), BeNumerically("<=", dispatchBound+trouble.slack)), "dispatching")
					s.Expect(time.Since(s.began)).To(BeNumerically("<=", dispatchBound+trouble.slack), "accepting, and knowing all jobs")
				})
			})
		}
	}
}
