package scheduler

import (
	"slices"
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

// Directory is what the domain's entries need to know to route requests. A
// published Directory is never changed.
type Directory struct {
	Version   int64
	Leader    bool
	Position  int64
	Endpoints []Endpoint
	Services  []ServiceInfo
}

// ServiceInfo is what entries need to know about a declared service.
type ServiceInfo struct {
	Name   string
	Policy configuration.Policy
}

// Endpoint is a runner of a service.
type Endpoint struct {
	Service string
	Task    string
	Attempt uint64
	Address string
	// Leaving runners accept no new requests.
	Leaving bool
	// StartedThisTerm is set for runners that were started in the present term.
	StartedThisTerm bool
}

// Term is the term that the core holds or last held.
type Term struct {
	Held bool
	// Began and Until are the bounds of the term in local time.
	Began, Until time.Duration
}

// HeldAt reports whether the term certainly holds at the local time now.
func (t Term) HeldAt(now time.Duration) bool { return t.Held && now < t.Until }

// Term returns the newest term, limited to the time in which slots may be granted
// in it.
func (c *Core) Term() Term {
	return Term{Held: c.term.GrantsSlots(c.now), Began: c.term.Began(), Until: c.term.GrantsUntil()}
}

// Directory returns the newest directory.
func (c *Core) Directory() Directory { return c.directory }

// publish creates a new directory if its contents may have changed.
func (c *Core) publish() {
	if !c.directoryDirty {
		return
	}
	c.directoryDirty = false
	d := Directory{Version: c.directory.Version + 1, Leader: c.term.Held(c.now), Position: c.view.Catalog.Next}
	for _, name := range c.workerNames {
		w := c.workers[name]
		for _, o := range w.observed {
			if ep, ok := c.endpoint(w, o); ok {
				d.Endpoints = append(d.Endpoints, ep)
			}
		}
	}
	sort.Slice(d.Endpoints, func(i, j int) bool { return d.Endpoints[i].Attempt < d.Endpoints[j].Attempt })
	for _, name := range c.view.Catalog.WorkloadNames() {
		if w := c.view.Catalog.Workloads[name].Value; w.Kind == configuration.Service {
			d.Services = append(d.Services, ServiceInfo{Name: name, Policy: w.Policy})
		}
	}
	if !d.same(c.directory) {
		c.directory = d
	}
}

// same reports whether o has the same contents for entries as d.
func (d Directory) same(o Directory) bool {
	return d.Leader == o.Leader && slices.Equal(d.Endpoints, o.Endpoints) && slices.Equal(d.Services, o.Services)
}

func (c *Core) endpoint(w *worker, o ObservedTask) (Endpoint, bool) {
	if o.State != Running || o.Address == "" {
		return Endpoint{}, false
	}
	ep := Endpoint{Service: configuration.WorkloadOf(o.Task), Task: o.Task, Attempt: o.Attempt, Address: o.Address}
	ep.Leaving = w.leaving || w.leavingRunners[o.Attempt] != nil || !c.isWanted(w, o)
	ep.StartedThisTerm = c.startedInTerm(o.Attempt)
	return ep, true
}

// startedInTerm reports whether this process has assigned the attempt number
// since the present term began.
func (c *Core) startedInTerm(attempt uint64) bool {
	base := attemptBase(c.settings.InstanceID())
	return c.termHeld && attempt > base+c.lastAttemptBeforeTerm && attempt <= base+c.lastAttempt
}
