package language_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/language"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// drawStep draws a step that depends on some of those before it.
func drawStep(t *rapid.T, number int) workflow.Step {
	amount := rapid.Int64Range(0, 5000)
	flag := rapid.Bool()
	name := rapid.OneOf(rapid.Just(""), rapid.StringMatching("[a-z0-9-]{1,6}"), rapid.String())
	s := workflow.Step{Count: rapid.IntRange(1, 9).Draw(t, "count"),
		Size:           workflow.Size{MilliCPU: amount.Draw(t, "cpu"), MemoryMiB: amount.Draw(t, "memory"), Accelerators: amount.Draw(t, "accelerators")},
		EstimateMillis: amount.Draw(t, "run"), Checkpointing: flag.Draw(t, "checkpointing"), Gang: flag.Draw(t, "gang"),
		SameRack: flag.Draw(t, "same rack"), Requires: name.Draw(t, "requires"), DataRack: name.Draw(t, "rack"),
		MaxPerWorker: int(amount.Draw(t, "most")), Speculative: flag.Draw(t, "speculative"), LongRunning: flag.Draw(t, "long"),
		Image: name.Draw(t, "image"), TargetLatencyMillis: amount.Draw(t, "target"), Filler: flag.Draw(t, "filler"),
		DisruptionBudget: int(amount.Draw(t, "budget"))}
	for d := range number {
		if flag.Draw(t, "after") {
			s.DependsOn = append(s.DependsOn, d)
		}
	}
	return s
}

// TestJobsAreReadBack checks that what FormatJob writes declares the same job.
func TestJobsAreReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := workflow.Job{ID: rapid.StringMatching("[0-9a-f]{16}").Draw(t, "id"), Queue: rapid.StringMatching("[a-z]{1,8}|step|job").Draw(t, "queue"),
			Spec: rapid.String().Draw(t, "spec")}
		if job.ScheduledOccurrences = rapid.IntRange(0, 3).Draw(t, "times"); job.ScheduledOccurrences > 0 {
			job.FirstDueMillis = rapid.Int64Range(0, 4e12).Draw(t, "first")
			job.IntervalMillis = rapid.Int64Range(0, 1e9).Draw(t, "interval")
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
			job.Steps = append(job.Steps, drawStep(t, i))
		}
		text := language.FormatJob(&job)
		script, err := language.Parse(text)
		if err != nil {
			t.Fatalf("%s\n%v", text, err)
		}
		g := NewWithT(t)
		g.Expect(script.Statements).To(HaveLen(1))
		g.Expect(script.Statements[0].Declare.Job.Value(time.Now())).To(Equal(job), text)
	})
}

var _ = Describe("Statements of nodes", func() {
	const id = "00000000000000aa"
	DescribeTable("are told from the others", func(text string, ofNodes, changes bool) {
		s, err := language.Parse(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Statements[0].OfNodes()).To(Equal(ofNodes))
		Expect(s.Statements[0].Changes()).To(Equal(changes))
	},
		Entry(nil, "declare job "+id+" queue q step count 2;", true, true),
		Entry(nil, "cancel job "+id+";", true, true),
		Entry(nil, "list jobs where queue = q and tasks > 3 order by accepted desc limit 2;", true, false),
		Entry(nil, "list steps of "+id+" where waiting > 0;", true, false),
		Entry(nil, "list workers of dispatcher where free-cpu > 2;", true, false),
		Entry(nil, "list members; show holder;", true, false),
		Entry(nil, "explain job "+id+";", true, false),
		Entry("a workload of that name", "cancel job;", false, true),
		Entry("a workload of that name among others", "cancel job, sonar;", false, true),
		Entry(nil, "list workers where domain = d;", false, false),
	)

	It("counts a span as a first time from now on", func() {
		s, err := language.Parse("declare job " + id + " queue q spec \"a; \\\"b\\\" # c\" first 10s interval 1h times 3 step cpu 1 step cpu 1 after 0;")
		Expect(err).NotTo(HaveOccurred())
		job := s.Statements[0].Declare.Job.Value(time.UnixMilli(5000))
		Expect(job.FirstDueMillis).To(BeEquivalentTo(15000))
		Expect(job.IntervalMillis).To(BeEquivalentTo(3600000))
		Expect(job.Spec).To(Equal(`a; "b" # c`))
	})

	It("makes the schedulers' list of workers the nodes'", func() {
		s, err := language.Parse("list workers where domain = d;")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.ToNodes(s.Statements[0])[0].Message).To(ContainSubstring("column of workers of dispatcher"))
		Expect(s.Statements[0].OfNodes()).To(BeTrue())
	})

	DescribeTable("are refused with", func(text, message string) {
		Expect(faults(text)[0].Message).To(ContainSubstring(message))
	},
		Entry("an ID that is none", "declare job x queue q step cpu 1;", "16 hexadecimal digits"),
		Entry("no queue", "declare job "+id+" step cpu 1;", "queue is missing"),
		Entry("a later step", "declare job "+id+" queue q step cpu 1 after 0;", "an earlier step"),
		Entry("half a schedule", "declare job "+id+" queue q first 3s step cpu 1;", "times is missing"),
		Entry("a bad time", "declare job "+id+" queue q first noon times 2 step cpu 1;", "must be a time"),
		Entry("a setting twice", "declare job "+id+" queue q step cpu 1 cpu 2;", "stands twice"),
		Entry("no step", "declare job "+id+" queue q;", "ends too early"),
		Entry("a flag that is none", "declare job "+id+" queue q step gang maybe;", "yes, no"),
		Entry("too many tasks", "declare job "+id+" queue q step count 15000 step count 15000;", "tasks"),
		Entry("a broken text", "declare job "+id+` queue q spec "\q" step cpu 1;`, "not a text in quotes"),
		Entry("a version", "cancel job "+id+" if version 3;", "no versions"),
		Entry("steps of nothing", "list steps;", "list steps of ID"),
		Entry("jobs of something", "list jobs of x;", "of something"),
		Entry("another thing to show", "show holders;", "unknown object"),
	)
})
