package configuration

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Entry is a declared object with the offset and author of its last change.
type Entry[T any] struct {
	Value   T     `json:"value"`
	Version int64 `json:"version"`
	// Created is the offset at which the object was declared anew.
	Created int64  `json:"created"`
	Actor   string `json:"actor"`
	// Finished is set on finite work whose tasks have all ended.
	Finished bool `json:"finished,omitempty"`
}

// Catalog is the state that the log's records add up to. It isn't safe for
// concurrent use; readers on other goroutines take a Freeze.
type Catalog struct {
	// Next is the offset of the first record not applied yet.
	Next      int64                       `json:"next"`
	Domains   map[string]Entry[Domain]    `json:"domains,omitempty"`
	Teams     map[string]Entry[Team]      `json:"teams,omitempty"`
	Workloads map[string]Entry[Workload]  `json:"workloads,omitempty"`
	Drained   map[string]Entry[Drain]     `json:"drained,omitempty"`
	Ended     map[string]map[string]Ended `json:"ended,omitempty"`
	// Finished lists finished workloads, oldest first.
	Finished []Finished `json:"finished,omitempty"`
	// Applied keeps the outcome of recent records with operations by ID. What
	// other records say has no further effect when it is said twice.
	Applied map[string]Outcome `json:"applied,omitempty"`
	// Recent lists the IDs in Applied, oldest first.
	Recent []string `json:"recent,omitempty"`
	// History holds the last changes of declared objects, oldest first.
	History []Change `json:"history,omitempty"`
	// repeat is set by tests to see what becomes of records appended twice.
	repeat bool
}

// Outcome tells what became of one record.
type Outcome struct {
	Offset   int64     `json:"offset"`
	Accepted bool      `json:"accepted"`
	Conflict *Conflict `json:"conflict,omitempty"`
	Reason   string    `json:"reason,omitempty"`
}

// Conflict names the change that a refused record lost to.
type Conflict struct {
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	Winner string `json:"winner"`
	Offset int64  `json:"offset"`
}

// recentOutcomes is the number of operators' changes whose outcomes a catalog
// keeps at least, and recentSlack by how many more it may have before the
// oldest are dropped.
const (
	recentOutcomes = 4096
	recentSlack    = 512
)

// NewCatalog returns the empty catalog.
func NewCatalog() *Catalog {
	c := &Catalog{}
	c.init()
	return c
}

func (c *Catalog) init() {
	if c.Domains == nil {
		c.Domains = map[string]Entry[Domain]{}
	}
	if c.Teams == nil {
		c.Teams = map[string]Entry[Team]{}
	}
	if c.Workloads == nil {
		c.Workloads = map[string]Entry[Workload]{}
	}
	if c.Drained == nil {
		c.Drained = map[string]Entry[Drain]{}
	}
	if c.Ended == nil {
		c.Ended = map[string]map[string]Ended{}
	}
	if c.Applied == nil {
		c.Applied = map[string]Outcome{}
	}
}

// Apply applies the record at the given offset. Offsets below Next are ignored,
// so records that arrive twice have one effect.
func (c *Catalog) Apply(offset int64, r Record) Outcome {
	if offset < c.Next {
		return c.Applied[r.ID]
	}
	c.Next = offset + 1
	if prior, ok := c.Applied[r.ID]; ok && !c.repeat {
		return prior
	}
	out := c.admit(offset, r)
	if out.Accepted {
		c.change(offset, r)
	}
	if len(r.Ops) > 0 {
		c.remember(r.ID, out)
	}
	return out
}

// Skip passes over an offset whose record could not be decoded.
func (c *Catalog) Skip(offset int64) {
	if offset >= c.Next {
		c.Next = offset + 1
	}
}

func (c *Catalog) admit(offset int64, r Record) Outcome {
	for _, e := range r.Expect {
		if version, _ := c.Version(e.Kind, e.Name); version != e.Version {
			winner := c.LastChange(e.Kind, e.Name)
			return Outcome{Offset: offset, Conflict: &winner, Reason: fmt.Sprintf("%s %s changed at offset %d", e.Kind, e.Name, winner.Offset)}
		}
	}
	for _, op := range r.Ops {
		reason := c.check(op)
		if op.Remove != nil {
			reason = c.checkRemove(op.Remove, r.Ops)
		}
		if reason != "" {
			return Outcome{Offset: offset, Reason: reason}
		}
	}
	return Outcome{Offset: offset, Accepted: true}
}

// check returns why op can't be applied, or nothing.
func (c *Catalog) check(op Op) string {
	w := op.Workload
	if w == nil {
		return ""
	}
	sum := 0
	for _, h := range w.Homes {
		if h.Count < 0 {
			return fmt.Sprintf("workload %s: negative count in %s", w.Name, h.Domain)
		}
		sum += h.Count
	}
	if sum != w.Count {
		return fmt.Sprintf("workload %s: homes hold %d of %d tasks", w.Name, sum, w.Count)
	}
	if !w.Size.Valid() {
		return fmt.Sprintf("workload %s: negative size", w.Name)
	}
	if old, ok := c.Workloads[w.Name]; ok && w.Kind != Service && !slices.Equal(old.Value.Homes, w.Homes) {
		return fmt.Sprintf("workload %s: tasks of finite work keep their homes; cancel it and declare it anew", w.Name)
	}
	return ""
}

// checkRemove returns why an object can't be removed by a record of the given
// operations, or nothing.
func (c *Catalog) checkRemove(r *Remove, ops []Op) string {
	gone := map[string]bool{}
	for _, op := range ops {
		if op.Cancel != nil {
			for _, name := range op.Cancel.Workloads {
				gone[name] = true
			}
		}
	}
	for _, name := range c.WorkloadNames() {
		if gone[name] {
			continue
		}
		w := c.Workloads[name].Value
		home := func(h Home) bool { return h.Domain == r.Name }
		if r.Kind == KindTeam && w.Team == r.Name || r.Kind == KindDomain && slices.ContainsFunc(w.Homes, home) {
			return fmt.Sprintf("%s %s: workload %s still belongs to it", r.Kind, r.Name, name)
		}
	}
	return ""
}

// Version returns the version and last author of an object.
func (c *Catalog) Version(kind Kind, name string) (int64, string) {
	switch kind {
	case KindDomain:
		return version(c.Domains, name)
	case KindTeam:
		return version(c.Teams, name)
	case KindWorkload:
		return version(c.Workloads, name)
	case KindHost:
		return version(c.Drained, name)
	}
	return Absent, ""
}

func version[T any](m map[string]Entry[T], name string) (int64, string) {
	e, ok := m[name]
	if !ok {
		return Absent, ""
	}
	return e.Version, e.Actor
}

func (c *Catalog) change(offset int64, r Record) {
	for _, op := range r.Ops {
		c.note(offset, r.Actor, op)
		c.changeOne(offset, r.Actor, op)
	}
	for _, e := range r.Ended {
		c.end(e)
	}
}

func (c *Catalog) changeOne(offset int64, actor string, op Op) {
	switch {
	case op.Domain != nil:
		put(c.Domains, op.Domain.Name, *op.Domain, offset, actor)
	case op.Team != nil:
		put(c.Teams, op.Team.Name, *op.Team, offset, actor)
	case op.Workload != nil:
		put(c.Workloads, op.Workload.Name, *op.Workload, offset, actor)
	case op.Drain != nil && op.Drain.Return:
		delete(c.Drained, op.Drain.Host)
	case op.Drain != nil:
		put(c.Drained, op.Drain.Host, *op.Drain, offset, actor)
	case op.Cancel != nil:
		for _, name := range op.Cancel.Workloads {
			c.drop(name)
		}
	case op.Remove != nil:
		c.remove(offset, *op.Remove)
	}
}

func put[T any](m map[string]Entry[T], name string, v T, offset int64, actor string) {
	e := Entry[T]{Value: v, Version: offset, Created: offset, Actor: actor}
	if old, ok := m[name]; ok {
		e.Created, e.Finished = old.Created, old.Finished
	}
	m[name] = e
}

func (c *Catalog) drop(workload string) {
	delete(c.Workloads, workload)
	delete(c.Ended, workload)
}

func (c *Catalog) remove(offset int64, r Remove) {
	switch r.Kind {
	case KindDomain:
		delete(c.Domains, r.Name)
	case KindTeam:
		delete(c.Teams, r.Name)
	case KindWorkload:
		c.drop(r.Name)
	case KindHost:
		delete(c.Drained, r.Name)
	}
}

func (c *Catalog) remember(id string, out Outcome) {
	c.Applied[id] = out
	c.Recent = append(c.Recent, id)
	if len(c.Recent) < recentOutcomes+recentSlack {
		return
	}
	for _, old := range c.Recent[:recentSlack] {
		delete(c.Applied, old)
	}
	c.Recent = slices.Clone(c.Recent[recentSlack:])
}

// Tasks returns the names of the tasks of a declared workload whose home is
// domain. A workload that was cancelled and declared anew has new names, since
// tasks of the former one may still run out of reach. A finished one has none.
func Tasks(e Entry[Workload], domain string) []string {
	var names []string
	if e.Finished {
		return nil
	}
	from := 0
	for _, h := range e.Value.Homes {
		for i := 0; h.Domain == domain && i < h.Count; i++ {
			names = append(names, taskName(e, domain, from, i))
		}
		from += h.Count
	}
	return names
}

// taskName numbers replicas within their domain, so that a change of one
// domain's count renames no replica elsewhere, and finite tasks over all.
func taskName(e Entry[Workload], domain string, from, i int) string {
	if e.Value.Kind == Service {
		return fmt.Sprintf("%s/%d/%s/%d", e.Value.Name, e.Created, domain, i)
	}
	return fmt.Sprintf("%s/%d/%d", e.Value.Name, e.Created, from+i)
}

// WorkloadOf returns the workload that a task name belongs to.
func WorkloadOf(task string) string {
	name, _, _ := strings.Cut(task, "/")
	return name
}

// WorkloadNames returns the names of all workloads in order.
func (c *Catalog) WorkloadNames() []string {
	names := make([]string, 0, len(c.Workloads))
	for name := range c.Workloads {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
