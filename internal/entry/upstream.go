package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Limits on connections to one address. A runner accepts 64 connections in
// total from the entries of its failure domain, of which there are at most
// three.
const (
	dialTimeout            = time.Second
	maxConnsPerAddress     = 20
	maxIdleConnsPerAddress = 8
	// idempotentIdleTimeout and nonIdempotentIdleTimeout are how long an idle
	// connection may be reused. Requests that can't be repeated use recently used
	// connections only.
	idempotentIdleTimeout    = 30 * time.Second
	nonIdempotentIdleTimeout = time.Second
	// unusedPoolTimeout is how long the transports of an address without requests
	// are kept.
	unusedPoolTimeout      = 2 * time.Minute
	maxResponseHeaderBytes = 1 << 20
)

// countingConn counts the bytes written to and read from the kernel.
type countingConn struct {
	net.Conn
	written, read atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// upstreamPools holds the connections to runners and other entries, by
// address. It is safe for concurrent use.
type upstreamPools struct {
	mu     sync.Mutex
	byAddr map[string]*upstreamPool
}

// upstreamPool holds the connections to one address: one transport for
// requests that may be repeated, one for those that may not.
type upstreamPool struct {
	idempotent, nonIdempotent *http.Transport
	lastUsed                  time.Time
}

func newUpstreamPools() *upstreamPools { return &upstreamPools{byAddr: map[string]*upstreamPool{}} }

// transport returns the transport for a request. If fresh is set, it shares no
// connection with earlier requests; requests in flight on the old transports
// continue.
func (u *upstreamPools) transport(addr string, fresh, idempotent bool) *http.Transport {
	u.mu.Lock()
	defer u.mu.Unlock()
	up := u.byAddr[addr]
	if up == nil || fresh {
		if up != nil {
			up.close()
		}
		up = &upstreamPool{idempotent: newTransport(idempotentIdleTimeout), nonIdempotent: newTransport(nonIdempotentIdleTimeout)}
		u.byAddr[addr] = up
	}
	up.lastUsed = time.Now()
	if idempotent {
		return up.idempotent
	}
	return up.nonIdempotent
}

// closeUnused closes the idle connections of addresses unused for
// unusedPoolTimeout and removes their transports.
func (u *upstreamPools) closeUnused(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for addr, up := range u.byAddr {
		if now.Sub(up.lastUsed) >= unusedPoolTimeout {
			up.close()
			delete(u.byAddr, addr)
		}
	}
}

func (u *upstreamPool) close() {
	u.idempotent.CloseIdleConnections()
	u.nonIdempotent.CloseIdleConnections()
}

func newTransport(idleTimeout time.Duration) *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		MaxConnsPerHost:        maxConnsPerAddress,
		MaxIdleConnsPerHost:    maxIdleConnsPerAddress,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}
