package entry

import (
	"context"
	"time"

	control "github.com/mimosaspool/mimosaspool/api/control"
	"github.com/mimosaspool/mimosaspool/internal/routing"
)

// The pace of queries to the holder of the domain's term.
const (
	syncWait = 2 * time.Second
	// syncWaitShort is used while requests wait for slots.
	syncWaitShort = 250 * time.Millisecond
	syncMargin    = time.Second
	syncRetry     = 200 * time.Millisecond
)

// follower keeps the entry's grants in step with the holder of the term. Only
// one query is under way at a time.
type follower struct {
	entry    *Entry
	sequence int64
	applied  int64
	version  int64
}

// follow asks the schedulers in turn and stays with the one that leads.
func (f *follower) follow(ctx context.Context) {
	for ctx.Err() == nil {
		for _, url := range f.entry.opt.Schedulers {
			f.stay(ctx, control.NewDirectoryProtobufClient(url, f.entry.opt.Client))
		}
		sleep(ctx, syncRetry)
	}
}

// stay follows one scheduler while it leads.
func (f *follower) stay(ctx context.Context, d control.Directory) {
	f.applied, f.version = 0, -1
	for ctx.Err() == nil && f.query(ctx, d) {
	}
}

// query sends one query and applies the reply. It returns false when the
// scheduler doesn't lead or can't be reached.
func (f *follower) query(ctx context.Context, d control.Directory) bool {
	req := f.request()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMs)*time.Millisecond+syncMargin)
	defer cancel()
	sentAt := f.entry.now()
	reply, err := d.Sync(ctx, req)
	if err != nil || !reply.Leader {
		return false
	}
	if reply.Greeting {
		f.applied, f.version = reply.Serial, -1
		return true
	}
	f.entry.take(directoryOf(sentAt, reply))
	f.applied, f.version = reply.Serial, reply.Version
	return true
}

func (f *follower) request() *control.SyncRequest {
	f.sequence++
	f.entry.take(routing.Tick{}) // the core's time is now
	f.entry.inspect(func(c *routing.Core) {
		if c.DropExpiredGrants() {
			f.version = -1
		}
	})
	set := f.entry.opt.Core
	req := &control.SyncRequest{
		Entry: set.Host, Holder: set.InstanceID(), KnownVersion: f.version, Applied: f.applied, Sequence: f.sequence,
		WaitMs: int32(syncWait.Milliseconds()),
	}
	f.entry.inspect(func(c *routing.Core) {
		req.Leaving = c.Draining()
		if c.QueuedRequests() > 0 {
			req.WaitMs = int32(syncWaitShort.Milliseconds())
		}
		for _, h := range c.SlotUsage() {
			req.Held = append(req.Held, &control.HeldSlots{Attempt: h.Attempt, Slots: int32(h.Slots), Busy: int32(h.Busy)})
		}
		for _, d := range c.Demands() {
			req.Demands = append(req.Demands, &control.ServiceDemand{Service: d.Service, Slots: int32(d.Slots)})
		}
	})
	return req
}

func directoryOf(sentAt time.Duration, reply *control.SyncReply) routing.DirectoryUpdated {
	ev := routing.DirectoryUpdated{SentAt: sentAt, Unchanged: reply.Unchanged, Partial: reply.Partial}
	if reply.FormerMs != nil {
		former := time.Duration(*reply.FormerMs) * time.Millisecond
		ev.PreviousLeaseRemaining = &former
	}
	for _, e := range reply.Endpoints {
		ev.Runners = append(ev.Runners, routing.Runner{
			Attempt: e.Attempt, Service: e.Service, Task: e.Task, Address: e.Address, Slots: int(e.Slots), Draining: e.Leaving,
		})
	}
	for _, s := range reply.Services {
		ev.Services = append(ev.Services, routing.Service{Name: s.Name, Policy: routing.ForwardingPolicy(s.Policy), QueueLimit: int(s.QueueLimit)})
	}
	return ev
}
