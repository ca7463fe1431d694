package scheduler_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

var _ = Describe("Core's queries", func() {
	It("include a domain declared at offset 0 after the core read an empty log", func() {
		c := scheduler.New(scheduler.DefaultSettings("h1", "1", "d"))
		c.Step(0, scheduler.LogRead{})
		data, err := configuration.Encode(configuration.Record{ID: "a", Ops: []configuration.Op{
			{Domain: &configuration.Domain{Name: "d", Workers: []string{"w1"}, Entries: []string{"h1"}}},
		}})
		Expect(err).NotTo(HaveOccurred())
		c.Step(0, scheduler.LogRead{Records: []configuration.Numbered{{Data: data}}})
		Expect(c.Workers()).To(HaveLen(1))
		Expect(c.ExplainWorker("w1").Changes).To(ConsistOf(ContainSubstring("list of hosts must show w1")))
		Expect(c.ExplainWorker("w2")).To(BeNil())
	})
})
