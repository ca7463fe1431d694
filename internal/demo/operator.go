package demo

import (
	"encoding/json"
	"os/exec"
	"sync"
	"time"

	"github.com/pkg/errors"

	ops "github.com/mimosaspool/mimosaspool/internal/operator"
)

// change is one change as an operator saw it.
type change struct {
	text     string
	sent     time.Time
	accepted bool
	offset   int64
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
	out, err := exec.Command(o.tool, append([]string{"--scheduler-url", "http://" + h.schedulerAddr}, args...)...).Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return out, errors.Errorf("%s: %s", err, exit.Stderr)
	}
	return out, errors.WithStack(err)
}

// change sends statements and notes whether they were accepted.
func (o *operator) change(h *host, args ...string) error {
	c := change{text: args[len(args)-1], sent: time.Now()}
	out, err := o.do(h, append([]string{"--output", "json"}, args...)...)
	var reply struct {
		Change *ops.Outcome `json:"change"`
	}
	if json.Unmarshal(out, &reply) == nil && reply.Change != nil {
		c.accepted, c.offset = reply.Change.State == ops.Accepted, reply.Change.Offset
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes = append(o.changes, c)
	return err
}
