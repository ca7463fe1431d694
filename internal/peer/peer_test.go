package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/store"
)

// slowWay carries requests to a handler.
type slowWay struct {
	to          http.Handler
	there, back time.Duration
}

func (w slowWay) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(w.there)
	rec := httptest.NewRecorder()
	w.to.ServeHTTP(rec, r)
	time.Sleep(w.back)
	return rec.Result(), nil
}

// viewing is a node whose view was last read age before each answer, and which
// holds each read for a time. Without an age it doesn't tell.
type viewing struct {
	Node
	held, age time.Duration
}

func (v viewing) Reader() store.Reader { return viewReader{v} }

func (v viewing) ReadJobLog(ctx context.Context, from int64, wait time.Duration) (store.Batch, error) {
	return v.Reader().Read(ctx, store.Partition{}, from, wait)
}

type viewReader struct{ v viewing }

func (r viewReader) Read(context.Context, store.Partition, int64, time.Duration) (store.Batch, error) {
	time.Sleep(r.v.held)
	b := store.Batch{NextOffset: 3, End: -1}
	if r.v.age > 0 {
		b.ReadAt = time.Now().Add(-r.v.age)
	}
	return b, nil
}

func (r viewReader) Newest(context.Context, store.Partition, string) (store.Page, error) {
	return store.Page{}, store.ErrNotExecuted
}

func TestNoWayMakesAViewLookNewer(t *testing.T) {
	const there, back = 40 * time.Millisecond, 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		follow := false
		read := func(v viewing) (b store.Batch, at time.Time) {
			c := NewClient(slowWay{Handler(v), there, back})
			sent := time.Now()
			var err error
			if follow {
				b, err = c.ReadJobLog(t.Context(), "a:1", 3, time.Second)
			} else {
				b, err = c.Reader("a:1").Read(t.Context(), store.Partition{Topic: "t"}, 3, time.Second)
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(b.NextOffset).To(Equal(int64(3)))
			return b, sent.Add(there + v.held - v.age)
		}
		for _, held := range []time.Duration{0, 250 * time.Millisecond, 900 * time.Millisecond} {
			for _, age := range []time.Duration{time.Microsecond, 70 * time.Millisecond, 700400 * time.Microsecond} {
				for _, follow = range []bool{false, true} {
					b, at := read(viewing{held: held, age: age})
					g.Expect(b.ReadAt.After(at)).To(BeFalse(), "held %v, age %v", held, age)
					g.Expect(at.Sub(b.ReadAt)).To(BeNumerically("<=", there+2*time.Millisecond), "held %v, age %v", held, age)
				}
			}
		}
		b, _ := read(viewing{})
		g.Expect(b.ReadAt.IsZero()).To(BeTrue(), "it is not told")
	})
}

// loadingNode is a node that reads its own view.
type loadingNode struct{ Node }

func (loadingNode) Reader() store.Reader { return loadingReader{} }

type loadingReader struct{ store.Reader }

func (loadingReader) Newest(context.Context, store.Partition, string) (store.Page, error) {
	return store.Page{}, store.ErrLoading
}

func TestNodeThatLoadsIsToldFromOneThatFails(t *testing.T) {
	g := NewWithT(t)
	read := func(n Node) error {
		_, err := NewClient(slowWay{to: Handler(n)}).Reader("a:1").Newest(t.Context(), store.Partition{}, "")
		return err
	}
	g.Expect(read(loadingNode{})).To(MatchError(store.ErrLoading))
	err := read(viewing{})
	g.Expect(err).To(MatchError(store.ErrNotExecuted))
	g.Expect(err).NotTo(MatchError(store.ErrLoading))
}
