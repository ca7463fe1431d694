package ingress

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// open adds a client that enters the phase at the time.
func open(l *ledger, p phase, ms int) *client {
	c := &client{}
	l.add(c, at(ms))
	l.enter(c, p, at(ms))
	return c
}

// A derived bound that exceeds a host's descriptors, or is 0, would stop the process from
// accepting connections.
func TestDerivedBounds(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Bounds{}.Derive(144<<20, 3075)).To(Equal(Bounds{Connections: 1024, IdleConnections: 512, HeadBytes: 9 << 20, BodyBytes: 18 << 20}))
	g.Expect(Bounds{}.Derive(536<<20, 3075).Connections).To(Equal(1437))
	g.Expect(Bounds{}.Derive(144<<20, 100).Connections).To(Equal(minConnections))
	set := Bounds{Connections: 5, IdleConnections: 4, HeadBytes: 3, BodyBytes: 2}
	g.Expect(set.Derive(144<<20, 3075)).To(Equal(set))
}

// Silent connections must not shut out new ones, and a request that is being answered must
// not be cut off in favour of a new connection.
func TestNewConnectionReplacesLeastProgress(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(Bounds{Connections: 6, IdleConnections: 6, HeadBytes: 1000, BodyBytes: 1000})
	open(l, answering, 0)
	body, head, laterIdle := open(l, receivingBody, 1), open(l, receivingHead, 2), open(l, idle, 4)
	firstIdle, drained := open(l, idle, 3), open(l, draining, 5)
	for _, want := range []*client{drained, firstIdle, laterIdle, head} {
		closed, ok := l.add(&client{}, at(100))
		g.Expect(ok).To(BeTrue())
		g.Expect(closed).To(BeIdenticalTo(want))
		for c := range l.clients { // the new connection sends a request
			if c.progress.Equal(at(100)) {
				l.enter(c, answering, at(101))
			}
		}
	}
	_, ok := l.add(&client{}, at(200))
	g.Expect(ok).To(BeFalse(), "the body still makes progress")
	closed, ok := l.add(&client{}, at(300))
	g.Expect(ok).To(BeTrue())
	g.Expect(closed).To(BeIdenticalTo(body))
	g.Expect(l.idle).To(BeZero())
}

// Bytes that are not released when a request or connection ends would use up the bounds.
func TestBytesAreReleased(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(Bounds{Connections: 3, IdleConnections: 1, HeadBytes: 1000, BodyBytes: 1000})
	a, b := open(l, receivingHead, 0), open(l, receivingHead, 0)
	for _, c := range []*client{a, b} {
		g.Expect(l.receiveHead(c, 100, at(1))).To(BeNil())
		l.enter(c, receivingBody, at(1))
		l.receiveBody(c, 50, at(1))
		l.enter(c, answering, at(2))
	}
	g.Expect([]int64{l.heads, l.bodies}).To(Equal([]int64{200, 100 * bodyFactor}))
	l.enter(a, idle, at(3))
	l.remove(b)
	l.remove(b)
	l.enter(b, idle, at(4)) // the goroutine of a closed connection goes on for a moment
	l.receiveBody(b, 50, at(4))
	g.Expect([]int64{l.heads, l.bodies, int64(l.idle)}).To(Equal([]int64{0, 0, 1}))
}

// Bodies that stand still must give way, and a body that makes progress must not be ended in
// favour of another. A single body within the limits is always admitted.
func TestBodiesGiveWay(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(Bounds{Connections: 4, IdleConnections: 4, HeadBytes: 1000, BodyBytes: 100 * bodyFactor})
	a := open(l, receivingBody, 0)
	_, ok := l.receiveBody(a, 200, at(0))
	g.Expect(ok).To(BeTrue())
	b := open(l, receivingBody, 0)
	_, ok = l.receiveBody(b, 50, at(100))
	g.Expect(ok).To(BeFalse())
	ended, ok := l.receiveBody(b, 10, at(260))
	g.Expect(ok).To(BeTrue())
	g.Expect(ended).To(ConsistOf(a))
	g.Expect(l.bodies).To(Equal(int64(60 * bodyFactor)))
}

// Heads without end must not take memory without bound.
func TestHeadsGiveWay(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(Bounds{Connections: 4, IdleConnections: 4, HeadBytes: 100, BodyBytes: 1})
	a, b := open(l, receivingHead, 0), open(l, receivingHead, 0)
	g.Expect(l.receiveHead(a, 60, at(0))).To(BeNil())
	g.Expect(l.receiveHead(b, 60, at(10))).To(BeIdenticalTo(b), "the other head still makes progress")
	g.Expect(l.receiveHead(b, 1, at(300))).To(BeIdenticalTo(a))
}

// A connection must be closed at the limit of its phase, and one that is being answered has
// none.
func TestOverdue(t *testing.T) {
	g := NewWithT(t)
	lim := Limits{HeadTimeout: time.Second, IdleTimeout: 2 * time.Second, BodyStall: time.Second, BodyTimeout: 3 * time.Second}
	for _, x := range []struct {
		p               phase
		ms, progressMs  int
		before, reached string
	}{
		{receivingHead, 1000, 1000, "", reasonHeadTimeout}, {idle, 2000, 0, "", reasonIdleTimeout},
		{receivingBody, 1000, 0, "", reasonBodyStalled}, {receivingBody, 3000, 2900, "", reasonBodyTimeout},
		{answering, 1 << 20, 0, "", ""}, {draining, 2000, 0, "", reasonDrained},
	} {
		c := &client{phase: x.p, since: at(0), progress: at(x.progressMs)}
		g.Expect(c.overdue(at(x.ms), lim)).To(Equal(x.before))
		g.Expect(c.overdue(at(x.ms+1), lim)).To(Equal(x.reached))
	}
}

// Requests that waited unread while the process was suspended must not be closed as late.
func TestSuspensionDoesNotCount(t *testing.T) {
	g := NewWithT(t)
	gate := New(Config{Bounds: Bounds{Connections: 4}, Limits: func() Limits { return Limits{HeadTimeout: 3 * time.Second} }})
	gate.sweptAt = at(100)
	c := open(gate.ledger, receivingHead, 0)
	gate.sweep(at(20_000))
	g.Expect(c.closed).To(BeFalse())
	g.Expect(c.since).To(Equal(at(19_900)))
}

// An end of the head that is not found, or found too early, would refuse legal heads or
// accept those over the limit, however the bytes are divided.
func TestHeadScan(t *testing.T) {
	g := NewWithT(t)
	for head, size := range map[string]int{
		"GET / HTTP/1.1\r\nA: b\r\n\r\nbody": 24, "GET / HTTP/1.1\nA: b\n\nbody": 21, "\r\n\r\nGET / HTTP/1.1\r\n\r\nxx": 22,
		"GET / HTTP/1.1\r\nA:\rb\r\n\r\n": 24, "\r\n\r\n\r\n": -1, "GET / HTTP/1.1\r\n\r": -1,
	} {
		for step := 1; step <= len(head); step++ {
			s, total, ended := headScan{}, 0, false
			for i := 0; i < len(head) && !ended; i += step {
				var n int
				n, ended = s.next([]byte(head[i:min(len(head), i+step)]))
				total += n
			}
			if !ended {
				total = -1
			}
			g.Expect(total).To(Equal(size), "%q in steps of %d", head, step)
		}
	}
}
