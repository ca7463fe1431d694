package demo

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/standin"
)

// domains are the failure domains, one in each region of the same name.
var domains = []string{"north", "centre", "south"}

const (
	hostsPerDomain = 2
	// readyWait bounds the time until the programs are ready.
	readyWait = 30 * time.Second
	pollEvery = 100 * time.Millisecond
)

// host is an entry host with its two programs.
type host struct {
	name, domain                 string
	schedulerAddr, entryAddr     string
	scheduler, entry             *process
	schedulerBinary, entryBinary string
	// faulty is held while a fault of the host's processes lasts.
	faulty sync.Mutex
	// ready is set by the balancer while the entry says it is ready.
	mu    sync.Mutex
	ready bool
}

// start starts the programs that don't live.
func (h *host) start() error {
	if !h.scheduler.alive() {
		if err := h.scheduler.start(h.schedulerBinary); err != nil {
			return err
		}
	}
	if h.entry.alive() {
		return nil
	}
	return h.entry.start(h.entryBinary)
}

// kill ends both programs at once.
func (h *host) kill() {
	h.scheduler.kill()
	h.entry.kill()
}

func (h *host) setReady(ready bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = ready
}

func (h *host) isReady() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready
}

// cluster is the system and its stand-in platform as processes.
type cluster struct {
	bin, logs string
	standin   *process
	platform  *bench
	hosts     []*host
	ports     ports
	// keysSince is the time before which no entry takes an idempotency key.
	keysSince time.Time
}

// keysAfter is how long after the first process starts idempotency keys are taken.
const keysAfter = 6 * time.Second

// newCluster starts the stand-in and all entry hosts of a site.
func newCluster(bin, site string) (*cluster, error) {
	logs, err := os.MkdirTemp("", "mimosaspool-demo-")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c := &cluster{bin: bin, logs: logs, ports: ports{map[int]bool{}}, keysSince: time.Now().Add(keysAfter)}
	if err := c.startPlatform(site); err != nil {
		c.close()
		return nil, err
	}
	if err := c.startHosts(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) binary(name string) string { return filepath.Join(c.bin, "mimosaspool"+name) }

func (c *cluster) startPlatform(site string) error {
	addr, err := c.ports.next()
	if err != nil {
		return err
	}
	c.standin = &process{name: "standin", logs: c.logs, args: []string{"--listen", addr, "--site", site, "--domains", strings.Join(domains, ",")}}
	if err := c.standin.start(c.binary("-standin")); err != nil {
		return err
	}
	c.platform = newBench(addr)
	return until(readyWait, "the stand-in", func() bool { return healthy(addr, "/readyz") })
}

func (c *cluster) startHosts() error {
	for _, d := range domains {
		for i := range hostsPerDomain {
			h, err := c.addHost(fmt.Sprintf("entry-%s-%d", d, i+1), d)
			if err != nil {
				return err
			}
			c.hosts = append(c.hosts, h)
		}
	}
	for _, h := range c.hosts {
		if err := c.configure(h); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) addHost(name, domain string) (*host, error) {
	h := &host{name: name, domain: domain, schedulerBinary: c.binary("-scheduler"), entryBinary: c.binary("-entry")}
	var err error
	if h.schedulerAddr, err = c.ports.next(); err != nil {
		return nil, err
	}
	if h.entryAddr, err = c.ports.next(); err != nil {
		return nil, err
	}
	return h, c.platform.post("/hosts", standin.EntryHost{Name: name, Region: domain, Domain: domain, Address: h.entryAddr}, nil)
}

// configure works out the programs' settings: the platform and all other hosts
// are reached through links.
func (c *cluster) configure(h *host) error {
	platformURL, err := c.platform.link(h.name, "platform", "")
	if err != nil {
		return err
	}
	peers, domainURLs := []string{}, []string{"http://" + h.schedulerAddr}
	for _, o := range c.hosts {
		if o == h {
			continue
		}
		url, err := c.platform.link(h.name, o.name, o.schedulerAddr)
		if err != nil {
			return err
		}
		peers = append(peers, url)
		if o.domain == h.domain {
			domainURLs = append(domainURLs, url)
		}
	}
	entries := make([]string, 0, len(c.hosts))
	for _, o := range c.hosts {
		entries = append(entries, fmt.Sprintf("%s=%s/%s/%s", o.name, o.domain, o.domain, o.entryAddr))
	}
	common := []string{"--host", h.name, "--region", h.domain, "--domain", h.domain}
	h.scheduler = &process{name: h.name + "-scheduler", logs: c.logs, args: append(common[:len(common):len(common)],
		"--listen", h.schedulerAddr, "--platform-url", platformURL, "--peer-urls", strings.Join(peers, ","))}
	h.entry = &process{name: h.name + "-entry", logs: c.logs, args: append(common[:len(common):len(common)],
		"--listen", h.entryAddr, "--scheduler-urls", strings.Join(domainURLs, ","), "--entries", strings.Join(entries, ","),
		"--keys-since", c.keysSince.Format(time.RFC3339))}
	return nil
}

// close ends every process and removes the logs.
func (c *cluster) close() {
	var wg sync.WaitGroup
	for _, h := range c.hosts {
		for _, p := range []*process{h.entry, h.scheduler} {
			if p != nil {
				wg.Go(func() { p.stop() })
			}
		}
	}
	wg.Wait()
	if c.standin != nil {
		c.standin.stop()
	}
}

// removeLogs removes the programs' output.
func (c *cluster) removeLogs() { _ = os.RemoveAll(c.logs) }

// probe is used to ask programs for their health.
var probe = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func healthy(addr, path string) bool {
	resp, err := probe.Get("http://" + addr + path)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// until waits for a condition.
func until(d time.Duration, what string, f func() bool) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pollEvery) {
		if f() {
			return nil
		}
	}
	return errors.Errorf("%s was not ready within %s", what, d)
}
