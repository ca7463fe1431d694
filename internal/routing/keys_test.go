package routing_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/routing"
)

// keyHomedAt returns a key of domain a whose home is the host (a1 or a2).
func keyHomedAt(host string) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("a.%d", i)
		c := routing.New(settings("a1"))
		c.Step(0, directory(1, 8))
		q := keyedRequest(1, key)
		atHome := len(effectsOf[routing.StoreIntent](c.Step(0, q))) > 0
		if atHome == (host == "a1") {
			return key
		}
	}
}

func keyedRequest(id uint64, key string) routing.RequestReceived {
	q := request(id)
	q.Idempotent, q.Key = false, key
	return q
}

var _ = Describe("Keys", func() {
	var c *routing.Core
	var key string
	BeforeEach(func() {
		key = keyHomedAt("a1")
		c = routing.New(settings("a1"))
		c.Step(0, directory(2, 8))
	})
	store := func() routing.StoreIntent { return effectsOf[routing.StoreIntent](c.Step(0, keyedRequest(1, key)))[0] }

	It("sends a request only after a replica has stored its intent", func() {
		s := store()
		Expect(s.Host).To(Equal("a2"))
		send := effectsOf[routing.Send](c.Step(1, routing.StoreIntentDone{Intent: s.Intent, Host: s.Host}))
		Expect(send).To(HaveLen(1))
		Expect(send[0].KeepResponse).To(BeTrue())
	})

	It("does not run a request if no replica can store its intent", func() {
		s := store()
		end := effectsOf[routing.Finish](c.Step(1, routing.StoreIntentDone{Intent: s.Intent, Host: s.Host, Failed: true}))
		Expect(end[0].Result).To(Equal(routing.Result{Outcome: routing.OutcomeNotRun, Reason: routing.ReasonNoSecondEntry, RetryAfter: time.Second}))
	})

	It("answers a repeated request with the result of the first", func() {
		s := store()
		send := effectsOf[routing.Send](c.Step(1, routing.StoreIntentDone{Intent: s.Intent, Host: s.Host}))[0]
		Expect(c.Step(2, keyedRequest(2, key))).To(BeEmpty())
		ends := effectsOf[routing.Finish](c.Step(3, routing.SendAnswered{ID: 1, Send: send.Send, Status: 200}))
		Expect(ends).To(HaveLen(2))
		for _, id := range []uint64{2, 3} {
			if id == 3 {
				ends = effectsOf[routing.Finish](c.Step(4, keyedRequest(3, key)))
			}
			Expect(ends).To(ContainElement(routing.Finish{ID: id, Result: routing.Result{ReplayOf: 1}}))
		}
	})

	It("forwards a request to its key's home and ends it if the home is unreachable", func() {
		send := effectsOf[routing.Send](c.Step(0, keyedRequest(1, keyHomedAt("a2"))))[0]
		Expect(send.Target).To(Equal(routing.TargetHome))
		end := effectsOf[routing.Finish](c.Step(1, routing.SendFailed{ID: 1, Send: send.Send, Replayable: true}))
		Expect(end[0].Result.Reason).To(Equal(routing.ReasonHomeUnreachable))
	})

	It("refuses keys after a restart until every peer has listed its intents", func() {
		s := store()
		peer := routing.New(settings("a2"))
		peer.Step(0, routing.StoreIntentRequested{Call: 1, Intent: s.Intent})
		told := effectsOf[routing.ListIntentsReply](peer.Step(0, routing.ListIntentsRequested{Call: 2}))[0]

		set := settings("a1")
		set.Incarnation, set.NewDomain = "2", false
		c = routing.New(set)
		c.Step(0, directory(2, 8))
		early := effectsOf[routing.Finish](c.Step(time.Second, keyedRequest(1, key)))[0].Result
		Expect(early.Outcome).To(Equal(routing.OutcomeUnknown))
		Expect(early.Reason).To(Equal(routing.ReasonKeysIncomplete))
		Expect(early.RetryAfter).To(BeNumerically(">", 0))
		Expect(effectsOf[routing.ListIntents](c.Step(9*time.Second, routing.Tick{}))).To(BeEmpty())
		Expect(effectsOf[routing.ListIntents](c.Step(12*time.Second, routing.Tick{}))).To(HaveLen(1))
		c.Step(12*time.Second, routing.IntentsListed{Host: "a2", Complete: told.Complete, Intents: told.Intents})
		end := effectsOf[routing.Finish](c.Step(12*time.Second, keyedRequest(2, key)))
		Expect(end[0].Result).To(Equal(routing.Result{Outcome: routing.OutcomeUnknown, Reason: routing.ReasonKeyUnknown}))
	})

	It("refuses keys before AcceptKeysFrom in a new domain", func() {
		set := settings("a1")
		set.AcceptKeysFrom = 2 * time.Second
		c = routing.New(set)
		c.Step(0, directory(2, 8))
		Expect(effectsOf[routing.Finish](c.Step(time.Second, keyedRequest(1, key)))[0].Result.RetryAfter).To(Equal(time.Second))
		Expect(effectsOf[routing.StoreIntent](c.Step(2*time.Second, keyedRequest(2, key)))).To(HaveLen(1))
	})

	It("keeps a newer intent when a late withdrawal of an older one arrives", func() {
		peer := routing.New(settings("a2"))
		old := routing.Intent{Key: key, InstanceID: "a1#1", ID: 1, State: routing.KeyWithdrawn}
		newer := routing.Intent{Key: key, InstanceID: "a1#1", ID: 2}
		peer.Step(0, routing.StoreIntentRequested{Call: 1, Intent: newer})
		peer.Step(0, routing.StoreIntentRequested{Call: 2, Intent: old})
		Expect(effectsOf[routing.ListIntentsReply](peer.Step(0, routing.ListIntentsRequested{Call: 3}))[0].Intents).To(Equal([]routing.Intent{newer}))
	})
})
