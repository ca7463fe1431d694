package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// serveGate starts a server behind a gate whose handler reads the body. It returns the
// gate and a function that sends requests on a new connection.
func serveGate(t *testing.T, bounds Bounds, limits Limits) (*Gate, func() net.Conn) {
	g := NewWithT(t)
	log, _ := logtest.NewNullLogger()
	gate := New(Config{Bounds: bounds, Limits: func() Limits { return limits }, Log: log, Count: func(string, string) {},
		Refusal: func(reason string) (string, []byte) { return "text/plain", []byte(reason) }})
	l, err := gate.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := gate.Server(gate.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Limited") != "" {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	})))
	go s.Serve(l)
	go gate.Run(t.Context())
	t.Cleanup(func() { _ = s.Close() })
	return gate, func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// status reads a response and returns its status and body.
func status(g Gomega, r *bufio.Reader) (int, string) {
	res, err := http.ReadResponse(r, nil)
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(res.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return res.StatusCode, string(body)
}

var roomy = Bounds{Connections: 10, IdleConnections: 10, HeadBytes: 1 << 20, BodyBytes: 1 << 20}

var patient = Limits{MaxHeadBytes: 2000, HeadTimeout: time.Minute, IdleTimeout: time.Minute, BodyTimeout: time.Minute, BodyStall: time.Minute}

// A head of exactly the limit must be accepted and one of another byte refused, also on a
// connection that has served requests before.
func TestHeadLimitIsExact(t *testing.T) {
	g := NewWithT(t)
	_, dial := serveGate(t, roomy, patient)
	head := func(size int) string {
		const form = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nX: %s\r\n\r\n"
		return fmt.Sprintf(form, strings.Repeat("x", size-len(form)+2))
	}
	c := dial()
	r := bufio.NewReader(c)
	for i := range 50 {
		fmt.Fprint(c, head(2000)+"abc")
		code, _ := status(g, r)
		g.Expect(code).To(Equal(http.StatusOK), "request %d", i)
	}
	fmt.Fprint(c, head(2001)+"abc")
	code, reason := status(g, r)
	g.Expect(code).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	g.Expect(reason).To(Equal(reasonHeadLarge))
	_, err := r.ReadByte()
	g.Expect(err).To(MatchError(io.EOF), "the connection is closed")
}

// A body that stands still must end with 408 in place of the handler's response, and a
// body beyond the bound with 503, which tells that the request was not handled.
func TestBodiesAreRefused(t *testing.T) {
	g := NewWithT(t)
	limits := patient
	limits.BodyStall = 300 * time.Millisecond
	_, dial := serveGate(t, roomy, limits)
	for header, want := range map[string]string{"": reasonBodyStalled, "Limited: by the handler\r\n": reasonBodyTimeout} {
		c := dial()
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\n%sContent-Length: 9\r\n\r\nabc", header)
		code, reason := status(g, bufio.NewReader(c))
		g.Expect(code).To(Equal(http.StatusRequestTimeout))
		g.Expect(reason).To(Equal(want))
	}

	gate, dial := serveGate(t, Bounds{Connections: 10, IdleConnections: 10, HeadBytes: 1 << 20, BodyBytes: 100}, patient)
	a, b := dial(), dial()
	fmt.Fprint(a, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n"+strings.Repeat("x", 800))
	held := func() int64 { gate.mu.Lock(); defer gate.mu.Unlock(); return gate.ledger.bodies }
	g.Eventually(held).Should(Equal(int64(800 * bodyFactor)))
	fmt.Fprint(b, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
	res, err := http.ReadResponse(bufio.NewReader(b), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(res.Header.Get("Retry-After")).To(Equal(retryAfterSeconds))
	g.Expect(res.Close).To(BeTrue())
	fmt.Fprint(a, strings.Repeat("x", 100))
	code, _ := status(g, bufio.NewReader(a))
	g.Expect(code).To(Equal(http.StatusOK))
	g.Eventually(held).Should(BeZero())
}

// An incomplete head and an idle connection must be closed at their time limits.
func TestSilentConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	limits := patient
	limits.HeadTimeout, limits.IdleTimeout = 200*time.Millisecond, 200*time.Millisecond
	gate, dial := serveGate(t, roomy, limits)
	head, kept := dial(), dial()
	fmt.Fprint(head, "GET / HT")
	fmt.Fprint(kept, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	code, _ := status(g, bufio.NewReader(kept))
	g.Expect(code).To(Equal(http.StatusOK))
	for _, c := range []net.Conn{head, kept} {
		_, err := c.Read(make([]byte, 1))
		g.Expect(err).To(MatchError(io.EOF))
	}
	gate.mu.Lock()
	defer gate.mu.Unlock()
	g.Expect(gate.ledger.clients).To(BeEmpty())
	g.Expect(gate.ledger.idle).To(BeZero())
}
