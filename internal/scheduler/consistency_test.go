package scheduler

import (
	"fmt"
	"reflect"

	"github.com/mimosaspool/mimosaspool/internal/placement"
)

// Inconsistent compares the state that the core updates incrementally with the
// same state computed from scratch. It returns the first difference, or an empty
// string. For tests only.
func (c *Core) Inconsistent() string {
	if !c.term.Held(c.now) {
		return ""
	}
	for _, name := range c.workerNames {
		w := c.workers[name]
		want := placement.Node{Name: name, Rack: w.rack, Capacity: w.capacity, Free: w.free(), Unconfirmed: len(w.assumed), Blocked: c.blockReason(w)}
		got := placement.Node{Name: w.node.Name, Rack: w.node.Rack, Capacity: w.node.Capacity, Free: w.node.Free, Unconfirmed: w.node.Unconfirmed, Blocked: w.node.Blocked}
		if !reflect.DeepEqual(want, got) {
			return fmt.Sprintf("%v: node %+v, want %+v", c.now, got, want)
		}
		if at := w.fence.LastWriteAt() + c.settings.Timing.Reply; w.fence.WritePending() && w.wakeAt > at {
			return name + ": no wakeup when the reply times out"
		}
		if w.fence.Owned(c.now) && w.wakeAt > w.fence.FreshUntil() {
			return name + ": no wakeup when its answer is no longer fresh"
		}
	}
	for _, t := range c.tasks {
		w := c.workers[t.worker]
		if t.isBound() && w != nil && w.bound[t.name] != t {
			return t.name + ": not bound to its worker"
		}
	}
	return ""
}
