package workflow

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// TestValidateNamesTheInvalidField checks that each kind of invalid job is
// rejected with the name of the field at fault.
func TestValidateNamesTheInvalidField(t *testing.T) {
	valid := func() Job { return Job{ID: "a", Steps: []Step{{Count: 1}, {Count: 2, DependsOn: []int{0}}}} }
	for field, edits := range map[string][]func(*Job){
		"spec": {func(j *Job) { j.Spec = string(make([]byte, MaxSpecBytes+1)) }},
		"schedule": {
			func(j *Job) { j.ScheduledOccurrences = -1 }, func(j *Job) { j.ScheduledOccurrences = MaxOccurrences + 1 }, func(j *Job) { j.IntervalMillis = -1 },
		},
		"steps": {
			func(j *Job) { j.Steps = nil }, func(j *Job) { j.Steps = make([]Step, MaxSteps+1) },
			func(j *Job) { j.Steps[0].Count = 0 }, func(j *Job) { j.Steps[0].Count = MaxTasks },
			func(j *Job) { j.Steps[0].Size.MemoryMiB = -1 }, func(j *Job) { j.Steps[0].MaxPerWorker = -1 },
			func(j *Job) { j.Steps[0].DependsOn = []int{0} }, func(j *Job) { j.Steps[1].DependsOn = []int{-1} },
		},
	} {
		g := NewWithT(t)
		for _, edit := range edits {
			j := valid()
			g.Expect(j.Validate()).To(Succeed())
			edit(&j)
			var invalid *InvalidError
			g.Expect(errors.As(j.Validate(), &invalid)).To(BeTrue())
			g.Expect(invalid.Field).To(Equal(field))
		}
	}
}

// TestTaskIDRoundTrip checks that ParseTaskID restores what TaskID.String wrote
// and rejects malformed IDs.
func TestTaskIDRoundTrip(t *testing.T) {
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

// A gang whose tasks can't all start at the same time must be refused when it is submitted, and
// kept if an earlier version has accepted it.
func TestGangsAreBoundedWhenSubmitted(t *testing.T) {
	g := NewWithT(t)
	job := func(s Step) *Job { return &Job{Steps: []Step{{Count: 1}, s}} }
	g.Expect(job(Step{Count: MaxGangTasks, Gang: true}).ValidateGangs()).To(Succeed())
	g.Expect(job(Step{Count: MaxTasks - 1}).ValidateGangs()).To(Succeed())
	large := job(Step{Count: MaxGangTasks + 1, Gang: true})
	var invalid *InvalidError
	g.Expect(errors.As(large.ValidateGangs(), &invalid)).To(BeTrue())
	g.Expect(large.Validate()).To(Succeed())
}
