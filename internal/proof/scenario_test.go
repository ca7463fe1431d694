package proof

import (
	"testing"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

const second = time.Second

// small builds one domain with 2 schedulers and the given workers, which run
// one service of as many tasks as there are workers for 20 s.
func small(seed uint64, workers int) *World {
	w := NewWorld(seed, Site{
		Domains: 1, Schedulers: 2, Workers: workers, Timing: ownership.DefaultTiming(),
		Capacity: resource.Vector{MilliCPU: 8000, MemoryMiB: 8192},
		Link:     link{delay: time.Millisecond, jitter: time.Millisecond},
	})
	svc := configuration.Workload{
		Name: "svc", Kind: configuration.Service, Count: workers, Size: resource.Vector{MilliCPU: 1000},
		Homes: []configuration.Home{{Domain: "d1", Count: workers}},
	}
	w.Append(configuration.Record{ID: "svc", Ops: []configuration.Op{{Workload: &svc}}})
	w.Run(20 * second)
	return w
}

// place returns a machine that runs a task of the service, and the attempt.
func (w *World) place(task string) (*machine, uint64) {
	for _, m := range w.machines {
		for a, t := range m.Tasks {
			if t.State == scheduler.Running && (task == "" || t.Task == task) {
				return m, a
			}
		}
	}
	return nil, 0
}

// host returns the entry of the platform's list for a machine.
func (w *World) host(m *machine) *scheduler.Host {
	for i := range w.hosts["d1"] {
		if h := &w.hosts["d1"][i]; h.Address == m.Name {
			return h
		}
	}
	return nil
}

// other returns the scheduler that doesn't hold the term.
func (w *World) other(leader *process) *process {
	for _, p := range w.processes {
		if p != leader {
			return p
		}
	}
	return nil
}

func (w *World) expectHeld(t *testing.T) {
	t.Helper()
	for _, b := range w.Tasks.Breaches {
		t.Errorf("%s", b)
	}
}

// expectAllRun checks that all tasks run at a time, and that nothing broke before.
func (w *World) expectAllRun(t *testing.T, at time.Duration) {
	t.Helper()
	w.Run(at)
	w.expectHeld(t)
	if n := w.Tasks.Running(); n != 6 {
		t.Errorf("%d of 6 tasks run", n)
	}
}

// TestEndSeenElsewhere: the holder of the term is killed after it restarted a
// task on another worker, which its successor can't reach. The successor sees
// the former attempt's end once it holds the term.
func TestEndSeenElsewhere(t *testing.T) {
	w := small(1, 6)
	m, a := w.place("")
	task := m.Tasks[a].Task
	w.host(m).Leaving = true
	w.publish("d1")
	w.Run(25 * second)
	m.End(m.Tasks[a], scheduler.Failed)
	w.Run(30 * second)
	now, _ := w.place(task)
	leader := w.leader("d1")
	if now == nil || now == m || leader == nil {
		t.Fatal("the task did not move")
	}
	w.cutBoth(w.other(leader).host, now.Name, 60*second)
	w.cutBoth(w.other(leader).host, m.Name, 38*second)
	leader.kill()
	w.Run(90 * second)
	w.expectHeld(t)
}

// TestSeenWhileHeldByAnother: a successor sees a task on a worker that the
// former holder of the term still owns and renews, and then loses sight of it.
func TestSeenWhileHeldByAnother(t *testing.T) {
	w := small(2, 6)
	leader := w.leader("d1")
	m, _ := w.place("")
	for _, o := range w.machines {
		if o != m {
			w.cutBoth(leader.host, o.Name, 300*second)
		}
	}
	w.cutBoth(leader.host, w.other(leader).host, 300*second)
	for w.leader("d1") != w.other(leader) {
		w.Run(w.now + second/10)
	}
	w.Run(w.now + 3*second)
	w.cutBoth(w.other(leader).host, m.Name, 300*second)
	w.Run(120 * second)
	w.expectHeld(t)
}

// redeclare declares the domain anew with the given workers.
func (w *World) redeclare(id string, machines []*machine) {
	d := configuration.Domain{Name: "d1"}
	for _, p := range w.processes {
		d.Entries = append(d.Entries, p.host)
	}
	for _, m := range machines {
		d.Workers = append(d.Workers, m.Name)
	}
	w.Append(configuration.Record{ID: id, Ops: []configuration.Op{{Domain: &d}}})
}

// TestWorkerRemovedUnseen: a worker leaves the configuration before the successor
// of a killed holder of the term has seen what runs there.
func TestWorkerRemovedUnseen(t *testing.T) {
	w := small(3, 6)
	leader := w.leader("d1")
	last := w.machines[5]
	w.cutBoth(w.other(leader).host, last.Name, 300*second)
	leader.kill()
	w.redeclare("fewer", w.machines[:5])
	w.Run(90 * second)
	w.expectHeld(t)
}

// TestWorkerRemovedAndReturned: a task that was on the worker runs again.
func TestWorkerRemovedAndReturned(t *testing.T) {
	w := small(4, 6)
	last := w.machines[5]
	w.redeclare("fewer", w.machines[:5])
	w.Run(22 * second)
	last.Restart()
	w.redeclare("all", w.machines)
	w.expectAllRun(t, 120*second)
}

// TestMachineReplaced: the list shows a worker at a new address while the former
// machine goes on running its tasks.
func TestMachineReplaced(t *testing.T) {
	w := small(5, 6)
	m, _ := w.place("")
	w.host(m).Address = "moved"
	w.addresses["moved"] = w.newMachine("moved", w.newClock(), time.Hour, m.Capacity)
	w.publish("d1")
	w.expectAllRun(t, 120*second)
}

// TestClockOfFormerMachine: a start that was held up on its way reaches
// another machine under the same address, whose clock is behind.
func TestClockOfFormerMachine(t *testing.T) {
	w := small(6, 6)
	m, a := w.place("")
	task := m.Tasks[a].Task
	late := scheduler.WriteWorker{
		Worker: m.Name, Address: m.Name, Token: m.Token, Write: 1 << 40, Boot: m.Boot,
		Starts: []scheduler.Start{{Task: task, Attempt: 7, Size: resource.Vector{MilliCPU: 1000}, Expiry: m.now() + 5*second}},
	}
	m.dead = true
	w.Tasks.Lost(m.Name)
	behind := w.newMachine("behind", clock{offset: m.clock.offset - time.Hour}, time.Second, m.Capacity)
	w.addresses[m.Name] = behind
	w.Run(40 * second)
	behind.Write(late)
	w.expectHeld(t)
}

// TestWorkerRemovedBeforeStart: a scheduler that starts after a worker was taken
// out takes over from one that is killed.
func TestWorkerRemovedBeforeStart(t *testing.T) {
	w := small(7, 6)
	leader := w.leader("d1")
	w.other(leader).kill()
	w.redeclare("fewer", w.machines[:5])
	w.Run(21 * second)
	leader.kill()
	w.Run(22 * second)
	w.other(leader).boot()
	w.expectAllRun(t, 120*second)
}
