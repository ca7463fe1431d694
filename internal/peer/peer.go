// Package peer carries what the nodes ask of each other, by twirp.
package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	api "github.com/mimosaspool/mimosaspool/api/peer"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Node is what a node does for others. Its methods may be called concurrently.
type Node interface {
	worker.PolicyClient
	// Record writes the records if the node holds the right to place; done is
	// false if surely nothing was written and never will be.
	AppendRecords(ctx context.Context, records []store.Record) (done bool, err error)
	// Writes reports whether the node holds the right to place and the store
	// has answered it lately.
	CanWrite() bool
	// Yielded takes note that the holder of the token gives the right up.
	HandleStepDown(token int64)
	// Reader reads the store directly.
	Reader() store.Reader
	// Followed reads the log of jobs from the node's memory alone.
	ReadJobLog(ctx context.Context, from int64, wait time.Duration) (store.Batch, error)
}

// Handler serves the other nodes.
func Handler(n Node) http.Handler { return api.NewPeerServer(&server{n}) }

type server struct{ node Node }

// Advise implements the Peer service.
func (s *server) Advise(ctx context.Context, req *api.AdviseRequest) (*api.AdviseResponse, error) {
	step := workflow.StepID{Job: req.GetJob(), Occurrence: int(req.GetOccurrence()), Step: int(req.GetStep())}
	a, err := s.node.ApproveWorkers(ctx, step, req.GetWorkers())
	if err != nil {
		return nil, errors.Wrap(err, "advise")
	}
	resp := &api.AdviseResponse{ValidityMillis: a.Validity.Milliseconds()}
	for _, x := range a.Approved {
		resp.Approved = append(resp.Approved, &api.Approval{Worker: x.Worker, Ticket: x.Ticket})
	}
	return resp, nil
}

// Record implements the Peer service.
func (s *server) Record(ctx context.Context, req *api.RecordRequest) (*api.RecordResponse, error) {
	records := make([]store.Record, 0, len(req.GetRecords()))
	for _, r := range req.GetRecords() {
		records = append(records, store.Record{Key: r.GetKey(), Value: r.GetValue()})
	}
	done, err := s.node.AppendRecords(ctx, records)
	if err != nil {
		return nil, err
	}
	return &api.RecordResponse{Done: done}, nil
}

// Writes implements the Peer service.
func (s *server) Writes(context.Context, *api.WritesRequest) (*api.WritesResponse, error) {
	return &api.WritesResponse{Writes: s.node.CanWrite()}, nil
}

// Yield implements the Peer service.
func (s *server) Yield(_ context.Context, req *api.YieldRequest) (*api.YieldResponse, error) {
	s.node.HandleStepDown(req.GetToken())
	return &api.YieldResponse{}, nil
}

// Read implements the Peer service.
func (s *server) Read(ctx context.Context, req *api.ReadRequest) (*api.ReadResponse, error) {
	came := time.Now()
	p := store.Partition{Topic: req.GetTopic(), Number: int(req.GetPart())}
	b, err := s.node.Reader().Read(ctx, p, req.GetFrom(), time.Duration(req.GetWaitMillis())*time.Millisecond)
	var expired *store.ExpiredError
	if errors.As(err, &expired) {
		return &api.ReadResponse{Expired: true, First: expired.First}, nil
	}
	if err != nil {
		return nil, err
	}
	return encodeBatch(b, came)
}

// encodeBatch returns the answer to a request that came at the time. The age of
// a reading goes by the request, which was sent before: the clocks of two nodes
// aren't compared, and no time on the way makes the reading look newer.
func encodeBatch(b store.Batch, came time.Time) (*api.ReadResponse, error) {
	resp := &api.ReadResponse{Records: encode(b.Records), Next: b.NextOffset, End: b.End}
	if !b.ReadAt.IsZero() {
		resp.Aged, resp.AgeMillis = true, ageAt(came, b.ReadAt)
	}
	return resp, pack(resp)
}

// decodeBatch returns what the answer to a request sent at the time has brought.
func decodeBatch(resp *api.ReadResponse, sent time.Time) (store.Batch, error) {
	if err := unpack(resp); err != nil {
		return store.Batch{}, &relayError{err}
	}
	b := store.Batch{Records: decode(resp.GetRecords()), NextOffset: resp.GetNext(), End: resp.GetEnd()}
	if resp.GetAged() {
		b.ReadAt = aged(sent, resp.GetAgeMillis())
	}
	return b, nil
}

// Follow implements the Peer service.
func (s *server) Follow(ctx context.Context, req *api.FollowRequest) (*api.ReadResponse, error) {
	came := time.Now()
	b, err := s.node.ReadJobLog(ctx, req.GetFrom(), time.Duration(req.GetWaitMillis())*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return encodeBatch(b, came)
}

// Newest implements the Peer service.
func (s *server) Newest(ctx context.Context, req *api.NewestRequest) (*api.NewestResponse, error) {
	came := time.Now()
	p := store.Partition{Topic: req.GetTopic(), Number: int(req.GetPart())}
	page, err := s.node.Reader().Newest(ctx, p, req.GetAfter())
	switch {
	case errors.Is(err, store.ErrLoading):
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, "the view is being read"), err)
	case err != nil:
		return nil, err
	}
	resp := &api.NewestResponse{Records: encode(page.Records), More: page.NextKey, End: page.End}
	if !page.ReadAt.IsZero() {
		resp.Aged, resp.AgeMillis = true, ageAt(came, page.ReadAt)
	}
	return resp, nil
}

// aged undoes ageAt for an answer to a request sent at the time.
func aged(sent time.Time, millis int64) time.Time {
	return sent.Add(-time.Duration(millis) * time.Millisecond)
}

// ageAt returns how long before a time the log was read, in milliseconds.
func ageAt(came, readAt time.Time) int64 {
	return (came.Sub(readAt) + time.Millisecond - 1).Milliseconds()
}

func encode(records []store.StoredRecord) []*api.LogRecord {
	out := make([]*api.LogRecord, 0, len(records))
	for _, r := range records {
		out = append(out, &api.LogRecord{Offset: r.Offset, Key: r.Key, Value: r.Value})
	}
	return out
}

func decode(records []*api.LogRecord) []store.StoredRecord {
	out := make([]store.StoredRecord, 0, len(records))
	for _, r := range records {
		out = append(out, store.StoredRecord{Offset: r.GetOffset(), Record: store.Record{Key: r.GetKey(), Value: r.GetValue()}})
	}
	return out
}

// Client asks other nodes, named by their addresses. It may be used concurrently.
type Client struct {
	http  *http.Client
	mu    sync.Mutex
	nodes map[string]api.Peer
}

// NewClient returns a client over the given transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}, nodes: map[string]api.Peer{}}
}

// Advise has the node at the address ask the policy service.
func (c *Client) ApproveWorkers(ctx context.Context, address string, step workflow.StepID, workers []string) (worker.Approvals, error) {
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

// Record has the node at the address write the records, as Node.Record does.
// After an error it is not known whether they were or will be written.
func (c *Client) AppendRecords(ctx context.Context, address string, records []store.Record) (bool, error) {
	req := &api.RecordRequest{}
	for _, r := range records {
		req.Records = append(req.Records, &api.LogRecord{Key: r.Key, Value: r.Value})
	}
	resp, err := c.node(address).Record(ctx, req)
	if err != nil {
		return false, errors.Wrap(err, "peer "+address)
	}
	return resp.GetDone(), nil
}

// Writes asks the node at the address what Node.Writes tells.
func (c *Client) CanWrite(ctx context.Context, address string) (bool, error) {
	resp, err := c.node(address).Writes(ctx, &api.WritesRequest{})
	if err != nil {
		return false, errors.Wrap(err, "peer "+address)
	}
	return resp.GetWrites(), nil
}

// Yield tells the node at the address that the holder of the token gives the right up.
func (c *Client) NotifyStepDown(ctx context.Context, address string, token int64) error {
	_, err := c.node(address).Yield(ctx, &api.YieldRequest{Token: token})
	return errors.Wrap(err, "peer "+address)
}

// Follow reads the log of jobs from the memory of the node at the address, as
// Node.Followed does. After an error nothing was read.
func (c *Client) ReadJobLog(ctx context.Context, address string, from int64, wait time.Duration) (store.Batch, error) {
	sent := time.Now()
	resp, err := c.node(address).Follow(ctx, &api.FollowRequest{From: from, WaitMillis: wait.Milliseconds()})
	if err != nil {
		return store.Batch{}, &relayError{err}
	}
	return decodeBatch(resp, sent)
}

// Reader returns the store as the node at the address reads it.
func (c *Client) Reader(address string) store.Reader { return &reader{c.node(address)} }

type reader struct{ peer api.Peer }

// Read implements store.Reader.
func (r *reader) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	sent := time.Now()
	resp, err := r.peer.Read(ctx, &api.ReadRequest{Topic: p.Topic, Part: int32(p.Number), From: from, WaitMillis: wait.Milliseconds()})
	if err != nil {
		return store.Batch{}, &relayError{err}
	}
	if resp.GetExpired() {
		return store.Batch{}, &store.ExpiredError{First: resp.GetFirst()}
	}
	return decodeBatch(resp, sent)
}

// Newest implements store.Reader.
func (r *reader) Newest(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	sent := time.Now()
	resp, err := r.peer.Newest(ctx, &api.NewestRequest{Topic: p.Topic, Part: int32(p.Number), After: after})
	var refusal twirp.Error
	switch {
	case errors.As(err, &refusal) && refusal.Code() == twirp.Unavailable:
		return store.Page{}, errors.WithStack(store.ErrLoading)
	case err != nil:
		return store.Page{}, &relayError{err}
	}
	page := store.Page{Records: decode(resp.GetRecords()), NextKey: resp.GetMore(), End: resp.GetEnd()}
	if resp.GetAged() {
		page.ReadAt = aged(sent, resp.GetAgeMillis())
	}
	return page, nil
}

// relayError is a read through a peer that brought nothing. It is store.ErrNotDone.
type relayError struct{ cause error }

func (e *relayError) Error() string   { return "read through a peer: " + e.cause.Error() }
func (e *relayError) Unwrap() []error { return []error{store.ErrNotExecuted, e.cause} }

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
