package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mimosaspool/mimosaspool/internal/checker"
	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/fakeworker"
	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
	"github.com/mimosaspool/mimosaspool/internal/timeline"
)

// truth is what only the trace knows of a task.
type truth struct {
	at    time.Duration
	run   time.Duration
	size  resource.Vector
	use   resource.Vector
	class Class
}

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

// simulation runs one domain of a trace.
type simulation struct {
	now     time.Duration
	length  time.Duration
	domain  string
	core    *scheduler.Core
	tenure  fakeworker.Partition
	workers map[string]*worker
	queue   timeline.Queue
	random  *rand.Rand
	faults  bool
	offset  int64
	truth   map[string]truth
	// done is how long a task ran up to its checkpoint.
	done map[string]time.Duration
	// started is when each running attempt began.
	started map[uint64]time.Duration
	// first is when a task first started.
	first map[string]time.Duration
	tasks *checker.Tasks
	// inUse adds up what tasks take; area is its integral over the trace's length.
	inUse    resource.Vector
	since    time.Duration
	area     [3]float64
	out      *Row
	deadline time.Duration
}

func newSimulation(t *Trace, domain string, row *Row, seed uint64) *simulation {
	s := &simulation{
		length: t.Length, domain: domain, out: row, faults: row.Faults,
		core:    scheduler.New(scheduler.DefaultSettings("entry-"+domain, "1", domain)),
		workers: map[string]*worker{}, random: rand.New(rand.NewPCG(seed, 2)),
		truth: map[string]truth{}, done: map[string]time.Duration{}, started: map[uint64]time.Duration{}, first: map[string]time.Duration{}, tasks: checker.NewTasks(),
		since: warmUp, deadline: warmUp + t.Length + drainTime,
	}
	d := &configuration.Domain{Name: domain, Entries: []string{"entry-" + domain}}
	var hosts []scheduler.Host
	for _, w := range t.Workers {
		if w.Domain == domain {
			s.workers[w.Name] = s.newWorker(w)
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
	s.after(warmUp+s.length/3, func() { w.FailAfter = failAfter })
	s.after(warmUp+s.length/2, func() { w.FailAfter = 0 })
}

func (s *simulation) after(d time.Duration, do func()) { s.queue.Schedule(s.now+d, do) }

func (s *simulation) run() {
	for at, ok := s.queue.NextTime(); ok && at <= s.deadline && !s.over(); at, ok = s.queue.NextTime() {
		var do func()
		s.now, do = s.queue.Pop()
		do()
	}
	s.finish()
}

// over reports whether the trace's length has passed and all its work has started.
func (s *simulation) over() bool {
	return s.now > warmUp+s.length && len(s.first) == len(s.truth)
}

func (s *simulation) tick() {
	if !s.core.IsLeader() {
		s.step(s.tenure.Read(0))
	}
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
		case scheduler.AppendTenure:
			s.after(logDelay, func() { s.step(s.tenure.Append(e)) })
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
		s.out.Bytes += int64(proto.Size(platform.WriteRequest(eff)))
	}
	overdue := func() { s.step(scheduler.WriteFailed{Worker: eff.Worker, Write: eff.Write}) }
	s.after(s.oneWay(), func() {
		if w.silent {
			s.after(time.Second, overdue)
			return
		}
		ev := w.Write(eff)
		if s.now >= warmUp && s.now < warmUp+s.length {
			s.out.Messages++
			s.out.Bytes += int64(proto.Size(fakeworker.Encode(ev)))
		}
		if s.faults && s.random.IntN(1000) < lostReplies {
			s.after(time.Second, overdue)
			return
		}
		s.after(s.oneWay(), func() { s.step(ev) })
	})
}

// begun takes note of a start on a worker and has it judged from the outside.
func (s *simulation) begun(w *worker, t *fakeworker.Task) {
	s.out.Starts++
	for _, other := range s.tasks.On(t.Task) {
		s.workers[other].Sweep()
	}
	s.tasks.Started(s.now, w.Name, t.Task, t.Attempt, t.Size)
	if _, again := s.first[t.Task]; again {
		s.out.Restarts++
		return
	}
	s.first[t.Task] = s.now
}

// count adds what a task takes to, or takes it from, what is in use.
func (s *simulation) count(size resource.Vector, times int64) {
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
	s.out.breach(s.tasks.Breaches)
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
