package language

import (
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Job declares a job of one or more steps, which a node takes in.
type Job struct {
	ID      *Word        `parser:"@@"`
	Options []*JobOption `parser:"@@*"`
	Steps   []*Step      `parser:"( 'step' @@ )+"`
}

// Text is a word, or any text in quotes.
type Text struct {
	Pos  lexer.Position
	Text string `parser:"@( Word | String )"`
}

// JobOption is one setting of a job as a whole.
type JobOption struct {
	Pos   lexer.Position
	Key   string `parser:"@( 'queue' | 'spec' | 'first' | 'interval' | 'times' )"`
	Value *Text  `parser:"@@"`
}

// Step is one step of a job.
type Step struct {
	Pos     lexer.Position
	Options []*StepOption `parser:"@@+"`
	After   []*Word       `parser:"( 'after' @@ ( ',' @@ )* )?"`
}

// StepOption is one setting of a step's tasks.
type StepOption struct {
	Pos lexer.Position
	Key string `parser:"@( 'count' | 'cpu' | 'memory' | 'accelerators' | 'run' | 'gang' | 'same-rack' | 'requires' | 'rack' | 'most-per-worker' | 'speculative' | 'checkpointing' | 'long-running' | 'filler' | 'image' | 'target' | 'disruption-budget' )"`
	// Value is a name or an amount.
	Value *Text `parser:"@@"`
}

// OfNodes reports whether the statement is for the nodes rather than for the
// schedulers.
func (s *Statement) OfNodes() bool {
	switch {
	case s.Declare != nil:
		return s.Declare.Job != nil
	case s.List != nil:
		return s.List.Of != nil || s.List.What.Text == "jobs" || s.List.What.Text == "members"
	case s.Explain != nil:
		return s.Explain.Kind.Text == "job"
	}
	return s.CancelJob != nil || s.Show != nil
}

// ToNodes makes a list that schedulers and nodes both have one of the nodes',
// and returns the faults that it then has.
func (s *Script) ToNodes(st *Statement) Faults {
	if l := st.List; l != nil && l.What.Text == "workers" && l.Of == nil {
		l.Of = &Word{Pos: l.What.Pos, Text: "dispatcher"}
		return s.check(st)
	}
	return nil
}

// Name returns the name of the list, which its columns go by.
func (l *List) Name() string {
	switch {
	case l.Of == nil:
		return l.What.Text
	case l.What.Text == "workers" && l.Of.Text == "dispatcher":
		return "workers of dispatcher"
	}
	return l.What.Text + " of"
}

var jobIDPattern = regexp.MustCompile(`^[0-9A-Fa-f]{16}$`)

func checkJobID(s string) error {
	if !jobIDPattern.MatchString(s) {
		return valueError("a job's ID has 16 hexadecimal digits")
	}
	return nil
}

// unquoted returns what a text says.
func (t *Text) unquoted() (string, error) {
	if !strings.HasPrefix(t.Text, `"`) {
		return t.Text, nil
	}
	s, err := strconv.Unquote(t.Text)
	if err != nil {
		return "", valueError(`not a text in quotes: write \" for a quote and \\ for a backslash`)
	}
	return s, nil
}

func (c *checker) job(j *Job) {
	c.bad(j.ID, checkJobID(j.ID.Text))
	var job workflow.Job
	seen := map[string]bool{}
	for _, o := range j.Options {
		c.once(seen, o.Pos, o.Key)
		c.badText(o.Value, o.apply(&job, time.Now()))
	}
	if !seen["queue"] {
		c.faults = append(c.faults, c.script.Fault(j.ID, "the queue is missing"))
	}
	if !seen["times"] && (seen["first"] || seen["interval"]) {
		c.faults = append(c.faults, c.script.Fault(j.ID, "a schedule says how often: times is missing"))
	}
	for i, s := range j.Steps {
		seen := map[string]bool{}
		step := workflow.Step{Count: 1}
		for _, o := range s.Options {
			c.once(seen, o.Pos, o.Key)
			c.badText(o.Value, o.apply(&step))
		}
		for _, w := range s.After {
			if n, err := integer(w.Text, 0, workflow.MaxSteps); err != nil || int(n) >= i {
				c.faults = append(c.faults, c.script.Fault(w, "must be the number of an earlier step; the first is 0"))
			} else {
				step.DependsOn = append(step.DependsOn, int(n))
			}
		}
		job.Steps = append(job.Steps, step)
	}
	if len(c.faults) > 0 {
		return
	}
	if err := job.Validate(); err != nil {
		c.faults = append(c.faults, c.script.Fault(j.ID, "%s", err.Error()))
	}
}

func (c *checker) once(seen map[string]bool, pos lexer.Position, key string) {
	if seen[key] {
		c.faults = append(c.faults, c.script.faultAt(pos, key, "stands twice"))
	}
	seen[key] = true
}

func (c *checker) badText(t *Text, err error) {
	if err != nil {
		c.faults = append(c.faults, c.script.faultAt(t.Pos, t.Text, err.Error()))
	}
}

// Value returns the job that a checked statement declares. A first time that is
// given as a span counts from now on.
func (j *Job) Value(now time.Time) workflow.Job {
	job := workflow.Job{ID: j.ID.Text}
	for _, o := range j.Options {
		_ = o.apply(&job, now)
	}
	for _, s := range j.Steps {
		step := workflow.Step{Count: 1}
		for _, o := range s.Options {
			_ = o.apply(&step)
		}
		for _, w := range s.After {
			n, _ := integer(w.Text, 0, workflow.MaxSteps)
			step.DependsOn = append(step.DependsOn, int(n))
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

func (o *JobOption) apply(job *workflow.Job, now time.Time) error {
	s, err := o.Value.unquoted()
	if err != nil {
		return err
	}
	var n int64
	switch o.Key {
	case "queue":
		job.Queue = s
	case "spec":
		job.Spec = s
	case "first":
		job.FirstDueMillis, err = instant(s, now)
	case "interval":
		job.IntervalMillis, err = runTime(s)
	case "times":
		n, err = integer(s, 1, workflow.MaxOccurrences)
		job.ScheduledOccurrences = int(n)
	}
	return err
}

// instant reads a time of day, or a span that counts from now on.
func instant(s string, now time.Time) (int64, error) {
	if d, err := time.ParseDuration(s); err == nil && d >= 0 && d <= maxRunTime {
		return now.Add(d).UnixMilli(), nil
	}
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return 0, valueError(`must be a time such as "2027-01-02T10:00:00Z", or a span from now on such as 10s`)
	}
	return t.UnixMilli(), nil
}

func (o *StepOption) apply(step *workflow.Step) error {
	s, err := o.Value.unquoted()
	if err != nil {
		return err
	}
	if o.applyFlag(step, s, &err) {
		return err
	}
	var n int64
	switch o.Key {
	case "count":
		n, err = integer(s, 1, workflow.MaxTasks)
		step.Count = int(n)
	case "cpu":
		step.Size.MilliCPU, err = cores(s)
	case "memory":
		step.Size.MemoryMiB, err = memory(s)
	case "accelerators":
		step.Size.Accelerators, err = integer(s, 1, maxCount)
	case "run":
		step.EstimateMillis, err = runTime(s)
	case "requires":
		step.Requires = s
	case "rack":
		step.DataRack = s
	case "image":
		step.Image = s
	case "most-per-worker":
		n, err = integer(s, 1, math.MaxInt32)
		step.MaxPerWorker = int(n)
	case "target":
		step.TargetLatencyMillis, err = runTime(s)
	case "disruption-budget":
		n, err = integer(s, 1, math.MaxInt32)
		step.DisruptionBudget = int(n)
	}
	return err
}

// stepFlags are the settings of a step that are yes or no, in the order in
// which they are written.
var stepFlags = []struct {
	key string
	of  func(*workflow.Step) *bool
}{
	{"gang", func(s *workflow.Step) *bool { return &s.Gang }},
	{"same-rack", func(s *workflow.Step) *bool { return &s.SameRack }},
	{"speculative", func(s *workflow.Step) *bool { return &s.Speculative }},
	{"checkpointing", func(s *workflow.Step) *bool { return &s.Checkpointing }},
	{"long-running", func(s *workflow.Step) *bool { return &s.LongRunning }},
	{"filler", func(s *workflow.Step) *bool { return &s.Filler }},
}

func (o *StepOption) applyFlag(step *workflow.Step, s string, err *error) bool {
	for _, f := range stepFlags {
		if f.key == o.Key {
			var yes string
			yes, *err = oneOf(s, "yes", "no")
			*f.of(step) = yes == "yes"
			return true
		}
	}
	return false
}

// FormatJob writes the statement that declares a job.
func FormatJob(j *workflow.Job) string {
	var b strings.Builder
	put := func(words ...string) {
		for _, w := range words {
			b.WriteByte(' ')
			b.WriteString(w)
		}
	}
	b.WriteString("declare job " + j.ID)
	put("queue", quoted(j.Queue))
	if j.Spec != "" {
		put("spec", strconv.Quote(j.Spec))
	}
	if j.ScheduledOccurrences > 0 {
		put("first", strconv.Quote(time.UnixMilli(j.FirstDueMillis).UTC().Format(time.RFC3339Nano)))
		if j.IntervalMillis > 0 {
			put("interval", span(j.IntervalMillis))
		}
		put("times", strconv.Itoa(j.ScheduledOccurrences))
	}
	for i := range j.Steps {
		b.WriteString("\n  step")
		formatStep(&j.Steps[i], put)
	}
	b.WriteByte(';')
	return b.String()
}

func formatStep(s *workflow.Step, put func(...string)) {
	number := func(key string, n int64) {
		if n > 0 {
			put(key, strconv.FormatInt(n, 10))
		}
	}
	name := func(key, s string) {
		if s != "" {
			put(key, quoted(s))
		}
	}
	put("count", strconv.Itoa(s.Count))
	if s.Size.MilliCPU > 0 {
		put("cpu", strconv.FormatFloat(float64(s.Size.MilliCPU)/1000, 'f', -1, 64))
	}
	if s.Size.MemoryMiB > 0 {
		put("memory", FormatMemory(s.Size.MemoryMiB))
	}
	number("accelerators", s.Size.Accelerators)
	if s.EstimateMillis > 0 {
		put("run", span(s.EstimateMillis))
	}
	for _, f := range stepFlags {
		if *f.of(s) {
			put(f.key, "yes")
		}
	}
	name("requires", s.Requires)
	name("rack", s.DataRack)
	name("image", s.Image)
	number("most-per-worker", int64(s.MaxPerWorker))
	if s.TargetLatencyMillis > 0 {
		put("target", span(s.TargetLatencyMillis))
	}
	number("disruption-budget", int64(s.DisruptionBudget))
	for i, d := range s.DependsOn {
		if i == 0 {
			put("after", strconv.Itoa(d))
		} else {
			put(",", strconv.Itoa(d))
		}
	}
}

func span(millis int64) string { return (time.Duration(millis) * time.Millisecond).String() }

var plainText = regexp.MustCompile(`^[A-Za-z0-9_./\[\]-]+$`)

// quoted writes a text as a word where that is possible.
func quoted(s string) string {
	if plainText.MatchString(s) {
		return s
	}
	return strconv.Quote(s)
}
