package schedulerd

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/twitchtv/twirp"

	control "github.com/mimosaspool/mimosaspool/api/control"
	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/language"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// Register adds the daemon's services to a mux.
func (d *Daemon) Register(handle func(prefix string, h http.Handler)) {
	for _, s := range []control.TwirpServer{
		control.NewPeerServer(peerService{d}),
		control.NewDirectoryServer(newDirectoryService(d)),
		control.NewOperatorServer(operatorService{d}),
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

type operatorService struct{ d *Daemon }

// Result is what a script came to, as JSON for the operators' tool.
type Result struct {
	Outcome *configuration.Outcome `json:"outcome,omitempty"`
	Tasks   []scheduler.TaskInfo   `json:"tasks,omitempty"`
	Checked int                    `json:"checked,omitempty"`
}

// Execute implements control.Operator.
func (o operatorService) Execute(ctx context.Context, req *control.ExecuteRequest) (*control.ExecuteReply, error) {
	script, err := language.Parse(req.Text)
	if err != nil {
		return nil, twirp.InvalidArgumentError("text", err.Error())
	}
	var res Result
	rec := configuration.Record{ID: req.ChangeId, Actor: req.Actor}
	if rec.ID == "" {
		rec.ID = uuid.NewString()
	}
	for _, s := range script.Statements {
		op, err := s.Operation()
		if err != nil {
			return nil, twirp.InvalidArgumentError("text", err.Error())
		}
		if op != nil {
			rec.Ops = append(rec.Ops, *op)
		} else if err := o.query(ctx, s, &res); err != nil {
			return nil, err
		}
	}
	res.Checked = len(script.Statements)
	if len(rec.Ops) > 0 && !req.CheckOnly {
		out, err := o.d.change(ctx, rec)
		if err != nil {
			return nil, err
		}
		res.Outcome = &out
	}
	data, err := json.Marshal(res)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &control.ExecuteReply{ResultJson: data}, nil
}

func (o operatorService) query(ctx context.Context, s *language.Statement, res *Result) error {
	if s.List == nil || s.List.What != "tasks" {
		return twirp.InvalidArgumentError("text", "unknown list")
	}
	return o.d.call(ctx, func(c *scheduler.Core) { res.Tasks = c.Tasks() })
}

// change appends a record and waits until its outcome is known here. A lost
// reply is settled by reading the log for the record's ID.
func (d *Daemon) change(ctx context.Context, rec configuration.Record) (configuration.Outcome, error) {
	data, err := configuration.Encode(rec)
	if err != nil {
		return configuration.Outcome{}, twirp.InternalErrorWith(err)
	}
	_, appendErr := d.opt.Log.Append(ctx, data)
	deadline := time.Now().Add(readWait)
	for time.Now().Before(deadline) {
		var out configuration.Outcome
		var known bool
		_, changed := d.snapshot()
		if err := d.call(ctx, func(c *scheduler.Core) { out, known = c.Catalog().Applied[rec.ID] }); err != nil {
			return out, err
		}
		if known {
			return out, nil
		}
		select {
		case <-changed:
		case <-time.After(readWait / 10):
		}
	}
	if appendErr != nil {
		return configuration.Outcome{}, twirp.Unavailable.Error("the log did not answer; the change may still be accepted: " + rec.ID)
	}
	return configuration.Outcome{}, twirp.Unavailable.Error("appended but not yet applied here: " + rec.ID)
}
