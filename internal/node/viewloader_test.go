package node

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// TestLoadSourcesAgreeWithinDomain guards against nodes that all load the jobs view
// from the store, or wait for each other: all must agree which node of their domain
// comes first, and none may ask a leaving node.
func TestLoadSourcesAgreeWithinDomain(t *testing.T) {
	g := NewWithT(t)
	var ms []Member
	for i := range 12 {
		m := Member{Node: fmt.Sprint("n", i), Address: fmt.Sprint("a", i), Domain: fmt.Sprint("d", i%3), CPUShare: 0.2}
		if i >= 9 {
			m.CPUShare = 0.8
		}
		m.Leader, m.Leaving = i == 9, i == 3
		ms = append(ms, m)
	}
	asked := map[string]int{}
	firstOfDomain := 0
	for _, m := range ms {
		s := loadSourcesFor(ms, m.Node)
		g.Expect(s.otherDomains).To(HaveLen(2))
		g.Expect(len(s.sameDomain)).To(BeNumerically("<=", maxLoadPeers))
		if len(s.sameDomain) == 0 && !m.Leaving {
			g.Expect(m.CPUShare).To(Equal(0.8), "only the largest node of a domain loads from the store; leadership makes no difference")
			firstOfDomain++
		}
		for _, address := range s.sameDomain {
			asked[address]++
		}
	}
	g.Expect(firstOfDomain).To(Equal(3), "exactly one node per domain has no node ranked before it")
	g.Expect(asked).NotTo(HaveKey("a3"), "a3 is leaving")
	g.Expect(loadSourcesFor(ms, "unknown").sameDomain).To(BeEmpty())
}

// flakyPageStore is a store that fails every other request for a page of the newest
// records of the job log.
type flakyPageStore struct {
	store.Store
	pages int
	asked map[string]int
}

func (s *flakyPageStore) Newest(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	if p != jobsPartition {
		return s.Store.Newest(ctx, p, after)
	}
	s.pages++
	s.asked[after]++
	if s.pages%2 == 0 {
		return store.Page{}, store.ErrNotExecuted
	}
	return s.Store.Newest(ctx, p, after)
}

// TestViewLoadKeepsPagesAfterFailure guards against a load of the jobs view that
// starts again after each failed page, and against failed pages that mark the store
// as unreachable.
func TestViewLoadKeepsPagesAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{cluster: newCluster(t, 1, singleSeedOptions)}
		defer s.close()
		s.fillJobs(2000)
		flaky := &flakyPageStore{asked: map[string]int{}}
		s.configure = func(_ *process, _ *Settings, deps *Dependencies) {
			flaky.Store = deps.Store
			deps.Store = flaky
		}
		p := s.startNode("a")
		time.Sleep(3 * time.Second)
		s.Expect(p.node.table.isLoaded()).To(BeTrue())
		s.Expect(p.node.storeReader.isDown()).To(BeFalse(), "a failed page must not mark the store as unreachable")
		s.Expect(flaky.asked[""]).To(Equal(1), "the first page must be read only once")
		s.Expect(flaky.pages).To(BeNumerically("<=", 2*len(flaky.asked)))
	})
}

// TestStateQueryReadsNothingWhileViewLoads guards against state queries that read from
// the store while the jobs view loads, and against answers from an incomplete view.
// Submits must still be accepted; their jobs are marked as possible duplicates, since
// the node can't tell whether they were accepted before.
func TestStateQueryReadsNothingWhileViewLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{cluster: newCluster(t, 1, singleSeedOptions)}
		defer s.close()
		s.fillJobs(2000)
		unblock := make(chan struct{})
		s.configure = func(_ *process, _ *Settings, deps *Dependencies) {
			deps.Store = &blockedNewestStore{deps.Store, unblock}
		}
		p := s.startNode("a")
		time.Sleep(time.Second)
		api, q := p.node.Desk(), s.catalog.Queues["plain"]
		before := s.log.Usage("a").ReadBytes
		for i := range 20 {
			_, o := api.State(s.ctx, anyCaller, &q, fmt.Sprintf("00000000%08x", i))
			s.Expect(o.Code).To(Equal(intake.Unavailable))
			s.Expect(o.Reason).To(Equal("view-loading"))
		}
		_, o := api.Pending(s.ctx, &q)
		s.Expect(o.Code).To(Equal(intake.Unavailable), "pending jobs can't be counted from an incomplete view")
		s.Expect(api.Ready()).To(BeFalse())
		s.Expect(p.node.canClaim()).To(BeFalse())
		s.Expect(s.log.Usage("a").ReadBytes - before).To(BeNumerically("<", 1000))

		job := singleTaskJob("a000000000000001")
		job.Steps[0].EstimateMillis = time.Minute.Milliseconds()
		s.fleet.Know(&job, q.Pool, q.Attempts)
		s.Expect(api.Submit(s.ctx, &q, job).Code).To(Equal(intake.OK), "a submit needs only the configuration and the store")
		close(unblock)
		time.Sleep(4 * time.Second)
		e, ok := p.node.table.lookup(job.ID)
		s.Expect(ok).To(BeTrue())
		s.Expect(e.job.MaybeDuplicate).To(BeTrue(), "it may have been accepted before")
		state, o := api.State(s.ctx, anyCaller, &q, "0000000000000001")
		s.Expect(o.Code).To(Equal(intake.OK))
		s.Expect(state).To(Equal(workflow.Completed))
	})
}

// blockedNewestStore is a store that answers no request for a page of the job log
// until the channel unblocked is closed.
type blockedNewestStore struct {
	store.Store
	unblocked chan struct{}
}

func (s *blockedNewestStore) Newest(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	if p == jobsPartition {
		select {
		case <-s.unblocked:
		case <-ctx.Done():
			return store.Page{}, store.ErrNotExecuted
		}
	}
	return s.Store.Newest(ctx, p, after)
}

// partialReader returns the given records of a log that holds more.
type partialReader struct{ records []store.StoredRecord }

func (r partialReader) Read(context.Context, store.Partition, int64, time.Duration) (store.Batch, error) {
	return store.Batch{Records: r.records, NextOffset: int64(len(r.records)), End: 1000}, nil
}

func (r partialReader) Newest(context.Context, store.Partition, string) (store.Page, error) {
	return store.Page{}, store.ErrNotExecuted
}

// TestPartialReadDoesNotMakeViewFresh guards against a view that counts as fresh after
// a read that did not reach the end of the log.
func TestPartialReadDoesNotMakeViewFresh(t *testing.T) {
	g := NewWithT(t)
	partial := readOnce(t.Context(), partialReader{withOffsets(0, jobRecord(g, "a", ""))}, feed{}, 0)
	table := newJobTable()
	table.apply(partial.records, partial.nextOffset)
	table.recordRead(partial)
	g.Expect(table.isLoaded()).To(BeFalse(), "a partial read must not count as a full load")
	table.recordRead(readResult{full: true, nextOffset: 1, readAt: time.Now().Add(-3 * time.Second)})
	table.recordRead(partial)
	g.Expect(table.isFresh(time.Now(), 2*time.Second)).To(BeFalse(), "the read did not reach the end of the log")
	table.recordRead(readResult{nextOffset: 1, readAt: time.Now()})
	g.Expect(table.isFresh(time.Now(), 2*time.Second)).To(BeTrue())
}

// TestViewsStayFreshAfterHistoryLoss guards against stale views while the store
// repeatedly drops all records but the newest of each key: a node whose next record
// was dropped must load the view again in time.
func TestViewsStayFreshAfterHistoryLoss(t *testing.T) {
	runDomains(t, 4, func(c *cluster, _ *network) {
		appendInBackground(c, 30*time.Millisecond)
		x := &lagTracker{c: c, leader: c.leader()}
		var others []*process
		for _, p := range c.running() {
			if p != x.leader {
				others = append(others, p)
			}
		}
		for range 20 { // drops history for 2 s, as the platform does
			c.noteDisruption()
			c.log.DropHistory()
			_, age := x.measure(100*time.Millisecond, others...)
			c.Expect(age).To(BeNumerically("<", maxStoreSilence))
		}
		_, age := x.measure(4*time.Second, others...)
		t.Logf("maximum age of a view: %v", age)
		c.Expect(age).To(BeNumerically("<", maxStoreSilence))
	})
}

// slowLinkStore is a store behind a link of 10 Mbit/s, half of which is in use.
type slowLinkStore struct{ store.Store }

func (s slowLinkStore) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	b, err := s.Store.Read(ctx, p, from, wait)
	size := 0
	for _, r := range b.Records {
		size += len(r.Key) + len(r.Value)
	}
	sleepContext(ctx, time.Duration(float64(size)/0.625e6*float64(time.Second)))
	if ctx.Err() != nil {
		return store.Batch{}, store.ErrNotExecuted
	}
	return b, err
}

// TestViewCatchesUpOverSlowLink guards against a view that stays behind after the store
// was unreachable: the 4 MB of missed records take 6.4 s to transfer over the link.
func TestViewCatchesUpOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, singleSeedOptions)
		defer c.close()
		c.configure = func(_ *process, _ *Settings, deps *Dependencies) { deps.Store = slowLinkStore{deps.Store} }
		p := c.startNode("a")
		time.Sleep(3 * time.Second)
		c.log.Down(true, "a")
		for range 4000 { // 4 MB in 8 s
			c.log.Put(jobsPartition, store.Record{Key: "x", Value: make([]byte, 1000)})
			time.Sleep(2 * time.Millisecond)
		}
		c.log.Calm()
		time.Sleep(10 * time.Second) // the transfer alone takes 6.4 s
		c.Expect(p.node.JobsViewAge()).To(BeNumerically("<", maxStoreSilence))
	})
}
