package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds on connections to one address. A runner takes 64 connections from
// all the entries of its domain, of which there are at most three.
const (
	dialTimeout     = time.Second
	connsPerAddress = 20
	idlePerAddress  = 8
	// idleIdempotent and idleOnce are how long an idle connection is used
	// again. Requests that can't be repeated use young connections only.
	idleIdempotent = 30 * time.Second
	idleOnce       = time.Second
	// unusedAfter is how long an address without requests keeps its transports.
	unusedAfter = 2 * time.Minute
	headerBytes = 1 << 20
)

// countedConn counts the bytes that the kernel has taken or given.
type countedConn struct {
	net.Conn
	written, read atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// upstreams keeps the connections to runners and other entries, by address.
// It may be used concurrently.
type upstreams struct {
	mu     sync.Mutex
	byAddr map[string]*upstream
}

// upstream holds one address's connections: one pool for requests that may be
// repeated, one for those that may not.
type upstream struct {
	repeated, once *http.Transport
	usedAt         time.Time
}

func newUpstreams() *upstreams { return &upstreams{byAddr: map[string]*upstream{}} }

// transport returns the pool for a request. A fresh one shares no connection
// with earlier requests; those in flight on the old pool go on.
func (u *upstreams) transport(addr string, fresh, idempotent bool) *http.Transport {
	u.mu.Lock()
	defer u.mu.Unlock()
	up := u.byAddr[addr]
	if up == nil || fresh {
		if up != nil {
			up.close()
		}
		up = &upstream{repeated: newTransport(idleIdempotent), once: newTransport(idleOnce)}
		u.byAddr[addr] = up
	}
	up.usedAt = time.Now()
	if idempotent {
		return up.repeated
	}
	return up.once
}

// sweep closes what has long been unused.
func (u *upstreams) sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for addr, up := range u.byAddr {
		if now.Sub(up.usedAt) >= unusedAfter {
			up.close()
			delete(u.byAddr, addr)
		}
	}
}

func (u *upstream) close() {
	u.repeated.CloseIdleConnections()
	u.once.CloseIdleConnections()
}

func newTransport(idle time.Duration) *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c}, nil
		},
		MaxConnsPerHost:        connsPerAddress,
		MaxIdleConnsPerHost:    idlePerAddress,
		IdleConnTimeout:        idle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: headerBytes,
	}
}
