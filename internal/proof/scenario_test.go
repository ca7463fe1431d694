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
		for a, t := range m.tasks {
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
		if h := &w.hosts["d1"][i]; h.Address == m.name {
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

// TestEndSeenElsewhere: the holder of the term is killed after it restarted a
// task on another worker, which its successor can't reach. The successor sees
// the former attempt's end once it holds the term.
func TestEndSeenElsewhere(t *testing.T) {
	w := small(1, 6)
	m, a := w.place("")
	task := m.tasks[a].Task
	w.host(m).Leaving = true
	w.publish("d1")
	w.Run(25 * second)
	m.end(a, scheduler.Failed)
	w.Run(30 * second)
	now, _ := w.place(task)
	leader := w.leader("d1")
	if now == nil || now == m || leader == nil {
		t.Fatal("the task did not move")
	}
	w.cutBoth(w.other(leader).host, now.name, 60*second)
	w.cutBoth(w.other(leader).host, m.name, 38*second)
	leader.kill()
	w.Run(90 * second)
	w.expectHeld(t)
}
