package scheduler

import (
	"slices"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/team"
)

// syncDrained updates which workers operators have taken out of service.
func (c *Core) syncDrained() {
	for _, name := range c.workerNames {
		w := c.workers[name]
		if _, drained := c.view.Catalog.Drained[name]; drained != w.drained {
			w.drained = drained
			c.markDirty(w)
		}
	}
}

// syncTasks updates the wanted tasks from the catalog, in one pass over the
// workloads that changed.
func (c *Core) syncTasks() {
	cat := c.view.Catalog
	var changed []string
	for name, e := range cat.Workloads {
		g := c.group(name)
		if g == nil || g.version != e.Version || g.endedCount != len(cat.Ended[name]) || g.finished != e.Finished {
			changed = append(changed, name)
		}
	}
	for name, g := range c.queue.groups {
		if _, ok := cat.Workloads[name]; !ok {
			c.unwantTasks(g)
			c.removeGroup(g)
		}
	}
	slices.Sort(changed)
	for _, name := range changed {
		c.syncGroup(name, cat.Workloads[name])
	}
	c.updateQuotas()
	c.updateAcceleratorGuard()
	c.collectOrphans()
}

// syncGroup updates one workload's tasks from its declaration.
func (c *Core) syncGroup(name string, e configuration.Entry[configuration.Workload]) {
	ended := c.view.Catalog.Ended[name]
	g := c.group(name)
	if g == nil {
		g = &group{workload: name, racks: map[string]int{}}
		c.queue.groups[name] = g
	}
	if g.version != e.Version || g.finished != e.Finished || g.spec == nil {
		c.unwantTasks(g)
		g.version, g.finished, g.spec = e.Version, e.Finished, &e.Value
		g.members = g.members[:0]
		for _, n := range configuration.Tasks(e, c.settings.Domain) {
			g.members = append(g.members, c.wantTask(n, name))
		}
	}
	g.endedCount = len(ended)
	for _, t := range g.members {
		if _, done := ended[t.name]; done && t.state != completed {
			c.finish(t)
		}
		c.enqueue(t)
	}
	c.queue.activate(g, "")
}

func (c *Core) wantTask(name, workload string) *task {
	t := c.tasks[name]
	if t == nil {
		t = &task{name: name, workload: workload, waitingSince: c.now}
		c.tasks[name] = t
	}
	if t.isBound() {
		c.uncharge(t)
		c.charge(t)
		c.markDirty(c.workers[t.worker])
	}
	t.wanted = true
	return t
}

// unwantTasks records that no workload asks for the group's tasks.
func (c *Core) unwantTasks(g *group) {
	for _, t := range g.members {
		t.wanted = false
		if t.isBound() {
			c.markDirty(c.workers[t.worker])
		}
		c.discardIfUnwanted(t)
	}
}

// collectOrphans lists tasks left on a machine that is no longer behind a
// worker's name. A task that a returned worker reports is bound again.
func (c *Core) collectOrphans() {
	if !c.orphansStale {
		return
	}
	c.orphansStale = false
	c.orphans = c.orphans[:0]
	for _, t := range c.tasks {
		if t.isBound() && t.leaseExpiredAt > 0 {
			c.orphans = append(c.orphans, t)
		}
	}
}

// updateQuotas computes the teams' quotas in this domain. Each team's quota is
// divided over domains in proportion to what its workloads request there.
func (c *Core) updateQuotas() {
	cat := c.view.Catalog
	total, local := map[string]resource.Vector{}, map[string]resource.Vector{}
	for _, e := range cat.Workloads {
		w := &e.Value
		for _, h := range w.Homes {
			asked := w.Size.Scale(int64(h.Count))
			total[w.Team] = total[w.Team].Add(asked)
			if h.Domain == c.settings.Domain {
				local[w.Team] = local[w.Team].Add(asked)
			}
		}
	}
	for name, e := range cat.Teams {
		quota := team.SplitQuota(e.Value.Quota, local[name], total[name])
		if c.quotas.SetQuota(name, float64(e.Value.Weight), quota) {
			c.wakeTeam(name)
		}
	}
	for _, name := range c.quotas.Names() {
		if _, declared := cat.Teams[name]; !declared && c.quotas.SetQuota(name, 1, resource.Vector{}) {
			c.wakeTeam(name)
		}
	}
}

// updateAcceleratorGuard computes the CPU and memory that accelerator work needs
// for each accelerator.
func (c *Core) updateAcceleratorGuard() {
	perAccelerator := resource.Vector{}
	for _, g := range c.queue.groups {
		if n := g.spec.Size.Accelerators; n > 0 && len(g.members) > 0 {
			size := g.spec.Size
			perAccelerator = perAccelerator.Max(resource.Vector{MilliCPU: size.MilliCPU / n, MemoryMiB: size.MemoryMiB / n})
		}
	}
	if perAccelerator != c.cell.Guard.PerAccelerator {
		c.cell.Guard.PerAccelerator = perAccelerator
		c.queue.activateAll()
	}
}

// removeGroup removes a group whose workload is gone.
func (c *Core) removeGroup(g *group) {
	c.releaseReservation(g)
	c.releaseHolds(g, true)
	delete(c.moves, g.workload)
	for _, t := range g.members {
		if t.group == g {
			c.uncharge(t)
		}
	}
	c.queue.remove(g.workload)
}
