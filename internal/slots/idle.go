package slots

import (
	"slices"
	"time"
)

// IdleRunners returns, in ascending order, the attempts of the draining runners
// on which no entry can fill a slot any more. Slots of a draining runner are
// not granted, so an idle runner stays idle while it is draining.
func (alloc *Allocator) IdleRunners(now time.Duration) []uint64 {
	alloc.removeExpired(now)
	var list []uint64
	for _, r := range alloc.listedRunners {
		if r.Draining && alloc.freeSlots(now, r) == PerRunner {
			list = append(list, r.Attempt)
		}
	}
	slices.Sort(list)
	return list
}
