package console

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	api "github.com/mimosaspool/mimosaspool/api/operator"
	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/language"
	"github.com/mimosaspool/mimosaspool/internal/operator"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	// nodeTimeout bounds one try at one node; it is above what a node takes.
	nodeTimeout = 5 * time.Second
	// askRetry is the pause before the nodes are tried anew.
	askRetry = 500 * time.Millisecond
)

// Asker carries statements to nodes. It may be used concurrently.
type Asker struct {
	// Nodes are the nodes' base URLs, tried in turn.
	Nodes []string
	HTTP  *http.Client
	// Once asks each node no more than once for an answer.
	Once bool
}

// NoAnswerError tells that no node answered, and why none did.
type NoAnswerError struct{ Reasons []string }

func (e *NoAnswerError) Error() string {
	return "no node answered:\n  " + strings.Join(e.Reasons, "\n  ")
}

// Execute carries out statements of nodes, one after the other. A job that is
// refused, or of which it isn't known what became, ends the script. With check
// it stops after the checks. Its error is a *NoAnswerError.
func (a *Asker) Execute(ctx context.Context, script *language.Script, check bool) (operator.Result, error) {
	var res operator.Result
	for _, st := range script.Statements {
		res.Faults = append(res.Faults, script.ToNodes(st)...)
		if !st.OfNodes() {
			res.Faults = append(res.Faults, script.Fault(&language.Word{Pos: st.Pos},
				"this is asked of schedulers: statements for nodes and for schedulers can't be in one script"))
		}
	}
	if res.Checked = len(script.Statements); check || len(res.Faults) > 0 {
		return res, nil
	}
	for _, st := range script.Statements {
		if st.Changes() {
			out := a.change(ctx, st)
			res.Jobs = append(res.Jobs, out)
			if out.State != operator.Accepted {
				return res, nil
			}
			continue
		}
		answer, err := a.query(ctx, st)
		if err != nil {
			return res, err
		}
		answer.Statement = st.Text
		res.Answers = append(res.Answers, answer)
	}
	return res, nil
}

// at asks one node after the other until ask says that its answer is final, or
// the context ends; then its error tells what each of them last said.
func (a *Asker) at(ctx context.Context, ask func(context.Context, api.Operator) (bool, error)) error {
	for {
		var reasons []string
		for _, base := range a.Nodes {
			callCtx, cancel := context.WithTimeout(ctx, nodeTimeout)
			final, err := ask(callCtx, api.NewOperatorProtobufClient(base, a.HTTP))
			cancel()
			if err == nil && final {
				return nil
			}
			if err != nil {
				reasons = append(reasons, fmt.Sprintf("%s: %v", base, err))
			}
		}
		if a.Once {
			return errors.WithStack(&NoAnswerError{reasons})
		}
		select {
		case <-time.After(askRetry):
		case <-ctx.Done():
			return errors.WithStack(&NoAnswerError{reasons})
		}
	}
}

// change hands a job in, or cancels one, until a node says for good what
// became of that. It may be sent again, since the first job of an ID holds.
func (a *Asker) change(ctx context.Context, st *language.Statement) operator.JobOutcome {
	out := operator.JobOutcome{Action: operator.Add, State: operator.Unknown}
	var job workflow.Job
	if st.CancelJob != nil {
		out.Action, out.ID = operator.Drop, st.CancelJob.Text
	} else {
		job = st.Declare.Job.Value(time.Now())
		out.ID = job.ID
	}
	lost := false
	err := a.at(ctx, func(ctx context.Context, n api.Operator) (bool, error) {
		var resp *api.OutcomeResponse
		var err error
		if st.CancelJob != nil {
			resp, err = n.Cancel(ctx, &api.CancelRequest{Id: out.ID})
		} else {
			resp, err = n.Submit(ctx, &api.SubmitRequest{Job: encodeJob(&job)})
		}
		if err != nil {
			lost = true
			return false, err
		}
		out.Reason, out.Node = resp.GetReason(), resp.GetBy().GetNode()
		switch resp.GetCode() {
		case intake.OK.String():
			out.State = operator.Accepted
		case intake.OutcomeUnknown.String():
			lost = true
			return false, nil
		case intake.Busy.String(), intake.Unavailable.String():
			return false, nil
		default:
			out.State = operator.Refused
		}
		return true, nil
	})
	switch {
	case err == nil:
	case !lost:
		out.State = operator.Refused // no node has done anything
	case out.Reason == "":
		out.Reason = err.Error()
	}
	return out
}

func (a *Asker) query(ctx context.Context, st *language.Statement) (operator.Answer, error) {
	switch {
	case st.Show != nil:
		return a.showHolder(ctx)
	case st.Explain != nil:
		return a.ExplainJob(ctx, st.Explain.Name.Text)
	}
	var answer operator.Answer
	var err error
	switch st.List.Name() {
	case "jobs":
		answer, err = a.listJobs(ctx, st.List)
	case "members":
		answer, err = a.listMembers(ctx)
	case "workers of dispatcher":
		answer, err = a.listWorkers(ctx)
	default:
		var resp *api.ExplainJobResponse
		if resp, err = a.explain(ctx, st.List.Of.Text); err == nil {
			answer = operator.Answer{Table: stepTable(resp), Missing: missing(resp)}
		}
	}
	if err == nil {
		answer.Table.Arrange(st.List)
	}
	return answer, err
}

// listJobs asks for all pages; queue and state are picked by the node.
func (a *Asker) listJobs(ctx context.Context, l *language.List) (operator.Answer, error) {
	req := &api.ListJobsRequest{}
	for _, w := range l.Where {
		switch {
		case w.Op != "=":
		case w.Column.Text == "queue":
			req.Queue = w.Value.Text
		case w.Column.Text == "state":
			req.State = w.Value.Text
		}
	}
	t := operator.NewTable("jobs")
	for {
		var resp *api.ListJobsResponse
		err := a.at(ctx, func(ctx context.Context, n api.Operator) (_ bool, err error) {
			resp, err = n.ListJobs(ctx, req)
			return true, err
		})
		if err != nil {
			return operator.Answer{}, err
		}
		for _, j := range resp.GetJobs() {
			t.Add(operator.Text(j.GetId()), operator.Text(j.GetQueue()), operator.Text(j.GetState()), operator.Number(int64(j.GetSteps())),
				operator.Number(int64(j.GetTasks())), operator.Number(int64(j.GetOccurrences())), operator.Number(int64(j.GetFinished())),
				operator.Text(moment(j.GetAcceptedMillis())), operator.Number(j.GetOffset()))
		}
		if req.After = resp.GetNext(); req.After == 0 || len(t.Rows) >= operator.MaxRows {
			return operator.Answer{Table: t, Missing: cut(req.After != 0)}, nil
		}
	}
}

func cut(more bool) []string {
	if !more {
		return nil
	}
	return []string{fmt.Sprintf("jobs after the first %d: pick them by queue or state", operator.MaxRows)}
}

func moment(millis int64) string {
	if millis == 0 {
		return ""
	}
	return time.UnixMilli(millis).UTC().Format("2006-01-02T15:04:05.000Z")
}

func (a *Asker) listMembers(ctx context.Context) (operator.Answer, error) {
	t := operator.NewTable("members")
	err := a.at(ctx, func(ctx context.Context, n api.Operator) (bool, error) {
		resp, err := n.ListMembers(ctx, &api.ListMembersRequest{})
		if err != nil {
			return false, err
		}
		for _, m := range resp.GetMembers() {
			t.Add(operator.Text(m.GetNode()), operator.Text(m.GetAddress()), operator.Text(memberState(m)), operator.Number(m.GetToken()))
		}
		return true, nil
	})
	return operator.Answer{Table: t}, err
}

func memberState(m *api.Member) string {
	switch {
	case m.GetHolds():
		return "holder"
	case m.GetLeaving():
		return "leaving"
	}
	return "member"
}

func (a *Asker) listWorkers(ctx context.Context) (operator.Answer, error) {
	t := operator.NewTable("workers of dispatcher")
	var answer operator.Answer
	err := a.at(ctx, func(ctx context.Context, n api.Operator) (bool, error) {
		resp, err := n.ListWorkers(ctx, &api.ListWorkersRequest{})
		if err != nil {
			return false, err
		}
		for _, w := range resp.GetWorkers() {
			all, free := w.GetCapacity(), w.GetFree()
			t.Add(operator.Text(w.GetId()), operator.Text(w.GetPool()), operator.Text(w.GetRack()), operator.Text(w.GetState()),
				operator.Number(int64(w.GetStarting())), operator.Number(int64(w.GetRunning())), operator.Number(int64(w.GetStopping())),
				cores(all), cores(free), operator.Number(all.GetMemoryMib()), operator.Number(free.GetMemoryMib()),
				operator.Number(all.GetAccelerators()), operator.Number(free.GetAccelerators()), operator.Number(w.GetHeardMillis()))
		}
		if why := resp.GetUnavailable(); why != "" {
			answer.Missing = []string{"dispatcher: " + why}
		}
		return true, nil
	})
	answer.Table = t
	return answer, err
}

func cores(s *api.Size) operator.Cell {
	return operator.Cell{Number: float64(s.GetMilliCpu()) / 1000, Numeric: true}
}

func (a *Asker) showHolder(ctx context.Context) (operator.Answer, error) {
	var answer operator.Answer
	err := a.at(ctx, func(ctx context.Context, n api.Operator) (bool, error) {
		resp, err := n.Holder(ctx, &api.HolderRequest{})
		if err != nil {
			return false, err
		}
		fact := func(name, value string) { answer.Facts = append(answer.Facts, operator.Fact{Name: name, Value: value}) }
		if h := resp.GetHolder(); h != nil {
			fact("holder", h.GetNode())
			fact("address", h.GetAddress())
			fact("token", fmt.Sprint(h.GetToken()))
			if resp.GetUnavailable() == "" {
				fact("dispatching", map[bool]string{true: "yes", false: "no: " + takingOver}[resp.GetDispatching()])
			}
		}
		fact("told by", told(resp.GetBy()))
		if why := resp.GetUnavailable(); why != "" {
			answer.Missing = []string{"holder: " + why}
		}
		return true, nil
	})
	return answer, err
}

// told names who answered, and how old its view is.
func told(by *api.Answerer) string {
	if by.GetAgeMillis() < 0 {
		return by.GetNode() + ", which has no view yet"
	}
	return fmt.Sprintf("%s, by a view of %d ms ago", by.GetNode(), by.GetAgeMillis())
}
