package routing_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/routing"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Routing")
}

var peers = []routing.Peer{
	{Host: "a1", Domain: "a", Region: "a", Address: "a1"},
	{Host: "a2", Domain: "a", Region: "a", Address: "a2"},
	{Host: "b1", Domain: "b", Region: "b", Address: "b1"},
}

func settings(host string) routing.Settings {
	return routing.Settings{Host: host, Incarnation: "1", Domain: "a", Region: "a", Peers: peers, Seed: 1, NewDomain: true, Timing: routing.DefaultTiming()}
}

// directory lists n runners of service s with the given slots each.
func directory(n, slots int) routing.DirectoryRead {
	ev := routing.DirectoryRead{Services: []routing.Service{{Name: "s"}}}
	for i := range n {
		ev.Runners = append(ev.Runners, routing.Runner{Attempt: uint64(i + 1), Service: "s", Address: "r", Slots: slots})
	}
	return ev
}

func request(id uint64) routing.Admit {
	return routing.Admit{ID: id, Service: "s", Deadline: time.Minute, Idempotent: true}
}

// only returns the effects of one type.
func only[T routing.Effect](effects []routing.Effect) []T {
	var list []T
	for _, e := range effects {
		if t, ok := e.(T); ok {
			list = append(list, t)
		}
	}
	return list
}

var _ = Describe("Core", func() {
	var c *routing.Core
	BeforeEach(func() {
		c = routing.New(settings("a1"))
		c.Step(0, directory(2, 1))
	})

	It("keeps the slot of a lost request until it has surely ended", func() {
		first := only[routing.Send](c.Step(0, request(1)))[0]
		other := only[routing.Send](c.Step(0, request(2)))[0]
		Expect(other.Attempt).NotTo(Equal(first.Attempt))
		c.Step(time.Second, routing.CallerLeft{ID: 1})
		c.Step(time.Second, routing.Failed{ID: 1, Send: first.Send, Reached: true})
		Expect(only[routing.Send](c.Step(time.Second, request(3)))).To(BeEmpty())
		for t := time.Second; t < time.Minute; t += time.Second {
			Expect(only[routing.Send](c.Step(t, routing.DirectoryRead{SentAt: t, Unchanged: true}))).To(BeEmpty())
		}
		_, slots := c.InFlight()
		Expect(slots).To(Equal(2))
		c.Step(62*time.Second, routing.Tick{})
		_, slots = c.InFlight()
		Expect(slots).To(Equal(1))
	})

	It("never says not run of what may have run, and never resends it", func() {
		q := request(1)
		q.Idempotent = false
		send := only[routing.Send](c.Step(0, q))[0]
		end := only[routing.Finish](c.Step(1, routing.Failed{ID: 1, Send: send.Send, Reached: true, Replayable: true}))
		Expect(end).To(Equal([]routing.Finish{{ID: 1, Ending: routing.Ending{Outcome: routing.OutcomeUnknown, Reason: routing.ReasonLost}}}))
	})

	It("stops filling slots when the grant lease has run out", func() {
		for id := uint64(1); id <= 3; id++ {
			c.Step(9*time.Second, request(id))
		}
		end := c.Step(10*time.Second, request(4))
		Expect(only[routing.Finish](end)[0].Ending.Reason).To(Equal(routing.ReasonNoGrant))
		Expect(only[routing.Send](c.Step(10*time.Second, routing.Answered{ID: 1, Send: 4, Status: 200}))).To(BeEmpty())
		Expect(only[routing.Send](c.Step(11*time.Second, routing.DirectoryRead{SentAt: 11 * time.Second, Unchanged: true}))).To(HaveLen(1))
	})

	It("gives up a silent connection and retries over a fresh one elsewhere", func() {
		send := only[routing.Send](c.Step(0, request(1)))[0]
		c.Step(9*time.Second, routing.DirectoryRead{SentAt: 9 * time.Second, Unchanged: true})
		Expect(only[routing.GiveUp](c.Step(10*time.Second, routing.Tick{}))).To(HaveLen(1))
		c.Step(10*time.Second, routing.Failed{ID: 1, Send: send.Send, Reached: true, Replayable: true})
		again := only[routing.Send](c.Step(11*time.Second, routing.Tick{}))[0]
		Expect(again.Attempt).NotTo(Equal(send.Attempt))
		c.Step(11*time.Second, routing.Answered{ID: 1, Send: again.Send, Status: 200})
		fresh := map[uint64]bool{}
		for id := uint64(2); id < 4; id++ {
			for _, s := range only[routing.Send](c.Step(72*time.Second, request(id))) {
				fresh[s.Attempt] = s.Fresh
			}
			c.Step(72*time.Second, routing.DirectoryRead{SentAt: 72 * time.Second, Unchanged: true})
		}
		Expect(c.Counters()[routing.Counter{Kind: routing.KindRetry, Reason: routing.ReasonSilent}]).To(Equal(int64(1)))
	})

	It("refuses at once what can't be answered in time", func() {
		for id := uint64(1); id <= 2; id++ {
			s := only[routing.Send](c.Step(0, request(id)))[0]
			c.Step(4*time.Second, routing.Answered{ID: id, Send: s.Send, Status: 200})
		}
		c.Step(4*time.Second, request(3))
		c.Step(4*time.Second, request(4))
		c.Step(4*time.Second, request(5))
		q := request(6)
		q.Deadline = 6 * time.Second
		end := only[routing.Finish](c.Step(4*time.Second, q))
		Expect(end).To(HaveLen(1))
		Expect(end[0].Ending.Reason).To(Equal(routing.ReasonExpectedWait))
		Expect(end[0].Ending.RetryAfter).To(BeNumerically(">", 0))
	})

	It("serves teams in turn and the earliest deadline within a team", func() {
		c.Step(0, directory(1, 1))
		send := only[routing.Send](c.Step(0, request(1)))[0]
		for i, team := range []string{"a", "a", "a", "b"} {
			q := request(uint64(10 + i))
			q.Team, q.Deadline = team, time.Duration(60-i)*time.Second
			c.Step(0, q)
		}
		var order []uint64
		for range 4 {
			next := only[routing.Send](c.Step(1, routing.Answered{ID: send.ID, Send: send.Send, Status: 200}))
			send = next[0]
			order = append(order, send.ID)
		}
		Expect(order).To(Equal([]uint64{12, 13, 11, 10}))
	})

	It("quarantines a runner that fails everything and lets it back by a probe", func() {
		now := time.Duration(0)
		failed := uint64(0)
		for id := uint64(1); id < 40; id++ {
			now += 100 * time.Millisecond
			for _, s := range only[routing.Send](c.Step(now, request(id))) {
				if s.Attempt == 1 {
					failed++
					c.Step(now, routing.Failed{ID: s.ID, Send: s.Send})
				} else {
					c.Step(now, routing.Answered{ID: s.ID, Send: s.Send, Status: 200})
				}
			}
		}
		Expect(failed).To(BeNumerically("<", 12))
		Expect(c.Counters()[routing.Counter{Kind: routing.KindQuarantine, Reason: routing.ReasonRunnerFailing}]).To(Equal(int64(1)))
	})

	It("gives nothing new to a leaving runner, at once", func() {
		ev := directory(2, 8)
		ev.Runners[0].Leaving = true
		c.Step(0, ev)
		for id := uint64(1); id <= 10; id++ {
			for _, s := range only[routing.Send](c.Step(0, request(id))) {
				Expect(s.Attempt).To(Equal(uint64(2)))
			}
		}
	})

	It("drops grants that may be others' by now, and not before", func() {
		c.Step(70*time.Second-400*time.Millisecond, routing.Tick{})
		Expect(c.DropLapsed()).To(BeFalse())
		c.Step(70*time.Second, routing.Tick{})
		Expect(c.DropLapsed()).To(BeTrue())
		Expect(c.Held()).To(BeEmpty())
	})

	It("takes over changed grants and leaves all else as it is", func() {
		c.Step(0, directory(2, 8))
		c.Step(0, routing.DirectoryRead{Partial: true, Runners: []routing.Runner{{Attempt: 1, Slots: 0}, {Attempt: 9, Slots: 8}}})
		for id := uint64(1); id <= 8; id++ {
			Expect(only[routing.Send](c.Step(0, request(id)))[0].Attempt).To(Equal(uint64(2)))
		}
		Expect(only[routing.Send](c.Step(0, request(9)))).To(BeEmpty())
	})

	It("passes an idempotent request on when its domain has no runner", func() {
		c.Step(0, directory(0, 0))
		c.Step(0, routing.PeerLoad{Host: "b1", Services: []routing.ServiceLoad{{Service: "s"}}})
		send := only[routing.Send](c.Step(0, request(1)))[0]
		Expect(send.Target).To(Equal(routing.ToDomain))
		Expect(send.CrossRegion).To(BeTrue())
		q := request(2)
		q.Hop = true
		Expect(only[routing.Send](c.Step(0, q))).To(BeEmpty())
		q = request(3)
		q.Idempotent = false
		Expect(only[routing.Send](c.Step(0, q))).To(BeEmpty())
	})
})
