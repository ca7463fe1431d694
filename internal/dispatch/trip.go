package dispatch

import "time"

const (
	// tripGain is the weight of the newest answer in a worker's smoothed trip.
	tripGain = 0.25
	// mostTrip bounds what one answer says of the way, since the answer may have
	// been held up at this node.
	mostTrip = 400 * time.Millisecond
)

// answeredIn takes note of how long an answer took that the worker gave at once.
func (h *host) answeredIn(took time.Duration) {
	took = min(max(took, 0), mostTrip)
	if h.trip == 0 {
		h.trip = took
		return
	}
	h.trip += time.Duration(tripGain * float64(took-h.trip))
}

// wayOver is how long an answer is on its way: the trip, and another one to
// open a connection, as after a call that was given up.
func (h *host) wayOver() time.Duration { return 2 * h.trip }
