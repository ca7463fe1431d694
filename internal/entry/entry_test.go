package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	control "github.com/mimosaspool/mimosaspool/api/control"
	"github.com/mimosaspool/mimosaspool/internal/routing"
	"github.com/mimosaspool/mimosaspool/internal/telemetry"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Entry")
}

// fakeScheduler is a leading scheduler that grants fixed slots.
type fakeScheduler struct {
	mu      sync.Mutex
	version int64
	runners []*control.Endpoint
}

// Sync implements control.Directory.
func (l *fakeScheduler) Sync(_ context.Context, req *control.SyncRequest) (*control.SyncReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if req.KnownVersion == l.version {
		time.Sleep(10 * time.Millisecond)
		return &control.SyncReply{Leader: true, Version: l.version, Unchanged: true}, nil
	}
	return &control.SyncReply{Leader: true, Version: l.version, Endpoints: l.runners, Services: []*control.ServiceInfo{{Name: "s"}}}, nil
}

// testEntry is an entry under test with its server.
type testEntry struct {
	*Entry
	server *httptest.Server
	stop   func()
}

// startTestEntry starts an entry with its server and a scheduler, and waits
// until the entry is ready.
func startTestEntry(l *fakeScheduler, set routing.Settings) *testEntry {
	tel, err := telemetry.New("entry")
	Expect(err).NotTo(HaveOccurred())
	scheduler := httptest.NewServer(control.NewDirectoryServer(l))
	scheduler.Config.SetKeepAlivesEnabled(false)
	e, err := New(Options{
		Core: set, Schedulers: []string{scheduler.URL}, Client: &http.Client{Timeout: time.Second},
		Telemetry: tel, Logger: logrus.NewEntry(logrus.New()),
	})
	Expect(err).NotTo(HaveOccurred())
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	e.Register(r)
	h := &testEntry{Entry: e, server: httptest.NewServer(r)}
	stop := e.Start(context.Background())
	h.stop = func() {
		h.server.Close()
		stop()
		scheduler.Close()
		Expect(tel.Close()).To(Succeed())
	}
	Eventually(e.Ready).Should(BeTrue())
	return h
}

func testSettings(name string) routing.Settings {
	return routing.Settings{Host: name, Incarnation: "1", Domain: "d", Region: "r", Seed: 1, NewDomain: true, Timing: routing.DefaultTiming()}
}

var _ = ginkgo.Describe("Entry", func() {
	var l *fakeScheduler
	var h *testEntry
	var runner *httptest.Server
	var handler atomic.Pointer[http.HandlerFunc]
	var runs atomic.Int64
	serve := func(f http.HandlerFunc) { handler.Store(&f) }

	ginkgo.BeforeEach(func() {
		runs.Store(0)
		runner = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			runs.Add(1)
			(*handler.Load())(w, req)
		}))
		l = &fakeScheduler{version: 1, runners: []*control.Endpoint{{Service: "s", Attempt: 1, Address: runner.Listener.Addr().String(), Slots: 8}}}
		h = startTestEntry(l, testSettings("e1"))
	})
	ginkgo.AfterEach(func() {
		runner.CloseClientConnections()
		h.stop()
		runner.Close()
	})
	do := func(method, path string, body io.Reader, headers ...string) *http.Response {
		req, err := http.NewRequest(method, h.server.URL+path, body)
		Expect(err).NotTo(HaveOccurred())
		for i := 0; i < len(headers); i += 2 {
			req.Header.Set(headers[i], headers[i+1])
		}
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(resp.Body.Close)
		return resp
	}
	text := func(resp *http.Response) string {
		data, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return string(data)
	}

	ginkgo.It("forwards headers, path, both bodies and trailers unchanged", func() {
		serve(func(w http.ResponseWriter, req *http.Request) {
			w.Header().Set("X-Seen", req.URL.RequestURI()+" "+req.Header.Get("Traceparent")+req.Header.Get("X-Hop"))
			w.Header().Set("Trailer", "X-Sum")
			n, _ := io.Copy(w, req.Body)
			w.Header().Set("X-Sum", fmt.Sprint(n))
		})
		sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
		resp := do("POST", "/s/s/a%2Fb//c?x=1", bytes.NewReader(sent), "Traceparent", "00-1-2-01", "Connection", "X-Hop", "X-Hop", "x")
		got, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(got, sent)).To(BeTrue())
		Expect(resp.Header.Get("X-Seen")).To(Equal("/a%2Fb//c?x=1 00-1-2-01"))
		Expect(resp.Header.Get(headerOutcome)).To(Equal(outcomeAnswered))
		Expect(resp.Trailer.Get("X-Sum")).To(Equal(fmt.Sprint(len(sent))))
	})

	ginkgo.It("forwards a response that begins before the request body has ended", func() {
		serve(func(w http.ResponseWriter, req *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex()
			_, _ = io.Copy(w, req.Body)
		})
		for i := range 40 {
			sent := strings.Repeat("0123456789abcdef", 1<<15)[:256<<10+i%2]
			Expect(text(do("PUT", "/s/s/", strings.NewReader(sent)))).To(Equal(sent))
		}
	})

	ginkgo.It("keeps the caller's connection usable after a request whose body was not read", func() {
		for range 200 {
			Expect(text(do("POST", "/s/none/", strings.NewReader("some body")))).To(ContainSubstring("no-service"))
		}
	})

	ginkgo.It("forwards a streamed response as it arrives", func() {
		more := make(chan bool)
		serve(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "one")
			w.(http.Flusher).Flush()
			<-more
			fmt.Fprint(w, "two")
		})
		resp := do("GET", "/s/s/", nil)
		first := make([]byte, 3)
		_, err := io.ReadFull(resp.Body, first)
		Expect(err).NotTo(HaveOccurred())
		close(more)
		Expect(string(first) + text(resp)).To(Equal("onetwo"))
	})

	ginkgo.It("reports an unknown outcome and does not resend when the connection is lost after the request was sent", func() {
		serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		resp := do("POST", "/s/s/", strings.NewReader("x"))
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(resp.Header.Get(headerOutcome)).To(Equal(outcomeUnknown))
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	ginkgo.It("never lets the transport resend a request on its own", func() {
		serve(func(http.ResponseWriter, *http.Request) {})
		for range 3 {
			text(do("POST", "/s/s/", nil, headerIdempotent, "false", "X-Idempotency-Key", "k"))
		}
		runs.Store(0)
		serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		resp := do("GET", "/s/s/", nil, headerIdempotent, "false", "X-Idempotency-Key", "k")
		Expect(resp.Header.Get(headerOutcome)).To(Equal(outcomeUnknown))
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	ginkgo.It("retries an idempotent request with its complete body", func() {
		serve(func(w http.ResponseWriter, req *http.Request) {
			if runs.Load() == 1 {
				_, _ = io.ReadAll(req.Body)
				panic(http.ErrAbortHandler)
			}
			_, _ = io.Copy(w, req.Body)
		})
		Expect(text(do("PUT", "/s/s/", strings.NewReader("whole")))).To(Equal("whole"))
		Expect(runs.Load()).To(Equal(int64(2)))
	})

	ginkgo.It("reports not-run and Retry-After when the runner refused the request before starting it", func() {
		serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerNotStarted, "1")
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		resp := do("POST", "/s/s/", strings.NewReader("x"))
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get(headerOutcome)).To(Equal(outcomeNotRun))
		Expect(resp.Header.Get(headerReason)).To(Equal("runner-refused"))
		Expect(resp.Header.Get("Retry-After")).To(Equal("2"))
	})

	ginkgo.It("forwards a runner's own error as an answered request", func() {
		serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerOutcome, outcomeNotRun)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		resp := do("POST", "/s/s/", nil)
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get(headerOutcome)).To(Equal(outcomeAnswered))
	})

	ginkgo.It("aborts the caller's connection when a response is truncated", func() {
		serve(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, strings.Repeat("x", 100<<10))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		})
		_, err := io.ReadAll(do("GET", "/s/s/", nil).Body)
		Expect(err).To(HaveOccurred())
	})

	ginkgo.It("responds at the deadline and keeps the slot until the runner has finished", func() {
		release := make(chan bool)
		serve(func(http.ResponseWriter, *http.Request) { <-release })
		resp := do("GET", "/s/s/", nil, headerDeadline, "50ms")
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(resp.Header.Get(headerReason)).To(Equal("deadline"))
		held := func() (slots int) {
			h.withCore(func(c *routing.Core) { _, slots = c.InFlight() })
			return slots
		}
		Expect(held()).To(Equal(1))
		close(release)
		Eventually(held).Should(Equal(0))
	})

	ginkgo.It("names the invalid header", func() {
		resp := do("GET", "/s/s/", nil, headerDeadline, "soon")
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(text(resp)).To(ContainSubstring(headerDeadline))
		Expect(resp.Header.Get(headerOutcome)).To(Equal(outcomeNotRun))
	})

	ginkgo.It("refuses new requests while draining", func() {
		h.postAndWait(routing.Drain{})
		Expect(do("GET", "/s/s/", nil).Header.Get(headerReason)).To(Equal("entry-leaving"))
	})

	ginkgo.It("opens a new connection after one stopped transferring data", func() {
		proxy := newMutableProxy(runner.Listener.Addr().String())
		ginkgo.DeferCleanup(proxy.close)
		l.mu.Lock()
		l.version, l.runners = 2, []*control.Endpoint{{Service: "s", Attempt: 2, Address: proxy.listener.Addr().String(), Slots: 8}}
		l.mu.Unlock()
		serve(func(http.ResponseWriter, *http.Request) {})
		Eventually(func() int64 {
			text(do("GET", "/s/s/", nil))
			return proxy.conns.Load()
		}).Should(BeNumerically(">", 0))
		for range 3 {
			text(do("GET", "/s/s/", nil))
		}
		proxy.mute()
		start := time.Now()
		Expect(do("GET", "/s/s/", nil).StatusCode).To(Equal(200))
		Expect(time.Since(start)).To(BeNumerically("<", 10*time.Second))
	})
})

// mutableProxy forwards connections. On mute, open connections stop forwarding
// data without being closed; connections opened later work.
type mutableProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	muted    *atomic.Bool
	conns    atomic.Int64
}

func newMutableProxy(target string) *mutableProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	m := &mutableProxy{listener: l, target: target, muted: &atomic.Bool{}}
	go m.accept()
	return m
}

func (m *mutableProxy) accept() {
	for {
		in, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.conns.Add(1)
		out, err := net.Dial("tcp", m.target)
		if err != nil {
			in.Close()
			continue
		}
		m.mu.Lock()
		muted := m.muted
		m.mu.Unlock()
		go forward(in, out, muted)
		go forward(out, in, muted)
	}
}

func forward(from, to net.Conn, muted *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			to.Close()
			return
		}
		if !muted.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

func (m *mutableProxy) mute() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.muted.Store(true)
	m.muted = &atomic.Bool{}
}

func (m *mutableProxy) close() { m.listener.Close() }
