package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// runnerSlots is how many requests a runner serves at once.
const runnerSlots = 8

// Runner is a running task of a service: an HTTP server with a fixed number
// of slots. It answers with the request's body; the X-Work-Ms header of a
// request sets how long it takes.
type Runner struct {
	service  string
	task     string
	breaches *Breaches
	busy     atomic.Int64
	server   *http.Server
	address  string
}

// NewRunner starts a runner on a loopback port.
func NewRunner(service, task string, breaches *Breaches) *Runner {
	r := &Runner{service: service, task: task, breaches: breaches}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // no loopback port: the stand-in can't go on
	}
	r.address = l.Addr().String()
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l)
	return r
}

// Address returns host:port.
func (r *Runner) Address() string { return r.address }

// Close ends the runner and every request in it.
func (r *Runner) Close() { r.server.Close() }

// ServeHTTP answers one request.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	defer r.busy.Add(-1)
	if n := r.busy.Add(1); n > runnerSlots {
		r.breaches.Record(Breach{Promise: "slots", Subject: r.task, Detail: fmt.Sprint(n)})
	}
	if ms, _ := strconv.Atoi(req.Header.Get("X-Work-Ms")); ms > 0 {
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
	w.Header().Set("X-Runner", r.task)
	w.WriteHeader(http.StatusOK)
	io.Copy(w, req.Body)
}
