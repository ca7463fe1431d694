package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

const (
	// sweepInterval is the precision of the time limits of connections.
	sweepInterval = 100 * time.Millisecond
	// maxSweepGap is the longest time between two sweeps that counts as the clients' own. After
	// a longer one the process was suspended or short of processor time.
	maxSweepGap = time.Second
	// reportInterval is the least time between two log lines of a reason.
	reportInterval = 30 * time.Second
	// receiveBuffer bounds what the kernel holds unread for a connection, which counts as
	// memory of the host. The kernel doubles it.
	receiveBuffer = 32 << 10
	// lingerTime is for how long a refused client's bytes are read and dropped, so that it
	// receives the response before the connection is reset.
	lingerTime = 300 * time.Millisecond
	// writeTimeout bounds a request including its response, so that a client that does not
	// read responses is disconnected. It exceeds the time that a request may take.
	writeTimeout = 90 * time.Second
	// streamedBodyBytes is how much is held at most of a body that is passed on.
	streamedBodyBytes = 64 << 10
	// Limits of a connection of HTTP/2, in bytes.
	streamReceiveBuffer, multiplexedReceiveBuffer = 64 << 10, 128 << 10
	// retryAfterSeconds is sent with 503.
	retryAfterSeconds = "1"
	countKind         = "ingress"
)

// Config sets up a Gate.
type Config struct {
	Bounds Bounds
	// Limits returns the limits in force. It is called often.
	Limits func() Limits
	// Refusal returns the content type and body of a refusal.
	Refusal func(reason string) (contentType string, body []byte)
	// RefusalHeader returns further headers of a refusal; it may be nil.
	RefusalHeader func(reason string) http.Header
	Count         func(kind, reason string)
	Log           logrus.FieldLogger
	// Streaming is set if the handler passes bodies of any length on while they come. Only a
	// part of each counts, a response takes as long as its client reads it, and the handler
	// itself answers requests whose bodies are ended.
	Streaming bool
	// HTTP2 makes the server speak HTTP/2 without TLS as well.
	HTTP2 bool
}

// Gate applies the bounds to one server. Its methods may be called concurrently.
type Gate struct {
	cfg Config
	mu  sync.Mutex
	// The fields below are guarded by mu.
	ledger  *ledger
	reports map[string]*report
	sweptAt time.Time
}

// report counts the events of a reason since its last log line.
type report struct {
	events   int64
	loggedAt time.Time
}

// New returns a gate without connections.
func New(cfg Config) *Gate {
	return &Gate{cfg: cfg, ledger: newLedger(cfg.Bounds), reports: map[string]*report{}, sweptAt: time.Now()}
}

// Listen opens a listener whose connections the gate accounts for.
func (g *Gate) Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		// Accepted connections inherit the option.
		ctlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) })
		if ctlErr != nil {
			return ctlErr
		}
		return err
	}}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return &listener{l, g}, nil
}

// Server returns a server of the handler for the gate's listener.
func (g *Gate) Server(h http.Handler) *http.Server {
	s := &http.Server{
		Handler: h, WriteTimeout: writeTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(nc net.Conn, s http.ConnState) {
			if c, ok := nc.(*conn); ok && s == http.StateIdle {
				c.requestEnded()
			}
		},
	}
	if g.cfg.Streaming {
		s.WriteTimeout = 0 // maxUnread applies
	}
	if g.cfg.HTTP2 {
		s.Protocols = &http.Protocols{}
		s.Protocols.SetHTTP1(true)
		s.Protocols.SetUnencryptedHTTP2(true)
		s.MaxHeaderBytes = int(g.cfg.Limits().MaxHeadBytes)
		s.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: multiplexedWeight, MaxReceiveBufferPerStream: streamReceiveBuffer,
			MaxReceiveBufferPerConnection: multiplexedReceiveBuffer, WriteByteTimeout: maxUnread}
	}
	return s
}

type connKey struct{}

// Run closes connections that take too long until the context ends.
func (g *Gate) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.sweep(time.Now())
		}
	}
}

func (g *Gate) sweep(now time.Time) {
	limits := g.cfg.Limits()
	g.mu.Lock()
	defer g.mu.Unlock()
	if gap := now.Sub(g.sweptAt); gap > maxSweepGap {
		g.ledger.postpone(gap)
	}
	g.sweptAt = now
	for c := range g.ledger.clients {
		switch reason := c.overdue(now, limits); reason {
		case "":
		case reasonBodyStalled, reasonBodyTimeout:
			g.endBody(c, reason, now)
		default:
			g.close(c, reason, now)
		}
	}
}

// close closes a connection at once. The caller holds g.mu.
func (g *Gate) close(c *client, reason string, now time.Time) {
	g.report(reason, now)
	g.ledger.remove(c)
	_ = c.conn.Conn.Close()
}

// endBody makes the read of a body fail; its request is answered with 408. The caller holds
// g.mu.
func (g *Gate) endBody(c *client, reason string, now time.Time) {
	g.report(reason, now)
	g.ledger.enter(c, draining, now)
	c.conn.ended = reason
	_ = c.conn.Conn.SetReadDeadline(now)
}

// report counts an event and logs it if the reason's last line is old. The caller holds g.mu.
func (g *Gate) report(reason string, now time.Time) {
	g.cfg.Count(countKind, reason)
	if reason == reasonIdleTimeout {
		return // an ordinary end
	}
	r := g.reports[reason]
	if r == nil {
		r = &report{}
		g.reports[reason] = r
	}
	r.events++
	if now.Sub(r.loggedAt) >= reportInterval {
		g.cfg.Log.WithFields(logrus.Fields{"kind": "clients-bounded", "reason": reason, "events": r.events,
			"connections": len(g.ledger.clients)}).Warn("connections closed or requests refused")
		r.events, r.loggedAt = 0, now
	}
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(raw, time.Now()); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

func (g *Gate) admit(raw net.Conn, now time.Time) *conn {
	c := &conn{Conn: raw, gate: g}
	c.account.conn = c
	g.mu.Lock()
	defer g.mu.Unlock()
	closed, ok := g.ledger.add(&c.account, now)
	if closed != nil {
		_ = closed.conn.Conn.Close()
	}
	if closed != nil || !ok {
		g.report(reasonConnections, now)
	}
	if !ok {
		return nil
	}
	return c
}

// conn is a connection of a client. The fields after gate are guarded by gate.mu.
type conn struct {
	net.Conn
	gate    *Gate
	account client
	scan    headScan
	// headEnded is set after the end of a head until the next one begins.
	headEnded bool
	// preface is how many bytes of that of HTTP/2 have been received, notHTTP2 if others have.
	preface int
	// bodyRead counts the bytes of the present body.
	bodyRead int64
	// early is the first byte of the next head, received while a request is answered.
	early    [1]byte
	hasEarly bool
	// ended is why the request was ended, empty if it was not.
	ended string
}

var errHeadRefused = errors.New("the head is refused")

// Read implements net.Conn. Of requests that are sent before the response to an earlier one
// (pipelining), the part of the head that net/http has buffered, at most 4 KiB, is not counted.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := time.Now()
	limits := c.gate.cfg.Limits()
	c.gate.mu.Lock()
	if c.gate.cfg.HTTP2 && c.preface >= 0 && c.receivePreface(p[:n], now) {
		c.account.progress = now
		c.gate.mu.Unlock()
		return n, err
	}
	if a := &c.account; a.phase == idle {
		c.gate.ledger.enter(a, receivingHead, now)
	}
	if c.account.phase != receivingHead {
		// net/http reads a single byte while a handler runs, to notice a closed connection.
		if len(p) == 1 {
			c.early[0], c.hasEarly = p[0], true
		}
		c.gate.mu.Unlock()
		return n, err
	}
	status, reason := c.receiveHead(p[:n], limits.MaxHeadBytes, now)
	c.gate.mu.Unlock()
	if status != 0 {
		c.refuseHead(status, reason)
		// net/http closes the connection without a response after an error of a read.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeadRefused}
	}
	return n, err
}

// http2Preface begins a connection of HTTP/2 (RFC 9113, section 3.4).
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// notHTTP2 is the value of conn.preface for a connection of HTTP/1.1.
const notHTTP2 = -1

// receivePreface compares the first bytes of a connection with the preface of HTTP/2. It
// reports whether the connection is multiplexed. The caller holds gate.mu.
func (c *conn) receivePreface(p []byte, now time.Time) bool {
	if c.multiplexed() {
		return true
	}
	n := min(len(p), len(http2Preface)-c.preface)
	if string(p[:n]) != http2Preface[c.preface:c.preface+n] {
		c.preface = notHTTP2
		return false
	}
	if c.preface += n; !c.multiplexed() {
		return false
	}
	g := c.gate
	g.ledger.enter(&c.account, idle, now)
	closed, ok := g.ledger.multiplex(&c.account, now)
	if !ok {
		closed = append(closed, &c.account)
		g.ledger.remove(&c.account)
	}
	for _, x := range closed {
		g.report(reasonConnections, now)
		_ = x.conn.Conn.Close()
	}
	return true
}

// multiplexed reports whether the connection is one of HTTP/2. The caller holds gate.mu.
func (c *conn) multiplexed() bool { return c.preface == len(http2Preface) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.setWriting(time.Now())
	n, err := c.Conn.Write(p)
	c.setWriting(time.Time{})
	return n, err
}

func (c *conn) setWriting(since time.Time) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.account.writingSince = since
}

// receiveHead accounts for bytes in the phase receivingHead. It returns a status if the head
// is refused. The caller holds gate.mu.
func (c *conn) receiveHead(p []byte, limit int64, now time.Time) (status int, reason string) {
	if c.headEnded {
		return 0, ""
	}
	n, ended := c.scan.next(p)
	c.headEnded = ended
	switch victim := c.gate.ledger.receiveHead(&c.account, int64(n), now); {
	case c.account.head > limit:
		status, reason = http.StatusRequestHeaderFieldsTooLarge, reasonHeadLarge
	case victim == &c.account:
		status, reason = http.StatusServiceUnavailable, reasonHeadBytes
	case victim != nil:
		c.gate.close(victim, reasonHeadBytes, now)
	}
	if status != 0 {
		c.gate.report(reason, now)
		c.gate.ledger.enter(&c.account, draining, now)
	}
	return status, reason
}

func (g *Gate) refusalHeader(reason string) http.Header {
	if g.cfg.RefusalHeader == nil {
		return nil
	}
	return g.cfg.RefusalHeader(reason)
}

// refuseHead writes a response and drops what the client still sends for a short time.
func (c *conn) refuseHead(status int, reason string) {
	contentType, body := c.gate.cfg.Refusal(reason)
	out := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Type: " + contentType +
		"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\nConnection: close\r\n"
	if status == http.StatusServiceUnavailable {
		out += "Retry-After: " + retryAfterSeconds + "\r\n"
	}
	for name, values := range c.gate.refusalHeader(reason) {
		for _, v := range values {
			out += name + ": " + v + "\r\n"
		}
	}
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	if _, err := c.Conn.Write(append([]byte(out+"\r\n"), body...)); err != nil {
		return
	}
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	var dropped [512]byte
	for {
		if _, err := c.Conn.Read(dropped[:]); err != nil {
			return
		}
	}
}

// SetReadDeadline implements net.Conn. The deadline of a request that was ended stays.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.ended != "" {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.gate.mu.Lock()
	c.gate.ledger.remove(&c.account)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// requestEnded begins the wait for the next request, whose first byte may have come already.
func (c *conn) requestEnded() {
	now := time.Now()
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.ended != "" || c.multiplexed() {
		return
	}
	c.scan, c.headEnded, c.bodyRead, c.account.paused = headScan{}, false, 0, false
	c.gate.ledger.enter(&c.account, idle, now)
	if c.hasEarly {
		c.hasEarly = false
		c.gate.ledger.enter(&c.account, receivingHead, now)
		c.receiveHead(c.early[:], c.gate.cfg.Limits().MaxHeadBytes, now)
	}
	if victim := c.gate.ledger.surplusIdle(now); victim != nil {
		c.gate.close(victim, reasonIdle, now)
	}
}

// enter begins a phase of the request unless it was ended.
func (c *conn) enter(p phase) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.ended == "" && c.account.phase != p {
		c.gate.ledger.enter(&c.account, p, time.Now())
	}
}

// Handler accounts for the bodies of requests to next.
func (g *Gate) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if r.ProtoMajor > 1 {
			c.serveStream(next, w, r)
			return
		}
		c.enter(answering)
		if r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, conn: c, response: &response{ResponseWriter: w}}
		r.Body = b
		next.ServeHTTP(b.response, r)
		if !b.complete {
			// net/http still reads a part of the rest.
			c.enter(draining)
		}
	})
}

// serveStream serves a request of a multiplexed connection, whose body is bounded by the
// connection's receive buffer.
func (c *conn) serveStream(next http.Handler, w http.ResponseWriter, r *http.Request) {
	g, n := c.gate, headBytes(r)
	g.mu.Lock()
	ok := g.ledger.beginStream(&c.account, n, time.Now())
	if !ok {
		g.report(reasonHeadBytes, time.Now())
	}
	g.mu.Unlock()
	if !ok {
		g.writeRefusal(w, http.StatusServiceUnavailable, reasonHeadBytes)
		return
	}
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.ledger.endStream(&c.account, n, time.Now())
	}()
	next.ServeHTTP(w, r)
}

// headBytes returns about how many bytes a request's head takes.
func headBytes(r *http.Request) int64 {
	const perField = 64
	n := int64(len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, v := range values {
			n += int64(len(name)+len(v)) + perField
		}
	}
	return n
}

// response drops what the handler writes after the request was refused.
type response struct {
	http.ResponseWriter
	refused bool
}

// Unwrap lets http.ResponseController find what is below.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if !r.refused {
		r.ResponseWriter.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	if r.refused {
		return len(p), nil
	}
	return r.ResponseWriter.Write(p)
}

// body is a request's body. Its Read refuses the request if it was ended or its bytes take too
// much memory.
type body struct {
	io.ReadCloser
	conn     *conn
	response *response
	// complete is set once the end was read.
	complete bool
}

var errBodyRefused = errors.New("the body is refused")

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.response.refused {
		return 0, errBodyRefused
	}
	b.conn.beginRead()
	n, err := b.ReadCloser.Read(p)
	switch status, reason := b.conn.receiveBody(n); {
	case status != 0:
		b.refuse(status, reason)
		return 0, errBodyRefused
	case errors.Is(err, io.EOF):
		b.complete = true
		b.conn.enter(answering)
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.refuse(http.StatusRequestTimeout, b.conn.expire())
		return 0, errBodyRefused
	}
	return n, err
}

// beginRead notes that the handler waits for bytes of the body.
func (c *conn) beginRead() {
	now := time.Now()
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	switch a := &c.account; {
	case c.ended != "":
	case a.phase != receivingBody:
		c.gate.ledger.enter(a, receivingBody, now)
	case a.paused:
		a.progress = now
	}
	c.account.paused = false
}

// receiveBody accounts for bytes of a body. It returns a status if the request is refused.
func (c *conn) receiveBody(n int) (status int, reason string) {
	now := time.Now()
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.account.paused = c.gate.cfg.Streaming
	if n == 0 {
		return 0, ""
	}
	if c.ended != "" {
		return http.StatusRequestTimeout, c.ended
	}
	c.bodyRead += int64(n)
	held := int64(n)
	if excess := c.bodyRead - streamedBodyBytes; c.gate.cfg.Streaming && excess > 0 {
		held = max(0, held-excess)
	}
	ended, ok := c.gate.ledger.receiveBody(&c.account, held, now)
	for _, victim := range ended {
		c.gate.endBody(victim, reasonBodyStalled, now)
	}
	if ok {
		return 0, ""
	}
	c.gate.endBody(&c.account, reasonBodyBytes, now)
	_ = c.Conn.SetReadDeadline(now.Add(lingerTime))
	return http.StatusServiceUnavailable, reasonBodyBytes
}

// expire ends the request at the deadline that its handler has set, unless it was ended
// before, and returns the reason.
func (c *conn) expire() string {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.ended == "" {
		c.gate.endBody(&c.account, reasonBodyTimeout, time.Now())
	}
	return c.ended
}

// refuse writes the response in place of the handler. A handler that streams has passed a part
// of the body on and answers itself.
func (b *body) refuse(status int, reason string) {
	if g := b.conn.gate; !g.cfg.Streaming {
		g.writeRefusal(b.response, status, reason)
		b.response.refused = true
	}
}

func (g *Gate) writeRefusal(w http.ResponseWriter, status int, reason string) {
	contentType, text := g.cfg.Refusal(reason)
	h := w.Header()
	for name, values := range g.refusalHeader(reason) {
		h[name] = values
	}
	h.Set("Connection", "close")
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(status)
	_, _ = w.Write(text) // the client may have gone
}
