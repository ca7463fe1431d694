package dispatch

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// host is the book of one life of a worker.
type host struct {
	info worker.Info
	// life numbers the lives that this core has seen, over all workers.
	life int64
	// listed tells that the worker is in the platform's list.
	listed bool
	// unlistedAt is when a list first lacked it.
	unlistedAt time.Duration
	// inherited hosts may run work of a former holder.
	inherited bool
	// fenced hosts have answered a hold of this holder, so no former one can act there.
	fenced bool
	// engaged tells that the life is recorded in the log as one that may run
	// tasks; engaging that the record is on its way.
	engaged  bool
	engaging bool
	// silence is what the log says of contact with the worker.
	silence silenceRecord
	// free is the capacity less all that runs, may run, or is being stopped.
	free workflow.Size
	runs map[runKey]*run
	// sorted holds the runs in order, or nil since one has come or gone.
	sorted []*run
	// chase tells that orders may have to be sent again.
	chase bool
	// clock is the worker's clock at the local time clockAt, when its last lists
	// came; a lower bound.
	clock   int64
	clockAt time.Duration
	// granted is the latest lease end that was ever sent, on the worker's clock.
	granted int64
	// heardAt is when the last answer came.
	heardAt time.Duration
	// silent counts orders without an answer since then; missed tells of any.
	silent int
	missed bool
	// doubts are starts without an answer that may yet be carried out.
	doubts []doubt
	// absences counts holds in a row that found nothing listening.
	absences int
	// fencedAt is when the first answer under this token came.
	fencedAt time.Duration
	// confirmedAt is when the last hold was sent that was answered under this token.
	confirmedAt time.Duration
	// seen is the number of the last end that was processed; noted of the last
	// one whose effect is in the log.
	seen, noted int64
	toldNoted   int64
	holding     bool
	// heldFor is the wait of the last hold.
	heldFor  time.Duration
	nextHold time.Duration
	// holdFailed tells that the last hold had no lists for an answer, so the
	// worker may have another life since.
	holdFailed bool
	// trip is the smoothed time from an order to its answer, shortest the least
	// one of late; 0 is not known yet.
	trip, shortest time.Duration
	health         health
	// speed is how fast runs end there by their estimates; 0 is not known yet.
	speed float64
	// serving counts the runs with a target of latency; fill is the capacity
	// that fillers there would use.
	serving int
	fill    int64
	// draining is since when the worker drains; 0 is not.
	draining time.Duration
	leavesAt time.Duration
	leaves   bool
	// reserved is the step that the room is kept for.
	reserved      *step
	reservedUntil time.Duration
}

type runKey struct {
	task workflow.TaskID
	run  int64
}

// newHost adds a book for a life of a worker.
func (c *Core) newHost(info worker.Info) *host {
	c.lives++
	h := &host{info: info, life: c.lives, free: info.Capacity, runs: map[runKey]*run{}, heardAt: c.now, unlistedAt: c.now}
	if last, ok := c.lastEnds[info.ID]; ok && info.Born != 0 && last.born == info.Born {
		h.seen, h.noted = last.seen, last.seen // the same life is listed again
	}
	c.hosts[info.ID] = h
	return h
}

func (c *Core) listWorkers(infos []worker.Info) {
	changed := false
	for _, h := range c.hosts {
		if h.listed {
			h.listed, h.unlistedAt = false, c.now
		}
	}
	for _, info := range infos {
		h := c.hosts[info.ID]
		if h != nil && info.Born != 0 && h.info.Born != 0 && info.Born > h.info.Born {
			// What the next life runs is known only by its own lists.
			h.silent = max(h.silent, lostContact)
			h.nextHold = 0
			continue
		}
		if h == nil {
			h = c.newHost(info)
			h.engaged = false
			changed = true
		}
		if info.Born != 0 && info.Born < h.info.Born {
			continue // an entry of an earlier life
		}
		changed = c.updateHost(h, info) || changed
		h.listed = true
	}
	if changed {
		c.sortHosts()
	}
}

// updateHost takes in a list's entry and reports whether placement may change.
func (c *Core) updateHost(h *host, info worker.Info) bool {
	old := h.info
	if info.Capacity != old.Capacity {
		h.free = h.free.Add(info.Capacity.Sub(old.Capacity))
	}
	if info.Draining && h.draining == 0 {
		h.draining = max(c.now, 1)
		c.decide(Decision{Kind: "worker-draining", Worker: info.ID})
	}
	if info.Draining && info.RemainingKnown {
		leavesAt := c.now + info.Remaining
		if !h.leaves || leavesAt < h.leavesAt {
			h.leaves, h.leavesAt = true, leavesAt
		}
	}
	if h.info.Born != 0 && info.Born == 0 {
		info.Born = h.info.Born
	}
	h.info = info
	return info.Pool != old.Pool || info.Capacity != old.Capacity || info.Draining != old.Draining ||
		info.Address != old.Address || !h.listed
}

// inherit takes in a life on which a former holder may have started tasks.
func (c *Core) inherit(e Engagement) {
	h := c.hosts[e.Worker]
	if h == nil {
		h = c.newHost(worker.Info{ID: e.Worker, Address: e.Address, Pool: e.Pool, Born: e.Born})
		c.unsorted = true
	}
	if h.info.Born != 0 && e.Born != 0 && h.info.Born > e.Born {
		return // that life is over
	}
	h.inherited, h.engaged = true, true
	if e.Silent {
		h.silence = silenceTold
		for _, name := range e.Runs {
			c.suspects[name] = h
		}
	}
	h.seen, h.noted = e.Seen, e.Seen
}

// misdirected ends a life at whose address something else answers. That may be
// the worker's next life, which may have taken the newest starts. A life that
// has never answered is another worker's.
func (c *Core) misdirected(h *host) {
	const why = "another life answers at its address"
	if h.clock == 0 {
		c.endLife(h, why)
		return
	}
	listed := h.listed
	next := c.rebirth(h, 0, why)
	next.listed = listed
	// Its clock begins anew.
	next.clockAt, next.granted = c.now, c.set.MaxLease.Milliseconds()
}

// rebirth ends a life and begins the next one of the same worker. Orders to the
// former one that may yet be carried out would reach the next: it is told to
// stop them, and their tasks wait until it has.
func (c *Core) rebirth(h *host, born int64, why string) *host {
	late := h.lateOrders(c.now)
	info := h.info
	info.Born = born
	c.endLife(h, why)
	next := c.newHost(info)
	next.listed = true
	// A life after the next may be there when they come.
	next.doubts = late
	for _, d := range late {
		r := &run{task: d.task, id: d.id, number: d.number, host: next, size: d.size, sentAt: c.now, doubtful: true, load: -1}
		r.pace.percent = fullPace
		if r.task != nil && !r.task.done {
			r.task.runs = append(r.task.runs, r)
		} else {
			r.task = nil
		}
		next.take(r)
		c.stopRun(r, "its start may reach the worker's next life")
	}
	c.sortHosts()
	return next
}

// doubt is a start without an answer that may yet be carried out.
type doubt struct {
	runKey
	id     workflow.TaskID
	number int64
	task   *task
	size   workflow.Size
	at     time.Duration
}

// lateBound is how long after it was sent an order may be carried out.
const lateBound = 15 * time.Second

// recentStart is how long a worker's next life may go unnoticed.
const recentStart = 3 * time.Second

// lateOrders returns the starts that may yet be carried out.
func (h *host) lateOrders(now time.Duration) []doubt {
	var out []doubt
	for _, d := range h.doubts {
		if now-d.at < lateBound {
			out = append(out, d)
		}
	}
	for _, r := range h.sortedRuns() {
		// A start that was answered lately may have been answered by the next life.
		if r.state == starting && r.orderOut && !r.doubtful || !r.doubtful && now-r.sentAt < recentStart {
			out = append(out, r.doubt(now))
		}
	}
	return out
}

func (r *run) doubt(now time.Duration) doubt {
	return doubt{runKey: r.key(), id: r.id, number: r.number, task: r.task, size: r.size, at: now}
}

// remember keeps a start without an answer in mind.
func (h *host) remember(r *run, now time.Duration) {
	kept := h.doubts[:0]
	for _, d := range h.doubts {
		if now-d.at < lateBound && d.runKey != r.key() {
			kept = append(kept, d)
		}
	}
	h.doubts = append(kept, r.doubt(now))
}

// endLife forgets a life of which surely nothing runs any more.
func (c *Core) endLife(h *host, why string) {
	c.lastEnds[h.info.ID] = lastEnd{h.info.Born, h.seen}
	c.decide(Decision{Kind: "worker-gone", Worker: h.info.ID, Reason: why})
	for _, r := range h.sortedRuns() {
		c.loseRun(r, why)
	}
	delete(c.hosts, h.info.ID)
	if h.engaged || h.engaging {
		c.commits.release(h.info.ID)
	}
	c.sortHosts()
}

// lapsesAt returns the local time at which every lease that was ever granted
// there has surely run out.
func (c *Core) lapsesAt(h *host) time.Duration {
	bound := time.Duration(0)
	if h.granted > 0 {
		left := time.Duration(h.granted-h.clock) * time.Millisecond
		bound = h.clockAt + time.Duration(float64(left)/(1-clockDrift)) + lapseSlack
	}
	if h.inherited && !h.fenced {
		from, ok := c.formerEnded()
		if !ok {
			return never
		}
		bound = max(bound, from+c.set.FormerBound)
	}
	return bound
}

// never is later than any time.
const never = time.Duration(1<<63 - 1)

// lapseSlack is added to a lease's end for the rounding of clocks.
const lapseSlack = 150 * time.Millisecond

// lapse frees what ran on workers whose leases have surely run out.
func (c *Core) lapse() {
	for _, h := range c.order {
		if len(h.runs) == 0 && !(h.inherited && !h.fenced) {
			if !h.listed && c.now-h.heardAt > unlistedRetention {
				c.endLife(h, "not listed any more")
				return
			}
			continue
		}
		if c.now < c.lapsesAt(h) {
			continue
		}
		if h.silence != silenceNone && len(h.runs) > 0 {
			c.commits.tell(h)
		}
		if len(h.runs) > 0 {
			c.decide(Decision{Kind: "leases-lapsed", Worker: h.info.ID, Reason: "no contact", Age: c.now - h.heardAt})
		}
		for _, r := range h.sortedRuns() {
			c.loseRun(r, "its lease has lapsed")
		}
		if h.inherited && !h.fenced {
			h.inherited = false
		}
	}
}

// unlistedRetention is how long a worker is kept that is neither listed nor answers.
const unlistedRetention = 20 * time.Second

// lastEnd is the last end that was processed of a life that was forgotten.
type lastEnd struct {
	born, seen int64
}

// usable reports whether new work may be sent there.
func (c *Core) usable(h *host) bool {
	return h.listed && h.fenced && h.engaged && h.draining == 0 && c.evacuations[h.info.ID] == nil && !h.lost() && h.silence == silenceNone &&
		c.now-h.heardAt < contactBound && !h.health.quarantined(c.now)
}

// contactBound is how old the last answer of a worker may be for new work.
const contactBound = 2500 * time.Millisecond

// take books a run, give gives its room back.
func (h *host) take(r *run) {
	h.free = h.free.Sub(r.size)
	r.name = r.id.String()
	h.runs[r.key()] = r
	h.sorted = nil
	h.count(r, 1)
}

func (h *host) count(r *run, n int) {
	if r.task == nil {
		return
	}
	s := r.task.step
	if s.perWorker != nil {
		if s.perWorker[h] += n; s.perWorker[h] <= 0 {
			delete(s.perWorker, h)
		}
	}
	if s.def.TargetMillis > 0 {
		h.serving += n
	}
	if s.def.Filler {
		h.fill += int64(n) * s.def.Size.MilliCPU
	}
}

func (h *host) give(r *run) {
	if h.runs[r.key()] != r {
		return
	}
	h.free = h.free.Add(r.size)
	delete(h.runs, r.key())
	h.sorted = nil
	h.count(r, -1)
}

// sortedRuns returns the runs in order. Callers must not change the slice; it
// stays as it is when runs come or go.
func (h *host) sortedRuns() []*run {
	if h.sorted == nil && len(h.runs) > 0 {
		h.sorted = make([]*run, 0, len(h.runs))
		for _, r := range h.runs {
			h.sorted = append(h.sorted, r)
		}
		sortRuns(h.sorted)
	}
	return h.sorted
}

// clockNow estimates the worker's clock; it is never ahead of the true one by
// more than the drift since the last answer.
func (c *Core) clockNow(h *host) int64 {
	return h.clock + (c.now - h.clockAt).Milliseconds()
}
