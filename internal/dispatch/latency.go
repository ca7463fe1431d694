package dispatch

import (
	"fmt"
	"time"
)

const (
	// roundTripGain is the weight of the newest answer in a worker's smoothed round
	// trip.
	roundTripGain = 0.25
	// maxRoundTrip bounds the round trip taken from one answer, since the answer may
	// have been delayed on this node.
	maxRoundTrip = 400 * time.Millisecond
	// minRoundTripGain lets a worker's minimum round trip follow a path that has
	// become longer.
	minRoundTripGain = 0.02
	// delayGain is the weight of the newest answer in the node's smoothed delay.
	// maxAnswerDelay bounds the delay taken from one answer.
	delayGain      = 1.0 / 16
	maxAnswerDelay = time.Second
	// delayFactor is the multiple of the node's delay that is added to timeouts, and
	// maxDelayAllowance bounds what is added. Orders that go on for longer would
	// violate the platform's limits on draining, cancelling and gangs.
	delayFactor       = 3
	maxDelayAllowance = time.Second
	// lateThreshold is the delay above which a missing answer says little about the
	// worker.
	lateThreshold = 100 * time.Millisecond
	// timelyThreshold is the delay below which answers are reported to be in time
	// again.
	timelyThreshold = 50 * time.Millisecond
)

// ewma returns the exponentially weighted moving average after a new value. The
// gain, from 0 to 1, is the weight of the new value.
func ewma(old, newest time.Duration, gain float64) time.Duration {
	return old + time.Duration(gain*float64(newest-old))
}

// recordRoundTrip records how long an answer took that the worker gave at once.
func (c *Core) recordRoundTrip(h *host, took time.Duration) {
	took = max(took, 0)
	if h.minRoundTrip == 0 || took < h.minRoundTrip {
		h.minRoundTrip = took
	}
	h.minRoundTrip = ewma(h.minRoundTrip, took, minRoundTripGain)
	c.recordDelay(took - h.minRoundTrip)
	took = min(took, maxRoundTrip)
	if h.roundTrip == 0 {
		h.roundTrip = took
		return
	}
	h.roundTrip = ewma(h.roundTrip, took, roundTripGain)
}

// recordDelay records how much longer than its round trip an answer took. Late
// answers from many workers mean that this node itself is slow to send or read.
func (c *Core) recordDelay(delay time.Duration) {
	c.answerDelay = ewma(c.answerDelay, min(max(delay, 0), maxAnswerDelay), delayGain)
}

// delayAllowance is what the node's own delay adds to timeouts.
func (c *Core) delayAllowance() time.Duration {
	return min(delayFactor*c.answerDelay, maxDelayAllowance)
}

// answersLate reports whether answers are late because of this node's own delay.
func (c *Core) answersLate() bool { return c.answerDelay > lateThreshold }

// recordTimeout records a call that was sent at sent and whose answer was late by at
// least lateBy. The worker isn't counted as unanswered if it has answered anything
// since then, nor if it was in contact recently while answers are late.
func (c *Core) recordTimeout(h *host, sent, lateBy time.Duration) {
	// If a worker is cut off, only the first call says anything about this node.
	if !h.timeoutCounted {
		h.timeoutCounted = true
		c.recordDelay(lateBy)
	}
	if h.lastContact > sent || c.answersLate() && c.now-h.lastContact < maxContactAge {
		return
	}
	h.unanswered++
}

// roundTripAllowance is the network time of an answer: one round trip, and another
// one to open a connection, as after a call that timed out.
func (h *host) roundTripAllowance() time.Duration { return 2 * h.roundTrip }

// AnswersLate reports whether answers have become late and are not in time again.
func (c *Core) AnswersLate() bool { return c.lateReported }

// reportDelay reports a decision when answers become late, or in time again.
func (c *Core) reportDelay() {
	switch {
	case c.answersLate() && !c.lateReported:
		c.lateReported = true
		c.recordDecision(Decision{Kind: "answers-late", Reason: fmt.Sprintf("at most %d starts at once; %s", c.window.size, c.takeCallReport()), Age: c.answerDelay})
	case c.answerDelay < timelyThreshold && c.lateReported:
		c.lateReported = false
		c.recordDecision(Decision{Kind: "answers-in-time", Reason: c.takeCallReport(), Age: c.answerDelay})
	}
}
