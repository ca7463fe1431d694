package node

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Names of large nodes begin with l, those of small nodes with s.
const (
	largeNodeShare, smallNodeShare = 0.8, 0.192
	// smallTakeoverBound is the time within which a small node must take over when no
	// larger one is left.
	smallTakeoverBound = 3 * time.Second
	// nodeStartSpread is the time within which nodes are started that start together.
	nodeStartSpread = 300 * time.Millisecond
)

// nodeNames returns the names of count large or small nodes.
func nodeNames(size string, count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprint(size, i))
	}
	return names
}

// runSizedCluster runs a scenario on a cluster of large and small nodes, for some
// seeds. The nodes start one after another within the given time.
func runSizedCluster(t *testing.T, within time.Duration, names []string, scenario func(c *cluster)) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed, singleSeedOptions)
				defer c.close()
				c.configure = func(p *process, set *Settings, _ *Dependencies) {
					set.Limits.CPUShare = smallNodeShare
					if isLarge(p.name) {
						set.Limits.CPUShare = largeNodeShare
					}
				}
				for _, name := range names {
					c.startNode(name)
					time.Sleep(time.Duration(c.rng.Int64N(int64(within) / int64(len(names)))))
				}
				time.Sleep(8 * time.Second)
				scenario(c)
			})
		})
	}
}

func isLarge(name string) bool { return name[0] == 'l' }

// largeNodes returns the running processes of large nodes.
func (c *cluster) largeNodes() []*process {
	return slices.DeleteFunc(c.running(), func(p *process) bool { return !isLarge(p.name) })
}

// awaitNextLeader waits until a process other than previous is the leader.
func (c *cluster) awaitNextLeader(previous *process) *process {
	for range 1000 {
		for _, p := range c.running() {
			if p != previous && p.node.IsLeader() {
				return p
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("no node has taken over")
	return nil
}

// TestLargeNodeBecomesFirstLeader guards against a small node that wins the very
// first claim while large nodes start at the same time.
func TestLargeNodeBecomesFirstLeader(t *testing.T) {
	runSizedCluster(t, nodeStartSpread, append(nodeNames("s", 6), nodeNames("l", 2)...), func(c *cluster) {
		c.Expect(c.leader().name).To(HavePrefix("l"))
	})
}

// TestLargeNodeSucceedsLeaderRefusedByStore guards against a small successor when
// the store refuses the leader, all takeover candidates and a small node.
func TestLargeNodeSucceedsLeaderRefusedByStore(t *testing.T) {
	runSizedCluster(t, nodeStartSpread, append(nodeNames("s", 9), nodeNames("l", 6)...), func(c *cluster) {
		p := c.leader()
		away := append(takeoverCandidates(p.node.Members()), p.name, "s0")
		c.log.Refuse(true, away...)
		next := c.awaitNextLeader(p)
		c.Expect(next.name).To(HavePrefix("l"))
		c.Expect(away).NotTo(ContainElement(next.name))
	})
}

// TestLargeNodeSucceedsWhenCandidatesAreLostToo guards against a small successor
// when the leader and its takeover candidates are killed together: the one large
// node left reads the leadership log at intervals.
func TestLargeNodeSucceedsWhenCandidatesAreLostToo(t *testing.T) {
	runSizedCluster(t, 2*slowLeadershipPollInterval, append(nodeNames("l", 5), nodeNames("s", 12)...), func(c *cluster) {
		p := c.leader()
		near := takeoverCandidates(p.node.Members())
		for _, o := range c.running() {
			if o == p || slices.Contains(near, o.name) {
				c.kill(o)
			}
		}
		c.Expect(c.largeNodes()).To(HaveLen(1))
		c.Expect(c.awaitNextLeader(p).name).To(HavePrefix("l"))
	})
}

// TestLargeNodeSucceedsAfterPlannedStop guards against a small successor when the
// leader is shut down as planned and a large node is left.
func TestLargeNodeSucceedsAfterPlannedStop(t *testing.T) {
	runSizedCluster(t, nodeStartSpread, append(nodeNames("s", 12), nodeNames("l", 5)...), func(c *cluster) {
		for len(c.largeNodes()) > 1 {
			p := c.leader()
			c.callers.Go(func() { c.leave(p) })
			c.Expect(c.awaitNextLeader(p).name).To(HavePrefix("l"))
			time.Sleep(4 * time.Second)
		}
	})
}

// TestLargeNodeSucceedsSmallLeaderAfterFullRestart guards against a small previous
// leader that claims again, or a wait for its silence timeout, when all nodes
// restart together with larger ones.
func TestLargeNodeSucceedsSmallLeaderAfterFullRestart(t *testing.T) {
	runSizedCluster(t, nodeStartSpread, append(nodeNames("s", 4), nodeNames("l", 2)...), func(c *cluster) {
		for _, p := range c.largeNodes() {
			c.kill(p)
		}
		previous := c.awaitNextLeader(nil)
		c.Expect(previous.name).To(HavePrefix("s"))
		time.Sleep(2 * time.Second)
		small := c.running()
		for _, p := range small {
			c.kill(p)
		}
		time.Sleep(time.Duration(c.rng.IntN(3000)) * time.Millisecond)
		for _, p := range small {
			c.startNode(p.name)
		}
		c.startNode("l0")
		c.startNode("l1")
		began := time.Now()
		c.Expect(c.awaitNextLeader(nil).name).To(HavePrefix("l"))
		c.Expect(time.Since(began)).To(BeNumerically("<", time.Second), "the nodes must not wait for the previous leader's silence timeout")
	})
}

// TestLargePreviousLeaderClaimsAtOnceAfterFullRestart guards against a previous
// leader that waits for its own silence timeout when all nodes restart.
func TestLargePreviousLeaderClaimsAtOnceAfterFullRestart(t *testing.T) {
	runSizedCluster(t, nodeStartSpread, append(nodeNames("s", 4), nodeNames("l", 3)...), func(c *cluster) {
		previous, all := c.leader(), c.running()
		for _, p := range all {
			c.kill(p)
		}
		for _, p := range all {
			c.startNode(p.name)
		}
		began := time.Now()
		c.Expect(c.awaitNextLeader(nil).name).To(Equal(previous.name))
		c.Expect(time.Since(began)).To(BeNumerically("<=", claimJitter))
	})
}

// TestSmallNodeTakesOverWhenNoLargerOneCan guards against small nodes that wait too
// long for large ones which are killed or refused by the store.
func TestSmallNodeTakesOverWhenNoLargerOneCan(t *testing.T) {
	for name, lose := range map[string]func(c *cluster, p *process){
		"killed": func(c *cluster, p *process) { c.kill(p) },
		"cut":    func(c *cluster, p *process) { c.log.Refuse(true, p.name) },
	} {
		t.Run(name, func(t *testing.T) {
			runSizedCluster(t, nodeStartSpread, append(nodeNames("s", 6), nodeNames("l", 6)...), func(c *cluster) {
				for _, p := range c.largeNodes() {
					lose(c, p)
				}
				began := time.Now()
				for {
					p := c.awaitNextLeader(nil)
					if !isLarge(p.name) {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				c.Expect(time.Since(began)).To(BeNumerically("<", smallTakeoverBound))
			})
		})
	}
}

// TestSmallNodesClaimAfterOthersAtFirstStart guards against a first claim by a node
// with little processor time: while the members are unknown, it must wait for
// larger nodes that start up to 300 ms later.
func TestSmallNodesClaimAfterOthersAtFirstStart(t *testing.T) {
	g := NewWithT(t)
	const apart = 300 * time.Millisecond // spread of the nodes' starts
	latest, earliest := time.Duration(0), time.Hour
	for i := range 100 {
		name := fmt.Sprint("node", i)
		latest = max(latest, ClaimDelay(name)+claimDeferral(name, 0.4, "", nil, false))
		earliest = min(earliest, ClaimDelay(name)+claimDeferral(name, 0.2, "", nil, false))
	}
	g.Expect(latest).To(BeNumerically("<", claimJitter))
	g.Expect(earliest).To(BeNumerically(">=", latest+apart))
}

// TestClaimDeferralCoversLargerNodesReadDelay guards against a claim by a smaller
// node before a larger one can have noticed the vacant leadership.
func TestClaimDeferralCoversLargerNodesReadDelay(t *testing.T) {
	g := NewWithT(t)
	ms := []Member{{Node: "former", CPUShare: 0.8}, {Node: "leaving", CPUShare: 0.8, Leaving: true}, {Node: "self", CPUShare: 0.2}, {Node: "equal", CPUShare: 0.25}}
	left := func(share float64) time.Duration { return claimDeferral("self", share, "former", ms, true) }
	g.Expect(left(0.2)).To(BeZero(), "no larger node can claim")
	for i := range candidateCount {
		ms = append(ms, Member{Node: fmt.Sprint("large", i), CPUShare: 0.8})
		g.Expect(left(0.2)).To(Equal(smallNodeDelay), "all larger nodes see each heartbeat at once")
	}
	ms = append(ms, Member{Node: "distant", CPUShare: 0.8})
	g.Expect(left(0.2)).To(BeNumerically(">=", slowLeadershipPollInterval+claimJitter))
	g.Expect(left(0.4)).To(BeNumerically(">=", slowLeadershipPollInterval+claimJitter), "the deferral depends on the other members, not on an absolute size")
	g.Expect(left(0.8)).To(BeZero())
}
