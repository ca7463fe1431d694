package dispatch

import "time"

const (
	// initialWindow is the initial bound of starts in flight. minWindow and
	// maxWindow limit the bound.
	initialWindow, minWindow, maxWindow = 16, 8, 512
	// windowCutInterval is the least time between two cuts of the window.
	windowCutInterval = 250 * time.Millisecond
	// windowEntryAge is how long, in addition to the delay allowance, a start
	// without an answer counts. Starts to workers that don't answer must not block
	// others.
	windowEntryAge = 100 * time.Millisecond
)

// startWindow bounds the starts in flight. It grows with each answer in time and is
// halved while answers are late. This way, calls on a node that is short of CPU
// time wait in its queues, where their timeouts don't run yet.
type startWindow struct {
	size    int
	runs    []*run
	lastCut time.Duration
}

// hasRoom reports whether another start may be sent.
func (w *startWindow) hasRoom() bool { return len(w.runs) < w.size }

// add counts a start.
func (w *startWindow) add(r *run) { w.runs = append(w.runs, r) }

// grow widens the window after an answer if it is at least half in use.
func (w *startWindow) grow() {
	if len(w.runs) >= w.size/2 {
		w.size = min(w.size+1, maxWindow)
	}
}

// adjustWindow drops the starts that no longer count and cuts the window while
// answers are late.
func (c *Core) adjustWindow() {
	w := &c.window
	kept := w.runs[:0]
	for _, r := range w.runs {
		if r.orderInFlight && r.state == starting && c.now-r.orderSentAt < windowEntryAge+c.delayAllowance() {
			kept = append(kept, r)
		}
	}
	clear(w.runs[len(kept):])
	w.runs = kept
	if c.answersLate() && c.now-w.lastCut >= windowCutInterval {
		w.size, w.lastCut = max(w.size/2, minWindow), c.now
	}
}
