package operator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/language"
	"github.com/mimosaspool/mimosaspool/internal/operator"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Operator")
}

func try(n *node, req operator.Request) operator.Result {
	res, err := operator.New(n).Execute(context.Background(), req)
	ExpectWithOffset(2, err).NotTo(HaveOccurred())
	return res
}

func exec(n *node, text string) operator.Result {
	return try(n, operator.Request{Text: text, Actor: "ana"})
}

func messages(res operator.Result) []string {
	var list []string
	for _, f := range res.Faults {
		list = append(list, f.Message)
	}
	return list
}

var _ = Describe("Changes", func() {
	var south, north *node
	var s *site
	BeforeEach(func() {
		s, south, north = newSite()
		Expect(exec(south, domains()+"declare team crews; declare service survey team crews count 4 cpu 4;").Change.State).To(Equal(operator.Accepted))
	})

	It("names every fault against the catalog and changes nothing", func() {
		before := len(s.log)
		res := exec(south, "declare service a team crew cpu 1; declare batch b cpu 1 count 2 homes nroth 2; cancel survay; drain survey-south-1;"+
			"set policy fast for batch survey; declare batch survey cpu 1; declare batch huge cpu 500; remove team crews; declare domain east region r workers survey-south-01 entries e;")
		Expect(res.Faults).To(HaveLen(9))
		var suggested []string
		for _, f := range res.Faults[:4] {
			suggested = append(suggested, f.Suggestion)
		}
		Expect(suggested).To(Equal([]string{"crews", "north", "survey", "survey-south-01"}))
		Expect(messages(res)[4:]).To(HaveExactElements(
			ContainSubstring("declared as service, not as batch"), ContainSubstring("declared as service"), ContainSubstring("large enough"),
			ContainSubstring("still belongs"), ContainSubstring("belongs to domain south")))
		Expect(s.log).To(HaveLen(before))
		Expect(south.counts["refusal statement-malformed"]).To(Equal(1))
	})

	It("divides services evenly and gives finite work one home with room", func() {
		Expect(exec(south, "declare service odd count 3 cpu 1; declare batch one count 5 cpu 10 run 1m; declare gang two count 8 accelerators 1 run 1m;"+
			"declare gang three count 8 accelerators 1 run 1m;").Change.State).To(Equal(operator.Accepted))
		homes := map[string][]configuration.Home{}
		for name, e := range south.core.Catalog().Workloads {
			homes[name] = e.Value.Homes
		}
		Expect(homes["survey"]).To(ConsistOf(configuration.Home{Domain: "south", Count: 2}, configuration.Home{Domain: "north", Count: 2}))
		Expect(homes["odd"]).To(HaveLen(2))
		Expect(homes["one"]).To(HaveLen(1))
		Expect(homes["two"][0].Domain).NotTo(Equal(homes["three"][0].Domain), "the first takes all accelerators of its domain")
	})

	It("tells the loser of a race who won", func() {
		south.appended = func() {
			south.appended = nil
			try(north, operator.Request{Text: "set policy careful for service survey;", Actor: "ben"})
		}
		res := exec(south, "set policy thrifty for service survey;")
		Expect(res.Change.State).To(Equal(operator.Refused))
		Expect(*res.Change.Conflict).To(Equal(configuration.Conflict{Kind: "workload", Name: "survey", Winner: "ben", Offset: 1}))
		Expect(south.core.Catalog().Workloads["survey"].Value.Policy).To(Equal(configuration.Careful))
		Expect(south.counts["refusal change-refused"]).To(Equal(1))
	})

	It("tells the loser of a race against a cancellation who won", func() {
		south.appended = func() { south.appended = nil; try(north, operator.Request{Text: "cancel survey;", Actor: "ben"}) }
		Expect(exec(south, "set count 9 for service survey;").Change.Conflict.Winner).To(Equal("ben"))
		Expect(exec(south, "declare service survey cpu 1 if absent;").Change.State).To(Equal(operator.Accepted))
	})

	It("refuses to part a workload from its team, whichever comes first", func() {
		exec(south, "declare team guests; declare team others;")
		south.appended = func() { south.appended = nil; exec(north, "declare service a team guests cpu 1;") }
		Expect(exec(south, "remove team guests;").Change.Reason).To(ContainSubstring("workload a still belongs to it"))
		Expect(exec(south, "cancel a; remove team guests;").Change.State).To(Equal(operator.Accepted))
		south.appended = func() { south.appended = nil; exec(north, "remove team others;") }
		Expect(exec(south, "declare service b team others cpu 1;").Change.Conflict.Name).To(Equal("others"))
	})

	It("changes a domain's workers whatever their number and whoever is out of reach", func() {
		north.cut = true
		Expect(exec(south, "declare domain north region west workers a, b, c entries entry-north-1;").Change.State).To(Equal(operator.Accepted))
		north.cut = false
		Expect(exec(south, "declare domain north region west workers survey-north-01, imaging-north-01 entries entry-north-1;").Change.State).To(Equal(operator.Accepted))
	})

	It("refuses a version that is no longer in force, without an append", func() {
		exec(south, "set count 6 for service survey;")
		before := len(s.log)
		Expect(exec(south, "set count 7 for service survey if version 0;").Change.Conflict.Offset).To(BeEquivalentTo(1))
		Expect(exec(south, "declare service survey cpu 1 if absent;").Change.Conflict.Offset).To(BeEquivalentTo(1))
		version := int64(0)
		Expect(try(south, operator.Request{Text: "cancel survey;", IfVersion: &version}).Change.State).To(Equal(operator.Refused))
		Expect(exec(south, "set count 7 for service survey; set policy fast for service survey if version 0;").Change.State).To(Equal(operator.Refused))
		Expect(exec(south, "set count 7 for service survey if version 99;").Change.Reason).To(ContainSubstring("not known here yet"))
		Expect(s.log).To(HaveLen(before))
	})

	It("skips what is in force already", func() {
		before := len(s.log)
		res := exec(south, "declare service survey team crews count 4 cpu 4; return survey-south-01;")
		Expect(res.Change.State).To(Equal(operator.Unchanged))
		Expect(s.log).To(HaveLen(before))
	})

	It("cancels in bulk what its conditions pick", func() {
		exec(south, "declare batch a team crews urgency low cpu 1; declare batch b team crews cpu 1; declare batch c urgency low cpu 1;")
		res := exec(south, "cancel batch where team = crews and urgency = low;")
		Expect(res.Change.Objects).To(HaveLen(1))
		Expect(south.core.Catalog().WorkloadNames()).To(Equal([]string{"b", "c", "survey"}))
	})

	It("shows a diff and changes nothing", func() {
		before := len(s.log)
		res := try(south, operator.Request{Text: "set policy thrifty for team crews; cancel survey;", DiffOnly: true})
		Expect(res.Diff).To(HaveExactElements(HaveField("Detail", "policy fast -> thrifty"), HaveField("Action", operator.Drop)))
		Expect(s.log).To(HaveLen(before))
	})

	It("gives a change that comes again one effect and the first outcome", func() {
		req := operator.Request{Text: "set count 6 for service survey;", ChangeID: "id-1"}
		first, again := try(south, req), try(north, req)
		Expect(again.Change.Offset).To(Equal(first.Change.Offset))
		Expect(s.log).To(HaveLen(2))
	})

	It("answers for the domains in reach and names the others", func() {
		north.cut = true
		res := exec(south, "list tasks; list hosts order by name;")
		Expect(res.Answers[0].Table.Rows).To(HaveLen(2))
		Expect(res.Answers[0].Missing).To(ConsistOf(ContainSubstring("domain north: no scheduler")))
		Expect(res.Answers[1].Table.Rows).To(HaveLen(2))
		north.cut = false
		Expect(exec(south, "list tasks;").Answers[0].Table.Rows).To(HaveLen(4))
	})

	It("answers alike on a host that doesn't hold the term", func() {
		follower := s.add("entry-south-2", "south", nil)
		res := exec(follower, "list tasks; list domains; explain worker survey-south-01;")
		Expect(res.Member.Leader).To(BeFalse())
		Expect(res.Answers[0].Table.Rows).To(HaveLen(4))
		Expect(res.Answers[1].Missing).To(BeEmpty())
		Expect(res.Answers[2].Facts[0].Value).To(Equal("ready"))
		Expect(exec(follower, "set count 6 for service survey;").Change.State).To(Equal(operator.Accepted))
	})

	It("bounds the record of a script and the faults that it names", func() {
		var many, wrong strings.Builder
		for i := range 7000 {
			fmt.Fprintf(&many, "declare batch b%d cpu 1 memory 1GiB run 1m homes south 1;\n", i)
			fmt.Fprintf(&wrong, "cancel x%d;\n", i)
		}
		before := len(s.log)
		Expect(exec(south, many.String()).Change.Reason).To(ContainSubstring("divide the script"))
		Expect(exec(south, wrong.String()).Faults).To(HaveLen(language.MaxFaults))
		Expect(s.log).To(HaveLen(before))
	})

	It("explains by the right kind only, and counts tasks where they are", func() {
		Expect(messages(exec(south, "explain batch survey;"))).To(ConsistOf("it is declared as service, not as batch"))
		res := exec(south, "explain team crews;")
		Expect(res.Answers[0].Table.Rows).To(HaveLen(2))
		Expect(res.Answers[0].Facts).To(ContainElement(operator.Fact{Name: "holds in north", Value: "8 cpu"}))
	})

	It("explains tasks of other domains, and keeps tables through JSON", func() {
		res := exec(south, "explain task survey/0/north/0; list workers where cpu >= 32 order by free-cpu desc limit 2;")
		Expect(res.Answers[0].Facts[0]).To(Equal(operator.Fact{Name: "state", Value: "running"}))
		data, err := json.Marshal(res)
		Expect(err).NotTo(HaveOccurred())
		var back operator.Result
		Expect(json.Unmarshal(data, &back)).To(Succeed())
		Expect(back.Answers[1].Table).To(Equal(res.Answers[1].Table))
	})
})

// settle runs a script in a bubble of virtual time, since it waits for the log.
func settle(t *testing.T, prepare func(n *node), check func(n *node, res operator.Result)) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		_, south, _ := newSite()
		exec(south, domains())
		prepare(south)
		check(south, try(south, operator.Request{Text: "declare service survey cpu 1;", ChangeID: "c"}))
	})
}

func TestLostReplyIsSettled(t *testing.T) {
	settle(t, func(n *node) { n.lossy = true }, func(n *node, res operator.Result) {
		Expect(res.Change.State).To(Equal(operator.Accepted))
		Expect(n.site.log).To(HaveLen(2))
	})
}

func TestOutageIsNotKnownYet(t *testing.T) {
	settle(t, func(n *node) { n.down = true }, func(n *node, res operator.Result) {
		Expect(res.Change.State).To(Equal(operator.Unknown))
		Expect(res.Change.ID).To(Equal("c"))
		Expect(n.counts["retry append-unanswered"]).To(BeNumerically(">", 3))
		n.site.mu.Lock()
		n.down = false
		n.site.mu.Unlock()
		Expect(try(n, operator.Request{Text: "declare service survey cpu 1;", ChangeID: "c"}).Change.State).To(Equal(operator.Accepted))
	})
}

func TestAppendThatIsRepeatedHasOneEffect(t *testing.T) {
	settle(t, func(n *node) {
		n.behind = true
		tries := 0
		n.lossy = true
		n.appended = func() {
			n.site.mu.Lock()
			defer n.site.mu.Unlock()
			if tries++; tries > 1 {
				n.behind = false
			}
		}
	}, func(n *node, res operator.Result) {
		Expect(res.Change.State).To(Equal(operator.Accepted))
		Expect(res.Change.Offset).To(BeEquivalentTo(1))
		Expect(n.site.log).To(HaveLen(3))
		Expect(n.core.Catalog().Workloads["survey"].Version).To(BeEquivalentTo(1))
	})
}
