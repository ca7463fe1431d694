package measure

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

// short returns the first part of the day's peak.
func short(t *testing.T, length time.Duration) *Trace {
	day, err := load("../../test/traces/tallowood-day.trace")
	if err != nil {
		t.Fatal(err)
	}
	out := &Trace{Site: day.Site, Length: length, Workers: day.Workers}
	for _, j := range day.Jobs {
		if j.Spec.Kind != configuration.Service {
			j.At -= day.Length / 2
		}
		if j.At >= 0 && j.At < length {
			out.Jobs = append(out.Jobs, j)
		}
	}
	return out
}

func TestRecordedDaysAreTheGenerators(t *testing.T) {
	g := NewWithT(t)
	for site := range sites {
		var b bytes.Buffer
		g.Expect(Generate(site, 1).Write(&b)).To(Succeed())
		read, err := load("../../test/traces/" + site + "-day.trace")
		g.Expect(err).NotTo(HaveOccurred())
		var again bytes.Buffer
		g.Expect(read.Write(&again)).To(Succeed())
		g.Expect(again.String()).To(Equal(b.String()))
	}
	_, err := Read(strings.NewReader("site x 1\njob 1 d0 batch\n"))
	g.Expect(err).To(MatchError(ContainSubstring("line 2")))
}

func TestEveryPolicyKeepsThePromises(t *testing.T) {
	g := NewWithT(t)
	trace := short(t, time.Minute)
	bound := bounds(trace)
	for _, p := range Policies {
		for _, faults := range []bool{false, true} {
			row := Run(trace, configuration.Policy(p), faults, 1)
			g.Expect(row.Breaches).To(BeEmpty(), p)
			g.Expect(row.Unstarted).To(BeZero(), p)
			g.Expect(quantile(row.All, 0.99)).To(BeNumerically(">=", bound.P99), p)
		}
	}
}

func TestBoundOfFullCell(t *testing.T) {
	g := NewWithT(t)
	list := map[string][]piece{"d": nil}
	for range 40 {
		list["d"] = append(list["d"], piece{0, 10, [3]float64{1, 0, 0}})
	}
	total := map[string][3]float64{"d": {10, 1, 1}}
	// Ten at a time: the last ten can't start before 30 s. The windows are
	// coarse, so the bound may lie below.
	wait := leastWait(list, total, 0, 40)
	g.Expect(wait).To(BeNumerically("<=", 30.1))
	g.Expect(wait).To(BeNumerically(">", 25))
	g.Expect(leastWait(list, total, 30, 40)).To(BeNumerically("<", 0.1))
}
