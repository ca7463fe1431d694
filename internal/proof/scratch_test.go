package proof

import (
	"testing"

	"github.com/mimosaspool/mimosaspool/internal/checker"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
)

// TestCheckerCatches takes one guard out and plays a history that then breaks
// a promise. The rarer guards have their histories in TestGuardsAreNeeded.
func TestScratchSearch(t *testing.T) {
	for name, c := range map[string]struct {
		guard   ownership.Guard
		promise checker.Promise
		from    uint64
	}{
		"assumed starts count as taken":            {ownership.GuardAssumed, checker.Capacity, 0},
		"workers refuse lower tokens":              {ownership.GuardFence, checker.OnePlace, 0},
		"holders without confirmation stop":        {ownership.GuardConfidence, checker.OnePlace, 0},
		"terms wait for the former holder's end":   {ownership.GuardFormer, checker.OnePlace, 0},
		"lapsed starts have no effect":             {ownership.GuardExpiry, checker.OnePlace, 0},
		"starts end with the reading of the clock": {ownership.GuardBound, checker.OnePlace, 0},
		"writes name the worker's start":           {ownership.GuardBoot, checker.OnePlace, 0},
		"restarted workers wait":                   {ownership.GuardSettle, checker.OnePlace, 0},
		"silent workers' leases run out":           {ownership.GuardRenewed, checker.OnePlace, 0},
		"unseen tasks wait":                        {ownership.GuardHidden, checker.OnePlace, 0},
		"only the newest write's reply counts":     {ownership.GuardNewest, checker.OnePlace, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seed, b := search(Case{Without: c.guard}, c.promise, c.from, 250)
			if b == nil {
				t.Fatal("no history breaks the promise without the guard")
			}
			t.Logf("seed %d: %s", seed, b)
		})
	}
}
