package language

import "math"

// checker collects the faults of one statement.
type checker struct {
	script *Script
	faults Faults
}

func (c *checker) bad(w *Word, err error) {
	if err != nil {
		c.faults = append(c.faults, c.script.Fault(w, "%s", err.Error()))
	}
}

// check returns the faults of a statement that need no server to be found.
func (s *Script) check(st *Statement) Faults {
	c := &checker{script: s}
	switch {
	case st.Declare != nil:
		c.declare(st.Declare)
	case st.Set != nil:
		c.set(st.Set)
	case st.Cancel != nil:
		c.target(st.Cancel, "team")
	case st.Remove != nil:
		c.object(st.Remove, "domain", "team")
	case st.CancelJob != nil:
		c.bad(st.CancelJob, checkJobID(st.CancelJob.Text))
	case st.Show != nil:
		if st.Show.Text != "holder" {
			c.faults = append(c.faults, c.script.Unknown(st.Show, "object to show", []string{"holder"}))
		}
	case st.Explain != nil:
		c.object(st.Explain, "task", "service", "batch", "gang", "workload", "worker", "team", "domain", "job")
		if st.Explain.Kind.Text == "job" {
			c.bad(st.Explain.Name, checkJobID(st.Explain.Name.Text))
		}
	case st.List != nil:
		c.list(st.List)
	case st.History != nil:
		c.history(st.History)
	}
	for _, w := range append(st.Drain, st.Return...) {
		c.bad(w, checkName(w.Text))
	}
	c.version(st)
	return c.faults
}

func (c *checker) version(st *Statement) {
	if st.Absent && !st.Changes() {
		c.faults = append(c.faults, c.script.faultAt(st.Pos, "", "a query has no expected version"))
	}
	if st.OfNodes() && st.Changes() && (st.Absent || st.Version != nil) {
		c.faults = append(c.faults, c.script.faultAt(st.Pos, "", "jobs have no versions; the first job of an ID holds"))
	}
	if st.Version == nil {
		return
	}
	_, err := integer(st.Version.Text, 0, math.MaxInt64)
	c.bad(st.Version, err)
	if !st.Changes() {
		c.faults = append(c.faults, c.script.Fault(st.Version, "a query has no expected version"))
	}
}

func (c *checker) declare(d *Declare) {
	switch {
	case d.Domain != nil:
		c.domain(d.Domain)
	case d.Job != nil:
		c.job(d.Job)
	case d.Team != nil:
		c.bad(d.Team.Name, checkName(d.Team.Name.Text))
		c.options(d.Team.Options, teamOptions, "a team")
	default:
		c.workload(d.Workload)
	}
}

func (c *checker) domain(d *Domain) {
	c.bad(d.Name, checkName(d.Name.Text))
	c.bad(d.Region, checkName(d.Region.Text))
	c.names(d.Workers)
	c.names(d.Entries)
}

// names checks names and ranges of names, none of which may stand twice.
func (c *checker) names(words []*Word) {
	seen := map[string]bool{}
	for _, w := range words {
		list, err := expand(w.Text)
		c.bad(w, err)
		if c.script.names += len(list); c.script.names > maxNames {
			c.faults = append(c.faults, c.script.Fault(w, "a script names at most %d workers and entries", maxNames))
			return
		}
		for _, n := range list {
			if seen[n] {
				c.faults = append(c.faults, c.script.Fault(w, "%s stands twice", n))
				break
			}
			seen[n] = true
		}
	}
}

func (c *checker) workload(w *Workload) {
	c.bad(w.Name, checkName(w.Name.Text))
	c.options(w.Options, workloadOptions, "a workload")
	count, sized := int64(1), false
	for _, o := range w.Options {
		switch o.Key {
		case "count":
			count, _ = integer(o.Value.Text, 1, maxCount)
		case "run":
			if w.Kind == "service" {
				c.faults = append(c.faults, c.script.faultAt(o.Pos, o.Key, "a service has no run time"))
			}
		case "cpu", "memory", "accelerators":
			sized = true
		}
	}
	if !sized {
		c.faults = append(c.faults, c.script.Fault(w.Name, "a size is missing: cpu, memory or accelerators"))
	}
	if w.Kind == "gang" && len(w.Homes) > 1 {
		c.faults = append(c.faults, c.script.Fault(w.Homes[1].Domain, "the tasks of a gang start together, so they have one home"))
	}
	c.homes(w.Homes, count)
}

func (c *checker) homes(homes []*Home, count int64) {
	if len(homes) == 0 {
		return
	}
	sum := int64(0)
	seen := map[string]bool{}
	for _, h := range homes {
		n, err := integer(h.Count.Text, 0, maxCount)
		c.bad(h.Count, err)
		c.bad(h.Domain, checkName(h.Domain.Text))
		if seen[h.Domain.Text] {
			c.faults = append(c.faults, c.script.Fault(h.Domain, "the domain stands twice"))
		}
		seen[h.Domain.Text] = true
		sum += n
	}
	if sum != count && count > 0 {
		c.faults = append(c.faults, c.script.Fault(homes[0].Domain, "the homes hold %d of %d tasks", sum, count))
	}
}

var (
	teamOptions     = map[string]bool{"cpu": true, "memory": true, "accelerators": true, "weight": true}
	workloadOptions = map[string]bool{
		"team": true, "count": true, "cpu": true, "memory": true, "accelerators": true,
		"policy": true, "urgency": true, "run": true, "spread": true,
	}
)

func (c *checker) options(options []*Option, allowed map[string]bool, what string) {
	seen := map[string]bool{}
	for _, o := range options {
		if !allowed[o.Key] {
			c.faults = append(c.faults, c.script.faultAt(o.Pos, o.Key, what+" has no "+o.Key))
			continue
		}
		if seen[o.Key] {
			c.faults = append(c.faults, c.script.faultAt(o.Pos, o.Key, "stands twice"))
		}
		seen[o.Key] = true
		if _, err := o.parse(); err != nil {
			f := c.script.Fault(o.Value, "%s", err.Error())
			f.Suggestion = Nearest(o.Value.Text, choices[o.Key])
			c.faults = append(c.faults, f)
		}
	}
}

func (c *checker) set(s *Set) {
	if s.For.Kind == "team" && s.Options[0].Key != "policy" && s.Options[0].Key != "urgency" {
		c.options(s.Options, teamOptions, "a team")
	} else {
		c.options(s.Options, workloadOptions, "a workload")
	}
	c.target(s.For, "")
}

// target checks what a bulk change picks; the forbidden kind can't be picked.
func (c *checker) target(t *Target, forbidden string) {
	for _, n := range t.Names {
		c.bad(n, checkName(n.Text))
		if t.Kind == "team" && forbidden == "team" {
			c.faults = append(c.faults, c.script.Fault(n, "teams can't be cancelled; cancel workloads where team = %s", n.Text))
		}
	}
	if t.Kind == "" && len(t.Where) > 0 || t.Kind == "team" && len(t.Where) > 0 {
		c.faults = append(c.faults, c.script.Fault(t.Where[0].Column, "conditions need services, batch, gangs or workloads before where"))
	}
	c.conditions("workloads", t.Where)
}

func (c *checker) object(o *Object, kinds ...string) {
	for _, k := range kinds {
		if o.Kind.Text == k {
			return
		}
	}
	c.faults = append(c.faults, c.script.Unknown(o.Kind, "kind of object", kinds))
}

func (c *checker) history(h *History) {
	if h.Object != nil {
		c.object(h.Object, "domain", "team", "service", "batch", "gang", "workload", "host")
	}
	c.limit(h.Limit)
}

func (c *checker) list(l *List) {
	name := l.Name()
	switch {
	case l.Of != nil && lists[name] == nil:
		c.faults = append(c.faults, c.script.Fault(l.Of, "only steps (of a job) and workers (of dispatcher) are of something"))
		return
	case l.Of == nil && l.What.Text == "steps":
		c.faults = append(c.faults, c.script.Fault(l.What, "the job is missing: list steps of ID"))
		return
	case lists[name] == nil:
		c.faults = append(c.faults, c.script.Unknown(l.What, "list", listNames))
		return
	}
	if l.What.Text == "steps" {
		c.bad(l.Of, checkJobID(l.Of.Text))
	}
	c.conditions(name, l.Where)
	for _, o := range l.Order {
		c.column(name, o.Column)
	}
	c.limit(l.Limit)
}

func (c *checker) limit(w *Word) {
	if w != nil {
		_, err := integer(w.Text, 1, maxCount)
		c.bad(w, err)
	}
}

func (c *checker) column(list string, w *Word) *Column {
	for _, col := range lists[list] {
		if col.Name == w.Text {
			return &col
		}
	}
	c.faults = append(c.faults, c.script.Unknown(w, "column of "+list, columnNames(list)))
	return nil
}

func (c *checker) conditions(list string, where []*Condition) {
	for _, w := range where {
		if col := c.column(list, w.Column); col != nil && col.Numeric {
			_, err := Number(w.Value.Text)
			c.bad(w.Value, err)
		}
	}
}
