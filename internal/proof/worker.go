package proof

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// mark is a live or lapsed lease of no size, in the machine's clock.
type mark struct{ expiry, since time.Duration }

// machine is a worker as the platform's protocol describes it: it obeys and
// refuses nothing but what has lapsed.
type machine struct {
	w        *World
	name     string
	clock    clock
	boot     time.Duration
	capacity resource.Vector
	marks    map[string]mark
	tasks    map[uint64]*machineTask
	dead     bool
	// failing machines end every task soon after its start.
	failing bool
}

type machineTask struct {
	scheduler.ObservedTask
	// endsAt is when the task ends by itself, in the machine's clock; 0 is never.
	endsAt time.Duration
	ending scheduler.TaskState
}

// failAfter is how long a task lasts on a failing machine.
const failAfter = 300 * time.Millisecond

func (w *World) newMachine(name string, c clock, up time.Duration, capacity resource.Vector) *machine {
	m := &machine{w: w, name: name, clock: c, capacity: capacity, marks: map[string]mark{}, tasks: map[uint64]*machineTask{}}
	m.boot = m.now() - up
	w.machines = append(w.machines, m)
	w.Tasks.Machine(name, capacity)
	return m
}

// now is the machine's clock in whole milliseconds, as the protocol has it.
func (m *machine) now() time.Duration { return m.clock.read(m.w.now).Truncate(time.Millisecond) }

// restart loses marks and tasks.
func (m *machine) restart() {
	m.boot = m.now()
	m.lose()
}

// lose ends all that runs here at once.
func (m *machine) lose() {
	for _, a := range slices.Sorted(maps.Keys(m.tasks)) {
		if m.tasks[a].State == scheduler.Running {
			m.end(a, scheduler.Lapsed)
		}
	}
	clear(m.marks)
	clear(m.tasks)
}

// write takes one message of a scheduler and returns the answer. A message
// meant for another start of the machine has no effect.
func (m *machine) write(eff scheduler.WriteWorker) scheduler.WriteReplied {
	now := m.now()
	m.sweep()
	if eff.Boot != 0 && eff.Boot != m.boot && !m.w.lacks(ownership.GuardBoot) {
		return m.reply(now, eff)
	}
	m.setMark(now, eff)
	if eff.RenewExpiry > now {
		m.renew(eff.RenewExpiry)
	}
	for _, o := range eff.Orders {
		m.order(now, o)
	}
	for _, s := range eff.Starts {
		m.start(now, s)
	}
	for _, a := range eff.Forget {
		if t := m.tasks[a]; t != nil && t.State != scheduler.Running {
			delete(m.tasks, a)
		}
	}
	return m.reply(now, eff)
}

func (m *machine) setMark(now time.Duration, eff scheduler.WriteWorker) {
	if eff.MarkExpiry < 0 {
		delete(m.marks, eff.Holder)
		return
	}
	if eff.MarkExpiry <= now && !m.w.lacks(ownership.GuardExpiry) || eff.MarkExpiry == 0 {
		return
	}
	old, ok := m.marks[eff.Holder]
	if !ok {
		old.since = now
	}
	m.marks[eff.Holder] = mark{max(old.expiry, eff.MarkExpiry), old.since}
}

// sweep ends what has lapsed by now.
func (m *machine) sweep() {
	now := m.now()
	for h, k := range m.marks {
		if k.expiry <= now {
			delete(m.marks, h)
		}
	}
	for a, t := range m.tasks {
		switch {
		case t.State != scheduler.Running:
		case t.endsAt > 0 && t.endsAt <= now:
			m.end(a, t.ending)
		case t.Expiry <= now:
			m.end(a, scheduler.Lapsed)
		}
	}
}

func (m *machine) end(attempt uint64, state scheduler.TaskState) {
	m.tasks[attempt].State = state
	m.w.Tasks.Ended(m.name, attempt)
	if r := m.w.runners[m.tasks[attempt].Address]; r != nil {
		r.close()
	}
}

func (m *machine) renew(expiry time.Duration) {
	for _, t := range m.tasks {
		if t.State == scheduler.Running {
			t.Expiry = max(t.Expiry, expiry)
		}
	}
}

func (m *machine) order(now time.Duration, o scheduler.Order) {
	t := m.tasks[o.Attempt]
	if o.ValidUntil <= now || t == nil || t.State != scheduler.Running {
		return
	}
	if r := m.w.runners[t.Address]; r != nil && (o.Kind == scheduler.Stop || o.Kind == scheduler.Checkpoint) {
		r.stopped()
	}
	switch o.Kind {
	case scheduler.Stop:
		m.end(o.Attempt, scheduler.Stopped)
	case scheduler.Checkpoint:
		t.ObservedTask.Checkpoint = uint64(now.Milliseconds())
		m.end(o.Attempt, scheduler.Checkpointed)
	case scheduler.Throttle:
		t.Throttled = true
	case scheduler.Resume:
		t.Throttled = false
	}
}

func (m *machine) start(now time.Duration, s scheduler.Start) {
	if m.tasks[s.Attempt] != nil {
		return
	}
	expiry := s.Expiry
	if expiry <= now {
		if !m.w.lacks(ownership.GuardExpiry) {
			return
		}
		expiry = now + m.w.timing.Mark
	}
	t := &machineTask{ObservedTask: scheduler.ObservedTask{Task: s.Task, Attempt: s.Attempt, Size: s.Size, Expiry: expiry, Usage: s.Size}}
	if s.RunMillis > 0 {
		t.endsAt, t.ending = now+time.Duration(s.RunMillis)*time.Millisecond, scheduler.Succeeded
	}
	if m.failing {
		t.endsAt, t.ending = now+failAfter, scheduler.Failed
	}
	if s.Service != "" {
		t.Address = fmt.Sprintf("%s:%d", m.name, s.Attempt)
		m.w.runners[t.Address] = &runner{m: m, address: t.Address, open: map[uint64]openRequest{}}
	}
	m.tasks[s.Attempt] = t
	m.w.sweepAll()
	m.w.Tasks.Started(m.w.now, m.name, s.Task, s.Attempt, s.Size)
	m.w.started(s.Task)
}

func (m *machine) reply(now time.Duration, eff scheduler.WriteWorker) scheduler.WriteReplied {
	ev := scheduler.WriteReplied{Worker: eff.Worker, Digest: m.digest()}
	ev.Reply = ownership.Reply{Write: eff.Write, Now: now, Boot: m.boot}
	for h, k := range m.marks {
		if h == eff.Holder {
			ev.Reply.Expiry, ev.Reply.Since = k.expiry, k.since
		} else {
			ev.Reply.Others++
		}
	}
	if ev.Digest == eff.Digest {
		ev.Unchanged = true
		return ev
	}
	ev.Capacity = m.capacity
	for _, a := range slices.Sorted(maps.Keys(m.tasks)) {
		ev.Tasks = append(ev.Tasks, m.tasks[a].ObservedTask)
	}
	return ev
}

// digest sums up the task list and the capacity; it is never 0.
func (m *machine) digest() uint64 {
	h := fnv.New64a()
	for _, a := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[a]
		fmt.Fprintf(h, "%d %d %v %d;", a, t.State, t.Throttled, t.ObservedTask.Checkpoint)
	}
	fmt.Fprint(h, m.capacity)
	return h.Sum64() | 1
}
