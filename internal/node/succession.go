package node

import "github.com/mimosaspool/mimosaspool/internal/dispatch"

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
	// gap is set while terms may have passed unread before the next one that is read.
	gap bool
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
	v.term, v.gap = rec, false
	v.applyRecord(v.record)
}

// applyRecord applies what a leader has recorded. It had read all terms before its own, or
// assumed the worst of those that it had not read.
func (v *successionView) applyRecord(rec dispatch.Succession) {
	v.record = rec
	if rec.Token == v.term.Token {
		v.legacyToken = min(v.legacyToken, rec.LegacyToken)
	}
}

// legacyToken returns the highest token of a leader that may not have recorded its
// succession.
func (t *jobTable) legacyToken() int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.succession.legacyToken
}
