package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// shape is a kind of worker at a site.
type shape struct {
	name    string
	count   int
	rack    int
	size    resource.Vector
	service resource.Vector
}

// sites are the two sites' workers and the tasks of their services.
var sites = map[string][]shape{
	"tallowood": {
		{"survey", 35, 5, resource.Vector{MilliCPU: 32000, MemoryMiB: 128 << 10}, resource.Vector{MilliCPU: 2000, MemoryMiB: 4096}},
		{"imaging", 13, 3, resource.Vector{MilliCPU: 128000, MemoryMiB: 512 << 10, Accelerators: 8}, resource.Vector{MilliCPU: 4000, MemoryMiB: 16384, Accelerators: 1}},
	},
	"agency": {
		{"dispatch", 35, 5, resource.Vector{MilliCPU: 64000, MemoryMiB: 256 << 10}, resource.Vector{MilliCPU: 2000, MemoryMiB: 4096}},
		{"imaging", 13, 3, resource.Vector{MilliCPU: 64000, MemoryMiB: 128 << 10, Accelerators: 8}, resource.Vector{MilliCPU: 2000, MemoryMiB: 4096, Accelerators: 1}},
	},
}

// domains is the number of failure domains of a site.
const domains = 3

// mix is one kind of job in a day.
type mix struct {
	name    string
	kind    configuration.WorkloadKind
	urgency configuration.Urgency
	// part is the share of the domain's bottleneck resource that the kind asks
	// for on average; accelerator work counts by accelerators, other work by processors.
	part       float64
	tasks      [2]int
	cpu        [2]int64
	memPerCPU  int64
	acc        int64
	runSeconds [2]float64
}

// mixes are the kinds of jobs in a day of either site.
var mixes = []mix{
	{"batch", configuration.Batch, configuration.Normal, 0.26, [2]int{1, 16}, [2]int64{1, 4}, 2048, 0, [2]float64{15, 150}},
	{"fill", configuration.Batch, configuration.Low, 0.14, [2]int{8, 32}, [2]int64{1, 2}, 2048, 0, [2]float64{20, 120}},
	{"image", configuration.Batch, configuration.Normal, 0.38, [2]int{1, 6}, [2]int64{4, 8}, 2048, 1, [2]float64{20, 150}},
	{"gang", configuration.Gang, configuration.Normal, 0.07, [2]int{4, 16}, [2]int64{2, 4}, 2048, 0, [2]float64{30, 120}},
	{"train", configuration.Gang, configuration.Normal, 0.12, [2]int{4, 12}, [2]int64{4, 8}, 2048, 1, [2]float64{30, 120}},
	{"urgent", configuration.Batch, configuration.Urgent, 0.03, [2]int{1, 4}, [2]int64{1, 4}, 2048, 0, [2]float64{5, 40}},
}

// dayLength is the time into which a day is compressed.
const dayLength = 20 * time.Minute

// teams is the number of teams that share the work.
const teams = 6

// Generate writes out a day of a site from a seed.
func Generate(site string, seed uint64) *Trace {
	t := &Trace{Site: site, Length: dayLength}
	r := rand.New(rand.NewPCG(seed, 1))
	total := map[string]resource.Vector{}
	for _, s := range sites[site] {
		for i := range s.count {
			w := Worker{Name: fmt.Sprintf("%s-%02d", s.name, i), Domain: fmt.Sprint("d", i%domains), Capacity: s.size}
			w.Rack = fmt.Sprintf("%s-%s-r%d", w.Domain, s.name, i/domains/s.rack)
			t.Workers = append(t.Workers, w)
			total[w.Domain] = total[w.Domain].Add(s.size)
		}
	}
	for d := range domains {
		domain := fmt.Sprint("d", d)
		for _, s := range sites[site] {
			t.Jobs = append(t.Jobs, service(domain, s, d))
		}
		for _, m := range mixes {
			t.Jobs = append(t.Jobs, m.day(r, domain, total[domain])...)
		}
	}
	sort.SliceStable(t.Jobs, func(i, j int) bool { return t.Jobs[i].At < t.Jobs[j].At })
	return t
}

func service(domain string, s shape, d int) Job {
	count := (s.count + d) / domains
	spec := configuration.Workload{Name: "svc-" + s.name + "-" + domain, Kind: configuration.Service, Urgency: configuration.Normal, Team: "services", Size: s.service, Spread: true}
	return Job{Domain: domain, Spec: spec, Run: make([]time.Duration, count), Use: 80}
}

// day returns the kind's jobs in one domain. The rate follows the time of day:
// from a fifth of the mean at night to nearly twice it at the peak.
func (m mix) day(r *rand.Rand, domain string, total resource.Vector) []Job {
	var jobs []Job
	capacity := float64(total.MilliCPU)
	if m.acc > 0 {
		capacity = float64(total.Accelerators)
	}
	for at := 0.0; ; {
		j, area := m.draw(r, domain, len(jobs))
		mean := area / (m.part * capacity)
		day := at / dayLength.Seconds()
		rate := 1 - 0.8*math.Cos(2*math.Pi*day)
		at += mean * r.ExpFloat64() / max(rate, 0.2)
		if at >= dayLength.Seconds() {
			return jobs
		}
		j.At = time.Duration(at*1000) * time.Millisecond
		jobs = append(jobs, j)
	}
}

// draw returns a job and its area: the bottleneck resource times seconds.
func (m mix) draw(r *rand.Rand, domain string, n int) (Job, float64) {
	cpu := between(r, m.cpu[0], m.cpu[1])
	size := resource.Vector{MilliCPU: cpu * 1000, MemoryMiB: cpu * m.memPerCPU, Accelerators: m.acc}
	spec := configuration.Workload{Name: fmt.Sprintf("%s-%s-%d", m.name, domain, n), Kind: m.kind, Urgency: m.urgency, Size: size}
	spec.Team = fmt.Sprint("team", r.IntN(teams))
	j := Job{Domain: domain, Spec: spec, Use: 50 + r.Int64N(50)}
	if r.IntN(10) == 0 {
		j.Use = 120 + r.Int64N(60)
	}
	typical := m.runSeconds[0] * math.Pow(m.runSeconds[1]/m.runSeconds[0], r.Float64())
	seconds := 0.0
	for range between(r, int64(m.tasks[0]), int64(m.tasks[1])) {
		s := typical * (0.8 + 0.4*r.Float64())
		seconds += s
		j.Run = append(j.Run, time.Duration(s*1000)*time.Millisecond)
	}
	j.Spec.RunMillis = int64(typical * 1000 * misjudged(r))
	if m.acc > 0 {
		return j, seconds * float64(m.acc)
	}
	return j, seconds * float64(size.MilliCPU)
}

// misjudged returns declared over true run time: mostly near, at times ten times off.
func misjudged(r *rand.Rand) float64 {
	switch r.IntN(10) {
	case 0:
		return 10
	case 1:
		return 0.1
	}
	return 0.8 + 0.6*r.Float64()
}

func between(r *rand.Rand, from, to int64) int64 { return from + r.Int64N(to-from+1) }
