package routing_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/routing"
)

// homedAt returns a key of domain a that is homed at the host.
func homedAt(host string) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("a.%d", i)
		c := routing.New(settings("a1"))
		c.Step(0, directory(1, 8))
		q := keyed(1, key)
		atHome := len(only[routing.StoreIntent](c.Step(0, q))) > 0
		if atHome == (host == "a1") {
			return key
		}
	}
}

func keyed(id uint64, key string) routing.Admit {
	q := request(id)
	q.Idempotent, q.Key = false, key
	return q
}

var _ = Describe("Keys", func() {
	var c *routing.Core
	var key string
	BeforeEach(func() {
		key = homedAt("a1")
		c = routing.New(settings("a1"))
		c.Step(0, directory(2, 8))
	})
	store := func() routing.StoreIntent { return only[routing.StoreIntent](c.Step(0, keyed(1, key)))[0] }

	It("sends only after a second entry has the intent", func() {
		s := store()
		Expect(s.Host).To(Equal("a2"))
		send := only[routing.Send](c.Step(1, routing.IntentStored{Intent: s.Intent, Host: s.Host}))
		Expect(send).To(HaveLen(1))
		Expect(send[0].Keep).To(BeTrue())
	})

	It("doesn't run without a second entry", func() {
		s := store()
		end := only[routing.Finish](c.Step(1, routing.IntentStored{Intent: s.Intent, Host: s.Host, Failed: true}))
		Expect(end[0].Ending).To(Equal(routing.Ending{Outcome: routing.OutcomeNotRun, Reason: routing.ReasonNoSecond, RetryAfter: time.Second}))
	})

	It("gives a resend the first one's ending", func() {
		s := store()
		send := only[routing.Send](c.Step(1, routing.IntentStored{Intent: s.Intent, Host: s.Host}))[0]
		Expect(c.Step(2, keyed(2, key))).To(BeEmpty())
		ends := only[routing.Finish](c.Step(3, routing.Answered{ID: 1, Send: send.Send, Status: 200}))
		Expect(ends).To(HaveLen(2))
		for _, id := range []uint64{2, 3} {
			if id == 3 {
				ends = only[routing.Finish](c.Step(4, keyed(3, key)))
			}
			Expect(ends).To(ContainElement(routing.Finish{ID: id, Ending: routing.Ending{Replay: 1}}))
		}
	})

	It("passes a key on to its home and says not run when the home can't be reached", func() {
		send := only[routing.Send](c.Step(0, keyed(1, homedAt("a2"))))[0]
		Expect(send.Target).To(Equal(routing.ToHome))
		end := only[routing.Finish](c.Step(1, routing.Failed{ID: 1, Send: send.Send, Replayable: true}))
		Expect(end[0].Ending.Reason).To(Equal(routing.ReasonHomeLost))
	})

	It("takes no key after a restart until every peer has told what it knows", func() {
		s := store()
		peer := routing.New(settings("a2"))
		peer.Step(0, routing.IntentHeard{Call: 1, Intent: s.Intent})
		told := only[routing.RecallReply](peer.Step(0, routing.RecallHeard{Call: 2}))[0]

		set := settings("a1")
		set.Incarnation, set.NewDomain = "2", false
		c = routing.New(set)
		c.Step(0, directory(2, 8))
		early := only[routing.Finish](c.Step(time.Second, keyed(1, key)))[0].Ending
		Expect(early.Outcome).To(Equal(routing.OutcomeUnknown))
		Expect(early.Reason).To(Equal(routing.ReasonKeysIncomplete))
		Expect(early.RetryAfter).To(BeNumerically(">", 0))
		Expect(only[routing.Recall](c.Step(9*time.Second, routing.Tick{}))).To(BeEmpty())
		Expect(only[routing.Recall](c.Step(12*time.Second, routing.Tick{}))).To(HaveLen(1))
		c.Step(12*time.Second, routing.Recalled{Host: "a2", Complete: told.Complete, Intents: told.Intents})
		end := only[routing.Finish](c.Step(12*time.Second, keyed(2, key)))
		Expect(end[0].Ending).To(Equal(routing.Ending{Outcome: routing.OutcomeUnknown, Reason: routing.ReasonKeyUnknown}))
	})

	It("takes no key before the time up to which a new domain is vouched for", func() {
		set := settings("a1")
		set.KeysFrom = 2 * time.Second
		c = routing.New(set)
		c.Step(0, directory(2, 8))
		Expect(only[routing.Finish](c.Step(time.Second, keyed(1, key)))[0].Ending.RetryAfter).To(Equal(time.Second))
		Expect(only[routing.StoreIntent](c.Step(2*time.Second, keyed(2, key)))).To(HaveLen(1))
	})

	It("doesn't let a late withdrawal take away a newer intent", func() {
		peer := routing.New(settings("a2"))
		old := routing.Intent{Key: key, Holder: "a1#1", ID: 1, State: routing.KeyWithdrawn}
		newer := routing.Intent{Key: key, Holder: "a1#1", ID: 2}
		peer.Step(0, routing.IntentHeard{Call: 1, Intent: newer})
		peer.Step(0, routing.IntentHeard{Call: 2, Intent: old})
		Expect(only[routing.RecallReply](peer.Step(0, routing.RecallHeard{Call: 3}))[0].Intents).To(Equal([]routing.Intent{newer}))
	})
})
