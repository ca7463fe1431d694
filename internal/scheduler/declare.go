package scheduler

import (
	"slices"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/team"
)

// setDrained notes which workers operators have taken out of use.
func (c *Core) setDrained() {
	for _, name := range c.order {
		w := c.workers[name]
		if _, drained := c.view.Catalog.Drained[name]; drained != w.drained {
			w.drained = drained
			c.touch(w)
		}
	}
}

// setTasks brings the wanted tasks in line with the catalog, in one pass over
// the workloads that changed.
func (c *Core) setTasks() {
	cat := c.view.Catalog
	var changed []string
	for name, e := range cat.Workloads {
		g := c.group(name)
		if g == nil || g.version != e.Version || g.ended != len(cat.Ended[name]) || g.finished != e.Finished {
			changed = append(changed, name)
		}
	}
	for name, g := range c.queue.groups {
		if _, ok := cat.Workloads[name]; !ok {
			c.unwant(g)
			c.dropGroup(g)
		}
	}
	slices.Sort(changed)
	for _, name := range changed {
		c.setGroup(name, cat.Workloads[name])
	}
	c.setTeams()
	c.setGuard()
	c.adoptOrphans()
}

// setGroup brings one workload's tasks in line with its declaration.
func (c *Core) setGroup(name string, e configuration.Entry[configuration.Workload]) {
	ended := c.view.Catalog.Ended[name]
	g := c.group(name)
	if g == nil {
		g = &group{workload: name, racks: map[string]int{}}
		c.queue.groups[name] = g
	}
	if g.version != e.Version || g.finished != e.Finished || g.spec == nil {
		c.unwant(g)
		g.version, g.finished, g.spec = e.Version, e.Finished, &e.Value
		g.members = g.members[:0]
		for _, n := range configuration.Tasks(e, c.set.Domain) {
			g.members = append(g.members, c.want(n, name))
		}
	}
	g.ended = len(ended)
	for _, t := range g.members {
		if _, done := ended[t.name]; done && t.state != over {
			c.finish(t)
		}
		c.enqueue(t)
	}
	c.queue.activate(g, "")
}

func (c *Core) want(name, workload string) *task {
	t := c.tasks[name]
	if t == nil {
		t = &task{name: name, workload: workload, since: c.now}
		c.tasks[name] = t
	}
	if t.isBound() {
		c.uncount(t)
		c.count(t)
		c.touch(c.workers[t.worker])
	}
	t.wanted = true
	return t
}

// unwant notes that no workload asks for the group's tasks.
func (c *Core) unwant(g *group) {
	for _, t := range g.members {
		t.wanted = false
		if t.isBound() {
			c.touch(c.workers[t.worker])
		}
		c.mayDiscard(t)
	}
}

// adoptOrphans keeps track of tasks that were left on a machine no longer
// behind a worker's name. One that a returned worker shows again is bound anew.
func (c *Core) adoptOrphans() {
	if !c.orphansStale {
		return
	}
	c.orphansStale = false
	c.orphans = c.orphans[:0]
	for _, t := range c.tasks {
		if t.isBound() && t.goneAt > 0 {
			c.orphans = append(c.orphans, t)
		}
	}
}

// setTeams works out the teams' quotas in this domain: each team's quota is
// divided over domains by what its workloads ask for there.
func (c *Core) setTeams() {
	cat := c.view.Catalog
	all, here := map[string]resource.Vector{}, map[string]resource.Vector{}
	for _, e := range cat.Workloads {
		w := &e.Value
		for _, h := range w.Homes {
			asked := w.Size.Scale(int64(h.Count))
			all[w.Team] = all[w.Team].Add(asked)
			if h.Domain == c.set.Domain {
				here[w.Team] = here[w.Team].Add(asked)
			}
		}
	}
	for name, e := range cat.Teams {
		quota := team.SplitQuota(e.Value.Quota, here[name], all[name])
		if c.ledger.SetQuota(name, e.Value.Weight, quota) {
			c.wakeTeam(name)
		}
	}
	for _, name := range c.ledger.Names() {
		if _, declared := cat.Teams[name]; !declared && c.ledger.SetQuota(name, 1, resource.Vector{}) {
			c.wakeTeam(name)
		}
	}
}

// setGuard works out what accelerator work takes beside each accelerator.
func (c *Core) setGuard() {
	per := resource.Vector{}
	for _, g := range c.queue.groups {
		if n := g.spec.Size.Accelerators; n > 0 && len(g.members) > 0 {
			size := g.spec.Size
			per = per.Max(resource.Vector{MilliCPU: size.MilliCPU / n, MemoryMiB: size.MemoryMiB / n})
		}
	}
	if per != c.cell.Guard.PerAccelerator {
		c.cell.Guard.PerAccelerator = per
		c.queue.activateAll()
	}
}

// dropGroup forgets a group whose workload is gone.
func (c *Core) dropGroup(g *group) {
	c.giveUp(g)
	c.dropHolds(g, true)
	delete(c.moves, g.workload)
	for _, t := range g.members {
		if t.in == g {
			c.uncount(t)
		}
	}
	c.queue.drop(g.workload)
}
