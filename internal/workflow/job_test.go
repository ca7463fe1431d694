package workflow

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func TestCheckNamesWhatIsWrong(t *testing.T) {
	valid := func() Job { return Job{ID: "a", Steps: []Step{{Count: 1}, {Count: 2, DependsOn: []int{0}}}} }
	for field, edits := range map[string][]func(*Job){
		"spec": {func(j *Job) { j.Spec = string(make([]byte, MaxSpecBytes+1)) }},
		"schedule": {
			func(j *Job) { j.Times = -1 }, func(j *Job) { j.Times = MaxOccurrences + 1 }, func(j *Job) { j.IntervalMillis = -1 },
		},
		"steps": {
			func(j *Job) { j.Steps = nil }, func(j *Job) { j.Steps = make([]Step, MaxSteps+1) },
			func(j *Job) { j.Steps[0].Count = 0 }, func(j *Job) { j.Steps[0].Count = MaxTasks },
			func(j *Job) { j.Steps[0].Size.MemoryMiB = -1 }, func(j *Job) { j.Steps[0].MostPerWorker = -1 },
			func(j *Job) { j.Steps[0].DependsOn = []int{0} }, func(j *Job) { j.Steps[1].DependsOn = []int{-1} },
		},
	} {
		g := NewWithT(t)
		for _, edit := range edits {
			j := valid()
			g.Expect(j.Check()).To(Succeed())
			edit(&j)
			var invalid *InvalidError
			g.Expect(errors.As(j.Check(), &invalid)).To(BeTrue())
			g.Expect(invalid.Field).To(Equal(field))
		}
	}
}

func TestTaskNamesAreReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 1<<20)
		id := TaskID{StepID{rapid.StringMatching("[0-9a-f]{16}").Draw(t, "job"), n.Draw(t, "k"), n.Draw(t, "step")}, n.Draw(t, "index")}
		back, err := ParseTaskID(id.String())
		if err != nil || back != id {
			t.Fatalf("%v became %v: %v", id, back, err)
		}
	})
	g := NewWithT(t)
	for _, bad := range []string{"", "a.0.0", "a.0.0.0.0", "a.x.0.0", "a.0.-1.0"} {
		_, err := ParseTaskID(bad)
		g.Expect(err).To(HaveOccurred(), bad)
	}
}

func TestProgressIsReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		numbers := rapid.SliceOfDistinct(rapid.IntRange(0, 300), func(n int) int { return n }).Draw(t, "numbers")
		p := Progress{Started: true, Occurrences: []OccurrenceProgress{{Number: 2, Steps: []StepProgress{{Step: 1}}}}}
		s := &p.Occurrences[0].Steps[0]
		for _, n := range numbers {
			s.Done.Set(n)
			if s.Failures == nil {
				s.Failures = map[int]int{}
			}
			s.Failures[n] = n + 1
		}
		b, err := json.Marshal(p)
		g.Expect(err).NotTo(HaveOccurred())
		var back Progress
		g.Expect(json.Unmarshal(b, &back)).To(Succeed())
		g.Expect(back).To(Equal(p))
		for n := range 310 {
			_, in := s.Failures[n]
			g.Expect(back.Occurrences[0].Steps[0].Done.Has(n)).To(Equal(in))
		}
	})
}

func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	g := NewWithT(t)
	c := &Catalog{Queues: map[string]Queue{
		"short": {Name: "short", Host: "h", Prefix: "/a"}, "long": {Name: "long", Host: "h", Prefix: "/a/b/"},
		"other": {Name: "other", Host: "i", Prefix: "/a/b/c"},
	}}
	q, rest, ok := c.Match("h", "/a/b/c")
	g.Expect(ok).To(BeTrue())
	g.Expect(q.Name).To(Equal("long"))
	g.Expect(rest).To(Equal("c"))
	_, _, ok = c.Match("h", "/b")
	g.Expect(ok).To(BeFalse())
}

func TestOccurrencesAreDueInTurn(t *testing.T) {
	g := NewWithT(t)
	j := Job{Times: 3, FirstMillis: 1000, IntervalMillis: 10}
	g.Expect(j.Occurrences()).To(Equal(3))
	g.Expect(j.Due(2)).To(Equal(int64(1020)))
	g.Expect((&Job{FirstMillis: 5}).Due(0)).To(BeZero())
	g.Expect((&Job{}).Occurrences()).To(Equal(1))
	s := Step{Size: Size{MilliCPU: 5, MemoryMiB: 6}, Filler: true}
	g.Expect(s.Counted()).To(Equal(Size{MemoryMiB: 6}))
}
