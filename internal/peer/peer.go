// Package peer carries what the nodes ask of each other, by twirp.
package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	api "github.com/mimosaspool/mimosaspool/api/peer"
	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Handler serves the other nodes from an adviser.
func Handler(a worker.Adviser) http.Handler { return api.NewPeerServer(&server{a}) }

type server struct{ adviser worker.Adviser }

// Advise implements the Peer service.
func (s *server) Advise(ctx context.Context, req *api.AdviseRequest) (*api.AdviseResponse, error) {
	step := workflow.StepID{Job: req.GetJob(), Occurrence: int(req.GetOccurrence()), Step: int(req.GetStep())}
	a, err := s.adviser.Advise(ctx, step, req.GetWorkers())
	if err != nil {
		return nil, errors.Wrap(err, "advise")
	}
	resp := &api.AdviseResponse{ValidityMillis: a.Validity.Milliseconds()}
	for _, x := range a.Approved {
		resp.Approved = append(resp.Approved, &api.Approval{Worker: x.Worker, Ticket: x.Ticket})
	}
	return resp, nil
}

// Client asks other nodes. It may be used concurrently.
type Client struct {
	http  *http.Client
	mu    sync.Mutex
	nodes map[string]api.Peer
}

// NewClient returns a client over the given transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}, nodes: map[string]api.Peer{}}
}

// Advise implements node.Peers.
func (c *Client) Advise(ctx context.Context, address string, step workflow.StepID, workers []string) (worker.Approvals, error) {
	resp, err := c.node(address).Advise(ctx, &api.AdviseRequest{
		Job: step.Job, Occurrence: int32(step.Occurrence), Step: int32(step.Step), Workers: workers})
	if err != nil {
		return worker.Approvals{}, errors.Wrap(err, "peer "+address)
	}
	a := worker.Approvals{Validity: time.Duration(resp.GetValidityMillis()) * time.Millisecond}
	for _, x := range resp.GetApproved() {
		a.Approved = append(a.Approved, worker.Approval{Worker: x.GetWorker(), Ticket: x.GetTicket()})
	}
	return a, nil
}

func (c *Client) node(address string) api.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.nodes[address]
	if p == nil {
		p = api.NewPeerProtobufClient("http://"+address, c.http)
		c.nodes[address] = p
	}
	return p
}
