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

var phaseNames = map[taskPhase]string{waiting: "waiting", placed: "starting", live: "running", over: "ended"}

// Tasks lists the domain's tasks by name.
func (c *Core) Tasks() []TaskInfo {
	list := make([]TaskInfo, 0, len(c.tasks))
	for _, t := range c.tasks {
		info := TaskInfo{Name: t.name, Workload: t.workload, State: phaseNames[t.state], Worker: t.worker, Attempt: t.attempt}
		if t.why != nil && t.state == waiting {
			info.Reasons = t.why.Reasons
		}
		list = append(list, info)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
