package slots

import "time"

// freeSlots returns the number of the runner's slots that can be granted now.
func (alloc *Allocator) freeSlots(now time.Duration, r *runner) int {
	unreported := r.unreported
	if now-alloc.termStart >= alloc.timing.ReclaimAfter() {
		unreported = 0
	}
	return PerRunner - unreported - alloc.committed(r.Attempt)
}

// LastGranted returns the last grant of a runner that was sent to the process.
func (alloc *Allocator) LastGranted(instanceID string, attempt uint64) int {
	if g := alloc.processes[instanceID].grants[attempt]; g != nil {
		return g.granted
	}
	return 0
}

// InSync reports whether the process has applied the last reply sent to it.
func (alloc *Allocator) InSync(instanceID string, applied int64) bool {
	return alloc.processes[instanceID].serial == applied
}

// Grants returns the slots granted to an entry process, by runner, and a new
// serial. The grants count as sent to the process from then on.
func (alloc *Allocator) Grants(now time.Duration, instanceID string) (map[uint64]int, int64) {
	p := alloc.processes[instanceID]
	out := make(map[uint64]int, len(alloc.listedRunners))
	for _, r := range alloc.listedRunners {
		out[r.Attempt] = alloc.updateGrant(now, p, r)
	}
	alloc.serial++
	p.serial, p.repliedAt = alloc.serial, now
	return out, p.serial
}

// PreviousLeaseRemaining returns how long an earlier process of the same host
// may still send under a grant from this allocator or from the previous term.
func (alloc *Allocator) PreviousLeaseRemaining(now time.Duration, instanceID string) time.Duration {
	last := alloc.termStart
	for name, p := range alloc.processes {
		if name != instanceID && p.host == alloc.processes[instanceID].host {
			last = max(last, p.repliedAt)
		}
	}
	return max(0, last+alloc.timing.Lease+alloc.timing.Lease*time.Duration(alloc.timing.DriftPerMille)/1000-now)
}

// RecordRenewal records that the process's lease was renewed with unchanged
// grants.
func (alloc *Allocator) RecordRenewal(now time.Duration, instanceID string) {
	alloc.processes[instanceID].repliedAt = now
}

// HasChanges reports whether Grants would return anything that the process has
// not applied yet.
func (alloc *Allocator) HasChanges(now time.Duration, instanceID string, applied int64) bool {
	p := alloc.processes[instanceID]
	if applied != p.serial {
		return true
	}
	for _, r := range alloc.listedRunners {
		granted := 0
		if g := p.grants[r.Attempt]; g != nil {
			granted = g.granted
		}
		if alloc.nextGrant(now, p, r) != granted {
			return true
		}
	}
	return false
}

// nextGrant returns the grant of the runner that the process would receive now.
func (alloc *Allocator) nextGrant(now time.Duration, p *process, r *runner) int {
	granted, committed := 0, 0
	if g := p.grants[r.Attempt]; g != nil {
		granted, committed = g.granted, g.committed()
	}
	target := r.targets[p]
	if r.Draining {
		target = 0
	}
	if target == granted {
		return granted
	}
	if target < granted {
		return target
	}
	return max(granted, min(target, committed+max(0, alloc.freeSlots(now, r))))
}

func (alloc *Allocator) updateGrant(now time.Duration, p *process, r *runner) int {
	n := alloc.nextGrant(now, p, r)
	g := p.grants[r.Attempt]
	if g == nil {
		if n == 0 {
			return 0
		}
		g = &grant{}
		p.grants[r.Attempt] = g
	}
	g.granted, g.maxHeld = n, max(g.maxHeld, n)
	return n
}
