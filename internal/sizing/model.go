package sizing

import "math"

// Size is what a site asks of the system.
type Size struct {
	Workers      float64 `json:"workers"`
	Accelerators float64 `json:"accelerators"`
	Tasks        float64 `json:"tasks"`
	ServiceShare float64 `json:"serviceShare"`
	JobsPerDay   float64 `json:"jobsPerDay"`
	// TasksPerJob is the mean number of tasks that a job starts.
	TasksPerJob     float64 `json:"tasksPerJob"`
	StartsPerSecond float64 `json:"startsPerSecond"`
	Teams           float64 `json:"teams"`
	Domains         float64 `json:"domains"`
	// EntryHosts is the number in each domain.
	EntryHosts     float64 `json:"entryHosts"`
	ChangesPerDay  float64 `json:"changesPerDay"`
	FailuresPerDay float64 `json:"failuresPerDay"`
	ReplacedPerDay float64 `json:"replacedPerDay"`
	// RenewSeconds is the time between writes to an owned worker.
	RenewSeconds float64 `json:"renewSeconds"`
}

// Target is the size that the design has to carry in two years.
func Target() Size {
	return Size{
		Workers: 1100, Accelerators: 1800, Tasks: 17000, ServiceShare: 0.2, JobsPerDay: 9700, TasksPerJob: 10, StartsPerSecond: 110,
		Teams: 350, Domains: 8, EntryHosts: 3, ChangesPerDay: 910, FailuresPerDay: 8, ReplacedPerDay: 170, RenewSeconds: 2,
	}
}

// Today is one users' cell at its present size; its rates scale with the
// target's by workers.
func Today() Size {
	const scale = 48.0 / 1100
	t := Target()
	return Size{
		Workers: 48, Accelerators: 104, Tasks: t.Tasks * scale, ServiceShare: t.ServiceShare, JobsPerDay: t.JobsPerDay * scale, TasksPerJob: t.TasksPerJob,
		StartsPerSecond: t.StartsPerSecond * scale, Teams: 10, Domains: 3, EntryHosts: 2, ChangesPerDay: t.ChangesPerDay * scale,
		FailuresPerDay: t.FailuresPerDay * scale, ReplacedPerDay: t.ReplacedPerDay * scale, RenewSeconds: 2,
	}
}

// The limits for control on one node.
const (
	LimitCorePercent = 1.2
	LimitMemoryMB    = 256
	LimitKBPerSecond = 26
)

const (
	secondsPerDay = 86400
	// ticksPerSecond is the pace of the scheduler's clock.
	ticksPerSecond = 10
	// heartbeatsPerSecond is the pace at which schedulers of a domain talk.
	heartbeatsPerSecond = 1
	// syncsPerSecond is the pace of a directory sync without news.
	syncsPerSecond = 0.5
	// readsPerSecond is the pace of a read of the log without news.
	readsPerSecond = 0.5
	// hostListsPerSecond is the pace of reading the list of hosts.
	hostListsPerSecond = 0.5
	// bytesPerListedHost is one host in the list's reply.
	bytesPerListedHost = 60
	// finishedKept is how many finished jobs the catalog keeps.
	finishedKept = 2000
	// heapFactor is the heap before a collection by the live heap after one, as
	// lifecycle.TuneGC has it.
	heapFactor = 5
	// processMB is a Go process with its libraries at rest.
	processMB = 24
)

// Slopes gives access to slopes by name.
type Slopes map[string]Slope

// ByName arranges slopes by name.
func ByName(list []Slope) Slopes {
	m := Slopes{}
	for _, s := range list {
		m[s.Name] = s
	}
	return m
}

func (s Slopes) at(name string, x float64) float64 { return max(0, s[name].At(x)) }

// nearest returns the measured point closest to x; it is used for processor
// time of the core, whose line is not taken beyond its points.
func (s Slopes) nearest(name string, x float64) float64 {
	best, y := math.Inf(1), 0.0
	for _, p := range s[name].Points {
		if d := math.Abs(p.X - x); d < best {
			best, y = d, p.Y
		}
	}
	return y
}

// Row is one line of a role's table.
type Row struct {
	Item     string
	Messages float64 // a second
	KBytes   float64 // a second
	Core     float64 // percent of a core
	MemoryMB float64
	// From names the slopes and the mechanism.
	From string
}

// Role is one process and what it takes.
type Role struct {
	Name string
	Rows []Row
}

// Sum adds the rows up.
func (r Role) Sum() Row {
	sum := Row{Item: "sum"}
	for _, x := range r.Rows {
		sum.Messages += x.Messages
		sum.KBytes += x.KBytes
		sum.Core += x.Core
		sum.MemoryMB += x.MemoryMB
	}
	return sum
}

// share holds one domain's part of a size.
type share struct {
	Size
	workers, tasks, perWorker, starts, endpoints float64
}

func (z Size) share() share {
	return share{
		Size: z, workers: z.Workers / z.Domains, tasks: z.Tasks / z.Domains, perWorker: z.Tasks / z.Workers,
		starts: z.StartsPerSecond / z.Domains, endpoints: z.Tasks * z.ServiceShare / z.Domains,
	}
}

// Variables returns a size's value of each variable that has one.
func Variables(z Size) map[string]float64 {
	s := z.share()
	return map[string]float64{
		"workers": s.workers, "tasks": s.tasks, "tasks on the worker": s.perWorker, "workloads": s.JobsPerDay,
		"teams": s.Teams, "endpoints": s.endpoints, "hosts": s.EntryHosts * s.Domains,
	}
}

// meanStarts is the mean rate of task starts in a domain over a day.
func (s share) meanStarts() float64 { return s.JobsPerDay * s.TasksPerJob / s.Domains / secondsPerDay }

// percent turns a rate and microseconds a call into percent of a core.
func percent(rate, micros float64) float64 { return rate * micros / 1e6 * 100 }

// Work returns what every role takes at size z; atPeak takes the peak rate of
// task starts in place of the day's mean.
func Work(z Size, s Slopes, atPeak bool) []Role {
	d := z.share()
	starts := d.meanStarts()
	if atPeak {
		starts = d.starts
	}
	return []Role{holder(d, s, starts), standby(d, s), entry(d, s)}
}

func holder(d share, s Slopes, starts float64) Role {
	renewals := d.workers / d.RenewSeconds
	call := s.at(CallTime, d.perWorker) / 2
	lists := 2 * starts
	listBytes := s.at(WireList, d.perWorker) - s.at(WireRenewal, d.perWorker)
	startBytes := s.at(WireStarts, 1)
	r := Role{Name: "scheduler that holds its domain's term"}
	r.Rows = append(r.Rows,
		Row{"renewals", renewals, renewals * s.at(WireRenewal, d.perWorker) / 1000, percent(renewals, call+s.nearest(StepReply, d.workers)), 0,
			"workers / renewal interval; " + WireRenewal + "; " + CallTime + ", halved; " + StepReply},
		Row{"starts", starts, starts * startBytes / 1000, percent(starts, call+s.nearest(StepStart, d.workers)), 0,
			"one write a start; " + WireStarts + "; " + StepStart},
		Row{"lists after starts and ends", 0, lists * listBytes / 1000, percent(lists, s.nearest(StepReply, d.workers)), 0,
			"two changed lists a start; " + WireList},
		Row{"ticks", 0, 0, percent(ticksPerSecond, s.nearest(StepTick, d.workers)), 0, StepTick},
		heartbeats(d, s), logReads(d, s), hostLists(d),
		Row{"appends of ended tasks", min(1, starts), min(1, starts) * s.at(RecordEnded, max(1, starts)) / 1000, percent(min(1, starts), call), 0,
			"at most one record a second; " + RecordEnded},
		syncs(d, s, d.EntryHosts),
		coreMemory(d, s),
	)
	return r
}

func heartbeats(d share, s Slopes) Row {
	rate := 2 * (d.EntryHosts - 1) * heartbeatsPerSecond
	return Row{"heartbeats to and from peers", rate, rate * s.at(WireHeartbeat, 0) / 1000, percent(rate, s.at(CallTime, 1)/2), 0,
		"two directions, each peer of the domain each second; " + WireHeartbeat}
}

func logReads(d share, s Slopes) Row {
	records := (d.JobsPerDay + d.ChangesPerDay) / secondsPerDay
	rate := readsPerSecond + records
	return Row{"reads of the log", rate, (rate*s.at(WireHeartbeat, 0) + records*s.at(RecordOps, 1)) / 1000, percent(rate, s.at(CallTime, 1)/2) + percent(records, s.nearest(ApplyWorkloads, d.catalogJobs())), 0,
		"one long read each 2 s and one for each record; " + RecordOps + "; " + ApplyWorkloads}
}

func hostLists(d share) Row {
	return Row{"list of hosts", hostListsPerSecond, hostListsPerSecond * (d.workers*bytesPerListedHost + 170) / 1000, 0, 0,
		"whole list each 2 s, 60 B a host (not measured)"}
}

func syncs(d share, s Slopes, entries float64) Row {
	rate := entries * syncsPerSecond
	news := d.ReplacedPerDay / d.Domains / secondsPerDay * d.perWorker * d.ServiceShare * entries
	return Row{"directory for the entries", rate + news, (rate*s.at(WireSync, 0) + news*s.at(WireSync, d.endpoints)) / 1000, percent(rate+news, s.at(CallTime, 1)/2), 0,
		"one long call each 2 s; the whole list when a runner changed; " + WireSync}
}

func coreMemory(d share, s Slopes) Row {
	kib := s.at(HeapWorkers, d.workers) + s.at(HeapTasks, d.tasks) + catalogKiB(d, s)
	return Row{"memory: process, workers, tasks, catalog (live heap times 5, as it grows to 400% between collections)", 0, 0, 0, processMB + heapFactor*kib/1024,
		HeapWorkers + "; " + HeapTasks + "; " + HeapWorkloads + "; " + HeapTeams + "; " + HeapChanges}
}

func catalogKiB(d share, s Slopes) float64 {
	return s.at(HeapWorkloads, d.catalogJobs()) + s.at(HeapTeams, d.Teams) + s.nearest(HeapChanges, d.ChangesPerDay)
}

// catalogJobs is the number of jobs in the catalog: those that run, and the
// newest finished ones.
func (z Size) catalogJobs() float64 {
	return z.Tasks*(1-z.ServiceShare)/z.TasksPerJob + min(z.JobsPerDay, finishedKept)
}

func standby(d share, s Slopes) Role {
	return Role{Name: "scheduler that stands by", Rows: []Row{
		heartbeats(d, s), logReads(d, s), hostLists(d),
		{"ticks", 0, 0, percent(ticksPerSecond, s.nearest(StepTick, d.workers)), 0, StepTick + " (as the holder's)"},
		{"memory: process, catalog", 0, 0, 0, processMB + heapFactor*catalogKiB(d, s)/1024, HeapWorkloads + "; " + HeapTeams + "; " + HeapChanges},
	}}
}

func entry(d share, s Slopes) Role {
	return Role{Name: "entry, control only", Rows: []Row{
		syncs(d, s, 1),
		{"memory: process", 0, 0, 0, processMB, "a process at rest; requests in flight not included"},
	}}
}

// LogUse is what a size asks of the platform's log.
type LogUse struct {
	Item              string
	AppendsPerSecond  float64
	MegabytesPerDay   float64
	PeakAppendsSecond float64
	From              string
}

// snapshotsPerDay is how many snapshots the system appends, one each half hour.
const snapshotsPerDay = 48

// Log returns what size z asks of the platform's log.
func Log(z Size, s Slopes) []LogUse {
	d := z.share()
	const mb = 1e6
	snapshot := s.at(SnapshotWork, z.catalogJobs()) + s.at(SnapshotTeams, z.Teams) + s.at(SnapshotDomains, z.Domains)
	ended := d.meanStarts() * z.Domains
	return []LogUse{
		{"jobs declared", z.JobsPerDay / secondsPerDay, z.JobsPerDay * s.at(RecordOps, 1) / mb, 10 * z.JobsPerDay / secondsPerDay, "one record a job; " + RecordOps + "; the peak is taken as ten times the mean"},
		{"changes of configuration", z.ChangesPerDay / secondsPerDay, z.ChangesPerDay * s.at(RecordOps, 1) / mb, 10 * z.ChangesPerDay / secondsPerDay, "one record a change; " + RecordOps},
		{"ended tasks", min(ended, z.Domains), ended * secondsPerDay * s.at(RecordEnded, 1) / mb, z.Domains, "at most one record a second a domain; " + RecordEnded},
		{"snapshots", snapshotsPerDay / secondsPerDay, snapshotsPerDay * snapshot / mb, snapshotsPerDay / secondsPerDay, "one each half hour; " + SnapshotWork + "; " + SnapshotTeams + "; " + SnapshotDomains},
	}
}
