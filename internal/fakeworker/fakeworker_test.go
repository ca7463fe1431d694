package fakeworker

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// bench is a worker whose clock a test sets.
type bench struct {
	*Worker
	// token is that of starts and orders.
	token int64
	now   time.Duration
	ended []scheduler.TaskState
}

var size = resource.Vector{MilliCPU: 1000}

func newBench(without ownership.Guard) *bench {
	b := &bench{token: 1, now: time.Hour}
	timing := ownership.DefaultTiming()
	timing.Without = without
	b.Worker = New("w", size.Scale(4), time.Minute, timing, Hooks{
		Now:     func() time.Duration { return b.now },
		Ordered: func(*Task, scheduler.OrderKind) uint64 { return 9 },
		Ended:   func(t *Task) { b.ended = append(b.ended, t.State) },
	})
	return b
}

// start starts an attempt with a lease of a minute.
func (b *bench) start(attempt uint64, runMillis int64) scheduler.WriteReplied {
	return b.Write(scheduler.WriteWorker{Token: b.token, Starts: []scheduler.Start{{
		Task: "t", Attempt: attempt, Size: size, Expiry: b.now + time.Minute, RunMillis: runMillis,
	}}})
}

// order gives an order for attempt 1 that is valid for a second.
func (b *bench) order(kind scheduler.OrderKind) scheduler.WriteReplied {
	return b.Write(scheduler.WriteWorker{Token: b.token, Orders: []scheduler.Order{{Kind: kind, Task: "t", Attempt: 1, ValidUntil: b.now + time.Second}}})
}

func TestWhatHasLapsedHasNoEffect(t *testing.T) {
	g := NewWithT(t)
	late := scheduler.WriteWorker{Starts: []scheduler.Start{{Task: "t", Attempt: 1, Expiry: time.Hour}}}
	b := newBench(0)
	b.Write(late)
	g.Expect(b.Tasks).To(BeEmpty())
	b.start(1, 0)
	b.Write(scheduler.WriteWorker{Token: 1, Orders: []scheduler.Order{{Kind: scheduler.Stop, Attempt: 1, ValidUntil: b.now}}})
	g.Expect(b.Running()).To(Equal(1))
	b.now += time.Minute
	b.Sweep()
	g.Expect(b.ended).To(Equal([]scheduler.TaskState{scheduler.Lapsed}))
	without := newBench(ownership.GuardExpiry)
	without.Write(late)
	g.Expect(without.Tasks).To(HaveLen(1))
}

func TestTokens(t *testing.T) {
	g := NewWithT(t)
	b := newBench(0)
	write := func(token int64) ownership.Reply { return b.Write(scheduler.WriteWorker{Token: token}).Reply }
	g.Expect(write(7).Token).To(Equal(int64(7)))
	g.Expect(b.start(1, 0).Reply.Token).To(Equal(int64(7)), "a lower token is refused and told the higher one")
	g.Expect(b.Tasks).To(BeEmpty())
	b.token = 7
	b.start(1, 0)
	b.token = 6
	g.Expect(b.order(scheduler.Stop).Tasks).To(HaveLen(1), "a refused write is told what runs")
	g.Expect(b.Write(scheduler.WriteWorker{Token: 6, RenewExpiry: b.now + time.Hour}).Reply.Token).To(Equal(int64(7)))
	g.Expect(b.Tasks[1].Expiry).To(Equal(b.now+time.Minute), "a refused write renews nothing")
	g.Expect(b.Running()).To(Equal(1))
	b.Restart()
	g.Expect(write(6)).To(And(HaveField("Token", int64(6)), HaveField("Boot", b.now)), "a restarted worker has forgotten its token")
	without := newBench(ownership.GuardToken)
	without.Write(scheduler.WriteWorker{Token: 7})
	without.start(1, 0)
	g.Expect(without.Tasks).To(HaveLen(1))
}

func TestWritesForAnotherStart(t *testing.T) {
	g := NewWithT(t)
	stop := scheduler.WriteWorker{Token: 1, Boot: 1, Starts: []scheduler.Start{{Task: "t", Attempt: 1, Expiry: 2 * time.Hour}}}
	b := newBench(0)
	b.Write(stop)
	g.Expect(b.Tasks).To(BeEmpty())
	without := newBench(ownership.GuardBoot)
	without.Write(stop)
	g.Expect(without.Tasks).To(HaveLen(1))
}

func TestTasks(t *testing.T) {
	g := NewWithT(t)
	b := newBench(0)
	b.start(1, 10_000)
	b.order(scheduler.Throttle)
	g.Expect(b.Tasks[1].EndsAt - b.now).To(Equal(20 * time.Second))
	b.now += 10 * time.Second
	b.order(scheduler.Resume)
	b.now += 5*time.Second - 1
	b.Sweep()
	g.Expect(b.ended).To(BeEmpty())
	b.now++
	b.Sweep()
	g.Expect(b.ended).To(Equal([]scheduler.TaskState{scheduler.Succeeded}))
	b.start(2, 70_000)
	b.now += 80 * time.Second
	b.Sweep()
	g.Expect(b.Tasks[2].State).To(Equal(scheduler.Lapsed), "the lease ran out before the work was done")
	b.FailAfter = time.Millisecond
	b.start(3, 10_000)
	b.now += time.Millisecond
	b.Sweep()
	g.Expect(b.Tasks[3].State).To(Equal(scheduler.Failed))
	b.FailAfter = 0
	b.Restart()
	b.start(1, 0)
	b.Write(scheduler.WriteWorker{Token: 1, Forget: []uint64{1}})
	g.Expect(b.Tasks).To(HaveLen(1), "what runs is not forgotten")
	b.order(scheduler.Checkpoint)
	g.Expect(b.Tasks[1]).To(And(HaveField("State", scheduler.Checkpointed), HaveField("Checkpoint", uint64(9))))
	b.Write(scheduler.WriteWorker{Token: 1, Forget: []uint64{1}})
	g.Expect(b.Tasks).To(BeEmpty())
}

func TestReplies(t *testing.T) {
	g := NewWithT(t)
	b := newBench(0)
	empty := b.Write(scheduler.WriteWorker{Token: 1})
	g.Expect(empty.Unchanged).To(BeFalse())
	one := b.start(1, 0)
	g.Expect(one.Digest).NotTo(Equal(empty.Digest))
	g.Expect(b.Write(scheduler.WriteWorker{Token: 1, Digest: one.Digest, RenewExpiry: b.now + 2*time.Minute}).Unchanged).To(BeTrue())
	b.Tasks[1].Use, b.Tasks[1].ReportAt = size, b.now+1
	b.now++
	used := b.Write(scheduler.WriteWorker{Token: 1, Digest: one.Digest})
	g.Expect(used.Tasks).To(HaveLen(1))
	g.Expect(used.Tasks[0].Usage).To(Equal(size))
	b.Restart()
	g.Expect(b.Write(scheduler.WriteWorker{Token: 1, Digest: used.Digest}).Digest).To(Equal(empty.Digest))
}

// TestCodec checks that nothing of a write gets lost on its way to a worker.
func TestCodec(t *testing.T) {
	g := NewWithT(t)
	eff := scheduler.WriteWorker{
		Token: 2, Boot: time.Second, RenewExpiry: 3 * time.Second, Forget: []uint64{4}, Digest: 5,
		Starts: []scheduler.Start{{Task: "t", Attempt: 6, Size: size, Expiry: time.Second, Service: "s", RunMillis: 7, Checkpoint: 8}},
		Orders: []scheduler.Order{{Kind: scheduler.Throttle, Task: "t", Attempt: 6, ValidUntil: time.Second}},
	}
	req := platform.WriteRequest(eff)
	g.Expect(Decode(req)).To(Equal(eff))
	g.Expect(proto.Equal(platform.WriteRequest(Decode(req)), req)).To(BeTrue())
	b := newBench(0)
	reply := Encode(b.Write(scheduler.WriteWorker{Token: 7}))
	g.Expect(reply.Token).To(Equal(int64(7)))
	g.Expect(reply.NowMs).To(Equal(b.now.Milliseconds()))
}
