package proof

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/checker"
	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// Times of a history.
const (
	calmUntil   = 15 * time.Second
	faultsUntil = 90 * time.Second
	historyEnd  = 180 * time.Second
	changeEvery = 6 * time.Second
	lookEvery   = time.Second
	// leavingGrace and inForce bound how long news may take to be in force.
	leavingGrace = 8 * time.Second
	inForce      = 6 * time.Second
)

// watched is the number of services.
const watched = 4

// Case names one generated history.
type Case struct {
	Seed   uint64
	Faults []Fault
	// Without names the guards that are taken out; tests only.
	Without ownership.Guard
	// Lying entries say of a broken connection that nothing was sent; mixing
	// ones take another request's answer. Tests only.
	lying, mixing bool
}

// entrySuffix tells the name of an entry's end of a link from its host's scheduler.
const entrySuffix = "-entry"

// history is a world with operators who change things and faults that happen.
type history struct {
	*World
	c        Case
	declared map[string]configuration.Workload
	// effects holds what each record sets, by offset.
	effects map[int64][]checker.Set
	changes int
	// short tells which domains lack workers now.
	short    map[string]bool
	replaced int
	requests uint64
	usage    int64
	// platformUnheard is until when a scheduler may lack news of the platform.
	platformUnheard time.Duration
}

// Run plays one history and returns what was broken.
func Run(c Case) []checker.Breach {
	h := newHistory(c)
	h.World.Run(historyEnd)
	return h.breaches()
}

func (h *history) breaches() []checker.Breach {
	return slices.Concat(h.Tasks.Breaches, h.Changes.Breaches, h.Requests.Breaches)
}

// site returns the site that the seed picks.
func (c Case) site() Site {
	timing := ownership.DefaultTiming()
	timing.Without = c.Without
	return Site{
		Domains: 1 + int(c.Seed%3), Schedulers: 2 + int(c.Seed/3%2), Workers: 3 + int(c.Seed/6%5),
		Capacity: resource.Vector{MilliCPU: 8000, MemoryMiB: 16384, Accelerators: 2},
		Timing:   timing,
		Link:     link{delay: 500 * time.Microsecond, jitter: 2 * time.Millisecond, lost: 3, twice: 10, held: 10, late: 20 * time.Second},
	}
}

func newHistory(c Case) *history {
	h := &history{World: NewWorld(c.Seed, c.site()), c: c, declared: map[string]configuration.Workload{}, effects: map[int64][]checker.Set{}, short: map[string]bool{}}
	for _, p := range h.processes {
		h.entries = append(h.entries, &entry{life: life{w: h.World, host: p.host + entrySuffix, domain: p.domain}})
	}
	for _, e := range h.entries {
		e.lying, e.mixing = c.lying, c.mixing
		e.boot(true)
	}
	for _, d := range h.domains {
		h.callers(d)
	}
	h.at(time.Second, func() {
		for range 2 * watched {
			h.declare(h.workload())
		}
	})
	h.every(2*time.Second, changeEvery, h.change)
	h.every(time.Second, lookEvery, h.look)
	for _, f := range c.Faults {
		h.at(h.between(calmUntil, faultsUntil), func() { h.inject(f) })
	}
	return h
}

func (h *history) suffix() string { return fmt.Sprintf("-%d", h.replaced) }

func (h *history) unheard(until time.Duration) {
	h.platformUnheard = max(h.platformUnheard, until)
	h.Tasks.Unheard(h.now, until+listLag+leavingGrace)
}

// change lets an operator do one thing at random.
func (h *history) change() {
	switch h.rand.IntN(10) {
	case 0:
		h.drain()
	case 1:
		h.leave()
	case 4:
		h.endSome()
	case 5:
		h.redeclare()
	case 2, 3:
		if name, ok := h.any(); ok {
			h.cancel(configuration.Cancel{Workloads: []string{name}})
		}
	default:
		h.declare(h.workload())
	}
}

func (h *history) any() (string, bool) {
	names := slices.Sorted(maps.Keys(h.declared))
	if len(names) == 0 {
		return "", false
	}
	return pick(h.World, names), true
}

// workload draws a service or batch work; services may change one that exists.
func (h *history) workload() configuration.Workload {
	n := h.rand.IntN(watched)
	w := configuration.Workload{
		Name: fmt.Sprintf("svc%d", n), Kind: configuration.Service, Size: h.size(),
	}
	if n == 0 {
		// One service stays small, so that requests find runners.
		w.Size = resource.Vector{MilliCPU: 500, MemoryMiB: 512}
	}
	if h.chance(400) {
		h.changes++
		w.Name, w.Kind = fmt.Sprintf("job%d", h.changes), configuration.Batch
		w.RunMillis = h.between(time.Second, 60*time.Second).Milliseconds()
	}
	for _, d := range h.domains {
		count := h.rand.IntN(8)
		w.Count += count
		w.Homes = append(w.Homes, configuration.Home{Domain: d, Count: count})
	}
	return w
}

func (h *history) size() resource.Vector {
	return resource.Vector{
		MilliCPU: 500 * (1 + h.rand.Int64N(8)), MemoryMiB: 1024 * (1 + h.rand.Int64N(6)), Accelerators: h.rand.Int64N(2),
	}
}

func (h *history) declare(w configuration.Workload) {
	h.declared[w.Name] = w
	h.append("op1", configuration.Op{Workload: &w}, nil)
}

func (h *history) cancel(c configuration.Cancel) {
	slices.Sort(c.Workloads)
	for _, name := range c.Workloads {
		delete(h.declared, name)
	}
	h.append("op1", configuration.Op{Cancel: &c}, nil)
}

// race lets operators change one service at once, each having seen the same version.
func (h *history) race() {
	p := pick(h.World, h.processes)
	if !p.up {
		return
	}
	version := p.core.Catalog().Workloads["svc0"].Version
	expect := []configuration.Expectation{{Kind: configuration.KindWorkload, Name: "svc0", Version: version}}
	for i := range 4 {
		w := h.workload()
		w.Name, w.Kind, w.RunMillis = "svc0", configuration.Service, 0
		h.append(fmt.Sprintf("op%d", i), configuration.Op{Workload: &w}, expect)
	}
}

// append sends a change, again with the same id until the log has answered.
func (h *history) append(actor string, op configuration.Op, expect []configuration.Expectation) {
	h.changes++
	r := configuration.Record{ID: fmt.Sprintf("c%d", h.changes), Actor: actor, Ops: []configuration.Op{op}, Expect: expect}
	data, err := configuration.Encode(r)
	if err != nil {
		panic(err) // records of tests can be written
	}
	done := false
	var try func()
	try = func() {
		if done {
			return
		}
		h.log.append(data, anyEnd, func(int64, bool) { done = true })
		h.after(callLimit, try)
	}
	h.after(h.upTo(20*time.Millisecond), try)
}

func (h *history) drain() {
	host := pick(h.World, h.hosts[pick(h.World, h.domains)])
	h.append("op1", configuration.Op{Drain: &configuration.Drain{Host: host.Name, Return: h.chance(500)}}, nil)
}

// endSome makes some running tasks fail.
func (h *history) endSome() {
	for _, m := range h.machines {
		for _, t := range m.Live() {
			if h.chance(300) {
				m.End(t, scheduler.Failed)
			}
		}
	}
}

// redeclare takes some of a domain's workers out of the configuration, or
// returns all.
func (h *history) redeclare() {
	d := pick(h.World, h.domains)
	domain := configuration.Domain{Name: d}
	for _, p := range h.processes {
		if p.domain == d {
			domain.Entries = append(domain.Entries, p.host)
		}
	}
	for _, host := range h.hosts[d] {
		domain.Workers = append(domain.Workers, host.Name)
	}
	if n := len(domain.Workers); !h.short[d] {
		h.rand.Shuffle(n, func(i, j int) {
			domain.Workers[i], domain.Workers[j] = domain.Workers[j], domain.Workers[i]
		})
		domain.Workers = domain.Workers[:1+h.rand.IntN(n)]
	}
	h.short[d] = !h.short[d]
	h.append("op1", configuration.Op{Domain: &domain}, nil)
}

// leave makes a worker leave by the list, or come back.
func (h *history) leave() {
	domain := pick(h.World, h.domains)
	host := &h.hosts[domain][h.rand.IntN(len(h.hosts[domain]))]
	host.Leaving = !host.Leaving
	h.publish(domain)
	from := time.Duration(-1)
	if host.Leaving {
		from = max(h.now, h.platformUnheard) + listLag + leavingGrace
	}
	h.Tasks.Leaving(h.addresses[host.Address].Name, from)
}

// look reads the configuration at every scheduler, as an operator would.
func (h *history) look() {
	for _, p := range h.processes {
		if !p.up || p.paused || !p.core.Ready() {
			continue
		}
		cat := p.core.Catalog()
		process := fmt.Sprintf("%s#%d", p.host, p.number)
		for _, id := range cat.Recent {
			h.verdict(process, id, cat)
		}
		for i := range watched {
			name := fmt.Sprint("svc", i)
			h.Changes.Read(h.now, process, cat.Next, name, value(cat, name), h.due(p))
		}
	}
}

func value(cat *configuration.Catalog, name string) string {
	e, ok := cat.Workloads[name]
	if !ok {
		return absent
	}
	return fmt.Sprintf("%d of %s", e.Value.Count, e.Value.Size)
}

// verdict reports what became of a change to the services that are watched.
func (h *history) verdict(process, id string, cat *configuration.Catalog) {
	out := cat.Applied[id]
	sets, known := h.effects[out.Offset]
	if !known {
		sets = h.sets(out.Offset)
		h.effects[out.Offset] = sets
	}
	h.Changes.Verdict(h.now, process, id, out.Accepted, out.Offset, sets)
}

// sets returns what the record at an offset sets.
func (h *history) sets(offset int64) []checker.Set {
	i := offset - h.log.first
	if i < 0 || i >= int64(len(h.log.records)) {
		return nil
	}
	r, err := configuration.Decode(h.log.records[i].Data)
	if err != nil || len(r.Ops) == 0 {
		return nil
	}
	if w := r.Ops[0].Workload; w != nil {
		return []checker.Set{{Object: w.Name, Value: fmt.Sprintf("%d of %s", w.Count, w.Size)}}
	}
	var sets []checker.Set
	if c := r.Ops[0].Cancel; c != nil {
		for _, name := range c.Workloads {
			sets = append(sets, checker.Set{Object: name, Value: absent})
		}
	}
	return sets
}

// absent is the value of an object that was cancelled or never declared.
const absent = "absent"

// due returns the time before which accepted changes must be in force at p: 0
// where p may have been out of reach of news.
func (h *history) due(p *process) time.Duration {
	if h.now-max(p.awake, h.platformUnheard) < inForce {
		return 0
	}
	return h.now - inForce
}
