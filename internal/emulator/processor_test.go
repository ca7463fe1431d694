package emulator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/emulator"
	"github.com/mimosaspool/mimosaspool/internal/worker"
)

// promptWorkers answers each hold at once.
type promptWorkers struct{ worker.Client }

func (promptWorkers) Heartbeat(context.Context, worker.Heartbeat) (worker.Code, worker.HeartbeatResponse) {
	return worker.OK, worker.HeartbeatResponse{ClockMillis: 1}
}

func TestCallsWaitForTheProcessorWhileTheirContextsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := &emulator.Processor{}
		workers := p.Workers(promptWorkers{}, emulator.CallCost{Send: 10 * time.Millisecond, Read: 10 * time.Millisecond})
		// All three are sent before the first answer is read.
		codes := make([]worker.Code, 3)
		for i, patience := range []time.Duration{time.Second, 45 * time.Millisecond, 25 * time.Millisecond} {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), patience)
				defer cancel()
				codes[i], _ = workers.Heartbeat(ctx, worker.Heartbeat{})
			}()
			synctest.Wait()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(codes).To(Equal([]worker.Code{worker.OK, worker.Unknown, worker.NotExecuted}))
		u := p.Usage()
		g.Expect(u).To(Equal(emulator.ProcessorUsage{Calls: 3, Unsent: 1, Unread: 1, Longest: 3, Busy: 50 * time.Millisecond, Used: 50 * time.Millisecond}))
	})
}

func TestTurnOfACallThatIsGivenUpGoesToTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := &emulator.Processor{}
		began := time.Now()
		go p.Use(t.Context(), 20*time.Millisecond)
		synctest.Wait()
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer cancel()
			g.Expect(p.Use(ctx, time.Second)).To(BeFalse())
		}()
		synctest.Wait()
		g.Expect(p.Use(t.Context(), 5*time.Millisecond)).To(BeTrue())
		g.Expect(time.Since(began)).To(Equal(25 * time.Millisecond))
	})
}
