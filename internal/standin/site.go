package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	api "github.com/mimosaspool/mimosaspool/api/platform"
	"github.com/mimosaspool/mimosaspool/internal/checker"
	"github.com/mimosaspool/mimosaspool/internal/lifecycle"
)

// Group is a number of like workers, named NAME-DOMAIN-NN.
type Group struct {
	Name     string
	Count    int
	PerRack  int
	Capacity *api.Resources
}

// SiteOptions configure a site.
type SiteOptions struct {
	Log      LogLimits
	HostsLag time.Duration
}

// Site is a stand-in platform: a log, a list of hosts and workers in domains.
type Site struct {
	Log      *Log
	Faults   *Faults
	Links    *Links
	Breaches *Breaches
	Requests *Requests

	// mu guards the list of hosts, the workers and their tasks.
	mu          sync.Mutex
	workers     map[string]*Worker
	tasks       *checker.Tasks
	began       time.Time
	checkpoints map[uint64]time.Duration
	starts      []Start
	hosts       hosts
	gone        map[string]bool
	servers     map[string]*http.Server
	platforms   map[string]string
	partitions  map[string]*Log

	// told guards hosts.told.
	told sync.RWMutex
}

// NewSite returns a site without workers.
func NewSite(opt SiteOptions) *Site {
	s := &Site{
		Faults:      NewFaults(),
		Breaches:    &Breaches{},
		workers:     map[string]*Worker{},
		tasks:       checker.NewTasks(),
		began:       time.Now(),
		checkpoints: map[uint64]time.Duration{},
		hosts:       hosts{lag: opt.HostsLag, told: map[string]time.Time{}},
		gone:        map[string]bool{},
		servers:     map[string]*http.Server{},
		platforms:   map[string]string{},
		partitions:  map[string]*Log{},
	}
	s.Log = NewLog(opt.Log, s.Faults)
	s.Links = NewLinks(s.Faults)
	s.Requests = &Requests{breaches: s.Breaches, byKey: map[string]Request{}}
	return s
}

// AddGroup adds workers, spread over the domains in turn, each on a loopback
// port of its own.
func (s *Site) AddGroup(g Group, domains []string) error {
	numbers := map[string]int{}
	for i := range g.Count {
		domain := domains[i%len(domains)]
		numbers[domain]++
		n := numbers[domain]
		h := &api.Host{
			Name: fmt.Sprintf("%s-%s-%02d", g.Name, domain, n), Region: domain, Domain: domain,
			Rack: fmt.Sprintf("%s-%s-r%d", g.Name, domain, (n-1)/g.PerRack), Capacity: g.Capacity,
		}
		if err := s.addWorker(h); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) addWorker(h *api.Host) error {
	w := newWorker(h, s)
	s.workers[h.Name] = w
	addr, err := s.serve(h.Name, api.NewWorkerServer(w))
	if err != nil {
		return err
	}
	h.Address = addr
	s.addHost(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.show(time.Now().Add(s.hosts.lag)) // known from the beginning
	return nil
}

// serve serves h on a loopback port in place of the named earlier server.
func (s *Site) serve(name string, h http.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", errors.Wrapf(err, "serve %s", name)
	}
	if old := s.servers[name]; old != nil {
		old.Close()
	}
	server := &http.Server{Protocols: lifecycle.Protocols(), Handler: h}
	s.servers[name] = server
	go server.Serve(l)
	return l.Addr().String(), nil
}

// Platform returns the address at which the named entry host reaches the log
// and the list of hosts.
func (s *Site) Platform(from string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr, ok := s.platforms[from]; ok {
		return s.Links.Address(from, platformName, addr)
	}
	r := mux.NewRouter()
	s.registerPlatform(r, from)
	addr, err := s.serve(platformName+" of "+from, r)
	if err != nil {
		return "", err
	}
	s.platforms[from] = addr
	return s.Links.Address(from, platformName, addr)
}

// registerPlatform adds the log, its partitions and the list of hosts to a router.
func (s *Site) registerPlatform(r *mux.Router, from string) {
	for _, srv := range []api.TwirpServer{api.NewLogServer(s.Log), api.NewHostsServer(hostsFor{s, from})} {
		r.PathPrefix(srv.PathPrefix()).Handler(srv)
	}
	r.PathPrefix("/partition/{name}/").HandlerFunc(s.servePartition)
}

// platformName is the name of the log and the list of hosts as an end of links.
const platformName = "platform"

// Order begins a fault.
func (s *Site) Order(f Fault) (Fault, error) {
	f, err := s.Faults.Order(f)
	if err != nil {
		return f, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Kind {
	case LinkCut, LinkSilent, LinkRefuse:
		s.Links.begin(f)
	case RunnerSilent, WorkerRestart, WorkerReplace:
		for name, w := range s.workers {
			if err := s.beginOn(f, name, w); err != nil {
				return f, err
			}
		}
	}
	return f, nil
}

// beginOn applies a fault that happens at one moment to a worker it concerns.
func (s *Site) beginOn(f Fault, name string, w *Worker) error {
	if f.Kind == RunnerSilent {
		for _, r := range w.runners {
			if matches(f.Target, r.names()...) {
				r.l.silence()
			}
		}
		return nil
	}
	if !matches(f.Target, name) {
		return nil
	}
	if f.Kind == WorkerReplace {
		w.skew(fmt.Sprint(name, f.ID))
		addr, err := s.serve(name, api.NewWorkerServer(w))
		if err != nil {
			return err
		}
		w.host.Address = addr
		s.hosts.change(time.Now())
	}
	w.Restart()
	return nil
}

// sweepInterval is how often lapsed leases and hosts' states are looked at.
const sweepInterval = 20 * time.Millisecond

// Run ends what lapses until ctx ends.
func (s *Site) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.sweep()
		}
	}
}

func (s *Site) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		w.Sweep()
	}
	s.refresh()
}

// Close ends all servers and links.
func (s *Site) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Links.Close()
	for _, srv := range s.servers {
		srv.Close()
	}
	for _, w := range s.workers {
		w.Restart()
	}
}
