// Package slots distributes the slots of a domain's runners among the domain's
// entries. The scheduler that leads the domain's term owns the Allocator. The
// package reads no clock and does no I/O. An Allocator is not safe for
// concurrent use.
//
// For each runner and entry process the allocator tracks the largest number of
// slots that the process may believe it was granted or still holds. These
// numbers and the slots that a previous leader may have granted never add up to
// more than the runner has. See docs/design/routing.md for the argument.
package slots

import (
	"slices"
	"strings"
	"time"
)

// PerRunner is the number of requests that a runner serves concurrently.
const PerRunner = 8

// Timing holds the durations that entries and schedulers must agree on.
type Timing struct {
	// Lease is how long an entry may fill granted slots, counted from the
	// sending of the query that returned the grant.
	Lease time.Duration
	// MaxRequestTime is the maximum time from a request's send to its end at a
	// runner.
	MaxRequestTime time.Duration
	// DriftPerMille is the maximum difference in rate between two clocks, in
	// thousandths.
	DriftPerMille int64
}

// ReclaimAfter returns the time after the last contact between an entry process
// and the allocator at which the process certainly holds no slot.
func (t Timing) ReclaimAfter() time.Duration {
	d := t.Lease + t.MaxRequestTime
	return d + d*time.Duration(t.DriftPerMille)/1000
}

// Runner is a runner whose slots are distributed.
type Runner struct {
	Attempt uint64
	Service string
	// StartedThisTerm is set for runners started in the current term. No
	// previous leader can have granted their slots.
	StartedThisTerm bool
	// Draining runners are granted to no entry; existing grants are withdrawn.
	Draining bool
}

// SlotUsage is what an entry reports about one runner.
type SlotUsage struct {
	Attempt uint64
	// Slots is the grant that the entry has applied. Busy is the number of
	// slots in use.
	Slots, Busy int
}

// Report is the content of an entry's query.
type Report struct {
	Host string
	// InstanceID identifies the entry's process.
	InstanceID string
	// Sequence increases with each query of a process. A query that arrives
	// after a later one is ignored.
	Sequence int64
	// Applied is the serial of the last reply that the entry has applied.
	Applied  int64
	Draining bool
	Usage    []SlotUsage
	// Demands is the number of slots of each service that the entry could use.
	Demands map[string]int
}

// Allocator distributes the slots during one term.
type Allocator struct {
	timing Timing
	// termStart is the local time at which the term began.
	termStart time.Duration
	// epoch is lower than all serials of this allocator and higher than those
	// of earlier terms.
	epoch int64
	// serial is that of the latest reply to any process.
	serial        int64
	runners       map[uint64]*runner
	listedRunners []*runner
	processes     map[string]*process
	// current holds the newest process of each entry host.
	current map[string]*process
	// participants are the processes that slots were last distributed among.
	participants []*process
}

// runner is the allocation state of a runner.
type runner struct {
	Runner
	listed bool
	// unreported is the number of slots that a previous leader may have granted
	// to entries that have not reported them.
	unreported int
	targets    map[*process]int
}

// process is the allocation state of one entry process.
type process struct {
	host, instanceID string
	serial           int64
	sequence         int64
	// ignoredUpTo is the latest serial at the time the process was first seen,
	// if the process could hold no grant by then; otherwise 0. Grants that the
	// process reports before it has applied a later serial have expired.
	ignoredUpTo int64
	reportedAt  time.Duration
	// repliedAt is when the process last received a reply. Its lease began no
	// later than that.
	repliedAt time.Duration
	draining  bool
	demands   map[string]int
	grants    map[uint64]*grant
}

// grant is the state of one process's grant of one runner.
type grant struct {
	// granted is the latest grant sent. maxHeld is the largest grant that the
	// process may still believe it has.
	granted, maxHeld int
	busy             int
}

func (g *grant) committed() int { return max(g.maxHeld, g.busy) }

// New returns the allocator of a term that began at the given local time. The
// epochs of later allocators must be far larger.
func New(t Timing, termStart time.Duration, epoch int64) *Allocator {
	return &Allocator{
		timing:    t,
		termStart: termStart,
		epoch:     epoch,
		serial:    epoch + 1,
		runners:   map[uint64]*runner{},
		processes: map[string]*process{},
		current:   map[string]*process{},
	}
}

// SetRunners replaces the list of the domain's runners.
func (alloc *Allocator) SetRunners(now time.Duration, list []Runner) {
	for _, r := range alloc.runners {
		r.listed = false
	}
	for _, d := range list {
		r := alloc.runner(d.Attempt)
		if d.StartedThisTerm {
			r.unreported = 0
		}
		r.Runner, r.listed = d, true
	}
	alloc.removeUnlisted()
	alloc.listedRunners = alloc.listedRunners[:0]
	for _, r := range alloc.runners {
		if r.listed {
			alloc.listedRunners = append(alloc.listedRunners, r)
		}
	}
	slices.SortFunc(alloc.listedRunners, func(a, b *runner) int {
		if c := strings.Compare(a.Service, b.Service); c != 0 {
			return c
		}
		if a.Attempt < b.Attempt {
			return -1
		}
		return 1
	})
	alloc.rebalance(now)
}

func (alloc *Allocator) runner(attempt uint64) *runner {
	r := alloc.runners[attempt]
	if r == nil {
		r = &runner{Runner: Runner{Attempt: attempt}, unreported: PerRunner, targets: map[*process]int{}}
		alloc.runners[attempt] = r
	}
	return r
}

// removeUnlisted removes the runners that are no longer listed and on which no
// process has a grant or a request.
func (alloc *Allocator) removeUnlisted() {
	for attempt, r := range alloc.runners {
		if !r.listed && alloc.committed(attempt) == 0 {
			delete(alloc.runners, attempt)
		}
	}
}

func (alloc *Allocator) committed(attempt uint64) int {
	sum := 0
	for _, p := range alloc.processes {
		if g := p.grants[attempt]; g != nil {
			sum += g.committed()
		}
	}
	return sum
}

// ReportStatus is the result of handling a Report.
type ReportStatus int

// A report is accepted, or ignored if a later one of the same process was
// handled or the host has a newer process. A report whose Applied is not a
// serial of this allocator may be older than the term. It changes nothing and
// is out of sync; its sender must report again with FirstSerial.
const (
	ReportAccepted ReportStatus = iota
	ReportIgnored
	ReportOutOfSync
)

// TermStart returns when the allocator's term began.
func (alloc *Allocator) TermStart() time.Duration { return alloc.termStart }

// FirstSerial returns the serial that a process names in its first accepted
// report of the term.
func (alloc *Allocator) FirstSerial() int64 { return alloc.epoch + 1 }

// HandleReport applies an entry's report.
func (alloc *Allocator) HandleReport(now time.Duration, rep Report) ReportStatus {
	alloc.removeExpired(now)
	if rep.Applied <= alloc.epoch {
		return ReportOutOfSync
	}
	p := alloc.processes[rep.InstanceID]
	if p == nil {
		p = alloc.addProcess(now, rep)
	}
	if rep.Sequence <= p.sequence {
		return ReportIgnored
	}
	p.sequence = rep.Sequence
	alloc.reconcile(p, rep)
	if alloc.current[rep.Host] != p {
		return ReportIgnored
	}
	p.reportedAt, p.draining = now, rep.Draining
	p.updateDemands(rep.Demands)
	alloc.rebalance(now)
	return ReportAccepted
}

// addProcess adds the process of a report as the newest of its host.
func (alloc *Allocator) addProcess(now time.Duration, rep Report) *process {
	p := &process{host: rep.Host, instanceID: rep.InstanceID, serial: alloc.FirstSerial(), grants: map[uint64]*grant{}, demands: map[string]int{}}
	if now-alloc.termStart >= alloc.timing.ReclaimAfter() {
		p.ignoredUpTo = alloc.serial
	}
	alloc.processes[rep.InstanceID] = p
	alloc.current[rep.Host] = p
	return p
}

// reconcile updates a process's grants from its report.
func (alloc *Allocator) reconcile(p *process, rep Report) {
	reported := make(map[uint64]SlotUsage, len(rep.Usage))
	for _, usage := range rep.Usage {
		if rep.Applied <= p.ignoredUpTo {
			usage.Slots = 0
		}
		reported[usage.Attempt] = usage
		if p.grants[usage.Attempt] == nil {
			p.grants[usage.Attempt] = &grant{granted: usage.Slots}
		}
	}
	for attempt, g := range p.grants {
		usage := reported[attempt]
		before := g.committed()
		if rep.Applied == p.serial {
			g.maxHeld = g.granted
		}
		g.maxHeld, g.busy = max(g.maxHeld, usage.Slots), usage.Busy
		if extra := g.committed() - before; extra > 0 {
			r := alloc.runner(attempt)
			r.unreported = max(0, r.unreported-extra)
		}
		if g.committed() == 0 {
			delete(p.grants, attempt)
		}
	}
}

// updateDemands applies reported demands. A demand falls by at most a quarter
// per report, so that short pauses do not move slots.
func (p *process) updateDemands(demands map[string]int) {
	for s, d := range p.demands {
		p.demands[s] = d * 3 / 4
	}
	for s, d := range demands {
		p.demands[s] = max(p.demands[s], d)
	}
}

// removeExpired removes the processes without contact for ReclaimAfter, which
// certainly hold no slot.
func (alloc *Allocator) removeExpired(now time.Duration) {
	for name, p := range alloc.processes {
		if now-max(p.repliedAt, p.reportedAt) < alloc.timing.ReclaimAfter() {
			continue
		}
		delete(alloc.processes, name)
		if alloc.current[p.host] == p {
			delete(alloc.current, p.host)
		}
	}
}

// DefaultTiming returns the Timing that entries and schedulers use.
func DefaultTiming() Timing {
	return Timing{Lease: 10 * time.Second, MaxRequestTime: time.Minute, DriftPerMille: 5}
}
