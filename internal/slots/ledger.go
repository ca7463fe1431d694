// Package slots divides the slots of a domain's runners among the domain's
// entries. The ledger is kept by the scheduler that holds the domain's term;
// it reads no clock and does no I/O. A Ledger isn't safe for concurrent use.
//
// For every runner the ledger counts, for each entry process, the most that the
// process may believe it was granted or still holds. The counts and what an
// earlier holder of the term may have granted never add up to more than the
// runner has. docs/design/routing.md gives the argument.
package slots

import (
	"slices"
	"strings"
	"time"
)

// PerRunner is how many requests a runner serves at once.
const PerRunner = 8

// Timing holds the durations that entries and schedulers must agree on.
type Timing struct {
	// Lease is how long an entry may fill granted slots, from the query that
	// brought the grant.
	Lease time.Duration
	// Longest bounds the time from a request's send to its end at a runner.
	Longest time.Duration
	// DriftPerMille bounds the difference in rate between two clocks.
	DriftPerMille int64
}

// Silent is how long after its last word from the ledger an entry process
// surely holds nothing any more.
func (t Timing) Silent() time.Duration {
	d := t.Lease + t.Longest
	return d + d*time.Duration(t.DriftPerMille)/1000
}

// Runner is a runner whose slots are to be divided.
type Runner struct {
	Attempt uint64
	Service string
	// Fresh runners were started in the present term, so that nobody else can
	// have granted their slots.
	Fresh bool
	// Leaving runners are granted to nobody: what was granted is taken back.
	Leaving bool
}

// Held is what an entry reports of one runner.
type Held struct {
	Attempt uint64
	// Slots is the grant as the entry has applied it, Busy the slots in use.
	Slots, Busy int
}

// Report is an entry's query.
type Report struct {
	Host string
	// Holder names the entry's process.
	Holder string
	// Sequence numbers the queries of one process; a late one is ignored.
	Sequence int64
	// Applied is the serial of the last reply that the entry has applied.
	Applied int64
	Leaving bool
	Held    []Held
	// Demands is how many slots of each service the entry could use.
	Demands map[string]int
}

// Ledger is the division of one term.
type Ledger struct {
	timing Timing
	// began is when the term began, as local time.
	began time.Duration
	// epoch is below the serials of this ledger and above those of earlier ones.
	epoch   int64
	runners map[uint64]*runner
	order   []*runner
	holders map[string]*holder
	// current holds the newest process of each entry host.
	current map[string]*holder
	// parties are the entries that slots are divided among, as last worked out.
	parties []*holder
}

// runner is a runner's account.
type runner struct {
	Runner
	listed bool
	// unknown counts the slots that an earlier holder of the term may have
	// granted to entries that have not reported them.
	unknown int
	targets map[*holder]int
}

// holder is the account of one entry process.
type holder struct {
	host, name string
	serial     int64
	sequence   int64
	reportedAt time.Duration
	// repliedAt is when the process last got a reply; its lease began no later.
	repliedAt time.Duration
	leaving   bool
	demands   map[string]int
	grants    map[uint64]*grant
}

// grant is what one process may believe of one runner.
type grant struct {
	// sent is the newest grant, bound the largest that may still be believed.
	sent, bound int
	busy        int
}

func (g *grant) count() int { return max(g.bound, g.busy) }

// New returns the ledger of a term that began at the given local time. Epochs
// of later ledgers must be far larger.
func New(t Timing, began time.Duration, epoch int64) *Ledger {
	return &Ledger{
		timing:  t,
		began:   began,
		epoch:   epoch,
		runners: map[uint64]*runner{},
		holders: map[string]*holder{},
		current: map[string]*holder{},
	}
}

// SetRunners takes over the domain's runners.
func (l *Ledger) SetRunners(now time.Duration, list []Runner) {
	for _, r := range l.runners {
		r.listed = false
	}
	for _, d := range list {
		r := l.runner(d.Attempt)
		if d.Fresh {
			r.unknown = 0
		}
		r.Runner, r.listed = d, true
	}
	l.drop()
	l.order = l.order[:0]
	for _, r := range l.runners {
		if r.listed {
			l.order = append(l.order, r)
		}
	}
	slices.SortFunc(l.order, func(a, b *runner) int {
		if c := strings.Compare(a.Service, b.Service); c != 0 {
			return c
		}
		if a.Attempt < b.Attempt {
			return -1
		}
		return 1
	})
	l.divide(now)
}

func (l *Ledger) runner(attempt uint64) *runner {
	r := l.runners[attempt]
	if r == nil {
		r = &runner{Runner: Runner{Attempt: attempt}, unknown: PerRunner, targets: map[*holder]int{}}
		l.runners[attempt] = r
	}
	return r
}

// drop forgets the runners that are gone and on which nobody holds anything.
func (l *Ledger) drop() {
	for a, r := range l.runners {
		if !r.listed && l.counted(a) == 0 {
			delete(l.runners, a)
		}
	}
}

func (l *Ledger) counted(attempt uint64) int {
	sum := 0
	for _, h := range l.holders {
		if g := h.grants[attempt]; g != nil {
			sum += g.count()
		}
	}
	return sum
}

// Standing is what a query came to.
type Standing int

// A query is taken, or ignored: it came after a later one of the same process,
// or from a process whose host has a newer one. One that doesn't name a serial
// of this ledger may be older than the term: it changes nothing, and its sender
// is greeted with a serial to name in the next.
const (
	Taken Standing = iota
	Ignored
	Greeted
)

// Began returns when the ledger's term began.
func (l *Ledger) Began() time.Duration { return l.began }

// Greeting is the serial that a process names in its first query of the term.
func (l *Ledger) Greeting() int64 { return l.epoch + 1 }

// Report takes over what an entry reports.
func (l *Ledger) Report(now time.Duration, rep Report) Standing {
	l.collect(now)
	if rep.Applied <= l.epoch {
		return Greeted
	}
	h := l.holders[rep.Holder]
	if h == nil {
		h = &holder{host: rep.Host, name: rep.Holder, serial: l.Greeting(), grants: map[uint64]*grant{}, demands: map[string]int{}}
		l.holders[rep.Holder] = h
		l.current[rep.Host] = h
	}
	if rep.Sequence <= h.sequence {
		return Ignored
	}
	h.sequence = rep.Sequence
	l.settle(h, rep)
	if l.current[rep.Host] != h {
		return Ignored
	}
	h.reportedAt, h.leaving = now, rep.Leaving
	h.want(rep.Demands)
	l.divide(now)
	return Taken
}

// settle brings a process's account in line with its report.
func (l *Ledger) settle(h *holder, rep Report) {
	reported := make(map[uint64]Held, len(rep.Held))
	for _, held := range rep.Held {
		reported[held.Attempt] = held
		if h.grants[held.Attempt] == nil {
			h.grants[held.Attempt] = &grant{sent: held.Slots}
		}
	}
	for a, g := range h.grants {
		held := reported[a]
		before := g.count()
		if rep.Applied == h.serial {
			g.bound = g.sent
		}
		g.bound, g.busy = max(g.bound, held.Slots), held.Busy
		if extra := g.count() - before; extra > 0 {
			r := l.runner(a)
			r.unknown = max(0, r.unknown-extra)
		}
		if g.count() == 0 {
			delete(h.grants, a)
		}
	}
}

// want keeps a falling demand in mind for some reports, so that short pauses
// move no slots.
func (h *holder) want(demands map[string]int) {
	for s, d := range h.demands {
		h.demands[s] = d * 3 / 4
	}
	for s, d := range demands {
		h.demands[s] = max(h.demands[s], d)
	}
}

// collect forgets the processes that have been silent for so long that they
// surely hold nothing.
func (l *Ledger) collect(now time.Duration) {
	for name, h := range l.holders {
		if now-max(h.repliedAt, h.reportedAt) < l.timing.Silent() {
			continue
		}
		delete(l.holders, name)
		if l.current[h.host] == h {
			delete(l.current, h.host)
		}
	}
}

// free returns how many slots of the runner may be granted to someone new.
func (l *Ledger) free(now time.Duration, r *runner) int {
	unknown := r.unknown
	if now-l.began >= l.timing.Silent() {
		unknown = 0
	}
	return PerRunner - unknown - l.counted(r.Attempt)
}

// Grants returns the slots of an entry process by runner, with a new serial.
// What it returns counts as told to the process.
func (l *Ledger) Grants(now time.Duration, holder string) (map[uint64]int, int64) {
	h := l.holders[holder]
	out := make(map[uint64]int, len(l.order))
	for _, r := range l.order {
		out[r.Attempt] = l.grant(now, h, r)
	}
	h.serial++
	h.repliedAt = now
	return out, h.serial
}

// Former returns how long an earlier process of the holder's host may still send
// under a grant: of this ledger, or of the former term's.
func (l *Ledger) Former(now time.Duration, holder string) time.Duration {
	last := l.began
	for name, h := range l.holders {
		if name != holder && h.host == l.holders[holder].host {
			last = max(last, h.repliedAt)
		}
	}
	return max(0, last+l.timing.Lease+l.timing.Lease*time.Duration(l.timing.DriftPerMille)/1000-now)
}

// Renew takes note that the process's lease is renewed as it stands.
func (l *Ledger) Renew(now time.Duration, holder string) { l.holders[holder].repliedAt = now }

// News reports whether Grants would return something other than the process
// has applied.
func (l *Ledger) News(now time.Duration, holder string, applied int64) bool {
	h := l.holders[holder]
	if applied != h.serial {
		return true
	}
	for _, r := range l.order {
		sent := 0
		if g := h.grants[r.Attempt]; g != nil {
			sent = g.sent
		}
		if l.next(now, h, r) != sent {
			return true
		}
	}
	return false
}

// next returns the grant that the process gets of the runner now.
func (l *Ledger) next(now time.Duration, h *holder, r *runner) int {
	sent, count := 0, 0
	if g := h.grants[r.Attempt]; g != nil {
		sent, count = g.sent, g.count()
	}
	target := r.targets[h]
	if r.Leaving {
		target = 0
	}
	if target == sent {
		return sent
	}
	if target < sent {
		return target
	}
	return max(sent, min(target, count+max(0, l.free(now, r))))
}

func (l *Ledger) grant(now time.Duration, h *holder, r *runner) int {
	n := l.next(now, h, r)
	g := h.grants[r.Attempt]
	if g == nil {
		if n == 0 {
			return 0
		}
		g = &grant{}
		h.grants[r.Attempt] = g
	}
	g.sent, g.bound = n, max(g.bound, n)
	return n
}

// DefaultTiming is what entries and schedulers use.
func DefaultTiming() Timing {
	return Timing{Lease: 10 * time.Second, Longest: time.Minute, DriftPerMille: 5}
}
