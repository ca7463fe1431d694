package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
)

// BenchmarkRequest compares the processor time of a request through the gate with that of a
// plain server; both include the client.
func BenchmarkRequest(b *testing.B) {
	h := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	log, _ := logtest.NewNullLogger()
	gate := New(Config{Bounds: Bounds{}.Derive(284<<20, 4100), Limits: func() Limits { return patient }, Log: log, Count: func(string, string) {}})
	for _, gated := range []bool{false, true} {
		b.Run(fmt.Sprintf("gated=%t", gated), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			s := &http.Server{Handler: h}
			if gated {
				_ = l.Close()
				l, err = gate.Listen("127.0.0.1:0")
				s = gate.Server(gate.Handler(h))
			}
			if err != nil {
				b.Fatal(err)
			}
			go s.Serve(l)
			defer s.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			body := strings.Repeat("x", 600)
			request := []byte(fmt.Sprintf("POST /q/0123456789abcdef HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
			r := bufio.NewReader(c)
			var before, after syscall.Rusage
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
			for b.Loop() {
				if _, err := c.Write(request); err != nil {
					b.Fatal(err)
				}
				res, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, res.Body)
			}
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
			cpu := func(u syscall.Rusage) int64 { return u.Utime.Nano() + u.Stime.Nano() }
			b.ReportMetric(float64(cpu(after)-cpu(before))/float64(b.N), "cpu-ns/op")
		})
	}
}
