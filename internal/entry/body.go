package entry

import (
	"cmp"
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// maxReplayBytes is how much of a request body is buffered for a retry.
const maxReplayBytes = 64 << 10

// maxDiscardBytes is one byte more than the largest unread body, 256 KiB, whose
// end an HTTP server waits for.
const maxDiscardBytes = 256<<10 + 1

// errNotReplayable fails an attempt whose request body is no longer buffered.
var errNotReplayable = errors.New("request body cannot be replayed")

// requestBody is a caller's request body. Several attempts can read it, one
// after the other, as long as it is no longer than maxReplayBytes.
type requestBody struct {
	// mu is held while the source is read, which may take long.
	mu       sync.Mutex
	source   io.Reader
	buffered []byte
	err      error
	// totalRead counts the bytes read. sourceEnded is set once the source has
	// returned EOF or an error, sourceFailed once it has returned an error other
	// than EOF.
	totalRead                 atomic.Int64
	sourceEnded, sourceFailed atomic.Bool
}

// replayable reports whether another attempt could send the whole body.
func (b *requestBody) replayable() bool {
	return b.totalRead.Load() <= maxReplayBytes && !b.sourceFailed.Load()
}

// ended reports whether the source has been read to its end or has failed.
func (b *requestBody) ended() bool { return b.sourceEnded.Load() }

// discard reads up to n more bytes from the source and drops them. The body is
// not replayable afterwards.
func (b *requestBody) discard(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		m, err := io.CopyN(io.Discard, b.source, n)
		b.totalRead.Add(maxReplayBytes + 1 + m)
		b.err = cmp.Or(err, errNotReplayable)
	}
}

// newReader returns a reader of the body from its start.
func (b *requestBody) newReader() *bodyReader { return &bodyReader{body: b} }

// bodyReader reads the body for one attempt. Upstream requests deliberately
// have no GetBody: the transport must not resend a request on its own.
type bodyReader struct {
	body   *requestBody
	offset int64
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case r.offset < int64(len(b.buffered)):
		n := copy(p, b.buffered[r.offset:])
		r.offset += int64(n)
		return n, nil
	case r.offset < b.totalRead.Load():
		return 0, errNotReplayable
	case b.err != nil:
		return 0, b.err
	}
	return r.readSource(p)
}

// readSource reads from the source and buffers the data while the body is
// short enough.
func (r *bodyReader) readSource(p []byte) (int, error) {
	b := r.body
	n, err := b.source.Read(p)
	if b.totalRead.Add(int64(n)) <= maxReplayBytes {
		b.buffered = append(b.buffered, p[:n]...)
	} else {
		b.buffered = nil
	}
	r.offset += int64(n)
	b.err = err
	b.sourceEnded.Store(err != nil)
	b.sourceFailed.Store(err != nil && err != io.EOF)
	return n, err
}

// Close implements io.Closer. It does nothing, since the source belongs to the
// caller's connection.
func (r *bodyReader) Close() error { return nil }
