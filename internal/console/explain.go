package console

import (
	"context"
	"strings"
	"time"

	api "github.com/mimosaspool/mimosaspool/api/operator"
	"github.com/mimosaspool/mimosaspool/internal/language"
	"github.com/mimosaspool/mimosaspool/internal/operator"
)

// explain asks for a job until a node knows it, or says that there is none.
func (a *Asker) explain(ctx context.Context, id string) (*api.ExplainJobResponse, error) {
	var resp *api.ExplainJobResponse
	err := a.at(ctx, func(ctx context.Context, n api.Operator) (_ bool, err error) {
		resp, err = n.ExplainJob(ctx, &api.ExplainJobRequest{Id: id})
		return true, err
	})
	return resp, err
}

// ExplainJob tells how a job stands and why its tasks wait.
func (a *Asker) ExplainJob(ctx context.Context, id string) (operator.Answer, error) {
	resp, err := a.explain(ctx, id)
	if err != nil {
		return operator.Answer{}, err
	}
	answer := operator.Answer{Missing: missing(resp)}
	fact := func(name, value string) {
		if value != "" {
			answer.Facts = append(answer.Facts, operator.Fact{Name: name, Value: value})
		}
	}
	fact("job", id)
	if !resp.GetKnown() {
		fact("state", "no such job")
		fact("told by", told(resp.GetBy()))
		return answer, nil
	}
	state := resp.GetState()
	fact("state", state.GetState())
	fact("queue", state.GetQueue())
	fact("accepted", moment(state.GetAcceptedMillis()))
	switch left := time.Duration(resp.GetLeftMillis()) * time.Millisecond; {
	case left > 0:
		fact("objective", "in "+left.String())
	case left < 0:
		fact("objective", "passed "+(-left).String()+" ago")
	}
	fact("next due", moment(resp.GetNextDueMillis()))
	job := decodeJob(resp.GetJob())
	fact("declared", strings.ReplaceAll(language.FormatJob(&job), "\n ", ""))
	fact("told by", told(resp.GetBy()))
	fact("dispatcher", resp.GetDispatcher())
	if len(resp.GetSteps()) > 0 {
		answer.Table = stepTable(resp)
	}
	answer.Changes = remedies(resp)
	return answer, nil
}

func missing(resp *api.ExplainJobResponse) []string {
	if why := resp.GetUnavailable(); why != "" {
		return []string{"dispatcher: " + why}
	}
	return nil
}

func stepTable(resp *api.ExplainJobResponse) *operator.Table {
	t := operator.NewTable("steps of")
	steps := resp.GetJob().GetSteps()
	for _, s := range resp.GetSteps() {
		kind := ""
		if int(s.GetStep()) < len(steps) {
			kind = kindOf(steps[s.GetStep()])
		}
		waited := ""
		if s.GetWaitedMillis() > 0 {
			waited = (time.Duration(s.GetWaitedMillis()) * time.Millisecond).String()
		}
		t.Add(operator.Number(int64(s.GetOccurrence())), operator.Number(int64(s.GetStep())), operator.Text(kind), operator.Number(int64(s.GetTasks())),
			operator.Number(int64(s.GetDone())), operator.Number(int64(s.GetStarting())), operator.Number(int64(s.GetRunning())), operator.Number(int64(s.GetStopping())),
			operator.Number(int64(s.GetWaiting())), operator.Text(waited), operator.Text(s.GetReason()), operator.Text(s.GetDetail()),
			operator.Text(strings.Join(s.GetWorkers(), " ")))
	}
	return t
}

// kindOf names what is special about a step.
func kindOf(s *api.Step) string {
	var words []string
	for _, f := range []struct {
		set  bool
		name string
	}{{s.GetGang(), "gang"}, {s.GetLongRunning(), "long-running"}, {s.GetSpeculative(), "speculative"}, {s.GetCheckpointing(), "checkpointing"}, {s.GetFiller(), "filler"}} {
		if f.set {
			words = append(words, f.name)
		}
	}
	if words == nil {
		return "plain"
	}
	return strings.Join(words, " ")
}

// remedy tells by a step's reason what would have to change, where an operator
// can do something.
var remedy = map[string]string{
	"queue-unknown":   "declare the job's queue in the platform's configuration",
	"no-worker":       "add workers to the queue's pool",
	"room":            "free or add room in the queue's pool, or hand in smaller tasks",
	"label":           "add workers of the kind that the step requires",
	"most-per-worker": "add workers, or raise the step's bound",
	"no-ticket":       "look after the policy service",
	"unusable":        "look after the pool's workers: list workers of dispatcher",
	"fits":            "free or add room for the whole gang, or hand in a smaller one",
}

func remedies(resp *api.ExplainJobResponse) []string {
	var out []string
	seen := map[string]bool{}
	for _, s := range resp.GetSteps() {
		if r := remedy[s.GetReason()]; r != "" && !seen[r] {
			seen[r] = true
			out = append(out, r)
		}
	}
	return out
}
