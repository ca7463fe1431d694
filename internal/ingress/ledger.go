// Package ingress bounds what the clients of an HTTP server can make it hold: connections,
// request heads and request bodies, over all connections together. When a bound is reached,
// the connections with the least progress are closed first.
package ingress

import "time"

// Bounds apply to all connections together.
type Bounds struct {
	// Connections and IdleConnections are numbers of open connections. One of HTTP/2 counts as
	// many as it carries requests at the same time.
	Connections, IdleConnections int
	// HeadBytes bounds the bytes of request heads that are held.
	HeadBytes int64
	// BodyBytes bounds the memory that bodies and their decoded form take.
	BodyBytes int64
}

// Shares of a host's memory and descriptors.
const (
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// descriptorDivisor leaves the other descriptors to connections that the process makes.
	descriptorDivisor = 2
	// connectionBytes is what net/http takes for a connection: its goroutine and two buffers.
	// The garbage of their requests comes on top: 1,500 clients with large bodies, of whom
	// 1,024 were connected at once, brought a process of 19 MiB to 90 MiB.
	connectionBytes          = 24 << 10
	connectionsMemoryDivisor = 6
	headMemoryDivisor        = 16
	bodyMemoryDivisor        = 8
	minConnections           = 16
	idleDivisor              = 2
)

// Derive returns the bounds with each that is 0 replaced by its share of the host's memory
// and descriptors. Descriptors of 0 are unknown.
func (b Bounds) Derive(memoryBytes, descriptors int64) Bounds {
	if b.Connections == 0 {
		n := memoryBytes / connectionsMemoryDivisor / connectionBytes
		if descriptors > 0 {
			n = min(n, (descriptors-reservedDescriptors)/descriptorDivisor)
		}
		b.Connections = int(max(n, minConnections))
	}
	if b.IdleConnections == 0 {
		b.IdleConnections = max(1, b.Connections/idleDivisor)
	}
	if b.HeadBytes == 0 {
		b.HeadBytes = memoryBytes / headMemoryDivisor
	}
	if b.BodyBytes == 0 {
		b.BodyBytes = memoryBytes / bodyMemoryDivisor
	}
	return b
}

// phase is what a connection is doing.
type phase int

const (
	// receivingHead includes new connections that have sent nothing.
	receivingHead phase = iota
	// idle connections wait for another request.
	idle
	receivingBody
	answering
	// draining connections are about to be closed, or have been answered before the end of
	// their body.
	draining
)

const (
	// bodyFactor is the memory that a byte of a body takes: what was received, the steps
	// copied from it, the decoded job and its record.
	bodyFactor = 4
	// minStall is how long a body stands still before it may be ended in favour of others.
	minStall = 250 * time.Millisecond
	// multiplexedWeight is the number of connections that one of HTTP/2 counts for, which is
	// how many requests it carries at the same time.
	multiplexedWeight = 16
	// minUnread is how long a client reads nothing of its response before its connection may be
	// closed in favour of others, maxUnread before it is closed anyway.
	minUnread, maxUnread = time.Second, 30 * time.Second
	// drainTime bounds the time for which a connection drains.
	drainTime = 2 * time.Second
)

// client is the account of one connection.
type client struct {
	phase phase
	// since is when the phase began, progress when bytes were last received.
	since, progress time.Time
	head, body      int64
	// streams counts the requests in progress of a multiplexed connection.
	streams int
	// weight is the number of connections that it counts for.
	weight int
	// writingSince is since when a write waits for the client to read, zero if none does.
	writingSince time.Time
	// paused is set while the handler doesn't read the body, which then stands still without
	// the client's fault.
	paused bool
	// closed is set once the account is closed; nothing is accounted for after that.
	closed bool
	conn   *conn
}

// ledger holds the accounts of all connections. It is not safe for concurrent use.
type ledger struct {
	bounds  Bounds
	clients map[*client]struct{}
	// connections is the sum of the weights of the clients.
	connections   int
	idle          int
	heads, bodies int64
}

func newLedger(b Bounds) *ledger { return &ledger{bounds: b, clients: map[*client]struct{}{}} }

// oldest returns the client in the phase that has made no progress for the longest time, at
// least for the given one, or nil.
func (l *ledger) oldest(p phase, now time.Time, least time.Duration, except *client) *client {
	var found *client
	for c := range l.clients {
		if c.phase == p && c != except && !(p == receivingBody && c.paused) && now.Sub(c.progress) >= least && (found == nil || c.progress.Before(found.progress)) {
			found = c
		}
	}
	return found
}

// add opens an account. If there are too many, it closes the one with the least progress and
// returns it; a client whose request is being answered is only closed if it doesn't read the
// response. It returns false if there is none to close; the new account is not opened then.
func (l *ledger) add(c *client, now time.Time) (closed *client, ok bool) {
	if l.connections >= l.bounds.Connections {
		if closed = l.leastProgress(now, nil); closed == nil {
			return nil, false
		}
		l.remove(closed)
	}
	c.phase, c.since, c.progress, c.weight = receivingHead, now, now, 1
	l.clients[c] = struct{}{}
	l.connections++
	return closed, true
}

// leastProgress returns the client that is to be closed in favour of others, or nil.
func (l *ledger) leastProgress(now time.Time, except *client) *client {
	for _, p := range [...]phase{draining, idle, receivingHead} {
		if c := l.oldest(p, now, 0, except); c != nil {
			return c
		}
	}
	if c := l.oldest(receivingBody, now, minStall, except); c != nil {
		return c
	}
	return l.unread(now, except)
}

// unread returns the client that has read nothing of its response for the longest time, at least
// for minUnread, or nil.
func (l *ledger) unread(now time.Time, except *client) *client {
	var found *client
	for c := range l.clients {
		if c != except && c.unreadFor(now) >= minUnread && (found == nil || c.writingSince.Before(found.writingSince)) {
			found = c
		}
	}
	return found
}

// unreadFor returns for how long the client has read nothing of what is written to it.
func (c *client) unreadFor(now time.Time) time.Duration {
	if c.writingSince.IsZero() {
		return 0
	}
	return now.Sub(c.writingSince)
}

// multiplex makes a client count for the requests that its connection can carry at the same
// time. It closes others if there are too many and returns them, and false if those were not
// enough.
func (l *ledger) multiplex(c *client, now time.Time) (closed []*client, ok bool) {
	if c.closed {
		return nil, true
	}
	l.connections += multiplexedWeight - c.weight
	c.weight = multiplexedWeight
	for l.connections > l.bounds.Connections {
		victim := l.leastProgress(now, c)
		if victim == nil {
			return closed, false
		}
		l.remove(victim)
		closed = append(closed, victim)
	}
	return closed, true
}

// beginStream adds the head of a request on a multiplexed connection. It returns false if the
// heads take too much.
func (l *ledger) beginStream(c *client, n int64, now time.Time) bool {
	if c.closed || l.heads+n > l.bounds.HeadBytes {
		return c.closed
	}
	if c.phase != answering {
		l.enter(c, answering, now)
	}
	c.head += n
	l.heads += n
	c.streams++
	return true
}

// endStream ends a request on a multiplexed connection.
func (l *ledger) endStream(c *client, n int64, now time.Time) {
	if c.closed {
		return
	}
	c.head -= n
	l.heads -= n
	if c.streams--; c.streams == 0 {
		l.enter(c, idle, now)
	}
}

// remove closes an account; it may be closed already.
func (l *ledger) remove(c *client) {
	if !c.closed {
		l.enter(c, draining, time.Time{})
		c.closed = true
		delete(l.clients, c)
		l.connections -= c.weight
	}
}

// enter begins a phase. What was held for the request is released when it is over.
func (l *ledger) enter(c *client, p phase, now time.Time) {
	if c.closed {
		return
	}
	if c.phase == idle {
		l.idle--
	}
	if p == idle {
		l.idle++
	}
	if p == idle || p == draining {
		l.heads -= c.head
		l.bodies -= c.body
		c.head, c.body = 0, 0
	}
	c.phase, c.since, c.progress = p, now, now
}

// surplusIdle returns the client that has been idle for the longest time if there are too
// many, or nil.
func (l *ledger) surplusIdle(now time.Time) *client {
	if l.idle <= l.bounds.IdleConnections {
		return nil
	}
	return l.oldest(idle, now, 0, nil)
}

// receiveHead accounts for bytes of a head. It returns the client to be closed if the heads
// take too much, which may be c.
func (l *ledger) receiveHead(c *client, n int64, now time.Time) *client {
	if c.closed {
		return nil
	}
	c.progress = now
	c.head += n
	l.heads += n
	if l.heads <= l.bounds.HeadBytes {
		return nil
	}
	if victim := l.oldest(receivingHead, now, minStall, c); victim != nil {
		return victim
	}
	return c
}

// receiveBody accounts for bytes of a body. If bodies take too much, those that stand still
// are ended and returned, the longest first. It returns false if that is not enough; a body
// is always admitted while there is no other.
func (l *ledger) receiveBody(c *client, n int64, now time.Time) (ended []*client, ok bool) {
	if c.closed {
		return nil, true
	}
	c.progress = now
	c.body += n * bodyFactor
	l.bodies += n * bodyFactor
	for l.bodies > l.bounds.BodyBytes && l.bodies > c.body {
		victim := l.oldest(receivingBody, now, minStall, c)
		if victim == nil {
			return ended, false
		}
		l.enter(victim, draining, now)
		ended = append(ended, victim)
	}
	return ended, true
}

// Limits apply to each connection. They may change while the server runs.
type Limits struct {
	// MaxHeadBytes bounds a request head, from its first byte to the end of its empty line.
	MaxHeadBytes int64
	// HeadTimeout bounds the time to receive a head, IdleTimeout the time between requests.
	HeadTimeout, IdleTimeout time.Duration
	// BodyTimeout bounds the time to receive a body, 0 is without bound; BodyStall bounds the
	// time between its bytes.
	BodyTimeout, BodyStall time.Duration
}

// Reasons for which connections are closed or requests refused.
const (
	reasonConnections = "connections"
	reasonIdle        = "idle-connections"
	reasonIdleTimeout = "idle-timeout"
	reasonHeadBytes   = "head-bytes"
	reasonHeadLarge   = "head-too-large"
	reasonHeadTimeout = "head-timeout"
	reasonBodyBytes   = "body-bytes"
	reasonBodyStalled = "body-stalled"
	reasonBodyTimeout = "body-timeout"
	reasonUnread      = "response-unread"
	reasonDrained     = "drain-timeout"
)

// postpone extends the time limits of all connections by a time in which nothing was read.
func (l *ledger) postpone(d time.Duration) {
	for c := range l.clients {
		c.since, c.progress = c.since.Add(d), c.progress.Add(d)
		if !c.writingSince.IsZero() {
			c.writingSince = c.writingSince.Add(d)
		}
	}
}

// overdue returns why a connection has taken too long, or an empty string.
func (c *client) overdue(now time.Time, lim Limits) string {
	age := now.Sub(c.since)
	switch {
	case c.phase == idle && age > lim.IdleTimeout:
		return reasonIdleTimeout
	case c.phase == receivingHead && age > lim.HeadTimeout:
		return reasonHeadTimeout
	case c.phase == receivingBody && !c.paused && now.Sub(c.progress) > lim.BodyStall:
		return reasonBodyStalled
	case c.phase == receivingBody && lim.BodyTimeout > 0 && age > lim.BodyTimeout:
		return reasonBodyTimeout
	case c.unreadFor(now) > maxUnread:
		return reasonUnread
	case c.phase == draining && age > drainTime:
		return reasonDrained
	}
	return ""
}
