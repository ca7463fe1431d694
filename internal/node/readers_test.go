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

// jobLogReads is the partition under which calls of ReadJobLog are counted.
var jobLogReads = store.Partition{Topic: "followed"}

// network emulates the connections between the nodes and counts their reads. Nodes
// are identified by address.
type network struct {
	*readCounts
	mu sync.Mutex
	// cut nodes can't exchange calls with any other node.
	cut map[string]bool
	// partitioned holds two nodes that can't call each other.
	partitioned [2]string
	// delay postpones calls to a node.
	delay map[string]time.Duration
}

func (net *network) update(edit func()) {
	net.mu.Lock()
	defer net.mu.Unlock()
	edit()
}

// deliver waits until a call from one node reaches the other. It returns
// store.ErrNotExecuted if the context ends first.
func (net *network) deliver(ctx context.Context, from, to string) error {
	net.mu.Lock()
	cut, delay := net.cut[from] || net.cut[to] || net.partitioned == [2]string{from, to} || net.partitioned == [2]string{to, from}, net.delay[to]
	net.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	sleepContext(ctx, delay)
	if ctx.Err() != nil {
		return store.ErrNotExecuted
	}
	return nil
}

// networkPeers sends a process's calls to its peers over the network, and counts the
// job log reads by the address that serves them.
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
	if err := p.network.deliver(ctx, p.self, address); err != nil {
		return store.Batch{}, err
	}
	return p.Peers.ReadJobLog(ctx, address, from, wait)
}

// networkReader reads at a peer over the network.
type networkReader struct {
	store.Reader
	address string
	peers   networkPeers
}

func (r networkReader) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	r.peers.network.add(r.address, p)
	if err := r.peers.network.deliver(ctx, r.peers.self, r.address); err != nil {
		return store.Batch{}, err
	}
	return r.Reader.Read(ctx, p, from, wait)
}

// runDomains runs a scenario on twelve nodes under traffic. The nodes are spread over
// the given number of failure domains; with 0 they have no domain.
func runDomains(t *testing.T, domains int, scenario func(c *cluster, net *network)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, singleSeedOptions)
		net := &network{readCounts: &readCounts{byNodeAndTopic: map[string]int{}}, cut: map[string]bool{}, delay: map[string]time.Duration{}}
		defer c.close()
		c.configure = func(p *process, set *Settings, deps *Dependencies) {
			if domains > 0 {
				set.Domain = string(rune('1' + int(p.name[0]-'a')%domains))
			}
			deps.Peers = networkPeers{deps.Peers, p.name + ":1", net}
		}
		for i := range 12 {
			c.startNode(string(rune('a' + i)))
		}
		c.startTraffic(20*time.Second, 12)
		time.Sleep(6 * time.Second)
		scenario(c, net)
		c.expectAllJobsEnd()
	})
}

// The leader's read load must not grow with the number of nodes: in each other domain
// only one node reads the job log at the leader. Without domains, or with a single
// one, all nodes read there.
func TestLeaderServesOneReaderPerDomain(t *testing.T) {
	const period = 10 * time.Second
	for domains, readers := range map[int]int{
		0: 11,
		1: 11,
		4: 3 + 2, // the readers of the other domains and the leader's domain peers
		6: 5 + 1,
	} {
		t.Run(fmt.Sprint(domains, " domains"), func(t *testing.T) {
			t.Parallel()
			runDomains(t, domains, func(c *cluster, net *network) {
				time.Sleep(7 * time.Millisecond) // no read begins when the count begins or ends
				reads := net.countDuring(period, c.leader().node.address, jobsPartition)
				t.Logf("the leader serves %d reads in %v", reads, period)
				c.Expect(reads).To(BeNumerically("<=", readers*int(period/jobsPollInterval)))
				if readers == 11 {
					c.Expect(reads).To(BeNumerically(">", 9*int(period/jobsPollInterval)), "all nodes read at the leader")
					for _, p := range c.running() {
						c.Expect(net.count(p.node.address, jobLogReads)).To(BeZero())
					}
				}
			})
		})
	}
}

// lagTracker measures how far the nodes' jobs views lag behind the leader's.
type lagTracker struct {
	c        *cluster
	leader   *process
	observed []observedEnd
}

// measure samples the nodes for the duration d. It returns the maximum lag of a node
// behind the leader and the maximum age of a view.
func (x *lagTracker) measure(d time.Duration, nodes ...*process) (lag, age time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		x.observed = append(x.observed, observedEnd{time.Now(), x.leader.node.table.position()})
		for _, p := range nodes {
			age = max(age, p.node.JobsViewAge())
			next := p.node.table.position()
			// The lag counts from the first observed end beyond the node's position.
			at, _ := slices.BinarySearchFunc(x.observed, next+1, func(e observedEnd, n int64) int { return int(e.offset - n) })
			if at < len(x.observed) {
				lag = max(lag, time.Since(x.observed[at].at))
			}
		}
	}
	return lag, age
}

// allExcept returns the running processes other than p.
func (c *cluster) allExcept(p *process) []*process {
	return slices.DeleteFunc(c.running(), func(o *process) bool { return o == p })
}

// Reading through the reader of a domain may add at most one poll interval to a view's
// lag, both under traffic and when little is written.
func TestDomainReaderAddsOneIntervalOfLag(t *testing.T) {
	const tolerance = 15 * time.Millisecond // of sampling and event delivery
	for domains, intervals := range map[int]time.Duration{1: 1, 4: 2} {
		t.Run(fmt.Sprint(domains, " domains"), func(t *testing.T) {
			t.Parallel()
			runDomains(t, domains, func(c *cluster, _ *network) {
				startFreshnessChecker(c)
				leader := c.leader()
				x := &lagTracker{c: c, leader: leader}
				lag, age := x.measure(10*time.Second, c.allExcept(leader)...)
				t.Logf("under traffic: maximum lag %v, maximum age %v", lag, age)
				c.Expect(lag).To(BeNumerically("<=", intervals*jobsPollInterval+tolerance))
				c.callers.Wait()
				time.Sleep(10 * time.Second)
				appendInBackground(c, 900*time.Millisecond)
				lag, age = x.measure(10*time.Second, c.allExcept(leader)...)
				t.Logf("with few writes: maximum lag %v, maximum age %v", lag, age)
				c.Expect(lag).To(BeNumerically("<=", intervals*jobsPollInterval+tolerance))
				c.Expect(age).To(BeNumerically("<=", maxDomainViewAge))
			})
		})
	}
}

// domainReader returns the reader of a domain other than the leader's, and the other
// nodes of that domain in order of eligibility.
func (c *cluster) domainReader(leader *process) (reader *process, others []*process) {
	members := leader.node.Members()
	for _, m := range eligibleMembers(members) {
		i := slices.IndexFunc(c.running(), func(p *process) bool { return p.name == m.Node })
		if p := c.running()[i]; reader == nil && m.Domain != leader.node.settings.Domain {
			reader = p
		} else if reader != nil && m.Domain == reader.node.settings.Domain {
			others = append(others, p)
		}
	}
	return reader, others
}

// When the reader of a domain fails, the next node of the domain must take over as
// reader, unless the first one still reaches the log through other nodes. Lag and the
// load on the leader stay bounded. After recovery the first node is the reader again.
func TestDomainReaderFailure(t *testing.T) {
	// The lag covers one failed call and the poll intervals around it.
	const maxLag = maxSharedReadWait + domainReadTimeout + 4*jobsPollInterval
	faults := map[string]func(c *cluster, net *network, p *process){
		"killed": func(c *cluster, _ *network, p *process) { c.kill(p) },
		"frozen": func(_ *cluster, _ *network, p *process) { p.stall() },
		"cut off": func(c *cluster, net *network, p *process) {
			c.log.Down(true, p.name)
			net.update(func() { net.cut[p.node.address] = true })
		},
		"cut off from the store and the leader": func(c *cluster, net *network, p *process) {
			leaderAddress := c.leader().node.address // c.leader blocks; calls need the network's lock meanwhile
			net.update(func() { net.partitioned = [2]string{p.node.address, leaderAddress} })
			c.log.Down(true, p.name)
		},
		"cut off from the others only": func(_ *cluster, net *network, p *process) {
			net.update(func() { net.cut[p.node.address] = true })
		},
		"slow": func(_ *cluster, net *network, p *process) {
			net.update(func() { net.delay[p.node.address] = 2 * time.Second })
		},
		"leaving": func(c *cluster, _ *network, p *process) { c.wg.Go(func() { c.leave(p) }) },
	}
	for faultName, fault := range faults {
		t.Run(faultName, func(t *testing.T) {
			t.Parallel()
			runDomains(t, 4, func(c *cluster, net *network) {
				startFreshnessChecker(c)
				appendInBackground(c, 60*time.Millisecond) // each read finds a record and returns at once
				leader := c.leader()
				reader, others := c.domainReader(leader)
				c.Expect(others).To(HaveLen(2))
				c.Expect(net.countDuring(time.Second, reader.node.address, jobLogReads)).To(BeNumerically(">=", 15))

				c.noteDisruption()
				fault(c, net, reader)
				x := &lagTracker{c: c, leader: leader}
				lag, age := x.measure(8*time.Second, others...)
				t.Logf("maximum lag %v, maximum age %v", lag, age)
				if faultName == "cut off from the store and the leader" {
					// The reader serves the others until its view exceeds maxDomainViewAge.
					c.Expect(lag).To(BeNumerically("<=", maxDomainViewAge+2*jobsPollInterval))
				} else {
					c.Expect(lag).To(BeNumerically("<=", maxLag))
				}
				c.Expect(age).To(BeNumerically("<", maxStoreSilence))
				next := others[0].node
				if faultName == "cut off from the store and the leader" {
					next = reader.node // it reads the log through other nodes
				}
				c.Expect(net.countDuring(2*time.Second, next.address, jobLogReads)).To(BeNumerically(">=", 15), "one node of the domain reads for the others")
				c.Expect(net.countDuring(2*time.Second, leader.node.address, jobsPartition)).To(BeNumerically("<=", 6*20))

				reader.resume()
				net.update(func() { clear(net.cut); clear(net.delay); net.partitioned = [2]string{} })
				c.clearFaults()
				time.Sleep(maxPeerBackoff + time.Second)
				if faultName != "killed" && faultName != "leaving" {
					c.Expect(net.countDuring(time.Second, reader.node.address, jobLogReads)).To(BeNumerically(">=", 15))
				}
				c.Expect(net.countDuring(time.Second, leader.node.address, jobsPartition)).To(BeNumerically("<=", 5*11))
			})
		})
	}
}

// When the leader is killed, leaves or stalls, the domain readers must read at the next
// leader, and views must stay fresh enough to serve meanwhile. One case stalls the
// leader while nothing is written.
func TestDomainReadersFollowNewLeader(t *testing.T) {
	const idleStall = "frozen while nothing is written"
	stall := func(c *cluster, leader *process) {
		leader.stall()
		c.wg.Go(func() {
			sleepContext(c.ctx, 8*time.Second)
			leader.resume()
		})
	}
	for faultName, fault := range map[string]func(c *cluster, leader *process){
		"killed":  func(c *cluster, leader *process) { c.kill(leader) },
		"leaving": func(c *cluster, leader *process) { c.leave(leader) },
		"frozen":  stall,
		idleStall: stall,
	} {
		t.Run(faultName, func(t *testing.T) {
			t.Parallel()
			runDomains(t, 4, func(c *cluster, net *network) {
				startFreshnessChecker(c)
				if faultName == idleStall {
					c.callers.Wait()
					time.Sleep(10 * time.Second)
				} else {
					appendInBackground(c, 130*time.Millisecond)
				}
				leader := c.leader()
				c.wg.Go(func() { c.runDisrupted(10 * time.Second) })
				followers := c.allExcept(leader)
				fault(c, leader)
				x := &lagTracker{c: c, leader: leader}
				_, age := x.measure(10*time.Second, followers...)
				t.Logf("maximum age %v", age)
				c.Expect(age).To(BeNumerically("<", maxStoreSilence))
				time.Sleep(maxPeerBackoff)
				next := c.leader()
				c.Expect(next).NotTo(Equal(leader))
				c.Expect(net.countDuring(2*time.Second, next.node.address, jobsPartition)).To(BeNumerically("<=", 5*21))
				c.Expect(net.countDuring(2*time.Second, leader.node.address, jobsPartition)).To(BeZero())
				x = &lagTracker{c: c, leader: next}
				lag, age := x.measure(3*time.Second, c.allExcept(next)...)
				c.Expect(lag).To(BeNumerically("<=", 2*jobsPollInterval+20*time.Millisecond))
				c.Expect(age).To(BeNumerically("<", maxDomainViewAge))
			})
		})
	}
}

// Two nodes that each take the other for the reader of their domain must not read the
// job log only through each other, or their views would stop advancing.
func TestNodesDoNotFollowEachOther(t *testing.T) {
	runDomains(t, 4, func(c *cluster, _ *network) {
		startFreshnessChecker(c)
		appendInBackground(c, 130*time.Millisecond)
		leader := c.leader()
		a, others := c.domainReader(leader)
		b := others[0]
		a.node.logSource.Store(&logSource{domainReaders: []string{b.node.address}, servesDomain: true})
		x := &lagTracker{c: c, leader: leader}
		lag, age := x.measure(10*time.Second, a, b)
		c.Expect(lag).To(BeNumerically("<=", 3*jobsPollInterval))
		c.Expect(age).To(BeNumerically("<", maxDomainViewAge))
		c.Expect(a.node.readsDirectly.Load() || b.node.readsDirectly.Load()).To(BeTrue())
	})
}

// A node that follows the job log through another node refuses to serve it, so that
// nodes can't follow it in a cycle. Nor does it serve records that it no longer holds,
// or while it is leaving.
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
	g.Expect(b.End).To(Equal(int64(-1)), "only the store knows the log's end")
	_, err = n.ReadJobLog(t.Context(), 4, 0)
	g.Expect(err).To(MatchError(store.ErrNotExecuted), "records no longer held")
	n.desk.leaving.Store(true)
	_, err = n.ReadJobLog(t.Context(), 6, 0)
	g.Expect(err).To(MatchError(store.ErrNotExecuted))
}

// A job log read must carry the time at which the serving node last read the log, and
// fail once that is longer ago than maxDomainViewAge; otherwise the reader would take
// an outdated view for a fresh one.
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
		g.Expect(b.ReadAt).To(Equal(read), "no new records during the wait")
		began := time.Now()
		_, err = n.ReadJobLog(t.Context(), 8, time.Minute)
		g.Expect(err).To(MatchError(store.ErrNotExecuted))
		g.Expect(time.Since(began)).To(Equal(maxDomainViewAge/4), "the view is too old from then on")
		n.recent.add(readResult{records: recordsFrom(8, 9), nextOffset: 9, readAt: time.Now()})
		b, err = n.ReadJobLog(t.Context(), 12, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b.NextOffset).To(Equal(int64(12)), "the reader is ahead after reading the store itself")
		n.recent.add(readResult{nextOffset: 40, full: true, readAt: time.Now()})
		_, err = n.ReadJobLog(t.Context(), 9, 0)
		g.Expect(err).To(MatchError(store.ErrNotExecuted), "the records in between were never read")
	})
}

// The first eligible node of a domain other than the leader's is its reader; the rest
// of the domain reads through it. Nodes that are in the leader's domain, have no
// domain, are alone in theirs, are leaving or unknown read at the leader. All nodes do
// if there is no leader or its domain is unknown.
func TestDomainReaderSelection(t *testing.T) {
	g := NewWithT(t)
	members := []Member{{Node: "h", Leader: true, Domain: "1", CPUShare: 1}, {Node: "i", Domain: "1", CPUShare: 1}}
	for i, share := range []float64{0.2, 0.8, 0.8, 0.4} {
		name := string(rune('a' + i))
		members = append(members, Member{Node: name, Address: name + ":1", Domain: "2", CPUShare: share})
	}
	members = append(members, Member{Node: "z"}, Member{Node: "y", Domain: "3"})
	readersFor := func(node string) []string { return logSourceFor(members, node).domainReaders }
	first := eligibleMembers(members[2:])[0]
	g.Expect(readersFor(first.Node)).To(BeEmpty())
	g.Expect(logSourceFor(members, first.Node).servesDomain).To(BeTrue())
	g.Expect(readersFor("a")).To(HaveLen(3))
	g.Expect(readersFor("a")[0]).To(Equal(first.Address))
	g.Expect(readersFor("a")[2]).To(Equal("d:1"))
	for _, node := range []string{"h", "i", "z", "y", "unknown"} {
		g.Expect(logSourceFor(members, node)).To(Equal(logSource{}), node)
	}
	index := slices.IndexFunc(members, func(m Member) bool { return m.Node == first.Node })
	members[index].Leaving = true
	g.Expect(readersFor("a")).To(HaveLen(2))
	g.Expect(logSourceFor(members, first.Node)).To(Equal(logSource{}))
	members[0].Domain = ""
	g.Expect(readersFor("a")).To(BeEmpty(), "a leader of an earlier version reports no domain")
	members[0].Domain, members[0].Leader = "1", false
	g.Expect(readersFor("a")).To(BeEmpty(), "there is no leader")
}
