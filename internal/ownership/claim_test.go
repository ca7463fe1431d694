package ownership_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/ownership"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "10000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// The model of a worker and its claimants counts in ticks.
const tick = time.Second

func modelTiming(without ownership.Guard) ownership.Timing {
	return ownership.Timing{Mark: 3 * tick, Renew: tick, Task: 8 * tick, Reply: 20 * tick, DriftPerMille: 5, Without: without}
}

type mark struct{ expiry, since time.Duration }

// message is a write on its way; it may arrive late, twice or never.
type message struct {
	from   int
	holder string
	boot   time.Duration
	mark   ownership.Mark
	// start is the lease of a task started with the write; 0 is none.
	start time.Duration
}

// model is one worker with several claimants, whose messages arrive in any order.
type model struct {
	timing ownership.Timing
	// now is the true time; the worker's clock is ahead of it.
	now     time.Duration
	ahead   time.Duration
	boot    time.Duration
	marks   map[string]mark
	tasks   []time.Duration
	claims  []*ownership.Claim
	offsets []time.Duration
	// read is the time that each claimant read last; paused is how long the
	// present step takes between reading the clock and acting.
	read   []time.Duration
	paused time.Duration
	// started is the last lease that each claimant gave to a start.
	started []time.Duration
	writes  []message
	replies []func()
	breach  string
}

func newModel(timing ownership.Timing, claimants int) *model {
	m := &model{timing: timing, now: 100 * tick, boot: tick, marks: map[string]mark{}, tasks: make([]time.Duration, claimants), started: make([]time.Duration, claimants)}
	for i := range claimants {
		m.claims = append(m.claims, ownership.NewClaim(timing))
		m.offsets = append(m.offsets, time.Duration(i)*7*tick)
		m.read = append(m.read, 0)
	}
	return m
}

// clock is the worker's time.
func (m *model) clock() time.Duration { return m.now + m.ahead }

// local is the time at which a claimant takes its next step. It may have read
// its clock before a pause, so the time may be old, but never goes back.
func (m *model) local(i int) time.Duration {
	m.read[i] = max(m.read[i], m.now-100*tick+m.offsets[i]-m.paused)
	return m.read[i]
}

func (m *model) lacks(g ownership.Guard) bool { return m.timing.Without&g != 0 }

// send lets a claimant write; an owner also starts a task.
func (m *model) send(i int, start bool) {
	c := m.claims[i]
	c.Expire(m.local(i))
	w := message{from: i, holder: c.Holder(fmt.Sprint(i)), boot: c.Boot()}
	if start && c.Owned(m.local(i)) {
		w.start = c.StartExpiry()
		m.started[i] = w.start
	}
	w.mark = c.Send(m.local(i))
	m.writes = append(m.writes, w)
}

// release gives up a claim when no start of its can still count; the worker is told so.
func (m *model) release(i int) bool {
	c := m.claims[i]
	quiet := !c.Pending() && m.started[i] <= c.Reading() || m.lacks(ownership.GuardQuiet)
	if c.Phase() == ownership.Idle || !quiet {
		return false
	}
	w := message{from: i, holder: c.Holder(fmt.Sprint(i)), boot: c.Boot(), mark: ownership.Mark{Expiry: -1}}
	c.Release(true)
	m.writes = append(m.writes, w)
	return true
}

// arrive lets the worker take a write.
func (m *model) arrive(w message) {
	now := m.clock()
	for h, k := range m.marks {
		if k.expiry <= now {
			delete(m.marks, h)
		}
	}
	if w.boot == 0 || w.boot == m.boot || m.lacks(ownership.GuardBoot) {
		m.take(w)
	}
	r := ownership.Reply{Write: w.mark.Write, Now: now, Boot: m.boot}
	for h, k := range m.marks {
		if h == w.holder {
			r.Expiry, r.Since = k.expiry, k.since
		} else {
			r.Others++
		}
	}
	m.replies = append(m.replies, func() {
		m.claims[w.from].Expire(m.local(w.from))
		m.claims[w.from].Receive(r)
	})
}

func (m *model) take(w message) {
	now := m.clock()
	live := w.mark.Expiry > now || m.lacks(ownership.GuardExpiry) && w.mark.Expiry > 0
	switch {
	case w.mark.Expiry < 0:
		delete(m.marks, w.holder)
	case live:
		old, ok := m.marks[w.holder]
		if !ok {
			old.since = now
		}
		m.marks[w.holder] = mark{max(old.expiry, w.mark.Expiry), old.since}
	}
	if w.start > 0 && m.lacks(ownership.GuardExpiry) {
		w.start = max(w.start, now+tick)
	}
	if w.start <= now {
		return
	}
	m.tasks[w.from] = max(m.tasks[w.from], w.start)
	for j, until := range m.tasks {
		if j != w.from && until > now {
			m.breach = fmt.Sprintf("claimants %d and %d both run tasks at %s", j, w.from, m.now)
		}
	}
}

// restart loses marks and tasks; the clock goes on, or is behind as that of
// another machine.
func (m *model) restart(behind bool) {
	if behind {
		m.ahead -= 5 * tick
	}
	m.boot = m.clock()
	clear(m.marks)
	clear(m.tasks)
}

// roundTrip lets a claimant write and get its answer at once.
func (m *model) roundTrip(i int, start bool) {
	m.send(i, start)
	m.deliver(len(m.writes)-1, false)
	m.answer(len(m.replies) - 1)
}

// deliver lets the k-th write on its way arrive, perhaps not for the last time.
func (m *model) deliver(k int, again bool) {
	if k < 0 {
		return
	}
	w := m.writes[k]
	if !again {
		m.writes = slices.Delete(m.writes, k, k+1)
	}
	m.arrive(w)
}

// answer lets the k-th reply on its way arrive.
func (m *model) answer(k int) {
	if k < 0 {
		return
	}
	f := m.replies[k]
	m.replies = slices.Delete(m.replies, k, k+1)
	f()
}

// explore plays one random history of the model and returns a breach, or nothing.
func explore(t *rapid.T, without ownership.Guard) string {
	m := newModel(modelTiming(without), rapid.IntRange(2, 3).Draw(t, "claimants"))
	for i := range m.claims {
		m.roundTrip(i, false)
	}
	waits := []time.Duration{tick / 2, tick, tick, 2 * tick, 3 * tick}
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		i := rapid.IntRange(0, len(m.claims)-1).Draw(t, "who")
		m.paused = rapid.SampledFrom([]time.Duration{0, 0, 0, 4 * tick}).Draw(t, "pause")
		switch rapid.IntRange(0, 13).Draw(t, "step") {
		case 0, 1, 2:
			m.now += rapid.SampledFrom(waits).Draw(t, "wait")
		case 3, 4, 5, 6:
			m.roundTrip(i, rapid.Bool().Draw(t, "start"))
		case 7, 8:
			m.send(i, rapid.Bool().Draw(t, "start"))
		case 9, 10:
			m.deliver(rapid.IntRange(-1, len(m.writes)-1).Draw(t, "write"), rapid.Bool().Draw(t, "again"))
		case 11:
			m.answer(rapid.IntRange(-1, len(m.replies)-1).Draw(t, "reply"))
		case 12:
			if m.release(i) && rapid.Bool().Draw(t, "told") {
				m.deliver(len(m.writes)-1, false)
			}
		case 13:
			m.restart(rapid.Bool().Draw(t, "behind"))
		}
	}
	return m.breach
}

// TestNoTwoOwners explores two to four claimants of one worker, which may
// restart: tasks of two of them never run there at once.
func TestNoTwoOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if b := explore(t, 0); b != "" {
			t.Fatal(b)
		}
	})
}

// TestGuardsAreNeeded takes one guard out at a time: a history then breaks the
// promise. GuardNewest isn't among them; it matters to the term only.
func TestGuardsAreNeeded(t *testing.T) {
	for name, g := range map[string]ownership.Guard{
		"expiry": ownership.GuardExpiry, "bound": ownership.GuardBound, "since": ownership.GuardSince,
		"others": ownership.GuardOthers, "boot": ownership.GuardBoot, "quiet": ownership.GuardQuiet,
	} {
		t.Run(name, func(t *testing.T) {
			histories := rapid.Custom(func(t *rapid.T) string { return explore(t, g) })
			for seed := range 100000 {
				if b := histories.Example(seed); b != "" {
					t.Logf("seed %d: %s", seed, b)
					return
				}
			}
			t.Error("no history breaks the promise without the guard")
		})
	}
}
