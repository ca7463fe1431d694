package proof

import (
	"testing"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// settled bounds the time until two schedulers that claim a domain's tenure at
// the same moment have settled who leads it.
const settled = 8 * second

// TestRivalsSettle lets both schedulers of a domain learn their configuration,
// and so begin to claim, at about the same time.
func TestRivalsSettle(t *testing.T) {
	for seed := range uint64(40) {
		w := NewWorld(seed, Site{
			Domains: 1, Schedulers: 2, Workers: 16, Timing: ownership.DefaultTiming(),
			Capacity: resource.Vector{MilliCPU: 8000, MemoryMiB: 8192},
			Link:     link{delay: 20 * time.Millisecond, jitter: 100 * time.Millisecond},
		})
		for i, p := range w.processes {
			w.cut(p.host, platformHost, 3*second+time.Duration(i)*time.Duration(seed)*10*time.Millisecond)
		}
		w.Run(3*second + settled)
		if w.leader("d1") == nil {
			t.Errorf("seed %d: nobody leads after %s", seed, settled)
		}
		w.expectHeld(t)
	}
}
