package routing

import "time"

// timer calls what it stands for once its time has come. The zero timer is not armed.
type timer struct {
	at    time.Duration
	order uint64
	pos   int
	what  interface{ fire(c *Core) }
}

func (t *timer) place() *int { return &t.pos }

func (t *timer) before(o *timer) bool {
	if t.at != o.at {
		return t.at < o.at
	}
	return t.order < o.order
}

// arm sets t to the given time.
func (c *Core) arm(t *timer, at time.Duration) {
	c.number++
	t.at, t.order = at, c.number
	if t.pos == 0 {
		c.timers.push(t)
		return
	}
	c.timers.move(t)
}

func (c *Core) disarm(t *timer) { c.timers.remove(t) }

// fireDue calls every timer whose time has come.
func (c *Core) fireDue() {
	for c.timers.len() > 0 && c.timers.list[0].at <= c.now {
		t := c.timers.list[0]
		c.timers.remove(t)
		t.what.fire(c)
	}
}

// NextTimer returns the local time at which the core wants a Tick at the
// latest, and whether there is one.
func (c *Core) NextTimer() (time.Duration, bool) {
	if c.timers.len() == 0 {
		return 0, false
	}
	return c.timers.list[0].at, true
}
