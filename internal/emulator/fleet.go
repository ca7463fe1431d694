package emulator

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Heartbeat is how often a worker writes its entry; an entry is removed after
// missedHeartbeats intervals of silence.
const (
	Heartbeat        = 1500 * time.Millisecond
	missedHeartbeats = 3
	// CrashDowntime is how long a worker is away that a task has crashed.
	CrashDowntime = 3 * time.Second
)

// Behaviour is what becomes of a task.
type Behaviour struct {
	// Duration is the time of work on a sound worker near the task's data; 0 is
	// the step's estimate. Lasting tasks have Limits.Startup instead.
	Duration time.Duration
	// Fails makes each run end failed after its work.
	Fails bool
	// FailFirst is how many runs that got to work end failed before one is done.
	FailFirst int
	// FailAfter ends a lasting task failed after this time at work; 0 is never.
	FailAfter time.Duration
	// CrashAfter crashes the worker of each run this long after the run's start; 0 is
	// never. The worker is back after CrashDowntime.
	CrashAfter time.Duration
	// Tail is the tail latency in milliseconds that a serving task lists; 0 is
	// half of its target.
	Tail float64
}

// Limits are the platform's bounds and times. Fields of 0 take their defaults.
type Limits struct {
	// MaxLease is the longest lease (10 s).
	MaxLease time.Duration
	// StopTimeout is the longest time that a stop takes (2 s).
	StopTimeout time.Duration
	// GangTimeout is how long a gang's member waits for the others (5 s).
	GangTimeout time.Duration
	// DrainBound is within what time a draining worker must get nothing new (3 s).
	DrainBound time.Duration
	// CancelBound is within what time a cancelled job must get no starts (3 s).
	CancelBound time.Duration
	// Early is how much before its due time an occurrence may start (50 ms).
	Early time.Duration
	// CheckpointInterval and RestoreTime are of checkpointing tasks (2 s, 500 ms).
	CheckpointInterval, RestoreTime time.Duration
	// Startup is how long a lasting task needs until it is at work (1 s).
	Startup time.Duration
	// PaceDelay is how long a change of pace takes (300 ms).
	PaceDelay time.Duration
	// Contact is how long a disruption excuses what comes after it (5 s).
	Contact time.Duration
	// Notice is how long a lasting task may be away before it counts as such (5 s).
	Notice time.Duration
	// RemoteFactor is how much longer a task takes away from its data (2).
	RemoteFactor float64
}

func (l Limits) withDefaults() Limits {
	l.MaxLease = orDefault(l.MaxLease, 10*time.Second)
	l.StopTimeout = orDefault(l.StopTimeout, 2*time.Second)
	l.GangTimeout = orDefault(l.GangTimeout, 5*time.Second)
	l.DrainBound = orDefault(l.DrainBound, 3*time.Second)
	l.CancelBound = orDefault(l.CancelBound, 3*time.Second)
	l.Early = orDefault(l.Early, 50*time.Millisecond)
	l.CheckpointInterval = orDefault(l.CheckpointInterval, 2*time.Second)
	l.RestoreTime = orDefault(l.RestoreTime, 500*time.Millisecond)
	l.Startup = orDefault(l.Startup, time.Second)
	l.PaceDelay = orDefault(l.PaceDelay, 300*time.Millisecond)
	l.Contact = orDefault(l.Contact, 5*time.Second)
	l.Notice = orDefault(l.Notice, 5*time.Second)
	l.RemoteFactor = orDefault(l.RemoteFactor, 2)
	return l
}

// FleetConfig sets a fleet up.
type FleetConfig struct {
	// Seed drives the faults, the times of stops and the policy.
	Seed   uint64
	Limits Limits
	// Latency is the time of one way of a call; 0 is DefaultLatency.
	Latency time.Duration
	// Work tells how a task behaves; nil goes by the estimates. It must be pure.
	Work func(workflow.TaskID) Behaviour
	// Advice has the queues, by name, whose starts need a ticket.
	Advice map[string]workflow.PolicySettings
	// ApprovedShare of the workers (0 to 1) may run a step of such a queue; 0 is a half.
	ApprovedShare float64
	// StrictLives answers WrongIncarnation to an order that was sent before a restart
	// under the same ID. Without it only another ID is told apart, as an order
	// names no more than that.
	StrictLives bool
}

// Fleet is all workers of the platform. Its methods may be called concurrently.
type Fleet struct {
	cfg FleetConfig
	// mu guards all below, the workers and the judge.
	mu     sync.Mutex
	random *rand.Rand
	// workers has the newest life of each ID, addresses who listens where.
	workers, addresses map[string]*life
	// order keeps the IDs as they were added.
	order       []string
	jobs        map[string]*knownJob
	crews       map[crewKey]*crew
	live        map[workflow.TaskID][]*run
	checkpoints map[string]savedProgress
	presences   map[workflow.TaskID]presence
	tickets     map[string]ticket
	lines       map[string]*adviceLine
	adviceDown  bool
	codes       map[worker.Code]int
	ends        map[worker.ExitStatus]int
	// disrupted is the time of the last change of a fault.
	disrupted time.Time
	judge     *Judge
}

// NewFleet returns a fleet without workers.
func NewFleet(cfg FleetConfig) *Fleet {
	cfg.Limits = cfg.Limits.withDefaults()
	cfg.Latency = orDefault(cfg.Latency, DefaultLatency)
	cfg.ApprovedShare = orDefault(cfg.ApprovedShare, 0.5)
	if cfg.Work == nil {
		cfg.Work = func(workflow.TaskID) Behaviour { return Behaviour{} }
	}
	f := &Fleet{
		cfg:         cfg,
		random:      rand.New(rand.NewPCG(cfg.Seed, 2)),
		workers:     map[string]*life{},
		addresses:   map[string]*life{},
		jobs:        map[string]*knownJob{},
		crews:       map[crewKey]*crew{},
		live:        map[workflow.TaskID][]*run{},
		checkpoints: map[string]savedProgress{},
		presences:   map[workflow.TaskID]presence{},
		tickets:     map[string]ticket{},
		lines:       map[string]*adviceLine{},
		codes:       map[worker.Code]int{},
		ends:        map[worker.ExitStatus]int{},
	}
	f.judge = &Judge{fleet: f, units: map[workflow.TaskID]*unit{}}
	return f
}

// Judge returns the record of breaches.
func (f *Fleet) Judge() *Judge { return f.judge }

// Client returns the workers as a node reaches them.
func (f *Fleet) Client(node string) worker.Client { return &fleetClient{f, node} }

// Add starts a worker.
func (f *Fleet) Add(cfg WorkerConfig) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cfg.Address = orDefault(cfg.Address, cfg.ID+":1")
	if f.workers[cfg.ID] == nil {
		f.order = append(f.order, cfg.ID)
	}
	f.install(cfg, newLink())
}

// install starts a life of a worker.
func (f *Fleet) install(cfg WorkerConfig, l *link) {
	w := newLife(f, cfg, l)
	f.workers[cfg.ID] = w
	f.addresses[cfg.Address] = w
}

// Infos returns the entries of the workers that are up, in the order in which
// they were added.
func (f *Fleet) Infos() []worker.Info {
	f.mu.Lock()
	defer f.mu.Unlock()
	var infos []worker.Info
	for _, id := range f.order {
		if w := f.workers[id]; w.alive {
			infos = append(infos, w.info())
		}
	}
	return infos
}

// Codes returns how many orders were answered with each code.
func (f *Fleet) Codes() map[worker.Code]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	codes := map[worker.Code]int{}
	for c, n := range f.codes {
		codes[c] = n
	}
	return codes
}

// Ends returns how many runs have ended in each way that a worker lists.
func (f *Fleet) Ends() map[worker.ExitStatus]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.ends)
}

// Idle returns the tasks of a job without dependencies that are neither done
// nor running.
func (f *Fleet) Idle(job string) []workflow.TaskID {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.jobs[job]
	if k == nil {
		return nil
	}
	var idle []workflow.TaskID
	for i := range k.job.Steps {
		step := &k.job.Steps[i]
		for index := range step.Count {
			id := workflow.TaskID{StepID: workflow.StepID{Job: job, Step: i}, Index: index}
			if !k.done[unitOf(id, step)] && len(f.live[id]) == 0 {
				idle = append(idle, id)
			}
		}
	}
	return idle
}

// Publish writes the entries of the workers that are up to the log, each
// Heartbeat until the context ends, and drops those of workers that have left
// or were silent for three of them. Nothing is written while the log is down
// for all.
func (f *Fleet) Publish(ctx context.Context, log *Log, encode func(worker.Info) store.Record, p store.Partition) {
	entries := map[string]*entry{}
	for {
		if !log.fault("").down {
			log.Put(p, f.beat(entries, encode)...)
		}
		if !pause(ctx, Heartbeat) {
			return
		}
	}
}

// entry is a worker's entry as it stands in the list.
type entry struct {
	key    string
	missed int
}

func (f *Fleet) beat(entries map[string]*entry, encode func(worker.Info) store.Record) []store.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	var records []store.Record
	for _, id := range f.order {
		w, e := f.workers[id], entries[id]
		if w.alive && !w.link.unlisted {
			r := encode(w.info())
			entries[id] = &entry{key: r.Key}
			records = append(records, r)
			continue
		}
		if e == nil {
			continue
		}
		if e.missed++; e.missed >= missedHeartbeats || w.left {
			records = append(records, store.Record{Key: e.key})
			delete(entries, id)
		}
	}
	return records
}
