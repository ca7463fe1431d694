// Package lifecycle serves a program's HTTP endpoints, handles termination signals
// and sets up the Go runtime.
package lifecycle

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/ingress"
)

// SignalContext returns a context that is cancelled at the first SIGTERM or SIGINT.
// A second signal calls onSecondSignal and exits with code 1.
func SignalContext(parent context.Context, onSecondSignal func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		onSecondSignal()
		os.Exit(1)
	}()
	return ctx, cancel
}

// AddHealthEndpoints adds /healthz and /readyz to a router.
func AddHealthEndpoints(r *mux.Router, ready func() bool) {
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// Router returns a router with the endpoints common to all programs: health, and
// metrics if the handler is not nil.
func Router(ready func() bool, metrics http.Handler) *mux.Router {
	r := mux.NewRouter()
	AddHealthEndpoints(r, ready)
	if metrics != nil {
		r.Handle("/metrics", metrics)
	}
	return r
}

// Protocols returns HTTP/1.1 and unencrypted HTTP/2 for a server.
func Protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Serve serves h at addr until ctx ends, then waits for requests in flight to finish.
// Connections, request heads and bodies are bounded as the options say.
func Serve(ctx context.Context, addr string, h http.Handler, opt ServeOptions) error {
	gate := ingress.New(opt.gateConfig())
	l, err := gate.Listen(addr)
	if err != nil {
		return err
	}
	sweeps, stopSweeps := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSweeps()
	go gate.Run(sweeps)
	srv := gate.Server(gate.Handler(h))
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	logrus.WithField("address", l.Addr().String()).Info("serving")
	select {
	case err := <-failed:
		return errors.WithStack(err)
	case <-ctx.Done():
	}
	return errors.WithStack(srv.Shutdown(context.WithoutCancel(ctx)))
}
