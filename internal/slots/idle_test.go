package slots_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/slots"
)

// drainingRunners returns the runners with the first one draining.
func drainingRunners() []slots.Runner {
	list := runners(false)
	list[0].Draining = true
	return list
}

// TestIdleRunnerGetsNoRequests checks that no request runs on a draining runner
// once the allocator has reported it idle, also across changes of the leader,
// lost messages and replaced entries, and that the runner eventually becomes
// idle.
func TestIdleRunnerGetsNoRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &testDomain{t: t}
		for _, h := range []string{"a", "b"} {
			e := newEntry(h, h)
			s.entries, s.all = append(s.entries, e), append(s.all, e)
		}
		s.elect(true)
		for range 3 {
			s.sync(s.entries[0], 8, "")
			s.sync(s.entries[1], 8, "")
		}
		s.allocator.SetRunners(s.now, drainingRunners())
		idle := false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "entry")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				s.elect(false)
				s.allocator.SetRunners(s.now, drainingRunners())
			case 1:
				s.fill(s.entries[i])
			case 2:
				s.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "time")) * time.Second)
			case 3:
				s.replace(i)
			default:
				s.sync(s.entries[i], 8, rapid.SampledFrom([]string{"", "", "query lost", "reply lost"}).Draw(t, "how"))
			}
			idle = idle || slices.Contains(s.allocator.IdleRunners(s.now), 1)
			for _, e := range s.all {
				if idle && len(e.requestEnds[1]) > 0 {
					t.Fatalf("process %s has a request on the idle runner", e.instanceID)
				}
			}
		}
		s.advance(timing.ReclaimAfter())
		if got := s.allocator.IdleRunners(s.now); !slices.Equal(got, []uint64{1}) {
			t.Fatalf("idle runners at the end: %v, want [1]", got)
		}
	})
}

func TestDrainingRunnerIsIdleOnceItsSlotsAreReleased(t *testing.T) {
	RegisterTestingT(t)
	s := &testDomain{}
	e := newEntry("a", "a")
	s.all = append(s.all, e)
	s.elect(true)
	s.sync(e, 8, "")
	s.fill(e)
	s.allocator.SetRunners(s.now, drainingRunners())
	s.sync(e, 8, "")
	s.sync(e, 8, "")
	Expect(e.slots[1]).To(BeZero())
	Expect(s.allocator.IdleRunners(s.now)).To(BeEmpty())
	s.advance(timing.MaxRequestTime)
	s.sync(e, 8, "")
	Expect(s.allocator.IdleRunners(s.now)).To(Equal([]uint64{1}))
	s.allocator.SetRunners(s.now, runners(false))
	Expect(s.allocator.IdleRunners(s.now)).To(BeEmpty())
}
