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

// exchange is one send of a request. It ends with exactly one event.
type exchange struct {
	entry  *Entry
	send   routing.Send
	body   *requestBody
	cancel context.CancelFunc
	// conn is the connection in use. writtenAtStart and readAtStart are its byte
	// counts before the send.
	conn                        atomic.Pointer[countingConn]
	writtenAtStart, readAtStart atomic.Int64
	// sentOnEarlierConn is set once an earlier connection has taken bytes of the
	// request.
	sentOnEarlierConn atomic.Bool
	// lastBytes is the number of bytes transferred as of the last connection
	// check.
	lastBytes int64
	// responses passes the response to the caller's goroutine. callerDone is
	// closed when that goroutine no longer needs the response or has finished with
	// it.
	responses  chan *upstreamResponse
	callerDone chan struct{}
}

// upstreamResponse is a response and the beginning of its body.
type upstreamResponse struct {
	*http.Response
	bodyPrefix []byte
	// complete is set when bodyPrefix is the whole body.
	complete bool
}

// run performs the round trip. It returns only after the response has been
// handed over to the caller's goroutine or handled here.
func (x *exchange) run(ctx context.Context, out *http.Request, t *http.Transport) {
	out = out.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn}))
	resp, err := t.RoundTrip(out)
	if err != nil {
		x.postFailed(false)
		return
	}
	if ev := x.refusalEvent(resp); ev != nil {
		resp.Body.Close()
		x.release()
		x.entry.post(ev)
		return
	}
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	res, err := readBodyPrefix(resp, *buf)
	if err != nil {
		resp.Body.Close()
		x.postFailed(false)
		return
	}
	select {
	case x.responses <- res:
		<-x.callerDone
	case <-x.callerDone:
		x.drainResponse(res)
	}
}

// readBodyPrefix reads the whole of a short body, or the first piece of any
// other body.
func readBodyPrefix(resp *http.Response, buf []byte) (*upstreamResponse, error) {
	if n := resp.ContentLength; n >= 0 && n <= int64(len(buf)) {
		n, err := io.ReadFull(resp.Body, buf[:expectedBodyLength(resp)])
		return &upstreamResponse{resp, buf[:n], true}, err
	}
	n, err := resp.Body.Read(buf)
	if err == io.EOF {
		return &upstreamResponse{resp, buf[:n], true}, nil
	}
	return &upstreamResponse{resp, buf[:n], false}, err
}

// expectedBodyLength is the length of the body to read, for a response whose
// Content-Length fits the buffer.
func expectedBodyLength(resp *http.Response) int64 {
	if resp.Request.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return 0
	}
	return resp.ContentLength
}

// gotConn records the connection before the first byte is written. It closes
// the connection, so that no byte is sent, if the send's time limit has passed
// or if the transport is about to resend a request of which bytes may already
// have been sent.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn.(*countingConn)
	resent := x.maybeSent()
	x.sentOnEarlierConn.Store(resent)
	x.writtenAtStart.Store(conn.written.Load())
	x.readAtStart.Store(conn.read.Load())
	x.conn.Store(conn)
	if resent || x.entry.now() >= x.send.NotAfter {
		conn.Close()
		x.cancel()
	}
}

// maybeSent reports whether any byte of the request may have been sent.
func (x *exchange) maybeSent() bool {
	if x.sentOnEarlierConn.Load() {
		return true
	}
	conn := x.conn.Load()
	return conn != nil && conn.written.Load() > x.writtenAtStart.Load()
}

// bytesTransferred returns the number of bytes written and read on the
// connection since the send started.
func (x *exchange) bytesTransferred() int64 {
	conn := x.conn.Load()
	if conn == nil {
		return 0
	}
	return conn.written.Load() - x.writtenAtStart.Load() + conn.read.Load() - x.readAtStart.Load()
}

// release frees the send's resources and counts its cross-region traffic.
func (x *exchange) release() {
	if x.send.CrossRegion {
		x.entry.metrics.addCrossRegionBytes(x.bytesTransferred())
	}
	x.cancel()
}

// postFailed ends the send without a complete response.
func (x *exchange) postFailed(responseStarted bool) {
	sent := x.maybeSent()
	x.release()
	x.entry.post(routing.SendFailed{
		ID: x.send.ID, Send: x.send.Send, MaybeSent: sent, ResponseStarted: responseStarted, Replayable: x.body.replayable(),
	})
}

// postAnswered ends the send with its complete response.
func (x *exchange) postAnswered(status int) {
	x.release()
	x.entry.post(routing.SendAnswered{ID: x.send.ID, Send: x.send.Send, Status: status})
}

// drainResponse reads a response that no caller waits for, so that the core
// learns when the request has ended and its slot is free.
func (x *exchange) drainResponse(res *upstreamResponse) {
	defer res.Body.Close()
	if !res.complete {
		if _, err := copyBody(discardWriter{}, res.Body); err != nil {
			x.postFailed(true)
			return
		}
	}
	x.postAnswered(res.StatusCode)
}

// refusalEvent returns the event for a response that says that the request was
// not started, or that another entry doesn't know its outcome. It returns nil
// for any other response.
func (x *exchange) refusalEvent(resp *http.Response) routing.Event {
	if x.send.Target == routing.TargetRunner {
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(headerNotStarted) == "" {
			return nil
		}
		return x.refusedEvent(resp, routing.ReasonNone)
	}
	switch resp.Header.Get(headerOutcome) {
	case outcomeNotRun:
		return x.refusedEvent(resp, routing.Reason(resp.Header.Get(headerReason)))
	case outcomeAnswered:
		return nil
	}
	return routing.SendFailed{
		ID: x.send.ID, Send: x.send.Send, MaybeSent: true, Unknown: true,
		Reason: routing.Reason(resp.Header.Get(headerReason)), RetryAfter: parseRetryAfter(resp.Header),
	}
}

func (x *exchange) refusedEvent(resp *http.Response, reason routing.Reason) routing.Event {
	return routing.SendRefused{
		ID: x.send.ID, Send: x.send.Send, RetryAfter: parseRetryAfter(resp.Header), Reason: reason, Replayable: x.body.replayable(),
	}
}

// newUpstreamRequest returns the request to send upstream.
func (x *exchange) newUpstreamRequest(in *http.Request, service string, remaining time.Duration) *http.Request {
	out := &http.Request{
		Method:        in.Method,
		URL:           cloneURL(in.URL),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        forwardedHeaders(in.Header),
		Host:          in.Host,
		ContentLength: in.ContentLength,
		Body:          x.body.newReader(),
	}
	if in.ContentLength == 0 {
		out.Body = http.NoBody
	}
	out.URL.Scheme, out.URL.Host = "http", x.send.Address
	out.Header.Set(headerDeadline, remaining.Round(time.Millisecond).String())
	if x.send.Target == routing.TargetRunner {
		stripPathPrefix(out.URL, "/s/"+service)
		addForwardedFor(out.Header, in.RemoteAddr)
	} else {
		out.Header.Set(headerHop, x.entry.opt.Core.Host)
	}
	if out.Header["User-Agent"] == nil {
		out.Header["User-Agent"] = nil // keeps the HTTP client from adding its own
	}
	return out
}

// addForwardedFor appends the caller's address to X-Forwarded-For for the
// runner.
func addForwardedFor(h http.Header, remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	h.Set("X-Forwarded-For", strings.Join(append(h.Values("X-Forwarded-For"), host), ", "))
}
