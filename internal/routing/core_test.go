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

// directory returns an event with n runners of service s, each with the given
// number of granted slots.
func directory(n, slots int) routing.DirectoryUpdated {
	ev := routing.DirectoryUpdated{Services: []routing.Service{{Name: "s"}}}
	for i := range n {
		ev.Runners = append(ev.Runners, routing.Runner{Attempt: uint64(i + 1), Service: "s", Address: "r", Slots: slots})
	}
	return ev
}

func request(id uint64) routing.RequestReceived {
	return routing.RequestReceived{ID: id, Service: "s", Deadline: time.Minute, Idempotent: true}
}

// effectsOf returns the effects of type T.
func effectsOf[T routing.Effect](effects []routing.Effect) []T {
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

	It("keeps the slot of a request with a lost connection until the request has certainly ended", func() {
		first := effectsOf[routing.Send](c.Step(0, request(1)))[0]
		other := effectsOf[routing.Send](c.Step(0, request(2)))[0]
		Expect(other.Attempt).NotTo(Equal(first.Attempt))
		c.Step(time.Second, routing.CallerDisconnected{ID: 1})
		c.Step(time.Second, routing.SendFailed{ID: 1, Send: first.Send, MaybeSent: true})
		Expect(effectsOf[routing.Send](c.Step(time.Second, request(3)))).To(BeEmpty())
		for t := time.Second; t < time.Minute; t += time.Second {
			Expect(effectsOf[routing.Send](c.Step(t, routing.DirectoryUpdated{SentAt: t, Unchanged: true}))).To(BeEmpty())
		}
		_, slots := c.InFlight()
		Expect(slots).To(Equal(2))
		c.Step(62*time.Second, routing.Tick{})
		_, slots = c.InFlight()
		Expect(slots).To(Equal(1))
	})

	It("reports an unknown outcome for a non-idempotent request that may have run and does not retry it", func() {
		q := request(1)
		q.Idempotent = false
		send := effectsOf[routing.Send](c.Step(0, q))[0]
		end := effectsOf[routing.Finish](c.Step(1, routing.SendFailed{ID: 1, Send: send.Send, MaybeSent: true, Replayable: true}))
		Expect(end).To(Equal([]routing.Finish{{ID: 1, Result: routing.Result{Outcome: routing.OutcomeUnknown, Reason: routing.ReasonConnectionLost}}}))
	})

	It("does not fill slots after the grant lease has expired", func() {
		for id := uint64(1); id <= 3; id++ {
			c.Step(9*time.Second, request(id))
		}
		end := c.Step(10*time.Second, request(4))
		Expect(effectsOf[routing.Finish](end)[0].Result.Reason).To(Equal(routing.ReasonNoGrant))
		Expect(effectsOf[routing.Send](c.Step(10*time.Second, routing.SendAnswered{ID: 1, Send: 4, Status: 200}))).To(BeEmpty())
		Expect(effectsOf[routing.Send](c.Step(11*time.Second, routing.DirectoryUpdated{SentAt: 11 * time.Second, Unchanged: true}))).To(HaveLen(1))
	})

	It("cancels an idle send and retries it at another runner", func() {
		send := effectsOf[routing.Send](c.Step(0, request(1)))[0]
		c.Step(9*time.Second, routing.DirectoryUpdated{SentAt: 9 * time.Second, Unchanged: true})
		Expect(effectsOf[routing.CancelSend](c.Step(10*time.Second, routing.Tick{}))).To(HaveLen(1))
		c.Step(10*time.Second, routing.SendFailed{ID: 1, Send: send.Send, MaybeSent: true, Replayable: true})
		again := effectsOf[routing.Send](c.Step(11*time.Second, routing.Tick{}))[0]
		Expect(again.Attempt).NotTo(Equal(send.Attempt))
		c.Step(11*time.Second, routing.SendAnswered{ID: 1, Send: again.Send, Status: 200})
		fresh := map[uint64]bool{}
		for id := uint64(2); id < 4; id++ {
			for _, s := range effectsOf[routing.Send](c.Step(72*time.Second, request(id))) {
				fresh[s.Attempt] = s.NewConnection
			}
			c.Step(72*time.Second, routing.DirectoryUpdated{SentAt: 72 * time.Second, Unchanged: true})
		}
		Expect(c.Counters()[routing.Counter{Kind: routing.KindRetry, Reason: routing.ReasonConnectionSilent}]).To(Equal(int64(1)))
	})

	It("refuses a request at once if the expected wait exceeds its deadline", func() {
		for id := uint64(1); id <= 2; id++ {
			s := effectsOf[routing.Send](c.Step(0, request(id)))[0]
			c.Step(4*time.Second, routing.SendAnswered{ID: id, Send: s.Send, Status: 200})
		}
		c.Step(4*time.Second, request(3))
		c.Step(4*time.Second, request(4))
		c.Step(4*time.Second, request(5))
		q := request(6)
		q.Deadline = 6 * time.Second
		end := effectsOf[routing.Finish](c.Step(4*time.Second, q))
		Expect(end).To(HaveLen(1))
		Expect(end[0].Result.Reason).To(Equal(routing.ReasonExpectedWait))
		Expect(end[0].Result.RetryAfter).To(BeNumerically(">", 0))
	})

	It("serves teams in turn, and the earliest deadline first within a team", func() {
		c.Step(0, directory(1, 1))
		send := effectsOf[routing.Send](c.Step(0, request(1)))[0]
		for i, team := range []string{"a", "a", "a", "b"} {
			q := request(uint64(10 + i))
			q.Team, q.Deadline = team, time.Duration(60-i)*time.Second
			c.Step(0, q)
		}
		var order []uint64
		for range 4 {
			next := effectsOf[routing.Send](c.Step(1, routing.SendAnswered{ID: send.ID, Send: send.Send, Status: 200}))
			send = next[0]
			order = append(order, send.ID)
		}
		Expect(order).To(Equal([]uint64{12, 13, 11, 10}))
	})

	It("quarantines a runner whose requests all fail and then sends it only probes", func() {
		now := time.Duration(0)
		failed := uint64(0)
		for id := uint64(1); id < 40; id++ {
			now += 100 * time.Millisecond
			for _, s := range effectsOf[routing.Send](c.Step(now, request(id))) {
				if s.Attempt == 1 {
					failed++
					c.Step(now, routing.SendFailed{ID: s.ID, Send: s.Send})
				} else {
					c.Step(now, routing.SendAnswered{ID: s.ID, Send: s.Send, Status: 200})
				}
			}
		}
		Expect(failed).To(BeNumerically("<", 12))
		Expect(c.Counters()[routing.Counter{Kind: routing.KindQuarantine, Reason: routing.ReasonRunnerQuarantined}]).To(Equal(int64(1)))
	})

	It("sends no new requests to a draining runner", func() {
		ev := directory(2, 8)
		ev.Runners[0].Draining = true
		c.Step(0, ev)
		for id := uint64(1); id <= 10; id++ {
			for _, s := range effectsOf[routing.Send](c.Step(0, request(id))) {
				Expect(s.Attempt).To(Equal(uint64(2)))
			}
		}
	})

	It("drops grants only once they may have been granted to another entry", func() {
		c.Step(70*time.Second-400*time.Millisecond, routing.Tick{})
		Expect(c.DropExpiredGrants()).To(BeFalse())
		c.Step(70*time.Second, routing.Tick{})
		Expect(c.DropExpiredGrants()).To(BeTrue())
		Expect(c.SlotUsage()).To(BeEmpty())
	})

	It("applies a partial update to the listed grants only", func() {
		c.Step(0, directory(2, 8))
		c.Step(0, routing.DirectoryUpdated{Partial: true, Runners: []routing.Runner{{Attempt: 1, Slots: 0}, {Attempt: 9, Slots: 8}}})
		for id := uint64(1); id <= 8; id++ {
			Expect(effectsOf[routing.Send](c.Step(0, request(id)))[0].Attempt).To(Equal(uint64(2)))
		}
		Expect(effectsOf[routing.Send](c.Step(0, request(9)))).To(BeEmpty())
	})

	It("forwards an idempotent request once if its domain has no runner", func() {
		c.Step(0, directory(0, 0))
		c.Step(0, routing.PeerLoadReported{Host: "b1", Services: []routing.ServiceLoad{{Service: "s"}}})
		send := effectsOf[routing.Send](c.Step(0, request(1)))[0]
		Expect(send.Target).To(Equal(routing.TargetRemoteDomain))
		Expect(send.CrossRegion).To(BeTrue())
		q := request(2)
		q.FromEntry = true
		Expect(effectsOf[routing.Send](c.Step(0, q))).To(BeEmpty())
		q = request(3)
		q.Idempotent = false
		Expect(effectsOf[routing.Send](c.Step(0, q))).To(BeEmpty())
	})
})
