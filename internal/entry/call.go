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

// call is one caller's request on its own goroutine.
type call struct {
	entry *Entry
	id    uint64
	admit routing.RequestReceived
	// due is the local time of the deadline.
	due  time.Duration
	w    http.ResponseWriter
	req  *http.Request
	body *requestBody
	// verdicts brings Send and Finish effects from the core's goroutine. A
	// request has at most maxVerdicts of them.
	verdicts chan routing.Effect
	// current is the send in flight, for the core's goroutine.
	current atomic.Pointer[exchange]
	// The rest belongs to the core's goroutine: inFlight is whether a send has
	// not ended, ended whether the caller has been told.
	inFlight, ended bool
	// gaveUp is the number of the send that was last given up.
	gaveUp uint64
}

// maxVerdicts is the most sends of a request, and its end.
const maxVerdicts = 8

// serve carries one request.
func (e *Entry) serve(w http.ResponseWriter, req *http.Request) {
	service := mux.Vars(req)["service"]
	a, within, err := admission(service, req.Header, req.Method)
	if err != nil {
		e.metrics.badHeader()
		refuse(w, http.StatusBadRequest, "bad-header", err.Error())
		return
	}
	a.ID = e.ids.Add(1)
	began := e.now()
	a.Deadline = began + within
	c := &call{
		entry: e, id: a.ID, admit: a, due: a.Deadline, w: w, req: req,
		body: &requestBody{src: req.Body}, verdicts: make(chan routing.Effect, maxVerdicts),
	}
	duplex := c.allowDuplex()
	e.admit(c)
	c.wait()
	if duplex {
		c.finishBody()
	}
	e.metrics.took(e.now() - began)
}

// allowDuplex lets the answer begin before the request's body has ended: else
// an HTTP/1.1 server takes up to 256 KiB of a body's rest for itself then. It
// does not where the caller waits to be told to go on.
func (c *call) allowDuplex() bool {
	if c.req.ProtoMajor != 1 || c.req.ContentLength == 0 || c.req.Header.Get("Expect") != "" {
		return false
	}
	return http.NewResponseController(c.w).EnableFullDuplex() == nil
}

// finishBody reads what is left of a short body after the answer. The server
// would do so itself, but with full duplex its watch for the caller's leaving
// then gets in the way of the connection's next request.
func (c *call) finishBody() {
	if c.body.ended() {
		return
	}
	_ = http.NewResponseController(c.w).Flush()
	c.body.skip(skipLimit)
}

// wait follows the core's verdicts until the request has ended.
func (c *call) wait() {
	left := c.req.Context().Done()
	var x *exchange
	var answers chan *begunAnswer
	defer func() {
		if x != nil {
			close(x.gone)
		}
	}()
	for {
		select {
		case v := <-c.verdicts:
			switch v := v.(type) {
			case routing.Send:
				x = c.start(v)
				answers = x.answers
			case routing.Finish:
				c.conclude(v.Result)
				return
			}
		case ans := <-answers:
			c.relay(x, ans)
			return
		case <-left:
			left = nil
			c.entry.post(routing.CallerDisconnected{ID: c.id})
		}
	}
}

// start begins a send on a goroutine of its own, since its answer may be
// waited for longer than by this caller.
func (c *call) start(s routing.Send) *exchange {
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.req.Context()))
	x := &exchange{
		entry: c.entry, send: s, body: c.body, cancel: cancel,
		answers: make(chan *begunAnswer), gone: make(chan struct{}),
	}
	c.current.Store(x)
	out := x.outgoing(c.req, c.admit.Service, c.due-c.entry.now())
	t := c.entry.upstreams.transport(s.Address, s.NewConnection, c.admit.Idempotent)
	c.entry.running.Go(func() { x.run(ctx, out, t) })
	return x
}

// conclude tells the caller an ending that is not an answer being passed on.
func (c *call) conclude(end routing.Result) {
	if end.RetryAfter > 0 {
		c.w.Header().Set("Retry-After", seconds(end.RetryAfter))
	}
	switch end.Outcome {
	case routing.OutcomeAnswered:
		c.replay(end)
	case routing.OutcomeNotRun:
		refuse(c.w, notRunStatus(end.Reason), string(end.Reason), "not run")
	case routing.OutcomeUnknown:
		tell(c.w, http.StatusBadGateway, outcomeUnknown, string(end.Reason), "outcome unknown")
	}
}

// replay gives the answer that an earlier request with the same key got.
func (c *call) replay(end routing.Result) {
	kept := c.entry.answers.get(end.ReplayOf)
	if kept == nil {
		tell(c.w, http.StatusGone, outcomeAnswered, string(routing.ReasonAnswerNotKept), "answered before; the answer was not kept")
		return
	}
	h := c.w.Header()
	for name, values := range kept.header {
		h[name] = values
	}
	h.Set(headerOutcome, outcomeAnswered)
	h.Set(headerReplayed, "true")
	c.w.WriteHeader(kept.status)
	_, _ = c.w.Write(kept.body)
}

// notRunStatus tells overload by one's own team, time and all else apart.
func notRunStatus(why routing.Reason) int {
	switch why {
	case routing.ReasonQueueFull, routing.ReasonDisplaced:
		return http.StatusTooManyRequests
	case routing.ReasonDeadline, routing.ReasonExpectedWait:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

func refuse(w http.ResponseWriter, status int, why, text string) {
	tell(w, status, outcomeNotRun, why, text)
}

func tell(w http.ResponseWriter, status int, outcome, why, text string) {
	h := w.Header()
	h.Set(headerOutcome, outcome)
	h.Set(headerReason, why)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	fmt.Fprintf(w, "%s: %s\n", text, why)
}

// seconds rounds up, as Retry-After has whole seconds.
func seconds(d time.Duration) string {
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}
