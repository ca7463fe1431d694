package proof

import "testing"

// TestCalm plays histories without faults.
func TestCalm(t *testing.T) {
	for seed := range uint64(12) {
		h := newHistory(Case{Seed: seed})
		h.World.Run(historyEnd)
		if len(h.lastStart) == 0 {
			t.Errorf("seed %d: nothing started", seed)
		}
		for _, b := range h.breaches() {
			t.Errorf("seed %d: %s", seed, b)
		}
	}
}
