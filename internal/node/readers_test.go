package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

// jobLogReads stands for the log of jobs, read by Follow, in calls.
var jobLogReads = store.Partition{Topic: "followed"}

// network are the nodes' ways to each other, by the nodes' addresses.
type network struct {
	*readCounts
	mu sync.Mutex
	// cut nodes reach nobody and are reached by nobody; slow ones are reached late.
	cut map[string]bool
	// partitioned nodes don't reach each other.
	partitioned [2]string
	slow        map[string]time.Duration
}

func (l *network) update(edit func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	edit()
}

// pass carries a call of one node to another.
func (l *network) pass(ctx context.Context, from, to string) error {
	l.mu.Lock()
	cut, slow := l.cut[from] || l.cut[to] || l.partitioned == [2]string{from, to} || l.partitioned == [2]string{to, from}, l.slow[to]
	l.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	sleepContext(ctx, slow)
	if ctx.Err() != nil {
		return store.ErrNotExecuted
	}
	return nil
}

// networkPeers are a process's peers at the end of its links, with the reads of
// the log of jobs counted by the address that serves them.
type networkPeers struct {
	Peers
	self    string
	network *network
}

func (p networkPeers) Reader(address string) store.Reader {
	return networkReader{p.Peers.Reader(address), address, p}
}

func (p networkPeers) ReadJobLog(ctx context.Context, address string, from int64, wait time.Duration) (store.Batch, error) {
	p.network.add(address, jobLogReads)
	if err := p.network.pass(ctx, p.self, address); err != nil {
		return store.Batch{}, err
	}
	return p.Peers.ReadJobLog(ctx, address, from, wait)
}

type networkReader struct {
	store.Reader
	address string
	peers   networkPeers
}

func (r networkReader) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	r.peers.network.add(r.address, p)
	if err := r.peers.network.pass(ctx, r.peers.self, r.address); err != nil {
		return store.Batch{}, err
	}
	return r.Reader.Read(ctx, p, from, wait)
}

// runDomains runs twelve nodes under traffic in the given number of failure
// domains, 0 for nodes that know none.
func runDomains(t *testing.T, domains int, scenario func(c *cluster, l *network)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, singleSeedOptions)
		l := &network{readCounts: &readCounts{byNodeAndTopic: map[string]int{}}, cut: map[string]bool{}, slow: map[string]time.Duration{}}
		defer c.close()
		c.configure = func(p *process, set *Settings, ports *Dependencies) {
			if domains > 0 {
				set.Domain = string(rune('1' + int(p.name[0]-'a')%domains))
			}
			ports.Peers = networkPeers{ports.Peers, p.name + ":1", l}
		}
		for i := range 12 {
			c.startNode(string(rune('a' + i)))
		}
		c.startTraffic(20*time.Second, 12)
		time.Sleep(6 * time.Second)
		scenario(c, l)
		c.expectAllJobsEnd()
	})
}

func TestLeaderServesOneReaderPerDomain(t *testing.T) {
	const counted = 10 * time.Second
	for domains, readers := range map[int]int{
		0: 11,
		1: 11,
		4: 3 + 2, // the readers of the others, and the nodes of its own
		6: 5 + 1,
	} {
		t.Run(fmt.Sprint(domains, " domains"), func(t *testing.T) {
			t.Parallel()
			runDomains(t, domains, func(c *cluster, l *network) {
				time.Sleep(7 * time.Millisecond) // no reading begins as the count does or ends
				reads := l.countDuring(counted, c.leader().node.address, jobsPartition)
				t.Logf("the holder serves %d reads in %v", reads, counted)
				c.Expect(reads).To(BeNumerically("<=", readers*int(counted/jobsPollInterval)))
				if readers == 11 {
					c.Expect(reads).To(BeNumerically(">", 9*int(counted/jobsPollInterval)), "all read at the holder")
					for _, p := range c.running() {
						c.Expect(l.count(p.node.address, jobLogReads)).To(BeZero())
					}
				}
			})
		})
	}
}

// lagTracker is how far views are behind the holder's.
type lagTracker struct {
	c      *cluster
	leader *process
	ends   []observedEnd
}

// measure samples the nodes for a time, and returns the longest time by which a
// node was behind the holder and the greatest age of a view.
func (x *lagTracker) measure(d time.Duration, nodes ...*process) (lag, age time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		x.ends = append(x.ends, observedEnd{time.Now(), x.leader.node.table.position()})
		for _, p := range nodes {
			age = max(age, p.node.JobsViewAge())
			next := p.node.table.position()
			// The first end beyond the node's is what it lacks for the longest time.
			at, _ := slices.BinarySearchFunc(x.ends, next+1, func(e observedEnd, n int64) int { return int(e.end - n) })
			if at < len(x.ends) {
				lag = max(lag, time.Since(x.ends[at].at))
			}
		}
	}
	return lag, age
}

func (c *cluster) allExcept(p *process) []*process {
	return slices.DeleteFunc(c.running(), func(o *process) bool { return o == p })
}

func TestDomainReaderAddsOneIntervalOfLag(t *testing.T) {
	const step = 15 * time.Millisecond // of the sampling and the events
	for domains, pauses := range map[int]time.Duration{1: 1, 4: 2} {
		t.Run(fmt.Sprint(domains, " domains"), func(t *testing.T) {
			t.Parallel()
			runDomains(t, domains, func(c *cluster, _ *network) {
				checkFreshness(c)
				h := c.leader()
				x := &lagTracker{c: c, leader: h}
				lag, age := x.measure(10*time.Second, c.allExcept(h)...)
				t.Logf("under traffic: views are behind by %v, %v old", lag, age)
				c.Expect(lag).To(BeNumerically("<=", pauses*jobsPollInterval+step))
				c.callers.Wait()
				time.Sleep(10 * time.Second)
				appendInBackground(c, 900*time.Millisecond)
				lag, age = x.measure(10*time.Second, c.allExcept(h)...)
				t.Logf("while little is written: views are behind by %v, %v old", lag, age)
				c.Expect(lag).To(BeNumerically("<=", pauses*jobsPollInterval+step))
				c.Expect(age).To(BeNumerically("<=", maxDomainViewAge))
			})
		})
	}
}

// domainReader returns the reader of a domain that isn't the holder's, and the
// other nodes of that domain in their order.
func (c *cluster) domainReader(holder *process) (reader *process, others []*process) {
	ms := holder.node.Members()
	for _, m := range eligibleMembers(ms) {
		i := slices.IndexFunc(c.running(), func(p *process) bool { return p.name == m.Node })
		if p := c.running()[i]; reader == nil && m.Domain != holder.node.settings.Domain {
			reader = p
		} else if reader != nil && m.Domain == reader.node.settings.Domain {
			others = append(others, p)
		}
	}
	return reader, others
}

func TestDomainReaderFailure(t *testing.T) {
	// A view falls behind by a call that fails and the pauses around it.
	const behind = maxSharedReadWait + domainReadTimeout + 4*jobsPollInterval
	faults := map[string]func(c *cluster, l *network, p *process){
		"killed": func(c *cluster, _ *network, p *process) { c.kill(p) },
		"frozen": func(_ *cluster, _ *network, p *process) { p.stall() },
		"cut off": func(c *cluster, l *network, p *process) {
			c.log.Down(true, p.name)
			l.update(func() { l.cut[p.node.address] = true })
		},
		"cut off from the store and the holder": func(c *cluster, l *network, p *process) {
			h := c.leader().node.address // it takes a while, in which calls need the lock
			l.update(func() { l.partitioned = [2]string{p.node.address, h} })
			c.log.Down(true, p.name)
		},
		"cut off from the others only": func(_ *cluster, l *network, p *process) {
			l.update(func() { l.cut[p.node.address] = true })
		},
		"slow": func(_ *cluster, l *network, p *process) {
			l.update(func() { l.slow[p.node.address] = 2 * time.Second })
		},
		"leaving": func(c *cluster, _ *network, p *process) { c.wg.Go(func() { c.leave(p) }) },
	}
	for what, fault := range faults {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			runDomains(t, 4, func(c *cluster, l *network) {
				checkFreshness(c)
				appendInBackground(c, 60*time.Millisecond) // each read returns at once
				h := c.leader()
				reader, others := c.domainReader(h)
				c.Expect(others).To(HaveLen(2))
				c.Expect(l.countDuring(time.Second, reader.node.address, jobLogReads)).To(BeNumerically(">=", 15))

				c.noteDisruption()
				fault(c, l, reader)
				x := &lagTracker{c: c, leader: h}
				lag, age := x.measure(8*time.Second, others...)
				t.Logf("views are behind by %v, %v old", lag, age)
				if what == "cut off from the store and the holder" {
					// It answers while its view is not too old.
					c.Expect(lag).To(BeNumerically("<=", maxDomainViewAge+2*jobsPollInterval))
				} else {
					c.Expect(lag).To(BeNumerically("<=", behind))
				}
				c.Expect(age).To(BeNumerically("<", maxStoreSilence))
				next := others[0].node
				if what == "cut off from the store and the holder" {
					next = reader.node // which reads through other nodes
				}
				c.Expect(l.countDuring(2*time.Second, next.address, jobLogReads)).To(BeNumerically(">=", 15), "one of the domain reads for the others")
				c.Expect(l.countDuring(2*time.Second, h.node.address, jobsPartition)).To(BeNumerically("<=", 6*20))

				reader.resume()
				l.update(func() { clear(l.cut); clear(l.slow); l.partitioned = [2]string{} })
				c.clearFaults()
				time.Sleep(maxPeerBackoff + time.Second)
				if what != "killed" && what != "leaving" {
					c.Expect(l.countDuring(time.Second, reader.node.address, jobLogReads)).To(BeNumerically(">=", 15))
				}
				c.Expect(l.countDuring(time.Second, h.node.address, jobsPartition)).To(BeNumerically("<=", 5*11))
			})
		})
	}
}

func TestDomainReadersFollowNewLeader(t *testing.T) {
	const quiet = "frozen while nothing is written"
	freeze := func(c *cluster, h *process) {
		h.stall()
		c.wg.Go(func() {
			sleepContext(c.ctx, 8*time.Second)
			h.resume()
		})
	}
	for what, end := range map[string]func(c *cluster, h *process){
		"killed":  func(c *cluster, h *process) { c.kill(h) },
		"leaving": func(c *cluster, h *process) { c.leave(h) },
		"frozen":  freeze,
		quiet:     freeze,
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			runDomains(t, 4, func(c *cluster, l *network) {
				checkFreshness(c)
				if what == quiet {
					c.callers.Wait()
					time.Sleep(10 * time.Second)
				} else {
					appendInBackground(c, 130*time.Millisecond)
				}
				h := c.leader()
				c.wg.Go(func() { c.runDisrupted(10 * time.Second) })
				left := c.allExcept(h)
				end(c, h)
				x := &lagTracker{c: c, leader: h}
				_, age := x.measure(10*time.Second, left...)
				t.Logf("views are %v old", age)
				c.Expect(age).To(BeNumerically("<", maxStoreSilence))
				time.Sleep(maxPeerBackoff)
				next := c.leader()
				c.Expect(next).NotTo(Equal(h))
				c.Expect(l.countDuring(2*time.Second, next.node.address, jobsPartition)).To(BeNumerically("<=", 5*21))
				c.Expect(l.countDuring(2*time.Second, h.node.address, jobsPartition)).To(BeZero())
				x = &lagTracker{c: c, leader: next}
				lag, age := x.measure(3*time.Second, c.allExcept(next)...)
				c.Expect(lag).To(BeNumerically("<=", 2*jobsPollInterval+20*time.Millisecond))
				c.Expect(age).To(BeNumerically("<", maxDomainViewAge))
			})
		})
	}
}

// TestNodesDoNotFollowEachOther has two nodes that take each other for the
// reader of their domain.
func TestNodesDoNotFollowEachOther(t *testing.T) {
	runDomains(t, 4, func(c *cluster, _ *network) {
		checkFreshness(c)
		appendInBackground(c, 130*time.Millisecond)
		h := c.leader()
		a, others := c.domainReader(h)
		b := others[0]
		a.node.logSource.Store(&logSource{domainReaders: []string{b.node.address}, servesDomain: true})
		x := &lagTracker{c: c, leader: h}
		lag, age := x.measure(10*time.Second, a, b)
		c.Expect(lag).To(BeNumerically("<=", 3*jobsPollInterval))
		c.Expect(age).To(BeNumerically("<", maxDomainViewAge))
		c.Expect(a.node.readsDirectly.Load() || b.node.readsDirectly.Load()).To(BeTrue())
	})
}

func TestFollowingNodeRefusesJobLogReads(t *testing.T) {
	g := NewWithT(t)
	n := &Node{recent: newLogTail(), desk: &jobAPI{}}
	n.recent.add(readResult{records: recordsFrom(5, 8), nextOffset: 8, readAt: time.Now()})
	_, err := n.ReadJobLog(t.Context(), 6, 0)
	g.Expect(err).To(MatchError(store.ErrNotExecuted))
	n.readsDirectly.Store(true)
	b, err := n.ReadJobLog(t.Context(), 6, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Records).To(Equal(recordsFrom(6, 8)))
	g.Expect(b.End).To(Equal(int64(-1)), "only the store tells the log's end")
	_, err = n.ReadJobLog(t.Context(), 4, 0)
	g.Expect(err).To(MatchError(store.ErrNotExecuted), "not kept any more")
	n.desk.leaving.Store(true)
	_, err = n.ReadJobLog(t.Context(), 6, 0)
	g.Expect(err).To(MatchError(store.ErrNotExecuted))
}

func TestJobLogReadReportsViewAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := &Node{recent: newLogTail(), desk: &jobAPI{}}
		n.readsDirectly.Store(true)
		read := time.Now()
		n.recent.add(readResult{nextOffset: 8, full: true, readAt: read})
		time.Sleep(maxDomainViewAge / 2)
		b, err := n.ReadJobLog(t.Context(), 8, maxDomainViewAge/4)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b.ReadAt).To(Equal(read), "the wait has brought nothing")
		began := time.Now()
		_, err = n.ReadJobLog(t.Context(), 8, time.Minute)
		g.Expect(err).To(MatchError(store.ErrNotExecuted))
		g.Expect(time.Since(began)).To(Equal(maxDomainViewAge/4), "it is too old from then on")
		n.recent.add(readResult{records: recordsFrom(8, 9), nextOffset: 9, readAt: time.Now()})
		b, err = n.ReadJobLog(t.Context(), 12, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b.NextOffset).To(Equal(int64(12)), "the other one has read on itself")
		n.recent.add(readResult{nextOffset: 40, full: true, readAt: time.Now()})
		_, err = n.ReadJobLog(t.Context(), 9, 0)
		g.Expect(err).To(MatchError(store.ErrNotExecuted), "what is in between was never read")
	})
}

func TestDomainReaderSelection(t *testing.T) {
	g := NewWithT(t)
	ms := []Member{{Node: "h", Leader: true, Domain: "1", CPUShare: 1}, {Node: "i", Domain: "1", CPUShare: 1}}
	for i, share := range []float64{0.2, 0.8, 0.8, 0.4} {
		name := string(rune('a' + i))
		ms = append(ms, Member{Node: name, Address: name + ":1", Domain: "2", CPUShare: share})
	}
	ms = append(ms, Member{Node: "z"}, Member{Node: "y", Domain: "3"})
	ahead := func(node string) []string { return logSourceFor(ms, node).domainReaders }
	first := eligibleMembers(ms[2:])[0]
	g.Expect(ahead(first.Node)).To(BeEmpty())
	g.Expect(logSourceFor(ms, first.Node).servesDomain).To(BeTrue())
	g.Expect(ahead("a")).To(HaveLen(3))
	g.Expect(ahead("a")[0]).To(Equal(first.Address))
	g.Expect(ahead("a")[2]).To(Equal("d:1"))
	for _, node := range []string{"h", "i", "z", "y", "unknown"} {
		g.Expect(logSourceFor(ms, node)).To(Equal(logSource{}), node)
	}
	at := slices.IndexFunc(ms, func(m Member) bool { return m.Node == first.Node })
	ms[at].Leaving = true
	g.Expect(ahead("a")).To(HaveLen(2))
	g.Expect(logSourceFor(ms, first.Node)).To(Equal(logSource{}))
	ms[0].Domain = ""
	g.Expect(ahead("a")).To(BeEmpty(), "a holder of a former version")
	ms[0].Domain, ms[0].Leader = "1", false
	g.Expect(ahead("a")).To(BeEmpty(), "nobody holds the right")
}
