package fakeworker

import (
	"time"

	api "github.com/mimosaspool/mimosaspool/api/platform"
	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Decode returns the write that a worker got in the platform's protocol.
func Decode(req *api.WriteRequest) scheduler.WriteWorker {
	eff := scheduler.WriteWorker{
		Token: req.Token, Boot: millis(req.BootMs), RenewExpiry: millis(req.RenewExpiryMs),
		Forget: req.Forget, Digest: req.Digest,
	}
	for _, s := range req.Starts {
		eff.Starts = append(eff.Starts, scheduler.Start{
			Task: s.Task, Attempt: s.Attempt, Size: platform.Vector(s.Size), Expiry: millis(s.LeaseExpiryMs),
			Service: s.Service, RunMillis: s.RunMs, Checkpoint: s.Checkpoint,
		})
	}
	for _, o := range req.Orders {
		eff.Orders = append(eff.Orders, scheduler.Order{
			Kind: scheduler.OrderKind(o.Kind), Task: o.Task, Attempt: o.Attempt, ValidUntil: millis(o.ValidUntilMs),
		})
	}
	return eff
}

// Encode returns the answer to a write in the platform's protocol.
func Encode(ev scheduler.WriteReplied) *api.WriteReply {
	r := &api.WriteReply{
		NowMs: ev.Reply.Now.Milliseconds(), BootMs: ev.Reply.Boot.Milliseconds(), Token: ev.Reply.Token,
		Unchanged: ev.Unchanged, Digest: ev.Digest,
	}
	if !ev.Unchanged {
		r.Capacity = platform.Resources(ev.Capacity)
	}
	for _, t := range ev.Tasks {
		x := &api.Task{
			Task: t.Task, Attempt: t.Attempt, Size: platform.Resources(t.Size), LeaseExpiryMs: t.Expiry.Milliseconds(),
			State: api.TaskState(t.State), Address: t.Address, Checkpoint: t.Checkpoint, Throttled: t.Throttled,
		}
		if !t.Usage.IsZero() {
			x.Usage = platform.Resources(t.Usage)
		}
		r.Tasks = append(r.Tasks, x)
	}
	return r
}
