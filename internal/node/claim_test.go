package node

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Names of large nodes begin with l, those of small ones with s.
const (
	largeShare, smallTestShare = 0.8, 0.192
	// smallBound is within what time a small node takes over when no larger one is left.
	smallBound = 3 * time.Second
	// startTime is within what time nodes start that are started together.
	startTime = 300 * time.Millisecond
)

// several returns the names of so many large or small nodes.
func several(size string, count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprint(size, i))
	}
	return names
}

// sized runs a scenario on a cluster of large and small nodes, for some seeds.
// They start one after another within the given time.
func sized(t *testing.T, within time.Duration, names []string, scenario func(c *cluster)) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed, brief)
				defer c.close()
				c.adapt = func(p *process, set *Settings, _ *Ports) {
					set.Limits.CPUShare = smallTestShare
					if isLarge(p.name) {
						set.Limits.CPUShare = largeShare
					}
				}
				for _, name := range names {
					c.boot(name)
					time.Sleep(time.Duration(c.random.Int64N(int64(within) / int64(len(names)))))
				}
				time.Sleep(8 * time.Second)
				scenario(c)
			})
		})
	}
}

func isLarge(name string) bool { return name[0] == 'l' }

// largeOnes returns the processes of large nodes that run.
func (c *cluster) largeOnes() []*process {
	return slices.DeleteFunc(c.up(), func(p *process) bool { return !isLarge(p.name) })
}

// next waits until another process than the given one holds the right.
func (c *cluster) next(former *process) *process {
	for range 1000 {
		for _, p := range c.up() {
			if p != former && p.node.Holds() {
				return p
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("nobody has taken over")
	return nil
}

func TestLargeNodeHoldsTheRightFirst(t *testing.T) {
	sized(t, startTime, append(several("s", 6), several("l", 2)...), func(c *cluster) {
		c.Expect(c.holder().name).To(HavePrefix("l"))
	})
}

func TestLargeNodeFollowsAHolderThatTheStoreTurnsAway(t *testing.T) {
	sized(t, startTime, append(several("s", 9), several("l", 6)...), func(c *cluster) {
		p := c.holder()
		away := append(closest(p.node.Members()), p.name, "s0")
		c.log.Refuse(true, away...)
		next := c.next(p)
		c.Expect(next.name).To(HavePrefix("l"))
		c.Expect(away).NotTo(ContainElement(next.name))
	})
}

func TestLargeNodeFollowsWhenThoseThatFollowCloselyAreLostToo(t *testing.T) {
	sized(t, 2*distantTenurePause, append(several("l", 5), several("s", 12)...), func(c *cluster) {
		p := c.holder()
		near := closest(p.node.Members())
		for _, o := range c.up() {
			if o == p || slices.Contains(near, o.name) {
				c.kill(o)
			}
		}
		c.Expect(c.largeOnes()).To(HaveLen(1))
		c.Expect(c.next(p).name).To(HavePrefix("l"))
	})
}

func TestLargeNodeFollowsAPlannedStop(t *testing.T) {
	sized(t, startTime, append(several("s", 12), several("l", 5)...), func(c *cluster) {
		for len(c.largeOnes()) > 1 {
			p := c.holder()
			c.callers.Go(func() { c.leave(p) })
			c.Expect(c.next(p).name).To(HavePrefix("l"))
			time.Sleep(4 * time.Second)
		}
	})
}

func TestLargeNodeFollowsASmallHolderWhenAllAreRestarted(t *testing.T) {
	sized(t, startTime, append(several("s", 4), several("l", 2)...), func(c *cluster) {
		for _, p := range c.largeOnes() {
			c.kill(p)
		}
		former := c.next(nil)
		c.Expect(former.name).To(HavePrefix("s"))
		time.Sleep(2 * time.Second)
		small := c.up()
		for _, p := range small {
			c.kill(p)
		}
		time.Sleep(time.Duration(c.random.IntN(3000)) * time.Millisecond)
		for _, p := range small {
			c.boot(p.name)
		}
		c.boot("l0")
		c.boot("l1")
		began := time.Now()
		c.Expect(c.next(nil).name).To(HavePrefix("l"))
		c.Expect(time.Since(began)).To(BeNumerically("<", time.Second), "nobody waits for the former holder's silence")
	})
}

func TestLargeFormerHolderClaimsAtOnceWhenAllAreRestarted(t *testing.T) {
	sized(t, startTime, append(several("s", 4), several("l", 3)...), func(c *cluster) {
		former, all := c.holder(), c.up()
		for _, p := range all {
			c.kill(p)
		}
		for _, p := range all {
			c.boot(p.name)
		}
		began := time.Now()
		c.Expect(c.next(nil).name).To(Equal(former.name))
		c.Expect(time.Since(began)).To(BeNumerically("<=", claimSpread))
	})
}

func TestSmallNodeTakesOverWhenNoLargerOneDoes(t *testing.T) {
	for what, lose := range map[string]func(c *cluster, p *process){
		"killed": func(c *cluster, p *process) { c.kill(p) },
		"cut":    func(c *cluster, p *process) { c.log.Refuse(true, p.name) },
	} {
		t.Run(what, func(t *testing.T) {
			sized(t, startTime, append(several("s", 6), several("l", 6)...), func(c *cluster) {
				for _, p := range c.largeOnes() {
					lose(c, p)
				}
				began := time.Now()
				for {
					p := c.next(nil)
					if !isLarge(p.name) {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				c.Expect(time.Since(began)).To(BeNumerically("<", smallBound))
			})
		})
	}
}

func TestNodesWithLittleProcessorTimeClaimAfterTheOthers(t *testing.T) {
	g := NewWithT(t)
	const apart = 300 * time.Millisecond // the nodes' starts
	latest, earliest := time.Duration(0), time.Hour
	for i := range 100 {
		name := fmt.Sprint("node", i)
		latest = max(latest, ClaimDelay(name)+deferral(name, 0.4, "", nil, false))
		earliest = min(earliest, ClaimDelay(name)+deferral(name, 0.2, "", nil, false))
	}
	g.Expect(latest).To(BeNumerically("<", claimSpread))
	g.Expect(earliest).To(BeNumerically(">=", latest+apart))
}

func TestRightIsLeftToLargerNodesAsLongAsTheyMayTakeToSeeIt(t *testing.T) {
	g := NewWithT(t)
	ms := []Member{{Node: "former", CPUShare: 0.8}, {Node: "leaving", CPUShare: 0.8, Leaving: true}, {Node: "self", CPUShare: 0.2}, {Node: "equal", CPUShare: 0.25}}
	left := func(share float64) time.Duration { return deferral("self", share, "former", ms, true) }
	g.Expect(left(0.2)).To(BeZero(), "no larger one can take it")
	for i := range closeFollowers {
		ms = append(ms, Member{Node: fmt.Sprint("large", i), CPUShare: 0.8})
		g.Expect(left(0.2)).To(Equal(smallDelay), "all larger ones see each beat at once")
	}
	ms = append(ms, Member{Node: "distant", CPUShare: 0.8})
	g.Expect(left(0.2)).To(BeNumerically(">=", distantTenurePause+claimSpread))
	g.Expect(left(0.4)).To(BeNumerically(">=", distantTenurePause+claimSpread), "it goes by the other members, not by a size")
	g.Expect(left(0.8)).To(BeZero())
}
