package proof

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/scheduler"
	"github.com/mimosaspool/mimosaspool/internal/trace"
)

// Generate plays a history and writes the trace of the first process of a host.
func Generate(out io.Writer, c Case, host string) error {
	h := newHistory(c)
	for _, p := range h.processes {
		if p.host != host {
			continue
		}
		var names []string
		for _, f := range c.Faults {
			names = append(names, string(f))
		}
		source := fmt.Sprintf("generated from seed %d, faults: %s; host %s", c.Seed, strings.Join(names, ", "), host)
		w, err := trace.NewWriter(out, trace.Header{Source: source, Settings: p.set})
		if err != nil {
			return err
		}
		number := p.number
		p.record = func(now time.Duration, ev scheduler.Event, effects []scheduler.Effect) {
			if p.number == number {
				w.Record(now, ev, effects)
			}
		}
		h.World.Run(historyEnd)
		return w.Err()
	}
	return fmt.Errorf("no host %q in the history", host)
}
