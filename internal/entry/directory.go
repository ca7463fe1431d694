package entry

import (
	"context"
	"time"

	control "github.com/mimosaspool/mimosaspool/api/control"
	"github.com/mimosaspool/mimosaspool/internal/routing"
)

// Waits and timeouts of directory queries to the leading scheduler.
const (
	maxSyncWait = 2 * time.Second
	// shortSyncWait is used while requests wait for slots.
	shortSyncWait     = 250 * time.Millisecond
	syncTimeoutMargin = time.Second
	syncRetryInterval = 200 * time.Millisecond
)

// directorySyncer keeps the entry's grants in sync with the leading scheduler.
// Only one query is in flight at a time.
type directorySyncer struct {
	entry         *Entry
	sequence      int64
	appliedSerial int64
	knownVersion  int64
}

// run tries the schedulers in turn and stays with the one that leads.
func (s *directorySyncer) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, url := range s.entry.opt.Schedulers {
			s.syncWith(ctx, control.NewDirectoryProtobufClient(url, s.entry.opt.Client))
		}
		sleep(ctx, syncRetryInterval)
	}
}

// syncWith syncs with one scheduler as long as it leads.
func (s *directorySyncer) syncWith(ctx context.Context, d control.Directory) {
	s.appliedSerial, s.knownVersion = 0, -1
	for ctx.Err() == nil && s.syncOnce(ctx, d) {
	}
}

// syncOnce sends one query and applies the reply. It returns false if the
// scheduler doesn't lead or can't be reached.
func (s *directorySyncer) syncOnce(ctx context.Context, d control.Directory) bool {
	req := s.newSyncRequest()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMs)*time.Millisecond+syncTimeoutMargin)
	defer cancel()
	sentAt := s.entry.now()
	reply, err := d.Sync(ctx, req)
	if err != nil || !reply.Leader {
		return false
	}
	if reply.Greeting {
		s.appliedSerial, s.knownVersion = reply.Serial, -1
		return true
	}
	s.entry.postAndWait(directoryEvent(sentAt, reply))
	s.appliedSerial, s.knownVersion = reply.Serial, reply.Version
	return true
}

func (s *directorySyncer) newSyncRequest() *control.SyncRequest {
	s.sequence++
	s.entry.postAndWait(routing.Tick{}) // brings the core's time up to date
	s.entry.withCore(func(c *routing.Core) {
		if c.DropExpiredGrants() {
			s.knownVersion = -1
		}
	})
	set := s.entry.opt.Core
	req := &control.SyncRequest{
		Entry: set.Host, Holder: set.InstanceID(), KnownVersion: s.knownVersion, Applied: s.appliedSerial, Sequence: s.sequence,
		WaitMs: int32(maxSyncWait.Milliseconds()),
	}
	s.entry.withCore(func(c *routing.Core) {
		req.Leaving = c.Draining()
		if c.QueuedRequests() > 0 {
			req.WaitMs = int32(shortSyncWait.Milliseconds())
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

func directoryEvent(sentAt time.Duration, reply *control.SyncReply) routing.DirectoryUpdated {
	ev := routing.DirectoryUpdated{SentAt: sentAt, Unchanged: reply.Unchanged, Partial: reply.Partial}
	if reply.FormerMs != nil {
		remaining := time.Duration(*reply.FormerMs) * time.Millisecond
		ev.PreviousLeaseRemaining = &remaining
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
