package sizing

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"
)

// TestPage checks that docs/CAPACITY.md holds what the calculator makes of the measurements.
func TestPage(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	g.Expect(err).NotTo(HaveOccurred())
	m, err := Embedded()
	g.Expect(err).NotTo(HaveOccurred())
	want, err := Replace(page, m)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(page)).To(Equal(string(want)))
}
