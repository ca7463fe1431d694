package schedulerd

import (
	"context"
	"net/http"
	"time"

	control "github.com/mimosaspool/mimosaspool/api/control"
)

// Register adds the daemon's services to a mux.
func (d *Daemon) Register(handle func(prefix string, h http.Handler)) {
	for _, s := range []control.TwirpServer{
		control.NewPeerServer(peerService{d}),
		control.NewDirectoryServer(directoryService{d}),
		control.NewOperatorServer(newOperatorService(d)),
	} {
		handle(s.PathPrefix(), s)
	}
}

type peerService struct{ d *Daemon }

// Heartbeat implements control.Peer.
func (p peerService) Heartbeat(ctx context.Context, req *control.HeartbeatRequest) (*control.HeartbeatReply, error) {
	p.d.heard(ctx, req.State)
	reply := &control.HeartbeatReply{State: p.d.state()}
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	for _, r := range p.d.recent {
		if r.Offset >= req.GetState().GetPosition() {
			reply.Records = append(reply.Records, &control.RelayedRecord{Offset: r.Offset, TimeMs: r.TimeMillis, Data: r.Data})
		}
	}
	return reply, nil
}

type directoryService struct{ d *Daemon }

// Sync implements control.Directory.
func (s directoryService) Sync(ctx context.Context, req *control.SyncRequest) (*control.SyncReply, error) {
	timeout := time.After(time.Duration(req.WaitMs) * time.Millisecond)
	for {
		st, changed := s.d.snapshot()
		if st.dir.Version != req.KnownVersion {
			return syncReply(st), nil
		}
		select {
		case <-changed:
		case <-timeout:
			return syncReply(st), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func syncReply(st status) *control.SyncReply {
	reply := &control.SyncReply{Version: st.dir.Version, Leader: st.leader, Position: st.next}
	for _, e := range st.dir.Endpoints {
		reply.Endpoints = append(reply.Endpoints, &control.Endpoint{
			Service: e.Service, Task: e.Task, Attempt: e.Attempt, Address: e.Address, Leaving: e.Leaving,
		})
	}
	return reply
}
