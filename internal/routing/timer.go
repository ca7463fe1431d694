package routing

import "time"

// timer calls its handler once it is due. The zero timer is not armed.
type timer struct {
	at      time.Duration
	seq     uint64
	index   int
	handler interface{ fire(c *Core) }
}

func (t *timer) heapIndex() *int { return &t.index }

func (t *timer) less(o *timer) bool {
	if t.at != o.at {
		return t.at < o.at
	}
	return t.seq < o.seq
}

// arm sets t to fire at the given time. An armed timer is rescheduled.
func (c *Core) arm(t *timer, at time.Duration) {
	c.lastNumber++
	t.at, t.seq = at, c.lastNumber
	if t.index == 0 {
		c.timers.push(t)
		return
	}
	c.timers.update(t)
}

func (c *Core) disarm(t *timer) { c.timers.remove(t) }

// fireDue fires all timers that are due.
func (c *Core) fireDue() {
	for c.timers.len() > 0 && c.timers.items[0].at <= c.now {
		t := c.timers.items[0]
		c.timers.remove(t)
		t.handler.fire(c)
	}
}

// NextTimer returns the local time by which the core needs the next Tick. The
// second result is false if no timer is armed.
func (c *Core) NextTimer() (time.Duration, bool) {
	if c.timers.len() == 0 {
		return 0, false
	}
	return c.timers.items[0].at, true
}
