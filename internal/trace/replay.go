package trace

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// Outcome is what a replayed trace came to.
type Outcome struct {
	Source  string `json:"source"`
	Steps   int    `json:"steps"`
	Writes  int    `json:"writes"`
	Starts  int    `json:"starts"`
	Stops   int    `json:"stops"`
	Appends int    `json:"appends"`
	// Terms counts how often the scheduler came to hold the domain's term.
	Terms int `json:"terms"`
	// Leader tells whether it held the term at the end.
	Leader bool `json:"leader"`
	// Running counts the tasks that it saw running at the end.
	Running int `json:"running"`
	// Position is the offset of the next record of the log.
	Position int64 `json:"position"`
}

// MismatchError tells where a core made something else of an event than the trace says.
type MismatchError struct {
	Line    int
	Event   string
	Effects []scheduler.Effect
}

func (e *MismatchError) Error() string {
	data, err := json.Marshal(e.Effects)
	if err != nil {
		data = []byte(err.Error())
	}
	return fmt.Sprintf("line %d: %s now has the effects %s", e.Line, e.Event, data)
}

// Replay runs a trace through a new core and checks that every step has the
// same effects. Its error is a *MismatchError where one has not.
func Replay(in io.Reader) (Outcome, error) {
	r, err := NewReader(in)
	if err != nil {
		return Outcome{}, err
	}
	core := scheduler.New(r.Header.Settings)
	out := Outcome{Source: r.Header.Source}
	for {
		s, ev, err := r.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return out, err
		}
		led := core.IsLeader()
		effects := core.Step(s.At, ev)
		if len(effects) != s.Effects || len(effects) > 0 && Digest(effects) != s.Digest {
			return out, &MismatchError{Line: r.line, Event: s.Event, Effects: effects}
		}
		out.count(effects)
		if core.IsLeader() && !led {
			out.Terms++
		}
	}
	out.finish(core)
	return out, nil
}

func (o *Outcome) count(effects []scheduler.Effect) {
	o.Steps++
	for _, eff := range effects {
		switch eff := eff.(type) {
		case scheduler.WriteWorker:
			o.Writes++
			o.Starts += len(eff.Starts)
			for _, order := range eff.Orders {
				if order.Kind == scheduler.Stop {
					o.Stops++
				}
			}
		case scheduler.AppendRecord:
			o.Appends++
		}
	}
}

func (o *Outcome) finish(core *scheduler.Core) {
	o.Leader, o.Position = core.IsLeader(), core.NextOffset()
	for _, t := range core.Tasks() {
		if t.State == "running" {
			o.Running++
		}
	}
}
