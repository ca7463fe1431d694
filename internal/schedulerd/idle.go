package schedulerd

import (
	"context"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// idleInterval is the time between two looks for leaving runners whose slots are back.
const idleInterval = 200 * time.Millisecond

// watchIdle tells the core, when it changes, of which leaving runners no entry
// can fill a slot any more.
func (s *directoryService) watchIdle(ctx context.Context) {
	var told scheduler.SlotsIdle
	every(ctx, idleInterval, func() {
		ev, ok := s.idle()
		same := ev.Began == told.Began && ev.Version == told.Version && slices.Equal(ev.Attempts, told.Attempts)
		if ok && !same && len(ev.Attempts)+len(told.Attempts) > 0 {
			s.d.send(ctx, ev)
			told = ev
		}
	})
}

// idle returns what the term's ledger says; it returns false without the term.
func (s *directoryService) idle() (scheduler.SlotsIdle, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.d.start)
	st, _ := s.d.snapshot()
	if !s.lead(now, st) {
		return scheduler.SlotsIdle{}, false
	}
	return scheduler.SlotsIdle{Began: st.term.Began, Version: s.version, Attempts: s.ledger.IdleRunners(now)}, true
}
