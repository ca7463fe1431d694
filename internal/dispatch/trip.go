package dispatch

import (
	"fmt"
	"time"
)

const (
	// tripGain is the weight of the newest answer in a worker's smoothed trip.
	tripGain = 0.25
	// mostTrip bounds what one answer says of the way, since the answer may have
	// been held up at this node.
	mostTrip = 400 * time.Millisecond
	// shortestGain lets a worker's shortest trip follow a way that has become longer.
	shortestGain = 0.02
	// delayGain is the weight of the newest answer in the node's smoothed delay,
	// and mostDelay bounds what one answer says of it.
	delayGain = 1.0 / 16
	mostDelay = time.Second
	// delayFactor is how many of the node's delays are added to its patience, and
	// mostAllowance bounds what is added: an order that goes on for longer than the
	// platform's bounds on draining, cancelling and gangs would break them.
	delayFactor   = 3
	mostAllowance = time.Second
	// lateDelay is the delay from which on a missing answer says little of the worker.
	lateDelay = 100 * time.Millisecond
	// timelyDelay is the delay from which down answers are told to be in time again.
	timelyDelay = 50 * time.Millisecond
)

// smoothed moves a smoothed time towards its newest value by the gain, 0 to 1.
func smoothed(old, newest time.Duration, gain float64) time.Duration {
	return old + time.Duration(gain*float64(newest-old))
}

// answeredIn takes note of how long an answer took that the worker gave at once.
func (c *Core) answeredIn(h *host, took time.Duration) {
	took = max(took, 0)
	if h.shortest == 0 || took < h.shortest {
		h.shortest = took
	}
	h.shortest = smoothed(h.shortest, took, shortestGain)
	c.delayed(took - h.shortest)
	took = min(took, mostTrip)
	if h.trip == 0 {
		h.trip = took
		return
	}
	h.trip = smoothed(h.trip, took, tripGain)
}

// delayed takes note of how much longer than its way an answer took. Late answers
// of many workers mean that this node itself is late to send or to read.
func (c *Core) delayed(by time.Duration) {
	c.delay = smoothed(c.delay, min(max(by, 0), mostDelay), delayGain)
}

// allowance is what the node's own delay adds to the patience for an answer.
func (c *Core) allowance() time.Duration { return min(delayFactor*c.delay, mostAllowance) }

// late reports whether answers are late by this node's own delay.
func (c *Core) late() bool { return c.delay > lateDelay }

// unanswered takes note of a call sent at the given time whose answer was late
// by the given time at least. A worker that has answered anything since is not
// silent, nor is one that was heard lately while answers are late.
func (c *Core) unanswered(h *host, sent, late time.Duration) {
	// Of a worker that was cut off, only the first call says something of this node.
	if !h.missed {
		h.missed = true
		c.delayed(late)
	}
	if h.heardAt > sent || c.late() && c.now-h.heardAt < contactBound {
		return
	}
	h.silent++
}

// wayOver is how long an answer is on its way: the trip, and another one to
// open a connection, as after a call that was given up.
func (h *host) wayOver() time.Duration { return 2 * h.trip }

// tellDelay decides that answers are late, or in time again.
func (c *Core) tellDelay() {
	switch {
	case c.late() && !c.toldLate:
		c.toldLate = true
		c.decide(Decision{Kind: "answers-late", Reason: fmt.Sprintf("at most %d starts at once", c.window.size), Age: c.delay})
	case c.delay < timelyDelay && c.toldLate:
		c.toldLate = false
		c.decide(Decision{Kind: "answers-in-time", Age: c.delay})
	}
}
