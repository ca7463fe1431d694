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

// followed stands for the log of jobs, read by Follow, in calls.
var followed = store.Partition{Topic: "followed"}

// links are the nodes' ways to each other, by the nodes' addresses.
type links struct {
	*calls
	mu sync.Mutex
	// cut nodes reach nobody and are reached by nobody; slow ones are reached late.
	cut map[string]bool
	// parted nodes don't reach each other.
	parted [2]string
	slow   map[string]time.Duration
}

func (l *links) change(edit func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	edit()
}

// pass carries a call of one node to another.
func (l *links) pass(ctx context.Context, from, to string) error {
	l.mu.Lock()
	cut, slow := l.cut[from] || l.cut[to] || l.parted == [2]string{from, to} || l.parted == [2]string{to, from}, l.slow[to]
	l.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	pauseFor(ctx, slow)
	if ctx.Err() != nil {
		return store.ErrNotExecuted
	}
	return nil
}

// linkedPeers are a process's peers at the end of its links, with the reads of
// the log of jobs counted by the address that serves them.
type linkedPeers struct {
	Peers
	self  string
	links *links
}

func (p linkedPeers) Reader(address string) store.Reader {
	return linkedReader{p.Peers.Reader(address), address, p}
}

func (p linkedPeers) Follow(ctx context.Context, address string, from int64, wait time.Duration) (store.Batch, error) {
	p.links.add(address, followed)
	if err := p.links.pass(ctx, p.self, address); err != nil {
		return store.Batch{}, err
	}
	return p.Peers.Follow(ctx, address, from, wait)
}

type linkedReader struct {
	store.Reader
	address string
	peers   linkedPeers
}

func (r linkedReader) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	r.peers.links.add(r.address, p)
	if err := r.peers.links.pass(ctx, r.peers.self, r.address); err != nil {
		return store.Batch{}, err
	}
	return r.Reader.Read(ctx, p, from, wait)
}

// playDomains runs twelve nodes under traffic in the given number of failure
// domains, 0 for nodes that know none.
func playDomains(t *testing.T, domains int, scenario func(c *cluster, l *links)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, brief)
		l := &links{calls: &calls{n: map[string]int{}}, cut: map[string]bool{}, slow: map[string]time.Duration{}}
		defer c.close()
		c.adapt = func(p *process, set *Settings, ports *Ports) {
			if domains > 0 {
				set.Domain = string(rune('1' + int(p.name[0]-'a')%domains))
			}
			ports.Peers = linkedPeers{ports.Peers, p.name + ":1", l}
		}
		for i := range 12 {
			c.boot(string(rune('a' + i)))
		}
		c.traffic(20*time.Second, 12)
		time.Sleep(6 * time.Second)
		scenario(c, l)
		c.settle()
	})
}

func TestHolderServesOneReaderOfEachDomain(t *testing.T) {
	const counted = 10 * time.Second
	for domains, readers := range map[int]int{
		0: 11,
		1: 11,
		4: 3 + 2, // the readers of the others, and the nodes of its own
		6: 5 + 1,
	} {
		t.Run(fmt.Sprint(domains, " domains"), func(t *testing.T) {
			t.Parallel()
			playDomains(t, domains, func(c *cluster, l *links) {
				time.Sleep(7 * time.Millisecond) // no reading begins as the count does or ends
				reads := l.during(counted, c.holder().node.address, jobsPartition)
				t.Logf("the holder serves %d reads in %v", reads, counted)
				c.Expect(reads).To(BeNumerically("<=", readers*int(counted/viewPause)))
				if readers == 11 {
					c.Expect(reads).To(BeNumerically(">", 9*int(counted/viewPause)), "all read at the holder")
					for _, p := range c.up() {
						c.Expect(l.count(p.node.address, followed)).To(BeZero())
					}
				}
			})
		})
	}
}

// lags is how far views are behind the holder's.
type lags struct {
	c      *cluster
	holder *process
	ends   []seenEnd
}

// watch samples the nodes for a time, and returns the longest time by which a
// node was behind the holder and the greatest age of a view.
func (x *lags) watch(d time.Duration, nodes ...*process) (lag, age time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		x.ends = append(x.ends, seenEnd{time.Now(), x.holder.node.table.position()})
		for _, p := range nodes {
			age = max(age, p.node.JobsAge())
			next := p.node.table.position()
			// The first end beyond the node's is what it lacks for the longest time.
			at, _ := slices.BinarySearchFunc(x.ends, next+1, func(e seenEnd, n int64) int { return int(e.end - n) })
			if at < len(x.ends) {
				lag = max(lag, time.Since(x.ends[at].at))
			}
		}
	}
	return lag, age
}

func (c *cluster) except(p *process) []*process {
	return slices.DeleteFunc(c.up(), func(o *process) bool { return o == p })
}

func TestViewsLagByOnePauseMoreInADomainWithAReader(t *testing.T) {
	const step = 15 * time.Millisecond // of the sampling and the events
	for domains, pauses := range map[int]time.Duration{1: 1, 4: 2} {
		t.Run(fmt.Sprint(domains, " domains"), func(t *testing.T) {
			t.Parallel()
			playDomains(t, domains, func(c *cluster, _ *links) {
				watchTruth(c)
				h := c.holder()
				x := &lags{c: c, holder: h}
				lag, age := x.watch(10*time.Second, c.except(h)...)
				t.Logf("under traffic: views are behind by %v, %v old", lag, age)
				c.Expect(lag).To(BeNumerically("<=", pauses*viewPause+step))
				c.callers.Wait()
				time.Sleep(10 * time.Second)
				scribble(c, 900*time.Millisecond)
				lag, age = x.watch(10*time.Second, c.except(h)...)
				t.Logf("while little is written: views are behind by %v, %v old", lag, age)
				c.Expect(lag).To(BeNumerically("<=", pauses*viewPause+step))
				c.Expect(age).To(BeNumerically("<=", followedBound))
			})
		})
	}
}

// domainReader returns the reader of a domain that isn't the holder's, and the
// other nodes of that domain in their order.
func (c *cluster) domainReader(holder *process) (reader *process, others []*process) {
	ms := holder.node.Members()
	for _, m := range ranked(ms) {
		i := slices.IndexFunc(c.up(), func(p *process) bool { return p.name == m.Node })
		if p := c.up()[i]; reader == nil && m.Domain != holder.node.set.Domain {
			reader = p
		} else if reader != nil && m.Domain == reader.node.set.Domain {
			others = append(others, p)
		}
	}
	return reader, others
}

func TestFollowersOfALostReader(t *testing.T) {
	// A view falls behind by a call that fails and the pauses around it.
	const behind = followWait + followedTimeout + 4*viewPause
	faults := map[string]func(c *cluster, l *links, p *process){
		"killed": func(c *cluster, _ *links, p *process) { c.kill(p) },
		"frozen": func(_ *cluster, _ *links, p *process) { p.stall() },
		"cut off": func(c *cluster, l *links, p *process) {
			c.log.Down(true, p.name)
			l.change(func() { l.cut[p.node.address] = true })
		},
		"cut off from the store and the holder": func(c *cluster, l *links, p *process) {
			h := c.holder().node.address // it takes a while, in which calls need the lock
			l.change(func() { l.parted = [2]string{p.node.address, h} })
			c.log.Down(true, p.name)
		},
		"cut off from the others only": func(_ *cluster, l *links, p *process) {
			l.change(func() { l.cut[p.node.address] = true })
		},
		"slow":    func(_ *cluster, l *links, p *process) { l.change(func() { l.slow[p.node.address] = 2 * time.Second }) },
		"leaving": func(c *cluster, _ *links, p *process) { c.wg.Go(func() { c.leave(p) }) },
	}
	for what, fault := range faults {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			playDomains(t, 4, func(c *cluster, l *links) {
				watchTruth(c)
				scribble(c, 60*time.Millisecond) // each read returns at once
				h := c.holder()
				reader, others := c.domainReader(h)
				c.Expect(others).To(HaveLen(2))
				c.Expect(l.during(time.Second, reader.node.address, followed)).To(BeNumerically(">=", 15))

				c.disrupt()
				fault(c, l, reader)
				x := &lags{c: c, holder: h}
				lag, age := x.watch(8*time.Second, others...)
				t.Logf("views are behind by %v, %v old", lag, age)
				if what == "cut off from the store and the holder" {
					// It answers while its view is not too old.
					c.Expect(lag).To(BeNumerically("<=", followedBound+2*viewPause))
				} else {
					c.Expect(lag).To(BeNumerically("<=", behind))
				}
				c.Expect(age).To(BeNumerically("<", storeSilence))
				next := others[0].node
				if what == "cut off from the store and the holder" {
					next = reader.node // which reads through other nodes
				}
				c.Expect(l.during(2*time.Second, next.address, followed)).To(BeNumerically(">=", 15), "one of the domain reads for the others")
				c.Expect(l.during(2*time.Second, h.node.address, jobsPartition)).To(BeNumerically("<=", 6*20))

				reader.resume()
				l.change(func() { clear(l.cut); clear(l.slow); l.parted = [2]string{} })
				c.calm()
				time.Sleep(readerRestMost + time.Second)
				if what != "killed" && what != "leaving" {
					c.Expect(l.during(time.Second, reader.node.address, followed)).To(BeNumerically(">=", 15))
				}
				c.Expect(l.during(time.Second, h.node.address, jobsPartition)).To(BeNumerically("<=", 5*11))
			})
		})
	}
}

func TestReadersFollowTheHolderWhenItMoves(t *testing.T) {
	const quiet = "frozen while nothing is written"
	freeze := func(c *cluster, h *process) {
		h.stall()
		c.wg.Go(func() {
			pauseFor(c.ctx, 8*time.Second)
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
			playDomains(t, 4, func(c *cluster, l *links) {
				watchTruth(c)
				if what == quiet {
					c.callers.Wait()
					time.Sleep(10 * time.Second)
				} else {
					scribble(c, 130*time.Millisecond)
				}
				h := c.holder()
				c.wg.Go(func() { c.pass(10 * time.Second) })
				left := c.except(h)
				end(c, h)
				x := &lags{c: c, holder: h}
				_, age := x.watch(10*time.Second, left...)
				t.Logf("views are %v old", age)
				c.Expect(age).To(BeNumerically("<", storeSilence))
				time.Sleep(readerRestMost)
				next := c.holder()
				c.Expect(next).NotTo(Equal(h))
				c.Expect(l.during(2*time.Second, next.node.address, jobsPartition)).To(BeNumerically("<=", 5*21))
				c.Expect(l.during(2*time.Second, h.node.address, jobsPartition)).To(BeZero())
				x = &lags{c: c, holder: next}
				lag, age := x.watch(3*time.Second, c.except(next)...)
				c.Expect(lag).To(BeNumerically("<=", 2*viewPause+20*time.Millisecond))
				c.Expect(age).To(BeNumerically("<", followedBound))
			})
		})
	}
}

// TestNodesDoNotFollowEachOther has two nodes that take each other for the
// reader of their domain.
func TestNodesDoNotFollowEachOther(t *testing.T) {
	playDomains(t, 4, func(c *cluster, _ *links) {
		watchTruth(c)
		scribble(c, 130*time.Millisecond)
		h := c.holder()
		a, others := c.domainReader(h)
		b := others[0]
		a.node.readers.Store(&readers{ahead: []string{b.node.address}, shared: true})
		x := &lags{c: c, holder: h}
		lag, age := x.watch(10*time.Second, a, b)
		c.Expect(lag).To(BeNumerically("<=", 3*viewPause))
		c.Expect(age).To(BeNumerically("<", followedBound))
		c.Expect(a.node.direct.Load() || b.node.direct.Load()).To(BeTrue())
	})
}

func TestNodeThatFollowsAnotherIsNotFollowed(t *testing.T) {
	g := NewWithT(t)
	n := &Node{recent: newRecent(), desk: &desk{}}
	n.recent.add(reading{records: recordsFrom(5, 8), next: 8, at: time.Now()})
	_, err := n.Followed(t.Context(), 6, 0)
	g.Expect(err).To(MatchError(store.ErrNotExecuted))
	n.direct.Store(true)
	b, err := n.Followed(t.Context(), 6, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Records).To(Equal(recordsFrom(6, 8)))
	g.Expect(b.End).To(Equal(int64(-1)), "only the store tells the log's end")
	_, err = n.Followed(t.Context(), 4, 0)
	g.Expect(err).To(MatchError(store.ErrNotExecuted), "not kept any more")
	n.desk.leaving.Store(true)
	_, err = n.Followed(t.Context(), 6, 0)
	g.Expect(err).To(MatchError(store.ErrNotExecuted))
}

func TestFollowedViewKeepsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := &Node{recent: newRecent(), desk: &desk{}}
		n.direct.Store(true)
		read := time.Now()
		n.recent.add(reading{next: 8, whole: true, at: read})
		time.Sleep(followedBound / 2)
		b, err := n.Followed(t.Context(), 8, followedBound/4)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b.ReadAt).To(Equal(read), "the wait has brought nothing")
		began := time.Now()
		_, err = n.Followed(t.Context(), 8, time.Minute)
		g.Expect(err).To(MatchError(store.ErrNotExecuted))
		g.Expect(time.Since(began)).To(Equal(followedBound/4), "it is too old from then on")
		n.recent.add(reading{records: recordsFrom(8, 9), next: 9, at: time.Now()})
		b, err = n.Followed(t.Context(), 12, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b.NextOffset).To(Equal(int64(12)), "the other one has read on itself")
		n.recent.add(reading{next: 40, whole: true, at: time.Now()})
		_, err = n.Followed(t.Context(), 9, 0)
		g.Expect(err).To(MatchError(store.ErrNotExecuted), "what is in between was never read")
	})
}

func TestReaderOfADomain(t *testing.T) {
	g := NewWithT(t)
	ms := []Member{{Node: "h", Holds: true, Domain: "1", CPUShare: 1}, {Node: "i", Domain: "1", CPUShare: 1}}
	for i, share := range []float64{0.2, 0.8, 0.8, 0.4} {
		name := string(rune('a' + i))
		ms = append(ms, Member{Node: name, Address: name + ":1", Domain: "2", CPUShare: share})
	}
	ms = append(ms, Member{Node: "z"}, Member{Node: "y", Domain: "3"})
	ahead := func(node string) []string { return readersOf(ms, node).ahead }
	first := ranked(ms[2:])[0]
	g.Expect(ahead(first.Node)).To(BeEmpty())
	g.Expect(readersOf(ms, first.Node).shared).To(BeTrue())
	g.Expect(ahead("a")).To(HaveLen(3))
	g.Expect(ahead("a")[0]).To(Equal(first.Address))
	g.Expect(ahead("a")[2]).To(Equal("d:1"))
	for _, node := range []string{"h", "i", "z", "y", "unknown"} {
		g.Expect(readersOf(ms, node)).To(Equal(readers{}), node)
	}
	at := slices.IndexFunc(ms, func(m Member) bool { return m.Node == first.Node })
	ms[at].Leaving = true
	g.Expect(ahead("a")).To(HaveLen(2))
	g.Expect(readersOf(ms, first.Node)).To(Equal(readers{}))
	ms[0].Domain = ""
	g.Expect(ahead("a")).To(BeEmpty(), "a holder of a former version")
	ms[0].Domain, ms[0].Holds = "1", false
	g.Expect(ahead("a")).To(BeEmpty(), "nobody holds the right")
}
