// Package peer implements the RPC client and server for calls between nodes, over Twirp.
package peer

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	api "github.com/mimosaspool/mimosaspool/api/peer"
	"github.com/mimosaspool/mimosaspool/internal/ingress"
	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Node handles the requests of other nodes. Its methods may be called concurrently.
type Node interface {
	worker.PolicyClient
	// AppendRecords appends the records if the node is the leader. done is false
	// only if it is certain that nothing was or will be written.
	AppendRecords(ctx context.Context, records []store.Record) (done bool, err error)
	// CanWrite reports whether the node is the leader and has recently had a
	// response from the store.
	CanWrite() bool
	// HandleStepDown records that the leader with the token steps down.
	HandleStepDown(token int64)
	// Reader returns a reader that reads the store directly.
	Reader() store.Reader
	// ReadJobLog reads the job log from the node's memory only.
	ReadJobLog(ctx context.Context, from int64, wait time.Duration) (store.Batch, error)
}

// Handler returns the HTTP handler for requests of other nodes.
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
	var rejected *intake.RejectedError
	if errors.As(err, &rejected) {
		return nil, twirp.NewError(twirp.ResourceExhausted, rejected.Reason).
			WithMeta(metaRetryAfter, strconv.FormatInt(rejected.RetryAfter.Milliseconds(), 10))
	}
	if err != nil {
		return nil, err
	}
	return &api.RecordResponse{Done: done}, nil
}

// metaRetryAfter is the metadata of a rejection: its RetryAfter in milliseconds. Versions
// that don't know rejections take one for a call whose outcome is unknown.
const metaRetryAfter = "retry_after_ms"

// decodeRejection returns the rejection that an error of a call stands for, or nil.
func decodeRejection(err error) *intake.RejectedError {
	var te twirp.Error
	if !errors.As(err, &te) || te.Code() != twirp.ResourceExhausted {
		return nil
	}
	millis, parseErr := strconv.ParseInt(te.Meta(metaRetryAfter), 10, 64)
	if parseErr != nil || millis < 0 {
		return nil
	}
	return &intake.RejectedError{Reason: te.Msg(), RetryAfter: time.Duration(millis) * time.Millisecond}
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
	received := time.Now()
	p := store.Partition{Topic: req.GetTopic(), Number: int(req.GetPart())}
	b, err := s.node.Reader().Read(ctx, p, req.GetFrom(), time.Duration(req.GetWaitMillis())*time.Millisecond)
	var expired *store.ExpiredError
	if errors.As(err, &expired) {
		return &api.ReadResponse{Expired: true, First: expired.First}, nil
	}
	if err != nil {
		return nil, err
	}
	return encodeBatch(ctx, b, received)
}

// encodeBatch returns the response to a request received at the given time. The
// age of the batch is relative to the receipt of the request, and the client
// subtracts it from the time at which it sent the request, which is earlier. So
// the clocks of two nodes aren't compared, and network delay never makes the
// batch look newer than it is.
func encodeBatch(ctx context.Context, b store.Batch, received time.Time) (*api.ReadResponse, error) {
	if err := holdAnswer(ctx, b.Records); err != nil {
		return nil, err
	}
	resp := &api.ReadResponse{Records: encodeRecords(b.Records), Next: b.NextOffset, End: b.End}
	if !b.ReadAt.IsZero() {
		resp.Aged, resp.AgeMillis = true, ageMillis(received, b.ReadAt)
	}
	return resp, compressRecords(resp)
}

// encodedFactor is the memory that a byte of a record takes in a response: decoded and encoded.
const encodedFactor = 2

// holdAnswer takes memory for a response with the records, and returns an error that tells the
// client to ask elsewhere if there is none.
func holdAnswer(ctx context.Context, records []store.StoredRecord) error {
	n := int64(0)
	for _, r := range records {
		n += encodedFactor * int64(len(r.Key)+len(r.Value))
	}
	if !ingress.HoldAnswer(ctx, n) {
		return twirp.NewError(twirp.ResourceExhausted, "too many responses are being sent")
	}
	return nil
}

// decodeBatch returns the batch in the response to a request sent at the given time.
func decodeBatch(resp *api.ReadResponse, sent time.Time) (store.Batch, error) {
	if err := decompressRecords(resp); err != nil {
		return store.Batch{}, &peerReadError{err}
	}
	b := store.Batch{Records: decodeRecords(resp.GetRecords()), NextOffset: resp.GetNext(), End: resp.GetEnd()}
	if resp.GetAged() {
		b.ReadAt = readTime(sent, resp.GetAgeMillis())
	}
	return b, nil
}

// Follow implements the Peer service.
func (s *server) Follow(ctx context.Context, req *api.FollowRequest) (*api.ReadResponse, error) {
	received := time.Now()
	b, err := s.node.ReadJobLog(ctx, req.GetFrom(), time.Duration(req.GetWaitMillis())*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return encodeBatch(ctx, b, received)
}

// Newest implements the Peer service.
func (s *server) Newest(ctx context.Context, req *api.NewestRequest) (*api.NewestResponse, error) {
	received := time.Now()
	p := store.Partition{Topic: req.GetTopic(), Number: int(req.GetPart())}
	page, err := s.node.Reader().Newest(ctx, p, req.GetAfter())
	switch {
	case errors.Is(err, store.ErrLoading):
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, "the view is being read"), err)
	case err != nil:
		return nil, err
	}
	if err := holdAnswer(ctx, page.Records); err != nil {
		return nil, err
	}
	resp := &api.NewestResponse{Records: encodeRecords(page.Records), More: page.NextKey, End: page.End}
	if !page.ReadAt.IsZero() {
		resp.Aged, resp.AgeMillis = true, ageMillis(received, page.ReadAt)
	}
	return resp, nil
}

// readTime reverses ageMillis: it returns when the log was read, for a response
// to a request sent at the given time.
func readTime(sent time.Time, millis int64) time.Time {
	return sent.Add(-time.Duration(millis) * time.Millisecond)
}

// ageMillis returns how long before the receipt of a request the log was read,
// in milliseconds. It is never rounded down, so the log never looks newer than it
// is. It is negative if the log was read after the receipt.
func ageMillis(received, readAt time.Time) int64 {
	return (received.Sub(readAt) + time.Millisecond - 1).Milliseconds()
}

// encodeRecords leaves out records whose key isn't valid UTF-8, because a message
// that contains one can't be encoded. None of the scheduler's own records has such
// a key.
func encodeRecords(records []store.StoredRecord) []*api.LogRecord {
	out := make([]*api.LogRecord, 0, len(records))
	for _, r := range records {
		if !utf8.ValidString(r.Key) {
			continue
		}
		out = append(out, &api.LogRecord{Offset: r.Offset, Key: r.Key, Value: r.Value})
	}
	return out
}

func decodeRecords(records []*api.LogRecord) []store.StoredRecord {
	out := make([]store.StoredRecord, 0, len(records))
	for _, r := range records {
		out = append(out, store.StoredRecord{Offset: r.GetOffset(), Record: store.Record{Key: r.GetKey(), Value: r.GetValue()}})
	}
	return out
}

// Client calls other nodes, identified by their addresses. It is safe for
// concurrent use.
type Client struct {
	http  *http.Client
	mu    sync.Mutex
	peers map[string]api.Peer
}

// NewClient returns a client that uses the given transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}, peers: map[string]api.Peer{}}
}

// ApproveWorkers calls the policy service through the node at the address.
func (c *Client) ApproveWorkers(ctx context.Context, address string, step workflow.StepID, workers []string) (worker.Approvals, error) {
	resp, err := c.peerClient(address).Advise(ctx, &api.AdviseRequest{
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

// AppendRecords calls Node.AppendRecords on the node at the address. After an
// error it is unknown whether the records were or will be written.
func (c *Client) AppendRecords(ctx context.Context, address string, records []store.Record) (bool, error) {
	req := &api.RecordRequest{}
	for _, r := range records {
		req.Records = append(req.Records, &api.LogRecord{Key: r.Key, Value: r.Value})
	}
	resp, err := c.peerClient(address).Record(ctx, req)
	if rejected := decodeRejection(err); rejected != nil {
		return false, errors.WithStack(rejected)
	}
	if err != nil {
		return false, errors.Wrap(err, "peer "+address)
	}
	return resp.GetDone(), nil
}

// CanWrite calls Node.CanWrite on the node at the address.
func (c *Client) CanWrite(ctx context.Context, address string) (bool, error) {
	resp, err := c.peerClient(address).Writes(ctx, &api.WritesRequest{})
	if err != nil {
		return false, errors.Wrap(err, "peer "+address)
	}
	return resp.GetWrites(), nil
}

// NotifyStepDown notifies the node at the address that the leader with the token
// steps down.
func (c *Client) NotifyStepDown(ctx context.Context, address string, token int64) error {
	_, err := c.peerClient(address).Yield(ctx, &api.YieldRequest{Token: token})
	return errors.Wrap(err, "peer "+address)
}

// ReadJobLog calls Node.ReadJobLog on the node at the address, which reads the job
// log from its memory. After an error nothing was read.
func (c *Client) ReadJobLog(ctx context.Context, address string, from int64, wait time.Duration) (store.Batch, error) {
	sent := time.Now()
	resp, err := c.peerClient(address).Follow(ctx, &api.FollowRequest{From: from, WaitMillis: wait.Milliseconds()})
	if err != nil {
		return store.Batch{}, &peerReadError{err}
	}
	return decodeBatch(resp, sent)
}

// Reader returns a reader that reads the store through the node at the address.
func (c *Client) Reader(address string) store.Reader { return &peerReader{c.peerClient(address)} }

type peerReader struct{ peer api.Peer }

// Read implements store.Reader.
func (r *peerReader) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	sent := time.Now()
	resp, err := r.peer.Read(ctx, &api.ReadRequest{Topic: p.Topic, Part: int32(p.Number), From: from, WaitMillis: wait.Milliseconds()})
	if err != nil {
		return store.Batch{}, &peerReadError{err}
	}
	if resp.GetExpired() {
		return store.Batch{}, &store.ExpiredError{First: resp.GetFirst()}
	}
	return decodeBatch(resp, sent)
}

// Newest implements store.Reader.
func (r *peerReader) Newest(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	sent := time.Now()
	resp, err := r.peer.Newest(ctx, &api.NewestRequest{Topic: p.Topic, Part: int32(p.Number), After: after})
	var twirpErr twirp.Error
	switch {
	case errors.As(err, &twirpErr) && twirpErr.Code() == twirp.Unavailable:
		return store.Page{}, errors.WithStack(store.ErrLoading)
	case err != nil:
		return store.Page{}, &peerReadError{err}
	}
	page := store.Page{Records: decodeRecords(resp.GetRecords()), NextKey: resp.GetMore(), End: resp.GetEnd()}
	if resp.GetAged() {
		page.ReadAt = readTime(sent, resp.GetAgeMillis())
	}
	return page, nil
}

// peerReadError is a failed read through a peer. Nothing was read; it wraps
// store.ErrNotExecuted.
type peerReadError struct{ cause error }

func (e *peerReadError) Error() string   { return "read through a peer: " + e.cause.Error() }
func (e *peerReadError) Unwrap() []error { return []error{store.ErrNotExecuted, e.cause} }

func (c *Client) peerClient(address string) api.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = api.NewPeerProtobufClient("http://"+address, c.http)
		c.peers[address] = p
	}
	return p
}
