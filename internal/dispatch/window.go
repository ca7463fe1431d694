package dispatch

import "time"

const (
	// firstWindow is how many starts may be out at first; leastWindow and
	// mostWindow bound the window.
	firstWindow, leastWindow, mostWindow = 16, 8, 512
	// windowRest is the least time between two cuts of the window.
	windowRest = 250 * time.Millisecond
	// windowAge is how long, beside the allowance, a start without an answer counts:
	// those to workers that don't answer must not keep others back.
	windowAge = 100 * time.Millisecond
)

// window bounds the starts that are out. It grows with each answer in time and is
// halved while answers are late, so that the calls of a node that is short of
// processor time wait in its lines, and not with their timeouts running.
type window struct {
	size  int
	runs  []*run
	cutAt time.Duration
}

// open reports whether another start may be sent.
func (w *window) open() bool { return len(w.runs) < w.size }

// sent counts a start.
func (w *window) sent(r *run) { w.runs = append(w.runs, r) }

// answered lets the window grow if it is in use.
func (w *window) answered() {
	if len(w.runs) >= w.size/2 {
		w.size = min(w.size+1, mostWindow)
	}
}

// adjustWindow drops the starts that count no more and cuts the window while
// answers are late.
func (c *Core) adjustWindow() {
	w := &c.window
	kept := w.runs[:0]
	for _, r := range w.runs {
		if r.orderOut && r.state == starting && c.now-r.orderAt < windowAge+c.allowance() {
			kept = append(kept, r)
		}
	}
	clear(w.runs[len(kept):])
	w.runs = kept
	if c.late() && c.now-w.cutAt >= windowRest {
		w.size, w.cutAt = max(w.size/2, leastWindow), c.now
	}
}
