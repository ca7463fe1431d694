// Package lifecycle serves a program's HTTP endpoints and stops it gracefully.
package lifecycle

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// headerTimeout bounds the wait for a request's headers.
const headerTimeout = 10 * time.Second

// Signals returns a context that ends at the first SIGTERM or SIGINT. A second
// signal calls atOnce and exits with code 1.
func Signals(parent context.Context, atOnce func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ch
		cancel()
		<-ch
		atOnce()
		os.Exit(1)
	}()
	return ctx, cancel
}

// AddHealth adds /healthz and /readyz to a router.
func AddHealth(r *mux.Router, ready func() bool) {
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// Router returns a router with the endpoints of every program: health, and the
// metrics where there are any.
func Router(ready func() bool, metrics http.Handler) *mux.Router {
	r := mux.NewRouter()
	AddHealth(r, ready)
	if metrics != nil {
		r.Handle("/metrics", metrics)
	}
	return r
}

// Protocols lets a server take HTTP/1.1 and HTTP/2 without TLS.
func Protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Serve serves h at addr until ctx ends, then lets requests in flight finish.
func Serve(ctx context.Context, addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, Protocols: Protocols()}
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
