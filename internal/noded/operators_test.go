package noded

import (
	"testing"

	. "github.com/onsi/gomega"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/mimosaspool/mimosaspool/internal/console"
	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/node"
	"github.com/mimosaspool/mimosaspool/internal/telemetry"
)

// TestOperatorsJobsAreLogged checks the lines that a job's story is told from.
func TestOperatorsJobsAreLogged(t *testing.T) {
	g := NewWithT(t)
	log, hook := logtest.NewNullLogger()
	tel, err := telemetry.New("test")
	g.Expect(err).NotTo(HaveOccurred())
	d := &daemon{log: log, telemetry: tel, node: node.New(node.Settings{Node: "a"}, node.Dependencies{}, log, "a:1", "x", 0)}
	for kind, h := range map[string]console.Handed{
		"job-accepted":   {Job: "00aa", Queue: "q"},
		"job-refused":    {Job: "00aa", Outcome: intake.Outcome{Code: intake.QueueNotFound, Reason: "no-queue"}},
		"cancel-unknown": {Job: "00aa", Cancel: true, Outcome: intake.Outcome{Code: intake.OutcomeUnknown, Reason: "store-unanswered"}},
	} {
		d.handed(h)
		got := hook.LastEntry().Data
		g.Expect(got).To(HaveKeyWithValue("kind", kind))
		g.Expect(got).To(HaveKeyWithValue("job", "00aa"))
		g.Expect(got).To(HaveKeyWithValue("by", "operator"))
		if h.Outcome.Reason != "" {
			g.Expect(got).To(HaveKeyWithValue("reason", h.Outcome.Reason))
		}
	}
}
