package entry

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// The limits of the process, and how long the crowd sends and holds its connections.
const (
	crowdMemoryMiB   = 96
	crowdDescriptors = 400
	crowdWriteTime   = 6 * time.Second
	crowdHoldTime    = 8 * time.Second
	crowdAnswerTime  = 30 * time.Second
)

// checkCrowd has each client send on a connection of its own, all at once, to an entry program
// without a scheduler, and hold the connection open. It checks that the process survives within
// its limits and answers an ordinary request.
func checkCrowd(t *testing.T, clients int, client func(i int, c net.Conn)) {
	g, program := NewWithT(t), t.TempDir()+"/mimosaspool-entry"
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/mimosaspool-entry").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	cmd := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s --host h --domain d --region r --listen %s --scheduler-urls http://127.0.0.1:1", crowdDescriptors, program, address))
	cmd.Env = append(os.Environ(), fmt.Sprintf("MIMOSASPOOL_MEMORY_MIB=%d", crowdMemoryMiB))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	ended := make(chan struct{})
	g.Expect(cmd.Start()).To(Succeed())
	go func() { _ = cmd.Wait(); close(ended) }()
	defer func() { _ = cmd.Process.Kill(); <-ended }()
	ask := func() int {
		req, _ := http.NewRequest(http.MethodGet, "http://"+address+"/s/none/", nil)
		req.Close = true
		res, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
		if err != nil {
			return 0
		}
		_ = res.Body.Close()
		return res.StatusCode
	}
	g.Eventually(ask).WithTimeout(crowdAnswerTime).Should(Equal(http.StatusServiceUnavailable))
	var conns []net.Conn
	var sending sync.WaitGroup
	for i := range clients {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue // a refused connection is one of the allowed answers
		}
		conns = append(conns, c)
		sending.Go(func() {
			_ = c.SetDeadline(time.Now().Add(crowdWriteTime))
			client(i, c)
		})
	}
	sending.Wait()
	time.Sleep(crowdHoldTime)
	g.Expect(ended).NotTo(BeClosed(), "the process has ended")
	g.Eventually(ask).WithTimeout(crowdAnswerTime).WithPolling(200*time.Millisecond).Should(Equal(http.StatusServiceUnavailable), "an ordinary request")
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	kib, _ := strconv.Atoi(strings.Fields(rest + " 0 kB")[0])
	t.Logf("peak %d MiB of %d", kib>>10, crowdMemoryMiB)
	g.Expect(kib>>10).To(And(BeNumerically(">", 0), BeNumerically("<=", crowdMemoryMiB)), "peak memory in MiB")
	for _, c := range conns {
		_ = c.Close()
	}
}

// send writes data again and again, at most limit bytes in all.
func send(c net.Conn, data []byte, limit int) {
	for sent := 0; sent < limit; sent += len(data) {
		if _, err := c.Write(data); err != nil {
			return
		}
	}
}

// TestEntryCrowdOfHeads guards against heads that are kept in memory beyond the limit of a head.
func TestEntryCrowdOfHeads(t *testing.T) {
	line := []byte("X-Filler: " + strings.Repeat("x", 4000) + "\r\n")
	checkCrowd(t, 300, func(i int, c net.Conn) {
		fmt.Fprint(c, "GET /s/none/ HTTP/1.1\r\nHost: h\r\n")
		if i%2 == 0 {
			send(c, line, 900<<10)
			return
		}
		send(c, bytes.Repeat([]byte("x"), 32<<10), 8<<20)
	})
}

// TestEntryCrowdOfBodies guards against bodies that are held: most stop short of their end.
func TestEntryCrowdOfBodies(t *testing.T) {
	checkCrowd(t, 300, func(i int, c net.Conn) {
		if i%2 == 0 {
			fmt.Fprintf(c, "POST /s/none/ HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 1<<20)
			send(c, make([]byte, 32<<10), 1<<20-(32<<10))
			return
		}
		fmt.Fprint(c, "POST /s/none/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		send(c, bytes.Repeat([]byte("1\r\n \r\n"), 4096), 1<<20)
	})
}

// TestEntryCrowdOfIdleConnections guards against idle connections that take all descriptors.
func TestEntryCrowdOfIdleConnections(t *testing.T) {
	checkCrowd(t, 600, func(_ int, c net.Conn) { fmt.Fprint(c, "GET /s/none/ HTTP/1.1\r\nHost: h\r\n\r\n") })
}

// TestEntryCrowdOfStreams guards against HTTP/2 connections whose streams, continued heads, resets
// and control frames take more than the heads of HTTP/1.1.
func TestEntryCrowdOfStreams(t *testing.T) {
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	for _, f := range []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":authority", Value: "h"}, {Name: ":path", Value: "/s/none/"},
		{Name: "x-filler", Value: strings.Repeat("x", 12<<10)}} {
		_ = enc.WriteField(f)
	}
	checkCrowd(t, 300, func(i int, c net.Conn) {
		_, _ = c.Write([]byte(http2.ClientPreface))
		fr := http2.NewFramer(c, nil)
		err := fr.WriteSettings()
		head := func(stream int, ends bool) error {
			return fr.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*stream + 1), BlockFragment: block.Bytes(), EndHeaders: ends})
		}
		if i%4 == 0 && err == nil {
			err = head(0, false)
		}
		for n := 0; n < 2000 && err == nil; n++ {
			switch i % 4 {
			case 0:
				err = fr.WriteContinuation(1, false, block.Bytes())
			case 1: // streams without end
				err = head(n, true)
			case 2:
				if err = head(n, true); err == nil {
					err = fr.WriteRSTStream(uint32(2*n+1), http2.ErrCodeCancel)
				}
			case 3:
				err = fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: uint32(n)})
				if err == nil {
					err = fr.WritePing(false, [8]byte{})
				}
				if err == nil {
					err = fr.WriteWindowUpdate(0, 1)
				}
			}
		}
	})
}
