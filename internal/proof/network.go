package proof

import "time"

// link tells how messages between two hosts fare.
type link struct {
	delay, jitter time.Duration
	// Chances in thousandths that a message is lost, arrives twice, or is held
	// up for as long as late.
	lost, twice, held int
	late              time.Duration
}

// route is one direction between two hosts.
type route struct{ from, to string }

// cut drops all messages from one host to another until the given time.
func (w *World) cut(from, to string, until time.Duration) {
	r := route{from, to}
	w.cuts[r] = max(w.cuts[r], until)
}

// cutBoth drops all messages between two hosts.
func (w *World) cutBoth(a, b string, until time.Duration) {
	w.cut(a, b, until)
	w.cut(b, a, until)
}

// pass carries one message.
func (w *World) pass(from, to string, arrive func()) {
	if w.now < w.cuts[route{from, to}] || w.chance(w.link.lost) {
		return
	}
	w.after(w.delay(), arrive)
	if w.chance(w.link.twice) {
		w.after(w.delay(), arrive)
	}
}

// stream carries one message of an open connection: it arrives once or, where
// the connection is silent, never.
func (w *World) stream(from, to string, arrive func()) {
	if w.now >= w.cuts[route{from, to}] {
		w.after(w.link.delay+w.upTo(w.link.jitter), arrive)
	}
}

func (w *World) delay() time.Duration {
	d := w.link.delay + w.upTo(w.link.jitter)
	if w.chance(w.link.held) {
		d += w.upTo(w.link.late)
	}
	return d
}

// chance is true perMille times in a thousand.
func (w *World) chance(perMille int) bool { return perMille > 0 && w.rand.IntN(1000) < perMille }

// upTo returns a time from 0 to d.
func (w *World) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(w.rand.Int64N(int64(d)))
}

// between returns a time from a to b.
func (w *World) between(a, b time.Duration) time.Duration { return a + w.upTo(b-a) }
