// Package standin serves test stand-ins for the platform: the log, the list of
// hosts, workers and the runners that they start. Stand-ins hold no policy:
// they do what they are told and record what should not have been asked.
package standin

import (
	"context"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	api "github.com/mimosaspool/mimosaspool/api/platform"
)

// Log is an append-only log in memory.
type Log struct {
	mu      sync.Mutex
	first   int64
	records []*api.LogRecord
	// grown is closed and replaced at each append.
	grown chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{grown: make(chan struct{})} }

// Append implements the platform's Log service.
func (l *Log) Append(_ context.Context, req *api.AppendRequest) (*api.AppendReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := &api.LogRecord{Offset: l.first + int64(len(l.records)), TimeMs: time.Now().UnixMilli(), Data: req.Data}
	l.records = append(l.records, rec)
	close(l.grown)
	l.grown = make(chan struct{})
	return &api.AppendReply{Offset: rec.Offset}, nil
}

// Read implements the platform's Log service.
func (l *Log) Read(ctx context.Context, req *api.ReadRequest) (*api.ReadReply, error) {
	if req.From < 0 || req.Max < 0 {
		return nil, twirp.InvalidArgumentError("from", "negative")
	}
	timeout := time.After(time.Duration(req.WaitMs) * time.Millisecond)
	for {
		reply, grown := l.page(req)
		if len(reply.Records) > 0 {
			return reply, nil
		}
		select {
		case <-grown:
		case <-timeout:
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (l *Log) page(req *api.ReadRequest) (*api.ReadReply, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.first + int64(len(l.records))
	reply := &api.ReadReply{First: l.first, Next: next}
	from := max(req.From, l.first)
	if from < next {
		to := min(next, from+int64(req.Max))
		reply.Records = append(reply.Records, l.records[from-l.first:to-l.first]...)
	}
	return reply, l.grown
}
