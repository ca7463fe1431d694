package ingress

import (
	"context"
	"net/http"
	"sync/atomic"
)

// AnswerBudget bounds the bytes of responses that are held until their clients have read them.
// It may be used concurrently.
type AnswerBudget struct {
	limit int64
	held  atomic.Int64
}

// NewAnswerBudget returns a budget for a number of bytes; 0 means no limit.
func NewAnswerBudget(limit int64) *AnswerBudget { return &AnswerBudget{limit: limit} }

type answerKey struct{}

// answer is the response to one request.
type answer struct {
	budget *AnswerBudget
	bytes  atomic.Int64
}

// Handler releases what HoldAnswer has taken for a request of next when its response is written.
func (b *AnswerBudget) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := &answer{budget: b}
		defer func() { b.held.Add(-a.bytes.Load()) }()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), answerKey{}, a)))
	})
}

// HoldAnswer takes bytes for the response to the request of the context, and returns false if
// there are too few. A response is always admitted while there is no other.
func HoldAnswer(ctx context.Context, n int64) bool {
	a, ok := ctx.Value(answerKey{}).(*answer)
	if !ok {
		return true
	}
	b := a.budget
	if held := b.held.Add(n); b.limit > 0 && held > b.limit && held > n {
		b.held.Add(-n)
		return false
	}
	a.bytes.Add(n)
	return true
}

// LimitRequests returns a handler that serves at most n requests of next at the same time, and
// answers others with 503.
func LimitRequests(n int, next http.Handler) http.Handler {
	slots := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			next.ServeHTTP(w, r)
		default:
			w.Header().Set("Retry-After", retryAfterSeconds)
			http.Error(w, "too many requests at the same time", http.StatusServiceUnavailable)
		}
	})
}
