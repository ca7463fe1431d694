package lifecycle_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gorilla/mux"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/lifecycle"
)

// TestServeFinishesRequestsInFlight checks that Serve doesn't return or cut off the
// connection while a request is in flight at the end of its context.
func TestServeFinishesRequestsInFlight(t *testing.T) {
	RegisterTestingT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	addr := l.Addr().String()
	Expect(l.Close()).To(Succeed())
	arrived, release := make(chan struct{}), make(chan struct{})
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { close(arrived); <-release })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	served, answered := make(chan error, 1), make(chan int, 1)
	go func() { served <- lifecycle.Serve(ctx, addr, h, lifecycle.ServeOptions{MemoryMiB: 64}) }()
	Eventually(func() error { c, err := net.Dial("tcp", addr); closeIf(c); return err }).Should(Succeed())
	go func() {
		resp, err := http.Get("http://" + addr)
		if err != nil {
			answered <- 0
			return
		}
		resp.Body.Close()
		answered <- resp.StatusCode
	}()
	<-arrived
	cancel()
	Expect(served).NotTo(Receive())
	close(release)
	Expect(<-answered).To(Equal(http.StatusOK))
	Expect(<-served).To(Succeed())
}

func closeIf(c net.Conn) {
	if c != nil {
		c.Close()
	}
}

// TestHealthEndpoints checks that /healthz always succeeds and that /readyz follows
// the readiness function.
func TestHealthEndpoints(t *testing.T) {
	RegisterTestingT(t)
	ready := false
	r := mux.NewRouter()
	lifecycle.AddHealthEndpoints(r, func() bool { return ready })
	get := func(path string) int {
		w := httptest.NewRecorder()
		r.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code
	}
	Expect([]int{get("/healthz"), get("/readyz")}).To(Equal([]int{200, 503}))
	ready = true
	Expect(get("/readyz")).To(Equal(200))
}
