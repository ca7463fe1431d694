package operator

import (
	"slices"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/language"
)

func (p *plan) declareDomain(st *language.Statement, d *language.Domain) {
	v := d.Value()
	for _, name := range p.domains.names() {
		other, _ := p.domains.get(name)
		for _, host := range append(slices.Clone(v.Workers), v.Entries...) {
			if name != v.Name && (slices.Contains(other.Workers, host) || slices.Contains(other.Entries, host)) {
				p.fault(d.Name, "host %s belongs to domain %s", host, name)
				return
			}
		}
	}
	old, there := p.domains.get(v.Name)
	detail := configuration.DescribeDomain(old, v)
	act := action(there, detail)
	p.touch(st, configuration.KindDomain, v.Name, act, detail)
	if act != Keep {
		p.domains.put(v.Name, v)
		p.do(configuration.Op{Domain: &v})
	}
}

func (p *plan) declareWorkload(st *language.Statement, w *language.Workload) {
	v := w.Value()
	old, there := p.workloads.get(v.Name)
	if there && old.Kind != v.Kind {
		p.fault(w.Name, "it is declared as %s; cancel it first", old.Kind)
		return
	}
	p.checkTeam(language.OptionWord(w.Options, "team"))
	for _, h := range w.Homes {
		if _, ok := p.domains.get(h.Domain.Text); !ok {
			p.faults = append(p.faults, p.script.Unknown(h.Domain, "failure domain", p.domains.names()))
		}
	}
	switch {
	case len(w.Homes) > 0:
	case there && (old.Count == v.Count || old.Kind != configuration.Service):
		v.Homes = old.Homes
	default:
		v.Homes = p.divide(v, p.domains.names())
	}
	p.putWorkload(st, w.Name, v)
}

func (p *plan) checkTeam(w *language.Word) {
	if w == nil {
		return
	}
	if _, ok := p.teams.get(w.Text); !ok {
		p.faults = append(p.faults, p.script.Unknown(w, "team", p.teams.names()))
	}
}

// putWorkload changes a workload; faults point at w.
func (p *plan) putWorkload(st *language.Statement, w *language.Word, v configuration.Workload) {
	old, there := p.workloads.get(v.Name)
	sum := 0
	for _, h := range v.Homes {
		sum += h.Count
	}
	switch {
	case len(p.domains.names()) == 0 && p.script.Doubtful("domain"):
		return
	case len(p.domains.names()) == 0:
		p.fault(w, "no failure domain is declared")
		return
	case there && v.Kind != configuration.Service && (old.Count != v.Count || !slices.Equal(old.Homes, v.Homes)):
		p.fault(w, "%s: the tasks of finite work keep their count and homes; cancel it and declare it anew", v.Name)
		return
	case sum != v.Count:
		p.fault(w, "no failure domain has a worker large enough for %s", v.Size)
		return
	}
	for _, h := range v.Homes {
		if room := p.rooms[h.Domain]; h.Count > 0 && !room.fits(v.Size) {
			p.fault(w, "%s: no worker of domain %s is large enough for %s", v.Name, h.Domain, v.Size)
			return
		}
	}
	detail := configuration.DescribeWorkload(old, v)
	act := action(there, detail)
	p.touch(st, configuration.KindWorkload, v.Name, act, detail)
	if act != Keep {
		p.rely(configuration.KindTeam, v.Team)
		p.workloads.put(v.Name, v)
		p.do(configuration.Op{Workload: &v})
	}
}

func (p *plan) set(st *language.Statement) {
	s := st.Set
	if s.For.Kind == "team" && s.Options[0].Key != "policy" && s.Options[0].Key != "urgency" {
		p.setTeams(st)
		return
	}
	p.checkTeam(language.OptionWord(s.Options, "team"))
	for _, name := range p.pick(s.For) {
		v, _ := p.workloads.get(name)
		count := v.Count
		language.ApplyWorkload(s.Options, &v)
		if v.Count != count && v.Kind == configuration.Service {
			v.Homes = p.divide(v, homeNames(v))
		}
		p.putWorkload(st, at(st, name), v)
	}
}

// at returns the word of a statement that names an object, or the first setting's.
func at(st *language.Statement, name string) *language.Word {
	for _, w := range st.Set.For.Names {
		if w.Text == name {
			return w
		}
	}
	return st.Set.Options[0].Value
}

func homeNames(w configuration.Workload) []string {
	var names []string
	for _, h := range w.Homes {
		names = append(names, h.Domain)
	}
	return names
}

func (p *plan) setTeams(st *language.Statement) {
	for _, w := range st.Set.For.Names {
		v, ok := p.teams.get(w.Text)
		if !ok {
			p.faults = append(p.faults, p.script.Unknown(w, "team", p.teams.names()))
			continue
		}
		language.ApplyTeam(st.Set.Options, &v)
		p.putTeam(st, v)
	}
}

// kinds maps the words of a target to the kind of workload; nothing for any.
var kinds = map[string]configuration.WorkloadKind{
	"service": configuration.Service, "services": configuration.Service, "batch": configuration.Batch,
	"gang": configuration.Gang, "gangs": configuration.Gang,
}

// pick returns the names of the workloads that a target stands for.
func (p *plan) pick(t *language.Target) []string {
	kind := kinds[t.Kind]
	if len(t.Where) > 0 {
		return p.where(kind, t.Where)
	}
	var names []string
	for _, w := range t.Names {
		if t.Kind == "team" {
			names = append(names, p.ofTeam(w)...)
			continue
		}
		v, ok := p.workloads.get(w.Text)
		switch {
		case !ok:
			p.faults = append(p.faults, p.script.Unknown(w, "workload", p.workloads.names()))
		case kind != "" && v.Kind != kind:
			p.fault(w, "it is declared as %s, not as %s", v.Kind, kind)
		default:
			names = append(names, w.Text)
		}
	}
	return names
}

func (p *plan) ofTeam(w *language.Word) []string {
	if _, ok := p.teams.get(w.Text); !ok {
		p.faults = append(p.faults, p.script.Unknown(w, "team", p.teams.names()))
		return nil
	}
	var names []string
	for _, n := range p.workloads.names() {
		if v, _ := p.workloads.get(n); v.Team == w.Text {
			names = append(names, n)
		}
	}
	return names
}

func (p *plan) where(kind configuration.WorkloadKind, where []*language.Condition) []string {
	t := newTable("workloads")
	for _, n := range p.workloads.names() {
		v, _ := p.workloads.get(n)
		if kind == "" || v.Kind == kind {
			e := p.catalog.Workloads[n]
			e.Value = v
			t.add(workloadRow(p.catalog, e)...)
		}
	}
	t.filter(where)
	names := make([]string, 0, len(t.Rows))
	for _, row := range t.Rows {
		names = append(names, row[0].Text)
	}
	return names
}
