package proof

import (
	"fmt"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/fakeworker"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// machine is a worker of the world.
type machine struct {
	*fakeworker.Worker
	w     *World
	clock clock
	dead  bool
}

// clock runs at its own rate from its own origin.
type clock struct {
	offset time.Duration
	// ppm is the difference of its rate from true time, in millionths.
	ppm int64
}

func (c clock) read(now time.Duration) time.Duration {
	return c.offset + now + now*time.Duration(c.ppm)/1_000_000
}

// maxPPM keeps any two clocks within the drift that ownership.Timing allows.
const maxPPM = 2400

// failAfter is how long a task lasts on a failing machine.
const failAfter = 300 * time.Millisecond

func (w *World) newMachine(name string, c clock, up time.Duration, capacity resource.Vector) *machine {
	m := &machine{w: w, clock: c}
	m.Worker = fakeworker.New(name, capacity, up, w.timing, fakeworker.Hooks{Now: m.now, Began: m.began, Ordered: m.ordered, Ended: m.ended})
	w.machines = append(w.machines, m)
	w.Tasks.Machine(name, capacity)
	return m
}

// now is the machine's clock in whole milliseconds, as the protocol has it.
func (m *machine) now() time.Duration { return m.clock.read(m.w.now).Truncate(time.Millisecond) }

func (m *machine) began(t *fakeworker.Task, s scheduler.Start) {
	t.Usage = s.Size
	if s.Service != "" {
		t.Address = fmt.Sprintf("%s:%d", m.Name, s.Attempt)
		m.w.runners[t.Address] = &runner{m: m, address: t.Address, open: map[uint64]openRequest{}}
	}
	m.w.sweepAll()
	m.w.Tasks.Started(m.w.now, m.Name, s.Task, s.Attempt, s.Size)
	m.w.started(s.Task)
}

func (m *machine) ordered(t *fakeworker.Task, kind scheduler.OrderKind) uint64 {
	if r := m.w.runners[t.Address]; r != nil && (kind == scheduler.Stop || kind == scheduler.Checkpoint) {
		r.stopped()
	}
	return uint64(m.now().Milliseconds())
}

func (m *machine) ended(t *fakeworker.Task) {
	m.w.Tasks.Ended(m.Name, t.Attempt)
	if r := m.w.runners[t.Address]; r != nil {
		r.close()
	}
}
