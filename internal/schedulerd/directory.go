package schedulerd

import (
	"context"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	control "github.com/mimosaspool/mimosaspool/api/control"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
	"github.com/mimosaspool/mimosaspool/internal/slots"
)

// directoryService tells entries the domain's runners and divides the runners'
// slots among them while this scheduler holds the domain's term.
type directoryService struct {
	d  *Daemon
	mu sync.Mutex
	// ledger belongs to the term that began at its Began; nil before the first.
	ledger *slots.Allocator
	// version is that of the directory whose runners the ledger has.
	version int64
	// news is closed and replaced when grants may have changed.
	news chan struct{}
}

func newDirectoryService(d *Daemon) *directoryService {
	return &directoryService{d: d, news: make(chan struct{})}
}

// Sync implements control.Directory.
func (s *directoryService) Sync(ctx context.Context, req *control.SyncRequest) (*control.SyncReply, error) {
	timeout := time.After(time.Duration(req.WaitMs) * time.Millisecond)
	ledger, standing := s.report(req)
	switch {
	case ledger == nil:
		return &control.SyncReply{}, nil
	case standing == slots.ReportOutOfSync:
		return &control.SyncReply{Leader: true, Greeting: true, Serial: ledger.FirstSerial()}, nil
	case standing == slots.ReportIgnored:
		return nil, twirp.FailedPrecondition.Error("a newer query or process of this entry is known")
	}
	for last := false; ; {
		reply, changed, news := s.reply(ledger, req, last)
		if reply != nil {
			return reply, nil
		}
		select {
		case <-changed:
		case <-news:
		case <-timeout:
			last = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// report hands the query to the term's ledger; there is none without the term.
func (s *directoryService) report(req *control.SyncRequest) (*slots.Allocator, slots.ReportStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.d.start)
	st, _ := s.d.snapshot()
	if !s.lead(now, st) {
		return nil, slots.ReportIgnored
	}
	standing := s.ledger.HandleReport(now, reportOf(req))
	if standing == slots.ReportAccepted {
		close(s.news)
		s.news = make(chan struct{})
	}
	return s.ledger, standing
}

// lead brings the ledger in line with the term and the directory. It returns
// false while the term isn't surely held.
func (s *directoryService) lead(now time.Duration, st status) bool {
	if !st.term.HeldAt(now) {
		return false
	}
	if s.ledger == nil || s.ledger.TermStart() != st.term.Began {
		s.ledger = slots.New(slots.DefaultTiming(), st.term.Began, time.Now().UnixNano())
		s.version = -1
	}
	if s.version != st.dir.Version {
		s.version = st.dir.Version
		s.ledger.SetRunners(now, runnersOf(st.dir))
	}
	return true
}

// reply returns the answer to a query that the ledger has taken, or nil and
// what to wait for. The last reply only renews the lease.
func (s *directoryService) reply(ledger *slots.Allocator, req *control.SyncRequest, last bool) (*control.SyncReply, <-chan struct{}, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.d.start)
	st, changed := s.d.snapshot()
	if !s.lead(now, st) || s.ledger != ledger {
		return &control.SyncReply{}, nil, nil
	}
	switch {
	case st.dir.Version != req.KnownVersion || ledger.HasChanges(now, req.Holder, req.Applied):
		return s.grant(now, st, req), nil, nil
	case last:
		ledger.RecordRenewal(now, req.Holder)
		return &control.SyncReply{Version: st.dir.Version, Leader: true, Position: st.next, Serial: req.Applied, Unchanged: true}, nil, nil
	}
	return nil, changed, s.news
}

func (s *directoryService) grant(now time.Duration, st status, req *control.SyncRequest) *control.SyncReply {
	partial := st.dir.Version == req.KnownVersion && s.ledger.InSync(req.Holder, req.Applied)
	told := map[uint64]int{}
	for _, e := range st.dir.Endpoints {
		told[e.Attempt] = s.ledger.LastGranted(req.Holder, e.Attempt)
	}
	grants, serial := s.ledger.Grants(now, req.Holder)
	reply := &control.SyncReply{Version: st.dir.Version, Leader: true, Position: st.next, Serial: serial, Partial: partial}
	reply.FormerMs = proto.Int64(roundUp(s.ledger.PreviousLeaseRemaining(now, req.Holder)))
	for _, e := range st.dir.Endpoints {
		if partial && grants[e.Attempt] == told[e.Attempt] {
			continue
		}
		reply.Endpoints = append(reply.Endpoints, &control.Endpoint{
			Service: e.Service, Task: e.Task, Attempt: e.Attempt, Address: e.Address, Leaving: e.Leaving,
			Slots: int32(grants[e.Attempt]),
		})
	}
	if partial {
		return reply
	}
	for _, i := range st.dir.Services {
		reply.Services = append(reply.Services, &control.ServiceInfo{Name: i.Name, Policy: string(i.Policy)})
	}
	return reply
}

// roundUp returns d in milliseconds.
func roundUp(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

func runnersOf(dir scheduler.Directory) []slots.Runner {
	list := make([]slots.Runner, 0, len(dir.Endpoints))
	for _, e := range dir.Endpoints {
		list = append(list, slots.Runner{Attempt: e.Attempt, Service: e.Service, StartedThisTerm: e.StartedThisTerm, Draining: e.Leaving})
	}
	return list
}

func reportOf(req *control.SyncRequest) slots.Report {
	rep := slots.Report{
		Host: req.Entry, InstanceID: req.Holder, Sequence: req.Sequence, Applied: req.Applied, Draining: req.Leaving,
		Demands: map[string]int{},
	}
	for _, h := range req.Held {
		rep.Usage = append(rep.Usage, slots.SlotUsage{Attempt: h.Attempt, Slots: int(h.Slots), Busy: int(h.Busy)})
	}
	for _, d := range req.Demands {
		rep.Demands[d.Service] = int(d.Slots)
	}
	return rep
}
