package slots_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/slots"
)

// leaving returns the runners with the first one leaving.
func leaving() []slots.Runner {
	list := runners(false)
	list[0].Leaving = true
	return list
}

// TestIdleRunnerGetsNothing checks that no request runs on a leaving runner
// from the time on that the ledger calls it idle, whoever leads, and that it
// becomes idle in the end.
func TestIdleRunnerGetsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &site{t: t}
		for _, h := range []string{"a", "b"} {
			e := newEntry(h, h)
			s.entries, s.all = append(s.entries, e), append(s.all, e)
		}
		s.elect(true)
		for range 3 {
			s.sync(s.entries[0], 8, "")
			s.sync(s.entries[1], 8, "")
		}
		s.ledger.SetRunners(s.now, leaving())
		idle := false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "entry")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				s.elect(false)
				s.ledger.SetRunners(s.now, leaving())
			case 1:
				s.fill(s.entries[i])
			case 2:
				s.pass(time.Duration(rapid.IntRange(1, 30).Draw(t, "time")) * time.Second)
			case 3:
				s.replace(i)
			default:
				s.sync(s.entries[i], 8, rapid.SampledFrom([]string{"", "", "query lost", "reply lost"}).Draw(t, "how"))
			}
			idle = idle || slices.Contains(s.ledger.Idle(s.now), 1)
			for _, e := range s.all {
				if idle && len(e.ends[1]) > 0 {
					t.Fatalf("%s has a request on the idle runner", e.holder)
				}
			}
		}
		s.pass(timing.Silent())
		if got := s.ledger.Idle(s.now); !slices.Equal(got, []uint64{1}) {
			t.Fatalf("idle in the end: %v", got)
		}
	})
}

func TestLeavingRunnerIsIdleOnceItsSlotsAreBack(t *testing.T) {
	RegisterTestingT(t)
	s := &site{}
	e := newEntry("a", "a")
	s.all = append(s.all, e)
	s.elect(true)
	s.sync(e, 8, "")
	s.fill(e)
	s.ledger.SetRunners(s.now, leaving())
	s.sync(e, 8, "")
	s.sync(e, 8, "")
	Expect(e.slots[1]).To(BeZero())
	Expect(s.ledger.Idle(s.now)).To(BeEmpty())
	s.pass(timing.Longest)
	s.sync(e, 8, "")
	Expect(s.ledger.Idle(s.now)).To(Equal([]uint64{1}))
	s.ledger.SetRunners(s.now, runners(false))
	Expect(s.ledger.Idle(s.now)).To(BeEmpty())
}
