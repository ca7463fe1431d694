package node

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

const (
	// bulkPeers is how many nodes of its domain a node asks for the whole view
	// before it reads it from the store.
	bulkPeers = 3
	// bulkPeerTimeout bounds another node's answer with a page from its memory.
	bulkPeerTimeout = 600 * time.Millisecond
	// loadingPatience is how long a node waits for another one that loads its own
	// view, before it asks the next one.
	loadingPatience = 3 * time.Second
	// loadingPoll is the pause before such a node is asked again.
	loadingPoll = 100 * time.Millisecond
	// leastPagePatience and mostPagePatience bound the wait for a page from the
	// store: it doubles with each page that doesn't come in time.
	leastPagePatience = 2 * time.Second
	mostPagePatience  = 8 * time.Second
	// tellLoading is the least time between two lines on how far a reading is.
	tellLoading = 500 * time.Millisecond
	// membersPatience is how long a start waits to know the other nodes.
	membersPatience = 500 * time.Millisecond
)

// bulk reads the newest record of every key of the log of jobs, which is much
// more than any other read brings. When a site starts, one node of each failure
// domain reads it from the store and the others get it from that node's memory,
// so that what the store has to send grows with the domains and not with the
// nodes. Pages that came are kept when one fails, and a failure here says nothing
// of the store to the other feeds. One goroutine reads.
type bulk struct {
	n *Node
	// records and after are what came so far and where to go on; next is the
	// least end of all pages, from which on a read brings every later change.
	records []store.StoredRecord
	after   string
	next    int64
	// readAt is when the log was last read up to next.
	readAt time.Time
	// began is when the first page was asked for, zero between two readings.
	began time.Time
	// fromStore and fromPeers count the pages, retries the failures.
	fromStore, fromPeers, retries int
	patience                      time.Duration
	rests                         rests
	// loading tells since when a node has said that it loads its own view.
	loading map[string]time.Time
	// waitsFor is who did not bring a page last; toldAt is when a line said so.
	waitsFor string
	toldAt   time.Time
}

func newBulk(n *Node) *bulk {
	return &bulk{n: n, patience: leastPagePatience, rests: rests{}, loading: map[string]time.Time{}}
}

// read goes on reading. After an error the next call goes on where this one ended.
func (b *bulk) read(ctx context.Context) reading {
	if b.began.IsZero() {
		b.n.awaitMembers(ctx)
		b.began, b.next = time.Now(), math.MaxInt64
		b.readAt = b.began
	}
	for {
		page, err := b.page(ctx)
		if err != nil {
			b.retries++
			b.tellWait()
			pauseFor(ctx, time.Duration(rand.Int64N(int64(loadingPoll))))
			return reading{err: err, at: time.Now()}
		}
		b.records = append(b.records, page.Records...)
		b.next = min(b.next, page.End)
		if !page.ReadAt.IsZero() && page.ReadAt.Before(b.readAt) {
			b.readAt = page.ReadAt
		}
		b.after = page.NextKey
		if page.NextKey == "" {
			return b.finish()
		}
	}
}

// finish returns the whole reading and makes ready for another.
func (b *bulk) finish() reading {
	// Another node's view may be behind the log's end.
	r := reading{records: b.records, next: b.next, whole: true, sent: b.began, at: b.readAt, caughtUp: b.fromPeers == 0}
	b.n.log.WithFields(logrus.Fields{"kind": "view-loaded", "records": len(b.records), "store_pages": b.fromStore, "peer_pages": b.fromPeers,
		"retries": b.retries, "took_ms": time.Since(b.began).Milliseconds()}).Info("the view of the jobs is whole")
	b.n.deps.Observe("load", time.Since(b.began))
	*b = *newBulk(b.n)
	return r
}

// tellWait logs how far the reading is and what it waits for, now and then.
func (b *bulk) tellWait() {
	if time.Since(b.toldAt) < tellLoading {
		return
	}
	b.toldAt = time.Now()
	b.n.log.WithFields(logrus.Fields{"kind": "view-loading", "records": len(b.records), "store_pages": b.fromStore, "peer_pages": b.fromPeers,
		"retries": b.retries, "waits_for": b.waitsFor, "since_ms": time.Since(b.began).Milliseconds()}).Info("the view of the jobs is being read")
}

// page reads the next page: from the nodes ahead in its domain, else from the
// store, else from the first nodes of other domains.
func (b *bulk) page(ctx context.Context) (store.Page, error) {
	sources := b.n.bulkSources.Load()
	page, err := b.fromAny(ctx, sources.ahead)
	if err == nil || errors.Is(err, store.ErrLoading) || ctx.Err() != nil {
		return page, err
	}
	if page, err = b.storePage(ctx); err == nil || ctx.Err() != nil {
		return page, err
	}
	b.n.deps.Count("retry", "bulk-page-"+errorReason(err))
	if page, peerErr := b.fromAny(ctx, sources.elsewhere); peerErr == nil {
		return page, nil
	}
	return store.Page{}, err
}

// fromAny asks the first of the nodes that does not rest.
func (b *bulk) fromAny(ctx context.Context, addresses []string) (store.Page, error) {
	err := errors.WithStack(store.ErrNotExecuted)
	for _, address := range addresses {
		if !b.rests.over(address) {
			continue
		}
		var page store.Page
		b.waitsFor = address
		callCtx, cancel := context.WithTimeout(ctx, bulkPeerTimeout)
		page, err = b.n.deps.Peers.Reader(address).Newest(callCtx, jobsPartition, b.after)
		cancel()
		switch {
		case err == nil:
			delete(b.rests, address)
			delete(b.loading, address)
			b.fromPeers++
			b.n.deps.Count("load", "peer-page")
			return page, nil
		case ctx.Err() != nil:
			return page, err
		case errors.Is(err, store.ErrLoading) && b.worthWaiting(address):
			return page, err
		}
		b.n.deps.Count("retry", "bulk-peer-"+errorReason(err))
		b.rests.failed(address)
		delete(b.loading, address)
	}
	return store.Page{}, err
}

// worthWaiting reports whether a node that loads its own view is worth waiting for.
func (b *bulk) worthWaiting(address string) bool {
	since, ok := b.loading[address]
	if !ok {
		since = time.Now()
		b.loading[address] = since
	}
	return time.Since(since) < loadingPatience
}

// storePage reads a page from the store itself.
func (b *bulk) storePage(ctx context.Context) (store.Page, error) {
	if b.n.storeReader.isDown() {
		return store.Page{}, errors.WithStack(store.ErrNotExecuted)
	}
	backCtx, cancelBack := b.n.storeReader.untilBack(ctx)
	defer cancelBack()
	callCtx, cancel := context.WithTimeout(backCtx, b.patience)
	defer cancel()
	b.waitsFor = "the store"
	page, err := b.n.deps.Store.Newest(callCtx, jobsPartition, b.after)
	switch {
	case err == nil:
		b.fromStore++
		b.n.deps.Count("load", "store-page")
	case errors.Is(callCtx.Err(), context.DeadlineExceeded):
		b.patience = min(2*b.patience, mostPagePatience)
	}
	return page, err
}

// bulkSources says where a node gets the whole view.
type bulkSources struct {
	// ahead are the addresses of the first nodes of its domain, if it comes after them.
	ahead []string
	// elsewhere are those of the first nodes of all other domains.
	elsewhere []string
}

// bulkSourcesOf returns the sources of a member: nodes of a domain have the same
// order at all who know the same members, those with the most processor time first.
func bulkSourcesOf(ms []Member, node string) bulkSources {
	domain := ""
	for _, m := range ms {
		if m.Node == node {
			domain = m.Domain
		}
	}
	var out bulkSources
	if domain == "" {
		return out
	}
	first, passed := map[string]bool{}, false
	for _, m := range sortedByCPUShare(ms) {
		switch {
		case m.Leaving:
		case m.Domain != domain:
			if !first[m.Domain] {
				first[m.Domain] = true
				out.elsewhere = append(out.elsewhere, m.Address)
			}
		case m.Node == node:
			passed = true
		case !passed && len(out.ahead) < bulkPeers:
			out.ahead = append(out.ahead, m.Address)
		}
	}
	return out
}

// awaitMembers waits until the members were read, for a time at most.
func (n *Node) awaitMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, membersPatience)
	defer cancel()
	select {
	case <-n.membersLoaded:
	case <-ctx.Done():
	}
}
