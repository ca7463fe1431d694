package emulator

import (
	"maps"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// link is the network to a worker. It outlasts the worker's lives.
type link struct {
	// cut has the nodes that don't get through, refused those whose connections are
	// refused; the empty name stands for all.
	cut, refused map[string]bool
	// resets has a channel for each node with a long poll, closed when its connections
	// are reset.
	resets map[string]chan struct{}
	// late and lose are shares of orders.
	late, lose float64
	// unlisted is set while the worker can't write its entry.
	unlisted bool
}

func newLink() *link {
	return &link{cut: map[string]bool{}, refused: map[string]bool{}, resets: map[string]chan struct{}{}}
}

func (l *link) silent(node string) bool { return l.cut[""] || l.cut[node] }

func (l *link) refuses(node string) bool { return l.refused[""] || l.refused[node] }

func (l *link) disturbed() bool {
	return len(l.cut) > 0 || len(l.refused) > 0 || l.late > 0 || l.lose > 0 || l.unlisted
}

// refuse begins to refuse the node's connections, and resets the open ones.
func (l *link) refuse(node string) {
	l.refused[node] = true
	for n, reset := range l.resets {
		if l.refuses(n) {
			close(reset)
			delete(l.resets, n)
		}
	}
}

// reset returns a channel that is closed when the node's connections are reset.
func (l *link) reset(node string) <-chan struct{} {
	if l.resets[node] == nil {
		l.resets[node] = make(chan struct{})
	}
	return l.resets[node]
}

// heal ends cuts and refusals.
func (l *link) heal() {
	clear(l.cut)
	clear(l.refused)
}

// fault edits a worker's newest life and notes the disruption. An unknown ID
// changes nothing.
func (f *Fleet) fault(id string, edit func(*life)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disrupted = time.Now()
	if w := f.workers[id]; w != nil {
		edit(w)
	}
}

// faults does so for several workers, or for all when none is named.
func (f *Fleet) faults(ids []string, edit func(*life)) {
	if len(ids) == 0 {
		f.mu.Lock()
		ids = append(ids, f.order...)
		f.mu.Unlock()
	}
	for _, id := range ids {
		f.fault(id, edit)
	}
}

// disturbed reports whether a fault is on, or was within the last d.
func (f *Fleet) disturbed(d time.Duration) bool {
	if !f.disrupted.IsZero() && time.Since(f.disrupted) <= d {
		return true
	}
	for _, w := range f.workers {
		if w.link.disturbed() || w.alive && (w.failing || w.hung || w.slow != 1) {
			return true
		}
	}
	return false
}

// repace edits a life on which the speed of its runs depends.
func (w *life) repace(edit func()) {
	now := time.Now()
	crews := map[*crew]bool{}
	for _, r := range w.runs {
		crews[r.crew] = true
	}
	for c := range crews {
		c.advance(now)
	}
	edit()
	for c := range crews {
		c.plan(now)
	}
}

// Cut makes calls of the nodes, or of all when none is named, to the worker
// wait until their context ends. The worker runs on.
func (f *Fleet) Cut(id string, nodes ...string) {
	f.fault(id, func(w *life) {
		for _, n := range orAll(nodes) {
			w.link.cut[n] = true
		}
	})
}

// RefuseConnections makes the network refuse connections of the nodes, or of all when
// none is named, to the worker, and reset the open ones. The worker runs on.
func (f *Fleet) RefuseConnections(id string, nodes ...string) {
	f.fault(id, func(w *life) {
		for _, n := range orAll(nodes) {
			w.link.refuse(n)
		}
	})
}

func orAll(nodes []string) []string {
	if len(nodes) == 0 {
		return []string{""}
	}
	return nodes
}

// Heal ends all cuts and refusals of the worker.
func (f *Fleet) Heal(id string) {
	f.fault(id, func(w *life) { w.link.heal() })
}

// Unlist keeps the worker from writing its entry, which is then removed like that of a
// worker that is down. The worker runs on.
func (f *Fleet) Unlist(id string, on bool) {
	f.fault(id, func(w *life) { w.link.unlisted = on })
}

// Crash ends the worker and all that runs there; its address refuses calls.
func (f *Fleet) Crash(id string) {
	f.fault(id, func(w *life) { w.crash() })
}

func (w *life) crash() {
	w.crashed = w.crashed || w.alive
	w.perish()
}

// crashUnder crashes the worker under a run that is still there, and restarts it after
// CrashDowntime.
func (w *life) crashUnder(r *run) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.alive || w.runs[runKey{r.task, r.number}] != r {
		return
	}
	f.disrupted = time.Now()
	for _, o := range w.sorted() {
		f.judge.crashed(o)
	}
	w.crash()
	time.AfterFunc(CrashDowntime, func() {
		f.fault(w.cfg.ID, func(newest *life) {
			if newest == w {
				f.install(w.cfg, w.link)
			}
		})
	})
}

// Resize changes the worker's capacity. What runs there goes on.
func (f *Fleet) Resize(id string, capacity workflow.Size) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil {
		return
	}
	if old := w.cfg.Capacity; !old.FitsIn(capacity) {
		w.largest, w.shrunk = w.allowed(false), time.Now()
	}
	w.cfg.Capacity = capacity
}

// Restart begins a new, empty life of the worker with the same ID at the same
// address.
func (f *Fleet) Restart(id string) {
	f.fault(id, func(w *life) {
		w.perish()
		f.install(w.cfg, w.link)
	})
}

// Replace ends a worker and starts another one, of another ID, at its address.
func (f *Fleet) Replace(id string, cfg WorkerConfig) {
	f.fault(id, func(w *life) {
		w.perish()
		cfg.Address = w.cfg.Address
		if f.workers[cfg.ID] == nil {
			f.order = append(f.order, cfg.ID)
		}
		f.install(cfg, w.link)
	})
}

// Late makes a share (0 to 1) of the orders to the workers, or to all when none
// is named, unanswered and carried out 2 to 12 s later.
func (f *Fleet) Late(share float64, ids ...string) {
	f.faults(ids, func(w *life) { w.link.late = share })
}

// LoseReplies loses a share (0 to 1) of the answers of the workers, or of all:
// orders are carried out, and their outcome is unknown once the answer would
// have come.
func (f *Fleet) LoseReplies(share float64, ids ...string) {
	f.faults(ids, func(w *life) { w.link.lose = share })
}

// FailAll makes each run on the worker end failed soon.
func (f *Fleet) FailAll(id string, on bool) {
	f.fault(id, func(w *life) {
		w.repace(func() {
			w.failing = on
			for _, r := range w.runs {
				r.failAt = time.Time{}
				if on {
					r.failAt = time.Now().Add(failDelay)
				}
			}
		})
	})
}

// Hang makes the tasks on the worker stand still.
func (f *Fleet) Hang(id string, on bool) {
	f.fault(id, func(w *life) { w.repace(func() { w.hung = on }) })
}

// SlowDown makes the tasks on the worker take factor (above 0) times as long; 1
// is normal.
func (f *Fleet) SlowDown(id string, factor float64) {
	f.fault(id, func(w *life) { w.repace(func() { w.slow = factor }) })
}

// Drain makes the worker draining; it leaves, and all that runs there goes,
// after the remaining time.
func (f *Fleet) Drain(id string, remaining time.Duration) {
	f.fault(id, func(w *life) {
		if !w.alive || !w.drains.IsZero() {
			return
		}
		w.drains = time.Now()
		w.leaves = w.drains.Add(remaining)
		time.AfterFunc(remaining, func() {
			f.fault(id, func(newest *life) {
				if newest == w && w.alive {
					w.left = true
					w.perish()
				}
			})
		})
	})
}

// Calm ends all faults of links and of speed. What has crashed stays so.
func (f *Fleet) Calm() {
	f.faults(nil, func(w *life) {
		w.link.heal()
		w.link.late, w.link.lose, w.link.unlisted = 0, 0, false
		w.repace(func() {
			w.failing, w.hung, w.slow = false, false, 1
			for r := range maps.Values(w.runs) {
				r.failAt = time.Time{}
			}
		})
	})
}
