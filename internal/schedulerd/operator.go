package schedulerd

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	control "github.com/mimosaspool/mimosaspool/api/control"
	"github.com/mimosaspool/mimosaspool/internal/operator"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

type operatorService struct{ service *operator.Service }

func newOperatorService(d *Daemon) operatorService {
	return operatorService{operator.New(operatorNode{d})}
}

// Execute implements control.Operator.
func (o operatorService) Execute(ctx context.Context, req *control.ExecuteRequest) (*control.ExecuteReply, error) {
	res, err := o.service.Execute(ctx, operator.Request{
		Text: req.Text, Actor: req.Actor, ChangeID: req.ChangeId, CheckOnly: req.CheckOnly,
		DiffOnly: req.DiffOnly, Forwarded: req.Forwarded, IfVersion: req.IfVersion,
	})
	switch {
	case errors.Is(err, operator.ErrNotReady):
		return nil, twirp.Unavailable.Error(operator.ErrNotReady.Error())
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return nil, twirp.NewError(twirp.DeadlineExceeded, "the scheduler did not answer in time")
	case err != nil:
		return nil, twirp.InternalErrorWith(err)
	}
	data, err := json.Marshal(res)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	reply := &control.ExecuteReply{ResultJson: data}
	if res.Change != nil {
		reply.Offset = res.Change.Offset
	}
	return reply, nil
}

// operatorNode is a daemon as the operators' service needs it.
type operatorNode struct{ d *Daemon }

// Call implements operator.Node.
func (n operatorNode) Call(ctx context.Context, f func(*scheduler.Core)) error {
	return n.d.call(ctx, f)
}

// Append implements operator.Node.
func (n operatorNode) Append(ctx context.Context, data []byte) error {
	_, err := n.d.opt.Log.Append(ctx, data)
	return err
}

// Changed implements operator.Node.
func (n operatorNode) Changed() <-chan struct{} {
	_, changed := n.d.snapshot()
	return changed
}

// Member implements operator.Node.
func (n operatorNode) Member() operator.Member {
	s, _ := n.d.snapshot()
	set := n.d.opt.Settings
	return operator.Member{Host: set.Host, Domain: set.Domain, Leader: s.leader, Position: s.next}
}

// Count implements operator.Node.
func (n operatorNode) Count(kind, reason string) { n.d.opt.Count(kind, reason, 1) }

// Ask implements operator.Node.
func (n operatorNode) Ask(ctx context.Context, text string) []operator.Result {
	var mu sync.Mutex
	var all []operator.Result
	var wg sync.WaitGroup
	for _, url := range n.d.opt.Peers {
		wg.Go(func() {
			res, err := ask(ctx, n.d.opt.Client, url, text)
			if err != nil {
				n.Count("retry", "peer-unanswered")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, res)
		})
	}
	wg.Wait()
	return all
}

func ask(ctx context.Context, client *http.Client, url, text string) (operator.Result, error) {
	var res operator.Result
	reply, err := control.NewOperatorProtobufClient(url, client).Execute(ctx, &control.ExecuteRequest{Text: text, Forwarded: true})
	if err != nil {
		return res, errors.WithStack(err)
	}
	return res, errors.WithStack(json.Unmarshal(reply.ResultJson, &res))
}
