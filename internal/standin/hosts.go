package standin

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	api "github.com/mimosaspool/mimosaspool/api/platform"
)

// leavingGrace is how long after the list said that a host leaves it may still
// receive new work.
const leavingGrace = 5 * time.Second

// hosts is the list of hosts and what of it has been shown.
type hosts struct {
	lag  time.Duration
	list []*api.Host
	// shown is the list as replies give it, which lags.
	shown []*api.Host
	// changes wait until they are shown.
	changes []hostsChange
	// told holds when a reply first showed a host of the domain as leaving.
	told map[string]time.Time
}

type hostsChange struct {
	at   time.Time
	list []*api.Host
}

// change puts a new state of the list in line.
func (h *hosts) change(now time.Time) {
	list := make([]*api.Host, 0, len(h.list))
	for _, x := range h.list {
		list = append(list, proto.Clone(x).(*api.Host))
	}
	h.changes = append(h.changes, hostsChange{at: now.Add(h.lag), list: list})
}

// show brings what is shown up to date.
func (h *hosts) show(now time.Time) {
	for len(h.changes) > 0 && !now.Before(h.changes[0].at) {
		h.shown, h.changes = h.changes[0].list, h.changes[1:]
	}
}

// addHost adds a host to the list, or changes its entry.
func (s *Site) addHost(h *api.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.list = slices.DeleteFunc(s.hosts.list, func(x *api.Host) bool { return x.Name == h.Name })
	s.hosts.list = append(s.hosts.list, h)
	s.hosts.change(time.Now())
}

// refresh marks hosts as leaving or gone as the faults of the moment say.
func (s *Site) refresh() {
	changed := false
	for _, h := range s.hosts.list {
		_, leaving := s.Faults.On(HostLeaving, h.Name)
		_, gone := s.Faults.On(HostGone, h.Name)
		if h.Leaving != leaving || s.gone[h.Name] != gone {
			h.Leaving, s.gone[h.Name] = leaving, gone
			changed = true
		}
	}
	if changed {
		s.hosts.change(time.Now())
	}
}

// toldLeaving returns how long ago the list showed a host as leaving.
func (s *Site) toldLeaving(name string) (time.Duration, bool) {
	s.told.RLock()
	defer s.told.RUnlock()
	at, ok := s.hosts.told[name]
	return time.Since(at), ok
}

func (s *Site) tell(h *api.Host) {
	s.told.Lock()
	defer s.told.Unlock()
	if !h.Leaving {
		delete(s.hosts.told, h.Name)
	} else if _, ok := s.hosts.told[h.Name]; !ok {
		s.hosts.told[h.Name] = time.Now()
	}
}

// hostsFor serves the list to one entry host, with addresses that lead through
// its links.
type hostsFor struct {
	site *Site
	from string
}

// List implements the platform's Hosts service.
func (f hostsFor) List(_ context.Context, req *api.ListRequest) (*api.ListReply, error) {
	s := f.site
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, frozen := s.Faults.On(HostsFrozen, "hosts"); !frozen {
		s.hosts.show(time.Now())
	}
	reply := &api.ListReply{}
	for _, h := range s.hosts.shown {
		if req.Domain != "" && req.Domain != h.Domain || s.gone[h.Name] {
			continue
		}
		s.tell(h)
		x := proto.Clone(h).(*api.Host)
		if !h.Entry {
			addr, err := s.Links.Address(f.from, h.Name, h.Address)
			if err != nil {
				return nil, twirp.InternalErrorWith(err)
			}
			x.Address, x.Machine = addr, h.Address
		}
		reply.Hosts = append(reply.Hosts, x)
	}
	slices.SortFunc(reply.Hosts, func(a, b *api.Host) int { return strings.Compare(a.Name, b.Name) })
	return reply, nil
}
