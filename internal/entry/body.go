package entry

import (
	"cmp"
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// replayLimit is how much of a request's body is kept for a retry.
const replayLimit = 64 << 10

// skipLimit is more than the rest of a body for whose end a server waits.
const skipLimit = 256<<10 + 1

// errNotReplayable ends a try whose body is no longer at hand.
var errNotReplayable = errors.New("body can't be sent again")

// requestBody is a caller's body that several tries can read, one after the
// other, as long as it is short.
type requestBody struct {
	// mu is held while the source is read, which may take long.
	mu   sync.Mutex
	src  io.Reader
	kept []byte
	err  error
	// total counts the bytes read; over is set once the source has ended, broken
	// once it has failed.
	total        atomic.Int64
	over, broken atomic.Bool
}

// replayable reports whether a further try could send the whole body.
func (b *requestBody) replayable() bool {
	return b.total.Load() <= replayLimit && !b.broken.Load()
}

// ended reports whether the source has been read to its end or has failed.
func (b *requestBody) ended() bool { return b.over.Load() }

// skip reads up to n more bytes from the source and drops them.
func (b *requestBody) skip(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		m, err := io.CopyN(io.Discard, b.src, n)
		b.total.Add(replayLimit + 1 + m)
		b.err = cmp.Or(err, errNotReplayable)
	}
}

// try returns a reader of the body from its start.
func (b *requestBody) try() *bodyTry { return &bodyTry{body: b} }

// bodyTry is one try's reader. It has no GetBody on purpose: the transport must
// not send a request again by itself.
type bodyTry struct {
	body *requestBody
	off  int64
}

// Read implements io.Reader.
func (t *bodyTry) Read(p []byte) (int, error) {
	b := t.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case t.off < int64(len(b.kept)):
		n := copy(p, b.kept[t.off:])
		t.off += int64(n)
		return n, nil
	case t.off < b.total.Load():
		return 0, errNotReplayable
	case b.err != nil:
		return 0, b.err
	}
	return t.fill(p)
}

// fill reads from the source and keeps what fits.
func (t *bodyTry) fill(p []byte) (int, error) {
	b := t.body
	n, err := b.src.Read(p)
	if b.total.Add(int64(n)) <= replayLimit {
		b.kept = append(b.kept, p[:n]...)
	} else {
		b.kept = nil
	}
	t.off += int64(n)
	b.err = err
	b.over.Store(err != nil)
	b.broken.Store(err != nil && err != io.EOF)
	return n, err
}

// Close implements io.Closer. The source belongs to the caller's connection.
func (t *bodyTry) Close() error { return nil }
