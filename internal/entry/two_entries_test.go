package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	control "github.com/mimosaspool/mimosaspool/api/control"
	"github.com/mimosaspool/mimosaspool/internal/routing"
)

var _ = ginkgo.Describe("Two entries", func() {
	var runs atomic.Int64
	var runner *httptest.Server
	var entries []*testEntry
	ginkgo.BeforeEach(func() {
		runs.Store(0)
		stuck := make(chan bool)
		runner = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if req.URL.Path == "/stuck" {
				<-stuck
			}
			fmt.Fprint(w, "run ", runs.Add(1))
		}))
		entries = startTwoEntries(runner.Listener.Addr().String())
		ginkgo.DeferCleanup(func() {
			close(stuck)
			for _, h := range entries {
				h.stop()
			}
			runner.Close()
		})
	})

	ginkgo.It("replay the first response for a repeated key, whichever entry receives it", func() {
		for k := range 6 {
			for i, h := range []*testEntry{entries[0], entries[1], entries[0]} {
				req, _ := http.NewRequest("POST", h.server.URL+"/s/survey/", strings.NewReader("x"))
				req.Header.Set(headerKey, fmt.Sprint("d.", k))
				resp, err := http.DefaultClient.Do(req)
				Expect(err).NotTo(HaveOccurred())
				body, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				Expect(string(body)).To(Equal(fmt.Sprint("run ", k+1)))
				Expect(resp.Header.Get(headerReplayed) == "true").To(Equal(i > 0))
			}
		}
	})

	ginkgo.It("respond as shown in docs/callers.md", func() {
		page, err := os.ReadFile("../../docs/callers.md")
		Expect(err).NotTo(HaveOccurred())
		shown := regexp.MustCompile(`(?m)^\$ curl -si (.*)\n((?:.+\n)+)`).FindAllStringSubmatch(string(page), -1)
		Expect(len(shown)).To(BeNumerically(">=", 7))
		for _, example := range shown {
			lines := strings.Split(strings.TrimSpace(example[2]), "\n")
			resp, err := http.DefaultClient.Do(parseCurl(example[1], entries[0].server.URL))
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			Expect(resp.Proto+" "+resp.Status).To(Equal(lines[0]), example[1])
			for _, line := range lines[1:] {
				name, value, _ := strings.Cut(line, ": ")
				if line != "```" {
					Expect(resp.Header.Get(name)).To(Equal(value), example[1])
				}
			}
		}
	})
})

// parseCurl returns the request of a curl command line. It supports only the
// options that docs/callers.md uses.
func parseCurl(args, url string) *http.Request {
	method, body, header, target := "GET", "", http.Header{}, ""
	words := regexp.MustCompile(`'[^']*'|\S+`).FindAllString(args, -1)
	for i := 0; i < len(words); i++ {
		next := func() string { i++; return strings.Trim(words[i], "'") }
		switch words[i] {
		case "-X":
			method = next()
		case "--data":
			body = next()
		case "-H":
			name, value, _ := strings.Cut(next(), ": ")
			header.Set(name, value)
		default:
			target = strings.Replace(words[i], "http://ENTRY", url, 1)
		}
	}
	req, err := http.NewRequest(method, target, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header = header
	return req
}

// startTwoEntries starts two entries of one failure domain that share a
// runner.
func startTwoEntries(runner string) []*testEntry {
	var entries []*testEntry
	var peers []routing.Peer
	var listeners []net.Listener
	for _, name := range []string{"e1", "e2"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(l.Close)
		listeners = append(listeners, l)
		peers = append(peers, routing.Peer{Host: name, Domain: "d", Region: "r", Address: l.Addr().String()})
	}
	for i, p := range peers {
		set := testSettings(p.Host)
		set.Peers = peers
		h := startTestEntry(&fakeScheduler{version: 1, runners: []*control.Endpoint{{Service: "survey", Attempt: 1, Address: runner, Slots: 4}}}, set)
		go http.Serve(listeners[i], h.server.Config.Handler)
		entries = append(entries, h)
	}
	return entries
}
