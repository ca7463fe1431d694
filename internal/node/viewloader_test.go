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
	first := 0
	for _, m := range ms {
		s := loadSourcesFor(ms, m.Node)
		g.Expect(s.otherDomains).To(HaveLen(2))
		g.Expect(len(s.sameDomain)).To(BeNumerically("<=", maxLoadPeers))
		if len(s.sameDomain) == 0 && !m.Leaving {
			g.Expect(m.CPUShare).To(Equal(0.8), "the holder of before comes first like any other")
			first++
		}
		for _, address := range s.sameDomain {
			asked[address]++
		}
	}
	g.Expect(first).To(Equal(3), "one of each domain has nobody ahead")
	g.Expect(asked).NotTo(HaveKey("a3"), "it is leaving")
	g.Expect(loadSourcesFor(ms, "unknown").sameDomain).To(BeEmpty())
}

// flakyPageStore is a store of which every other page of the newest fails.
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

func TestViewLoadKeepsPagesAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{cluster: newCluster(t, 1, singleSeedOptions)}
		defer s.close()
		s.fillJobs(2000)
		fails := &flakyPageStore{asked: map[string]int{}}
		s.configure = func(_ *process, _ *Settings, ports *Dependencies) {
			fails.Store = ports.Store
			ports.Store = fails
		}
		p := s.startNode("a")
		time.Sleep(3 * time.Second)
		s.Expect(p.node.table.isLoaded()).To(BeTrue())
		s.Expect(p.node.storeReader.isDown()).To(BeFalse(), "a page's failure isn't the store's")
		s.Expect(fails.asked[""]).To(Equal(1), "the first page was read again")
		s.Expect(fails.pages).To(BeNumerically("<=", 2*len(fails.asked)))
	})
}

func TestStateQueryReadsNothingWhileViewLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{cluster: newCluster(t, 1, singleSeedOptions)}
		defer s.close()
		s.fillJobs(2000)
		hangs := make(chan struct{})
		s.configure = func(_ *process, _ *Settings, ports *Dependencies) {
			ports.Store = &blockedNewestStore{ports.Store, hangs}
		}
		p := s.startNode("a")
		time.Sleep(time.Second)
		desk, q := p.node.Desk(), s.catalog.Queues["plain"]
		before := s.log.Usage("a").ReadBytes
		for i := range 20 {
			_, o := desk.State(s.ctx, &q, fmt.Sprintf("00000000%08x", i))
			s.Expect(o.Code).To(Equal(intake.Unavailable))
			s.Expect(o.Reason).To(Equal("view-loading"))
		}
		_, o := desk.Pending(s.ctx, &q)
		s.Expect(o.Code).To(Equal(intake.Unavailable), "a part of the jobs can't be counted")
		s.Expect(desk.Ready()).To(BeFalse())
		s.Expect(p.node.canClaim()).To(BeFalse())
		s.Expect(s.log.Usage("a").ReadBytes - before).To(BeNumerically("<", 1000))

		job := singleTaskJob("a000000000000001")
		job.Steps[0].EstimateMillis = time.Minute.Milliseconds()
		s.fleet.Know(&job, q.Pool, q.Attempts)
		s.Expect(desk.Submit(s.ctx, &q, job).Code).To(Equal(intake.OK), "an accept needs the configuration and the store")
		close(hangs)
		time.Sleep(4 * time.Second)
		e, ok := p.node.table.lookup(job.ID)
		s.Expect(ok).To(BeTrue())
		s.Expect(e.job.MaybeDuplicate).To(BeTrue(), "it may repeat one that was accepted before")
		state, o := desk.State(s.ctx, &q, "0000000000000001")
		s.Expect(o.Code).To(Equal(intake.OK))
		s.Expect(state).To(Equal(workflow.Completed))
	})
}

// blockedNewestStore is a store that answers no page of the jobs before a channel closes.
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

// partialReader reads the given records of a log that has more.
type partialReader struct{ records []store.StoredRecord }

func (r partialReader) Read(context.Context, store.Partition, int64, time.Duration) (store.Batch, error) {
	return store.Batch{Records: r.records, NextOffset: int64(len(r.records)), End: 1000}, nil
}

func (r partialReader) Newest(context.Context, store.Partition, string) (store.Page, error) {
	return store.Page{}, store.ErrNotExecuted
}

func TestPartialReadDoesNotMakeViewFresh(t *testing.T) {
	g := NewWithT(t)
	part := readOnce(t.Context(), partialReader{numbered(0, jobRecord(g, "a", ""))}, feed{}, 0)
	tab := newJobTable()
	tab.apply(part.records, part.nextOffset)
	tab.recordRead(part)
	g.Expect(tab.isLoaded()).To(BeFalse(), "it is no whole reading")
	tab.recordRead(readResult{full: true, nextOffset: 1, readAt: time.Now().Add(-3 * time.Second)})
	tab.recordRead(part)
	g.Expect(tab.isFresh(time.Now(), 2*time.Second)).To(BeFalse(), "it has not reached the log's end")
	tab.recordRead(readResult{nextOffset: 1, readAt: time.Now()})
	g.Expect(tab.isFresh(time.Now(), 2*time.Second)).To(BeTrue())
}

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
		for range 20 { // for 2 s, as the platform does
			c.noteDisruption()
			c.log.DropHistory()
			_, age := x.measure(100*time.Millisecond, others...)
			c.Expect(age).To(BeNumerically("<", maxStoreSilence))
		}
		_, age := x.measure(4*time.Second, others...)
		t.Logf("views are %v old at the most", age)
		c.Expect(age).To(BeNumerically("<", maxStoreSilence))
	})
}

// slowLinkStore is a store at the end of a link of 10 Mbit/s of which half is in use.
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

func TestViewCatchesUpOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, singleSeedOptions)
		defer c.close()
		c.configure = func(_ *process, _ *Settings, ports *Dependencies) { ports.Store = slowLinkStore{ports.Store} }
		p := c.startNode("a")
		time.Sleep(3 * time.Second)
		c.log.Down(true, "a")
		for range 4000 { // 4 MB in 8 s
			c.log.Put(jobsPartition, store.Record{Key: "x", Value: make([]byte, 1000)})
			time.Sleep(2 * time.Millisecond)
		}
		c.log.Calm()
		time.Sleep(10 * time.Second) // the link alone takes 6.4 s
		c.Expect(p.node.JobsViewAge()).To(BeNumerically("<", maxStoreSilence))
	})
}
