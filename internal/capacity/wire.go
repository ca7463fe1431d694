package capacity

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/lifecycle"
)

// wire counts the bytes that HTTP calls take on a loopback connection, in both
// directions, headers included.
type wire struct {
	listener *countingListener
	server   *http.Server
	// URL is the server's base URL.
	URL string
}

type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, &l.bytes}, nil
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// serve starts a server for h on a loopback port.
func serve(h http.Handler) (*wire, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	w := &wire{listener: &countingListener{Listener: l}, server: &http.Server{Handler: h, ReadHeaderTimeout: time.Second, Protocols: lifecycle.Protocols()}}
	w.URL = "http://" + l.Addr().String()
	go func() { _ = w.server.Serve(w.listener) }()
	return w, nil
}

// address returns the server's host:port.
func (w *wire) address() string { return w.listener.Addr().String() }

// count returns the bytes on the wire for each of n calls of f, after one call
// that sets the connection up.
func (w *wire) count(n int, f func(context.Context) error) (float64, error) {
	ctx := context.Background()
	if err := f(ctx); err != nil {
		return 0, err
	}
	before := w.listener.bytes.Load()
	for range n {
		if err := f(ctx); err != nil {
			return 0, err
		}
	}
	return float64(w.listener.bytes.Load()-before) / float64(n), nil
}

func (w *wire) close() { _ = w.server.Close() }
