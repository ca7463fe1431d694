package capacity

import (
	"os"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("docs/CAPACITY.md", func() {
	ginkgo.It("holds what the calculator makes of the measurements", func() {
		page, err := os.ReadFile("../../docs/CAPACITY.md")
		Expect(err).NotTo(HaveOccurred())
		m, err := Embedded()
		Expect(err).NotTo(HaveOccurred())
		want, err := Replace(page, m)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(Equal(string(want)))
		for _, q := range measurements() {
			Expect(ByName(m.Slopes)).To(HaveKey(q.name))
		}
	})
})
