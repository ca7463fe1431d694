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

// TestMain fixes seed and number of histories; flags of the command line win.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "5000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var timing = slots.Timing{Lease: 10 * time.Second, Longest: 60 * time.Second, DriftPerMille: 5}

// entry is a fake entry process that fills its grants.
type entry struct {
	host, holder string
	applied      int64
	sequence     int64
	slots        map[uint64]int
	until        time.Duration
	// ends holds when each running request ends, by runner.
	ends map[uint64][]time.Duration
	dead bool
}

func newEntry(host, holder string) *entry {
	return &entry{host: host, holder: holder, slots: map[uint64]int{}, ends: map[uint64][]time.Duration{}}
}

func (e *entry) report(demand int) slots.Report {
	e.sequence++
	rep := slots.Report{Host: e.host, Holder: e.holder, Sequence: e.sequence, Applied: e.applied, Demands: map[string]int{"s": demand}}
	for a := uint64(1); a <= runnerCount; a++ {
		if e.slots[a] > 0 || len(e.ends[a]) > 0 {
			rep.Held = append(rep.Held, slots.Held{Attempt: a, Slots: e.slots[a], Busy: len(e.ends[a])})
		}
	}
	return rep
}

const runnerCount = 2

func runners(fresh bool) []slots.Runner {
	var list []slots.Runner
	for a := uint64(1); a <= runnerCount; a++ {
		list = append(list, slots.Runner{Attempt: a, Service: "s", Fresh: fresh})
	}
	return list
}

// site is one domain with its present leader.
type site struct {
	t       *rapid.T
	now     time.Duration
	ledger  *slots.Ledger
	epoch   int64
	entries []*entry
	all     []*entry
	// late holds queries that may arrive again or late, in any order.
	late []slots.Report
}

func (s *site) elect(fresh bool) {
	s.epoch += 1 << 40
	s.ledger = slots.New(timing, s.now, s.epoch)
	s.ledger.SetRunners(s.now, runners(fresh))
}

// sync carries out one query; how tells what is lost.
func (s *site) sync(e *entry, demand int, how string) {
	rep := e.report(demand)
	s.late = append(s.late, rep)
	if how == "query lost" {
		return
	}
	switch s.ledger.Report(s.now, rep) {
	case slots.Ignored:
		return
	case slots.Greeted:
		e.applied = s.ledger.Greeting()
		s.sync(e, demand, how)
		return
	}
	grants, serial := s.ledger.Grants(s.now, e.holder)
	if how == "reply lost" {
		return
	}
	e.applied, e.until = serial, s.now+timing.Lease-timing.Lease*5/1000
	for a, n := range grants {
		e.slots[a] = n
	}
}

func (s *site) fill(e *entry) {
	for a, n := range e.slots {
		for len(e.ends[a]) < n && s.now < e.until && !e.dead {
			e.ends[a] = append(e.ends[a], s.now+timing.Longest)
		}
	}
	s.judge()
}

func (s *site) pass(d time.Duration) {
	s.now += d
	for _, e := range s.all {
		for a, ends := range e.ends {
			var left []time.Duration
			for _, end := range ends {
				if end > s.now {
					left = append(left, end)
				}
			}
			e.ends[a] = left
		}
	}
}

// judge counts what runs on each runner, whoever sent it.
func (s *site) judge() {
	for a := uint64(1); a <= runnerCount; a++ {
		sum := 0
		for _, e := range s.all {
			sum += len(e.ends[a])
		}
		if sum > slots.PerRunner {
			s.t.Fatalf("runner %d has %d requests", a, sum)
		}
	}
}

func (s *site) replace(i int) {
	s.entries[i].dead = true
	e := newEntry(s.entries[i].host, fmt.Sprint(s.entries[i].holder, "'"))
	s.entries[i] = e
	s.all = append(s.all, e)
}

func TestNoRunnerHasMoreThanItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &site{t: t}
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
				if len(s.late) > 0 {
					rep := rapid.SampledFrom(s.late).Draw(t, "late")
					if s.ledger.Report(s.now, rep) == slots.Taken {
						s.ledger.Grants(s.now, rep.Holder)
					}
				}
			case "end":
				for a, ends := range e.ends {
					e.ends[a] = ends[:len(ends)/2]
				}
			case "pass":
				s.pass(time.Duration(rapid.IntRange(1, 30000).Draw(t, "ms")) * time.Millisecond)
			case "replace":
				s.replace(i)
			case "elect":
				s.elect(false)
			}
		}
	})
}

func TestIdleEntrysSlotsMoveToABusyOne(t *testing.T) {
	g := NewWithT(t)
	s := &site{entries: []*entry{newEntry("e0", "e0#"), newEntry("e1", "e1#")}}
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

func TestNewLeaderKeepsWhatEntriesReport(t *testing.T) {
	g := NewWithT(t)
	s := &site{entries: []*entry{newEntry("e0", "e0#"), newEntry("e1", "e1#")}}
	s.elect(true)
	for range 2 {
		s.sync(s.entries[0], 0, "")
		s.sync(s.entries[1], 0, "")
	}
	s.elect(false)
	s.sync(s.entries[0], 9, "")
	g.Expect(s.entries[0].slots).To(Equal(map[uint64]int{1: 4, 2: 4}))
	s.now += timing.Silent()
	s.sync(s.entries[0], 9, "")
	g.Expect(s.entries[0].slots).To(Equal(map[uint64]int{1: 8, 2: 8}))
}

func TestANewProcessIsToldHowLongTheFormerMaySend(t *testing.T) {
	g := NewWithT(t)
	l := slots.New(timing, 0, 0)
	ask := func(now time.Duration, holder string) time.Duration {
		g.Expect(l.Report(now, slots.Report{Host: "e", Holder: holder, Sequence: 1, Applied: 1})).To(Equal(slots.Taken))
		l.Grants(now, holder)
		return l.Former(now, holder)
	}
	lease := timing.Lease + timing.Lease*5/1000
	g.Expect(ask(4*time.Second, "e#1")).To(Equal(lease - 4*time.Second))
	g.Expect(ask(20*time.Second, "e#2")).To(BeZero())
	g.Expect(ask(23*time.Second, "e#3")).To(Equal(lease - 3*time.Second))
}

func TestAnOlderProcessOfAHostGetsNothingMore(t *testing.T) {
	g := NewWithT(t)
	l := slots.New(timing, 0, 0)
	g.Expect(l.Report(0, slots.Report{Host: "e", Holder: "e#1", Sequence: 1, Applied: 1})).To(Equal(slots.Taken))
	g.Expect(l.Report(0, slots.Report{Host: "e", Holder: "e#2", Sequence: 1, Applied: 1})).To(Equal(slots.Taken))
	g.Expect(l.Report(0, slots.Report{Host: "e", Holder: "e#1", Sequence: 2, Applied: 1})).To(Equal(slots.Ignored))
}
