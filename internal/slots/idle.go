package slots

import (
	"slices"
	"time"
)

// Idle returns, in order, the attempts of the leaving runners of which no entry
// can fill a slot any more. A leaving runner is granted to nobody, so nothing
// new can run on one that is idle while it is leaving.
func (l *Ledger) Idle(now time.Duration) []uint64 {
	l.collect(now)
	var list []uint64
	for _, r := range l.order {
		if r.Leaving && l.free(now, r) == PerRunner {
			list = append(list, r.Attempt)
		}
	}
	slices.Sort(list)
	return list
}
