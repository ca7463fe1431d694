package configuration

import (
	"slices"
	"strconv"
	"strings"
)

// Finished names a workload whose tasks have all ended.
type Finished struct {
	Name    string `json:"name"`
	Created int64  `json:"created"`
}

// finishedKept bounds the finished workloads that stay declared. The oldest
// leave the catalog when newer ones finish.
const finishedKept = 2000

// end takes note of the end of one task of finite work.
func (c *Catalog) end(e Ended) {
	name := WorkloadOf(e.Task)
	w, ok := c.Workloads[name]
	if !ok || w.Value.Kind == Service || w.Finished || !isTask(w, e.Task) {
		return
	}
	if c.Ended[name] == nil {
		c.Ended[name] = map[string]Ended{}
	}
	c.Ended[name][e.Task] = e
	if len(c.Ended[name]) == w.Value.Count {
		c.finish(name, w)
	}
}

// isTask reports whether the finite workload has a task of the given name.
func isTask(e Entry[Workload], task string) bool {
	parts := strings.Split(task, "/")
	if len(parts) != 3 || parts[1] != strconv.FormatInt(e.Created, 10) {
		return false
	}
	i, err := strconv.Atoi(parts[2])
	return err == nil && i >= 0 && i < e.Value.Count && strconv.Itoa(i) == parts[2]
}

// finish keeps of a workload only that it ended.
func (c *Catalog) finish(name string, w Entry[Workload]) {
	w.Finished = true
	c.Workloads[name] = w
	delete(c.Ended, name)
	c.Finished = append(c.Finished, Finished{name, w.Created})
	for len(c.Finished) > finishedKept {
		oldest := c.Finished[0]
		c.Finished = slices.Clone(c.Finished[1:])
		if c.Workloads[oldest.Name].Created == oldest.Created {
			c.drop(oldest.Name)
		}
	}
}
