package dispatch

import (
	"math"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/runtimes"
)

const (
	// runTimesInterval is the least time between two records of the run times.
	runTimesInterval = 10 * time.Second
	// minLearnedShare is the least share of a task's work that a run must have done to be
	// learned from. In shorter runs, the time for starting counts too much.
	minLearnedShare = 0.25
	// maxSpeedRatio bounds the speed of a worker relative to its pool, by which run times are
	// scaled.
	maxSpeedRatio = 2.0
	// maxLearnedMillis bounds the declared values that are learned from and corrected: those
	// beyond a year are no estimates, and their multiples would exceed a time.Duration.
	maxLearnedMillis = 365 * 24 * 3600 * 1000
	// poolSpeedGain is the weight of the newest run in the speed of a pool.
	poolSpeedGain = 0.1
)

// runTimes is what the leader has learned of how long tasks run.
type runTimes struct {
	// model is nil if run times are taken as declared.
	model *runtimes.Model
	// poolSpeeds holds, by pool, the moving average over runs of their workers' speeds.
	// Workers' speeds are measured by expected times and expected times are learned from
	// runs scaled by speeds. Relative to the pool's, the speeds can't take up an error that
	// all expected times have in common.
	poolSpeeds map[string]float64
	// changed is set if the model has changed since it was last recorded. It isn't recorded
	// before nextRecord.
	changed    bool
	nextRecord time.Duration
}

func newRunTimes(set Settings) runTimes {
	if set.DeclaredRunTimes {
		return runTimes{}
	}
	return runTimes{model: runtimes.New(runtimes.Settings{MaxSnapshotBytes: set.MaxRunTimesBytes}), poolSpeeds: map[string]float64{}}
}

// expectedReasons names the counters of estimates by their source.
var expectedReasons = map[string]string{
	runtimes.SourceDeclared: "expected-declared", runtimes.SourceQueue: "expected-queue",
	runtimes.SourceAccount: "expected-account", runtimes.SourceSpec: "expected-spec",
}

// expectRunTimes sets the run times expected of a job's steps.
func (c *Core) expectRunTimes(j *job) {
	j.expected = make([]int64, len(j.def.Steps))
	for i := range j.def.Steps {
		s := &j.def.Steps[i]
		j.expected[i] = s.EstimateMillis
		if c.runTimes.model == nil || s.LongRunning || s.Filler || s.EstimateMillis > maxLearnedMillis {
			continue
		}
		e := c.runTimes.model.Estimate(j.def.Account, j.def.Queue, j.def.Spec, s.Image, time.Duration(s.EstimateMillis)*time.Millisecond)
		j.expected[i] = e.Expected.Milliseconds()
		c.reasons[expectedReasons[e.Source]]++
	}
	j.criticalPath = j.longestChain()
}

// expectedTime returns how long a task of the step is expected to run: the typical time of its
// tasks, as of the last check of runs, or else what was expected when the job was accepted.
func (c *Core) expectedTime(s *step) time.Duration {
	if c.runTimes.model != nil && s.typical > 0 && !s.def.LongRunning && !s.def.Filler {
		return s.typical
	}
	return time.Duration(s.occurrence.job.expected[s.index]) * time.Millisecond
}

// learnedTime returns the expected time of the step, 0 if it isn't learned.
func (c *Core) learnedTime(s *step) time.Duration {
	if c.runTimes.model == nil || s.def.LongRunning || s.def.Filler {
		return 0
	}
	return c.expectedTime(s)
}

// learnRunTime learns from a run that is done, which did the given share of its task's work.
func (c *Core) learnRunTime(r *run, share float64) {
	s := r.task.step
	if c.runTimes.model == nil || share < minLearnedShare || s.def.LongRunning || s.def.EstimateMillis > maxLearnedMillis || r.pace.percent < fullPace {
		return
	}
	actual := float64(r.task.runTime) * c.runTimes.speedFactor(r.host)
	if s.def.DataRack != "" && r.host.info.Rack() != s.def.DataRack && c.set.RemoteFactor > 1 {
		actual /= c.set.RemoteFactor
	}
	j := s.occurrence.job
	c.runTimes.model.Observe(runtimes.Observation{Account: j.def.Account, Queue: j.def.Queue, Spec: j.def.Spec, Image: s.def.Image,
		Declared: time.Duration(s.def.EstimateMillis) * time.Millisecond, Actual: time.Duration(actual)})
	c.runTimes.changed = true
	c.reasons["run-time-learned"]++
	switch f := actual / float64(max(j.expected[s.index], 1)) / float64(time.Millisecond); {
	case f > 2:
		c.reasons["run-time-over"]++
	case f < 0.5:
		c.reasons["run-time-under"]++
	}
}

// speedFactor returns the factor by which a run time on a worker is scaled to that of its pool:
// the square root of its speed relative to the pool's, 1 if unknown. A worker may run only tasks
// of one kind. Scaling by the whole speed would then keep any error of their expected time, since
// the speed is measured by it; by the root, the error vanishes.
func (t *runTimes) speedFactor(h *host) float64 {
	pool := t.poolSpeeds[h.info.Pool]
	if pool <= 0 || h.speed <= 0 {
		return 1
	}
	return math.Sqrt(min(max(h.speed/pool, 1/maxSpeedRatio), maxSpeedRatio))
}

// updatePoolSpeed updates the speed of a worker's pool after the worker's own has changed.
func (t *runTimes) updatePoolSpeed(h *host) {
	if t.model == nil {
		return
	}
	old, ok := t.poolSpeeds[h.info.Pool]
	if !ok {
		old = 1
	}
	t.poolSpeeds[h.info.Pool] = old + poolSpeedGain*(h.speed-old)
}

// recordRunTimes returns the snapshot that is to be recorded with the next commit, or nil.
func (c *Core) recordRunTimes() []byte {
	t := &c.runTimes
	if t.model == nil || !t.changed || c.now < t.nextRecord {
		return nil
	}
	t.changed, t.nextRecord = false, c.now+runTimesInterval
	return t.model.Snapshot()
}

// mergeRunTimes adds the run times that a previous leader has recorded.
func (c *Core) mergeRunTimes(ev RunTimesRecorded) {
	if c.runTimes.model == nil {
		return
	}
	if err := c.runTimes.model.Merge(ev.Snapshot); err != nil {
		c.reasons["run-times-unreadable"]++
		return
	}
	c.reasons["run-times-merged"]++
}
