package node

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

// readCounts counts reads from the store by node and topic. It may be used
// concurrently.
type readCounts struct {
	mu             sync.Mutex
	byNodeAndTopic map[string]int
}

// countingStore is a store that counts the reads of a node.
type countingStore struct {
	store.Store
	node   string
	counts *readCounts
}

func (s countingStore) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	s.counts.add(s.node, p)
	return s.Store.Read(ctx, p, from, wait)
}

func (c *readCounts) add(node string, p store.Partition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byNodeAndTopic[node+" "+p.Topic]++
}

func (c *readCounts) count(node string, p store.Partition) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byNodeAndTopic[node+" "+p.Topic]
}

// countDuring returns how many reads of the partition the node makes during d.
func (c *readCounts) countDuring(d time.Duration, node string, p store.Partition) int {
	before := c.count(node, p)
	time.Sleep(d)
	return c.count(node, p) - before
}

// runWithReadCounts runs a scenario on nodes a, b and c under traffic and counts their
// reads.
func runWithReadCounts(t *testing.T, scenario func(c *cluster, n *readCounts)) {
	synctest.Test(t, func(t *testing.T) {
		c, n := newCluster(t, 1, singleSeedOptions), &readCounts{byNodeAndTopic: map[string]int{}}
		defer c.close()
		c.configure = func(p *process, _ *Settings, deps *Dependencies) {
			deps.Store = countingStore{deps.Store, p.name, n}
		}
		for _, name := range []string{"a", "b", "c"} {
			c.startNode(name)
		}
		c.startTraffic(20*time.Second, 3)
		time.Sleep(6 * time.Second)
		scenario(c, n)
		c.expectAllJobsEnd()
	})
}

// TestLeaderSkipsReadsCoveredByItsAppends guards against a leader that reads the job
// log after each of its own appends, although their replies have already told it that
// nothing else was written.
func TestLeaderSkipsReadsCoveredByItsAppends(t *testing.T) {
	runWithReadCounts(t, func(c *cluster, n *readCounts) {
		c.Expect(n.countDuring(10*time.Second, c.leader().name, jobsPartition)).To(BeNumerically("<", 60))
	})
}

// TestLeaderReadsRarelyWhenIdle bounds the reads of the job log by a leader without
// traffic.
func TestLeaderReadsRarelyWhenIdle(t *testing.T) {
	runWithReadCounts(t, func(c *cluster, n *readCounts) {
		time.Sleep(30 * time.Second)
		c.Expect(n.countDuring(10*time.Second, c.leader().name, jobsPartition)).To(BeNumerically("<", 40))
	})
}

// lostReplyStore executes every append and loses the reply to the first one.
type lostReplyStore struct {
	store.Store
	attempts int
}

func (s *lostReplyStore) Append(ctx context.Context, p store.Partition, r []store.Record, opt store.AppendOptions) (store.AppendResult, error) {
	s.attempts++
	if s.attempts == 1 {
		<-ctx.Done()
		return store.AppendResult{}, store.ErrOutcomeUnknown
	}
	return store.AppendResult{First: 7, End: 7 + int64(len(r))}, nil
}

// TestRetriedAppendReportsFirstSendTime guards against a leader that takes its view as
// more recent than it is: a retried append may have been executed at its first
// attempt, so the time of that attempt must be reported.
func TestRetriedAppendReportsFirstSendTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := logrus.New()
		log.SetOutput(io.Discard)
		written := make(chan recordsWritten, 1)
		w := newJobLogWriter(&lostReplyStore{}, 3, newAppendLimits(&Settings{}), &failoverReader{recovered: make(chan struct{})}, log, func(string, string) {}, func(ev recordsWritten) { written <- ev })
		go func() { _ = w.run(ctx) }()
		startedAt := time.Now()
		_, err := w.append(ctx, []store.Record{{Key: "p/1"}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(startedAt)).To(BeNumerically(">", 0))
		g.Expect((<-written).sent).To(Equal(startedAt), "records written by others since the first attempt may not have been read")
	})
}

// TestMembersAreReadRarelyAndNewOnesSeenAtOnce bounds the reads of the member list and
// checks that the other nodes see a new member within 200 ms all the same.
func TestMembersAreReadRarelyAndNewOnesSeenAtOnce(t *testing.T) {
	runWithReadCounts(t, func(c *cluster, n *readCounts) {
		c.Expect(n.countDuring(20*time.Second, c.leader().name, memberPartition)).To(BeNumerically("<=", 3))
		time.Sleep(membersPollInterval)
		before := c.running()
		c.startNode("d")
		time.Sleep(200 * time.Millisecond)
		for _, p := range before {
			c.Expect(p.node.Members()).To(HaveLen(4), p.name)
		}
	})
}

// hangingStore is a store that answers no read until the context ends.
type hangingStore struct{ store.Store }

func (hangingStore) Read(ctx context.Context, _ store.Partition, _ int64, _ time.Duration) (store.Batch, error) {
	<-ctx.Done()
	return store.Batch{}, store.ErrNotExecuted
}

// TestCanceledReadDoesNotMarkStoreDown guards against a store that is marked as
// unreachable by mistake: reads that hang are cancelled when another read reaches the
// store again, and must not count as failures of the store.
func TestCanceledReadDoesNotMarkStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := &failoverReader{recovered: make(chan struct{}), direct: hangingStore{}, peerAddresses: func() []string { return nil }}
		done := make(chan error, 1)
		go func() {
			_, err := r.Read(t.Context(), jobsPartition, 0, membersReadWait)
			done <- err
		}()
		time.Sleep(time.Second)
		r.setDown(true)
		r.setDown(false) // another read has reached the store again
		g.Expect(<-done).To(HaveOccurred())
		g.Expect(r.isDown()).To(BeFalse())
	})
}

// TestTakeoverCandidatesFollowLeaderClosely checks that only the takeover candidates
// read the leader's renewals often, that one of them takes over within 1.5 s after the
// loss of the leader, and that another node takes over within 3 s if all of them are
// lost too.
func TestTakeoverCandidatesFollowLeaderClosely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, n := newCluster(t, 1, singleSeedOptions), &readCounts{byNodeAndTopic: map[string]int{}}
		defer c.close()
		c.configure = func(p *process, _ *Settings, deps *Dependencies) {
			deps.Store = countingStore{deps.Store, p.name, n}
		}
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			c.startNode(name)
		}
		time.Sleep(8 * time.Second)
		leader := c.leader()
		candidates := takeoverCandidates(leader.node.Members())
		c.Expect(candidates).To(HaveLen(candidateCount))
		c.Expect(candidates).NotTo(ContainElement(leader.name))
		reads := map[string]int{}
		var wg sync.WaitGroup
		var mu sync.Mutex
		for _, p := range c.running() {
			wg.Go(func() {
				r := n.countDuring(10*time.Second, p.name, tenurePartition)
				mu.Lock()
				reads[p.name] = r
				mu.Unlock()
			})
		}
		wg.Wait()
		for name, r := range reads {
			if name == leader.name || slices.Contains(candidates, name) {
				c.Expect(r).To(BeNumerically(">", 24), name)
			} else {
				c.Expect(r).To(BeNumerically("<", 16), name)
			}
		}
		c.kill(leader)
		startedAt := time.Now()
		nextLeader := c.leader()
		c.Expect(time.Since(startedAt)).To(BeNumerically("<", 1500*time.Millisecond))
		c.Expect(candidates).To(ContainElement(nextLeader.name))
		for _, p := range c.running() {
			if slices.Contains(candidates, p.name) {
				c.kill(p)
			}
		}
		startedAt = time.Now()
		c.leader()
		c.Expect(time.Since(startedAt)).To(BeNumerically("<", 3*time.Second))
	})
}
