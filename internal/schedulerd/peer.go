package schedulerd

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	control "github.com/mimosaspool/mimosaspool/api/control"
	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// heartbeatRecords bounds the records in one reply.
const heartbeatRecords = 500

// heartbeat tells a peer how far this scheduler has read the log, and learns
// records from it and, where this scheduler knows nothing, the whole state.
func (d *Daemon) heartbeat(ctx context.Context, url string) {
	client := control.NewPeerProtobufClient(url, d.opt.Client)
	every(ctx, heartbeatInterval, func() {
		reply, err := client.Heartbeat(ctx, &control.HeartbeatRequest{State: d.state()})
		if err != nil {
			d.unanswered(reasonPeer, err)
			return
		}
		d.adopt(ctx, reply.StateJson)
		var records []configuration.Numbered
		for _, r := range reply.Records {
			records = append(records, configuration.Numbered{Offset: r.Offset, TimeMillis: r.TimeMs, Data: r.Data})
		}
		if len(records) > 0 {
			d.learn(ctx, -1, records)
		}
	})
}

// adopt passes a peer's whole state on to the core.
func (d *Daemon) adopt(ctx context.Context, data []byte) {
	if len(data) == 0 {
		return
	}
	state := &configuration.Catalog{}
	if err := json.Unmarshal(data, state); err != nil {
		d.unanswered(reasonPeer, errors.Wrap(err, "a peer's state"))
		return
	}
	d.send(ctx, scheduler.LogRead{First: -1, State: state})
}

func (d *Daemon) state() *control.SchedulerState {
	s, _ := d.snapshot()
	set := d.opt.Settings
	return &control.SchedulerState{
		Host: set.Host, Holder: set.InstanceID(), Domain: set.Domain, Position: s.next, Leader: s.leader, Unready: !s.ready,
	}
}

type peerService struct{ d *Daemon }

// Heartbeat implements control.Peer.
func (p peerService) Heartbeat(ctx context.Context, req *control.HeartbeatRequest) (*control.HeartbeatReply, error) {
	reply := &control.HeartbeatReply{State: p.d.state()}
	if req.GetState().GetUnready() {
		reply.StateJson = p.d.wholeState(ctx)
	}
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	for _, r := range p.d.recent {
		if r.Offset >= req.GetState().GetPosition() && len(reply.Records) < heartbeatRecords {
			reply.Records = append(reply.Records, &control.RelayedRecord{Offset: r.Offset, TimeMs: r.TimeMillis, Data: r.Data})
		}
	}
	return reply, nil
}

// wholeState returns the configuration known here as JSON, or nothing.
func (d *Daemon) wholeState(ctx context.Context) []byte {
	var state *configuration.Catalog
	if err := d.call(ctx, func(c *scheduler.Core) { state = c.CatalogSnapshot() }); err != nil || state == nil {
		return nil
	}
	data, err := json.Marshal(state)
	if err != nil {
		return nil
	}
	return data
}
