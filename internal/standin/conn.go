package standin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is a connection that can go silent for good: what arrives is dropped
// and what is sent is lost, while both ends keep it open.
type conn struct {
	net.Conn
	silent atomic.Bool
	delay  func() time.Duration
	closed func(*conn)
	// bytes counts what came and went.
	bytes *atomic.Int64
	once  sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		c.bytes.Add(int64(n))
		if err != nil {
			return n, err
		}
		if d := c.delay(); d > 0 {
			time.Sleep(d)
		}
		if !c.silent.Load() {
			return n, nil
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { c.closed(c) })
	return c.Conn.Close()
}

// listener accepts connections that can go silent. Its methods may be called
// concurrently.
type listener struct {
	net.Listener
	// delay is what each arriving piece of data waits.
	delay func() time.Duration
	// mute and refuse tell what becomes of a new connection.
	mute, refuse func() bool
	// limit is called with the number of open connections.
	limit func(open int)
	bytes atomic.Int64
	mu    sync.Mutex
	open  map[*conn]struct{}
}

// listen opens a loopback port without faults.
func listen() (*listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	never := func() bool { return false }
	return &listener{
		Listener: l, open: map[*conn]struct{}{}, mute: never, refuse: never,
		delay: func() time.Duration { return 0 },
		limit: func(int) {},
	}, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.refuse() {
			raw.Close()
			continue
		}
		c := &conn{Conn: raw, delay: l.delay, closed: l.forget, bytes: &l.bytes}
		c.silent.Store(l.mute())
		l.mu.Lock()
		l.open[c] = struct{}{}
		n := len(l.open)
		l.mu.Unlock()
		l.limit(n)
		return c, nil
	}
}

func (l *listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// silence makes all open connections silent for good.
func (l *listener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silent.Store(true)
	}
}

// closeAll closes the open connections.
func (l *listener) closeAll() {
	l.mu.Lock()
	open := make([]*conn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
}
