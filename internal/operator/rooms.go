package operator

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/language"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// Room is what a domain's workers have, as the holder of its term knows it.
type Room struct {
	Free resource.Vector `json:"free"`
	// Shapes are the distinct capacities of the workers; none while some
	// worker is not known yet.
	Shapes []resource.Vector `json:"shapes,omitempty"`
}

// maxShapes bounds the shapes that a domain tells.
const maxShapes = 64

// fits reports whether a task of the size fits some worker. An unknown room fits all.
func (r *Room) fits(size resource.Vector) bool {
	return r == nil || len(r.Shapes) == 0 || slices.ContainsFunc(r.Shapes, size.Fits)
}

// tasks returns how many tasks of the size the free room holds, up to most.
func (r *Room) tasks(size resource.Vector, most int) int {
	if r == nil {
		return 0
	}
	n := int64(most)
	for _, x := range [][2]int64{{r.Free.MilliCPU, size.MilliCPU}, {r.Free.MemoryMiB, size.MemoryMiB}, {r.Free.Accelerators, size.Accelerators}} {
		if x[1] > 0 {
			n = min(n, x[0]/x[1])
		}
	}
	return int(max(n, 0))
}

func room(workers []scheduler.WorkerInfo) *Room {
	r := &Room{}
	complete := true
	for _, w := range workers {
		complete = complete && !w.Capacity.IsZero()
		if w.State == "ready" {
			r.Free = r.Free.Add(w.Free)
		}
		if !slices.Contains(r.Shapes, w.Capacity) {
			r.Shapes = append(r.Shapes, w.Capacity)
		}
	}
	if !complete || len(r.Shapes) > maxShapes {
		r.Shapes = nil
	}
	return r
}

// look asks the domains' leaders in reach for their room when the script declares work.
func (s *Service) look(ctx context.Context, script *language.Script) map[string]*Room {
	if !slices.ContainsFunc(script.Statements, func(st *language.Statement) bool {
		return st.Declare != nil && st.Declare.Team == nil && st.Declare.Domain == nil
	}) {
		return nil
	}
	rooms := map[string]*Room{}
	for _, r := range leadersOf(s.members(ctx, "", roomTime)) {
		rooms[r.Member.Domain] = r.Room
	}
	return rooms
}

// divide gives a workload homes among the named domains: services evenly,
// finite work in the domain with the most room for it.
func (p *plan) divide(w configuration.Workload, domains []string) []configuration.Home {
	var fit []string
	for _, d := range domains {
		if p.rooms[d].fits(w.Size) {
			fit = append(fit, d)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	// Domains with like room take turns by the workload's name.
	turn := int(hash(w.Name) % uint32(len(fit)))
	fit = append(fit[turn:], fit[:turn]...)
	slices.SortStableFunc(fit, func(a, b string) int {
		return -cmp.Compare(p.rooms[a].tasks(w.Size, w.Count), p.rooms[b].tasks(w.Size, w.Count))
	})
	parts := 1
	if w.Kind == configuration.Service {
		parts = len(fit)
	}
	var homes []configuration.Home
	for i, d := range fit[:parts] {
		n := w.Count / parts
		if i < w.Count%parts {
			n++
		}
		if n > 0 {
			homes = append(homes, configuration.Home{Domain: d, Count: n})
			p.take(d, w.Size.Scale(int64(n)))
		}
	}
	slices.SortFunc(homes, func(a, b configuration.Home) int { return cmp.Compare(a.Domain, b.Domain) })
	return homes
}

// take counts planned tasks as placed.
func (p *plan) take(domain string, size resource.Vector) {
	if r := p.rooms[domain]; r != nil {
		r.Free = r.Free.Sub(size)
	}
}

func hash(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}
