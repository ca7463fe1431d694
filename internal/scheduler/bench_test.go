package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// cell is a core with workers that reply at once and obey every write.
type cell struct {
	core    *scheduler.Core
	now     time.Duration
	offset  int64
	workers map[string]*fakeWorker
	started []scheduler.Start
	orders  []scheduler.Order
	// mute workers get no write.
	mute map[string]bool
	// serving gives every service task an address.
	serving bool
	// onStop is called with each runner that is told to stop, before it does.
	onStop func(attempt uint64)
}

type fakeWorker struct {
	host     scheduler.Host
	capacity resource.Vector
	digest   uint64
	since    time.Duration
	expiry   time.Duration
	tasks    map[uint64]scheduler.ObservedTask
}

// workerClock is how far the workers' clocks are ahead of the core's.
const workerClock = time.Hour

func newCell(n int, capacity func(i int) resource.Vector) *cell {
	c := &cell{core: scheduler.New(scheduler.DefaultSettings("h1", "1", "d")), workers: map[string]*fakeWorker{}, mute: map[string]bool{}}
	d := &configuration.Domain{Name: "d", Entries: []string{"h1"}}
	var hosts []scheduler.Host
	for i := range n {
		h := scheduler.Host{Name: fmt.Sprintf("w%04d", i), Address: "a", Rack: fmt.Sprintf("r%03d", i/5)}
		d.Workers = append(d.Workers, h.Name)
		hosts = append(hosts, h)
		c.workers[h.Name] = &fakeWorker{host: h, capacity: capacity(i), tasks: map[uint64]scheduler.ObservedTask{}}
	}
	c.step(scheduler.HostsRead{Hosts: hosts})
	c.declare(configuration.Op{Domain: d})
	return c
}

// declare appends one record and lets the core read it.
func (c *cell) declare(ops ...configuration.Op) {
	data, err := configuration.Encode(configuration.Record{ID: fmt.Sprint("r", c.offset), Ops: ops})
	if err != nil {
		panic(err)
	}
	rec := configuration.Numbered{Offset: c.offset, Data: data}
	c.offset++
	c.step(scheduler.LogRead{Records: []configuration.Numbered{rec}})
}

// step feeds an event and the replies to all writes that follow from it.
func (c *cell) step(ev scheduler.Event) {
	queue := c.core.Step(c.now, ev)
	for len(queue) > 0 {
		w, ok := queue[0].(scheduler.WriteWorker)
		queue = queue[1:]
		if ok && !c.mute[w.Worker] {
			queue = append(queue, c.core.Step(c.now, c.write(w))...)
		}
	}
}

// run lets time pass in ticks.
func (c *cell) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += 100 * time.Millisecond
		c.step(scheduler.Tick{})
	}
}

func (c *cell) write(eff scheduler.WriteWorker) scheduler.WriteReplied {
	w, now := c.workers[eff.Worker], c.now+workerClock
	if w.expiry <= now {
		w.since = now
	}
	w.expiry = max(eff.MarkExpiry, 0)
	w.lapse(now)
	w.renew(eff.RenewExpiry)
	for _, o := range eff.Orders {
		c.orders = append(c.orders, o)
		if c.onStop != nil {
			c.onStop(o.Attempt)
		}
		w.end(o.Attempt, map[scheduler.OrderKind]scheduler.TaskState{scheduler.Stop: scheduler.Stopped, scheduler.Checkpoint: scheduler.Checkpointed}[o.Kind])
	}
	for _, a := range eff.Forget {
		delete(w.tasks, a)
		w.digest++
	}
	for _, s := range eff.Starts {
		c.started = append(c.started, s)
		t := scheduler.ObservedTask{Task: s.Task, Attempt: s.Attempt, Size: s.Size, Expiry: s.Expiry}
		if c.serving && s.Service != "" {
			t.Address = fmt.Sprint("a", s.Attempt)
		}
		w.tasks[s.Attempt] = t
		w.digest++
	}
	return w.reply(eff, now)
}

// lapse ends the tasks whose lease has run out.
func (w *fakeWorker) lapse(now time.Duration) {
	for a, t := range w.tasks {
		if t.Expiry <= now {
			w.end(a, scheduler.Lapsed)
		}
	}
}

func (w *fakeWorker) renew(expiry time.Duration) {
	for a, t := range w.tasks {
		t.Expiry = max(t.Expiry, expiry)
		w.tasks[a] = t
	}
}

func (w *fakeWorker) reply(eff scheduler.WriteWorker, now time.Duration) scheduler.WriteReplied {
	ev := scheduler.WriteReplied{Worker: eff.Worker, Capacity: w.capacity, Digest: w.digest + 1}
	ev.Reply = ownership.Reply{Write: eff.Write, Now: now, Boot: time.Minute, Expiry: w.expiry, Since: w.since}
	if ev.Unchanged = ev.Digest == eff.Digest; ev.Unchanged {
		return ev
	}
	for _, t := range w.tasks {
		ev.Tasks = append(ev.Tasks, t)
	}
	slices.SortFunc(ev.Tasks, func(a, b scheduler.ObservedTask) int { return int(a.Attempt) - int(b.Attempt) })
	return ev
}

func (w *fakeWorker) end(attempt uint64, state scheduler.TaskState) {
	if t, ok := w.tasks[attempt]; ok && t.State == scheduler.Running {
		t.State = state
		if state == scheduler.Checkpointed {
			t.Checkpoint = 7
		}
		w.tasks[attempt] = t
		w.digest++
	}
}

// running returns the running tasks' workers by task.
func (c *cell) running() map[string]string {
	m := map[string]string{}
	for name, w := range c.workers {
		for _, t := range w.tasks {
			if t.State == scheduler.Running {
				m[t.Task] = name
			}
		}
	}
	return m
}

func workload(name string, kind configuration.WorkloadKind, count int, size resource.Vector) configuration.Workload {
	return configuration.Workload{Name: name, Kind: kind, Count: count, Size: size, Homes: []configuration.Home{{Domain: "d", Count: count}}}
}

func declared(w configuration.Workload) configuration.Op { return configuration.Op{Workload: &w} }

// BenchmarkPlacement measures the steps of a full cell in which tasks end all
// the time: the time of each step that starts a task, and the core's time in all
// for each task started, renewals included.
func BenchmarkPlacement(b *testing.B) {
	for _, waiting := range []int{0, 300} {
		for _, n := range []int{140, 1100} {
			b.Run(fmt.Sprintf("workers=%d/waiting=%d", n, waiting), func(b *testing.B) { benchmarkPlacement(b, n, waiting) })
		}
	}
}

// tasksPerWorker gives 17,000 tasks on 1,100 workers.
const tasksPerWorker = 15.5

// benchWorkloads divides the tasks.
const benchWorkloads = 50

// benchmarkPlacement has as many workloads wait, each with more tasks than fit.
func benchmarkPlacement(b *testing.B, n, waiting int) {
	c := newCell(n, func(int) resource.Vector { return resource.Vector{MilliCPU: 16000, MemoryMiB: 65536} })
	c.stagger()
	tasks := int(float64(n)*tasksPerWorker) / benchWorkloads
	var ops []configuration.Op
	for i := range benchWorkloads {
		ops = append(ops, declared(workload(fmt.Sprintf("b%02d", i), configuration.Batch, tasks, resource.Vector{MilliCPU: 1000, MemoryMiB: 2048})))
	}
	c.declare(ops...)
	for len(c.running()) < tasks*benchWorkloads {
		c.run(time.Second)
	}
	ops = nil
	for i := range waiting {
		ops = append(ops, declared(workload(fmt.Sprintf("w%03d", i), configuration.Batch, n, resource.Vector{MilliCPU: 1000, MemoryMiB: 2048})))
	}
	c.declare(ops...)
	c.run(10 * time.Second)
	m := &stepTimes{}
	seq := 0
	b.ResetTimer()
	for m.starts < b.N {
		c.endOne(n, &seq)
		c.now += 2 * time.Millisecond
		m.step(c, scheduler.Tick{})
	}
	b.StopTimer()
	m.report(b)
}

// stagger gives the workers their addresses over the time between two renewals.
func (c *cell) stagger() {
	const batches = 20
	names := slices.Sorted(maps.Keys(c.workers))
	for i := range batches {
		var hosts []scheduler.Host
		for j, name := range names {
			h := c.workers[name].host
			if j%batches > i {
				h.Address = ""
			}
			hosts = append(hosts, h)
		}
		c.step(scheduler.HostsRead{Hosts: hosts})
		c.run(100 * time.Millisecond)
	}
}

// endOne ends the oldest running task of the next worker in turn.
func (c *cell) endOne(n int, seq *int) {
	w := c.workers[fmt.Sprintf("w%04d", *seq%n)]
	*seq++
	for _, a := range slices.Sorted(maps.Keys(w.tasks)) {
		if w.tasks[a].State == scheduler.Running {
			w.end(a, scheduler.Stopped)
			return
		}
	}
}

// stepTimes gathers the time of a core's steps.
type stepTimes struct {
	starts  int
	all     time.Duration
	placing []time.Duration
	// each is the step's time divided by the tasks that it started.
	each []time.Duration
}

func (m *stepTimes) step(c *cell, ev scheduler.Event) {
	queue := m.timed(c, ev)
	for len(queue) > 0 {
		eff, ok := queue[0].(scheduler.WriteWorker)
		queue = queue[1:]
		if ok {
			queue = append(queue, m.timed(c, c.write(eff))...)
		}
	}
}

func (m *stepTimes) timed(c *cell, ev scheduler.Event) []scheduler.Effect {
	from := time.Now()
	effects := c.core.Step(c.now, ev)
	spent := time.Since(from)
	m.all += spent
	starts := 0
	for _, e := range effects {
		if w, ok := e.(scheduler.WriteWorker); ok {
			starts += len(w.Starts)
		}
	}
	if m.starts += starts; starts > 0 {
		m.placing = append(m.placing, spent)
		m.each = append(m.each, spent/time.Duration(starts))
	}
	return effects
}

func (m *stepTimes) report(b *testing.B) {
	slices.Sort(m.placing)
	slices.Sort(m.each)
	b.ReportMetric(float64(m.placing[len(m.placing)/2].Microseconds()), "step-p50-us")
	b.ReportMetric(float64(m.placing[len(m.placing)*99/100].Microseconds()), "step-p99-us")
	b.ReportMetric(float64(m.each[len(m.each)*99/100].Microseconds()), "task-p99-us")
	b.ReportMetric(float64(m.all.Microseconds())/float64(m.starts), "us/start")
}
