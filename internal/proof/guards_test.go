package proof

import (
	"testing"

	"github.com/mimosaspool/mimosaspool/internal/checker"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
)

// TestCheckerCatches takes one guard out and plays a history that then breaks
// a promise. The guards since, bound, boot and expiry of a single worker have
// their histories in internal/ownership.
func TestCheckerCatches(t *testing.T) {
	for name, c := range map[string]struct {
		guard   ownership.Guard
		promise checker.Promise
		seeds   uint64
	}{
		"assumed starts count as taken":        {ownership.GuardAssumed, checker.Capacity, 10},
		"others' marks count":                  {ownership.GuardOthers, checker.OnePlace, 20},
		"lapsed starts have no effect":         {ownership.GuardExpiry, checker.OnePlace, 20},
		"silent workers' leases run out":       {ownership.GuardRenewed, checker.OnePlace, 20},
		"unseen tasks wait":                    {ownership.GuardHidden, checker.OnePlace, 400},
		"only the newest write's reply counts": {ownership.GuardNewest, checker.OnePlace, 400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			list := cells()
			for seed := range c.seeds {
				for _, b := range Run(Case{Seed: seed, Faults: list[seed%uint64(len(list))], Without: c.guard}) {
					if b.Promise == c.promise {
						t.Logf("seed %d, %v: %s", seed, list[seed%uint64(len(list))], b)
						return
					}
				}
			}
			t.Error("no history breaks the promise without the guard")
		})
	}
}
