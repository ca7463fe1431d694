package scheduler

import (
	"fmt"
	"sort"
	"strings"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/placement"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// TaskInfo is a task as shown to operators.
type TaskInfo struct {
	Name     string
	Workload string
	State    string
	Worker   string
	Attempt  uint64
	// Reason is why the task waits; empty when it doesn't.
	Reason WaitReason
}

// WaitReason is why a task waits.
type WaitReason string

// Wait reasons. A failed placement has the form "no-fit: REASON", with the reason
// given by most workers. Reasons not caused by the workers stand alone, under
// their names in package placement: quota, impossible, gang-too-large,
// gang-split, gang-waits.
const (
	WaitNoTerm  WaitReason = "no-term"
	WaitBackoff WaitReason = "backoff"
	WaitUnseen  WaitReason = "unseen"
	WaitQueued  WaitReason = "queued"
	WaitNoFit   WaitReason = "no-fit"
)

var phaseNames = map[taskPhase]string{waiting: "waiting", placed: "starting", live: "running", completed: "ended"}

// Tasks lists the domain's tasks by name.
func (c *Core) Tasks() []TaskInfo {
	list := make([]TaskInfo, 0, len(c.tasks))
	explained := map[string]map[string]placement.Reason{}
	for _, t := range c.tasks {
		list = append(list, c.taskInfo(t, explained))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// nodeReasons returns each worker's reason for refusing the task. Tasks of one
// workload share their reasons, which are computed once and cached in explained.
func (c *Core) nodeReasons(t *task, explained map[string]map[string]placement.Reason) map[string]placement.Reason {
	g := c.group(t.workload)
	if g == nil {
		return nil
	}
	if _, ok := explained[t.workload]; !ok {
		explained[t.workload] = c.cell.Explain(c.newRequest(g, t)).Reasons
	}
	return explained[t.workload]
}

func (c *Core) taskInfo(t *task, explained map[string]map[string]placement.Reason) TaskInfo {
	info := TaskInfo{Name: t.name, Workload: t.workload, State: phaseNames[t.state], Worker: t.worker, Attempt: t.attempt}
	if !t.wanted && t.state == live {
		info.State = "stopping"
	}
	if t.state == waiting {
		info.Reason = c.waitReason(t, explained)
	}
	return info
}

func (c *Core) waitReason(t *task, explained map[string]map[string]placement.Reason) WaitReason {
	switch {
	case !c.term.Held(c.now):
		return WaitNoTerm
	case c.now < t.notBefore:
		return WaitBackoff
	case !c.mayStart(t):
		return WaitUnseen
	}
	if g := c.group(t.workload); g != nil && g.blocked != "" {
		if !g.awaitsCapacity() {
			return WaitReason(g.blocked)
		}
		if g.isGang() {
			return WaitNoFit + WaitReason(": "+g.blocked)
		}
	}
	if reasons := c.nodeReasons(t, explained); len(reasons) == len(c.workerNames) {
		return WaitNoFit + WaitReason(": "+mostCommonReason(reasons))
	}
	return WaitQueued
}

// mostCommonReason returns the reason that most workers give. Ties go to the
// first by name.
func mostCommonReason(reasons map[string]placement.Reason) placement.Reason {
	counts := map[placement.Reason]int{}
	for _, r := range reasons {
		counts[r]++
	}
	best := placement.Reason("no-workers")
	for r, n := range counts {
		if n > counts[best] || n == counts[best] && r < best {
			best = r
		}
	}
	return best
}

// MalformedRecords returns the number of log records that could not be decoded.
func (c *Core) MalformedRecords() int { return c.view.Malformed }

// WorkerInfo is a worker as shown to operators.
type WorkerInfo struct {
	Name, Rack, Address string
	// State is ready, or the reason why the worker accepts no new tasks.
	State    string
	Tasks    int
	Capacity resource.Vector
	Free     resource.Vector
}

// Workers lists the domain's workers by name.
func (c *Core) Workers() []WorkerInfo {
	list := make([]WorkerInfo, 0, len(c.workerNames))
	for _, name := range c.workerNames {
		list = append(list, c.workerInfo(c.workers[name]))
	}
	return list
}

func (c *Core) workerInfo(w *worker) WorkerInfo {
	info := WorkerInfo{Name: w.name, Rack: w.rack, Address: w.address, State: "ready", Capacity: w.capacity, Free: w.free()}
	if why := c.blockReason(w); why != "" {
		info.State = string(why)
	}
	if w.address == "" {
		info.State = "not-listed"
	}
	for _, o := range w.observed {
		if o.State == Running {
			info.Tasks++
		}
	}
	info.Tasks += len(w.assumed)
	return info
}

// Explanation describes an object's state and the reasons for it.
type Explanation struct {
	Facts []Fact
	// Nodes tells for each worker whether the task could run there.
	Nodes []NodeFit
	// Changes lists what would have to change.
	Changes []string
}

// Fact is a named property.
type Fact struct{ Name, Value string }

// NodeFit is the result of checking a waiting task against a worker.
type NodeFit struct {
	Worker string
	// Reason is why the worker refuses the task; empty when it doesn't.
	Reason placement.Reason
	Free   resource.Vector
}

func (e *Explanation) addFact(name, format string, args ...any) {
	e.Facts = append(e.Facts, Fact{name, fmt.Sprintf(format, args...)})
}

func (e *Explanation) addChange(format string, args ...any) {
	e.Changes = append(e.Changes, fmt.Sprintf(format, args...))
}

// ExplainTask explains a task of the domain. It returns nil if the domain has no
// task of this name.
func (c *Core) ExplainTask(name string) *Explanation {
	t := c.tasks[name]
	if t == nil {
		return nil
	}
	info := c.taskInfo(t, map[string]map[string]placement.Reason{})
	e := &Explanation{}
	e.addFact("state", "%s", info.State)
	e.addFact("workload", "%s", t.workload)
	if t.worker != "" {
		e.addFact("worker", "%s", t.worker)
	}
	if t.failures > 0 {
		e.addFact("failures", "%d", t.failures)
	}
	if spec, ok := c.view.Catalog.Workloads[t.workload]; ok {
		e.addFact("size", "%s", spec.Value.Size)
		if t.state == waiting {
			e.addFact("waits", "%s", info.Reason)
			c.explainWait(e, t, &spec.Value, info.Reason)
		}
	}
	return e
}

func (c *Core) explainWait(e *Explanation, t *task, spec *configuration.Workload, why WaitReason) {
	switch why {
	case WaitNoTerm:
		e.addChange("this scheduler must hold the domain's term: see explain domain %s", c.settings.Domain)
	case WaitBackoff:
		e.addChange("its last %d attempts failed; it is tried again in %s", t.failures, (t.notBefore - c.now).Round(writeRetry))
	case WaitUnseen:
		e.addChange("an earlier attempt may still run on a worker that was not reached since this term began; it is placed once every worker has answered, or in %s at the latest", (c.term.UnseenTasksExpireAt() - c.now).Round(writeRetry))
	}
	c.explainGroup(e, why, spec)
	req := placement.Request{Task: t.name, Workload: spec, Size: spec.Size}
	if g := c.group(t.workload); g != nil {
		req = *c.newRequest(g, t)
	}
	nodes := c.cell.Nodes()
	for i := range nodes {
		n := &nodes[i]
		e.Nodes = append(e.Nodes, NodeFit{Worker: n.Name, Reason: placement.Feasible(&req, n), Free: n.Free})
	}
	if req.Size != spec.Size {
		e.addFact("counted as", "%s, since its tasks were seen to use as much", req.Size)
	}
	if why == WaitQueued || strings.HasPrefix(string(why), string(WaitNoFit)) {
		suggestChanges(e, req.Size, nodes, c.settings.Domain)
	}
}

// explainGroup adds the changes needed where the reason isn't a worker.
func (c *Core) explainGroup(e *Explanation, why WaitReason, spec *configuration.Workload) {
	switch placement.Reason(why) {
	case placement.Quota:
		e.addFact("team holds", "%s", c.quotas.Used(spec.Team))
		e.addChange("team %s must hold less in domain %s or get a larger quota", spec.Team, c.settings.Domain)
	case placement.GangWaits:
		e.addChange("all tasks of the gang must be free to start; those that still run are stopped first")
	}
	if r := c.Refusal(spec); r != nil {
		e.addChange("%s: cancel it and declare it anew", r.Detail)
	}
}

// TeamUsage returns the resources held by the team's tasks in this domain.
func (c *Core) TeamUsage(team string) resource.Vector { return c.quotas.Used(team) }

// suggestChanges adds changes that would make a task of the given size fit.
func suggestChanges(e *Explanation, size resource.Vector, nodes []placement.Node, domain string) {
	var largest resource.Vector
	var nearest *placement.Node
	largeEnough := false
	for i := range nodes {
		n := &nodes[i]
		largest = largest.Max(n.Capacity)
		if e.Nodes[i].Reason == "" {
			e.addChange("nothing: it fits worker %s", n.Name)
			return
		}
		if !size.Fits(n.Capacity) {
			continue
		}
		largeEnough = true
		switch {
		case n.Blocked == placement.Draining:
			e.addChange("return worker %s", n.Name)
		case n.Blocked == "" && (nearest == nil || missingShare(size, n) < missingShare(size, nearest)):
			nearest = n
		}
	}
	switch {
	case !largeEnough && len(nodes) > 0:
		e.addChange("no worker of domain %s is large enough for %s (the most of each resource is %s): declare a smaller size or another home", domain, size, largest)
	case nearest != nil && size.Fits(nearest.Free):
		e.addChange("worker %s has the room; see the reason that it refuses for", nearest.Name)
	case nearest != nil:
		e.addChange("free %s on worker %s", size.Sub(nearest.Free).Max(resource.Vector{}), nearest.Name)
	}
}

// missingShare returns the share of the size that the node lacks, summed over
// resources.
func missingShare(size resource.Vector, n *placement.Node) float64 {
	m := size.Sub(n.Free).Max(resource.Vector{})
	part := func(missing, whole int64) float64 { return float64(missing) / float64(max(whole, 1)) }
	return part(m.MilliCPU, size.MilliCPU) + part(m.MemoryMiB, size.MemoryMiB) + part(m.Accelerators, size.Accelerators)
}

// ExplainWorker explains a worker of the domain. It returns nil if the domain has
// no worker of this name.
func (c *Core) ExplainWorker(name string) *Explanation {
	w := c.workers[name]
	if w == nil {
		return nil
	}
	info := c.workerInfo(w)
	e := &Explanation{}
	e.addFact("state", "%s", info.State)
	e.addFact("domain", "%s", c.settings.Domain)
	e.addFact("rack", "%s", w.rack)
	e.addFact("address", "%s", w.address)
	e.addFact("capacity", "%s", w.capacity)
	e.addFact("free", "%s", info.Free)
	e.addFact("tasks", "%d", info.Tasks)
	switch {
	case w.address == "":
		e.addChange("the platform's list of hosts must show %s", name)
	case w.leaving:
		e.addChange("the platform's list shows %s as leaving; it takes nothing until the list shows it as live", name)
	case info.State == string(placement.Draining):
		e.addChange("return %s", name)
	case !w.fence.Owned(c.now):
		e.addChange("%s must answer this scheduler under its token", name)
	}
	return e
}
