package capacity

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// cell is one domain's core with workers that obey, in virtual time.
type cell struct {
	core    *scheduler.Core
	now     time.Duration
	workers map[string]*fakeWorker
	// sent counts the writes to workers, and parts of them.
	sent traffic
	// spent is processor time in the core by event.
	spent map[string]spent
}

// traffic counts messages to workers.
type traffic struct {
	writes, starts, orders, changed, failed int
}

type spent struct {
	calls int
	time  time.Duration
}

// perCall returns the mean time of a call in microseconds.
func (s spent) perCall() float64 {
	return float64(s.time.Nanoseconds()) / 1000 / float64(max(1, s.calls))
}

// fakeWorker takes every mark and start; its clock is one hour ahead.
type fakeWorker struct {
	tasks  map[uint64]scheduler.ObservedTask
	since  time.Duration
	expiry time.Duration
	boot   time.Duration
	silent bool
	digest uint64
}

const (
	domain       = "d"
	clockAhead   = time.Hour
	tickInterval = 100 * time.Millisecond
)

var seatSize = resource.Vector{MilliCPU: 64000, MemoryMiB: 256 << 10, Accelerators: 2}

// newCell returns a cell of the given workers with the records applied.
func newCell(workers int, ops ...configuration.Op) (*cell, error) {
	c := &cell{
		core:    scheduler.New(scheduler.DefaultSettings("h1", "1", domain)),
		workers: map[string]*fakeWorker{},
		spent:   map[string]spent{},
	}
	d := &configuration.Domain{Name: domain, Region: "r", Entries: []string{"h1", "h2", "h3"}}
	var hosts []scheduler.Host
	for i := range workers {
		name := fmt.Sprintf("worker-%04d", i)
		d.Workers = append(d.Workers, name)
		hosts = append(hosts, scheduler.Host{Name: name, Domain: domain, Rack: fmt.Sprintf("rack-%d", i/20), Address: name})
		c.workers[name] = &fakeWorker{tasks: map[uint64]scheduler.ObservedTask{}, boot: time.Minute}
	}
	data, err := configuration.Encode(configuration.Record{ID: "setup", Ops: append([]configuration.Op{{Domain: d}}, ops...)})
	if err != nil {
		return nil, err
	}
	c.step("hosts", scheduler.HostsRead{Hosts: hosts})
	c.step("log", scheduler.LogRead{Records: []configuration.Numbered{{Data: data}}})
	return c, nil
}

// threadTime is the processor time of the calling thread, which the measuring
// goroutine is locked to. Other work on the machine does not count.
func threadTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// workload declares n tasks; each takes a twentieth of a worker.
func workload(name string, kind configuration.WorkloadKind, n int) configuration.Op {
	w := &configuration.Workload{
		Name: name, Kind: kind, Team: "team-0", Count: n, Policy: configuration.Fast,
		Size:  resource.Vector{MilliCPU: 3200, MemoryMiB: 8 << 10},
		Homes: []configuration.Home{{Domain: domain, Count: n}},
	}
	return configuration.Op{Workload: w}
}

// step takes one event, and all that follows from it at the same time.
func (c *cell) step(kind string, ev scheduler.Event) {
	began := threadTime()
	effects := c.core.Step(c.now, ev)
	s := c.spent[kind]
	s.calls++
	s.time += threadTime() - began
	c.spent[kind] = s
	for _, eff := range effects {
		w, ok := eff.(scheduler.WriteWorker)
		if !ok {
			continue
		}
		c.count(w)
		if f := c.workers[w.Worker]; f.silent {
			c.sent.failed++
			c.step("failed", scheduler.WriteFailed{Worker: w.Worker, Write: w.Write})
		} else {
			c.step(kindOf(w), f.answer(c.now, w))
		}
	}
}

func kindOf(w scheduler.WriteWorker) string {
	if len(w.Starts) > 0 {
		return "started"
	}
	return "reply"
}

func (c *cell) count(w scheduler.WriteWorker) {
	c.sent.writes++
	c.sent.starts += len(w.Starts)
	c.sent.orders += len(w.Orders)
	if len(w.Starts)+len(w.Orders) > 0 {
		c.sent.changed++
	}
}

// run lets virtual time pass.
func (c *cell) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += tickInterval
		c.step("tick", scheduler.Tick{})
	}
}

// settle runs until n tasks run, and returns how long that took; it gives up
// after most.
func (c *cell) settle(n int, most time.Duration) (time.Duration, error) {
	from := c.now
	for c.running() < n {
		if c.now-from > most {
			return 0, fmt.Errorf("%d of %d tasks run after %s", c.running(), n, most)
		}
		c.run(tickInterval)
	}
	return c.now - from, nil
}

// running counts the tasks on workers that answer.
func (c *cell) running() int {
	n := 0
	for _, w := range c.workers {
		if !w.silent {
			n += len(w.tasks)
		}
	}
	return n
}

func (w *fakeWorker) answer(now time.Duration, req scheduler.WriteWorker) scheduler.WriteReplied {
	clock := now + clockAhead
	w.lapse(clock)
	if req.MarkExpiry > clock {
		if w.expiry <= clock {
			w.since = clock
		}
		w.expiry = max(w.expiry, req.MarkExpiry)
	}
	w.change(clock, req)
	ev := scheduler.WriteReplied{Worker: req.Worker, Digest: w.digest, Unchanged: req.Digest == w.digest, Capacity: seatSize}
	ev.Reply = ownership.Reply{Write: req.Write, Now: clock, Boot: w.boot, Expiry: w.expiry, Since: w.since}
	if !ev.Unchanged {
		for _, t := range w.tasks {
			ev.Tasks = append(ev.Tasks, t)
		}
	}
	return ev
}

func (w *fakeWorker) lapse(clock time.Duration) {
	for a, t := range w.tasks {
		if t.Expiry <= clock {
			delete(w.tasks, a)
			w.digest++
		}
	}
}

func (w *fakeWorker) change(clock time.Duration, req scheduler.WriteWorker) {
	for a, t := range w.tasks {
		t.Expiry = max(t.Expiry, req.RenewExpiry)
		w.tasks[a] = t
	}
	for _, o := range req.Orders {
		if _, ok := w.tasks[o.Attempt]; ok && o.Kind == scheduler.Stop {
			delete(w.tasks, o.Attempt)
			w.digest++
		}
	}
	for _, s := range req.Starts {
		if s.Expiry > clock {
			t := scheduler.ObservedTask{Task: s.Task, Attempt: s.Attempt, Size: s.Size, Expiry: s.Expiry}
			if s.Service != "" {
				t.Address = "10.20.30.40:40000"
			}
			w.tasks[s.Attempt] = t
			w.digest++
		}
	}
	if w.digest == 0 {
		w.digest = 1
	}
}

// restart puts an empty machine in the worker's place.
func (w *fakeWorker) restart(now time.Duration) {
	w.tasks = map[uint64]scheduler.ObservedTask{}
	w.expiry, w.since, w.boot = 0, 0, now+clockAhead
	w.digest += 1000
}
