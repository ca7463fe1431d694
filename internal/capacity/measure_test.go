package capacity

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/sizing"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Capacity")
}

var _ = ginkgo.Describe("The measurements", func() {
	ginkgo.It("that the calculator holds are all of them", func() {
		m, err := sizing.Embedded()
		Expect(err).NotTo(HaveOccurred())
		for _, q := range measurements() {
			Expect(sizing.ByName(m.Slopes)).To(HaveKey(q.name))
		}
	})
})

var _ = ginkgo.Describe("fit", func() {
	ginkgo.It("finds the line and names growth above linear", func() {
		s := fit("n", "x", "us", []sizing.Point{{X: 1, Y: 3}, {X: 2, Y: 5}, {X: 4, Y: 9}})
		Expect(s.Base).To(BeNumerically("~", 1, 1e-9))
		Expect(s.Per).To(BeNumerically("~", 2, 1e-9))
		Expect(s.Residual).To(BeNumerically("<", 1e-9))
		Expect(fit("n", "x", "us", []sizing.Point{{X: 1, Y: 1}, {X: 10, Y: 100}, {X: 100, Y: 10000}}).Exponent).To(BeNumerically(">", 1.9))
	})
})
