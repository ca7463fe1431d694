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

// readCounts counts the calls of the store by node and partition.
type readCounts struct {
	mu             sync.Mutex
	byNodeAndTopic map[string]int
}

// countingStore counts a process's reads.
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

// countDuring returns how many reads of the partition the node makes in the time.
func (c *readCounts) countDuring(d time.Duration, node string, p store.Partition) int {
	before := c.count(node, p)
	time.Sleep(d)
	return c.count(node, p) - before
}

// runCounted runs nodes under traffic with their reads counted.
func runCounted(t *testing.T, scenario func(c *cluster, n *readCounts)) {
	synctest.Test(t, func(t *testing.T) {
		c, n := newCluster(t, 1, singleSeedOptions), &readCounts{byNodeAndTopic: map[string]int{}}
		defer c.close()
		c.configure = func(p *process, _ *Settings, ports *Dependencies) {
			ports.Store = countingStore{ports.Store, p.name, n}
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

func TestLeaderSkipsReadsCoveredByItsAppends(t *testing.T) {
	runCounted(t, func(c *cluster, n *readCounts) {
		c.Expect(n.countDuring(10*time.Second, c.leader().name, jobsPartition)).To(BeNumerically("<", 60))
	})
}

func TestLeaderReadsRarelyWhenIdle(t *testing.T) {
	runCounted(t, func(c *cluster, n *readCounts) {
		time.Sleep(30 * time.Second)
		c.Expect(n.countDuring(10*time.Second, c.leader().name, jobsPartition)).To(BeNumerically("<", 40))
	})
}

// lostReplyStore carries out each append and loses its first answer.
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

func TestRetriedAppendReportsFirstSendTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := logrus.New()
		log.SetOutput(io.Discard)
		shown := make(chan recordsWritten, 1)
		w := newJobLogWriter(&lostReplyStore{}, 3, 0, &failoverReader{recovered: make(chan struct{})}, log, func(string, string) {}, func(ev recordsWritten) { shown <- ev })
		go func() { _ = w.run(ctx) }()
		began := time.Now()
		_, err := w.append(ctx, []store.Record{{Key: "p/1"}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically(">", 0))
		g.Expect((<-shown).sent).To(Equal(began), "what others wrote since the first try may be missing")
	})
}

func TestMembersReadRarelyButSeenAtOnce(t *testing.T) {
	runCounted(t, func(c *cluster, n *readCounts) {
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

// hangingStore answers no read until its context ends.
type hangingStore struct{ store.Store }

func (hangingStore) Read(ctx context.Context, _ store.Partition, _ int64, _ time.Duration) (store.Batch, error) {
	<-ctx.Done()
	return store.Batch{}, store.ErrNotExecuted
}

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

func TestThreeNodesFollowLeaderClosely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, n := newCluster(t, 1, singleSeedOptions), &readCounts{byNodeAndTopic: map[string]int{}}
		defer c.close()
		c.configure = func(p *process, _ *Settings, ports *Dependencies) {
			ports.Store = countingStore{ports.Store, p.name, n}
		}
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			c.startNode(name)
		}
		time.Sleep(8 * time.Second)
		holder := c.leader()
		near := takeoverCandidates(holder.node.Members())
		c.Expect(near).To(HaveLen(candidateCount))
		c.Expect(near).NotTo(ContainElement(holder.name))
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
			if name == holder.name || slices.Contains(near, name) {
				c.Expect(r).To(BeNumerically(">", 24), name)
			} else {
				c.Expect(r).To(BeNumerically("<", 16), name)
			}
		}
		c.kill(holder)
		began := time.Now()
		next := c.leader()
		c.Expect(time.Since(began)).To(BeNumerically("<", 1500*time.Millisecond))
		c.Expect(near).To(ContainElement(next.name))
		for _, p := range c.running() {
			if slices.Contains(near, p.name) {
				c.kill(p)
			}
		}
		began = time.Now()
		c.leader()
		c.Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
	})
}
