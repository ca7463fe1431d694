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

// copyBytes is the size of the buffers that bodies pass through.
const copyBytes = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBytes); return &b }}

// discard takes everything.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// copyBody copies until the end of src. The error is that of the reader;
// a writer that fails is written to no more, and the rest is read all the same.
func copyBody(w io.Writer, src io.Reader) (writeFailed bool, err error) {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
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

// relay passes an answer on to the caller. A short one waits until the core has
// ended the request, so that the caller is told what the core decided.
func (c *call) relay(x *exchange, ans *begunAnswer) {
	defer ans.Body.Close()
	if !ans.whole {
		c.relayStream(x, ans)
		return
	}
	if x.send.KeepResponse {
		c.entry.answers.put(x.send.ID, ans)
	}
	x.answered(ans.StatusCode)
	if end := c.awaitEnd(); end.Outcome != routing.OutcomeAnswered {
		c.conclude(end)
		return
	}
	c.header(ans.Response)
	_, _ = c.w.Write(ans.head)
	c.trailer(ans.Response)
}

// relayStream passes on an answer while it comes.
func (c *call) relayStream(x *exchange, ans *begunAnswer) {
	select {
	case v := <-c.verdicts:
		if end, ok := v.(routing.Finish); ok {
			c.conclude(end.Result)
		}
		x.drain(ans)
		return
	default:
	}
	c.entry.post(routing.SendProgressed{ID: x.send.ID, Send: x.send.Send, ResponseStarted: true})
	c.header(ans.Response)
	w := flushing{c.w, http.NewResponseController(c.w), ans.ContentLength < 0}
	writeFailed, err := copyBody(w, io.MultiReader(bytes.NewReader(ans.head), ans.Body))
	if writeFailed {
		c.entry.post(routing.CallerDisconnected{ID: c.id})
	}
	if err != nil {
		x.failed(true)
		c.awaitEnd()
		panic(http.ErrAbortHandler) // the caller must see that the answer is cut
	}
	c.trailer(ans.Response)
	x.answered(ans.StatusCode)
	c.awaitEnd()
}

// awaitEnd waits for the core's end of the request.
func (c *call) awaitEnd() routing.Result {
	for {
		if end, ok := (<-c.verdicts).(routing.Finish); ok {
			return end.Result
		}
	}
}

// header writes status and headers of a runner's or another entry's answer.
func (c *call) header(resp *http.Response) {
	h := c.w.Header()
	replayed := resp.Header.Get(headerReplayed)
	dropHopByHop(resp.Header)
	dropOwn(resp.Header)
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

func (c *call) trailer(resp *http.Response) {
	for name, values := range resp.Trailer {
		c.w.Header()[name] = values
	}
}

// flushing flushes after each write where the answer's length isn't known.
type flushing struct {
	w     io.Writer
	ctl   *http.ResponseController
	flush bool
}

// Write implements io.Writer.
func (f flushing) Write(p []byte) (int, error) {
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

// stripPrefix takes the prefix off the path as it was sent.
func stripPrefix(u *url.URL, prefix string) {
	if raw := u.EscapedPath(); strings.HasPrefix(raw, prefix) {
		rest := strings.TrimPrefix(raw, prefix)
		if rest == "" {
			rest = "/"
		}
		if p, err := url.PathUnescape(rest); err == nil {
			u.Path, u.RawPath = p, rest
		}
	}
}
