package slots

import "time"

// free returns how many slots of the runner may be granted to someone new.
func (l *Ledger) free(now time.Duration, r *runner) int {
	unknown := r.unknown
	if now-l.began >= l.timing.Silent() {
		unknown = 0
	}
	return PerRunner - unknown - l.counted(r.Attempt)
}

// Told returns what the process was last granted of a runner.
func (l *Ledger) Told(holder string, attempt uint64) int {
	if g := l.holders[holder].grants[attempt]; g != nil {
		return g.sent
	}
	return 0
}

// InStep reports whether the process has applied the last reply to it.
func (l *Ledger) InStep(holder string, applied int64) bool {
	return l.holders[holder].serial == applied
}

// Grants returns the slots of an entry process by runner, with a new serial.
// What it returns counts as told to the process.
func (l *Ledger) Grants(now time.Duration, holder string) (map[uint64]int, int64) {
	h := l.holders[holder]
	out := make(map[uint64]int, len(l.order))
	for _, r := range l.order {
		out[r.Attempt] = l.grant(now, h, r)
	}
	l.serial++
	h.serial, h.repliedAt = l.serial, now
	return out, h.serial
}

// Former returns how long an earlier process of the holder's host may still send
// under a grant: of this ledger, or of the former term's.
func (l *Ledger) Former(now time.Duration, holder string) time.Duration {
	last := l.began
	for name, h := range l.holders {
		if name != holder && h.host == l.holders[holder].host {
			last = max(last, h.repliedAt)
		}
	}
	return max(0, last+l.timing.Lease+l.timing.Lease*time.Duration(l.timing.DriftPerMille)/1000-now)
}

// Renew takes note that the process's lease is renewed as it stands.
func (l *Ledger) Renew(now time.Duration, holder string) { l.holders[holder].repliedAt = now }

// News reports whether Grants would return something other than the process
// has applied.
func (l *Ledger) News(now time.Duration, holder string, applied int64) bool {
	h := l.holders[holder]
	if applied != h.serial {
		return true
	}
	for _, r := range l.order {
		sent := 0
		if g := h.grants[r.Attempt]; g != nil {
			sent = g.sent
		}
		if l.next(now, h, r) != sent {
			return true
		}
	}
	return false
}

// next returns the grant that the process gets of the runner now.
func (l *Ledger) next(now time.Duration, h *holder, r *runner) int {
	sent, count := 0, 0
	if g := h.grants[r.Attempt]; g != nil {
		sent, count = g.sent, g.count()
	}
	target := r.targets[h]
	if r.Leaving {
		target = 0
	}
	if target == sent {
		return sent
	}
	if target < sent {
		return target
	}
	return max(sent, min(target, count+max(0, l.free(now, r))))
}

func (l *Ledger) grant(now time.Duration, h *holder, r *runner) int {
	n := l.next(now, h, r)
	g := h.grants[r.Attempt]
	if g == nil {
		if n == 0 {
			return 0
		}
		g = &grant{}
		h.grants[r.Attempt] = g
	}
	g.sent, g.bound = n, max(g.bound, n)
	return n
}
