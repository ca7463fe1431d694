package operator

import (
	"fmt"
	"maps"
	"slices"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/language"
)

// Action is what a plan does to an object.
type Action string

// The actions.
const (
	Add    Action = "add"
	Change Action = "change"
	Drop   Action = "remove"
	Keep   Action = "keep"
)

// Planned is one object that a script touches.
type Planned struct {
	Kind   configuration.Kind `json:"kind"`
	Name   string             `json:"name"`
	Action Action             `json:"action"`
	Detail string             `json:"detail,omitempty"`
	// Version is the object's version before the change.
	Version int64 `json:"version"`
}

// object names a declared object.
type object struct {
	kind configuration.Kind
	name string
}

// plan works out what a script changes in a catalog. It runs on the goroutine
// that owns the catalog and doesn't change it; its results may be read elsewhere.
type plan struct {
	catalog *configuration.Catalog
	next    int64
	script  *language.Script
	req     Request
	// rooms are those of the domains whose leader answered.
	rooms map[string]*Room

	// Objects as the statements so far leave them.
	domains   overlay[configuration.Domain]
	teams     overlay[configuration.Team]
	workloads overlay[configuration.Workload]
	drained   overlay[configuration.Drain]
	// relied holds the objects whose version in force the record expects.
	relied map[object]bool

	faults   language.Faults
	record   configuration.Record
	planned  []Planned
	conflict *configuration.Conflict
	// ahead is set when the author saw a version that isn't known here yet.
	ahead  bool
	reason string
}

// overlay holds changes over a map of entries; nil marks an object as gone.
type overlay[T any] struct {
	base    map[string]configuration.Entry[T]
	changed map[string]*T
	// sorted caches the names; nil when they may have changed.
	sorted []string
}

func newOverlay[T any](base map[string]configuration.Entry[T]) overlay[T] {
	return overlay[T]{base: base, changed: map[string]*T{}}
}

func (o *overlay[T]) get(name string) (T, bool) {
	if v, ok := o.changed[name]; ok {
		if v == nil {
			var none T
			return none, false
		}
		return *v, true
	}
	e, ok := o.base[name]
	return e.Value, ok
}

func (o *overlay[T]) put(name string, v T) { o.changed[name], o.sorted = &v, nil }

func (o *overlay[T]) drop(name string) { o.changed[name], o.sorted = nil, nil }

// names returns the names of all objects in order. Callers don't change the list.
func (o *overlay[T]) names() []string {
	if o.sorted != nil {
		return o.sorted
	}
	all := map[string]bool{}
	for n := range o.base {
		all[n] = true
	}
	for n, v := range o.changed {
		all[n] = v != nil
	}
	maps.DeleteFunc(all, func(_ string, there bool) bool { return !there })
	o.sorted = slices.Sorted(maps.Keys(all))
	return o.sorted
}

func newPlan(c *configuration.Catalog, script *language.Script, req Request, rooms map[string]*Room) *plan {
	return &plan{
		catalog: c, next: c.Next, script: script, req: req, rooms: rooms,
		domains: newOverlay(c.Domains), teams: newOverlay(c.Teams), workloads: newOverlay(c.Workloads), drained: newOverlay(c.Drained),
		relied: map[object]bool{},
		record: configuration.Record{ID: req.ChangeID, Actor: req.Actor},
	}
}

func (p *plan) run() {
	for _, st := range p.script.Statements {
		if len(p.faults) >= language.MaxFaults {
			return
		}
		p.statement(st)
	}
}

func (p *plan) statement(st *language.Statement) {
	switch {
	case st.OfNodes():
		p.faults = append(p.faults, ofNodes(p.script, st))
	case st.Declare != nil && st.Declare.Domain != nil:
		p.declareDomain(st, st.Declare.Domain)
	case st.Declare != nil && st.Declare.Team != nil:
		p.putTeam(st, st.Declare.Team.Value())
	case st.Declare != nil:
		p.declareWorkload(st, st.Declare.Workload)
	case st.Set != nil:
		p.set(st)
	case st.Cancel != nil:
		p.cancel(st)
	case st.Remove != nil:
		p.remove(st)
	}
	for _, w := range st.Drain {
		p.drain(st, w, false)
	}
	for _, w := range st.Return {
		p.drain(st, w, true)
	}
}

// touch notes what a statement does to an object, and which version its author saw.
func (p *plan) touch(st *language.Statement, kind configuration.Kind, name string, action Action, detail string) {
	version, _ := p.catalog.Version(kind, name)
	p.planned = append(p.planned, Planned{kind, name, action, detail, version})
	want, given := st.Expected()
	if !given && p.req.IfVersion != nil {
		want, given = *p.req.IfVersion, true
	}
	if !given {
		p.rely(kind, name)
		return
	}
	p.record.Expect = append(p.record.Expect, configuration.Expectation{Kind: kind, Name: name, Version: want})
	if want == version || p.conflict != nil {
		return
	}
	if want >= p.next {
		p.ahead = true
		p.reason = fmt.Sprintf("%s %s: version %d is not known here yet; this host has applied the log up to offset %d", kind, name, want, p.next-1)
		return
	}
	winner := p.catalog.LastChange(kind, name)
	p.conflict = &winner
	p.reason = fmt.Sprintf("%s %s changed at offset %d", kind, name, winner.Offset)
}

// rely notes that the record rests on an object as it is in force here.
func (p *plan) rely(kind configuration.Kind, name string) {
	if name == "" || p.relied[object{kind, name}] {
		return
	}
	p.relied[object{kind, name}] = true
	version, _ := p.catalog.Version(kind, name)
	p.record.Expect = append(p.record.Expect, configuration.Expectation{Kind: kind, Name: name, Version: version})
}

// do adds an operation to the record.
func (p *plan) do(op configuration.Op) { p.record.Ops = append(p.record.Ops, op) }

// action tells whether an object comes, changes or stays as it is.
func action(there bool, detail string) Action {
	switch {
	case !there:
		return Add
	case detail == "":
		return Keep
	}
	return Change
}

func (p *plan) putTeam(st *language.Statement, v configuration.Team) {
	old, there := p.teams.get(v.Name)
	detail := configuration.DescribeTeam(old, v)
	act := action(there, detail)
	p.touch(st, configuration.KindTeam, v.Name, act, detail)
	if act != Keep {
		p.teams.put(v.Name, v)
		p.do(configuration.Op{Team: &v})
	}
}

func (p *plan) cancel(st *language.Statement) {
	names := p.pick(st.Cancel)
	var gone []string
	for _, n := range names {
		if _, there := p.workloads.get(n); !there {
			continue
		}
		p.workloads.drop(n)
		p.touch(st, configuration.KindWorkload, n, Drop, "cancelled")
		gone = append(gone, n)
	}
	if len(gone) > 0 {
		p.do(configuration.Op{Cancel: &configuration.Cancel{Workloads: gone}})
	}
}

func (p *plan) remove(st *language.Statement) {
	w := st.Remove.Name
	kind := configuration.Kind(st.Remove.Kind.Text)
	known, there := p.teams.names(), false
	if kind == configuration.KindDomain {
		known = p.domains.names()
	}
	there = slices.Contains(known, w.Text)
	if !there {
		p.faults = append(p.faults, p.script.Unknown(w, string(kind), known))
		return
	}
	for _, name := range p.workloads.names() {
		v, _ := p.workloads.get(name)
		if kind == configuration.KindTeam && v.Team == w.Text || kind == configuration.KindDomain && homeIn(v, w.Text) {
			p.fault(w, "workload %s still belongs to it", name)
			return
		}
	}
	if kind == configuration.KindTeam {
		p.teams.drop(w.Text)
	} else {
		p.domains.drop(w.Text)
	}
	p.touch(st, kind, w.Text, Drop, "removed")
	p.do(configuration.Op{Remove: &configuration.Remove{Kind: kind, Name: w.Text}})
}

func homeIn(w configuration.Workload, domain string) bool {
	return slices.ContainsFunc(w.Homes, func(h configuration.Home) bool { return h.Domain == domain })
}

func (p *plan) drain(st *language.Statement, w *language.Word, back bool) {
	_, drained := p.drained.get(w.Text)
	if known := p.hosts(); !slices.Contains(known, w.Text) && !drained {
		p.faults = append(p.faults, p.script.Unknown(w, "host", known))
		return
	}
	act, detail := Change, map[bool]string{true: "returned", false: "drained"}[back]
	if drained != back {
		act, detail = Keep, ""
	}
	p.touch(st, configuration.KindHost, w.Text, act, detail)
	if act == Keep {
		return
	}
	v := configuration.Drain{Host: w.Text, Return: back}
	if back {
		p.drained.drop(w.Text)
	} else {
		p.drained.put(w.Text, v)
	}
	p.do(configuration.Op{Drain: &v})
}

// hosts returns the workers and entry hosts of all domains.
func (p *plan) hosts() []string {
	var all []string
	for _, name := range p.domains.names() {
		d, _ := p.domains.get(name)
		all = append(append(all, d.Workers...), d.Entries...)
	}
	return all
}
