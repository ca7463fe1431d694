package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/routing"
)

// exchange is one send of a request: it ends with exactly one event.
type exchange struct {
	entry  *Entry
	send   routing.Send
	body   *requestBody
	cancel context.CancelFunc
	// conn is the connection in use; startWritten and startRead are what had
	// passed on it before the send.
	conn                    atomic.Pointer[countedConn]
	startWritten, startRead atomic.Int64
	// sentBefore is set once an earlier connection took bytes of the request.
	sentBefore atomic.Bool
	// moved is what the last look at the connection's counters showed.
	moved int64
	// answers hands the response to the caller's goroutine; gone is closed when
	// that goroutine no longer wants it, or has dealt with it.
	answers chan *begunAnswer
	gone    chan struct{}
}

// begunAnswer is a response with the beginning of its body.
type begunAnswer struct {
	*http.Response
	head []byte
	// whole is set when head is the whole body.
	whole bool
}

// run carries out the round trip. It never returns before the response is
// handed over or dealt with here.
func (x *exchange) run(ctx context.Context, out *http.Request, t *http.Transport) {
	out = out.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn}))
	resp, err := t.RoundTrip(out)
	if err != nil {
		x.failed(false)
		return
	}
	if ev := x.refusal(resp); ev != nil {
		resp.Body.Close()
		x.end()
		x.entry.post(ev)
		return
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	ans, err := readHead(resp, *buf)
	if err != nil {
		resp.Body.Close()
		x.failed(false)
		return
	}
	select {
	case x.answers <- ans:
		<-x.gone
	case <-x.gone:
		x.drain(ans)
	}
}

// readHead reads a short body whole, and the first piece of any other.
func readHead(resp *http.Response, buf []byte) (*begunAnswer, error) {
	if n := resp.ContentLength; n >= 0 && n <= int64(len(buf)) {
		n, err := io.ReadFull(resp.Body, buf[:bodyLength(resp)])
		return &begunAnswer{resp, buf[:n], true}, err
	}
	n, err := resp.Body.Read(buf)
	if err == io.EOF {
		return &begunAnswer{resp, buf[:n], true}, nil
	}
	return &begunAnswer{resp, buf[:n], false}, err
}

// bodyLength is the length of a body that was announced as a short one.
func bodyLength(resp *http.Response) int64 {
	if resp.Request.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return 0
	}
	return resp.ContentLength
}

// gotConn notes the connection before the first byte is written. A send that
// comes too late, and one that the transport would repeat by itself after bytes
// had left, get a connection that takes no byte.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn.(*countedConn)
	again := x.reached()
	x.sentBefore.Store(again)
	x.startWritten.Store(conn.written.Load())
	x.startRead.Store(conn.read.Load())
	x.conn.Store(conn)
	if again || x.entry.now() >= x.send.NotAfter {
		conn.Close()
		x.cancel()
	}
}

// reached reports whether a byte of the request may have left.
func (x *exchange) reached() bool {
	if x.sentBefore.Load() {
		return true
	}
	conn := x.conn.Load()
	return conn != nil && conn.written.Load() > x.startWritten.Load()
}

// bytes returns what has moved on the connection since the send began.
func (x *exchange) bytes() int64 {
	conn := x.conn.Load()
	if conn == nil {
		return 0
	}
	return conn.written.Load() - x.startWritten.Load() + conn.read.Load() - x.startRead.Load()
}

// end lets the send's resources go and counts what it cost.
func (x *exchange) end() {
	if x.send.CrossRegion {
		x.entry.metrics.crossed(x.bytes())
	}
	x.cancel()
}

// failed ends the send without a whole answer.
func (x *exchange) failed(begun bool) {
	reached := x.reached()
	x.end()
	x.entry.post(routing.SendFailed{
		ID: x.send.ID, Send: x.send.Send, MaybeSent: reached, ResponseStarted: begun, Replayable: x.body.replayable(),
	})
}

// answered ends the send with its whole answer.
func (x *exchange) answered(status int) {
	x.end()
	x.entry.post(routing.SendAnswered{ID: x.send.ID, Send: x.send.Send, Status: status})
}

// drain reads an answer that nobody waits for, so that the slot's request is
// known to have ended.
func (x *exchange) drain(ans *begunAnswer) {
	defer ans.Body.Close()
	if !ans.whole {
		if _, err := copyBody(discard{}, ans.Body); err != nil {
			x.failed(true)
			return
		}
	}
	x.answered(ans.StatusCode)
}

// refusal returns the event of an answer that says that the request was not
// started, or that another entry does not know its outcome.
func (x *exchange) refusal(resp *http.Response) routing.Event {
	if x.send.Target == routing.TargetRunner {
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(headerNotStarted) == "" {
			return nil
		}
		return x.refused(resp, routing.ReasonNone)
	}
	switch resp.Header.Get(headerOutcome) {
	case outcomeNotRun:
		return x.refused(resp, routing.Reason(resp.Header.Get(headerReason)))
	case outcomeAnswered:
		return nil
	}
	return routing.SendFailed{
		ID: x.send.ID, Send: x.send.Send, MaybeSent: true, Unknown: true,
		Reason: routing.Reason(resp.Header.Get(headerReason)), RetryAfter: retryAfter(resp.Header),
	}
}

func (x *exchange) refused(resp *http.Response, why routing.Reason) routing.Event {
	return routing.SendRefused{
		ID: x.send.ID, Send: x.send.Send, RetryAfter: retryAfter(resp.Header), Reason: why, Replayable: x.body.replayable(),
	}
}

// outgoing makes the request that a send carries.
func (x *exchange) outgoing(in *http.Request, service string, left time.Duration) *http.Request {
	out := &http.Request{
		Method:        in.Method,
		URL:           cloneURL(in.URL),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        passed(in.Header),
		Host:          in.Host,
		ContentLength: in.ContentLength,
		Body:          x.body.try(),
	}
	if in.ContentLength == 0 {
		out.Body = http.NoBody
	}
	out.URL.Scheme, out.URL.Host = "http", x.send.Address
	out.Header.Set(headerDeadline, left.Round(time.Millisecond).String())
	if x.send.Target == routing.TargetRunner {
		stripPrefix(out.URL, "/s/"+service)
		addForwarded(out.Header, in.RemoteAddr)
	} else {
		out.Header.Set(headerHop, x.entry.opt.Core.Host)
	}
	if out.Header["User-Agent"] == nil {
		out.Header["User-Agent"] = nil // keeps the client library from adding its own
	}
	return out
}

// addForwarded appends the caller's address for the runner.
func addForwarded(h http.Header, remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	h.Set("X-Forwarded-For", strings.Join(append(h.Values("X-Forwarded-For"), host), ", "))
}
