// Package standin serves test stand-ins for the platform: the log, the list of
// hosts, workers and the runners that they start. Stand-ins hold no policy:
// they do what they are told and record what should not have been asked.
package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"golang.org/x/time/rate"

	api "github.com/mimosaspool/mimosaspool/api/platform"
)

// LogLimits bound what the log takes and keeps.
type LogLimits struct {
	// AppendsPerSecond is the rate above which appends are refused.
	AppendsPerSecond int
	// Records is how many records are kept; 0 keeps all.
	Records int
	// Age is how long a record is kept; 0 keeps it for good.
	Age time.Duration
}

// LogUse is what the log was asked to do.
type LogUse struct {
	Appends int64 `json:"appends"`
	Bytes   int64 `json:"bytes"`
	Refused int64 `json:"refused"`
	Reads   int64 `json:"reads"`
}

// Log is an append-only log in memory.
type Log struct {
	limits  LogLimits
	faults  *Faults
	limiter *rate.Limiter
	mu      sync.Mutex
	first   int64
	records []*api.LogRecord
	use     LogUse
	// grown is closed and replaced at each append.
	grown chan struct{}
}

// NewLog returns an empty log.
func NewLog(limits LogLimits, faults *Faults) *Log {
	return &Log{
		limits:  limits,
		faults:  faults,
		limiter: rate.NewLimiter(rate.Limit(limits.AppendsPerSecond), limits.AppendsPerSecond),
		grown:   make(chan struct{}),
	}
}

// errOut is the log's answer during an outage, or in place of a lost reply.
func errOut() error { return twirp.Unavailable.Error("log out of order") }

// available waits while the log is slow and fails while it is out.
func (l *Log) available(ctx context.Context) error {
	if x, slow := l.faults.On(LogSlow, "log"); slow {
		select {
		case <-time.After(time.Duration(x.Value) * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if _, out := l.faults.On(LogOut, "log"); out {
		return errOut()
	}
	return nil
}

// Append implements the platform's Log service.
func (l *Log) Append(ctx context.Context, req *api.AppendRequest) (*api.AppendReply, error) {
	if err := l.available(ctx); err != nil {
		return nil, err
	}
	if !l.limiter.Allow() {
		l.mu.Lock()
		l.use.Refused++
		l.mu.Unlock()
		return nil, twirp.ResourceExhausted.Error("too many appends")
	}
	offset, ok := l.add(req)
	if !ok {
		return nil, twirp.FailedPrecondition.Error("the log has another end")
	}
	if x, lost := l.faults.On(LogLostReply, "log"); lost && rand.Int64N(100) < x.Value {
		return nil, errOut()
	}
	return &api.AppendReply{Offset: offset}, nil
}

// add appends data unless the request asks for another end of the log.
func (l *Log) add(req *api.AppendRequest) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if req.End != nil && *req.End != l.next() {
		return 0, false
	}
	rec := &api.LogRecord{Offset: l.next(), TimeMs: time.Now().UnixMilli(), Data: req.Data}
	l.records = append(l.records, rec)
	l.use.Appends++
	l.use.Bytes += int64(len(req.Data))
	l.trim()
	close(l.grown)
	l.grown = make(chan struct{})
	return rec.Offset, true
}

func (l *Log) next() int64 { return l.first + int64(len(l.records)) }

// trim drops the records that are no longer kept.
func (l *Log) trim() {
	drop := 0
	if n := l.limits.Records; n > 0 {
		drop = max(0, len(l.records)-n)
	}
	if l.limits.Age > 0 {
		oldest := time.Now().Add(-l.limits.Age).UnixMilli()
		for drop < len(l.records) && l.records[drop].TimeMs < oldest {
			drop++
		}
	}
	l.records = l.records[drop:]
	l.first += int64(drop)
}

// Use returns what the log was asked to do so far.
func (l *Log) Use() LogUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.use
}

// Read implements the platform's Log service.
func (l *Log) Read(ctx context.Context, req *api.ReadRequest) (*api.ReadReply, error) {
	if req.From < 0 || req.Max < 0 {
		return nil, twirp.InvalidArgumentError("from", "negative")
	}
	timeout := time.After(time.Duration(req.WaitMs) * time.Millisecond)
	for {
		if err := l.available(ctx); err != nil {
			return nil, err
		}
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
	l.trim()
	l.use.Reads++
	next := l.next()
	reply := &api.ReadReply{First: l.first, Next: next}
	from := max(req.From, l.first)
	if from < next {
		to := min(next, from+int64(req.Max))
		reply.Records = append(reply.Records, l.records[from-l.first:to-l.first]...)
	}
	return reply, l.grown
}
