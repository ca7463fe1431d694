// Package operator executes operators' statements against the catalog, the
// platform's log and the schedulers of all domains.
package operator

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/language"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// Node is the scheduler that executes statements. Its methods may be called
// concurrently.
type Node interface {
	// Call runs f on the goroutine that owns the core and waits for it.
	Call(ctx context.Context, f func(*scheduler.Core)) error
	// Append adds a record to the log. After an error it may be there all the same.
	Append(ctx context.Context, data []byte) error
	// Changed returns a channel that is closed when the position moves on.
	Changed() <-chan struct{}
	// Member returns the node itself.
	Member() Member
	// Ask sends a query to every other scheduler and returns the answers that
	// came in time, in any order.
	Ask(ctx context.Context, text string) []Result
	// Count counts a refusal or retry.
	Count(kind, reason string)
}

// Member is a scheduler as it describes itself.
type Member struct {
	Host   string `json:"host"`
	Domain string `json:"domain"`
	Leader bool   `json:"leader"`
	// Position is the log offset that it needs next.
	Position int64 `json:"position"`
}

// Request is a script to be executed.
type Request struct {
	Text  string
	Actor string
	// ChangeID names the script's change. A request that comes again with the
	// same name has one effect.
	ChangeID string
	// CheckOnly stops after the checks.
	CheckOnly bool
	// DiffOnly tells what would change and changes nothing.
	DiffOnly bool
	// Forwarded marks a query of another scheduler about this one alone.
	Forwarded bool
	// IfVersion is the version that changed objects must have; nil for the one
	// in force here.
	IfVersion *int64
}

// State tells what became of a script's change.
type State string

// The states. Unknown means that the change may be or become accepted.
const (
	Accepted  State = "accepted"
	Refused   State = "refused"
	Unchanged State = "unchanged"
	Unknown   State = "unknown"
)

// Result is what a script came to.
type Result struct {
	// Member is the scheduler that answered.
	Member Member `json:"member"`
	// Faults lists what is wrong with the script; nothing was done if any.
	Faults language.Faults `json:"faults,omitempty"`
	// Checked is the number of statements without a fault.
	Checked int       `json:"checked,omitempty"`
	Change  *Outcome  `json:"change,omitempty"`
	Diff    []Planned `json:"diff,omitempty"`
	Answers []Answer  `json:"answers,omitempty"`
	// Jobs tells what became of jobs that nodes were handed.
	Jobs []JobOutcome `json:"jobs,omitempty"`
	// Room is set in answers to other schedulers.
	Room *Room `json:"room,omitempty"`
}

// Outcome is what became of a script's change.
type Outcome struct {
	// ID names the change; ask again with it when the state is unknown.
	ID    string `json:"id"`
	State State  `json:"state"`
	// Offset is the place in the log.
	Offset int64 `json:"offset"`
	// Conflict names the change that this one lost to.
	Conflict *configuration.Conflict `json:"conflict,omitempty"`
	Reason   string                  `json:"reason,omitempty"`
	// Objects lists what was changed.
	Objects []Planned `json:"objects,omitempty"`
}

// Answer is the answer to one query.
type Answer struct {
	Statement string `json:"statement"`
	Facts     []Fact `json:"facts,omitempty"`
	Table     *Table `json:"table,omitempty"`
	// Changes tells what would have to change.
	Changes []string `json:"changes,omitempty"`
	// Missing names the domains that the answer leaves out, and why.
	Missing []string `json:"missing,omitempty"`
}

// Fact is a named property of an object.
type Fact struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// ErrNotReady tells that the scheduler does not know its configuration yet.
var ErrNotReady = errors.New("the configuration is not known here yet")

// Service executes scripts. It may be used concurrently.
type Service struct{ node Node }

// New returns a service on a node.
func New(node Node) *Service { return &Service{node} }

// Bounds of one request.
const (
	// settleTime bounds the wait until a change's outcome is known.
	settleTime = 5 * time.Second
	// askTime bounds the wait for other schedulers.
	askTime = 2 * time.Second
	// roomTime bounds the wait for the room of other domains; one that doesn't
	// answer in time counts as unknown.
	roomTime = 500 * time.Millisecond
	// appendRetry is the wait before a record is appended again.
	appendRetry = 500 * time.Millisecond
	maxID       = 128
	maxActor    = 128
	// maxRecord bounds the bytes of a change's record in the log.
	maxRecord = 1 << 20
)

// Execute runs a script. Its changes take effect all or none, then its queries
// are answered. The error is of this package or the context's.
func (s *Service) Execute(ctx context.Context, req Request) (Result, error) {
	res := Result{Member: s.node.Member()}
	if req.Forwarded {
		if err := s.onCore(ctx, func(c *scheduler.Core) { res.Member.Leader = c.IsLeader() }); err != nil {
			return res, err
		}
	}
	script, err := language.Parse(req.Text)
	if faults := (language.Faults)(nil); errors.As(err, &faults) {
		return s.refuse(res, s.further(ctx, req, script, faults)), nil
	} else if err != nil {
		return res, errors.WithStack(err)
	}
	if len(req.ChangeID) > maxID || len(req.Actor) > maxActor {
		return s.refuse(res, language.Faults{{Line: 1, Column: 1, Message: "the change's id or the actor's name is longer than 128 characters"}}), nil
	}
	if err := s.change(ctx, req, script, &res); err != nil || len(res.Faults) > 0 {
		return res, err
	}
	res.Checked = len(script.Statements)
	if req.CheckOnly || req.DiffOnly || res.Change != nil && res.Change.State != Accepted && res.Change.State != Unchanged {
		return res, nil
	}
	for _, st := range script.Statements {
		if st.Changes() {
			continue
		}
		a, faults, err := s.query(ctx, script, st, req.Forwarded)
		if err != nil {
			return res, err
		}
		res.Faults = append(res.Faults, faults...)
		a.Statement = st.Text
		res.Answers = append(res.Answers, a)
	}
	if req.Forwarded {
		return res, s.describe(ctx, &res)
	}
	return res, nil
}

// describe completes an answer to another scheduler. Only a leader that held
// its term throughout answers as one.
func (s *Service) describe(ctx context.Context, res *Result) error {
	return s.onCore(ctx, func(c *scheduler.Core) {
		res.Member.Leader = res.Member.Leader && c.IsLeader()
		res.Member.Position = c.Catalog().Next
		res.Room = room(c.Workers())
	})
}

// further adds to a script's faults those that its other statements have
// against the catalog.
func (s *Service) further(ctx context.Context, req Request, script *language.Script, faults language.Faults) language.Faults {
	_ = s.onCore(ctx, func(c *scheduler.Core) {
		p := newPlan(c.Catalog(), script, req, nil)
		p.run()
		for _, f := range p.faults {
			if !script.Doubtful(f.Word) {
				faults = append(faults, f)
			}
		}
	})
	faults.Sort()
	return faults
}

func (s *Service) refuse(res Result, faults language.Faults) Result {
	s.node.Count("refusal", "statement-malformed")
	res.Faults = faults
	return res
}

func (s *Service) change(ctx context.Context, req Request, script *language.Script, res *Result) error {
	changes := false
	for _, st := range script.Statements {
		changes = changes || st.Changes()
	}
	if !changes {
		return nil
	}
	if req.Forwarded {
		*res = s.refuse(*res, language.Faults{{Line: 1, Column: 1, Message: "a forwarded script must not change anything"}})
		return nil
	}
	if req.ChangeID == "" {
		req.ChangeID = uuid.NewString()
	}
	var p *plan
	var prior *Outcome
	rooms := s.look(ctx, script)
	err := s.onCore(ctx, func(c *scheduler.Core) {
		if out, ok := c.Catalog().Applied[req.ChangeID]; ok {
			prior = outcome(req.ChangeID, out)
			return
		}
		p = newPlan(c.Catalog(), script, req, rooms)
		p.run()
	})
	if err != nil {
		return err
	}
	if prior != nil {
		res.Change = prior
		return nil
	}
	return s.apply(ctx, req, p, res)
}

// onCore runs f on the core once the configuration is known.
func (s *Service) onCore(ctx context.Context, f func(*scheduler.Core)) error {
	ready := false
	err := s.node.Call(ctx, func(c *scheduler.Core) {
		if ready = c.Ready(); ready {
			f(c)
		}
	})
	switch {
	case err != nil:
		return errors.WithStack(err)
	case !ready:
		s.node.Count("refusal", "not-ready")
		return errors.WithStack(ErrNotReady)
	}
	return nil
}
