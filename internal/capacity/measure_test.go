package capacity

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Capacity")
}

var _ = ginkgo.Describe("fit", func() {
	ginkgo.It("finds the line and names growth above linear", func() {
		s := fit("n", "x", "us", []Point{{1, 3}, {2, 5}, {4, 9}})
		Expect(s.Base).To(BeNumerically("~", 1, 1e-9))
		Expect(s.Per).To(BeNumerically("~", 2, 1e-9))
		Expect(s.Residual).To(BeNumerically("<", 1e-9))
		Expect(fit("n", "x", "us", []Point{{1, 1}, {10, 100}, {100, 10000}}).Exponent).To(BeNumerically(">", 1.9))
	})
})
