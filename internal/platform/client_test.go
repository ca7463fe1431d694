package platform_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/lifecycle"
	"github.com/mimosaspool/mimosaspool/internal/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Platform")
}

// silentListener hands out connections that stop carrying replies on order.
type silentListener struct {
	net.Listener
	accepted atomic.Int64
	// silent is the number of the newest connection that carries nothing.
	silent atomic.Int64
}

type silentConn struct {
	net.Conn
	number int64
	l      *silentListener
}

func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &silentConn{c, l.accepted.Add(1), l}, err
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.number <= c.l.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

var _ = Describe("NewHTTPClient", func() {
	It("dials anew after a connection went silent", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := &silentListener{Listener: inner}
		srv := &http.Server{Protocols: lifecycle.Protocols(), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "ok")
		})}
		go func() { _ = srv.Serve(l) }()
		defer srv.Close()
		client := platform.NewHTTPClient(200 * time.Millisecond)
		get := func() error {
			resp, err := client.Get("http://" + inner.Addr().String())
			if err == nil {
				resp.Body.Close()
			}
			return err
		}
		Expect(get()).To(Succeed())
		l.silent.Store(1)
		Expect(get()).NotTo(Succeed())
		Expect(get()).To(Succeed())
		Expect(l.accepted.Load()).To(Equal(int64(2)))
	})
})
