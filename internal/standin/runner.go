package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

const (
	// runnerSlots is how many requests a runner serves at once.
	runnerSlots = 8
	// runnerConnections is how many connections a runner holds.
	runnerConnections = 64
)

// Headers of requests that a runner looks at.
const (
	headerRequest = "X-Request-Id"
	headerKey     = "Idempotency-Key"
	headerWork    = "X-Work-Ms"
	// headerNotStarted marks an answer of a runner that refused before starting.
	headerNotStarted = "X-Not-Started"
	headerRunner     = "X-Runner"
)

// Runner is a running task of a service: an HTTP server with a fixed number
// of slots. It answers with the request's body; the X-Work-Ms header of a
// request sets how long it takes.
type Runner struct {
	service string
	task    string
	attempt uint64
	worker  *Worker
	busy    atomic.Int64
	server  *http.Server
	l       *listener
}

func newRunner(s scheduler.Start, w *Worker) *Runner {
	r := &Runner{service: s.Service, task: s.Task, attempt: s.Attempt, worker: w}
	l, err := listen()
	if err != nil {
		panic(err) // no loopback port: the stand-in can't go on
	}
	l.limit = r.countConnections
	r.l = l
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l)
	return r
}

// Address returns host:port.
func (r *Runner) Address() string { return r.l.Addr().String() }

// Close ends the runner and every request in it.
func (r *Runner) Close() { r.server.Close() }

func (r *Runner) names() []string { return []string{r.service, r.task, r.worker.host.Name} }

func (r *Runner) countConnections(open int) {
	if open > runnerConnections {
		r.worker.site.Breaches.Record(PromiseConns, r.task, fmt.Sprintf("%d connections", open))
	}
}

// ServeHTTP answers one request.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	site := r.worker.site
	_ = http.NewResponseController(w).EnableFullDuplex() // the answer begins before the body ends
	if _, refuse := site.Faults.On(RunnerRefuse, r.names()...); refuse {
		w.Header().Set(headerNotStarted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.busy.Add(-1)
	if n := r.busy.Add(1); n > runnerSlots {
		site.Breaches.Record(PromiseSlots, r.task, fmt.Sprintf("%d requests at once", n))
	}
	site.Requests.began(Request{
		ID: req.Header.Get(headerRequest), Key: req.Header.Get(headerKey),
		Service: r.service, Task: r.task, Attempt: r.attempt, Worker: r.worker.host.Name,
	})
	r.checkLeaving(req)
	r.work(req)
	w.Header().Set(headerRunner, r.task)
	w.WriteHeader(http.StatusOK)
	_, _ = io.Copy(w, req.Body)
}

func (r *Runner) checkLeaving(req *http.Request) {
	if since, leaving := r.worker.site.toldLeaving(r.worker.host.Name); leaving && since > leavingGrace {
		r.worker.site.Breaches.Record(PromiseLeaving, r.task, fmt.Sprintf("request %s sent %s after the list said so", req.Header.Get(headerRequest), since))
	}
}

func (r *Runner) work(req *http.Request) {
	site := r.worker.site
	ms, _ := strconv.ParseInt(req.Header.Get(headerWork), 10, 64)
	if x, slow := site.Faults.On(RunnerSlow, r.names()...); slow {
		ms += x.Value
	}
	if ms > 0 {
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
	site.Faults.Wait(req.Context().Done(), WorkerPause, r.worker.host.Name)
}

// Request is one request that a runner began to work on.
type Request struct {
	Time    time.Time `json:"time"`
	ID      string    `json:"id"`
	Key     string    `json:"key,omitempty"`
	Service string    `json:"service"`
	Task    string    `json:"task"`
	Attempt uint64    `json:"attempt"`
	Worker  string    `json:"worker"`
}

// Requests records what runners began to work on. Its methods may be called
// concurrently.
type Requests struct {
	breaches *Breaches
	mu       sync.Mutex
	list     []Request
	byKey    map[string]Request
}

func (r *Requests) began(q Request) {
	q.Time = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, q)
	if q.Key == "" {
		return
	}
	if first, again := r.byKey[q.Key]; again {
		r.breaches.Record(PromiseAtMostOnce, q.Key, fmt.Sprintf("request %s on %s after %s on %s", q.ID, q.Task, first.ID, first.Task))
	}
	r.byKey[q.Key] = q
}

// List returns all requests so far.
func (r *Requests) List() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Request{}, r.list...)
}
