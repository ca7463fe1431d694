package noded

import (
	"context"
	"encoding/json"
	"net/http"
	"path"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/intake"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// request is what the desk has said of one caller's request.
type request struct {
	job, queue string
	outcome    intake.Outcome
	known      bool
}

type requestKey struct{}

func (r *request) say(job string, q *workflow.Queue, o intake.Outcome) {
	if r != nil {
		r.job, r.queue, r.outcome, r.known = job, q.Name, o, true
	}
}

func requestOf(ctx context.Context) *request {
	r, _ := ctx.Value(requestKey{}).(*request)
	return r
}

// desk passes requests on and remembers their outcomes for the log.
type desk struct{ intake.Service }

// Submit implements intake.Desk.
func (d desk) Submit(ctx context.Context, q *workflow.Queue, job workflow.Job) intake.Outcome {
	o := d.Service.Submit(ctx, q, job)
	requestOf(ctx).say(job.ID, q, o)
	return o
}

// State implements intake.Desk.
func (d desk) State(ctx context.Context, caller intake.Caller, q *workflow.Queue, id string) (workflow.State, intake.Outcome) {
	s, o := d.Service.State(ctx, caller, q, id)
	requestOf(ctx).say(id, q, o)
	return s, o
}

// Cancel implements intake.Desk.
func (d desk) Cancel(ctx context.Context, caller intake.Caller, q *workflow.Queue, id string) intake.Outcome {
	o := d.Service.Cancel(ctx, caller, q, id)
	requestOf(ctx).say(id, q, o)
	return o
}

// requestLog logs a line for each request of a caller that changes something
// or was refused.
type requestLog struct {
	next    http.Handler
	log     logrus.FieldLogger
	observe func(name string, d time.Duration)
	// age returns how old the view of the jobs is, below 0 if there is none.
	age func() time.Duration
}

// answer keeps an answer's status, and of a refusal its text.
type answer struct {
	http.ResponseWriter
	status int
	text   []byte
}

// headerRequestID is the header in which callers give a request an ID of their
// own, by which they ask for it later.
const headerRequestID = "Request-Id"

// maxRequestID bounds what is logged of it.
const maxRequestID = 64

// maxRefusalText bounds what is logged of a refusal that the desk has not made.
const maxRefusalText = 200

// Unwrap lets http.ResponseController find what is below.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	a.status = status
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) {
	if a.status >= http.StatusBadRequest {
		a.text = append(a.text, p[:min(len(p), maxRefusalText-len(a.text))]...)
	}
	return a.ResponseWriter.Write(p)
}

// ServeHTTP implements http.Handler.
func (l *requestLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	req := &request{}
	a := &answer{ResponseWriter: w, status: http.StatusOK}
	l.next.ServeHTTP(a, r.WithContext(context.WithValue(r.Context(), requestKey{}, req)))
	if r.Method == http.MethodPost {
		l.observe("accept", time.Since(began))
	}
	kind := requestKind(r.Method, a.status)
	if kind == "" {
		return
	}
	f := logrus.Fields{"kind": kind, "status": a.status, "took_ms": time.Since(began).Milliseconds()}
	if age := l.age(); age >= 0 {
		f["age_ms"] = age.Milliseconds()
	}
	if id := r.Header.Get(headerRequestID); id != "" {
		f["request"] = id[:min(len(id), maxRequestID)]
	}
	if req.known {
		f["job"], f["queue"], f["outcome"] = req.job, req.queue, req.outcome.Code.String()
		if req.outcome.Reason != "" {
			f["reason"] = req.outcome.Reason
		}
	} else {
		last := path.Base(r.URL.Path)
		f["job"], f["method"], f["outcome"], f["reason"] = last[:min(len(last), maxRefusalText)], r.Method, "refused", refusalText(a.text)
	}
	l.log.WithFields(f).Info("request")
}

// refusalText returns the reason in an answer's body: its error, if it says one.
func refusalText(body []byte) string {
	var b struct{ Error string }
	if err := json.Unmarshal(body, &b); err == nil && b.Error != "" {
		return b.Error
	}
	return string(body)
}

// requestKind names a request's line in the log, or is empty if it needs none.
func requestKind(method string, status int) string {
	refused := status >= http.StatusBadRequest
	unknown := status == http.StatusGatewayTimeout
	switch method {
	case http.MethodPost:
		switch {
		case unknown:
			return "job-unknown"
		case refused:
			return "job-refused"
		}
		return "job-accepted"
	case http.MethodDelete:
		switch {
		case unknown:
			return "cancel-unknown"
		case refused:
			return "cancel-refused"
		}
		return "cancel-accepted"
	}
	if refused {
		return "query-refused"
	}
	return ""
}
