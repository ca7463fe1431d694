package emulator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	// vanished is how a run ends that goes with its worker; nobody lists it.
	vanished worker.ExitStatus = ""
	// failDelay is how long a run lasts on a worker where all fail.
	failDelay = 300 * time.Millisecond
	// defaultWork is the work of a task of which nothing is known.
	defaultWork = time.Second
	// workSlack absorbs rounding of progress.
	workSlack = time.Microsecond
	// never is an amount of work that isn't reached.
	never = time.Duration(math.MaxInt64)
)

// run is one start of a task on a life of a worker.
type run struct {
	life   *life
	task   workflow.TaskID
	number int64
	spec   string
	// checkpoint is what the start carried, saved the newest value.
	checkpoint, saved string
	// step is nil for a task that nobody handed in.
	step  *workflow.Step
	crew  *crew
	began time.Time
	// stopAt is when a stop ends, failAt when the worker's fault does it; zero is never.
	stopAt, failAt time.Time
	// pace is a share in percent.
	pace int
	// late is set for an order that was carried out late.
	late bool
	// overdue is set when the judge has found the run too long after its cancelling.
	overdue bool
	// disrupted is set when an order has ended it, or will.
	disrupted bool
}

func countedSize(step *workflow.Step) workflow.Size {
	if step == nil {
		return workflow.Size{}
	}
	return step.ReservedSize()
}

func (r *run) size() workflow.Size { return countedSize(r.step) }

// speed returns how fast the run works for itself; 1 is sound and near its data.
func (r *run) speed() float64 {
	if !r.stopAt.IsZero() || r.life.hung {
		return 0
	}
	s := float64(r.pace) / 100 / r.life.slow
	if r.step != nil && r.step.DataRack != "" && r.step.DataRack != r.life.rack() {
		s /= r.life.fleet.cfg.Limits.RemoteFactor
	}
	return s
}

func (r *run) listed() worker.ActiveRun {
	l := worker.ActiveRun{Task: r.task, Run: r.number, Checkpoint: r.saved, Percent: r.crew.percent()}
	switch {
	case r.step == nil:
		l.Load = -1
	case r.step.TargetLatencyMillis > 0:
		l.Load = orDefault(r.life.fleet.cfg.Work(r.task).Tail, float64(r.step.TargetLatencyMillis)/2)
	case r.crew.complete:
		l.Load = float64(r.step.Size.MilliCPU) * float64(r.pace) / 100
	}
	return l
}

type crewKey struct {
	step   workflow.StepID
	number int64
}

// crew is the runs that make progress together: the members of a gang, or one
// run alone. The fleet's lock guards it.
type crew struct {
	fleet    *Fleet
	key      crewKey
	step     *workflow.Step
	members  []*run
	complete bool
	over     bool
	// work was done until marked, at the rate since; need is all of it, and limit
	// when the crew ends by itself.
	work, need, limit time.Duration
	rate              float64
	marked, ready     time.Time
	// savedWork is what the newest checkpoint holds.
	savedWork time.Duration
	// failing is the member whose own fault ends the crew, nil if all goes well.
	failing *run
	timer   *time.Timer
}

// savedProgress is what a checkpoint stands for.
type savedProgress struct {
	unit workflow.TaskID
	work time.Duration
}

// enlist lets a run work, in its gang if it has one.
func (f *Fleet) enlist(r *run) {
	now := time.Now()
	var c *crew
	key := crewKey{r.task.StepID, r.number}
	gang := r.step != nil && r.step.Gang
	if gang {
		c = f.crews[key]
	}
	if c == nil {
		c = &crew{fleet: f, key: key, step: r.step, marked: now}
		c.timer = time.AfterFunc(time.Hour, c.tick)
		if gang {
			f.crews[key] = c
		}
	}
	r.crew = c
	c.change(func() {
		c.members = append(c.members, r)
		if !c.complete && (!gang || c.present() == r.step.Count) {
			c.commence(now)
		}
	})
}

// present counts the tasks that have a member.
func (c *crew) present() int {
	seen := map[int]bool{}
	for _, m := range c.members {
		seen[m.task.Index] = true
	}
	return len(seen)
}

func (c *crew) lasting() bool { return c.step != nil && c.step.LongRunning }

// commence begins the work once all members are there.
func (c *crew) commence(now time.Time) {
	c.complete, c.ready = true, now
	first := c.members[0]
	ordinal := 0
	unit := unitOf(first.task, c.step)
	if k := c.fleet.jobs[first.task.Job]; k != nil {
		ordinal = k.begun[unit]
		k.begun[unit]++
	}
	for _, m := range c.members {
		c.expect(m, ordinal)
	}
	if first.checkpoint == "" {
		return
	}
	c.ready = now.Add(c.fleet.cfg.Limits.RestoreTime)
	if p, ok := c.fleet.checkpoints[first.checkpoint]; ok && p.unit == unit {
		c.work, c.savedWork = p.work, p.work
	}
}

// expect adds what a member's behaviour asks.
func (c *crew) expect(m *run, ordinal int) {
	b := c.fleet.cfg.Work(m.task)
	if c.lasting() {
		c.need = c.fleet.cfg.Limits.Startup
		limit := never
		if b.FailAfter > 0 {
			limit = c.need + b.FailAfter
		}
		if c.limit == 0 || limit < c.limit {
			c.limit, c.failing = limit, m
		}
		return
	}
	estimate := defaultWork
	if c.step != nil && c.step.EstimateMillis > 0 {
		estimate = time.Duration(c.step.EstimateMillis) * time.Millisecond
	}
	c.need = max(c.need, orDefault(b.Duration, estimate))
	c.limit = c.need
	if c.failing == nil && (b.Fails || ordinal < b.FailFirst) {
		c.failing = m
	}
}

// speed returns the rate of the slowest member; a gang that has to be in one
// rack and isn't works slower.
func (c *crew) speed() float64 {
	if !c.complete {
		return 0
	}
	s := math.Inf(1)
	racks := map[string]bool{}
	for _, m := range c.members {
		s = min(s, m.speed())
		racks[m.life.rack()] = true
	}
	if c.step != nil && c.step.SameRack && len(racks) > 1 {
		s /= c.fleet.cfg.Limits.RemoteFactor
	}
	return s
}

func (c *crew) percent() float64 {
	if c.need == 0 {
		return 0
	}
	return min(100, 100*float64(c.work)/float64(c.need))
}

// advance brings the progress up to date.
func (c *crew) advance(now time.Time) {
	from := c.marked
	if from.Before(c.ready) {
		from = c.ready
	}
	c.marked = now
	if c.rate == 0 || !now.After(from) {
		return
	}
	c.work = min(c.limit, c.work+time.Duration(float64(now.Sub(from))*c.rate))
	interval := c.fleet.cfg.Limits.CheckpointInterval
	if whole := c.work / interval * interval; whole > c.savedWork {
		c.savedWork = whole
		c.save(whole, c.members)
	}
}

// save gives members of a checkpointing crew a new value.
func (c *crew) save(work time.Duration, members []*run) {
	if c.step == nil || !c.step.Checkpointing {
		return
	}
	for _, m := range members {
		m.saved = fmt.Sprintf("%08x%08x", work.Milliseconds(), len(c.fleet.checkpoints)+1)
		c.fleet.checkpoints[m.saved] = savedProgress{unitOf(m.task, c.step), work}
	}
}

// change edits something that the crew's speed or end depends on.
func (c *crew) change(edit func()) {
	now := time.Now()
	c.advance(now)
	edit()
	c.plan(now)
}

// plan sets the timer to the next thing that happens.
func (c *crew) plan(now time.Time) {
	c.rate = c.speed()
	var next time.Time
	consider := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, m := range c.members {
		consider(m.stopAt)
		consider(m.failAt)
		if !c.complete {
			consider(m.began.Add(c.fleet.cfg.Limits.GangTimeout))
		}
	}
	if c.rate > 0 && c.limit != never {
		begin := now
		if begin.Before(c.ready) {
			begin = c.ready
		}
		consider(begin.Add(time.Duration(math.Ceil(float64(c.limit-c.work) / c.rate))))
	}
	c.timer.Stop()
	if !next.IsZero() {
		c.timer.Reset(max(0, next.Sub(now)))
	}
}

// tick does what is due.
func (c *crew) tick() {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if c.over {
		return
	}
	now := time.Now()
	c.advance(now)
	due := func(at func(*run) time.Time) []*run {
		return slices.DeleteFunc(slices.Clone(c.members), func(m *run) bool { t := at(m); return t.IsZero() || t.After(now) })
	}
	if stopped := due(func(m *run) time.Time { return m.stopAt }); len(stopped) > 0 {
		c.finish(worker.Stopped, stopped...)
		return
	}
	if failed := due(func(m *run) time.Time { return m.failAt }); len(failed) > 0 {
		c.finish(worker.Failed, failed...)
		return
	}
	if !c.complete {
		timeout := c.fleet.cfg.Limits.GangTimeout
		if alone := due(func(m *run) time.Time { return m.began.Add(timeout) }); len(alone) > 0 {
			c.fleet.judge.alone(c, alone[0])
			c.finish(worker.GangTimeout, alone...)
			return
		}
	}
	switch {
	case !c.complete || c.limit == never || c.work < c.limit-workSlack:
		c.plan(now)
	case c.failing != nil:
		c.finish(worker.Failed, c.failing)
	default:
		c.finish(worker.Done, c.members...)
	}
}

// finish ends the crew: the given members in the given way, the others as broken.
func (c *crew) finish(how worker.ExitStatus, members ...*run) {
	if c.over {
		return
	}
	c.advance(time.Now())
	c.over = true
	c.timer.Stop()
	if c.fleet.crews[c.key] == c {
		delete(c.fleet.crews, c.key)
	}
	if how == worker.Stopped && c.work > c.savedWork {
		c.save(c.work, members)
	}
	for _, m := range c.members {
		if slices.Contains(members, m) {
			m.end(how)
		} else {
			m.end(worker.GangBroken)
		}
	}
}

// end removes the run and lists its end.
func (r *run) end(how worker.ExitStatus) {
	f := r.life.fleet
	f.judge.leaves(r)
	delete(r.life.runs, runKey{r.task, r.number})
	f.live[r.task] = slices.DeleteFunc(f.live[r.task], func(o *run) bool { return o == r })
	if len(f.live[r.task]) == 0 {
		delete(f.live, r.task)
	}
	if how != vanished && r.life.alive {
		f.ends[how]++
		r.life.list(r, how)
	}
}
