package dispatch

import (
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// place starts waiting tasks, the most urgent first.
func (c *Core) place() {
	if !c.mayOrder() || c.now < c.nextPass() {
		return
	}
	c.placedAt = c.now
	c.adjustWindow()
	c.round++
	c.sortWaiting()
	c.countWaiting()
	for _, h := range c.order {
		if h.reserved != nil && (c.now >= h.reservedUntil || !h.reserved.queued) {
			h.reserved = nil
		}
	}
	fresh := map[string]int{}
	kept := c.waiting[:0]
	for _, s := range c.waiting {
		if c.looksAt(s) && c.placeStep(s, fresh) {
			s.queued = false
			continue
		}
		c.tellWait(s)
		kept = append(kept, s)
	}
	for i := len(kept); i < len(c.waiting); i++ {
		c.waiting[i] = nil
	}
	c.waiting = kept
	c.dirty = !c.window.open()
	c.askInTurn()
}

// nextPass is when the next pass is due. Changes that come close together share
// a pass, whose cost grows with the number of waiting steps.
func (c *Core) nextPass() time.Duration {
	switch {
	case c.placedAt == 0:
		return 0
	case c.dirty && c.late():
		return c.placedAt + latePassGap
	case c.dirty:
		return c.placedAt + passGap
	}
	return c.placedAt + placeEvery
}

// PassDue returns when a pass that was put off is due, and false if none was.
func (c *Core) PassDue() (time.Duration, bool) {
	return c.nextPass(), c.dirty && !c.stopped && len(c.waiting) > 0 && c.mayOrder()
}

// line counts a pool's waiting steps within one pass.
type line struct {
	// waiting is how many there are, seen how many were passed in order.
	waiting, seen int
	// from is where the next part of a long line begins.
	from int
}

// countWaiting counts the waiting steps of each pool. Of a long line only the
// head and a part of the rest, in turn, are looked at in one pass, so that a
// pass stays short however much waits.
func (c *Core) countWaiting() {
	for _, l := range c.lines {
		if l.from += linePart; l.from >= l.waiting {
			l.from = lineHead
		}
		l.waiting, l.seen = 0, 0
	}
	for _, s := range c.waiting {
		c.lineOf(s).waiting++
	}
}

func (c *Core) lineOf(s *step) *line {
	pool := s.occ.job.queue.Pool
	l := c.lines[pool]
	if l == nil {
		l = &line{from: lineHead}
		c.lines[pool] = l
	}
	return l
}

// looksAt reports whether a waiting step's turn has come in this pass.
func (c *Core) looksAt(s *step) bool {
	l := c.lineOf(s)
	i := l.seen
	l.seen++
	return l.waiting <= lineHead+linePart || i < lineHead || i >= l.from && i < l.from+linePart ||
		s.occ.job.over() || s.finished()
}

const (
	// placeEvery is how often a pass is made when nothing has changed.
	placeEvery = 50 * time.Millisecond
	// passGap is the least time between two passes, latePassGap the same while
	// workers' answers are late.
	passGap     = 10 * time.Millisecond
	latePassGap = 25 * time.Millisecond
	// lastingPatience is how long a task that lasts waits for room behind more urgent work.
	lastingPatience = time.Second
	// lineHead and linePart bound the waiting steps of a pool that are looked at in one pass.
	lineHead, linePart = 24, 16
)

func (c *Core) sortWaiting() {
	for _, s := range c.waiting {
		s.overdue = c.isOverdue(s)
	}
	sort.SliceStable(c.waiting, func(a, b int) bool {
		if c.waiting[a].overdue != c.waiting[b].overdue {
			return c.waiting[a].overdue
		}
		x, y := c.waiting[a].occ.job, c.waiting[b].occ.job
		if lx, ly := c.hopeless(x), c.hopeless(y); lx != ly {
			return ly
		}
		if x.queue.Priority != y.queue.Priority {
			return x.queue.Priority < y.queue.Priority
		}
		if x.objective != y.objective {
			return x.objective < y.objective
		}
		return x.offset < y.offset
	})
}

// isOverdue reports whether a task that lasts has waited for so long that it
// goes before all finite work.
func (c *Core) isOverdue(s *step) bool {
	if !s.def.LongRunning {
		return false
	}
	for i := range s.tasks {
		if t := &s.tasks[i]; t.waits(c.now) && c.waited(t) > lastingPatience {
			return true
		}
	}
	return false
}

// hopeless reports whether the job can't be of use in time any more.
func (c *Core) hopeless(j *job) bool {
	return j.known && j.def.Times == 0 && !j.def.LongRunning() && c.wall > j.horizon
}

// placeStep starts what it can of a step and reports whether nothing waits any more.
func (c *Core) placeStep(s *step, fresh map[string]int) bool {
	j := s.occ.job
	if j.over() || s.finished() {
		return true
	}
	if !j.known || (c.barrier && c.isFormer(j)) {
		return false
	}
	var left bool
	if s.def.Gang {
		left = !c.placeGang(s)
	} else {
		left = c.placeTasks(s)
	}
	if left {
		c.keepAsking(s, fresh)
		c.preempt(s)
	}
	return !left
}

// placeTasks starts single tasks and reports whether some still wait.
func (c *Core) placeTasks(s *step) bool {
	left, full := false, false
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || len(t.runs) > 0 && !t.stoppingOnly() {
			continue
		}
		if full || !t.waits(c.now) || c.suspected(t) || !c.window.open() {
			left = true
			continue
		}
		h := c.pick(t, nil)
		if h == nil {
			left, full = true, c.now >= t.avoidUntil
			continue
		}
		tk, _ := c.ticketFor(s, h)
		c.start(t, h, c.nextRun(t), tk)
	}
	return left
}

// stoppingOnly reports whether all live runs of the task are being stopped.
func (t *task) stoppingOnly() bool {
	for _, r := range t.runs {
		if r.state != stopping {
			return false
		}
	}
	return true
}

// keepAsking asks for tickets where there is room, and ahead for the first
// steps of a pool.
func (c *Core) keepAsking(s *step, fresh map[string]int) {
	if s.occ.job.queue.Advice == nil {
		return
	}
	size := s.def.Counted()
	room := func(h *host) bool { return size.Within(h.free) && c.usable(h) }
	pool := s.occ.job.queue.Pool
	if fresh[pool] < freshSteps {
		fresh[pool]++
		room = always
	}
	c.asks = append(c.asks, question{s, room})
}

// pick returns the best worker for the task among those allowed, or nil.
func (c *Core) pick(t *task, in func(*host) bool) *host {
	s := t.step
	size := s.def.Counted()
	var best *host
	top := 0.0
	all, found := c.candidates(s), 0
	first := 0
	if len(all) > sampleSize {
		first = c.pickFrom % len(all)
	}
	for i := range all {
		h := all[(first+i)%len(all)]
		if !size.Within(h.free) || in != nil && !in(h) || !c.feasible(t, h) {
			continue
		}
		if found++; found > sampleSize {
			c.pickFrom = (first + i) % len(all)
			break
		}
		if score := c.score(t, h, size); best == nil || score > top {
			best, top = h, score
		}
	}
	if best != nil && c.betterNear(t, best) {
		return nil
	}
	return best
}

// betterNear reports whether the task had better wait for a worker near its
// data than run on this one: for a part of the time that it would lose.
func (c *Core) betterNear(t *task, h *host) bool {
	s := t.step
	if s.def.Rack == "" || h.info.Rack() == s.def.Rack || c.waited(t) > c.remoteLoss(s) {
		return false
	}
	for _, x := range c.pools[s.occ.job.queue.Pool] {
		if x.info.Rack() == s.def.Rack && c.usable(x) && c.suits(s, x) && s.mayRun(x) {
			return true
		}
	}
	return false
}

// remoteLoss is how long a task waits at most for a worker near its data or its gang.
func (c *Core) remoteLoss(s *step) time.Duration {
	return time.Duration(nearPatience * (c.set.RemoteFactor - 1) * float64(s.def.EstimateMillis) * float64(time.Millisecond))
}

// mayRun reports whether the policy allows the worker, as far as it has said.
func (s *step) mayRun(h *host) bool {
	return s.occ.job.queue.Advice == nil || s.advice.allowed[h.info.ID]
}

// feasible checks of a candidate what starts in the same round may change, and
// what the task asks.
func (c *Core) feasible(t *task, h *host) bool {
	s := t.step
	if s.perWorker != nil && s.perWorker[h] >= s.def.MostPerWorker {
		return false
	}
	if h.reserved != nil && h.reserved != s && (h.reserved.overdue || h.reserved.occ.job.queue.Priority <= s.occ.job.queue.Priority) {
		return false
	}
	if h.health.probing && len(h.runs) > 0 {
		return false
	}
	return t.avoid != h || c.now >= t.avoidUntil
}

// candidates returns the workers that may take tasks of the step now, but for
// what each task asks. They are worked out once a round, in which no room becomes
// free: most workers of a pool that is in demand are left out for want of room,
// before anything dearer is looked at.
func (c *Core) candidates(s *step) []*host {
	if s.candidatesOf == c.round {
		return s.candidates
	}
	s.candidatesOf, s.candidates = c.round, s.candidates[:0]
	size := s.def.Counted()
	for _, h := range c.pools[s.occ.job.queue.Pool] {
		if !size.Within(h.free) || !c.usable(h) || !h.hasLabel(s.def.Requires) {
			continue
		}
		if _, ok := c.ticketFor(s, h); ok {
			s.candidates = append(s.candidates, h)
		}
	}
	return s.candidates
}

const (
	// sampleSize bounds the feasible workers that are compared for one task, so
	// that a decision's time doesn't grow with the pool.
	sampleSize = 64
	// remoteWeight is how much a worker away from the data counts less.
	remoteWeight = 10
	// avoidWeight is how much the worker on which the task failed last counts less.
	avoidWeight = 20
	// nearPatience is the part of the time lost away from the data that a task
	// may wait for a worker near it.
	nearPatience = 0.6
	// speedWeight is how much a worker's speed counts.
	speedWeight = 1.0
	// servingWeight is how much each serving task on a worker counts against a filler.
	servingWeight = 0.5
)

// score rates a worker that fits; higher is better. Finite work is packed
// tightly; fillers and serving tasks are spread away from each other.
func (c *Core) score(t *task, h *host, size workflow.Size) float64 {
	s := t.step
	score := 0.0
	if t.avoid == h {
		score -= avoidWeight
	}
	if s.def.Rack != "" && h.info.Rack() != s.def.Rack {
		score -= remoteWeight
	}
	unused := ratio(h.free.MilliCPU-h.fill, h.info.Capacity.MilliCPU)
	switch {
	case s.def.Filler:
		return score + unused - servingWeight*float64(h.serving)
	case s.def.TargetMillis > 0:
		return score + unused - servingWeight*ratio(h.fill, h.info.Capacity.MilliCPU)
	}
	if h.speed > 0 {
		score += speedWeight * min(h.speed, 1.5)
	}
	left := h.free.Sub(size)
	if h.info.Capacity.Accelerators > 0 {
		score -= 4 * ratio(left.Accelerators, h.info.Capacity.Accelerators)
	}
	return score - ratio(left.MilliCPU, h.info.Capacity.MilliCPU) - ratio(left.MemoryMiB, h.info.Capacity.MemoryMiB)
}

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
