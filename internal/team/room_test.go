package team_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/mimosaspool/mimosaspool/internal/team"
)

// TestRoomKeepsGuaranteedParts checks that what is allowed never exceeds the limit, and that
// each account can get its guaranteed part whatever the others hold.
func TestRoomKeepsGuaranteedParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 10_000).Draw(t, "limit")
		names := []string{"", "a", "b", "c", "unknown"}
		weights := map[string]float64{"a": rapid.Float64Range(-1, 10).Draw(t, "a"), "b": 1, "c": 5}
		r := team.NewRoom(limit)
		r.SetWeights(weights)
		held := map[string]int64{}
		for range rapid.IntRange(0, 100).Draw(t, "changes") {
			name, n := rapid.SampledFrom(names).Draw(t, "name"), rapid.Int64Range(1, limit).Draw(t, "n")
			if rapid.Bool().Draw(t, "free") {
				n = min(n, held[name])
				held[name] -= n
				r.Hold(name, -n)
			} else if r.Allows(name, n) {
				held[name] += n
				r.Hold(name, n)
			}
		}
		sum := 0.0
		for _, w := range weights {
			sum += effective(w)
		}
		for _, name := range names[:4] {
			w := 1.0
			if name != "" {
				w = effective(weights[name])
			}
			if part := int64(float64(limit/2)*(w/(sum+1))) - held[name]; part > 0 && !r.Allows(name, part) {
				t.Fatalf("%q holds %d of its part and may not hold %d more", name, held[name], part)
			}
		}
		if r.Held() > limit {
			t.Fatalf("%d held of %d", r.Held(), limit)
		}
	})
}

func effective(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}
