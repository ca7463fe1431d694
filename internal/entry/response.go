package entry

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"github.com/mimosaspool/mimosaspool/internal/routing"
)

// copyBufferBytes is the size of the buffers used to copy bodies.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// discardWriter accepts and drops all data.
type discardWriter struct{}

// Write implements io.Writer.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// copyBody copies src to w until the end of src. It returns only read errors.
// After a write error it stops writing but reads src to the end.
func copyBody(w io.Writer, src io.Reader) (writeFailed bool, err error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := src.Read(*buf)
		if n > 0 && !writeFailed {
			_, werr := w.Write((*buf)[:n])
			writeFailed = werr != nil
		}
		if err == io.EOF {
			return writeFailed, nil
		}
		if err != nil {
			return writeFailed, err
		}
	}
}

// relayResponse passes a response on to the caller. A complete response is
// written only after the core has ended the request, so that the caller gets
// the result that the core decided.
func (c *call) relayResponse(x *exchange, res *upstreamResponse) {
	defer res.Body.Close()
	if !res.complete {
		c.relayStream(x, res)
		return
	}
	if x.send.KeepResponse {
		c.entry.responses.put(x.send.ID, res)
	}
	x.postAnswered(res.StatusCode)
	if result := c.awaitFinish(); result.Outcome != routing.OutcomeAnswered {
		c.writeResult(result)
		return
	}
	c.writeHeader(res.Response)
	_, _ = c.w.Write(res.bodyPrefix)
	c.writeTrailer(res.Response)
}

// relayStream passes a response on to the caller as it arrives.
func (c *call) relayStream(x *exchange, res *upstreamResponse) {
	select {
	case v := <-c.effects:
		if finish, ok := v.(routing.Finish); ok {
			c.writeResult(finish.Result)
		}
		x.drainResponse(res)
		return
	default:
	}
	c.entry.post(routing.SendProgressed{ID: x.send.ID, Send: x.send.Send, ResponseStarted: true})
	c.writeHeader(res.Response)
	w := flushingWriter{c.w, http.NewResponseController(c.w), res.ContentLength < 0}
	writeFailed, err := copyBody(w, io.MultiReader(bytes.NewReader(res.bodyPrefix), res.Body))
	if writeFailed {
		c.entry.post(routing.CallerDisconnected{ID: c.id})
	}
	if err != nil {
		x.postFailed(true)
		c.awaitFinish()
		panic(http.ErrAbortHandler) // the caller must see that the response is truncated
	}
	c.writeTrailer(res.Response)
	x.postAnswered(res.StatusCode)
	c.awaitFinish()
}

// awaitFinish waits for the core's result of the request.
func (c *call) awaitFinish() routing.Result {
	for {
		if finish, ok := (<-c.effects).(routing.Finish); ok {
			return finish.Result
		}
	}
}

// writeHeader writes the status and headers of a response from a runner or
// another entry.
func (c *call) writeHeader(resp *http.Response) {
	h := c.w.Header()
	replayed := resp.Header.Get(headerReplayed)
	dropHopByHop(resp.Header)
	dropEntryHeaders(resp.Header)
	for name, values := range resp.Header {
		h[name] = values
	}
	if replayed != "" {
		h.Set(headerReplayed, replayed)
	}
	h.Set(headerOutcome, outcomeAnswered)
	for name := range resp.Trailer {
		h.Add("Trailer", name)
	}
	c.w.WriteHeader(resp.StatusCode)
}

func (c *call) writeTrailer(resp *http.Response) {
	for name, values := range resp.Trailer {
		c.w.Header()[name] = values
	}
}

// flushingWriter flushes after each write if the response's length isn't
// known.
type flushingWriter struct {
	w     io.Writer
	ctl   *http.ResponseController
	flush bool
}

// Write implements io.Writer.
func (f flushingWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil && f.flush {
		err = f.ctl.Flush()
	}
	return n, err
}

func cloneURL(u *url.URL) *url.URL {
	c := *u
	return &c
}

// stripPathPrefix removes the prefix from the path and keeps the path's
// original escaping.
func stripPathPrefix(u *url.URL, prefix string) {
	if escaped := u.EscapedPath(); strings.HasPrefix(escaped, prefix) {
		rest := strings.TrimPrefix(escaped, prefix)
		if rest == "" {
			rest = "/"
		}
		if p, err := url.PathUnescape(rest); err == nil {
			u.Path, u.RawPath = p, rest
		}
	}
}
