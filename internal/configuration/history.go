package configuration

import (
	"fmt"
	"strings"

	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// Change is one change of a declared object, as kept in the history.
type Change struct {
	Offset int64  `json:"offset"`
	Actor  string `json:"actor"`
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	// Detail tells what changed.
	Detail string `json:"detail"`
}

// historyLength is the number of changes that a catalog keeps at least, and
// historySlack by how many more it may have before the oldest are dropped.
const (
	historyLength = 1000
	historySlack  = 200
)

// maxDetail bounds the bytes of a change's detail.
const maxDetail = 160

// LastChange returns the newest known change of an object, also of one that is
// gone.
func (c *Catalog) LastChange(kind Kind, name string) Conflict {
	if version, actor := c.Version(kind, name); version != Absent {
		return Conflict{kind, name, actor, version}
	}
	for i := len(c.History) - 1; i >= 0; i-- {
		if h := c.History[i]; h.Kind == kind && h.Name == name {
			return Conflict{kind, name, h.Actor, h.Offset}
		}
	}
	return Conflict{Kind: kind, Name: name, Offset: Absent}
}

// note adds op to the history, before it changes the catalog.
func (c *Catalog) note(offset int64, actor string, op Op) {
	add := func(kind Kind, name, detail string) {
		if len(detail) > maxDetail {
			detail = strings.ToValidUTF8(detail[:maxDetail], "")
		}
		c.History = append(c.History, Change{offset, actor, kind, name, detail})
	}
	switch {
	case op.Domain != nil:
		add(KindDomain, op.Domain.Name, DescribeDomain(c.Domains[op.Domain.Name].Value, *op.Domain))
	case op.Team != nil:
		add(KindTeam, op.Team.Name, DescribeTeam(c.Teams[op.Team.Name].Value, *op.Team))
	case op.Workload != nil:
		add(KindWorkload, op.Workload.Name, DescribeWorkload(c.Workloads[op.Workload.Name].Value, *op.Workload))
	case op.Drain != nil && op.Drain.Return:
		add(KindHost, op.Drain.Host, "returned")
	case op.Drain != nil:
		add(KindHost, op.Drain.Host, "drained")
	case op.Cancel != nil:
		for _, name := range op.Cancel.Workloads {
			add(KindWorkload, name, "cancelled")
		}
	case op.Remove != nil:
		add(op.Remove.Kind, op.Remove.Name, "removed")
	}
	if len(c.History) >= historyLength+historySlack {
		c.History = append([]Change(nil), c.History[len(c.History)-historyLength:]...)
	}
}

// difference collects the fields that differ between two values.
type difference []string

func (d *difference) field(name string, before, after any) {
	b, a := fmt.Sprint(before), fmt.Sprint(after)
	if b != a {
		*d = append(*d, strings.TrimSpace(fmt.Sprintf("%s %s -> %s", name, b, a)))
	}
}

func (d difference) text() string { return strings.Join(d, ", ") }

// DescribeDomain tells how after differs from before; nothing if it doesn't.
func DescribeDomain(before, after Domain) string {
	if before.Name == "" {
		return fmt.Sprintf("declared in %s with %d workers and %d entries", after.Region, len(after.Workers), len(after.Entries))
	}
	var d difference
	d.field("region", before.Region, after.Region)
	d.names("workers", before.Workers, after.Workers)
	d.names("entries", before.Entries, after.Entries)
	return d.text()
}

// names notes which names came and went.
func (d *difference) names(field string, before, after []string) {
	old := map[string]bool{}
	for _, n := range before {
		old[n] = true
	}
	for _, n := range after {
		if !old[n] {
			*d = append(*d, fmt.Sprintf("%s +%s", field, n))
		}
		delete(old, n)
	}
	for _, n := range before {
		if old[n] {
			*d = append(*d, fmt.Sprintf("%s -%s", field, n))
		}
	}
}

// DescribeTeam tells how after differs from before; nothing if it doesn't.
func DescribeTeam(before, after Team) string {
	if before.Name == "" {
		return fmt.Sprintf("declared with quota %s, weight %d", quota(after.Quota), after.Weight)
	}
	var d difference
	d.field("quota", quota(before.Quota), quota(after.Quota))
	d.field("weight", before.Weight, after.Weight)
	return d.text()
}

func quota(v resource.Vector) string {
	if v.IsZero() {
		return "none"
	}
	return v.String()
}

// DescribeWorkload tells how after differs from before; nothing if it doesn't.
func DescribeWorkload(before, after Workload) string {
	if before.Name == "" {
		return fmt.Sprintf("declared as %s of %d tasks, each %s", after.Kind, after.Count, after.Size)
	}
	var d difference
	d.field("kind", before.Kind, after.Kind)
	d.field("team", before.Team, after.Team)
	d.field("count", before.Count, after.Count)
	d.field("size", before.Size, after.Size)
	d.field("policy", before.Policy, after.Policy)
	d.field("urgency", before.Urgency, after.Urgency)
	d.field("run", before.RunMillis, after.RunMillis)
	d.field("spread", before.Spread, after.Spread)
	d.field("homes", FormatHomes(before.Homes), FormatHomes(after.Homes))
	return d.text()
}

// FormatHomes writes homes as a statement does.
func FormatHomes(homes []Home) string {
	parts := make([]string, 0, len(homes))
	for _, h := range homes {
		parts = append(parts, fmt.Sprintf("%s %d", h.Domain, h.Count))
	}
	return strings.Join(parts, ", ")
}
