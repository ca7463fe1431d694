package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// The simulation's times.
const (
	warmUp       = 20 * time.Second
	tick         = 100 * time.Millisecond
	oneWayLeast  = 200 * time.Microsecond
	oneWaySpread = 600 * time.Microsecond
	logDelay     = 5 * time.Millisecond
	// drainTime is how long after the trace's length work may still end.
	drainTime = 40 * time.Minute
	// lostReplies is how many of a thousand replies are lost under faults.
	lostReplies = 10
)

// truth is what only the trace knows of a task.
type truth struct {
	at    time.Duration
	run   time.Duration
	size  resource.Vector
	use   resource.Vector
	class Class
}

// simulation runs one domain of a trace.
type simulation struct {
	now     time.Duration
	length  time.Duration
	domain  string
	core    *scheduler.Core
	workers map[string]*fakeWorker
	queue   timeline
	seq     int
	random  *rand.Rand
	faults  bool
	offset  int64
	truth   map[string]truth
	// done is how long a task ran up to its checkpoint.
	done map[string]time.Duration
	// first is when a task first started; running holds where it runs.
	first   map[string]time.Duration
	running map[string]*fakeWorker
	// inUse adds up what tasks take; area is its integral over the trace's length.
	inUse    resource.Vector
	since    time.Duration
	area     [3]float64
	out      *Row
	deadline time.Duration
}

// moment is something that happens at a time.
type moment struct {
	at  time.Duration
	seq int
	do  func()
}

// timeline is a heap of moments.
type timeline []moment

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(moment)) }
func (t *timeline) Pop() any {
	old := *t
	m := old[len(old)-1]
	*t = old[:len(old)-1]
	return m
}

func newSimulation(t *Trace, domain string, row *Row, seed uint64) *simulation {
	s := &simulation{
		length: t.Length, domain: domain, out: row, faults: row.Faults,
		core:    scheduler.New(scheduler.DefaultSettings("entry-"+domain, "1", domain)),
		workers: map[string]*fakeWorker{}, random: rand.New(rand.NewPCG(seed, 2)),
		truth: map[string]truth{}, done: map[string]time.Duration{}, first: map[string]time.Duration{}, running: map[string]*fakeWorker{},
		since: warmUp, deadline: warmUp + t.Length + drainTime,
	}
	d := &configuration.Domain{Name: domain, Entries: []string{"entry-" + domain}}
	var hosts []scheduler.Host
	for _, w := range t.Workers {
		if w.Domain == domain {
			s.workers[w.Name] = &fakeWorker{Worker: w, sim: s, tasks: map[uint64]*fakeTask{}}
			d.Workers = append(d.Workers, w.Name)
			hosts = append(hosts, scheduler.Host{Name: w.Name, Domain: domain, Rack: w.Rack, Address: w.Name})
		}
	}
	s.step(scheduler.HostsRead{Hosts: hosts})
	s.append(configuration.Record{ID: "domain", Ops: []configuration.Op{{Domain: d}}})
	for i, j := range t.Jobs {
		if j.Domain == domain {
			s.arrive(i, j, row.Policy)
		}
	}
	s.after(tick, s.tick)
	if row.Faults {
		s.planFaults(d.Workers)
	}
	return s
}

// arrive has a job declared at its time under the row's policy.
func (s *simulation) arrive(i int, j Job, policy configuration.Policy) {
	j.Spec.Policy = policy
	at := j.At + warmUp
	if j.Spec.Kind == configuration.Service {
		at = 0
	}
	s.after(at, func() {
		e := configuration.Entry[configuration.Workload]{Value: j.Spec, Created: s.offset, Version: s.offset}
		for k, name := range configuration.Tasks(e, s.domain) {
			s.truth[name] = truth{at: s.now, run: j.Run[k], size: j.taken(), use: j.use(), class: Class{j.Spec.Kind, j.Spec.Urgency}}
		}
		s.append(configuration.Record{ID: fmt.Sprint("job", i), Ops: []configuration.Op{{Workload: &j.Spec}}})
	})
}

// planFaults has workers fall silent for a minute and one fail all it starts.
func (s *simulation) planFaults(names []string) {
	for i := range 4 {
		w := s.workers[names[s.random.IntN(len(names))]]
		at := warmUp + s.length*time.Duration(i+1)/6
		s.after(at, func() { w.silent = true })
		s.after(at+time.Minute, func() { w.silent = false })
	}
	w := s.workers[names[s.random.IntN(len(names))]]
	s.after(warmUp+s.length/3, func() { w.fails = true })
	s.after(warmUp+s.length/2, func() { w.fails = false })
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, moment{s.now + d, s.seq, do})
}

func (s *simulation) run() {
	for len(s.queue) > 0 {
		m := heap.Pop(&s.queue).(moment)
		if m.at > s.deadline || s.over() {
			break
		}
		s.now = m.at
		m.do()
	}
	s.finish()
}

// over reports whether the trace's length has passed and all its work has started.
func (s *simulation) over() bool {
	return s.now > warmUp+s.length && len(s.first) == len(s.truth)
}

func (s *simulation) tick() {
	s.step(scheduler.Tick{})
	s.after(tick, s.tick)
}

// append puts a record into the log; the scheduler reads it a little later.
func (s *simulation) append(r configuration.Record) {
	data, err := configuration.Encode(r)
	if err != nil {
		panic(err) // records of the simulation hold nothing that can't be written
	}
	rec := configuration.Numbered{Offset: s.offset, Data: data}
	s.offset++
	s.after(logDelay, func() { s.step(scheduler.LogRead{Records: []configuration.Numbered{rec}}) })
}

func (s *simulation) step(ev scheduler.Event) {
	from := time.Now()
	effects := s.core.Step(s.now, ev)
	s.out.CoreTime += time.Since(from)
	for _, e := range effects {
		switch e := e.(type) {
		case scheduler.WriteWorker:
			s.send(e)
		case scheduler.AppendRecord:
			s.out.Appends++
			s.after(logDelay, func() {
				s.append(e.Record)
				s.step(scheduler.AppendDone{ID: e.Record.ID})
			})
		}
	}
}

func (s *simulation) oneWay() time.Duration {
	return oneWayLeast + time.Duration(s.random.Int64N(int64(oneWaySpread)))
}

// send carries a write to its worker and the reply back.
func (s *simulation) send(eff scheduler.WriteWorker) {
	w := s.workers[eff.Worker]
	if s.now >= warmUp && s.now < warmUp+s.length {
		s.out.Messages++
		s.out.Bytes += requestBytes(eff)
	}
	overdue := func() { s.step(scheduler.WriteFailed{Worker: eff.Worker, Write: eff.Write}) }
	s.after(s.oneWay(), func() {
		if w.silent {
			s.after(time.Second, overdue)
			return
		}
		ev := w.write(eff)
		if s.now >= warmUp && s.now < warmUp+s.length {
			s.out.Messages++
			s.out.Bytes += replyBytes(eff, ev)
		}
		if s.faults && s.random.IntN(1000) < lostReplies {
			s.after(time.Second, overdue)
			return
		}
		s.after(s.oneWay(), func() { s.step(ev) })
	})
}

// begun takes note of a start on a worker and judges it from the outside.
func (s *simulation) begun(w *fakeWorker, t *fakeTask) {
	s.out.Starts++
	if !w.used.Fits(w.Capacity) {
		s.out.breach("%v: %s holds %v of %v", s.now, w.Name, w.used, w.Capacity)
	}
	if other := s.running[t.Task]; other != nil {
		other.lapse(s.now + workerClock)
	}
	if other := s.running[t.Task]; other != nil {
		s.out.breach("%v: %s runs on %s and %s", s.now, t.Task, other.Name, w.Name)
	}
	s.running[t.Task] = w
	if _, again := s.first[t.Task]; again {
		s.out.Restarts++
		return
	}
	s.first[t.Task] = s.now
}

func (s *simulation) ended(w *fakeWorker, t *fakeTask) {
	if s.running[t.Task] == w {
		delete(s.running, t.Task)
	}
}

// count adds what a task takes to, or takes it from, what is in use.
func (s *simulation) count(_ *fakeWorker, size resource.Vector, times int64) {
	s.integrate()
	s.inUse = s.inUse.Add(size.Scale(times))
}

func (s *simulation) integrate() {
	to := min(max(s.now, warmUp), warmUp+s.length)
	d := (to - s.since).Seconds()
	s.area[0] += d * float64(s.inUse.MilliCPU)
	s.area[1] += d * float64(s.inUse.MemoryMiB)
	s.area[2] += d * float64(s.inUse.Accelerators)
	s.since = to
}

// finish adds the domain's results to the row.
func (s *simulation) finish() {
	s.integrate()
	for i := range s.area {
		s.out.area[i] += s.area[i]
	}
	names := make([]string, 0, len(s.truth))
	for name := range s.truth {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		k := s.truth[name]
		if k.class.Kind == configuration.Service {
			continue
		}
		at, started := s.first[name]
		if !started {
			s.out.Unstarted++
			at = s.now
		}
		s.out.wait(k.class, at-k.at)
	}
	for why, n := range s.core.Counters() {
		s.out.Reasons[why] += n
	}
}
