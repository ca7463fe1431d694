package node

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/peer"
	"github.com/mimosaspool/mimosaspool/internal/store"
)

// appendingLeader is a leader that appends the records sent to it.
type appendingLeader struct {
	peer.Node
	appended atomic.Int64
	answered chan struct{}
}

func (l *appendingLeader) AppendRecords(_ context.Context, records []store.Record) (bool, error) {
	l.appended.Add(int64(len(records)))
	close(l.answered)
	return true, nil
}

// refusedConn fails its reads, once the leader has appended, as a connection does for which an ICMP error has arrived.
type refusedConn struct {
	net.Conn
	answered chan struct{}
}

func (c *refusedConn) Read([]byte) (int, error) {
	<-c.answered
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNREFUSED)}
}

// followerOf returns a node that knows the leader's address, and the calls of the transport.
func followerOf(address string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Node {
	n := &Node{deps: Dependencies{Peers: peer.NewClient(&http.Transport{DialContext: dial})}, events: make(chan any, 1), address: "b:1"}
	n.leaderAddr.Store(&address)
	return n
}

// A record that the leader has written must not be reported as never sent.
func TestRefusalOnOpenConnectionDoesNotProveThatNothingWasSent(t *testing.T) {
	g := NewWithT(t)
	leader := &appendingLeader{answered: make(chan struct{})}
	server := httptest.NewServer(peer.Handler(leader))
	defer server.Close()
	n := followerOf(server.Listener.Addr().String(), func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &refusedConn{conn, leader.answered}, err
	})
	done, err := n.writeAtLeader(t.Context(), store.Record{Key: jobKeyPrefix + "a", Value: []byte("{}")})
	g.Expect(leader.appended.Load()).To(BeEquivalentTo(1))
	g.Expect(done).To(BeFalse())
	g.Expect(err).To(HaveOccurred(), "the outcome is unknown")
	g.Expect(n.events).To(BeEmpty(), "the leader listens")
}

func TestRefusedConnectionToLeaderIsReported(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	n := followerOf(address, (&net.Dialer{}).DialContext)
	done, err := n.writeAtLeader(t.Context(), store.Record{Key: jobKeyPrefix + "a", Value: []byte("{}")})
	g.Expect(done).To(BeFalse())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n.events).To(Receive(Equal(leaderUnreachable{address})))
}
