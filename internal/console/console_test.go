package console

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	api "github.com/mimosaspool/mimosaspool/api/operator"
	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/language"
	"github.com/mimosaspool/mimosaspool/internal/node"
	"github.com/mimosaspool/mimosaspool/internal/operator"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const testID = "00000000000000aa"

// desk is embedded under a name of its own, since the node has a method Desk.
type desk = intake.Service

// fake is a node that gives set answers.
type fake struct {
	desk
	name       string
	members    []node.Member
	inspection *node.Inspection
	jobs       map[string]node.JobState
	outcome    intake.Outcome
	submitted  []workflow.Job
}

func (f *fake) Name() string               { return f.name }
func (f *fake) Desk() intake.Service       { return f }
func (f *fake) Members() []node.Member     { return f.members }
func (f *fake) JobsViewAge() time.Duration { return 30 * time.Millisecond }
func (f *fake) ViewAges() map[string]time.Duration {
	return map[string]time.Duration{"tenure": 20 * time.Millisecond}
}
func (f *fake) MaxBodyBytes() int64 { return 2000 }

func (f *fake) Inspect(context.Context, node.InspectRequest) (*node.Inspection, error) {
	if f.inspection == nil {
		return nil, node.ErrInspectionTimeout
	}
	return f.inspection, nil
}

func (f *fake) Job(id string) (node.JobState, bool) {
	j, ok := f.jobs[id]
	return j, ok
}

func (f *fake) Queue(name string) (*workflow.Queue, intake.Outcome) {
	if name != "q" {
		return nil, intake.Outcome{Code: intake.QueueNotFound, Reason: "no-queue"}
	}
	return &workflow.Queue{Name: name}, intake.Outcome{}
}

func (f *fake) Submit(_ context.Context, _ *workflow.Queue, job workflow.Job) intake.Outcome {
	f.submitted = append(f.submitted, job)
	return f.outcome
}

func (f *fake) Cancel(context.Context, intake.Caller, *workflow.Queue, string) intake.Outcome {
	return f.outcome
}

func (f *fake) State(context.Context, intake.Caller, *workflow.Queue, string) (workflow.State, intake.Outcome) {
	return "", intake.Outcome{Code: intake.JobNotFound, Reason: "no-job"}
}

func serve(t *testing.T, f *fake) string {
	s := httptest.NewServer(Handler(f, http.DefaultTransport, nil))
	t.Cleanup(s.Close)
	return s.URL
}

// run executes statements and returns the result.
func run(t *testing.T, text string, urls ...string) operator.Result {
	g := NewWithT(t)
	script, err := language.Parse(text)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	res, err := (&Asker{Nodes: urls, HTTP: http.DefaultClient, Once: true}).Execute(ctx, script, false)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.Faults).To(BeEmpty())
	return res
}

func facts(a operator.Answer) map[string]string {
	out := map[string]string{}
	for _, f := range a.Facts {
		out[f.Name] = f.Value
	}
	return out
}

// site returns a holder and another node, which knows of a job that waits.
func site(t *testing.T) (holder, other *fake, urls []string) {
	job := &workflow.Job{ID: testID, Queue: "q", Steps: []workflow.Step{{Count: 3}, {Count: 2, DependsOn: []int{0}, Gang: true}}}
	jobs := map[string]node.JobState{testID: {Job: job, Offset: 5, State: workflow.Running, Progress: workflow.Progress{Ordered: true, Begun: true,
		Occurrences: []workflow.OccurrenceProgress{{Steps: []workflow.StepProgress{{Done: workflow.Bitmap{1}}}}}}}}
	holder = &fake{name: "a", jobs: jobs, inspection: &node.Inspection{At: time.Now(), Dispatching: true,
		Workers: []dispatch.WorkerView{{ID: "w1", Pool: "p", State: "ready", Free: workflow.Size{MilliCPU: 500}, Running: 2}},
		JobDetails: map[string]dispatch.JobView{testID: {Known: true, TimeLeft: 3 * time.Second, Steps: []dispatch.StepView{
			{Tasks: 3, Done: 1, Waiting: 2, Reason: "room", Detail: "room 4, of 4 workers", Waited: 2 * time.Second}}}}}}
	other = &fake{name: "b", jobs: jobs, inspection: &node.Inspection{At: time.Now(), JobDetails: map[string]dispatch.JobView{testID: {}}}}
	urls = []string{serve(t, other), serve(t, holder)}
	members := []node.Member{{Node: "a", Address: strings.TrimPrefix(urls[1], "http://"), Leader: true, Token: 9}, {Node: "b", Address: "b:1", Leaving: true}}
	holder.members, other.members = members, members
	return holder, other, urls
}

// TestAnyNodeAnswers asks a node that has to ask the holder for what only that knows.
func TestAnyNodeAnswers(t *testing.T) {
	g := NewWithT(t)
	_, _, urls := site(t)
	res := run(t, "show holder; list members; list workers of dispatcher where free-cpu < 1; explain job "+testID+"; list steps of "+testID+";", urls[0])
	show := facts(res.Answers[0])
	g.Expect(show).To(HaveKeyWithValue("holder", "a"))
	g.Expect(show).To(HaveKeyWithValue("dispatching", "yes"))
	g.Expect(show).To(HaveKeyWithValue("told by", "b, by a view of 20 ms ago"))
	g.Expect(res.Answers[1].Table.Rows).To(HaveLen(2))
	g.Expect(res.Answers[1].Table.Rows[1][2].Text).To(Equal("leaving"))
	g.Expect(res.Answers[2].Table.Rows).To(HaveLen(1))
	explained := facts(res.Answers[3])
	g.Expect(explained).To(HaveKeyWithValue("dispatcher", "a"))
	g.Expect(explained).To(HaveKeyWithValue("objective", "in 3s"))
	g.Expect(res.Answers[3].Changes).To(Equal([]string{remedy["room"]}))
	g.Expect(res.Answers[4].Table.Rows[0][10].Text).To(Equal("room"))
	for _, a := range res.Answers {
		g.Expect(a.Missing).To(BeEmpty(), a.Statement)
	}
}

// TestHolderOutOfReach answers from the node's own view, and says what is missing and why.
func TestHolderOutOfReach(t *testing.T) {
	g := NewWithT(t)
	_, other, urls := site(t)
	for members, why := range map[*[]node.Member]string{
		{{Node: "a", Address: "127.0.0.1:1", Leader: true}}: "did not answer",
		{}: noHolder,
		{{Node: "b", Address: "b:1", Leader: true}}: takingOver,
	} {
		other.members = *members
		res := run(t, "list workers of dispatcher; list steps of "+testID+"; show holder;", urls[0])
		g.Expect(res.Answers[0].Missing[0]).To(ContainSubstring(why))
		g.Expect(res.Answers[1].Missing[0]).To(ContainSubstring(why))
		rows := res.Answers[1].Table.Rows
		g.Expect(rows).To(HaveLen(2), "what the log tells")
		g.Expect([]float64{rows[0][4].Number, rows[1][4].Number}).To(Equal([]float64{1, 0}))
		if why != takingOver {
			g.Expect(res.Answers[2].Missing[0]).To(ContainSubstring(why))
		}
	}
	other.inspection = nil
	_, err := api.NewOperatorProtobufClient(urls[0], http.DefaultClient).ListWorkers(t.Context(), &api.ListWorkersRequest{})
	g.Expect(err).To(MatchError(ContainSubstring("not shown in time")))
}

// TestJobsAreHandedIn sends jobs through the service to the desk.
func TestJobsAreHandedIn(t *testing.T) {
	g := NewWithT(t)
	f := &fake{name: "a"}
	url := serve(t, f)
	declare := "declare job " + testID + ` queue q spec "x" first "2030-01-01T00:00:00Z" interval 5s times 2 step count 2 cpu 1 gang yes after 0;`
	declare = strings.Replace(declare, " after 0", " step cpu 2 after 0", 1)
	state := func(text string, urls ...string) operator.JobOutcome {
		jobs := run(t, text, urls...).Jobs
		g.Expect(jobs).To(HaveLen(1))
		return jobs[0]
	}
	g.Expect(state(declare, "http://127.0.0.1:1", url)).To(Equal(operator.JobOutcome{ID: testID, Action: operator.Add, State: operator.Accepted, Node: "a"}))
	script, err := language.Parse(declare)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.submitted).To(Equal([]workflow.Job{script.Statements[0].Declare.Job.Value(time.Now())}))
	g.Expect(state(strings.Replace(declare, "queue q", "queue x", 1), url).State).To(Equal(operator.Refused))
	g.Expect(state(strings.Replace(declare, `"x"`, `"`+strings.Repeat("x", 2000)+`"`, 1), url).Reason).To(Equal("the job is too large"))
	g.Expect(f.submitted).To(HaveLen(1))
	g.Expect(state("cancel job "+testID+";", url).Action).To(Equal(operator.Drop))
	for code, want := range map[intake.Code]operator.State{intake.OutcomeUnknown: operator.Unknown, intake.Unavailable: operator.Refused, intake.JobNotFound: operator.Refused} {
		f.outcome = intake.Outcome{Code: code, Reason: "why"}
		g.Expect(run(t, "cancel job "+testID+"; cancel job 00000000000000bb;", url).Jobs).To(Equal([]operator.JobOutcome{
			{ID: testID, Action: operator.Drop, State: want, Reason: "why", Node: "a"}}), "the first that is not done ends the script")
	}
	g.Expect(state(declare, "http://127.0.0.1:1").State).To(Equal(operator.Unknown))
}

// TestJobsArePaged lists more jobs than a page holds.
func TestJobsArePaged(t *testing.T) {
	g := NewWithT(t)
	f := &pages{total: 2*pageJobs + 7}
	s := httptest.NewServer(api.NewOperatorServer(f))
	defer s.Close()
	rows := run(t, "list jobs where queue = q and offset != 3;", s.URL).Answers[0].Table.Rows
	g.Expect(rows).To(HaveLen(f.total - 1))
	g.Expect(f.queue).To(Equal("q"))
}

// pages serves jobs page by page.
type pages struct {
	api.Operator
	total int
	queue string
}

func (p *pages) ListJobs(_ context.Context, req *api.ListJobsRequest) (*api.ListJobsResponse, error) {
	p.queue = req.GetQueue()
	resp := &api.ListJobsResponse{}
	for at := max(req.GetAfter(), 1); at <= int64(p.total); at++ {
		if len(resp.Jobs) == pageJobs {
			resp.Next = at
			break
		}
		resp.Jobs = append(resp.Jobs, &api.JobState{Id: testID, Queue: "q", Offset: at})
	}
	return resp, nil
}
