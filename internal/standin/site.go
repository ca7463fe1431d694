package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/twitchtv/twirp"

	api "github.com/mimosaspool/mimosaspool/api/platform"
	"github.com/mimosaspool/mimosaspool/internal/lifecycle"
)

// Group is a number of like workers, named NAME-DOMAIN-NN.
type Group struct {
	Name     string
	Count    int
	PerRack  int
	Capacity *api.Resources
}

// Site is a stand-in platform: a log, a list of hosts and workers in domains.
type Site struct {
	Log      *Log
	Breaches *Breaches
	Workers  map[string]*Worker
	hosts    []*api.Host
	servers  []*http.Server
}

// NewSite returns a site without workers.
func NewSite() *Site {
	return &Site{Log: NewLog(), Breaches: NewBreaches(), Workers: map[string]*Worker{}}
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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h.Address = l.Addr().String()
	w := NewWorker(h, s.Breaches)
	s.Workers[h.Name] = w
	s.hosts = append(s.hosts, h)
	server := &http.Server{Protocols: lifecycle.Protocols(), Handler: api.NewWorkerServer(w, twirp.WithServerPathPrefix("/twirp"))}
	s.servers = append(s.servers, server)
	go server.Serve(l)
	return nil
}

// List implements the platform's Hosts service.
func (s *Site) List(_ context.Context, req *api.ListRequest) (*api.ListReply, error) {
	reply := &api.ListReply{}
	for _, h := range s.hosts {
		if req.Domain == "" || req.Domain == h.Domain {
			reply.Hosts = append(reply.Hosts, h)
		}
	}
	return reply, nil
}

// Close ends the workers' servers.
func (s *Site) Close() {
	for _, srv := range s.servers {
		srv.Close()
	}
}
