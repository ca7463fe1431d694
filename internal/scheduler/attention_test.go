package scheduler

import (
	"fmt"
	"reflect"

	"github.com/mimosaspool/mimosaspool/internal/placement"
)

// Inconsistent compares what the core keeps up step by step with what it would
// make of its state anew. It is for tests.
func (c *Core) Inconsistent() string {
	if !c.term.Held(c.now) {
		return ""
	}
	for _, name := range c.order {
		w := c.workers[name]
		want := placement.Node{Name: name, Rack: w.rack, Capacity: w.capacity, Free: w.free(), Unconfirmed: len(w.assumed), Blocked: c.blocked(w)}
		got := placement.Node{Name: w.node.Name, Rack: w.node.Rack, Capacity: w.node.Capacity, Free: w.node.Free, Unconfirmed: w.node.Unconfirmed, Blocked: w.node.Blocked}
		if !reflect.DeepEqual(want, got) {
			return fmt.Sprintf("%v: node %+v, want %+v", c.now, got, want)
		}
		if at := w.fence.SentAt() + c.set.Timing.Reply; w.fence.Pending() && w.wakeAt > at {
			return name + ": no look when the reply is overdue"
		}
		if w.fence.Owned(c.now) && w.wakeAt > w.fence.ValidUntil() {
			return name + ": no look when its answer is no longer fresh"
		}
	}
	for _, t := range c.tasks {
		w := c.workers[t.worker]
		if t.isBound() && w != nil && w.bound[t.name] != t {
			return t.name + ": not listed on its worker"
		}
	}
	return ""
}
