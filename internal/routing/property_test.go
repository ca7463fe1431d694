package routing_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/routing"
)

// TestMain sets the default seed and number of rapid checks. Command-line flags
// override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// fakeEntry carries out the core's effects and draws how each send ends. It
// checks the core against what runners and callers saw.
type fakeEntry struct {
	t        *rapid.T
	core     *routing.Core
	now      time.Duration
	slots    int
	admits   map[uint64]routing.RequestReceived
	inFlight []routing.Send
	ran      map[uint64]int
	ended    map[uint64]bool
	running  map[uint64]int
	sentAt   map[uint64]time.Duration
	// lostSends are the requests that still run at a runner after their
	// connection was lost.
	lostSends []lostSend
}

type lostSend struct {
	attempt uint64
	until   time.Duration
}

func (f *fakeEntry) step(ev routing.Event) {
	for _, e := range f.core.Step(f.now, ev) {
		switch e := e.(type) {
		case routing.Send:
			f.inFlight = append(f.inFlight, e)
			f.sentAt[e.ID] = f.now
			f.running[e.Attempt]++
			if f.running[e.Attempt] > f.slots {
				f.t.Fatalf("runner %d received %d concurrent requests", e.Attempt, f.running[e.Attempt])
			}
		case routing.Finish:
			f.finish(e)
		}
	}
}

func (f *fakeEntry) finish(e routing.Finish) {
	if f.ended[e.ID] {
		f.t.Fatalf("request %d ended twice", e.ID)
	}
	f.ended[e.ID] = true
	if e.Result.Outcome == routing.OutcomeNotRun && f.ran[e.ID] > 0 {
		f.t.Fatalf("request %d ran but was reported as not run: %s", e.ID, e.Result.Reason)
	}
	if _, sent := f.sentAt[e.ID]; e.Result.Outcome == routing.OutcomeUnknown && !sent {
		f.t.Fatalf("request %d was never sent but was reported as unknown", e.ID)
	}
}

// end completes the i-th send in flight with the given fate.
func (f *fakeEntry) end(i int, fate string) {
	s := f.inFlight[i]
	f.inFlight = append(f.inFlight[:i], f.inFlight[i+1:]...)
	f.running[s.Attempt]--
	switch fate {
	case "answer", "error":
		f.ran[s.ID]++
		f.step(routing.SendAnswered{ID: s.ID, Send: s.Send, Status: map[string]int{"answer": 200, "error": 500}[fate]})
	case "lose":
		f.ran[s.ID]++
		if until := f.sentAt[s.ID] + routing.DefaultTiming().MaxRequestTime; until > f.now {
			f.running[s.Attempt]++
			f.lostSends = append(f.lostSends, lostSend{s.Attempt, until})
		}
		f.step(routing.SendFailed{ID: s.ID, Send: s.Send, MaybeSent: true, Replayable: true})
	case "unreached":
		f.step(routing.SendFailed{ID: s.ID, Send: s.Send, Replayable: true})
	case "refuse":
		f.step(routing.SendRefused{ID: s.ID, Send: s.Send, Replayable: true, RetryAfter: time.Second})
	}
	if !f.admits[s.ID].Idempotent && f.ran[s.ID] > 1 {
		f.t.Fatalf("non-idempotent request %d ran %d times", s.ID, f.ran[s.ID])
	}
}

func (f *fakeEntry) advance(d time.Duration) {
	f.now += d
	rest := f.lostSends[:0]
	for _, l := range f.lostSends {
		if l.until <= f.now {
			f.running[l.attempt]--
		} else {
			rest = append(rest, l)
		}
	}
	f.lostSends = rest
	f.step(routing.DirectoryUpdated{SentAt: f.now, Unchanged: true})
}

// TestEveryRequestGetsOneCorrectResult checks that every request ends exactly
// once, that "not run" is never reported for a request that ran, that a
// non-idempotent request runs at most once, that no runner exceeds its slots and
// that all slots are released. Sends are answered, refused, lost or never reach
// the runner, at random.
func TestEveryRequestGetsOneCorrectResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fakeEntry{
			t: t, core: routing.New(settings("a1")), slots: 2, admits: map[uint64]routing.RequestReceived{},
			ran: map[uint64]int{}, sentAt: map[uint64]time.Duration{}, ended: map[uint64]bool{}, running: map[uint64]int{},
		}
		f.step(directory(3, f.slots))
		for id := range uint64(rapid.IntRange(1, 120).Draw(t, "events")) {
			switch rapid.SampledFrom([]string{"admit", "admit", "admit", "end", "end", "pass", "leave"}).Draw(t, "kind") {
			case "admit":
				q := request(id)
				q.Idempotent = rapid.Bool().Draw(t, "idempotent")
				q.Team = fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "team"))
				q.Deadline = f.now + time.Duration(rapid.IntRange(0, 30).Draw(t, "deadline"))*time.Second
				f.admits[id] = q
				f.step(q)
			case "end":
				if len(f.inFlight) > 0 {
					i := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "send")
					f.end(i, rapid.SampledFrom([]string{"answer", "error", "lose", "unreached", "refuse"}).Draw(t, "how"))
				}
			case "pass":
				f.advance(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
			case "leave":
				f.step(routing.CallerDisconnected{ID: id / 2})
			}
		}
		for range 200 {
			f.advance(time.Second)
			for len(f.inFlight) > 0 {
				f.end(0, "answer")
			}
		}
		for id := range f.admits {
			if !f.ended[id] {
				t.Fatalf("request %d never ended", id)
			}
		}
		if open, slots := f.core.InFlight(); open != 0 || slots != 0 {
			t.Fatalf("%d requests and %d slots are still held", open, slots)
		}
	})
}

// BenchmarkPlacement measures a step that admits a request while slots are free,
// by number of runners.
func BenchmarkPlacement(b *testing.B) {
	for _, runners := range []int{140, 1400} {
		b.Run(fmt.Sprint(runners), func(b *testing.B) {
			c := routing.New(settings("a1"))
			c.Step(0, directory(runners, 8))
			worst := hdrhistogram.New(1, int64(time.Second), 3)
			for i := 0; b.Loop(); i++ {
				at := time.Duration(i)
				q := request(uint64(i + 1))
				q.Deadline = at + time.Minute
				if i%1_000_000 == 0 {
					c.Step(at, routing.DirectoryUpdated{SentAt: at, Unchanged: true})
				}
				began := time.Now()
				s := c.Step(at, q)[0].(routing.Send)
				_ = worst.RecordValue(int64(time.Since(began)))
				c.Step(at, routing.SendAnswered{ID: s.ID, Send: s.Send, Status: 200})
			}
			b.ReportMetric(float64(worst.ValueAtQuantile(99)), "p99-ns")
		})
	}
}

// BenchmarkPlacementBehindQueue measures a step that releases a slot and sends a
// queued request, by length of the queue.
func BenchmarkPlacementBehindQueue(b *testing.B) {
	for _, waiting := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			c := routing.New(settings("a1"))
			ev := directory(140, 8)
			ev.Services[0].QueueLimit = 2 * waiting
			c.Step(0, ev)
			var inFlight []routing.Send
			id := uint64(0)
			admit := func() {
				id++
				q := request(id)
				q.Team = fmt.Sprint(id % 20)
				inFlight = append(inFlight, effectsOf[routing.Send](c.Step(0, q))...)
			}
			for range 140*8 + waiting {
				admit()
			}
			worst := hdrhistogram.New(1, int64(time.Second), 3)
			for b.Loop() {
				s := inFlight[0]
				began := time.Now()
				effects := c.Step(0, routing.SendAnswered{ID: s.ID, Send: s.Send, Status: 200})
				_ = worst.RecordValue(int64(time.Since(began)))
				inFlight = append(inFlight[1:], effectsOf[routing.Send](effects)...)
				admit()
			}
			b.ReportMetric(float64(worst.ValueAtQuantile(99)), "p99-ns")
		})
	}
}
