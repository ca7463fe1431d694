package capacity

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/fakeworker"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// cell is a domain's core of which processor time and traffic are measured.
type cell struct {
	*fakeworker.Cell
	// sent counts the writes to workers, and parts of them.
	sent traffic
	// spent is processor time in the core by event.
	spent map[fakeworker.Kind]spent
}

// traffic counts messages to workers.
type traffic struct{ writes, starts, failed int }

type spent struct {
	calls int
	time  time.Duration
}

// perCall returns the mean time of a call in microseconds.
func (s spent) perCall() float64 {
	return float64(s.time.Nanoseconds()) / 1000 / float64(max(1, s.calls))
}

// rackSize is how many workers share a rack.
const rackSize = 20

var workerSize = resource.Vector{MilliCPU: 64000, MemoryMiB: 256 << 10, Accelerators: 2}

// newCell returns a cell of the given workers with the records applied.
func newCell(workers int, ops ...configuration.Op) *cell {
	began := func(t *fakeworker.Task, s scheduler.Start) {
		if s.Service != "" {
			t.Address = "10.20.30.40:40000"
		}
	}
	size := func(int) resource.Vector { return workerSize }
	c := &cell{Cell: fakeworker.NewCell(workers, rackSize, size, fakeworker.Hooks{Began: began}, ops...), spent: map[fakeworker.Kind]spent{}}
	c.Around, c.Written = c.time, c.count
	return c
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
		Homes: []configuration.Home{{Domain: fakeworker.Domain, Count: n}},
	}
	return configuration.Op{Workload: w}
}

func (c *cell) time(kind fakeworker.Kind, step func() []scheduler.Effect) []scheduler.Effect {
	began := threadTime()
	effects := step()
	s := c.spent[kind]
	s.calls++
	s.time += threadTime() - began
	c.spent[kind] = s
	return effects
}

func (c *cell) count(w scheduler.WriteWorker) {
	c.sent.writes++
	c.sent.starts += len(w.Starts)
	if c.Silent[w.Worker] {
		c.sent.failed++
	}
}

// settle runs until n tasks run, and returns how long that took; it gives up
// after most.
func (c *cell) settle(n int, most time.Duration) (time.Duration, error) {
	from := c.Now
	for c.running() < n {
		if c.Now-from > most {
			return 0, fmt.Errorf("%d of %d tasks run after %s", c.running(), n, most)
		}
		c.Run(fakeworker.TickInterval)
	}
	return c.Now - from, nil
}

// running counts the tasks on workers that answer.
func (c *cell) running() int {
	n := 0
	for name, w := range c.Workers {
		if !c.Silent[name] {
			n += w.Running()
		}
	}
	return n
}
