package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gorilla/mux"
	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	control "github.com/mimosaspool/mimosaspool/api/control"
	"github.com/mimosaspool/mimosaspool/internal/lifecycle"
	"github.com/mimosaspool/mimosaspool/internal/telemetry"
)

// Load of the benchmark.
const (
	benchRunners           = 12
	benchCallers           = 64
	benchRequestsPerSecond = 20_000
)

// BenchmarkEntry sends requests through one entry on loopback and directly to
// the runners, so that the entry's own cost can be separated from the rest.
// Callers, entry and runners share the processors.
func BenchmarkEntry(b *testing.B) {
	gomega.RegisterTestingT(b)
	l := &fakeScheduler{version: 1}
	var direct []string
	for i := range benchRunners {
		runner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }))
		defer runner.Close()
		addr := runner.Listener.Addr().String()
		direct = append(direct, addr)
		l.runners = append(l.runners, &control.Endpoint{Service: "s", Attempt: uint64(i + 1), Address: addr, Slots: 8})
	}
	url, idleMemory := startBenchEntry(b, l)
	for _, load := range []struct {
		name string
		urls []string
		rate int
	}{
		{"direct/half", direct, benchRequestsPerSecond / 2}, {"entry/half", []string{url}, benchRequestsPerSecond / 2},
		{"direct/full", direct, 0}, {"entry/full", []string{url}, 0},
	} {
		b.Run(load.name, func(b *testing.B) { sendLoad(b, load.urls, load.rate) })
	}
	b.Logf("heap and stack memory of the entry before load: %d MiB", idleMemory>>20)
}

// startBenchEntry starts an entry and returns its address and its memory use
// in bytes before any load.
func startBenchEntry(b *testing.B, l *fakeScheduler) (string, uint64) {
	tel, err := telemetry.New("entry")
	if err != nil {
		b.Fatal(err)
	}
	scheduler := httptest.NewServer(control.NewDirectoryServer(l))
	e, err := New(Options{
		Core: testSettings("e1"), Schedulers: []string{scheduler.URL}, Client: http.DefaultClient,
		Telemetry: tel, Logger: logrus.NewEntry(logrus.New()),
	})
	if err != nil {
		b.Fatal(err)
	}
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	e.Register(r)
	server := httptest.NewServer(r)
	stop := e.Start(context.Background())
	b.Cleanup(func() { server.Close(); stop(); scheduler.Close() })
	for !e.Ready() {
		time.Sleep(time.Millisecond)
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return server.Listener.Addr().String() + "/s/s", m.HeapInuse + m.StackInuse
}

// sendLoad sends b.N requests over a fixed number of connections, evenly
// spaced at the given rate per second, or as fast as possible if rate is 0.
func sendLoad(b *testing.B, addrs []string, rate int) {
	lifecycle.TuneGC()
	latency := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	b.ResetTimer()
	start, cpuAtStart := time.Now(), cpuTime()
	for c := range benchCallers {
		wg.Go(func() {
			callerLatency := hdrhistogram.New(1, int64(time.Minute), 3)
			caller := newRawCaller(b, addrs[c%len(addrs)])
			defer caller.close()
			for i := c; i < b.N; i += benchCallers {
				if rate > 0 {
					time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
				}
				sentAt := time.Now()
				caller.get(b)
				_ = callerLatency.RecordValue(int64(time.Since(sentAt)))
			}
			mu.Lock()
			latency.Merge(callerLatency)
			mu.Unlock()
		})
	}
	wg.Wait()
	b.ReportMetric(float64((cpuTime()-cpuAtStart).Microseconds())/float64(b.N), "cpu-us/req")
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "req/s")
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1e3, "p50-us")
	b.ReportMetric(float64(latency.ValueAtQuantile(90))/1e3, "p90-us")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1e3, "p99-us")
}

// cpuTime is the CPU time used by the whole process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// rawCaller is an HTTP caller with minimal overhead of its own.
type rawCaller struct {
	conn    net.Conn
	request []byte
	buf     []byte
}

func newRawCaller(b *testing.B, addr string) *rawCaller {
	host, path := addr, "/"
	for i := range addr {
		if addr[i] == '/' {
			host, path = addr[:i], addr[i:]+"/"
			break
		}
	}
	conn, err := net.Dial("tcp", host)
	if err != nil {
		b.Error(err)
	}
	return &rawCaller{conn, fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path), make([]byte, 4096)}
}

// get sends one request and reads a response that ends in "ok".
func (c *rawCaller) get(b *testing.B) {
	if _, err := c.conn.Write(c.request); err != nil {
		b.Error(err)
	}
	n, err := c.conn.Read(c.buf)
	for err == nil && string(c.buf[max(0, n-2):n]) != "ok" {
		var m int
		if m, err = c.conn.Read(c.buf[n:]); m == 0 && err == nil {
			err = io.ErrNoProgress
		}
		n += m
	}
	if err != nil {
		b.Error(err)
	}
}

func (c *rawCaller) close() { c.conn.Close() }
