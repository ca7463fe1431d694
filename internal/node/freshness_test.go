package node

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

// observedEnd is an end offset of the job log. The log had reached it by the given
// time.
type observedEnd struct {
	at     time.Time
	offset int64
}

// freshnessChecker compares the age that each node reports for its jobs view with
// the contents of the log.
type freshnessChecker struct {
	c        *cluster
	mu       sync.Mutex
	observed []observedEnd
}

// maxReplyDelay is the longest time that the reply to a direct read takes to reach
// the reader.
const maxReplyDelay = 30 * time.Millisecond

// startFreshnessChecker checks all nodes until the cluster's context ends: a view
// that was read at a given time must hold every record that the log held then.
func startFreshnessChecker(c *cluster) *freshnessChecker {
	x := &freshnessChecker{c: c}
	c.wg.Go(func() {
		client := c.log.Client("truth")
		for ; c.ctx.Err() == nil; sleepContext(c.ctx, 10*time.Millisecond) {
			page, err := client.Newest(c.ctx, jobsPartition, "")
			if err != nil {
				continue
			}
			x.mu.Lock()
			x.observed = append(x.observed, observedEnd{time.Now(), page.End})
			x.mu.Unlock()
			for _, p := range c.running() {
				x.checkNode(p)
			}
		}
	})
	return x
}

// checkNode reports an error if the node's view lacks a record that is older than
// the view's last read.
func (x *freshnessChecker) checkNode(p *process) {
	table := p.node.table
	table.mu.RLock()
	next, readAt, loaded := table.nextOffset, table.readAt, table.loaded
	table.mu.RUnlock()
	if endOffset := x.endOffsetAt(readAt.Add(-maxReplyDelay)); loaded && next < endOffset {
		x.c.t.Errorf("the view of %s reports an age of %v but lacks older records: it ends at offset %d, the log at %d",
			p.name, time.Since(readAt), next, endOffset)
	}
}

// endOffsetAt returns the newest end offset observed at or before the given time, or
// 0 if there is none.
func (x *freshnessChecker) endOffsetAt(at time.Time) int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := len(x.observed) - 1; i >= 0; i-- {
		if !x.observed[i].at.After(at) {
			return x.observed[i].offset
		}
	}
	return 0
}

// appendInBackground appends records directly to the log until the cluster's context
// ends, as a node that cannot reach the leader does.
func appendInBackground(c *cluster, interval time.Duration) {
	c.wg.Go(func() {
		for ; c.ctx.Err() == nil; sleepContext(c.ctx, interval) {
			c.log.Put(jobsPartition, store.Record{Key: "x", Value: []byte("{}")})
		}
	})
}

// A node must not report a view as newer than its contents. Here the leader first
// loses the store and then stalls while records are appended directly to the log.
func TestViewAgeMatchesContents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, singleSeedOptions)
		defer c.close()
		for _, name := range []string{"a", "b", "c"} {
			c.startNode(name)
		}
		time.Sleep(6 * time.Second)
		startFreshnessChecker(c)
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
