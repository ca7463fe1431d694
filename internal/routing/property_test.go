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

// TestMain fixes seed and number of histories; flags of the command line win.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// world is a fake shell that draws how each send ends, and judges the core by
// what runners and callers saw.
type world struct {
	t       *rapid.T
	c       *routing.Core
	now     time.Duration
	slots   int
	admits  map[uint64]routing.Admit
	sends   []routing.Send
	ran     map[uint64]int
	ended   map[uint64]bool
	running map[uint64]int
	sentAt  map[uint64]time.Duration
	// lost holds the requests that still run at a runner nobody listens to.
	lost []lostSend
}

type lostSend struct {
	attempt uint64
	until   time.Duration
}

func (w *world) step(ev routing.Event) {
	for _, e := range w.c.Step(w.now, ev) {
		switch e := e.(type) {
		case routing.Send:
			w.sends = append(w.sends, e)
			w.sentAt[e.ID] = w.now
			w.running[e.Attempt]++
			if w.running[e.Attempt] > w.slots {
				w.t.Fatalf("runner %d got %d requests at once", e.Attempt, w.running[e.Attempt])
			}
		case routing.Finish:
			w.finish(e)
		}
	}
}

func (w *world) finish(e routing.Finish) {
	if w.ended[e.ID] {
		w.t.Fatalf("request %d ended twice", e.ID)
	}
	w.ended[e.ID] = true
	if e.Ending.Outcome == routing.OutcomeNotRun && w.ran[e.ID] > 0 {
		w.t.Fatalf("request %d ran and is called not run: %s", e.ID, e.Ending.Reason)
	}
	if _, sent := w.sentAt[e.ID]; e.Ending.Outcome == routing.OutcomeUnknown && !sent {
		w.t.Fatalf("request %d was never sent and is called unknown", e.ID)
	}
}

// end draws how the i-th send in flight ends.
func (w *world) end(i int, kind string) {
	s := w.sends[i]
	w.sends = append(w.sends[:i], w.sends[i+1:]...)
	w.running[s.Attempt]--
	switch kind {
	case "answer", "error":
		w.ran[s.ID]++
		w.step(routing.Answered{ID: s.ID, Send: s.Send, Status: map[string]int{"answer": 200, "error": 500}[kind]})
	case "lose":
		w.ran[s.ID]++
		if until := w.sentAt[s.ID] + routing.DefaultTiming().Longest; until > w.now {
			w.running[s.Attempt]++
			w.lost = append(w.lost, lostSend{s.Attempt, until})
		}
		w.step(routing.Failed{ID: s.ID, Send: s.Send, Reached: true, Replayable: true})
	case "unreached":
		w.step(routing.Failed{ID: s.ID, Send: s.Send, Replayable: true})
	case "refuse":
		w.step(routing.Refused{ID: s.ID, Send: s.Send, Replayable: true, RetryAfter: time.Second})
	}
	if !w.admits[s.ID].Idempotent && w.ran[s.ID] > 1 {
		w.t.Fatalf("non-idempotent request %d ran %d times", s.ID, w.ran[s.ID])
	}
}

func (w *world) pass(d time.Duration) {
	w.now += d
	rest := w.lost[:0]
	for _, l := range w.lost {
		if l.until <= w.now {
			w.running[l.attempt]--
		} else {
			rest = append(rest, l)
		}
	}
	w.lost = rest
	w.step(routing.DirectoryRead{SentAt: w.now, Unchanged: true})
}

func TestEveryRequestEndsOnceAndTruthfully(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t, c: routing.New(settings("a1")), slots: 2, admits: map[uint64]routing.Admit{},
			ran: map[uint64]int{}, sentAt: map[uint64]time.Duration{}, ended: map[uint64]bool{}, running: map[uint64]int{},
		}
		w.step(directory(3, w.slots))
		for id := range uint64(rapid.IntRange(1, 120).Draw(t, "events")) {
			switch rapid.SampledFrom([]string{"admit", "admit", "admit", "end", "end", "pass", "leave"}).Draw(t, "kind") {
			case "admit":
				q := request(id)
				q.Idempotent = rapid.Bool().Draw(t, "idempotent")
				q.Team = fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "team"))
				q.Deadline = w.now + time.Duration(rapid.IntRange(0, 30).Draw(t, "deadline"))*time.Second
				w.admits[id] = q
				w.step(q)
			case "end":
				if len(w.sends) > 0 {
					i := rapid.IntRange(0, len(w.sends)-1).Draw(t, "send")
					w.end(i, rapid.SampledFrom([]string{"answer", "error", "lose", "unreached", "refuse"}).Draw(t, "how"))
				}
			case "pass":
				w.pass(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
			case "leave":
				w.step(routing.CallerLeft{ID: id / 2})
			}
		}
		for range 200 {
			w.pass(time.Second)
			for len(w.sends) > 0 {
				w.end(0, "answer")
			}
		}
		for id := range w.admits {
			if !w.ended[id] {
				t.Fatalf("request %d never ended", id)
			}
		}
		if open, slots := w.c.InFlight(); open != 0 || slots != 0 {
			t.Fatalf("%d requests and %d slots left over", open, slots)
		}
	})
}

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
					c.Step(at, routing.DirectoryRead{SentAt: at, Unchanged: true})
				}
				began := time.Now()
				s := c.Step(at, q)[0].(routing.Send)
				_ = worst.RecordValue(int64(time.Since(began)))
				c.Step(at, routing.Answered{ID: s.ID, Send: s.Send, Status: 200})
			}
			b.ReportMetric(float64(worst.ValueAtQuantile(99)), "p99-ns")
		})
	}
}

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
				inFlight = append(inFlight, only[routing.Send](c.Step(0, q))...)
			}
			for range 140*8 + waiting {
				admit()
			}
			worst := hdrhistogram.New(1, int64(time.Second), 3)
			for b.Loop() {
				s := inFlight[0]
				began := time.Now()
				effects := c.Step(0, routing.Answered{ID: s.ID, Send: s.Send, Status: 200})
				_ = worst.RecordValue(int64(time.Since(began)))
				inFlight = append(inFlight[1:], only[routing.Send](effects)...)
				admit()
			}
			b.ReportMetric(float64(worst.ValueAtQuantile(99)), "p99-ns")
		})
	}
}
