package emulator

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	// maxRecordedMillis and recordedFigures are of the histograms of times.
	maxRecordedMillis = int64(24 * time.Hour / time.Millisecond)
	recordedFigures   = 3
	// awaitInterval is how often Await looks.
	awaitInterval = 100 * time.Millisecond
	// retryDelay is how long a caller waits before it hands a job in again.
	retryDelay = time.Second
)

// Between is a range of whole numbers, both ends included.
type Between struct{ Least, Most int64 }

func (b Between) draw(r *rand.Rand) int64 {
	if b.Most <= b.Least {
		return b.Least
	}
	return b.Least + r.Int64N(b.Most-b.Least+1)
}

// Mix is a kind of job of a load. The shares are from 0 to 1.
type Mix struct {
	Queue workflow.Queue
	// Weight is how many jobs are of the kind, relative to the others.
	Weight float64
	// Steps is of a job, Width of a step's tasks, EstimateMillis of a task.
	Steps, Width, EstimateMillis Between
	// Sizes are what a step's tasks take; one is drawn for each step.
	Sizes []workflow.Size
	// Gang and Checkpointing are shares of the steps, which depend on the one
	// before them.
	Gang, Checkpointing float64
	// LongRunning is the share of jobs that last; they have one step.
	LongRunning float64
	// Cancel is the share of the jobs that are cancelled; all that last are.
	Cancel float64
	// CancelAfterMillis is when, counted from the acceptance.
	CancelAfterMillis Between
}

// LoadConfig sets a load up.
type LoadConfig struct {
	Seed uint64
	// Rate is jobs per second, over Duration.
	Rate     float64
	Duration time.Duration
	Mixes    []Mix
	// Fleet learns of each job before it is handed in, and of what became of it.
	Fleet *Fleet
	// Retries is how often a job of unknown outcome is handed in again.
	Retries int
	// Submit hands a job in. Unknown means that no answer came.
	Submit func(ctx context.Context, q *workflow.Queue, job workflow.Job) (accepted, unknown bool)
	// Cancel cancels a job and reports whether that was acknowledged; nil
	// cancels none.
	Cancel func(ctx context.Context, q *workflow.Queue, id string) bool
}

// Load generates jobs and keeps what became of them. The jobs depend on the
// seed only. Its methods may be called concurrently.
type Load struct {
	cfg    LoadConfig
	random *rand.Rand
	// mu guards what follows.
	mu   sync.Mutex
	jobs []*loadJob
}

type outcome int

const (
	outcomeOpen outcome = iota
	outcomeAccepted
	outcomeRefused
	outcomeUnknown
)

// loadJob is a job with its plan, and how it went.
type loadJob struct {
	queue *workflow.Queue
	job   workflow.Job
	// cancelAfter is 0 for a job that isn't to be cancelled.
	cancelAfter time.Duration
	sent        time.Time
	outcome     outcome
	cancelled   bool
}

// NewLoad returns a load that hasn't begun.
func NewLoad(cfg LoadConfig) *Load {
	return &Load{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 3))}
}

// Run hands jobs in for the load's duration, and returns when all are answered
// and the cancels are sent, or the context has ended.
func (l *Load) Run(ctx context.Context) {
	var callers sync.WaitGroup
	defer callers.Wait()
	for end := time.Now().Add(l.cfg.Duration); ; {
		gap := time.Duration(l.random.ExpFloat64() / l.cfg.Rate * float64(time.Second))
		if time.Until(end) < gap || !pause(ctx, gap) {
			return
		}
		j := l.next()
		callers.Go(func() { l.drive(ctx, j) })
	}
}

// next draws a job.
func (l *Load) next() *loadJob {
	m := l.mix()
	j := &loadJob{queue: &m.Queue, job: workflow.Job{
		ID:    fmt.Sprintf("%016x", l.random.Uint64()),
		Queue: m.Queue.Name,
		Spec:  fmt.Sprintf("spec %016x", l.random.Uint64()),
	}}
	lasting := l.random.Float64() < m.LongRunning
	steps := max(1, m.Steps.draw(l.random))
	if lasting {
		steps = 1
	}
	for i := range int(steps) {
		j.job.Steps = append(j.job.Steps, l.step(m, i, lasting))
	}
	if l.random.Float64() < m.Cancel || lasting {
		j.cancelAfter = max(time.Millisecond, time.Duration(m.CancelAfterMillis.draw(l.random))*time.Millisecond)
	}
	return j
}

func (l *Load) mix() *Mix {
	sum := 0.0
	for i := range l.cfg.Mixes {
		sum += l.cfg.Mixes[i].Weight
	}
	x := l.random.Float64() * sum
	for i := range l.cfg.Mixes {
		if x -= l.cfg.Mixes[i].Weight; x < 0 {
			return &l.cfg.Mixes[i]
		}
	}
	return &l.cfg.Mixes[len(l.cfg.Mixes)-1]
}

func (l *Load) step(m *Mix, number int, lasting bool) workflow.Step {
	s := workflow.Step{
		Count:          int(max(1, m.Width.draw(l.random))),
		EstimateMillis: m.EstimateMillis.draw(l.random),
		Gang:           l.random.Float64() < m.Gang,
		Checkpointing:  l.random.Float64() < m.Checkpointing,
		LongRunning:    lasting,
	}
	if len(m.Sizes) > 0 {
		s.Size = m.Sizes[l.random.IntN(len(m.Sizes))]
	}
	if number > 0 {
		s.DependsOn = []int{number - 1}
	}
	return s
}

// drive is a caller: it hands a job in, and cancels it if that is planned.
func (l *Load) drive(ctx context.Context, j *loadJob) {
	j.sent = time.Now()
	l.mu.Lock()
	l.jobs = append(l.jobs, j)
	l.mu.Unlock()
	l.cfg.Fleet.Know(&j.job, j.queue.Pool, j.queue.Attempts)
	result := l.submit(ctx, j)
	if result == outcomeRefused {
		l.cfg.Fleet.Refused(j.job.ID)
	}
	l.mu.Lock()
	j.outcome = result
	l.mu.Unlock()
	if result != outcomeAccepted || j.cancelAfter == 0 || l.cfg.Cancel == nil || !pause(ctx, j.cancelAfter) {
		return
	}
	// What happens to the job from here on counts as cancelled.
	l.mu.Lock()
	j.cancelled = true
	l.mu.Unlock()
	for !l.cfg.Cancel(ctx, j.queue, j.job.ID) {
		if !pause(ctx, retryDelay) {
			return
		}
	}
	l.cfg.Fleet.Cancelled(j.job.ID)
}

// submit hands a job in until it is answered. It is refused only if all
// attempts were; one that got no answer may have been taken.
func (l *Load) submit(ctx context.Context, j *loadJob) outcome {
	lost := false
	for attempt := 0; ; attempt++ {
		accepted, unknown := l.cfg.Submit(ctx, j.queue, j.job)
		lost = lost || unknown
		switch {
		case accepted:
			return outcomeAccepted
		case !unknown && !lost:
			return outcomeRefused
		case attempt >= l.cfg.Retries || !pause(ctx, retryDelay):
			return outcomeUnknown
		}
	}
}

// Accepted returns the jobs that were accepted, by ID.
func (l *Load) Accepted() []workflow.Job {
	l.mu.Lock()
	defer l.mu.Unlock()
	var jobs []workflow.Job
	for _, j := range l.jobs {
		if j.outcome == outcomeAccepted {
			jobs = append(jobs, j.job)
		}
	}
	slices.SortFunc(jobs, func(a, b workflow.Job) int { return cmp.Compare(a.ID, b.ID) })
	return jobs
}

// Await waits until each accepted job that isn't cancelled has finished or
// failed. It returns the context's error if that ends first.
func (l *Load) Await(ctx context.Context) error {
	for {
		if !l.open() {
			return nil
		}
		if !pause(ctx, awaitInterval) {
			return ctx.Err()
		}
	}
}

// open reports whether an accepted job has yet to end.
func (l *Load) open() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.jobs, func(j *loadJob) bool {
		p, _ := l.cfg.Fleet.Progress(j.job.ID)
		return j.outcome == outcomeAccepted && !j.cancelled && p.Finished.IsZero() && !p.Failed
	})
}

// LoadReport tells how a load went.
type LoadReport struct {
	// Submitted jobs were handed in; each that is answered for good is Accepted,
	// Refused or Unknown.
	Submitted, Accepted, Refused, Unknown int
	// Each accepted job is Cancelled, Finished, Failed or Open.
	Cancelled, Finished, Failed, Open int
	// Wait is from the first send to the first start, Total to the last done
	// end, in milliseconds; of the finished jobs.
	Wait, Total *hdrhistogram.Histogram
}

func (r LoadReport) String() string {
	return fmt.Sprintf("submitted %d: accepted %d, refused %d, unknown %d; finished %d, failed %d, cancelled %d, open %d; wait p50 %d ms p99 %d ms, total p50 %d ms p99 %d ms",
		r.Submitted, r.Accepted, r.Refused, r.Unknown, r.Finished, r.Failed, r.Cancelled, r.Open,
		r.Wait.ValueAtQuantile(50), r.Wait.ValueAtQuantile(99), r.Total.ValueAtQuantile(50), r.Total.ValueAtQuantile(99))
}

// Report tells how the load went so far, by what the workers did.
func (l *Load) Report() LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := LoadReport{
		Submitted: len(l.jobs),
		Wait:      hdrhistogram.New(1, maxRecordedMillis, recordedFigures),
		Total:     hdrhistogram.New(1, maxRecordedMillis, recordedFigures),
	}
	for _, j := range l.jobs {
		switch j.outcome {
		case outcomeAccepted:
			r.Accepted++
			r.add(j, l.cfg.Fleet)
		case outcomeRefused:
			r.Refused++
		case outcomeUnknown:
			r.Unknown++
		}
	}
	return r
}

func (r *LoadReport) add(j *loadJob, f *Fleet) {
	switch p, _ := f.Progress(j.job.ID); {
	case j.cancelled:
		r.Cancelled++
	case !p.Finished.IsZero():
		r.Finished++
		// A time beyond the histogram's range is left out; none is a day long.
		_ = r.Wait.RecordValue(p.Started.Sub(j.sent).Milliseconds())
		_ = r.Total.RecordValue(p.Finished.Sub(j.sent).Milliseconds())
	case p.Failed:
		r.Failed++
	default:
		r.Open++
	}
}
