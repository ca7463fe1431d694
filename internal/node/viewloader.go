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
	// maxLoadPeers is how many nodes of its domain a node asks for the full jobs
	// view before it reads it from the store.
	maxLoadPeers = 3
	// loadPeerTimeout bounds the request to another node for a page from its
	// memory.
	loadPeerTimeout = 600 * time.Millisecond
	// maxLoadingPeerWait is how long a node waits for a peer that is still
	// loading its own view before it asks the next peer.
	maxLoadingPeerWait = 3 * time.Second
	// maxLoadRetryDelay is the upper bound of the random delay before a failed
	// page is requested again.
	maxLoadRetryDelay = 100 * time.Millisecond
	// minPageTimeout and maxPageTimeout bound the timeout of a page read from
	// the store. The timeout doubles with each page that times out.
	minPageTimeout = 2 * time.Second
	maxPageTimeout = 8 * time.Second
	// loadLogInterval is the minimum time between two progress log lines.
	loadLogInterval = 500 * time.Millisecond
	// awaitMembersTimeout bounds how long a starting node waits for the member
	// list.
	awaitMembersTimeout = 500 * time.Millisecond
)

// viewLoader loads the newest record of every key of the job log, by far the
// largest read of a node. When a site starts, one node of each failure domain
// loads it from the store and the others load it from that node's memory, so the
// load on the store grows with the number of domains and not of nodes. Pages
// already loaded are kept when a later page fails, and a failed page does not
// mark the store as unreachable for the other feeds. It is used by a single
// goroutine.
type viewLoader struct {
	node *Node
	// records holds what was loaded so far; afterKey is the key after which the
	// next page starts. nextOffset is the lowest end offset of all pages: a read
	// from there on returns every later change.
	records    []store.StoredRecord
	afterKey   string
	nextOffset int64
	// readAt is when the log was last read up to nextOffset.
	readAt time.Time
	// startedAt is when the first page was requested, zero if no load is in
	// progress.
	startedAt time.Time
	// storePages and peerPages count the pages loaded, retries the failures.
	storePages, peerPages, retries int
	pageTimeout                    time.Duration
	backoffs                       peerBackoffs
	// loadingSince holds, by address, since when a peer has reported that it is
	// loading its own view.
	loadingSince map[string]time.Time
	// waitingFor is the source of the last page request; loggedAt is when
	// progress was last logged.
	waitingFor string
	loggedAt   time.Time
}

func newViewLoader(n *Node) *viewLoader {
	return &viewLoader{node: n, pageTimeout: minPageTimeout, backoffs: peerBackoffs{}, loadingSince: map[string]time.Time{}}
}

// load loads the remaining pages. After an error, the next call resumes at the
// page that failed.
func (b *viewLoader) load(ctx context.Context) readResult {
	if b.startedAt.IsZero() {
		b.node.awaitMembers(ctx)
		b.startedAt, b.nextOffset = time.Now(), math.MaxInt64
		b.readAt = b.startedAt
	}
	for {
		page, err := b.nextPage(ctx)
		if err != nil {
			b.retries++
			b.logProgress()
			sleepContext(ctx, time.Duration(rand.Int64N(int64(maxLoadRetryDelay))))
			return readResult{err: err, readAt: time.Now()}
		}
		b.records = append(b.records, page.Records...)
		b.nextOffset = min(b.nextOffset, page.End)
		if !page.ReadAt.IsZero() && page.ReadAt.Before(b.readAt) {
			b.readAt = page.ReadAt
		}
		b.afterKey = page.NextKey
		if page.NextKey == "" {
			return b.finish()
		}
	}
}

// finish returns the complete result and resets the loader.
func (b *viewLoader) finish() readResult {
	// A peer's view may be behind the end of the log.
	r := readResult{records: b.records, nextOffset: b.nextOffset, full: true, sentAt: b.startedAt, readAt: b.readAt, reachedEnd: b.peerPages == 0}
	b.node.log.WithFields(logrus.Fields{"kind": "view-loaded", "records": len(b.records), "store_pages": b.storePages, "peer_pages": b.peerPages,
		"retries": b.retries, "took_ms": time.Since(b.startedAt).Milliseconds()}).Info("the view of the jobs is whole")
	b.node.deps.Observe("load", time.Since(b.startedAt))
	*b = *newViewLoader(b.node)
	return r
}

// logProgress logs how much is loaded and what the load waits for, at most once
// per loadLogInterval.
func (b *viewLoader) logProgress() {
	if time.Since(b.loggedAt) < loadLogInterval {
		return
	}
	b.loggedAt = time.Now()
	b.node.log.WithFields(logrus.Fields{"kind": "view-loading", "records": len(b.records), "store_pages": b.storePages, "peer_pages": b.peerPages,
		"retries": b.retries, "waits_for": b.waitingFor, "since_ms": time.Since(b.startedAt).Milliseconds()}).Info("the view of the jobs is being read")
}

// nextPage loads the next page: from higher-ranked nodes of its domain, else
// from the store, else from the first nodes of the other domains.
func (b *viewLoader) nextPage(ctx context.Context) (store.Page, error) {
	sources := b.node.bulkSources.Load()
	page, err := b.pageFromPeers(ctx, sources.sameDomain)
	if err == nil || errors.Is(err, store.ErrLoading) || ctx.Err() != nil {
		return page, err
	}
	if page, err = b.pageFromStore(ctx); err == nil || ctx.Err() != nil {
		return page, err
	}
	b.node.deps.Count("retry", "bulk-page-"+errorReason(err))
	if page, peerErr := b.pageFromPeers(ctx, sources.otherDomains); peerErr == nil {
		return page, nil
	}
	return store.Page{}, err
}

// pageFromPeers asks the addresses in order, skipping those in backoff, until
// one returns a page. It returns store.ErrLoading if a peer is loading its own
// view and is worth waiting for.
func (b *viewLoader) pageFromPeers(ctx context.Context, addresses []string) (store.Page, error) {
	err := errors.WithStack(store.ErrNotExecuted)
	for _, address := range addresses {
		if !b.backoffs.ready(address) {
			continue
		}
		var page store.Page
		b.waitingFor = address
		callCtx, cancel := context.WithTimeout(ctx, loadPeerTimeout)
		page, err = b.node.deps.Peers.Reader(address).Newest(callCtx, jobsPartition, b.afterKey)
		cancel()
		switch {
		case err == nil:
			delete(b.backoffs, address)
			delete(b.loadingSince, address)
			b.peerPages++
			b.node.deps.Count("load", "peer-page")
			return page, nil
		case ctx.Err() != nil:
			return page, err
		case errors.Is(err, store.ErrLoading) && b.shouldWaitFor(address):
			return page, err
		}
		b.node.deps.Count("retry", "bulk-peer-"+errorReason(err))
		b.backoffs.recordFailure(address)
		delete(b.loadingSince, address)
	}
	return store.Page{}, err
}

// shouldWaitFor reports whether to keep waiting for a peer that is loading its
// own view.
func (b *viewLoader) shouldWaitFor(address string) bool {
	since, ok := b.loadingSince[address]
	if !ok {
		since = time.Now()
		b.loadingSince[address] = since
	}
	return time.Since(since) < maxLoadingPeerWait
}

// pageFromStore reads the next page from the store.
func (b *viewLoader) pageFromStore(ctx context.Context) (store.Page, error) {
	if b.node.storeReader.isDown() {
		return store.Page{}, errors.WithStack(store.ErrNotExecuted)
	}
	recoveryCtx, cancelRecovery := b.node.storeReader.cancelOnRecovery(ctx)
	defer cancelRecovery()
	callCtx, cancel := context.WithTimeout(recoveryCtx, b.pageTimeout)
	defer cancel()
	b.waitingFor = "the store"
	page, err := b.node.deps.Store.Newest(callCtx, jobsPartition, b.afterKey)
	switch {
	case err == nil:
		b.storePages++
		b.node.deps.Count("load", "store-page")
	case errors.Is(callCtx.Err(), context.DeadlineExceeded):
		b.pageTimeout = min(2*b.pageTimeout, maxPageTimeout)
	}
	return page, err
}

// loadSources lists the nodes from which a node can load the full jobs view.
type loadSources struct {
	// sameDomain holds the addresses of the first nodes of its domain, if they
	// rank before this node.
	sameDomain []string
	// otherDomains holds the address of the first node of each other domain.
	otherDomains []string
}

// loadSourcesFor returns the load sources of a node. Nodes are ranked by
// processor time, largest first, so all nodes that know the same members rank
// the nodes of a domain in the same order.
func loadSourcesFor(ms []Member, node string) loadSources {
	domain := ""
	for _, m := range ms {
		if m.Node == node {
			domain = m.Domain
		}
	}
	var out loadSources
	if domain == "" {
		return out
	}
	domainSeen, selfSeen := map[string]bool{}, false
	for _, m := range sortedByCPUShare(ms) {
		switch {
		case m.Leaving:
		case m.Domain != domain:
			if !domainSeen[m.Domain] {
				domainSeen[m.Domain] = true
				out.otherDomains = append(out.otherDomains, m.Address)
			}
		case m.Node == node:
			selfSeen = true
		case !selfSeen && len(out.sameDomain) < maxLoadPeers:
			out.sameDomain = append(out.sameDomain, m.Address)
		}
	}
	return out
}

// awaitMembers waits until the members were read, at most for
// awaitMembersTimeout.
func (n *Node) awaitMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, awaitMembersTimeout)
	defer cancel()
	select {
	case <-n.membersLoaded:
	case <-ctx.Done():
	}
}
