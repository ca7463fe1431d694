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

// TestFaults plays one history for each fault; make proof plays their pairs too.
func TestFaults(t *testing.T) {
	for i, f := range Faults {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			for _, b := range Run(Case{Seed: uint64(i), Faults: []Fault{f}}) {
				t.Errorf("seed %d: %s", i, b)
			}
		})
	}
}
