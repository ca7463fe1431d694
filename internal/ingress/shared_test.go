package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// A connection of HTTP/2 must count for all requests that it can carry, and close others for it.
func TestMultiplexedConnectionsCountForTheirRequests(t *testing.T) {
	g := NewWithT(t)
	l, now := newLedger(Bounds{Connections: 2*multiplexedWeight + 1, HeadBytes: 100}), time.Now()
	clients := make([]*client, multiplexedWeight+3)
	for i := range clients {
		clients[i] = &client{}
		_, ok := l.add(clients[i], now.Add(time.Duration(i-100)))
		g.Expect(ok).To(BeTrue())
	}
	closed, ok := l.multiplex(clients[0], now)
	g.Expect(ok).To(BeTrue())
	g.Expect(closed).To(Equal(clients[1:2]))
	g.Expect(l.connections).To(Equal(2*multiplexedWeight + 1))
	for _, c := range clients[2:] {
		l.enter(c, answering, now)
	}
	closed, ok = l.multiplex(clients[2], now)
	g.Expect(closed).To(Equal(clients[0:1]), "it has no request")
	g.Expect(ok).To(BeTrue())
	closed, ok = l.multiplex(clients[3], now)
	g.Expect(closed).To(BeEmpty())
	g.Expect(ok).To(BeFalse(), "all requests are being answered")

	c := clients[2]
	g.Expect(l.beginStream(c, 60, now)).To(BeTrue())
	g.Expect(l.beginStream(c, 60, now)).To(BeFalse(), "the heads take too much")
	l.endStream(c, 60, now)
	g.Expect(l.heads).To(BeZero())
	g.Expect(c.phase).To(Equal(idle))
	for _, c := range clients {
		l.remove(c)
	}
	g.Expect(l.connections).To(BeZero())
}

// A client that doesn't read its response must give way to others after a while, and one whose
// handler doesn't read its body must not.
func TestUnreadResponsesGiveWay(t *testing.T) {
	g := NewWithT(t)
	l, now := newLedger(Bounds{Connections: 2, HeadBytes: 100, BodyBytes: 100}), time.Now()
	unread, upload := &client{}, &client{}
	l.add(unread, now)
	l.add(upload, now)
	l.enter(unread, answering, now)
	l.enter(upload, receivingBody, now)
	unread.writingSince, upload.paused = now, true
	_, ok := l.add(&client{}, now.Add(minUnread/2))
	g.Expect(ok).To(BeFalse())
	limits := Limits{BodyStall: minUnread, HeadTimeout: time.Hour, IdleTimeout: time.Hour}
	g.Expect(upload.overdue(now.Add(time.Minute), limits)).To(BeEmpty())
	g.Expect(unread.overdue(now.Add(maxUnread+1), limits)).To(Equal(reasonUnread))
	closed, ok := l.add(&client{}, now.Add(minUnread))
	g.Expect(ok).To(BeTrue())
	g.Expect(closed).To(BeIdenticalTo(unread))
	upload.paused = false
	g.Expect(upload.overdue(now.Add(time.Minute), limits)).To(Equal(reasonBodyStalled))
}

// serveStreaming starts a streaming server of HTTP/1.1 and HTTP/2 behind a gate.
func serveStreaming(t *testing.T, bounds Bounds, limits Limits, h http.HandlerFunc) (*Gate, string) {
	log, _ := logtest.NewNullLogger()
	gate := New(Config{Bounds: bounds, Limits: func() Limits { return limits }, Log: log, Count: func(string, string) {}, Streaming: true, HTTP2: true,
		Refusal:       func(reason string) (string, []byte) { return "text/plain", []byte(reason) },
		RefusalHeader: func(reason string) http.Header { return http.Header{"X-Outcome": {"not-run"}, "X-Reason": {reason}} }})
	l, err := gate.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := gate.Server(gate.Handler(h))
	go s.Serve(l)
	go gate.Run(t.Context())
	t.Cleanup(func() { _ = s.Close() })
	return gate, l.Addr().String()
}

// A body of any length must pass, beside others, and a refusal must have the promised headers.
func TestStreamedBodiesPass(t *testing.T) {
	g := NewWithT(t)
	bounds := Bounds{Connections: 10, IdleConnections: 10, HeadBytes: 1 << 20, BodyBytes: 4 * streamedBodyBytes * bodyFactor}
	gate, address := serveStreaming(t, bounds, patient, func(w http.ResponseWriter, r *http.Request) {
		g.Expect(http.NewResponseController(w).EnableFullDuplex()).To(Succeed())
		_, _ = io.Copy(w, r.Body)
	})
	const size = 64 * streamedBodyBytes
	for range 3 {
		c, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		go func() {
			fmt.Fprintf(c, "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
			_, _ = io.Copy(c, io.LimitReader(strings.NewReader(strings.Repeat("x", size)), size))
		}()
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		g.Expect(err).NotTo(HaveOccurred())
		n, err := io.Copy(io.Discard, res.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(int64(size)))
	}
	g.Eventually(func() int64 { gate.mu.Lock(); defer gate.mu.Unlock(); return gate.ledger.bodies }).Should(BeZero())
	c, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	fmt.Fprintf(c, "GET / HTTP/1.1\r\nX-Filler: %s\r\n", strings.Repeat("x", 2000))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	g.Expect(res.Header).To(And(HaveKeyWithValue("X-Outcome", []string{"not-run"}), HaveKeyWithValue("X-Reason", []string{reasonHeadLarge})))
}

// A connection of HTTP/2 must serve requests as long as it likes, also after pauses.
func TestHTTP2PassesTheGate(t *testing.T) {
	g := NewWithT(t)
	limits := patient
	limits.HeadTimeout = 200 * time.Millisecond
	gate, address := serveStreaming(t, Bounds{Connections: 100, IdleConnections: 10, HeadBytes: 1 << 20, BodyBytes: 1 << 20}, limits,
		func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: p}
	defer transport.CloseIdleConnections()
	for range 3 {
		for range 20 {
			res, err := (&http.Client{Transport: transport}).Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", 4000)))
			g.Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(res.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(res.ProtoMajor).To(Equal(2))
			g.Expect(body).To(HaveLen(4000))
		}
		time.Sleep(2 * limits.HeadTimeout)
	}
	gate.mu.Lock()
	defer gate.mu.Unlock()
	g.Expect(gate.ledger.clients).To(HaveLen(1))
	g.Expect(gate.ledger.heads).To(BeZero())
}

// What responses hold must be bounded and released, and so must the number of requests.
func TestResponsesAreBounded(t *testing.T) {
	g := NewWithT(t)
	b := NewAnswerBudget(100)
	held := func(n int64) (ok bool) {
		b.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { ok = HoldAnswer(r.Context(), n) })).
			ServeHTTP(nil, httptest.NewRequest(http.MethodGet, "/", nil))
		return ok
	}
	b.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		g.Expect(HoldAnswer(r.Context(), 150)).To(BeTrue(), "there is no other")
		g.Expect(held(1)).To(BeFalse())
	})).ServeHTTP(nil, httptest.NewRequest(http.MethodGet, "/", nil))
	g.Expect(held(60)).To(BeTrue())
	g.Expect(b.held.Load()).To(BeZero())
	g.Expect(HoldAnswer(context.Background(), 1000)).To(BeTrue(), "there is no budget")

	var h http.Handler
	codes := []int{}
	h = LimitRequests(2, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(codes) == 0 {
			codes = append(codes, 0)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			return
		}
		w2 := httptest.NewRecorder()
		h.ServeHTTP(w2, r)
		codes = append(codes, w2.Code)
	}))
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	g.Expect(codes).To(Equal([]int{0, http.StatusServiceUnavailable}))
}
