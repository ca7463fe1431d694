package slots_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/slots"
)

// TestMain sets the default seed and number of rapid checks. Command-line flags
// override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "5000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var timing = slots.Timing{Lease: 10 * time.Second, MaxRequestTime: 60 * time.Second, DriftPerMille: 5}

// entry is a fake entry process that fills its granted slots.
type entry struct {
	host, instanceID string
	applied          int64
	sequence         int64
	slots            map[uint64]int
	fillUntil        time.Duration
	// reservedUntil is when the allocator may grant the slots to other entries.
	reservedUntil time.Duration
	// needsAll is set when the entry has dropped its grants and must receive
	// all of them again.
	needsAll bool
	// requestEnds holds the end times of the running requests, by runner.
	requestEnds map[uint64][]time.Duration
	dead        bool
}

func newEntry(host, instanceID string) *entry {
	return &entry{host: host, instanceID: instanceID, slots: map[uint64]int{}, requestEnds: map[uint64][]time.Duration{}}
}

func (e *entry) report(now time.Duration, demand int) slots.Report {
	if now >= e.reservedUntil {
		clear(e.slots)
		e.needsAll = true
	}
	e.sequence++
	rep := slots.Report{Host: e.host, InstanceID: e.instanceID, Sequence: e.sequence, Applied: e.applied, Demands: map[string]int{"s": demand}}
	for a := uint64(1); a <= runnerCount; a++ {
		if e.slots[a] > 0 || len(e.requestEnds[a]) > 0 {
			rep.Usage = append(rep.Usage, slots.SlotUsage{Attempt: a, Slots: e.slots[a], Busy: len(e.requestEnds[a])})
		}
	}
	return rep
}

const runnerCount = 2

func runners(startedThisTerm bool) []slots.Runner {
	var list []slots.Runner
	for a := uint64(1); a <= runnerCount; a++ {
		list = append(list, slots.Runner{Attempt: a, Service: "s", StartedThisTerm: startedThisTerm})
	}
	return list
}

// testDomain is a domain with its current leader.
type testDomain struct {
	t         *rapid.T
	now       time.Duration
	allocator *slots.Allocator
	epoch     int64
	entries   []*entry
	all       []*entry
	// pastReports may be delivered again or late, in any order.
	pastReports []slots.Report
}

func (s *testDomain) elect(startedThisTerm bool) {
	s.epoch += 1 << 40
	s.allocator = slots.New(timing, s.now, s.epoch)
	s.allocator.SetRunners(s.now, runners(startedThisTerm))
}

// sync carries out one query; lost tells which message is lost.
func (s *testDomain) sync(e *entry, demand int, lost string) {
	rep := e.report(s.now, demand)
	s.pastReports = append(s.pastReports, rep)
	if lost == "query lost" {
		return
	}
	switch s.allocator.HandleReport(s.now, rep) {
	case slots.ReportIgnored:
		return
	case slots.ReportOutOfSync:
		e.applied, e.needsAll = s.allocator.FirstSerial(), true
		s.sync(e, demand, lost)
		return
	}
	partial, lastGranted := s.allocator.InSync(e.instanceID, rep.Applied) && !e.needsAll, map[uint64]int{}
	for a := uint64(1); a <= runnerCount; a++ {
		lastGranted[a] = s.allocator.LastGranted(e.instanceID, a)
	}
	grants, serial := s.allocator.Grants(s.now, e.instanceID)
	if lost == "reply lost" {
		return
	}
	e.applied, e.fillUntil, e.needsAll = serial, s.now+timing.Lease-timing.Lease*5/1000, false
	e.reservedUntil = s.now + (timing.Lease+timing.MaxRequestTime)*995/1000
	for a, n := range grants {
		if partial && n == lastGranted[a] {
			continue // a partial reply holds only the changed grants
		}
		e.slots[a] = n
	}
}

func (s *testDomain) fill(e *entry) {
	for a, n := range e.slots {
		for len(e.requestEnds[a]) < n && s.now < e.fillUntil && !e.dead {
			e.requestEnds[a] = append(e.requestEnds[a], s.now+timing.MaxRequestTime)
		}
	}
	s.checkSlots()
}

func (s *testDomain) advance(d time.Duration) {
	s.now += d
	for _, e := range s.all {
		for a, ends := range e.requestEnds {
			var running []time.Duration
			for _, end := range ends {
				if end > s.now {
					running = append(running, end)
				}
			}
			e.requestEnds[a] = running
		}
	}
}

// checkSlots checks that no runner has more requests than slots, counting those
// of all processes.
func (s *testDomain) checkSlots() {
	for a := uint64(1); a <= runnerCount; a++ {
		sum := 0
		for _, e := range s.all {
			sum += len(e.requestEnds[a])
		}
		if sum > slots.PerRunner {
			s.t.Fatalf("runner %d has %d concurrent requests", a, sum)
		}
	}
}

func (s *testDomain) replace(i int) {
	s.entries[i].dead = true
	e := newEntry(s.entries[i].host, fmt.Sprint(s.entries[i].instanceID, "'"))
	s.entries[i] = e
	s.all = append(s.all, e)
}

// TestRunnerNeverExceedsItsSlots checks that the entries together never run more
// requests on a runner than it has slots, while queries and replies are lost,
// delayed or repeated, entries are replaced and leaders change.
func TestRunnerNeverExceedsItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &testDomain{t: t}
		for i := range 3 {
			s.entries = append(s.entries, newEntry(fmt.Sprint("e", i), fmt.Sprint("e", i, "#")))
		}
		s.all = append(s.all, s.entries...)
		s.elect(rapid.Bool().Draw(t, "fresh"))
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			i := rapid.IntRange(0, 2).Draw(t, "entry")
			e := s.entries[i]
			switch rapid.SampledFrom([]string{"sync", "sync", "sync", "fill", "fill", "end", "late", "pass", "pass", "replace", "elect"}).Draw(t, "kind") {
			case "sync":
				s.sync(e, rapid.IntRange(0, 20).Draw(t, "demand"), rapid.SampledFrom([]string{"", "", "query lost", "reply lost"}).Draw(t, "how"))
			case "fill":
				s.fill(e)
			case "late":
				if len(s.pastReports) > 0 {
					rep := rapid.SampledFrom(s.pastReports).Draw(t, "late")
					if s.allocator.HandleReport(s.now, rep) == slots.ReportAccepted {
						s.allocator.Grants(s.now, rep.InstanceID)
					}
				}
			case "end":
				for a, ends := range e.requestEnds {
					e.requestEnds[a] = ends[:len(ends)/2]
				}
			case "pass":
				s.advance(time.Duration(rapid.SampledFrom([]int{1, 1000, 11000, 30000, 75000}).Draw(t, "ms")) * time.Millisecond)
			case "replace":
				s.replace(i)
			case "elect":
				s.elect(false)
			}
		}
	})
}

func TestSlotsMoveFromIdleToBusyEntry(t *testing.T) {
	g := NewWithT(t)
	s := &testDomain{entries: []*entry{newEntry("e0", "e0#"), newEntry("e1", "e1#")}}
	s.elect(true)
	for range 2 {
		for i, e := range s.entries {
			s.sync(e, 0, "")
			g.Expect(i).To(BeNumerically("<", 2))
		}
	}
	g.Expect(s.entries[0].slots).To(Equal(map[uint64]int{1: 4, 2: 4}))
	for range 3 {
		s.sync(s.entries[0], 40, "")
		s.sync(s.entries[1], 0, "")
	}
	g.Expect(s.entries[0].slots).To(Equal(map[uint64]int{1: 7, 2: 7}))
	g.Expect(s.entries[1].slots).To(Equal(map[uint64]int{1: 1, 2: 1}))
}

// TestNewLeaderKeepsReportedGrants checks that a new leader keeps the grants that
// an entry reports, and grants the unreported slots only after ReclaimAfter.
func TestNewLeaderKeepsReportedGrants(t *testing.T) {
	g := NewWithT(t)
	s := &testDomain{entries: []*entry{newEntry("e0", "e0#"), newEntry("e1", "e1#")}}
	s.elect(true)
	for range 2 {
		s.sync(s.entries[0], 0, "")
		s.sync(s.entries[1], 0, "")
	}
	s.elect(false)
	s.sync(s.entries[0], 9, "")
	g.Expect(s.entries[0].slots).To(Equal(map[uint64]int{1: 4, 2: 4}))
	s.now += timing.ReclaimAfter()
	s.sync(s.entries[0], 9, "")
	g.Expect(s.entries[0].slots).To(Equal(map[uint64]int{1: 8, 2: 8}))
}

// TestPreviousLeaseRemaining checks how long an earlier process of the host, or
// one of the previous term, may still send when a new process first reports.
func TestPreviousLeaseRemaining(t *testing.T) {
	g := NewWithT(t)
	l := slots.New(timing, 0, 0)
	ask := func(now time.Duration, holder string) time.Duration {
		g.Expect(l.HandleReport(now, slots.Report{Host: "e", InstanceID: holder, Sequence: 1, Applied: 1})).To(Equal(slots.ReportAccepted))
		l.Grants(now, holder)
		return l.PreviousLeaseRemaining(now, holder)
	}
	lease := timing.Lease + timing.Lease*5/1000
	g.Expect(ask(4*time.Second, "e#1")).To(Equal(lease - 4*time.Second))
	g.Expect(ask(20*time.Second, "e#2")).To(BeZero())
	g.Expect(ask(23*time.Second, "e#3")).To(Equal(lease - 3*time.Second))
}

func TestReportOfReplacedProcessIsIgnored(t *testing.T) {
	g := NewWithT(t)
	l := slots.New(timing, 0, 0)
	g.Expect(l.HandleReport(0, slots.Report{Host: "e", InstanceID: "e#1", Sequence: 1, Applied: 1})).To(Equal(slots.ReportAccepted))
	g.Expect(l.HandleReport(0, slots.Report{Host: "e", InstanceID: "e#2", Sequence: 1, Applied: 1})).To(Equal(slots.ReportAccepted))
	g.Expect(l.HandleReport(0, slots.Report{Host: "e", InstanceID: "e#1", Sequence: 2, Applied: 1})).To(Equal(slots.ReportIgnored))
}
