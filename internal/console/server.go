// Package console is how operators ask the nodes: the service that each node
// serves on its port between nodes, and the statements of the language that
// are asked by it.
package console

import (
	"context"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	api "github.com/mimosaspool/mimosaspool/api/operator"
	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/node"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Node is a node as the service needs it. Its methods may be called
// concurrently; none of them takes a lock that the control goroutine waits for.
type Node interface {
	Name() string
	Desk() intake.Service
	Queue(name string) (*workflow.Queue, intake.Outcome)
	Job(id string) (node.JobState, bool)
	Members() []node.Member
	Inspect(ctx context.Context, w node.InspectRequest) (*node.Inspection, error)
	ViewAges() map[string]time.Duration
	JobsViewAge() time.Duration
}

// Handed is what became of a job that an operator has handed in or cancelled.
type Handed struct {
	Job, Queue string
	Cancel     bool
	Outcome    intake.Outcome
	Took       time.Duration
}

const (
	// holderTimeout bounds the holder's answer to another node.
	holderTimeout = 2 * time.Second
	// inspectTimeout bounds the wait for this node's own control goroutine.
	inspectTimeout = 1500 * time.Millisecond
	// pageJobs is the most jobs of a page.
	pageJobs = 500
	// jobIDBytes is the length of a job's ID, which is written in hexadecimal.
	jobIDBytes = 8
)

// Handler serves operators at a node. transport carries questions to the holder;
// handed, if not nil, is told of each job that came to an outcome.
func Handler(n Node, transport http.RoundTripper, handed func(Handed)) http.Handler {
	if handed == nil {
		handed = func(Handed) {}
	}
	return api.NewOperatorServer(&server{n, &http.Client{Transport: transport}, handed})
}

// operatorCaller is the caller on whose behalf operators' requests are made.
var operatorCaller = intake.Caller{Unrestricted: true}

type server struct {
	node   Node
	http   *http.Client
	handed func(Handed)
}

// by names this node with the age of what it answers by.
func (s *server) by(age time.Duration) *api.Answerer {
	return &api.Answerer{Node: s.node.Name(), AgeMillis: age.Milliseconds()}
}

func (s *server) viewAge(view string) time.Duration {
	if age, ok := s.node.ViewAges()[view]; ok {
		return age
	}
	return -time.Millisecond
}

func (s *server) inspect(ctx context.Context, w node.InspectRequest) (*node.Inspection, error) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	i, err := s.node.Inspect(ctx, w)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return i, nil
}

// ListJobs implements the Operator service.
func (s *server) ListJobs(ctx context.Context, req *api.ListJobsRequest) (*api.ListJobsResponse, error) {
	i, err := s.inspect(ctx, node.InspectRequest{Jobs: true})
	if err != nil {
		return nil, err
	}
	limit := int(req.GetLimit())
	if limit <= 0 || limit > pageJobs {
		limit = pageJobs
	}
	resp := &api.ListJobsResponse{By: s.by(s.node.JobsViewAge())}
	for _, j := range i.AllJobs() {
		if j.Offset < req.GetAfter() || req.GetQueue() != "" && j.Job.Queue != req.GetQueue() || req.GetState() != "" && string(j.State) != req.GetState() {
			continue
		}
		if len(resp.Jobs) == limit {
			resp.Next = j.Offset
			break
		}
		resp.Jobs = append(resp.Jobs, encodeState(j))
	}
	return resp, nil
}

// ExplainJob implements the Operator service.
func (s *server) ExplainJob(ctx context.Context, req *api.ExplainJobRequest) (*api.ExplainJobResponse, error) {
	resp := &api.ExplainJobResponse{}
	j, ok := s.node.Job(req.GetId())
	if !ok && !req.GetOnlyHere() {
		// It may have been taken in a moment ago: the desk reads on first.
		if _, out := s.node.Desk().State(ctx, operatorCaller, nil, req.GetId()); out.Code != intake.OK {
			resp.Unavailable = out.Reason
		}
		j, ok = s.node.Job(req.GetId())
	}
	resp.By = s.by(s.node.JobsViewAge())
	if ok {
		resp.Known, resp.Unavailable = true, ""
		resp.Job, resp.State, resp.Steps = encodeJob(j.Job), encodeState(j), recordedSteps(j)
	}
	if !ok && !req.GetOnlyHere() || ok && j.State.Final() {
		return resp, nil
	}
	i, err := s.inspect(ctx, node.InspectRequest{Job: req.GetId()})
	switch {
	case err != nil:
		resp.Unavailable = err.Error()
	case i.Dispatching:
		s.explainHere(resp, i.JobDetails[req.GetId()])
	case req.GetOnlyHere():
		resp.Unavailable = notDispatching
	default:
		s.explainAtHolder(ctx, resp, req.GetId())
	}
	return resp, nil
}

const (
	notDispatching = "this node is not dispatching"
	noHolder       = "no node is known to hold the right to place"
	takingOver     = "the holder has not taken over yet"
	notReadYet     = "the holder has not read the job yet"
)

func (s *server) explainHere(resp *api.ExplainJobResponse, v dispatch.JobView) {
	if !v.Known {
		resp.Unavailable = notReadYet
		return
	}
	resp.Dispatcher = s.node.Name()
	resp.LeftMillis, resp.NextDueMillis = v.TimeLeft.Milliseconds(), v.NextDue
	resp.Steps = nil
	for _, x := range v.Steps {
		resp.Steps = append(resp.Steps, encodeStep(x))
	}
}

func (s *server) explainAtHolder(ctx context.Context, resp *api.ExplainJobResponse, id string) {
	err := s.askHolder(ctx, func(ctx context.Context, holder api.Operator) error {
		theirs, err := holder.ExplainJob(ctx, &api.ExplainJobRequest{Id: id, OnlyHere: true})
		if err != nil {
			return err
		}
		resp.Unavailable = theirs.GetUnavailable()
		if resp.Unavailable == "" {
			resp.Dispatcher, resp.Steps = theirs.GetDispatcher(), theirs.GetSteps()
			resp.LeftMillis, resp.NextDueMillis = theirs.GetLeftMillis(), theirs.GetNextDueMillis()
		}
		return nil
	})
	if err != nil {
		resp.Unavailable = err.Error()
	}
}

// holder returns the member that holds the right, nil if none is known to.
func (s *server) holder() *node.Member {
	for _, m := range s.node.Members() {
		if m.Leader {
			return &m
		}
	}
	return nil
}

// askHolder asks the holder of the right, if that is another node. Its error
// says why there is no answer.
func (s *server) askHolder(ctx context.Context, ask func(context.Context, api.Operator) error) error {
	h := s.holder()
	switch {
	case h == nil:
		return errors.New(noHolder)
	case h.Node == s.node.Name():
		return errors.New(takingOver)
	}
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	if err := ask(ctx, api.NewOperatorProtobufClient("http://"+h.Address, s.http)); err != nil {
		return errors.Wrap(err, "the holder, "+h.Node+" at "+h.Address+", did not answer")
	}
	return nil
}

// ListWorkers implements the Operator service.
func (s *server) ListWorkers(ctx context.Context, req *api.ListWorkersRequest) (*api.ListWorkersResponse, error) {
	resp := &api.ListWorkersResponse{}
	i, err := s.inspect(ctx, node.InspectRequest{Workers: true})
	switch {
	case err != nil:
		return nil, err
	case i.Dispatching:
		resp.Dispatcher = s.node.Name()
		for _, w := range i.Workers {
			resp.Workers = append(resp.Workers, encodeWorker(w))
		}
	case req.GetOnlyHere():
		resp.Unavailable = notDispatching
	default:
		err := s.askHolder(ctx, func(ctx context.Context, holder api.Operator) error {
			theirs, err := holder.ListWorkers(ctx, &api.ListWorkersRequest{OnlyHere: true})
			if err == nil {
				resp.Workers, resp.Dispatcher, resp.Unavailable = theirs.GetWorkers(), theirs.GetDispatcher(), theirs.GetUnavailable()
			}
			return err
		})
		if err != nil {
			resp.Unavailable = err.Error()
		}
	}
	resp.By = s.by(time.Since(i.At))
	return resp, nil
}

// ListMembers implements the Operator service.
func (s *server) ListMembers(context.Context, *api.ListMembersRequest) (*api.ListMembersResponse, error) {
	resp := &api.ListMembersResponse{By: s.by(s.viewAge("members"))}
	for _, m := range s.node.Members() {
		resp.Members = append(resp.Members, encodeMember(m))
	}
	return resp, nil
}

// Holder implements the Operator service.
func (s *server) Holder(ctx context.Context, req *api.HolderRequest) (*api.HolderResponse, error) {
	resp := &api.HolderResponse{By: s.by(s.viewAge("tenure"))}
	h := s.holder()
	if h == nil {
		resp.Unavailable = noHolder
		return resp, nil
	}
	resp.Holder = encodeMember(*h)
	if h.Node == s.node.Name() {
		i, err := s.inspect(ctx, node.InspectRequest{})
		if err != nil {
			return nil, err
		}
		resp.Dispatching = i.Dispatching
		return resp, nil
	}
	if req.GetOnlyHere() {
		resp.Unavailable = notDispatching
		return resp, nil
	}
	err := s.askHolder(ctx, func(ctx context.Context, holder api.Operator) error {
		theirs, err := holder.Holder(ctx, &api.HolderRequest{OnlyHere: true})
		if err == nil {
			resp.Dispatching, resp.Unavailable = theirs.GetDispatching(), theirs.GetUnavailable()
		}
		return err
	})
	if err != nil {
		resp.Unavailable = err.Error()
	}
	return resp, nil
}

// Submit implements the Operator service.
func (s *server) Submit(ctx context.Context, req *api.SubmitRequest) (*api.OutcomeResponse, error) {
	began := time.Now()
	job := decodeJob(req.GetJob())
	out := s.submit(ctx, req, job)
	s.handed(Handed{Job: job.ID, Queue: job.Queue, Outcome: out, Took: time.Since(began)})
	return s.outcome(out), nil
}

func (s *server) submit(ctx context.Context, req *api.SubmitRequest, job workflow.Job) intake.Outcome {
	if raw, err := hex.DecodeString(job.ID); err != nil || len(raw) != jobIDBytes {
		return intake.Outcome{Code: intake.Invalid, Reason: "the ID is not of 16 hexadecimal digits"}
	}
	if limit := s.node.Desk().MaxBodyBytes(); limit > 0 && int64(proto.Size(req)) > limit {
		return intake.Outcome{Code: intake.TooLarge, Reason: "the job is too large"}
	}
	q, out := s.node.Queue(job.Queue)
	if out.Code != intake.OK {
		return out
	}
	return s.node.Desk().Submit(ctx, q, job)
}

// Cancel implements the Operator service.
func (s *server) Cancel(ctx context.Context, req *api.CancelRequest) (*api.OutcomeResponse, error) {
	began := time.Now()
	out := s.node.Desk().Cancel(ctx, operatorCaller, nil, req.GetId())
	h := Handed{Job: req.GetId(), Cancel: true, Outcome: out, Took: time.Since(began)}
	if j, ok := s.node.Job(req.GetId()); ok {
		h.Queue = j.Job.Queue
	}
	s.handed(h)
	return s.outcome(out), nil
}

func (s *server) outcome(out intake.Outcome) *api.OutcomeResponse {
	return &api.OutcomeResponse{By: s.by(s.node.JobsViewAge()), Code: out.Code.String(), Reason: out.Reason}
}
