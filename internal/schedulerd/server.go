package schedulerd

import (
	"context"
	"net/http"

	control "github.com/mimosaspool/mimosaspool/api/control"
)

// Register adds the daemon's services to a mux.
func (d *Daemon) Register(handle func(prefix string, h http.Handler)) {
	for _, s := range []control.TwirpServer{
		control.NewPeerServer(peerService{d}),
		control.NewDirectoryServer(newDirectoryService(d)),
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
