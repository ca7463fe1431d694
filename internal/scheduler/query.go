package scheduler

import (
	"sort"

	"github.com/mimosaspool/mimosaspool/internal/placement"
)

// TaskInfo is a task as operators see it.
type TaskInfo struct {
	Name     string                      `json:"name"`
	Workload string                      `json:"workload"`
	State    string                      `json:"state"`
	Worker   string                      `json:"worker,omitempty"`
	Attempt  uint64                      `json:"attempt,omitempty"`
	Reasons  map[string]placement.Reason `json:"reasons,omitempty"`
}

// everyWorker stands for all workers in a task's reasons, where the reason
// lies with the task or its team.
const everyWorker = "*"

var phaseNames = map[taskPhase]string{waiting: "waiting", placed: "starting", live: "running", over: "ended"}

// Tasks lists the domain's tasks by name.
func (c *Core) Tasks() []TaskInfo {
	list := make([]TaskInfo, 0, len(c.tasks))
	explained := map[string]map[string]placement.Reason{}
	for _, t := range c.tasks {
		info := TaskInfo{Name: t.name, Workload: t.workload, State: phaseNames[t.state], Worker: t.worker, Attempt: t.attempt}
		if t.state == waiting && t.wanted {
			info.Reasons = c.whyWaiting(t, explained)
		}
		list = append(list, info)
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
	if g.blocked != "" && !g.awaitsRoom() {
		return map[string]placement.Reason{everyWorker: g.blocked}
	}
	if _, ok := explained[t.workload]; !ok {
		explained[t.workload] = c.cell.Explain(c.request(g, t)).Reasons
	}
	return explained[t.workload]
}
