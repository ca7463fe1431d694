package node

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

// observedEnd is an end that the log of jobs had at the time at the latest.
type observedEnd struct {
	at  time.Time
	end int64
}

// freshnessChecker checks what the nodes claim of their views against the log itself.
type freshnessChecker struct {
	c    *cluster
	mu   sync.Mutex
	ends []observedEnd
}

// maxReplyDelay is the most that a direct read's answer takes back to its reader.
const maxReplyDelay = 30 * time.Millisecond

// checkFreshness compares until the cluster's context ends: a view that was read at
// a time holds all that the log held then.
func checkFreshness(c *cluster) *freshnessChecker {
	x := &freshnessChecker{c: c}
	c.wg.Go(func() {
		s := c.log.Client("truth")
		for ; c.ctx.Err() == nil; sleepContext(c.ctx, 10*time.Millisecond) {
			page, err := s.Newest(c.ctx, jobsPartition, "")
			if err != nil {
				continue
			}
			x.mu.Lock()
			x.ends = append(x.ends, observedEnd{time.Now(), page.End})
			x.mu.Unlock()
			for _, p := range c.running() {
				x.check(p)
			}
		}
	})
	return x
}

func (x *freshnessChecker) check(p *process) {
	t := p.node.table
	t.mu.RLock()
	next, readAt, loaded := t.next, t.readAt, t.loaded
	t.mu.RUnlock()
	if end := x.endAt(readAt.Add(-maxReplyDelay)); loaded && next < end {
		x.c.t.Errorf("the view of %s is %v old by its own account and lacks records that are older: it ends at %d, the log at %d",
			p.name, time.Since(readAt), next, end)
	}
}

// endAt returns the newest end known to have been there at the time, or 0.
func (x *freshnessChecker) endAt(at time.Time) int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := len(x.ends) - 1; i >= 0; i-- {
		if !x.ends[i].at.After(at) {
			return x.ends[i].end
		}
	}
	return 0
}

// appendInBackground has records written past the nodes, as a node cut from the holder
// does, until the context ends.
func appendInBackground(c *cluster, every time.Duration) {
	c.wg.Go(func() {
		for ; c.ctx.Err() == nil; sleepContext(c.ctx, every) {
			c.log.Put(jobsPartition, store.Record{Key: "x", Value: []byte("{}")})
		}
	})
}

func TestViewAgeMatchesContents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, singleSeedOptions)
		defer c.close()
		for _, name := range []string{"a", "b", "c"} {
			c.startNode(name)
		}
		time.Sleep(6 * time.Second)
		checkFreshness(c)
		appendInBackground(c, 50*time.Millisecond)
		time.Sleep(2 * time.Second)
		p := c.leader()
		c.log.Down(true, p.name)
		c.runDisrupted(4 * time.Second)
		c.clearFaults()
		time.Sleep(2 * time.Second)
		p = c.leader()
		p.stall()
		c.runDisrupted(4 * time.Second)
		p.resume()
		time.Sleep(2 * time.Second)
	})
}
