package telemetry

import (
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// findInSources returns the first submatch of each match of the expression in the
// non-test source files.
func findInSources(t *testing.T, expr string, globs ...string) map[string]bool {
	re := regexp.MustCompile(expr)
	found := map[string]bool{}
	for _, glob := range globs {
		files, err := filepath.Glob(filepath.Join("..", glob))
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		for _, f := range files {
			if strings.HasSuffix(f, "_test.go") {
				continue
			}
			data, err := os.ReadFile(f)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			for _, m := range re.FindAllStringSubmatch(string(data), -1) {
				found[m[1]] = true
			}
		}
	}
	return found
}

func nameSet(list []Definition) map[string]bool {
	m := map[string]bool{}
	for _, n := range list {
		m[n.Name] = true
	}
	return m
}

// A time, view or decision that the code adds or drops without its definition
// would be missing from, or wrongly listed on, the operators' page.
func TestDefinitionsMatchCode(t *testing.T) {
	g := NewWithT(t)
	g.Expect(findInSources(t, `[oO]bserve\("([a-z-]+)"`, "node/*.go", "noded/*.go")).To(Equal(nameSet(Times)))
	g.Expect(findInSources(t, `Decision\{Kind:\s*"([a-z-]+)"`, "dispatch/*.go")).To(Equal(nameSet(Decisions)))
	g.Expect(findInSources(t, `return "([a-z]+)"`, "node/viewtracker.go")).To(Equal(nameSet(Views)))
}

// The tables in docs/operators.md must list exactly the definitions, in the same
// order and with the same texts.
func TestOperatorsPageMatchesDefinitions(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("../../docs/operators.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, list := range []struct {
		title string
		names []Definition
	}{{"Metrics of a node", Metrics}, {"Times", Times}, {"Ages of views", Views}, {"Decisions of the holder", Decisions}} {
		_, section, found := strings.Cut(string(data), "### "+list.title+"\n")
		g.Expect(found).To(BeTrue(), list.title)
		section, _, _ = strings.Cut(section, "\n#")
		var got, want []string
		for line := range strings.Lines(section) {
			if strings.HasPrefix(line, "| `") {
				got = append(got, strings.TrimSpace(line))
			}
		}
		for _, n := range list.names {
			want = append(want, fmt.Sprintf("| `%s` | %s | %s |", n.Name, n.Unit, n.Description))
		}
		g.Expect(got).To(Equal(want), list.title)
	}
}

// Every defined metric must be served under its name, and no other. The exporter
// derives the served names from the instruments, so that they can differ.
func TestAllMetricsAreServed(t *testing.T) {
	g := NewWithT(t)
	tel, err := New("test")
	g.Expect(err).NotTo(HaveOccurred())
	yes := func() bool { return true }
	g.Expect(tel.RegisterNodeGauges(NodeState{IsLeader: yes, IsReady: yes, ViewAges: func() map[string]time.Duration {
		return map[string]time.Duration{"jobs": time.Second}
	}})).To(Succeed())
	tel.Count("refusal", "no-queue", 2)
	tel.Observe("accept", 20*time.Millisecond)
	w := httptest.NewRecorder()
	tel.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	served := map[string]bool{}
	for _, m := range regexp.MustCompile(`(?m)^# TYPE (\S+)`).FindAllStringSubmatch(w.Body.String(), -1) {
		served[m[1]] = true
	}
	g.Expect(served).To(Equal(nameSet(Metrics)))
	g.Expect(w.Body.String()).To(ContainSubstring(`mimosaspool_reasons_total{kind="refusal",reason="no-queue"} 2`))
	g.Expect(w.Body.String()).To(MatchRegexp(`mimosaspool_time_seconds_bucket\{name="accept",le="0.025"\} 1`))
	g.Expect(w.Body.String()).To(ContainSubstring(`mimosaspool_view_age_seconds{view="jobs"} 1`))
}
