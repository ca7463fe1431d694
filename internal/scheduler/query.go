package scheduler

import (
	"fmt"
	"sort"
	"strings"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/placement"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// TaskInfo is a task as operators see it.
type TaskInfo struct {
	Name     string
	Workload string
	State    string
	Worker   string
	Attempt  uint64
	// Reason is why the task waits; empty when it doesn't.
	Reason WaitReason
}

// WaitReason tells why a task waits.
type WaitReason string

// The reasons. A placement that failed has the form "no-fit: REASON", with the
// reason of most workers. Reasons that don't lie with the workers stand alone,
// as placement names them: quota, impossible, gang-too-large, gang-split, gang-waits.
const (
	WaitNoTerm  WaitReason = "no-term"
	WaitBackoff WaitReason = "backoff"
	WaitUnseen  WaitReason = "unseen"
	WaitQueued  WaitReason = "queued"
	WaitNoFit   WaitReason = "no-fit"
)

var phaseNames = map[taskPhase]string{waiting: "waiting", placed: "starting", live: "running", over: "ended"}

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

// whyWaiting returns the reason of each worker. Tasks of one workload share
// their reasons, which are worked out once and kept in explained.
func (c *Core) whyWaiting(t *task, explained map[string]map[string]placement.Reason) map[string]placement.Reason {
	g := c.group(t.workload)
	if g == nil {
		return nil
	}
	if _, ok := explained[t.workload]; !ok {
		explained[t.workload] = c.cell.Explain(c.request(g, t)).Reasons
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
		if !g.awaitsRoom() {
			return WaitReason(g.blocked)
		}
		if g.isGang() {
			return WaitNoFit + WaitReason(": "+g.blocked)
		}
	}
	if reasons := c.whyWaiting(t, explained); len(reasons) == len(c.order) {
		return WaitNoFit + WaitReason(": "+commonest(reasons))
	}
	return WaitQueued
}

// commonest returns the reason that most workers give; ties go to the first by name.
func commonest(reasons map[string]placement.Reason) placement.Reason {
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

// Malformed counts the log's records that could not be decoded.
func (c *Core) Malformed() int { return c.view.Malformed }

// WorkerInfo is a worker as operators see it.
type WorkerInfo struct {
	Name, Rack, Address string
	// State is ready, or why the worker takes nothing new.
	State    string
	Tasks    int
	Capacity resource.Vector
	Free     resource.Vector
}

// Workers lists the domain's workers by name.
func (c *Core) Workers() []WorkerInfo {
	list := make([]WorkerInfo, 0, len(c.order))
	for _, name := range c.order {
		list = append(list, c.workerInfo(c.workers[name]))
	}
	return list
}

func (c *Core) workerInfo(w *worker) WorkerInfo {
	info := WorkerInfo{Name: w.name, Rack: w.rack, Address: w.address, State: "ready", Capacity: w.capacity, Free: w.free()}
	if why := c.blocked(w); why != "" {
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

// Explanation tells why an object stands as it does.
type Explanation struct {
	Facts []Fact
	// Nodes tells of each worker whether the task could run there.
	Nodes []NodeFit
	// Changes tells what would have to change.
	Changes []string
}

// Fact is a named property.
type Fact struct{ Name, Value string }

// NodeFit is a worker as a waiting task sees it.
type NodeFit struct {
	Worker string
	// Reason is why the worker refuses the task; empty when it doesn't.
	Reason placement.Reason
	Free   resource.Vector
}

func (e *Explanation) fact(name, format string, args ...any) {
	e.Facts = append(e.Facts, Fact{name, fmt.Sprintf(format, args...)})
}

func (e *Explanation) change(format string, args ...any) {
	e.Changes = append(e.Changes, fmt.Sprintf(format, args...))
}

// ExplainTask explains a task of the domain; nil when the domain has none of
// this name.
func (c *Core) ExplainTask(name string) *Explanation {
	t := c.tasks[name]
	if t == nil {
		return nil
	}
	info := c.taskInfo(t, map[string]map[string]placement.Reason{})
	e := &Explanation{}
	e.fact("state", "%s", info.State)
	e.fact("workload", "%s", t.workload)
	if t.worker != "" {
		e.fact("worker", "%s", t.worker)
	}
	if t.failures > 0 {
		e.fact("failures", "%d", t.failures)
	}
	if spec, ok := c.view.Catalog.Workloads[t.workload]; ok {
		e.fact("size", "%s", spec.Value.Size)
		if t.state == waiting {
			e.fact("waits", "%s", info.Reason)
			c.explainWait(e, t, &spec.Value, info.Reason)
		}
	}
	return e
}

func (c *Core) explainWait(e *Explanation, t *task, spec *configuration.Workload, why WaitReason) {
	switch why {
	case WaitNoTerm:
		e.change("this scheduler must hold the domain's term: see explain domain %s", c.set.Domain)
	case WaitBackoff:
		e.change("its last %d attempts failed; it is tried again in %s", t.failures, (t.notBefore - c.now).Round(writeRetry))
	case WaitUnseen:
		e.change("an earlier attempt may still run on a worker that was not reached since this term began; it is placed once every worker has answered, or in %s at the latest", (c.term.HiddenUntil() - c.now).Round(writeRetry))
	}
	c.explainGroup(e, why, spec)
	req := placement.Request{Task: t.name, Workload: spec, Size: spec.Size}
	if g := c.group(t.workload); g != nil {
		req = *c.request(g, t)
	}
	nodes := c.cell.Nodes()
	for i := range nodes {
		n := &nodes[i]
		e.Nodes = append(e.Nodes, NodeFit{Worker: n.Name, Reason: placement.Feasible(&req, n), Free: n.Free})
	}
	if req.Size != spec.Size {
		e.fact("counted as", "%s, since its tasks were seen to use as much", req.Size)
	}
	if why == WaitQueued || strings.HasPrefix(string(why), string(WaitNoFit)) {
		suggest(e, req.Size, nodes, c.set.Domain)
	}
}

// explainGroup adds what would have to change where no worker is the reason.
func (c *Core) explainGroup(e *Explanation, why WaitReason, spec *configuration.Workload) {
	switch placement.Reason(why) {
	case placement.Quota:
		e.fact("team holds", "%s", c.ledger.Used(spec.Team))
		e.change("team %s must hold less in domain %s or get a larger quota", spec.Team, c.set.Domain)
	case placement.GangWaits:
		e.change("all tasks of the gang must be free to start; those that still run are stopped first")
	}
	if r := c.Refusal(spec); r != nil {
		e.change("%s: cancel it and declare it anew", r.Detail)
	}
}

// TeamHolds returns what the team's tasks hold in this domain.
func (c *Core) TeamHolds(team string) resource.Vector { return c.ledger.Used(team) }

// suggest adds what would make room for a task of the given size.
func suggest(e *Explanation, size resource.Vector, nodes []placement.Node, domain string) {
	var largest resource.Vector
	var nearest *placement.Node
	shaped := false
	for i := range nodes {
		n := &nodes[i]
		largest = largest.Max(n.Capacity)
		if e.Nodes[i].Reason == "" {
			e.change("nothing: it fits worker %s", n.Name)
			return
		}
		if !size.Fits(n.Capacity) {
			continue
		}
		shaped = true
		switch {
		case n.Blocked == placement.Draining:
			e.change("return worker %s", n.Name)
		case n.Blocked == "" && (nearest == nil || lack(size, n) < lack(size, nearest)):
			nearest = n
		}
	}
	switch {
	case !shaped && len(nodes) > 0:
		e.change("no worker of domain %s is large enough for %s (the most of each resource is %s): declare a smaller size or another home", domain, size, largest)
	case nearest != nil && size.Fits(nearest.Free):
		e.change("worker %s has the room; see the reason that it refuses for", nearest.Name)
	case nearest != nil:
		e.change("free %s on worker %s", size.Sub(nearest.Free).Max(resource.Vector{}), nearest.Name)
	}
}

// lack is the sum, over resources, of the part of the size that the node lacks.
func lack(size resource.Vector, n *placement.Node) float64 {
	m := size.Sub(n.Free).Max(resource.Vector{})
	part := func(missing, whole int64) float64 { return float64(missing) / float64(max(whole, 1)) }
	return part(m.MilliCPU, size.MilliCPU) + part(m.MemoryMiB, size.MemoryMiB) + part(m.Accelerators, size.Accelerators)
}

// ExplainWorker explains a worker of the domain; nil when it has no such worker.
func (c *Core) ExplainWorker(name string) *Explanation {
	w := c.workers[name]
	if w == nil {
		return nil
	}
	info := c.workerInfo(w)
	e := &Explanation{}
	e.fact("state", "%s", info.State)
	e.fact("domain", "%s", c.set.Domain)
	e.fact("rack", "%s", w.rack)
	e.fact("address", "%s", w.address)
	e.fact("capacity", "%s", w.capacity)
	e.fact("free", "%s", info.Free)
	e.fact("tasks", "%d", info.Tasks)
	switch {
	case w.address == "":
		e.change("the platform's list of hosts must show %s", name)
	case w.leaving:
		e.change("the platform's list shows %s as leaving; it takes nothing until the list shows it as live", name)
	case info.State == string(placement.Draining):
		e.change("return %s", name)
	case !w.fence.Owned(c.now):
		e.change("%s must answer this scheduler under its token", name)
	}
	return e
}
