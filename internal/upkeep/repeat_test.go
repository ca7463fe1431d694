package upkeep

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/worker"
)

func (b *fixture) endedIncarnations() []IncarnationEnded {
	var out []IncarnationEnded
	for _, e := range b.effects {
		if e, ok := e.(IncarnationEnded); ok {
			out = append(out, e)
		}
	}
	return out
}

// The first order was carried out without an answer; the repeat is answered with OK and does nothing.
func TestRepeatedOrderDoesNotEndTheNextWorker(t *testing.T) {
	for _, next := range []worker.Info{{ID: "m1-w", Born: 2}, {ID: "m1-new", Born: 2}} {
		b := newFixture(t, "m1")
		b.pendingEvents = append(b.pendingEvents, WorkersListed{[]worker.Info{{ID: "m1-w", Born: 1}}})
		b.answerOrder = func(string) worker.MachineCode {
			if len(b.orders) > 1 {
				return worker.MachineOK
			}
			b.machine("m1").Worker = next.ID
			b.pendingEvents = append(b.pendingEvents, WorkersListed{[]worker.Info{next}})
			return worker.MachineUnanswered
		}
		b.requestWave(5*time.Second, 1, "m1")
		b.run(20 * time.Second)
		b.Expect(len(b.orders)).To(BeNumerically(">", 1))
		b.Expect(b.endedIncarnations()).To(Equal([]IncarnationEnded{{Worker: "m1-w", Born: 1}}), next.ID)
	}
}

// A previous leader's order was carried out, so that the repeat does nothing to the worker that came since.
func TestRepeatOfAPreviousLeadersOrderEndsNoWorker(t *testing.T) {
	b := newFixture(t, "m1")
	b.pendingEvents = []Event{
		StateRestored{Progress: []WaveProgress{{Wave: 1, Ordered: []string{"m1"}}}},
		WorkersListed{[]worker.Info{{ID: "m1-w", Born: 2}}},
	}
	b.requestWave(5*time.Second, 1, "m1")
	b.run(20 * time.Second)
	b.Expect(b.orders).NotTo(BeEmpty())
	b.Expect(b.endedIncarnations()).To(BeEmpty())
}
