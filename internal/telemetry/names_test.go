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

// inCode returns what the expression finds in the sources.
func inCode(t *testing.T, expr string, globs ...string) map[string]bool {
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

func names(list []Name) map[string]bool {
	m := map[string]bool{}
	for _, n := range list {
		m[n.Name] = true
	}
	return m
}

// TestNamesAreThoseOfTheCode checks that what the code measures and decides is
// what is registered.
func TestNamesAreThoseOfTheCode(t *testing.T) {
	g := NewWithT(t)
	g.Expect(inCode(t, `[oO]bserve\("([a-z-]+)"`, "node/*.go", "noded/*.go")).To(Equal(names(Times)))
	g.Expect(inCode(t, `Decision\{Kind:\s*"([a-z-]+)"`, "dispatch/*.go")).To(Equal(names(Decisions)))
	g.Expect(inCode(t, `return "([a-z]+)"`, "node/views.go")).To(Equal(names(Views)))
}

// TestPageHoldsTheTables checks that docs/operators.md shows exactly what is registered.
func TestPageHoldsTheTables(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("../../docs/operators.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, list := range []struct {
		title string
		names []Name
	}{{"Metrics of a node", Metrics}, {"Times", Times}, {"Ages of views", Views}, {"Decisions of the holder", Decisions}} {
		_, section, found := strings.Cut(string(data), "### "+list.title+"\n")
		g.Expect(found).To(BeTrue(), list.title)
		section, _, _ = strings.Cut(section, "\n#")
		var shown, wanted []string
		for line := range strings.Lines(section) {
			if strings.HasPrefix(line, "| `") {
				shown = append(shown, strings.TrimSpace(line))
			}
		}
		for _, n := range list.names {
			wanted = append(wanted, fmt.Sprintf("| `%s` | %s | %s |", n.Name, n.Unit, n.Meaning))
		}
		g.Expect(shown).To(Equal(wanted), list.title)
	}
}

// TestServedNames checks that every metric is served under its name.
func TestServedNames(t *testing.T) {
	g := NewWithT(t)
	tel, err := New("test")
	g.Expect(err).NotTo(HaveOccurred())
	yes := func() bool { return true }
	g.Expect(tel.Watch(Watched{Holds: yes, Ready: yes, Ages: func() map[string]time.Duration {
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
	g.Expect(served).To(Equal(names(Metrics)))
	g.Expect(w.Body.String()).To(ContainSubstring(`mimosaspool_reasons_total{kind="refusal",reason="no-queue"} 2`))
	g.Expect(w.Body.String()).To(MatchRegexp(`mimosaspool_time_seconds_bucket\{name="accept",le="0.025"\} 1`))
	g.Expect(w.Body.String()).To(ContainSubstring(`mimosaspool_view_age_seconds{view="jobs"} 1`))
}
