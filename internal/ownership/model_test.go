package ownership_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/tenure"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "10000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Times in the model of a domain's workers and schedulers are multiples of tick.
const tick = time.Second

func modelTiming(without ownership.Guard) ownership.Timing {
	return ownership.Timing{
		Start: 3 * tick, Renew: tick, Task: 8 * tick, Reply: 20 * tick, DriftPerMille: 5,
		Grant: 2 * tick, Tenure: tenure.Timing{Confidence: 5 * tick}, Without: without,
	}
}

// writeMessage is a write in transit. It may arrive late, twice or never.
type writeMessage struct {
	from, to int
	write    uint64
	token    int64
	boot     time.Duration
	// start and renew are lease expiries in the worker's clock; 0 for none.
	start, renew time.Duration
	// reading is the reading of the worker's clock that the sender had.
	reading time.Duration
}

// modelWorker is a worker whose clock is clockOffset ahead of model time.
type modelWorker struct {
	clockOffset, boot time.Duration
	token             int64
	// lease is the lease expiry of the task that runs here, or 0.
	lease time.Duration
}

// modelScheduler is a scheduler of the domain.
type modelScheduler struct {
	term   *ownership.Term
	fences []*ownership.Fence
	// clockOffset is the offset of its clock, and lastRead its newest clock
	// reading.
	clockOffset, lastRead time.Duration
	// released and previousWorkers describe the previous leader at the time of the
	// claim.
	released        bool
	previousWorkers int
	// starts counts the starts that it ordered.
	starts int
}

// model is a domain whose messages arrive in any order.
type model struct {
	timing     ownership.Timing
	now        time.Duration
	workers    []*modelWorker
	schedulers []*modelScheduler
	// newestToken is the token of the newest claim.
	newestToken int64
	// released means that the newest leader has released leadership.
	released bool
	// paused is the pause between reading the clock and acting in the present
	// step.
	paused    time.Duration
	writes    []writeMessage
	replies   []func()
	starts    int
	violation string
}

func newModel(timing ownership.Timing, schedulers, workers int) *model {
	m := &model{timing: timing, now: 100 * tick}
	for i := range workers {
		m.workers = append(m.workers, &modelWorker{clockOffset: time.Duration(i) * 11 * tick, boot: tick})
	}
	for i := range schedulers {
		h := &modelScheduler{term: ownership.NewTerm(timing), clockOffset: time.Duration(i) * 7 * tick}
		for range workers {
			h.fences = append(h.fences, ownership.NewFence(timing))
		}
		m.schedulers = append(m.schedulers, h)
	}
	return m
}

func (m *model) lacks(g ownership.Guard) bool { return m.timing.Without&g != 0 }

// localTime returns the local time at which a scheduler takes its next step. The
// clock may have been read before a pause, so the time may be old, but it never
// goes back.
func (m *model) localTime(h *modelScheduler) time.Duration {
	h.lastRead = max(h.lastRead, m.now-100*tick+h.clockOffset-m.paused)
	return h.lastRead
}

// step updates a scheduler's term. Leadership without confirmation is lost.
func (m *model) step(h *modelScheduler) time.Duration {
	now := m.localTime(h)
	if h.term.Token() == 0 {
		return now
	}
	asked := make([]time.Duration, len(h.fences))
	fenced := 0
	for i, f := range h.fences {
		f.Expire(now)
		asked[i] = f.ConfirmedAt()
		if f.Fenced(h.term.Token()) {
			fenced++
		}
	}
	h.term.Confirm(ownership.MajorityConfirmedAt(asked))
	if !h.term.Confirmed(now) {
		h.term.End()
		return now
	}
	h.term.Update(now, ownership.PreviousLeader{Released: h.released, Workers: h.previousWorkers, Fenced: fenced})
	return now
}

// claimOrConfirm makes a scheduler the leader, or confirms its leadership. The
// record was sent when the scheduler last read its clock.
func (m *model) claimOrConfirm(h *modelScheduler) {
	now := m.step(h)
	switch h.term.Token() {
	case 0:
		if h.previousWorkers = len(m.workers); m.newestToken == 0 {
			h.previousWorkers = 0
		}
		h.released, m.released = m.released, false
		m.newestToken++
		h.term.Claim(m.newestToken)
		h.term.Confirm(now)
	case m.newestToken:
		h.term.Confirm(now)
	}
}

// release releases leadership if the scheduler may do so.
func (m *model) release(h *modelScheduler) {
	if now := m.step(h); h.term.Exclusive(now) && h.term.Token() == m.newestToken {
		m.released = true
		h.term.End()
	}
}

// send lets a scheduler write to a worker; within its term the write carries a
// start and a renewal. It returns the write's index, or -1 if there is none.
func (m *model) send(i, to int) int {
	h := m.schedulers[i]
	now := m.step(h)
	if h.term.Token() == 0 {
		return -1
	}
	f := h.fences[to]
	w := writeMessage{from: i, to: to, token: h.term.Token(), boot: f.BootTime(), reading: f.ClockReading()}
	if h.term.Held(now) && f.Owned(now) {
		w.start = f.StartExpiry()
		w.renew, _ = f.RenewalExpiry(now)
		h.starts++
	}
	w.write = f.BeginWrite(now, w.token)
	m.writes = append(m.writes, w)
	return len(m.writes) - 1
}

// receiveWrite lets a worker process a write.
func (m *model) receiveWrite(w writeMessage) {
	k := m.workers[w.to]
	now := m.now + k.clockOffset
	if k.lease <= now {
		k.lease = 0
	}
	addressed := w.boot == 0 || w.boot == k.boot || m.lacks(ownership.GuardBoot)
	if addressed && (w.token >= k.token || m.lacks(ownership.GuardToken)) {
		k.token = w.token
		m.applyWrite(k, w, now)
	}
	r := ownership.Reply{Write: w.write, Now: now, Boot: k.boot, Token: k.token}
	m.replies = append(m.replies, func() {
		h := m.schedulers[w.from]
		m.step(h) // expire first, so that a late reply confirms nothing
		h.fences[w.to].HandleReply(r)
		if r.Token > h.term.Token() {
			h.term.End()
		}
		m.step(h)
	})
}

func (m *model) applyWrite(k *modelWorker, w writeMessage, now time.Duration) {
	if k.lease > 0 && w.renew > now {
		k.lease = max(k.lease, w.renew)
		m.checkOrders(k, w)
	}
	if w.start > 0 && m.lacks(ownership.GuardExpiry) {
		w.start = max(w.start, now+m.timing.Start)
	}
	if w.start > now {
		k.lease = max(k.lease, w.start)
		m.starts++
		m.checkOrders(k, w)
		if f := m.schedulers[w.from].fences[w.to]; f.BootTime() == k.boot && f.ClockReading() >= w.reading+m.timing.Start {
			m.violation = fmt.Sprintf("%v: a start takes effect on worker %d although its sender knows a reading past the start's expiry", m.now, w.to)
		}
	}
}

// checkOrders detects orders that break what a later leader relies on: a worker
// that it has fenced obeys no previous leader, and no lease from a previous leader
// outlasts its UnseenTasksExpireAt.
func (m *model) checkOrders(k *modelWorker, w writeMessage) {
	for i, h := range m.schedulers {
		began := h.term.Began() + 100*tick - h.clockOffset
		if h.term.Token() <= w.token || h.term.Began() == 0 || m.now < began {
			continue
		}
		if h.fences[w.to].Fenced(h.term.Token()) {
			m.violation = fmt.Sprintf("%v: worker %d, fenced by leader %d, obeys token %d", m.now, w.to, i, w.token)
		}
		if hidden := h.term.UnseenTasksExpireAt() + 100*tick - h.clockOffset; k.lease-k.clockOffset > hidden {
			m.violation = fmt.Sprintf("%v: worker %d runs a task of token %d until %v, after %v, when leader %d considers it expired", m.now, w.to, w.token, k.lease-k.clockOffset, hidden, i)
		}
	}
}

// checkTerms detects a previous leader whose token is still confirmed while a later
// leader considers itself exclusive, and two leaders that both grant slots.
func (m *model) checkTerms() {
	for i, a := range m.schedulers {
		for j, b := range m.schedulers {
			if a.term.Token() == 0 || a.term.Token() >= b.term.Token() {
				continue
			}
			localA, localB := m.now-100*tick+a.clockOffset, m.now-100*tick+b.clockOffset
			if a.term.Confirmed(localA) && b.term.Exclusive(localB) {
				m.violation = fmt.Sprintf("%v: leader %d is exclusive while leader %d is confirmed until %v", m.now, j, i, a.term.Until()+100*tick-a.clockOffset)
			}
			if a.term.GrantsSlots(localA) && b.term.GrantsSlots(localB) {
				m.violation = fmt.Sprintf("%v: leaders %d and %d both grant slots", m.now, i, j)
			}
		}
	}
}

// restart drops the worker's token and all tasks. Its clock continues, or is
// behind as on another machine.
func (m *model) restart(k *modelWorker, behind bool) {
	if behind {
		k.clockOffset -= 5 * tick
	}
	k.boot, k.token, k.lease = m.now+k.clockOffset, 0, 0
}

// deliver delivers the k-th write in transit. With again set, the write stays in
// transit and may arrive once more.
func (m *model) deliver(k int, again bool) {
	if k < 0 {
		return
	}
	w := m.writes[k]
	if !again {
		m.writes = slices.Delete(m.writes, k, k+1)
	}
	m.receiveWrite(w)
}

// deliverReply delivers the k-th reply in transit.
func (m *model) deliverReply(k int) {
	if k < 0 {
		return
	}
	f := m.replies[k]
	m.replies = slices.Delete(m.replies, k, k+1)
	m.paused = 0
	f()
}

// roundTrip lets a scheduler write to a worker and delivers the reply at once.
func (m *model) roundTrip(i, to int) {
	if k := m.send(i, to); k >= 0 {
		m.deliver(k, false)
		m.deliverReply(len(m.replies) - 1)
	}
}

// explore runs one random history of the model and returns the model.
func explore(t *rapid.T, without ownership.Guard) *model {
	m := newModel(modelTiming(without), 2, rapid.IntRange(1, 3).Draw(t, "workers"))
	for k := range m.workers {
		m.claimOrConfirm(m.schedulers[0])
		m.roundTrip(0, k)
	}
	waits := []time.Duration{tick / 2, tick, tick, 2 * tick, 3 * tick}
	for range rapid.IntRange(5, 50).Draw(t, "steps") {
		i := rapid.IntRange(0, len(m.schedulers)-1).Draw(t, "who")
		k := rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")
		m.paused = rapid.SampledFrom([]time.Duration{0, 0, 0, 4 * tick}).Draw(t, "pause")
		switch rapid.IntRange(0, 17).Draw(t, "step") {
		case 0, 1, 2:
			m.now += rapid.SampledFrom(waits).Draw(t, "wait")
		case 3, 4, 5, 6, 7:
			m.roundTrip(i, k)
		case 8:
			m.send(i, k)
		case 9:
			m.deliver(m.send(i, k), false)
		case 10, 11:
			m.deliver(rapid.IntRange(-1, len(m.writes)-1).Draw(t, "write"), rapid.Bool().Draw(t, "again"))
		case 12:
			m.deliverReply(rapid.IntRange(-1, len(m.replies)-1).Draw(t, "reply"))
		case 13, 14:
			m.claimOrConfirm(m.schedulers[i])
		case 15:
			for k := range m.workers {
				m.roundTrip(i, k)
			}
		case 16:
			if rapid.Bool().Draw(t, "stops") {
				m.release(m.schedulers[i])
			}
		case 17:
			m.restart(m.workers[k], rapid.Bool().Draw(t, "behind"))
		}
		m.checkTerms()
	}
	return m
}

// TestNewTermExcludesPreviousLeader guards against a term that relies on something
// a previous leader can still break. Two schedulers claim leadership of a domain in
// turn, and workers may restart.
func TestNewTermExcludesPreviousLeader(t *testing.T) {
	starts := 0
	rapid.Check(t, func(t *rapid.T) {
		m := explore(t, 0)
		if m.violation != "" {
			t.Fatal(m.violation)
		}
		starts += m.starts
	})
	if starts == 0 {
		t.Error("no task was started in any history")
	}
}

// TestGuardsAreNeeded disables one guard at a time and expects a history that
// breaks what the sender or a later leader relies on. The histories for
// GuardAssumedStarts, GuardUnseen and GuardRenewedLeases are in internal/proof.
func TestGuardsAreNeeded(t *testing.T) {
	for name, g := range map[string]ownership.Guard{
		"expiry": ownership.GuardExpiry, "bound": ownership.GuardStartBound, "fence": ownership.GuardToken,
		"confidence": ownership.GuardConfidence, "former": ownership.GuardPreviousLeader, "boot": ownership.GuardBoot,
		"settle": ownership.GuardStartupDelay, "newest": ownership.GuardNewestReply,
	} {
		t.Run(name, func(t *testing.T) {
			histories := rapid.Custom(func(t *rapid.T) string { return explore(t, g).violation })
			for seed := range 100000 {
				if b := histories.Example(seed); b != "" {
					t.Logf("seed %d: %s", seed, b)
					return
				}
			}
			t.Error("no history violates safety without the guard")
		})
	}
}

// TestReplyToEarlierWriteDoesNotConfirm guards against a reply to an earlier
// write counting as confirmation at the send time of the newest write.
func TestReplyToEarlierWriteDoesNotConfirm(t *testing.T) {
	for guard, want := range map[ownership.Guard]time.Duration{0: 1 * tick, ownership.GuardNewestReply: 9 * tick} {
		f := ownership.NewFence(modelTiming(guard))
		reply := ownership.Reply{Now: 100 * tick, Boot: tick, Token: 7}
		reply.Write = f.BeginWrite(tick, 7)
		f.HandleReply(reply)
		reply.Write = f.BeginWrite(3*tick, 7)
		f.BeginWrite(9*tick, 7)
		f.HandleReply(reply)
		if f.ConfirmedAt() != want {
			t.Errorf("without guards %b: confirmed at %v, want %v", guard, f.ConfirmedAt(), want)
		}
	}
}

// TestMajoritiesOverlap guards against two majorities without a common worker.
func TestMajoritiesOverlap(t *testing.T) {
	for n := 1; n < 200; n++ {
		if 2*ownership.Majority(n) <= n {
			t.Errorf("two majorities of %d need not overlap", n)
		}
	}
	if at := ownership.MajorityConfirmedAt([]time.Duration{4 * tick, 0, 9 * tick}); at != 4*tick {
		t.Errorf("two of three confirm at %v, want 4 ticks", at)
	}
	if at := ownership.MajorityConfirmedAt([]time.Duration{4 * tick, 0, 9 * tick, 0}); at != 0 {
		t.Errorf("two of four are no majority, want 0, got %v", at)
	}
}
