package demo

import (
	"encoding/json"
	"os/exec"
	"sync"
	"time"

	"github.com/pkg/errors"

	statements "github.com/mimosaspool/mimosaspool/internal/operator"
)

// change is one change as an operator saw it.
type change struct {
	text     string
	sent     time.Time
	accepted bool
	offset   int64
	detail   string
}

// operator sends statements with the operators' tool. Its methods may be called
// concurrently.
type operator struct {
	tool    string
	mu      sync.Mutex
	changes []change
}

// do runs a command of the tool at a scheduler and returns what it printed.
func (o *operator) do(h *host, args ...string) ([]byte, error) {
	out, err := exec.Command(o.tool, append([]string{"--output", "json", "--scheduler-url", "http://" + h.schedulerAddr}, args...)...).Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return out, errors.Errorf("%s: %s", err, exit.Stderr)
	}
	return out, errors.WithStack(err)
}

// change sends statements and notes whether they were accepted.
func (o *operator) change(h *host, args ...string) error {
	c := change{text: args[len(args)-1], sent: time.Now()}
	out, err := o.do(h, args...)
	var reply statements.Result
	if err == nil {
		err = errors.Wrap(json.Unmarshal(out, &reply), "result")
	}
	if err != nil {
		c.detail = err.Error()
	} else if x := reply.Change; x != nil {
		c.accepted, c.offset, c.detail = x.State == statements.Accepted, x.Offset, x.Reason
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes = append(o.changes, c)
	if err == nil && !c.accepted && (reply.Change == nil || reply.Change.State != statements.Unchanged) {
		return errors.Errorf("refused: %s", c.detail)
	}
	return err
}
