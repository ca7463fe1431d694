package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/language"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

func (s *Service) query(ctx context.Context, script *language.Script, st *language.Statement, forwarded bool) (Answer, language.Faults, error) {
	var a Answer
	var err error
	var faults language.Faults
	switch {
	case st.OfNodes():
		faults = language.Faults{ofNodes(script, st)}
	case st.List != nil:
		a, err = s.answerList(ctx, st, forwarded)
	case st.History != nil:
		a, faults, err = s.answerHistory(ctx, script, st.History)
	default:
		a, faults, err = s.answerExplain(ctx, script, st, forwarded)
	}
	if len(faults) > 0 {
		s.node.Count("refusal", "statement-malformed")
	}
	return a, faults, err
}

// historyLimit is the number of changes shown when the statement names none.
const historyLimit = 20

func (s *Service) answerHistory(ctx context.Context, script *language.Script, h *language.History) (Answer, language.Faults, error) {
	var changes []configuration.Change
	var hosts []string
	var domains []configuration.Entry[configuration.Domain]
	err := s.onCore(ctx, func(c *scheduler.Core) {
		changes = pickChanges(c.Catalog(), h)
		domains = domainEntries(c.Catalog())
	})
	if err != nil {
		return Answer{}, nil, err
	}
	if len(changes) == 0 && h.Object != nil {
		return Answer{}, language.Faults{script.Fault(h.Object.Name, "no change of it is known here")}, nil
	}
	for _, e := range domains {
		hosts = append(hosts, e.Value.Entries...)
	}
	positions := map[string]int64{}
	for _, r := range s.members(ctx, "", askTime) {
		positions[r.Member.Host] = r.Member.Position
		if !slices.Contains(hosts, r.Member.Host) {
			hosts = append(hosts, r.Member.Host)
		}
	}
	slices.Sort(hosts)
	return Answer{Table: historyTable(changes, hosts, positions)}, nil, nil
}

// pickChanges returns the newest changes that h asks for, oldest first.
func pickChanges(cat *configuration.Catalog, h *language.History) []configuration.Change {
	var list []configuration.Change
	for _, c := range cat.History {
		if h.Object == nil || c.Name == h.Object.Name.Text && c.Kind == kindOf(h.Object.Kind.Text) {
			list = append(list, c)
		}
	}
	most := language.Max(h.Limit, historyLimit)
	return list[max(0, len(list)-most):]
}

// kindOf returns the kind of declared object that a word stands for.
func kindOf(word string) configuration.Kind {
	switch word {
	case "domain", "team", "host":
		return configuration.Kind(word)
	}
	return configuration.KindWorkload
}

// historyTable tells for each change on which hosts it is in force.
func historyTable(changes []configuration.Change, hosts []string, positions map[string]int64) *Table {
	t := &Table{Columns: []string{"offset", "actor", "kind", "name", "change", "in-force", "not-known-of"}}
	for _, c := range changes {
		var without []string
		for _, h := range hosts {
			if p, ok := positions[h]; !ok || p <= c.Offset {
				without = append(without, h)
			}
		}
		t.add(num(c.Offset), str(c.Actor), str(c.Kind), str(c.Name), str(c.Detail),
			str(fmt.Sprintf("%d of %d hosts", len(hosts)-len(without), len(hosts))), str(strings.Join(without, " ")))
	}
	return t
}

func (s *Service) answerExplain(ctx context.Context, script *language.Script, st *language.Statement, forwarded bool) (Answer, language.Faults, error) {
	o := st.Explain
	switch o.Kind.Text {
	case "task", "worker":
		return s.explainPlaced(ctx, script, st, forwarded)
	case "domain":
		return s.explainDomain(ctx, script, o)
	}
	if forwarded {
		return s.declaredHere(ctx, o)
	}
	return s.explainDeclared(ctx, script, st)
}

// listed returns the list that a declared object stands in, and the column of
// the list of tasks that names it.
func listed(o *language.Object) (list, column string) {
	if o.Kind.Text == "team" {
		return "teams", "team"
	}
	return "workloads", "workload"
}

// declaredHere tells another scheduler of the tasks of a workload or team in
// this domain.
func (s *Service) declaredHere(ctx context.Context, o *language.Object) (Answer, language.Faults, error) {
	var a Answer
	_, column := listed(o)
	err := s.onCore(ctx, func(c *scheduler.Core) {
		tasks := s.local(c, "tasks")
		i := tasks.index(column)
		tasks.Rows = slices.DeleteFunc(tasks.Rows, func(row []Cell) bool { return row[i].Text != o.Name.Text })
		a.Table = summary(tasks)
		if column == "team" {
			a.Facts = []Fact{{"holds in " + s.node.Member().Domain, c.TeamUsage(o.Name.Text).String()}}
		}
	})
	return a, nil, err
}

// explainPlaced explains a task or worker, which its domain's leader knows.
func (s *Service) explainPlaced(ctx context.Context, script *language.Script, st *language.Statement, forwarded bool) (Answer, language.Faults, error) {
	o := st.Explain
	var e *scheduler.Explanation
	var domains []string
	err := s.onCore(ctx, func(c *scheduler.Core) {
		domains = domainNames(domainEntries(c.Catalog()))
		if !c.IsLeader() {
			return
		}
		if e = c.ExplainTask(o.Name.Text); o.Kind.Text == "worker" {
			e = c.ExplainWorker(o.Name.Text)
		}
	})
	switch {
	case err != nil:
		return Answer{}, nil, err
	case e != nil:
		return explained(e), nil, nil
	case forwarded:
		return Answer{}, nil, nil
	}
	all := s.members(ctx, st.Text+";", askTime)
	for _, r := range leadersOf(all) {
		if len(r.Answers) == 1 && len(r.Answers[0].Facts) > 0 {
			return r.Answers[0], nil, nil
		}
	}
	out := missing(domains, all)
	var known []string
	err = s.onCore(ctx, func(c *scheduler.Core) { known = knownNames(c.Catalog(), o.Kind.Text) })
	if err != nil {
		return Answer{}, nil, err
	}
	if slices.Contains(known, o.Name.Text) || o.Kind.Text == "task" && len(out) > 0 {
		return Answer{Missing: out}, nil, nil
	}
	return Answer{}, language.Faults{script.Unknown(o.Name, o.Kind.Text, known)}, nil
}

// knownNames returns the names of all tasks, or of all workers.
func knownNames(cat *configuration.Catalog, kind string) []string {
	var names []string
	for _, e := range domainEntries(cat) {
		if kind == "worker" {
			names = append(names, e.Value.Workers...)
			continue
		}
		for _, w := range cat.WorkloadNames() {
			names = append(names, configuration.Tasks(cat.Workloads[w], e.Value.Name)...)
		}
	}
	return names
}

func explained(e *scheduler.Explanation) Answer {
	a := Answer{Changes: e.Changes}
	for _, f := range e.Facts {
		a.Facts = append(a.Facts, Fact(f))
	}
	if len(e.Nodes) > 0 {
		a.Table = &Table{Columns: []string{"worker", "refused-for", "free-cpu", "free-memory", "free-accelerators"}}
		for _, n := range e.Nodes {
			a.Table.add(str(n.Worker), str(n.Reason), num(float64(n.Free.MilliCPU)/1000), num(n.Free.MemoryMiB), num(n.Free.Accelerators))
		}
	}
	return a
}

// fact writes a column as a property.
func fact(column string, c Cell) Fact {
	if c.Numeric && strings.HasSuffix(column, "memory") {
		return Fact{column, language.FormatMemory(int64(c.Number))}
	}
	return Fact{column, c.String()}
}

func (s *Service) explainDomain(ctx context.Context, script *language.Script, o *language.Object) (Answer, language.Faults, error) {
	var domains []configuration.Entry[configuration.Domain]
	if err := s.onCore(ctx, func(c *scheduler.Core) { domains = domainEntries(c.Catalog()) }); err != nil {
		return Answer{}, nil, err
	}
	names := domainNames(domains)
	i := slices.Index(names, o.Name.Text)
	if i < 0 {
		return Answer{}, language.Faults{script.Unknown(o.Name, "failure domain", names)}, nil
	}
	all := s.members(ctx, "", askTime)
	a := Answer{Missing: missing(names[i:i+1], all)}
	row := domainsTable(domains[i:i+1], all)
	for k, c := range row.Columns {
		a.Facts = append(a.Facts, fact(c, row.Rows[0][k]))
	}
	if len(a.Missing) > 0 {
		a.Changes = append(a.Changes, "a scheduler of the domain must be in reach and own more than three fifths of its workers; its running tasks go on meanwhile")
	}
	return a, nil, nil
}

// explainDeclared explains a workload or team by its tasks in all domains.
func (s *Service) explainDeclared(ctx context.Context, script *language.Script, st *language.Statement) (Answer, language.Faults, error) {
	o := st.Explain
	list, _ := listed(o)
	var table *Table
	var domains []string
	err := s.onCore(ctx, func(c *scheduler.Core) {
		table, _ = declared(c.Catalog(), list)
		domains = domainNames(domainEntries(c.Catalog()))
	})
	if err != nil {
		return Answer{}, nil, err
	}
	table.order(nil)
	var names []string
	var a Answer
	for _, row := range table.Rows {
		names = append(names, row[0].Text)
		if kind := kinds[o.Kind.Text]; row[0].Text == o.Name.Text && kind != "" && row[1].Text != string(kind) {
			return Answer{}, language.Faults{script.Fault(o.Name, "it is declared as %s, not as %s", row[1].Text, kind)}, nil
		}
		for k, c := range table.Columns {
			if row[0].Text == o.Name.Text {
				a.Facts = append(a.Facts, fact(c, row[k]))
			}
		}
	}
	if a.Facts == nil {
		return Answer{}, language.Faults{script.Unknown(o.Name, o.Kind.Text, names)}, nil
	}
	all := s.members(ctx, st.Text+";", askTime)
	a.Missing = missing(domains, all)
	a.Table = summary(newTable("tasks"))
	for _, r := range leadersOf(all) {
		if len(r.Answers) == 1 && r.Answers[0].Table != nil {
			a.Facts = append(a.Facts, r.Answers[0].Facts...)
			a.Table.Rows = append(a.Table.Rows, r.Answers[0].Table.Rows...)
		}
	}
	a.Table.order(nil)
	return a, nil, nil
}

// summary counts tasks by domain, state and reason.
func summary(tasks *Table) *Table {
	counts := map[[3]string]int{}
	domain, state, reason := tasks.index("domain"), tasks.index("state"), tasks.index("reason")
	for _, row := range tasks.Rows {
		counts[[3]string{row[domain].Text, row[state].Text, row[reason].Text}]++
	}
	t := &Table{Columns: []string{"domain", "state", "reason", "tasks"}}
	keys := slices.SortedFunc(maps.Keys(counts), func(a, b [3]string) int { return slices.Compare(a[:], b[:]) })
	for _, k := range keys {
		t.add(str(k[0]), str(k[1]), str(k[2]), num(counts[k]))
	}
	return t
}

// ofNodes is the fault of a statement that a scheduler can't carry out.
func ofNodes(script *language.Script, st *language.Statement) language.Fault {
	return script.Fault(&language.Word{Pos: st.Pos}, "this is asked of nodes: give --node-url")
}
