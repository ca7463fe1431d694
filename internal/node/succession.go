package node

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
)

// successionView is what the job log tells of the order of the leaders. A reader of the
// whole log sees each term. One that begins with the newest records of each key sees the
// newest term only, and what that leader has recorded of those before.
type successionView struct {
	// term is the record of the newest term, record the newest that a leader has written
	// of its succession.
	term   termRecord
	record dispatch.Succession
	// legacyToken is the highest token of a leader that may not have recorded its
	// succession.
	legacyToken int64
	// previous is the token of the term before the newest one, or 0 if that isn't known.
	previous int64
	// gap is set while terms may have passed unread before the next one that is read.
	gap bool
	// ends holds, by token, since when no leader with a lower one has been confirmed.
	ends map[int64]time.Time
}

func (v *successionView) applyTerm(rec termRecord) {
	if rec.Token <= v.term.Token {
		return
	}
	switch {
	case !rec.RecordsSuccession:
		v.legacyToken = rec.Token
	case v.gap:
		v.legacyToken = rec.Token - 1
	}
	v.previous = v.term.Token
	if v.gap {
		v.previous = 0
	}
	v.term, v.gap = rec, false
	v.trustRecord()
}

func (v *successionView) applyRecord(rec dispatch.Succession) {
	v.record = rec
	v.applyEnds(rec.Ends)
	v.trustRecord()
}

// trustRecord takes over what the newest leader has recorded of its succession. It had read
// all terms before its own, or assumed the worst of those that it had not read.
func (v *successionView) trustRecord() {
	if v.record.Token == v.term.Token {
		v.legacyToken = min(v.legacyToken, v.record.LegacyToken)
	}
}

// applyEnds replaces the ends by those recorded. They are at least as old as the record
// says, or as an earlier one that this node has read.
func (v *successionView) applyEnds(ends []dispatch.LeaderEnd) {
	known := v.ends
	v.ends = make(map[int64]time.Time, len(ends))
	for _, e := range ends {
		at := time.Now().Add(-time.Duration(e.AgeMillis) * time.Millisecond)
		if before, ok := known[e.Before]; ok && before.Before(at) {
			at = before
		}
		v.ends[e.Before] = at
	}
}

// lastLeader returns the token of the last leader before the newest term that may have given
// the worker orders. A leader that recorded nothing may have given orders to all.
func (v *successionView) lastLeader(worker string) int64 {
	if v.previous == 0 {
		return v.term.Token - 1
	}
	if token, ok := v.record.Unreached[worker]; ok && v.record.Token == v.previous {
		return token
	}
	return v.previous
}

// leadersEnded returns the ends of previous leaders in the local time of a node whose
// uptime is now.
func (v *successionView) leadersEnded(now time.Duration) []dispatch.Event {
	events := make([]dispatch.Event, 0, len(v.ends))
	for before, at := range v.ends {
		events = append(events, dispatch.LeadersEnded{Before: before, Since: now - time.Since(at)})
	}
	return events
}

// legacyToken returns the highest token of a leader that may not have recorded its
// succession.
func (t *jobTable) legacyToken() int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.succession.legacyToken
}
