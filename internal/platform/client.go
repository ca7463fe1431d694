package platform

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// NewHTTPClient returns a client for control messages. Each call ends after the
// given timeout. It speaks HTTP/2 without TLS, whose compressed headers take a
// fifth of the bytes of HTTP/1.1's.
func NewHTTPClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &freshTransport{timeout: timeout, byHost: map[string]*http.Transport{}}}
}

// freshTransport keeps connections for each remote address apart. After a call
// that failed, the next one to the address dials anew: the connection may have
// gone silent, which TCP notices late or never.
type freshTransport struct {
	timeout time.Duration
	mu      sync.Mutex
	byHost  map[string]*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (f *freshTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	t := f.of(req.URL.Host)
	resp, err := t.RoundTrip(req)
	if err != nil {
		f.drop(req.URL.Host, t)
	}
	return resp, err
}

func (f *freshTransport) of(host string) *http.Transport {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.byHost[host]
	if t == nil {
		t = newTransport(f.timeout)
		f.byHost[host] = t
	}
	return t
}

// drop forgets t; calls under way on it go on.
func (f *freshTransport) drop(host string, t *http.Transport) {
	t.CloseIdleConnections()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byHost[host] == t {
		delete(f.byHost, host)
	}
}

// CloseIdleConnections lets http.Client close what is not in use.
func (f *freshTransport) CloseIdleConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.byHost {
		t.CloseIdleConnections()
	}
}

func newTransport(timeout time.Duration) *http.Transport {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: timeout}).DialContext,
		IdleConnTimeout:    time.Minute,
		DisableCompression: true,
		Protocols:          p,
	}
}
