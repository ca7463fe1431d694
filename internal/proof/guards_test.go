package proof

import (
	"testing"

	"github.com/mimosaspool/mimosaspool/internal/checker"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
)

// TestCheckerCatchesEntries puts a fault into the entries' program.
func TestCheckerCatchesEntries(t *testing.T) {
	for _, x := range []struct {
		c       Case
		promise checker.Promise
	}{
		{Case{lying: true}, checker.NotRun},
		{Case{lying: true}, checker.AtMostOnce},
		{Case{mixing: true}, checker.WholeAnswer},
	} {
		if seed, b := search(x.c, x.promise, 0, 60); b == nil {
			t.Errorf("no history breaks %s", x.promise)
		} else {
			t.Logf("seed %d: %s", seed, b)
		}
	}
}

// search returns the first seed whose history breaks the promise.
func search(c Case, p checker.Promise, from, seeds uint64) (uint64, *checker.Breach) {
	list := cells()
	for c.Seed = from; c.Seed < from+seeds; c.Seed++ {
		c.Faults = list[c.Seed%uint64(len(list))]
		for _, b := range Run(c) {
			if b.Promise == p {
				return c.Seed, &b
			}
		}
	}
	return 0, nil
}

// TestCheckerCatches takes one guard out and plays a history that then breaks
// a promise. The guards bound, confidence, former, boot, settle and newest have
// their histories in internal/ownership.
func TestCheckerCatches(t *testing.T) {
	for name, c := range map[string]struct {
		guard   ownership.Guard
		promise checker.Promise
		from    uint64
	}{
		"assumed starts count as taken":  {ownership.GuardAssumedStarts, checker.Capacity, 0},
		"workers refuse lower tokens":    {ownership.GuardToken, checker.OnePlace, 0},
		"lapsed starts have no effect":   {ownership.GuardExpiry, checker.OnePlace, 0},
		"silent workers' leases run out": {ownership.GuardRenewedLeases, checker.OnePlace, 40},
		"unseen tasks wait":              {ownership.GuardUnseen, checker.OnePlace, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seed, b := search(Case{Without: c.guard}, c.promise, c.from, 20)
			if b == nil {
				t.Fatal("no history breaks the promise without the guard")
			}
			t.Logf("seed %d: %s", seed, b)
		})
	}
}
