package language

import "slices"

// Column is a column of a list.
type Column struct {
	Name string
	// Numeric columns compare by amount.
	Numeric bool
}

func text(names ...string) []Column { return columns(false, names) }

func numbers(names ...string) []Column { return columns(true, names) }

func columns(numeric bool, names []string) []Column {
	var list []Column
	for _, n := range names {
		list = append(list, Column{n, numeric})
	}
	return list
}

func join(lists ...[]Column) []Column {
	var all []Column
	for _, l := range lists {
		all = append(all, l...)
	}
	return all
}

var workloadColumns = join(text("name", "kind", "team"), numbers("count", "ended", "cpu", "memory", "accelerators"),
	text("policy", "urgency", "homes"), numbers("version"), text("actor"))

// lists holds the columns of every list.
var lists = map[string][]Column{
	"tasks":     text("name", "workload", "kind", "team", "domain", "state", "worker", "policy", "urgency", "reason"),
	"workloads": workloadColumns,
	"services":  workloadColumns,
	"batch":     workloadColumns,
	"gangs":     workloadColumns,
	"workers": join(text("name", "domain", "rack", "state"), numbers("tasks", "cpu", "free-cpu", "memory", "free-memory",
		"accelerators", "free-accelerators")),
	"teams": join(text("name"), numbers("cpu", "memory", "accelerators", "weight", "workloads", "version"), text("actor")),
	"domains": join(text("name", "region"), numbers("workers", "entries"), text("leader"),
		numbers("position", "free-cpu", "free-memory", "free-accelerators", "version")),
	"hosts":   join(text("name", "domain", "state", "leader"), numbers("position")),
	"drained": join(text("host"), numbers("version"), text("actor")),
	// What follows is asked of nodes.
	"jobs": join(text("job", "queue", "state"), numbers("steps", "tasks", "occurrences", "finished"), text("accepted"), numbers("offset")),
	"steps of": join(numbers("occurrence", "step"), text("kind"), numbers("tasks", "done", "starting", "running", "stopping", "waiting"),
		text("waited", "reason", "detail", "workers")),
	"workers of dispatcher": join(text("name", "pool", "rack", "state"), numbers("starting", "running", "stopping", "cpu", "free-cpu", "memory",
		"free-memory", "accelerators", "free-accelerators", "heard-ms")),
	"members": join(text("node", "address", "state"), numbers("token")),
}

// listNames are the names of all lists in order.
var listNames = []string{"tasks", "workloads", "services", "batch", "gangs", "workers", "teams", "domains", "hosts", "drained", "jobs", "steps", "members"}

// Columns returns the columns of the named list.
func Columns(list string) []Column { return lists[list] }

// columnNames returns the names of a list's columns.
func columnNames(list string) []string {
	var names []string
	for _, c := range lists[list] {
		names = append(names, c.Name)
	}
	return names
}

// ListNames returns the names of all lists.
func ListNames() []string { return slices.Clone(listNames) }

// Keywords returns the words of the language.
func Keywords() []string { return slices.Clone(keywords) }
