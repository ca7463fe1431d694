package measure

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/fakeworker"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// usageLag is how long after its start a task's use is reported.
const usageLag = 10 * time.Second

// workerClock is how far workers' clocks are ahead of the schedulers'.
const workerClock = time.Hour

// worker is a worker of the simulation, which runs tasks for their true time.
type worker struct {
	*fakeworker.Worker
	sim    *simulation
	silent bool
}

// failAfter is how long a task lasts on a worker that fails everything.
const failAfter = time.Millisecond

func (s *simulation) newWorker(w Worker) *worker {
	k := &worker{sim: s}
	k.Worker = fakeworker.New(w.Name, w.Capacity, workerClock-time.Minute, ownership.DefaultTiming(), fakeworker.Hooks{
		Now: func() time.Duration { return s.now + workerClock }, Began: k.began, Ordered: k.ordered, Ended: k.ended,
	})
	s.tasks.Machine(w.Name, w.Capacity)
	return k
}

func (w *worker) began(t *fakeworker.Task, st scheduler.Start) {
	s := w.sim
	truth := s.truth[t.Task]
	s.count(truth.size, 1)
	s.begun(w, t)
	if st.Checkpoint == 0 {
		s.done[t.Task] = 0
	}
	s.started[t.Attempt] = s.now
	t.EndsAt = 0
	switch {
	case w.FailAfter > 0:
		s.after(w.FailAfter, w.Sweep)
	case truth.run > 0:
		left := max(truth.run-s.done[t.Task], 0)
		t.EndsAt, t.Ending = w.Now()+left, scheduler.Succeeded
		s.after(left, w.Sweep)
	}
	t.Use, t.ReportAt = truth.use, w.Now()+usageLag
	s.after(usageLag, w.Sweep)
}

// ordered adds up how long a task ran for its checkpoint.
func (w *worker) ordered(t *fakeworker.Task, kind scheduler.OrderKind) uint64 {
	s := w.sim
	if kind == scheduler.Checkpoint {
		s.done[t.Task] += s.now - s.started[t.Attempt]
	}
	return uint64(max(s.done[t.Task].Milliseconds(), 1))
}

func (w *worker) ended(t *fakeworker.Task) {
	w.sim.count(w.sim.truth[t.Task].size, -1)
	w.sim.tasks.Ended(w.Name, t.Attempt)
	delete(w.sim.started, t.Attempt)
}
