package docs_test

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/telemetry"
)

// labelled finds metrics with one or two labels on a page.
var labelled = regexp.MustCompile(`(mimosaspool_[a-z_]+)(?:\{([^}]*)\})?`)

// label finds the labels within.
var label = regexp.MustCompile(`([a-z]+)=~?"([^"]*)"`)

func namesOf(list []telemetry.Definition) []string {
	var out []string
	for _, n := range list {
		out = append(out, n.Name)
	}
	return out
}

// TestAlertsNameWhatIsServed checks that docs/OPERATIONS.md names metrics, times
// and views that a node serves, and reasons that docs/operators.md tells.
func TestAlertsNameWhatIsServed(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	reasons, err := os.ReadFile("operators.md")
	g.Expect(err).NotTo(HaveOccurred())
	known := map[string][]string{"name": namesOf(telemetry.Times), "view": namesOf(telemetry.Views)}
	found := 0
	for _, m := range labelled.FindAllStringSubmatch(string(page), -1) {
		found++
		g.Expect(namesOf(telemetry.Metrics)).To(ContainElement(m[1]))
		for _, l := range label.FindAllStringSubmatch(m[2], -1) {
			for _, value := range strings.Split(strings.ReplaceAll(l[2], `\|`, "|"), "|") {
				switch l[1] {
				case "kind":
					g.Expect(string(reasons)).To(ContainSubstring("| "+value), m[0])
				case "reason":
					first, _, _ := strings.Cut(value, "-")
					ok := strings.Contains(string(reasons), "`"+value+"`") || strings.Contains(string(reasons), "`"+first+"-`")
					g.Expect(ok).To(BeTrue(), m[0])
				default:
					g.Expect(slices.Contains(known[l[1]], value)).To(BeTrue(), m[0])
				}
			}
		}
	}
	g.Expect(found).To(BeNumerically(">", 15))
}
