package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/mimosaspool/mimosaspool/internal/routing"
)

// call is one caller's request, served on its own goroutine.
type call struct {
	entry *Entry
	id    uint64
	event routing.RequestReceived
	// deadline is the request's deadline in the entry's local time.
	deadline time.Duration
	w        http.ResponseWriter
	req      *http.Request
	body     *requestBody
	// effects delivers Send and Finish effects from the core's goroutine. A
	// request has at most maxEffects of them.
	effects chan routing.Effect
	// current is the send in flight. The core's goroutine reads it.
	current atomic.Pointer[exchange]
	// The remaining fields belong to the core's goroutine. inFlight is set while a
	// send has not ended, ended once the request's result has been handed to the
	// caller's goroutine.
	inFlight, ended bool
	// cancelledSend is the number of the send that was cancelled last.
	cancelledSend uint64
}

// maxEffects is the maximum number of sends of a request, plus one for its
// Finish.
const maxEffects = 8

// serveRequest handles one caller's request.
func (e *Entry) serveRequest(w http.ResponseWriter, req *http.Request) {
	service := mux.Vars(req)["service"]
	ev, timeout, err := parseHeaders(service, req.Header, req.Method)
	if err != nil {
		e.metrics.countBadHeader()
		writeNotRun(w, http.StatusBadRequest, "bad-header", err.Error())
		return
	}
	ev.ID = e.lastID.Add(1)
	start := e.now()
	ev.Deadline = start + timeout
	c := &call{
		entry: e, id: ev.ID, event: ev, deadline: ev.Deadline, w: w, req: req,
		body: &requestBody{source: req.Body}, effects: make(chan routing.Effect, maxEffects),
	}
	duplex := c.enableFullDuplex()
	e.postRequest(c)
	c.handleEffects()
	if duplex {
		c.discardBody()
	}
	e.metrics.observeDuration(e.now() - start)
}

// enableFullDuplex lets the response begin before the request body has ended.
// Otherwise an HTTP/1.1 server consumes up to 256 KiB of the unread body at
// that point. It leaves requests with an Expect header alone, since their
// caller waits for permission to send the body.
func (c *call) enableFullDuplex() bool {
	if c.req.ProtoMajor != 1 || c.req.ContentLength == 0 || c.req.Header.Get("Expect") != "" {
		return false
	}
	return http.NewResponseController(c.w).EnableFullDuplex() == nil
}

// discardBody reads the rest of a short request body after the response. The
// server would do so itself, but in full duplex mode its detection of a
// disconnected caller then interferes with the connection's next request.
func (c *call) discardBody() {
	if c.body.ended() {
		return
	}
	_ = http.NewResponseController(c.w).Flush()
	c.body.discard(maxDiscardBytes)
}

// handleEffects carries out the core's effects until the request has ended.
func (c *call) handleEffects() {
	callerGone := c.req.Context().Done()
	var x *exchange
	var responses chan *upstreamResponse
	defer func() {
		if x != nil {
			close(x.callerDone)
		}
	}()
	for {
		select {
		case v := <-c.effects:
			switch v := v.(type) {
			case routing.Send:
				x = c.startSend(v)
				responses = x.responses
			case routing.Finish:
				c.writeResult(v.Result)
				return
			}
		case res := <-responses:
			c.relayResponse(x, res)
			return
		case <-callerGone:
			callerGone = nil
			c.entry.post(routing.CallerDisconnected{ID: c.id})
		}
	}
}

// startSend starts a send on its own goroutine, since the send may wait for
// its response longer than this caller does.
func (c *call) startSend(s routing.Send) *exchange {
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.req.Context()))
	x := &exchange{
		entry: c.entry, send: s, body: c.body, cancel: cancel,
		responses: make(chan *upstreamResponse), callerDone: make(chan struct{}),
	}
	c.current.Store(x)
	out := x.newUpstreamRequest(c.req, c.event.Service, c.deadline-c.entry.now())
	t := c.entry.upstreams.transport(s.Address, s.NewConnection, c.event.Idempotent)
	c.entry.goroutines.Go(func() { x.run(ctx, out, t) })
	return x
}

// writeResult writes a result that is not a relayed response.
func (c *call) writeResult(result routing.Result) {
	if result.RetryAfter > 0 {
		c.w.Header().Set("Retry-After", retryAfterSeconds(result.RetryAfter))
	}
	switch result.Outcome {
	case routing.OutcomeAnswered:
		c.writeReplay(result)
	case routing.OutcomeNotRun:
		writeNotRun(c.w, notRunStatus(result.Reason), string(result.Reason), "not run")
	case routing.OutcomeUnknown:
		writeOutcome(c.w, http.StatusBadGateway, outcomeUnknown, string(result.Reason), "outcome unknown")
	}
}

// writeReplay writes the response to an earlier request with the same key.
func (c *call) writeReplay(result routing.Result) {
	stored := c.entry.responses.get(result.ReplayOf)
	if stored == nil {
		writeOutcome(c.w, http.StatusGone, outcomeAnswered, string(routing.ReasonAnswerNotKept), "answered before; the answer was not kept")
		return
	}
	h := c.w.Header()
	for name, values := range stored.headers {
		h[name] = values
	}
	h.Set(headerOutcome, outcomeAnswered)
	h.Set(headerReplayed, "true")
	c.w.WriteHeader(stored.status)
	_, _ = c.w.Write(stored.body)
}

// notRunStatus distinguishes overload by the caller's own team, timeouts and
// all other reasons.
func notRunStatus(reason routing.Reason) int {
	switch reason {
	case routing.ReasonQueueFull, routing.ReasonDisplaced:
		return http.StatusTooManyRequests
	case routing.ReasonDeadline, routing.ReasonExpectedWait:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

func writeNotRun(w http.ResponseWriter, status int, reason, text string) {
	writeOutcome(w, status, outcomeNotRun, reason, text)
}

func writeOutcome(w http.ResponseWriter, status int, outcome, reason, text string) {
	h := w.Header()
	h.Set(headerOutcome, outcome)
	h.Set(headerReason, reason)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	fmt.Fprintf(w, "%s: %s\n", text, reason)
}

// retryAfterSeconds rounds up, since Retry-After is in whole seconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}
