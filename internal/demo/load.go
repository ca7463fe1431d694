package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// outcome is how a request ended, as its caller saw it.
type outcome int

// The outcomes. A request is lost when its answer is not its own or not whole.
const (
	unknown outcome = iota
	answered
	notRun
	lost
)

// result is one request as its caller saw it.
type result struct {
	id, key, service, entry string
	// once is set on a request that may run at most once.
	once        bool
	sent, ended time.Time
	outcome     outcome
	detail      string
}

const (
	// deadline is what callers give their requests.
	deadline = 2 * time.Second
	// patience is how long callers wait beyond the deadline.
	patience = 2 * time.Second
	// resendAfter is the wait before a key is sent again whose outcome is unknown.
	resendAfter = 500 * time.Millisecond
	meanWorkMs  = 20
	smallBody   = 2 << 10
	largeBody   = 256 << 10
	// one in largeEvery bodies is large.
	largeEvery = 50
)

// callers send requests at a steady mean rate, at random moments.
type callers struct {
	hosts    []*host
	services []string
	rate     float64
	rng      *rand.Rand
	client   *http.Client
	wg       sync.WaitGroup
	mu       sync.Mutex
	results  []result
}

func newCallers(hosts []*host, services []string, rate float64, seed uint64) *callers {
	return &callers{
		hosts: hosts, services: services, rate: rate,
		rng: rand.New(rand.NewPCG(seed, 1)),
		client: &http.Client{
			Timeout:   deadline + patience,
			Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
		},
	}
}

// call is a request before it is sent.
type call struct {
	id, key, service string
	method           string
	workMs           int
	body             []byte
	homes            []*host
}

// run sends requests until ctx ends, then waits for the last answers.
func (c *callers) run(ctx context.Context) {
	for n := 0; ; n++ {
		wait := time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second))
		select {
		case <-ctx.Done():
			c.wg.Wait()
			return
		case <-time.After(wait):
		}
		q := c.next(n)
		c.wg.Go(func() { c.send(q) })
	}
}

// next makes up the nth request: in turn one that is idempotent, one that is
// not, and one that is not and has a key.
func (c *callers) next(n int) call {
	q := call{id: fmt.Sprintf("r%d", n), service: c.services[0], method: http.MethodPost, workMs: int(c.rng.ExpFloat64() * meanWorkMs)}
	if c.rng.IntN(4) == 0 {
		q.service = c.services[1]
	}
	switch n % 3 {
	case 0:
		q.method = http.MethodPut
	case 2:
		q.key = fmt.Sprintf("k%d", n)
	}
	size := c.rng.IntN(smallBody)
	if n%largeEvery == 0 {
		size = largeBody
	}
	q.body = bytes.Repeat([]byte(q.id+" "), 1+size/(len(q.id)+1))
	q.homes = c.order()
	return q
}

// order returns the hosts in the order in which the balancer tries them: those
// of the caller's domain first.
func (c *callers) order() []*host {
	home := domains[c.rng.IntN(len(domains))]
	var near, far []*host
	for _, i := range c.rng.Perm(len(c.hosts)) {
		if h := c.hosts[i]; h.domain == home {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	return append(near, far...)
}

// send sends a request, and its key once more when the outcome is unknown.
func (c *callers) send(q call) {
	r := c.sendOnce(q)
	c.add(r)
	if r.outcome != unknown || q.key == "" {
		return
	}
	time.Sleep(resendAfter)
	q.id += "-again"
	c.add(c.sendOnce(q))
}

func (c *callers) add(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// sendOnce tries the ready hosts in turn until a connection is made.
func (c *callers) sendOnce(q call) result {
	r := result{id: q.id, key: q.key, service: q.service, once: q.method == http.MethodPost, sent: time.Now(), outcome: notRun, detail: "no entry host took the connection"}
	for _, h := range q.homes {
		if !h.isReady() {
			continue
		}
		r.entry = h.name
		r.outcome, r.detail = c.try(h, q)
		if r.outcome != notRun || r.detail != refused {
			break
		}
	}
	r.ended = time.Now()
	return r
}

// refused is the detail of a request whose connection was refused.
const refused = "connection refused"

func (c *callers) try(h *host, q call) (outcome, string) {
	req, err := http.NewRequest(q.method, "http://"+h.entryAddr+"/s/"+q.service+"/", bytes.NewReader(q.body))
	if err != nil {
		return notRun, err.Error()
	}
	req.GetBody = nil // never sent again by the library
	setHeaders(req, q)
	resp, err := c.client.Do(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return notRun, refused
	}
	if err != nil {
		return unknown, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	o, detail := classify(resp)
	if o != answered || resp.StatusCode == http.StatusGone {
		return o, detail // gone: answered before, and the answer was not kept
	}
	if err != nil {
		return unknown, "answer cut off: " + err.Error()
	}
	if !bytes.Equal(body, q.body) {
		return lost, fmt.Sprintf("answer of %d bytes is not the request's own of %d", len(body), len(q.body))
	}
	return answered, ""
}

func setHeaders(req *http.Request, q call) {
	req.Header.Set("X-Request-Id", q.id)
	req.Header.Set("X-Work-Ms", strconv.Itoa(q.workMs))
	req.Header.Set("Mimosaspool-Deadline", deadline.String())
	if q.key != "" {
		req.Header.Set("Idempotency-Key", q.key)
	}
}

// classify tells what an entry's reply means; docs/callers.md describes it.
func classify(resp *http.Response) (outcome, string) {
	why := resp.Status + " " + resp.Header.Get("Mimosaspool-Reason")
	switch resp.Header.Get("Mimosaspool-Outcome") {
	case "answered":
		return answered, ""
	case "not-run":
		return notRun, why
	default:
		return unknown, why
	}
}

// balance keeps up which hosts are ready until ctx ends.
func balance(ctx context.Context, hosts []*host) {
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		for _, h := range hosts {
			wg.Go(func() { h.setReady(healthy(h.entryAddr, "/readyz")) })
		}
		wg.Wait()
		time.Sleep(pollEvery)
	}
}
