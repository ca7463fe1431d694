package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/language"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// apply carries out a plan and says what became of it.
func (s *Service) apply(ctx context.Context, req Request, p *plan, res *Result) error {
	switch {
	case len(p.faults) > 0:
		*res = s.refuse(*res, p.faults)
	case req.DiffOnly:
		res.Diff = p.planned
	case req.CheckOnly:
	case p.conflict != nil:
		s.node.Count("refusal", "change-conflict")
		res.Change = &Outcome{ID: req.ChangeID, State: Refused, Conflict: p.conflict, Reason: p.reason, Offset: p.conflict.Offset}
	case p.ahead:
		s.node.Count("refusal", "version-ahead")
		res.Change = &Outcome{ID: req.ChangeID, State: Refused, Reason: p.reason}
	case len(p.record.Ops) == 0:
		res.Change = &Outcome{ID: req.ChangeID, State: Unchanged, Offset: p.next - 1, Objects: p.planned}
	default:
		data, err := configuration.Encode(p.record)
		if err != nil {
			return errors.WithStack(err)
		}
		if len(data) > maxRecord {
			s.node.Count("refusal", "change-too-large")
			res.Change = &Outcome{ID: req.ChangeID, State: Refused, Reason: fmt.Sprintf("the change is one record of %d bytes in the log, and at most %d are allowed: divide the script", len(data), maxRecord)}
			return nil
		}
		out, err := s.settle(ctx, p.record.ID, data)
		if err != nil {
			return err
		}
		if out.State == Accepted {
			out.Objects = p.planned
		}
		res.Change = out
	}
	return nil
}

// settle appends a record until its outcome is known here: a lost reply is
// settled by the record's ID in the log, and an append that was repeated has
// one effect.
func (s *Service) settle(ctx context.Context, id string, data []byte) (*Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	appended := make(chan error, 1)
	send := func() { appended <- s.node.Append(ctx, data) }
	go send()
	var again <-chan time.Time
	for {
		changed := s.node.Changed()
		if out := s.known(ctx, id); out != nil {
			return out, nil
		}
		select {
		case err := <-appended:
			if err != nil {
				again = time.After(appendRetry)
			}
		case <-again:
			again = nil
			s.node.Count("retry", "append-unanswered")
			go send()
		case <-changed:
		case <-ctx.Done():
			s.node.Count("refusal", "change-unsettled")
			return &Outcome{ID: id, State: Unknown, Reason: "the log did not show the change in time; it may be or become accepted: ask again with its id"}, nil
		}
	}
}

// known returns the outcome of the record if it was applied here.
func (s *Service) known(ctx context.Context, id string) *Outcome {
	var out *Outcome
	err := s.node.Call(ctx, func(c *scheduler.Core) {
		if o, ok := c.Catalog().Applied[id]; ok {
			out = outcome(id, o)
		}
	})
	if err != nil {
		return nil
	}
	if out != nil && out.State == Refused {
		s.node.Count("refusal", "change-refused")
	}
	return out
}

func outcome(id string, o configuration.Outcome) *Outcome {
	out := &Outcome{ID: id, State: Refused, Offset: o.Offset, Conflict: o.Conflict, Reason: o.Reason}
	if o.Accepted {
		out.State = Accepted
	}
	return out
}

// fault adds a fault that points at w.
func (p *plan) fault(w *language.Word, format string, args ...any) {
	p.faults = append(p.faults, p.script.Fault(w, format, args...))
}
