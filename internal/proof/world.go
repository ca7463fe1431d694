// Package proof runs scheduler cores against small fakes at their interfaces in
// virtual time, under faults, and lets the checker judge what came of it. One
// seed gives one history. The fakes hold no policy.
package proof

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/checker"
	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
	"github.com/mimosaspool/mimosaspool/internal/timeline"
)

// Site tells what a world consists of.
type Site struct {
	Domains, Schedulers, Workers int
	Capacity                     resource.Vector
	Timing                       ownership.Timing
	Link                         link
}

// World is a site in virtual time.
type World struct {
	now    time.Duration
	queue  timeline.Queue
	rand   *rand.Rand
	timing ownership.Timing
	link   link
	cuts   map[route]time.Duration
	log    *log
	// tenures holds the partition of each domain's tenure.
	tenures   map[string]*log
	processes []*process
	entries   []*entry
	runners   map[string]*runner
	machines  []*machine
	addresses map[string]*machine
	domains   []string
	hosts     map[string][]scheduler.Host
	listed    map[string][]scheduler.Host
	// published counts the lists of a domain; shown is the number of the one listed.
	published, shown map[string]int
	// lastStart is when each task last started; starts lists all starts.
	lastStart map[string]time.Duration
	starts    []time.Duration
	// firstStart is when each task first started since the map was last cleared.
	firstStart map[string]time.Duration
	Tasks      *checker.Tasks
	Changes    *checker.Changes
	Requests   *checker.Requests
	// Writes counts the messages to workers.
	Writes int
}

// NewWorld builds a site from a seed and declares its domains.
func NewWorld(seed uint64, s Site) *World {
	w := &World{
		rand: rand.New(rand.NewPCG(seed, 0)), timing: s.Timing, link: s.Link, cuts: map[route]time.Duration{},
		addresses: map[string]*machine{}, hosts: map[string][]scheduler.Host{}, listed: map[string][]scheduler.Host{}, published: map[string]int{}, shown: map[string]int{},
		lastStart: map[string]time.Duration{}, firstStart: map[string]time.Duration{}, Tasks: checker.NewTasks(), Changes: checker.NewChanges(), Requests: checker.NewRequests(), runners: map[string]*runner{},
	}
	w.log = &log{w: w, store: &store{}}
	w.tenures = map[string]*log{}
	rec := configuration.Record{ID: "site", Actor: "test"}
	for d := range s.Domains {
		domain := configuration.Domain{Name: fmt.Sprintf("d%d", d+1)}
		w.domains = append(w.domains, domain.Name)
		w.tenures[domain.Name] = &log{w: w, store: w.log.store}
		for i := range s.Schedulers {
			p := &process{life: life{w: w, host: hostName(d+1, i+1), domain: domain.Name}}
			w.processes = append(w.processes, p)
			domain.Entries = append(domain.Entries, p.host)
		}
		for i := range s.Workers {
			name := fmt.Sprintf("%s-w%02d", domain.Name, i+1)
			domain.Workers = append(domain.Workers, name)
			w.addWorker(domain.Name, name, s.Capacity)
		}
		w.listed[domain.Name] = append([]scheduler.Host(nil), w.hosts[domain.Name]...)
		rec.Ops = append(rec.Ops, configuration.Op{Domain: &domain})
	}
	w.Append(rec)
	for _, p := range w.processes {
		p.boot()
	}
	return w
}

// hostName returns the name of a domain's entry host; both count from 1.
func hostName(domain, host int) string { return fmt.Sprintf("d%d-h%d", domain, host) }

func (w *World) addWorker(domain, name string, capacity resource.Vector) {
	w.addresses[name] = w.newMachine(name, w.newClock(), time.Hour, capacity)
	w.hosts[domain] = append(w.hosts[domain], scheduler.Host{Name: name, Domain: domain, Address: name, Rack: "r"})
}

// newClock returns a clock that is hours and minutes off.
func (w *World) newClock() clock {
	return clock{offset: w.between(2*time.Hour, 3*time.Hour), ppm: w.rand.Int64N(2*maxPPM) - maxPPM}
}

// Append puts a record into the log at once.
func (w *World) Append(r configuration.Record) {
	data, err := configuration.Encode(r)
	if err != nil {
		panic(err) // records of tests can be written
	}
	w.log.append(data, anyEnd, func(int64, bool) {})
}

// Run lets virtual time pass up to the given time.
func (w *World) Run(until time.Duration) {
	for at, ok := w.queue.NextTime(); ok && at <= until; at, ok = w.queue.NextTime() {
		_, do := w.queue.Pop()
		w.now = max(w.now, at)
		do()
	}
	w.now = until
	w.sweepAll()
}

func (w *World) after(d time.Duration, do func()) { w.queue.Schedule(w.now+d, do) }

// at runs do at a time of the history.
func (w *World) at(t time.Duration, do func()) { w.queue.Schedule(t, do) }

func (w *World) sweepAll() {
	for _, m := range w.machines {
		if !m.dead {
			m.Sweep()
		}
	}
}

func (w *World) started(task string) {
	w.lastStart[task] = w.now
	w.starts = append(w.starts, w.now)
	if _, ok := w.firstStart[task]; !ok {
		w.firstStart[task] = w.now
	}
}

// hostOf returns the machine whose runner has the address.
func (w *World) hostOf(address string) string {
	machine, _, _ := strings.Cut(address, ":")
	return machine
}

// leader returns the domain's scheduler that holds its term, or nil.
func (w *World) leader(domain string) *process {
	for _, p := range w.processes {
		if p.domain == domain && p.up && !p.paused && p.core.IsLeader() {
			return p
		}
	}
	return nil
}
