// Package entry carries callers' requests to runners.
package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	control "github.com/mimosaspool/mimosaspool/api/control"
)

// Options configure an entry.
type Options struct {
	Host       string
	Domain     string
	Schedulers []string
	Client     *http.Client
}

// Entry is one entry host's request path.
type Entry struct {
	opt      Options
	upstream *http.Transport
	mu       sync.Mutex
	version  int64
	runners  map[string][]*runner
}

type runner struct {
	endpoint *control.Endpoint
	busy     int
}

const (
	runnerSlots       = 8
	runnerConnections = 64
	syncWait          = 2 * time.Second
	syncRetry         = 300 * time.Millisecond
)

// New returns an entry that knows no runner.
func New(opt Options) *Entry {
	return &Entry{
		opt:      opt,
		upstream: &http.Transport{MaxConnsPerHost: runnerConnections, MaxIdleConnsPerHost: runnerSlots, DisableCompression: true},
		runners:  map[string][]*runner{},
	}
}

// Run follows the domain's leader until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, url := range e.opt.Schedulers {
			e.sync(ctx, url)
		}
	}
}

func (e *Entry) sync(ctx context.Context, url string) {
	client := control.NewDirectoryProtobufClient(url, e.opt.Client)
	known := int64(-1)
	for ctx.Err() == nil {
		reply, err := client.Sync(ctx, &control.SyncRequest{Entry: e.opt.Host, KnownVersion: known, WaitMs: int32(syncWait.Milliseconds())})
		if err != nil || !reply.Leader {
			time.Sleep(syncRetry)
			return
		}
		known = reply.Version
		e.apply(reply)
	}
}

func (e *Entry) apply(reply *control.SyncReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := map[uint64]*runner{}
	for _, list := range e.runners {
		for _, r := range list {
			old[r.endpoint.Attempt] = r
		}
	}
	next := map[string][]*runner{}
	for _, ep := range reply.Endpoints {
		r := old[ep.Attempt]
		if r == nil {
			r = &runner{}
		}
		r.endpoint = ep
		next[ep.Service] = append(next[ep.Service], r)
	}
	e.runners, e.version = next, reply.Version
}

// Ready reports whether the entry knows its runners.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version > 0
}

// Register adds the callers' routes.
func (e *Entry) Register(r *mux.Router) { r.PathPrefix("/s/{service}").HandlerFunc(e.serve) }

func (e *Entry) serve(w http.ResponseWriter, req *http.Request) {
	r := e.hold(mux.Vars(req)["service"])
	if r == nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "not run: no free slot", http.StatusServiceUnavailable)
		return
	}
	defer e.free(r)
	out := req.Clone(req.Context())
	out.RequestURI, out.URL.Scheme, out.URL.Host = "", "http", r.endpoint.Address
	resp, err := e.upstream.RoundTrip(out)
	if err != nil {
		http.Error(w, "outcome unknown", http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

func (e *Entry) hold(service string) *runner {
	e.mu.Lock()
	defer e.mu.Unlock()
	var best *runner
	for _, r := range e.runners[service] {
		if !r.endpoint.Leaving && r.busy < runnerSlots && (best == nil || r.busy < best.busy) {
			best = r
		}
	}
	if best != nil {
		best.busy++
	}
	return best
}

func (e *Entry) free(r *runner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.busy--
}
