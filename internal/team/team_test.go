package team_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/team"
)

// TestSplitQuotaNeverExceedsTheQuota checks that the parts of a quota together
// allow no more than the quota.
func TestSplitQuotaNeverExceedsTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := int64(rapid.IntRange(1, 1000).Draw(t, "quota"))
		demands := rapid.SliceOfN(rapid.Int64Range(0, 500), 1, 8).Draw(t, "asked")
		var total, held int64
		for _, n := range demands {
			total += n
		}
		for _, n := range demands {
			tracker := team.NewQuotaTracker()
			tracker.SetQuota("t", 1, team.SplitQuota(resource.Vector{MilliCPU: quota}, resource.Vector{MilliCPU: n}, resource.Vector{MilliCPU: total}))
			for range n {
				if tracker.Allows("t", resource.Vector{MilliCPU: 1}) {
					tracker.Allocate("t", resource.Vector{MilliCPU: 1})
					held++
				}
			}
		}
		if held > quota {
			t.Fatalf("%d held of a quota of %d", held, quota)
		}
	})
}
