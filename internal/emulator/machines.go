package emulator

import (
	"context"

	"github.com/mimosaspool/mimosaspool/internal/worker"
)

// machineList is the list of the machines of a fleet's workers, which it doesn't move or
// take down.
type machineList struct{ fleet *Fleet }

// MachineList returns the machines of the workers that name one.
func (f *Fleet) MachineList() worker.MachineClient { return machineList{f} }

// List implements worker.MachineClient.
func (l machineList) List(ctx context.Context) ([]worker.Machine, error) {
	f := l.fleet
	machines, ok := exchange(ctx, 2*f.cfg.Latency, func(send func([]worker.Machine)) {
		f.mu.Lock()
		defer f.mu.Unlock()
		var out []worker.Machine
		for _, id := range f.order {
			if w := f.workers[id]; w.cfg.Machine != "" {
				out = append(out, w.machine())
			}
		}
		send(out)
	})
	if !ok {
		return nil, ErrCloud
	}
	return machines, nil
}

// machine returns the entry of the worker's machine.
func (w *life) machine() worker.Machine {
	m := worker.Machine{Name: w.cfg.Machine, Pool: w.cfg.Pool, State: worker.MachineUp, Domain: w.cfg.Domain, Labels: w.cfg.Labels,
		Capacity: w.cfg.Capacity, Worker: w.cfg.ID}
	if !w.alive {
		m.State, m.Worker = worker.MachineDown, ""
	}
	return m
}

// Move implements worker.MachineClient.
func (machineList) Move(context.Context, worker.MachineLease, string, string) worker.MachineCode {
	return worker.MachineInvalid
}

// StartMaintenance implements worker.MachineClient.
func (machineList) StartMaintenance(context.Context, worker.MachineLease, string, int64) worker.MachineCode {
	return worker.MachineInvalid
}
