package dispatch

import (
	"iter"
	"math/bits"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// maxSampledRunTimes bounds the run times that are kept of a step's tasks.
const maxSampledRunTimes = 64

// stepTasks holds the tasks of a step. Only those with a state of their own take memory: a task
// without one has never been started, or it is done and has no run left. A step may declare
// thousands of tasks of which a few run at a time.
type stepTasks struct {
	// live holds the tasks with a state, ordered by their indexes.
	live []*task
	// done is the set of tasks that are done, doneCount their number.
	done      indexSet
	doneCount int
	// unstarted is the least index that may be that of a task that was never started.
	unstarted int
	// runTimes are the newest run times of tasks that are done, runTimesSeen counts all.
	runTimes     []time.Duration
	runTimesSeen int
}

// indexSet is a set of indexes that takes no memory while it is empty.
type indexSet []uint64

func (b indexSet) has(i int) bool { return i/64 < len(b) && b[i/64]&(1<<(i%64)) != 0 }

func (b *indexSet) add(i int) {
	if n := i/64 + 1 - len(*b); n > 0 {
		*b = append(*b, make([]uint64, n)...)
	}
	(*b)[i/64] |= 1 << (i % 64)
}

// bitmap returns the set in the form in which it is recorded.
func (b indexSet) bitmap() workflow.Bitmap {
	var out workflow.Bitmap
	for i, word := range b {
		for ; word != 0; word &= word - 1 {
			out.Set(64*i + bits.TrailingZeros64(word))
		}
	}
	return out
}

// count returns how many tasks the step has.
func (s *step) count() int { return s.def.Count }

func (s *step) finished() bool { return s.tasks.doneCount == s.count() }

// search returns the position in live of the task with the index, or where it would be.
func (s *step) search(index int) (at int, found bool) {
	return slices.BinarySearchFunc(s.tasks.live, index, func(t *task, i int) int { return t.index - i })
}

// task returns the task with the index. One without a state of its own is not kept: changes
// to it are lost unless keep is called.
func (s *step) task(index int) *task {
	if at, found := s.search(index); found {
		return s.tasks.live[at]
	}
	return &task{step: s, index: index, done: s.tasks.done.has(index), waitingSince: s.occurrence.waitingSince}
}

// keep keeps the state of a task.
func (c *Core) keep(t *task) {
	s := t.step
	if at, found := s.search(t.index); !found {
		s.tasks.live = slices.Insert(s.tasks.live, at, t)
		c.liveTasks.Hold(s.occurrence.job.def.Account, 1)
		s.occurrence.liveTasks++
	}
}

// release forgets the state of a task without a run that will not be started again.
func (c *Core) release(t *task) {
	s := t.step
	o := s.occurrence
	if len(t.runs) > 0 || !t.done && !o.job.ended() {
		return
	}
	if at, found := s.search(t.index); found && s.tasks.live[at] == t {
		s.tasks.live = slices.Delete(s.tasks.live, at, at+1)
		c.liveTasks.Hold(o.job.def.Account, -1)
		o.liveTasks--
	}
	if o.job.ended() && o.liveTasks == 0 {
		o.job.dropOccurrence(o)
	}
}

// addRun adds a run to its task.
func (c *Core) addRun(t *task, r *run) {
	t.runs = append(t.runs, r)
	c.keep(t)
}

// mayStart reports whether the step may start n more tasks that have no state of their own.
func (c *Core) mayStart(s *step, n int) bool {
	return c.liveTasks.Allows(s.occurrence.job.def.Account, int64(n))
}

// markDone adds a task to those that are done.
func (s *step) markDone(index int) {
	if !s.tasks.done.has(index) {
		s.tasks.done.add(index)
		s.tasks.doneCount++
	}
}

// nextUnstarted returns the least index of a task that was never started, or count.
func (s *step) nextUnstarted() int {
	u := &s.tasks.unstarted
	for *u < s.count() && !s.isUnstarted(*u) {
		*u++
	}
	return *u
}

func (s *step) isUnstarted(index int) bool {
	if s.tasks.done.has(index) {
		return false
	}
	_, live := s.search(index)
	return !live
}

// unstartedCount returns how many tasks were never started.
func (s *step) unstartedCount() int {
	n := s.count() - s.tasks.doneCount
	for _, t := range s.tasks.live {
		if !t.done {
			n--
		}
	}
	return n
}

// unfinished yields the tasks that are not done, in the order of their indexes. Tasks may be
// kept while it runs.
func (s *step) unfinished() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for i := 0; i < s.count(); i++ {
			if at, live := s.search(i); !live && s.nextUnstarted() > i {
				// All tasks up to the next live or unstarted one are done.
				i = s.nextUnstarted()
				if at < len(s.tasks.live) {
					i = min(i, s.tasks.live[at].index)
				}
				if i == s.count() {
					return
				}
			}
			if t := s.task(i); !t.done && !yield(t) {
				return
			}
		}
	}
}

// started yields the tasks that are not done and have a state of their own.
func (s *step) started() iter.Seq[*task] {
	live := slices.Clone(s.tasks.live)
	return func(yield func(*task) bool) {
		for _, t := range live {
			if !t.done && !yield(t) {
				return
			}
		}
	}
}

// liveRuns returns the runs of all tasks of the step.
func (s *step) liveRuns() []*run {
	var out []*run
	for _, t := range s.tasks.live {
		out = append(out, t.runs...)
	}
	return out
}

// withRuns returns how many tasks have runs.
func (s *step) withRuns() int {
	n := 0
	for _, t := range s.tasks.live {
		if len(t.runs) > 0 {
			n++
		}
	}
	return n
}

// sampleRunTime keeps the run time of a task that is done.
func (s *step) sampleRunTime(d time.Duration) {
	if len(s.tasks.runTimes) < maxSampledRunTimes {
		s.tasks.runTimes = append(s.tasks.runTimes, d)
	} else {
		s.tasks.runTimes[s.tasks.runTimesSeen%maxSampledRunTimes] = d
	}
	s.tasks.runTimesSeen++
}
