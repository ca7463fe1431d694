package operator

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/language"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// members asks every scheduler for an answer to text, this one included, and
// waits for others up to the given time.
func (s *Service) members(ctx context.Context, text string, wait time.Duration) []Result {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	own, err := s.Execute(ctx, Request{Text: text, Forwarded: true})
	all := s.node.Ask(ctx, text)
	if err == nil {
		all = append(all, own)
	}
	slices.SortStableFunc(all, func(a, b Result) int { return compareText(a.Member.Host, b.Member.Host) })
	return all
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// leadersOf keeps the answers of the schedulers that hold their domain's term,
// one a domain.
func leadersOf(all []Result) []Result {
	var list []Result
	for _, r := range all {
		same := func(o Result) bool { return o.Member.Domain == r.Member.Domain }
		if r.Member.Leader && len(r.Faults) == 0 && !slices.ContainsFunc(list, same) {
			list = append(list, r)
		}
	}
	return list
}

// missing names the declared domains that no holder of the term answered for.
func missing(domains []string, all []Result) []string {
	var list []string
	for _, d := range domains {
		reached, led := false, false
		for _, r := range all {
			if r.Member.Domain == d {
				reached, led = true, led || r.Member.Leader
			}
		}
		switch {
		case !reached:
			list = append(list, fmt.Sprintf("domain %s: no scheduler of it answered", d))
		case !led:
			list = append(list, fmt.Sprintf("domain %s: no scheduler holds its term", d))
		}
	}
	return list
}

// merge puts the rows of all domains' answers to one list together.
func merge(list string, all []Result) *Table {
	t := newTable(list)
	for _, r := range leadersOf(all) {
		if len(r.Answers) == 1 && r.Answers[0].Table != nil && slices.Equal(r.Answers[0].Table.Columns, t.Columns) {
			t.Rows = append(t.Rows, r.Answers[0].Table.Rows...)
		}
	}
	return t
}

// local answers a list about this scheduler's domain alone.
func (s *Service) local(c *scheduler.Core, list string) *Table {
	t := newTable(list)
	m := s.node.Member()
	if !c.IsLeader() {
		return t
	}
	switch list {
	case "tasks":
		for _, i := range c.Tasks() {
			t.add(taskRow(c.Catalog(), m.Domain, i)...)
		}
	case "workers":
		for _, w := range c.Workers() {
			t.add(workerRow(m.Domain, w)...)
		}
	}
	return t
}

func taskRow(cat *configuration.Catalog, domain string, i scheduler.TaskInfo) []Cell {
	w := cat.Workloads[i.Workload].Value
	return []Cell{
		str(i.Name), str(i.Workload), str(w.Kind), str(w.Team), str(domain), str(i.State), str(i.Worker),
		str(w.Policy), str(w.Urgency), str(i.Reason),
	}
}

func workerRow(domain string, w scheduler.WorkerInfo) []Cell {
	return []Cell{
		str(w.Name), str(domain), str(w.Rack), str(w.State), num(w.Tasks),
		num(float64(w.Capacity.MilliCPU) / 1000), num(float64(w.Free.MilliCPU) / 1000),
		num(w.Capacity.MemoryMiB), num(w.Free.MemoryMiB), num(w.Capacity.Accelerators), num(w.Free.Accelerators),
	}
}

func workloadRow(cat *configuration.Catalog, e configuration.Entry[configuration.Workload]) []Cell {
	w := e.Value
	return []Cell{
		str(w.Name), str(w.Kind), str(w.Team), num(w.Count), num(endedTasks(cat, e)),
		num(float64(w.Size.MilliCPU) / 1000), num(w.Size.MemoryMiB), num(w.Size.Accelerators),
		str(w.Policy), str(w.Urgency), str(configuration.FormatHomes(w.Homes)), num(e.Version), str(e.Actor),
	}
}

// endedTasks counts the tasks of finite work that have ended.
func endedTasks(cat *configuration.Catalog, e configuration.Entry[configuration.Workload]) int {
	if e.Finished {
		return e.Value.Count
	}
	return len(cat.Ended[e.Value.Name])
}

// declared answers a list from the catalog; false for other lists.
func declared(cat *configuration.Catalog, list string) (*Table, bool) {
	t := newTable(list)
	switch list {
	case "workloads", "services", "batch", "gangs":
		for _, name := range cat.WorkloadNames() {
			if e := cat.Workloads[name]; list == "workloads" || e.Value.Kind == kinds[list] {
				t.add(workloadRow(cat, e)...)
			}
		}
	case "teams":
		for name, e := range cat.Teams {
			n := 0
			for _, w := range cat.Workloads {
				if w.Value.Team == name {
					n++
				}
			}
			q := e.Value.Quota
			t.add(str(name), num(float64(q.MilliCPU)/1000), num(q.MemoryMiB), num(q.Accelerators), num(e.Value.Weight), num(n), num(e.Version), str(e.Actor))
		}
	case "drained":
		for name, e := range cat.Drained {
			t.add(str(name), num(e.Version), str(e.Actor))
		}
	default:
		return nil, false
	}
	return t, true
}

// overLists are the lists that every domain answers for itself.
var overLists = map[string]bool{"tasks": true, "workers": true}

// domainsTable lists the declared domains with what their leaders tell.
func domainsTable(domains []configuration.Entry[configuration.Domain], all []Result) *Table {
	t := newTable("domains")
	leaders := leadersOf(all)
	for _, e := range domains {
		d := e.Value
		row := []Cell{str(d.Name), str(d.Region), num(len(d.Workers)), num(len(d.Entries)), str(""), str(""), str(""), str(""), str(""), num(e.Version)}
		for _, r := range leaders {
			if r.Member.Domain != d.Name || r.Room == nil {
				continue
			}
			f := r.Room.Free
			copy(row[4:], []Cell{str(r.Member.Host), num(r.Member.Position), num(float64(f.MilliCPU) / 1000), num(f.MemoryMiB), num(f.Accelerators)})
		}
		t.add(row...)
	}
	return t
}

// hostsTable lists the entry hosts of all domains, in reach or not.
func hostsTable(domains []configuration.Entry[configuration.Domain], drained map[string]bool, all []Result) *Table {
	t := newTable("hosts")
	seen := map[string]bool{}
	for _, r := range all {
		m := r.Member
		seen[m.Host] = true
		t.add(str(m.Host), str(m.Domain), str(hostState(drained[m.Host], true)), str(map[bool]string{true: "yes", false: "no"}[m.Leader]), num(m.Position))
	}
	for _, e := range domains {
		for _, h := range e.Value.Entries {
			if !seen[h] {
				t.add(str(h), str(e.Value.Name), str(hostState(drained[h], false)), str(""), str(""))
			}
		}
	}
	return t
}

func hostState(drained, reached bool) string {
	switch {
	case !reached:
		return "out-of-reach"
	case drained:
		return "draining"
	}
	return "in-reach"
}

// answerList answers a list for all domains in reach.
func (s *Service) answerList(ctx context.Context, st *language.Statement, forwarded bool) (Answer, error) {
	l := st.List
	list := l.What.Text
	var table *Table
	var domains []configuration.Entry[configuration.Domain]
	drained := map[string]bool{}
	err := s.onCore(ctx, func(c *scheduler.Core) {
		table, _ = declared(c.Catalog(), list)
		if forwarded && overLists[list] {
			table = s.local(c, list)
		}
		domains = domainEntries(c.Catalog())
		for h := range c.Catalog().Drained {
			drained[h] = true
		}
	})
	if err != nil {
		return Answer{}, err
	}
	a := Answer{}
	if table == nil {
		table, a.Missing = s.everywhere(ctx, st, domains, drained)
	}
	table.filter(l.Where)
	table.order(l.Order)
	table.limit(language.Max(l.Limit, maxRows))
	a.Table = table
	return a, nil
}

func domainEntries(cat *configuration.Catalog) []configuration.Entry[configuration.Domain] {
	var list []configuration.Entry[configuration.Domain]
	for _, e := range cat.Domains {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b configuration.Entry[configuration.Domain]) int {
		return compareText(a.Value.Name, b.Value.Name)
	})
	return list
}

func (s *Service) everywhere(ctx context.Context, st *language.Statement, domains []configuration.Entry[configuration.Domain], drained map[string]bool) (*Table, []string) {
	list := st.List.What.Text
	text := ""
	if overLists[list] {
		text = st.Text + ";"
	}
	all := s.members(ctx, text, askTime)
	out := missing(domainNames(domains), all)
	switch list {
	case "domains":
		return domainsTable(domains, all), out
	case "hosts":
		return hostsTable(domains, drained, all), out
	}
	return merge(list, all), out
}

func domainNames(domains []configuration.Entry[configuration.Domain]) []string {
	var names []string
	for _, e := range domains {
		names = append(names, e.Value.Name)
	}
	return names
}
