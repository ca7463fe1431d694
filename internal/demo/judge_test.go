package demo

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/standin"
)

func TestDemo(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Demo")
}

var _ = Describe("judge", func() {
	began := time.Unix(0, 0)
	ran := []standin.Request{{ID: "d", Key: "kd", Service: "s", Time: began.Add(time.Minute)}, {ID: "a", Key: "ka", Service: "s", Task: "s/0/d/0"}, {ID: "b", Service: "s"}, {ID: "b", Service: "s"}}
	planned := []span{{host: "e", from: began, to: began.Add(time.Second)}}

	DescribeTable("finds", func(r result, want ...standin.Promise) {
		r.service, r.sent = "s", began
		if r.ended.IsZero() {
			r.ended = began.Add(time.Second)
		}
		var got []standin.Promise
		for _, b := range judge([]result{r}, ran, planned) {
			got = append(got, b.Promise)
		}
		Expect(got).To(HaveExactElements(want))
	},
		Entry("nothing in an answered request", result{id: "a", outcome: answered}),
		Entry("nothing in one that did not run", result{id: "c", outcome: notRun}),
		Entry("nothing in an unknown one", result{id: "a", outcome: unknown, entry: "f"}),
		Entry("one said not to have run that ran", result{id: "b", outcome: notRun}, promiseNotRun),
		Entry("a key said not to have run that ran", result{id: "c", key: "ka", outcome: notRun}, promiseNotRun),
		Entry("nothing in an idempotent request that ran twice", result{id: "b", outcome: answered}),
		Entry("a request that ran twice", result{id: "b", outcome: answered, once: true}, standin.PromiseAtMostOnce),
		Entry("nothing where the key ran under an earlier request afterwards", result{id: "c", key: "kd", outcome: notRun}),
		Entry("a key said not to have run without asking its home", result{id: "c", key: "ka", outcome: notRun, detail: "503 home-unreachable"}, promiseNotRun),
		Entry("another request's answer", result{id: "a", outcome: lost}, promiseAnswer),
		Entry("a request cut off by a planned stop", result{id: "a", outcome: unknown, entry: "e"}, promiseGracefulEntry),
		Entry("one cut off before its deadline", result{id: "a", outcome: unknown, entry: "e", detail: "502 deadline", ended: began.Add(deadline - time.Millisecond)}, promiseGracefulEntry),
		Entry("nothing in a key that was refused unsent", result{id: "a", key: "k", outcome: unknown, entry: "e", detail: "502 keys-incomplete"}),
		Entry("one without a key that says so", result{id: "a", outcome: unknown, entry: "e", detail: "502 keys-incomplete"}, promiseGracefulEntry),
		Entry("nothing in one that ended at its own deadline", result{id: "a", outcome: unknown, entry: "e", detail: "502 deadline", ended: began.Add(deadline)}),
	)

	It("finds a request that ran in another service", func() {
		list := judge([]result{{id: "a", service: "t", outcome: answered}}, ran, nil)
		Expect(list).To(HaveLen(1))
		Expect(list[0].Promise).To(Equal(promiseAnswer))
	})
})

var _ = Describe("watch", func() {
	changes := []change{
		{text: "declare team a weight 1;", accepted: true, offset: 1},
		{text: "declare team b weight 1;", accepted: true, offset: 2},
		{text: "declare team c weight 1;", offset: 3},
	}

	DescribeTable("finds", func(want int, versions ...map[string]int64) {
		w := newWatch(nil)
		for _, v := range versions {
			w.looks = append(w.looks, look{host: "e", versions: v})
		}
		Expect(w.judge(changes)).To(HaveLen(want))
	},
		Entry("nothing in a host that catches up", 0, map[string]int64{"a": 1}, map[string]int64{"a": 1, "b": 2}),
		Entry("nothing in a later version", 0, map[string]int64{"a": 7, "b": 2}),
		Entry("a host that goes back", 1, map[string]int64{"a": 7, "b": 2}, map[string]int64{"a": 1, "b": 2}),
		Entry("a hole, which lasts to the end", 2, map[string]int64{"b": 2}),
		Entry("a change that is never in force", 1, map[string]int64{"a": 1}),
	)
})
