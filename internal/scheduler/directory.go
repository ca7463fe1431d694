package scheduler

import (
	"sort"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

// Directory is what the domain's entries need to know. A published Directory
// is never changed.
type Directory struct {
	Version   int64
	Leader    bool
	Position  int64
	Endpoints []Endpoint
}

// Endpoint is a service's runner.
type Endpoint struct {
	Service string
	Task    string
	Attempt uint64
	Address string
	// Leaving runners take no new requests.
	Leaving bool
}

// Directory returns the newest directory.
func (c *Core) Directory() Directory { return c.dir }

// publish makes a new directory when something in it may have changed.
func (c *Core) publish() {
	if !c.dirDirty {
		return
	}
	c.dirDirty = false
	d := Directory{Version: c.dir.Version + 1, Leader: c.term.Held(c.now), Position: c.view.Catalog.Next}
	for _, name := range c.order {
		w := c.workers[name]
		for _, o := range w.observed {
			if ep, ok := c.endpoint(w, o); ok {
				d.Endpoints = append(d.Endpoints, ep)
			}
		}
	}
	sort.Slice(d.Endpoints, func(i, j int) bool { return d.Endpoints[i].Attempt < d.Endpoints[j].Attempt })
	c.dir = d
}

func (c *Core) endpoint(w *worker, o ObservedTask) (Endpoint, bool) {
	if o.State != Running || o.Address == "" {
		return Endpoint{}, false
	}
	_, drained := c.view.Catalog.Drained[w.name]
	ep := Endpoint{Service: configuration.WorkloadOf(o.Task), Task: o.Task, Attempt: o.Attempt, Address: o.Address}
	ep.Leaving = w.leaving || drained || !c.wants(w, o)
	return ep, true
}
