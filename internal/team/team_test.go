package team_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/team"
)

// TestParts checks that the parts of a quota let through no more than the quota in all.
func TestParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := int64(rapid.IntRange(1, 1000).Draw(t, "quota"))
		asked := rapid.SliceOfN(rapid.Int64Range(0, 500), 1, 8).Draw(t, "asked")
		var all, held int64
		for _, n := range asked {
			all += n
		}
		for _, n := range asked {
			l := team.NewLedger()
			l.Declare("t", 1, team.Part(resource.Vector{MilliCPU: quota}, resource.Vector{MilliCPU: n}, resource.Vector{MilliCPU: all}))
			for range n {
				if l.Admits("t", resource.Vector{MilliCPU: 1}) {
					l.Take("t", resource.Vector{MilliCPU: 1})
					held++
				}
			}
		}
		if held > quota {
			t.Fatalf("%d held of a quota of %d", held, quota)
		}
	})
}
