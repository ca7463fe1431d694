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

// delayedTransport passes requests to a handler, with a delay in each direction.
type delayedTransport struct {
	handler                     http.Handler
	requestDelay, responseDelay time.Duration
}

func (w delayedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(w.requestDelay)
	rec := httptest.NewRecorder()
	w.handler.ServeHTTP(rec, r)
	time.Sleep(w.responseDelay)
	return rec.Result(), nil
}

// fakeNode is a node whose view was last read viewAge before each response. Each
// read takes readDelay. If viewAge is zero, the response has no read time.
type fakeNode struct {
	Node
	readDelay, viewAge time.Duration
}

func (v fakeNode) Reader() store.Reader { return fakeReader{v} }

func (v fakeNode) ReadJobLog(ctx context.Context, from int64, wait time.Duration) (store.Batch, error) {
	return v.Reader().Read(ctx, store.Partition{}, from, wait)
}

type fakeReader struct{ node fakeNode }

func (r fakeReader) Read(context.Context, store.Partition, int64, time.Duration) (store.Batch, error) {
	time.Sleep(r.node.readDelay)
	b := store.Batch{NextOffset: 3, End: -1}
	if r.node.viewAge > 0 {
		b.ReadAt = time.Now().Add(-r.node.viewAge)
	}
	return b, nil
}

func (r fakeReader) Newest(context.Context, store.Partition, string) (store.Page, error) {
	return store.Page{}, store.ErrNotExecuted
}

// Callers are refused by the age of a view, so a view read through a peer must
// never look newer than it is. That would happen if the client counted the age
// from the time of the response: the delays of the network and of a read that
// waits would be left out.
func TestNetworkDelayNeverMakesViewLookNewer(t *testing.T) {
	const requestDelay, responseDelay = 40 * time.Millisecond, 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		follow := false
		read := func(v fakeNode) (b store.Batch, readAt time.Time) {
			c := NewClient(delayedTransport{Handler(v), requestDelay, responseDelay})
			sent := time.Now()
			var err error
			if follow {
				b, err = c.ReadJobLog(t.Context(), "a:1", 3, time.Second)
			} else {
				b, err = c.Reader("a:1").Read(t.Context(), store.Partition{Topic: "t"}, 3, time.Second)
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(b.NextOffset).To(Equal(int64(3)))
			return b, sent.Add(requestDelay + v.readDelay - v.viewAge)
		}
		for _, readDelay := range []time.Duration{0, 250 * time.Millisecond, 900 * time.Millisecond} {
			for _, age := range []time.Duration{time.Microsecond, 70 * time.Millisecond, 700400 * time.Microsecond} {
				for _, follow = range []bool{false, true} {
					b, readAt := read(fakeNode{readDelay: readDelay, viewAge: age})
					g.Expect(b.ReadAt.After(readAt)).To(BeFalse(), "read delay %v, view age %v", readDelay, age)
					g.Expect(readAt.Sub(b.ReadAt)).To(BeNumerically("<=", requestDelay+2*time.Millisecond), "read delay %v, view age %v", readDelay, age)
				}
			}
		}
		b, _ := read(fakeNode{})
		g.Expect(b.ReadAt.IsZero()).To(BeTrue(), "a response without a read time got one")
	})
}

// loadingNode is a node that is still loading its view.
type loadingNode struct{ Node }

func (loadingNode) Reader() store.Reader { return loadingReader{} }

type loadingReader struct{ store.Reader }

func (loadingReader) Newest(context.Context, store.Partition, string) (store.Page, error) {
	return store.Page{}, store.ErrLoading
}

// A peer that is still loading its view must be reported as store.ErrLoading and
// any other failure as store.ErrNotExecuted, although both arrive as Twirp errors.
func TestLoadingNodeDiffersFromFailingNode(t *testing.T) {
	g := NewWithT(t)
	read := func(n Node) error {
		_, err := NewClient(delayedTransport{handler: Handler(n)}).Reader("a:1").Newest(t.Context(), store.Partition{}, "")
		return err
	}
	g.Expect(read(loadingNode{})).To(MatchError(store.ErrLoading))
	err := read(fakeNode{})
	g.Expect(err).To(MatchError(store.ErrNotExecuted))
	g.Expect(err).NotTo(MatchError(store.ErrLoading))
}

// listingNode is a node that reads the same records at each read.
type listingNode struct {
	Node
	records []store.StoredRecord
}

func (n listingNode) Reader() store.Reader { return n }

func (n listingNode) Read(context.Context, store.Partition, int64, time.Duration) (store.Batch, error) {
	return store.Batch{Records: n.records, NextOffset: 3, End: 3}, nil
}

func (n listingNode) Newest(context.Context, store.Partition, string) (store.Page, error) {
	return store.Page{Records: n.records, NextKey: "b", End: 3}, nil
}

// Protobuf has no string for such a key, and the reader lost all records of the read.
func TestKeyThatIsNotUTF8DoesNotFailReadThroughPeer(t *testing.T) {
	g := NewWithT(t)
	at := func(offset int64, key string) store.StoredRecord {
		return store.StoredRecord{Offset: offset, Record: store.Record{Key: key, Value: []byte("\xff")}}
	}
	r := NewClient(delayedTransport{handler: Handler(listingNode{records: []store.StoredRecord{at(0, "a"), at(1, "a\xff"), at(2, "b")}})}).Reader("a:1")
	want := []store.StoredRecord{at(0, "a"), at(2, "b")}
	b, err := r.Read(t.Context(), store.Partition{}, 0, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b).To(Equal(store.Batch{Records: want, NextOffset: 3, End: 3}))
	page, err := r.Newest(t.Context(), store.Partition{}, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(page).To(Equal(store.Page{Records: want, NextKey: "b", End: 3}))
}
