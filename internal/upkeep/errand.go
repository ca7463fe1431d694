package upkeep

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
)

// phase is how far an errand is.
type phase int

const (
	// clearing: the machine's worker is being evacuated.
	clearing phase = iota
	// noting: the record that an order will be given is on its way.
	noting
	// ready: the order may go.
	ready
	// sent: the order waits for its answer.
	sent
	// away: the order was carried out, and the machine isn't back.
	away
)

// errand is what is being done with one machine: an upkeep for a wave, or a
// move to a pool.
type errand struct {
	wave  *wave
	pool  string
	phase phase
	// worker and born are the life that the order ends.
	worker string
	born   int64
	began  time.Duration
	by     time.Duration
	// doubt tells that an order had no answer: it may have been carried out.
	doubt bool
	// record is the number of the record that must be in the store before the order.
	record int64
	// retryAt is when the order may go again, after tries that came to nothing.
	retryAt time.Duration
	tries   int
	doneAt  time.Duration
	// first is the worker that the first order was to end.
	first string
	// left tells that a list has shown the machine away since.
	left bool
}

const (
	// orderRetry is the least pause before an order is given again.
	orderRetry = 500 * time.Millisecond
	// clearPatience is how long past its time an evacuation may take before
	// another machine of the wave gets its turn.
	clearPatience = 20 * time.Second
	// busyPause is how long a machine is left alone that refused as busy or that
	// could not be cleared, wrongPause one whose order was refused for good.
	busyPause, wrongPause = 3 * time.Second, 30 * time.Second
	// backSlack is added to twice the time of an absence, after which a machine
	// that is listed as up counts as back in any case.
	backSlack = 10 * time.Second
)

// out reports whether the machine is, or may be, taken away by the errand.
func (e *errand) out() bool { return e != nil && (e.doubt || e.phase == sent || e.phase == away) }

// begin evacuates the machine's worker for an errand.
func (c *Core) begin(m *machine, e *errand) {
	e.began = c.now
	m.errand = e
	c.clear(m)
}

func (c *Core) clear(m *machine) {
	e := m.errand
	e.phase, e.worker, e.born = clearing, m.Worker, c.born[m.Worker]
	if e.worker != "" {
		c.emit(Evacuate{Worker: e.worker, By: e.by})
	}
}

// drop ends an errand that came to nothing.
func (c *Core) drop(m *machine) {
	if e := m.errand; e != nil && e.worker != "" {
		c.emit(Resume{Worker: e.worker})
	}
	m.errand = nil
}

// proceed takes an errand's next step.
func (c *Core) proceed(m *machine) {
	e := m.errand
	if e == nil {
		return
	}
	if e.phase < sent && m.Worker != e.worker && m.present {
		if e.worker != "" {
			c.emit(Resume{Worker: e.worker})
		}
		c.clear(m) // another life is to be cleared
	}
	if e.phase < sent && m.present && e.worker != "" && c.born[e.worker] != 0 {
		e.born = c.born[e.worker]
	}
	clear := e.worker == "" || c.facts.Clear(e.worker)
	switch {
	case e.phase < sent && !e.doubt && c.now > max(e.by, e.began)+clearPatience:
		c.count("clearing-given-up")
		c.postpone(m, busyPause)
	case e.phase == clearing && clear && m.present && (e.doubt || c.orderable(m)):
		e.phase, e.record = noting, c.records.next()
		c.note(m)
	case e.phase == noting && c.records.done >= e.record:
		e.phase = ready
	}
	if e.phase == ready && clear && m.errand == e {
		c.order(m)
	}
}

// note has it recorded that an order will be given.
func (c *Core) note(m *machine) {
	e := m.errand
	if e.wave != nil {
		c.records.waves[e.wave.Number] = true
	} else if home, ok := c.moves.homes[m.Name]; ok {
		c.records.homes[m.Name] = home
	}
}

// orderable reports whether an order for the machine may be carried out: it is
// up, or off in a pool on standby.
func (c *Core) orderable(m *machine) bool {
	return m.State == worker.MachineUp || m.errand.wave == nil && m.State == worker.MachineDown && c.pools[m.Pool].Standby
}

func (c *Core) order(m *machine) {
	e := m.errand
	if !c.mayOrder() || c.now < e.retryAt || !m.present {
		return
	}
	if !e.doubt && !c.orderable(m) {
		return
	}
	if e.first == "" {
		e.first = e.worker
	}
	if e.wave != nil && !c.roomFor(e.wave, m) {
		return
	}
	e.phase = sent
	c.spaced()
	if e.wave != nil {
		c.count("upkeep-ordered")
		c.emit(OrderUpkeep{Machine: m.Name, Wave: e.wave.Number})
		return
	}
	c.count("move-ordered")
	c.emit(OrderMove{Machine: m.Name, Pool: e.pool})
}

// answered takes in how an order was answered.
func (c *Core) answered(ev Answered) {
	m := c.machine(ev.Machine)
	e := m.errand
	if e == nil || e.phase != sent {
		return
	}
	e.phase = ready
	e.tries++
	e.retryAt = c.now + min(orderRetry<<min(e.tries-1, 8), mostBackoff)
	switch ev.Code {
	case worker.MachineOK:
		c.carriedOut(m)
	case worker.MachineUnanswered:
		c.count("order-unanswered")
		e.doubt = true
	case worker.MachineRefused:
		c.count("order-refused")
	case worker.MachineFenced:
		c.count("order-fenced")
		c.fencedUntil = c.now + fencedPause
	case worker.MachineBusy:
		c.count("order-busy")
		if !e.doubt {
			c.postpone(m, busyPause)
		}
	case worker.MachineWrong:
		c.count("order-wrong")
		if e.wave != nil && e.doubt && e.first != "" && m.Worker != "" && m.Worker != e.first {
			c.carriedOut(m) // the list shows that it was
			m.errand = nil
			return
		}
		if e.wave == nil {
			c.moves.wrong[pair{m.Name, e.pool}] = true
			c.unmove(m)
		}
		c.postpone(m, wrongPause)
	}
}

// carriedOut takes note that the machine's upkeep or move has surely begun:
// nothing runs there any more.
func (c *Core) carriedOut(m *machine) {
	e := m.errand
	e.phase, e.doubt, e.doneAt = away, false, c.now
	if e.worker != "" {
		c.emit(LifeEnded{Worker: e.worker, Born: e.born})
		c.emit(Resume{Worker: e.worker})
	}
	if e.wave != nil {
		e.wave.done[m.Name] = true
		c.records.waves[e.wave.Number] = true
	}
}

// postpone ends an errand; it may be begun again later.
func (c *Core) postpone(m *machine, pause time.Duration) {
	e := m.errand
	c.drop(m)
	if w := e.wave; w != nil {
		w.notBefore[m.Name] = c.now + pause
		c.records.waves[w.Number] = true
		return
	}
	c.moves.notBefore[m.Name] = c.now + pause
	c.unmove(m)
}

// see holds an errand against a list that was asked for at the given time.
func (c *Core) see(m *machine, asked time.Duration) {
	e := m.errand
	if e == nil {
		return
	}
	if !m.present {
		if e.phase != sent && c.gone(m) {
			c.drop(m)
		}
		return
	}
	took := c.set.MoveTime
	if e.wave != nil {
		took = c.set.UpkeepTime
		if e.doubt && m.State == worker.MachineUpkeep {
			if e.phase == sent {
				return // its answer will come
			}
			c.carriedOut(m)
			e.left = true
		}
	} else if e.doubt && e.phase != sent && m.Pool == e.pool {
		c.carriedOut(m)
	}
	if e.phase != away || asked < e.doneAt {
		return
	}
	if e.wave == nil && m.Pool == e.pool && m.State != worker.MachineMoving && c.pools[e.pool].Standby {
		c.back(m) // it is off
		return
	}
	if m.State != worker.MachineUp {
		e.left = true
		return
	}
	another := m.Worker != e.worker || c.born[m.Worker] > e.born && e.born != 0
	if e.left || another || c.now-e.doneAt > 2*took+backSlack {
		c.back(m)
	}
}

// back ends an errand whose machine is up again.
func (c *Core) back(m *machine) {
	e := m.errand
	m.errand = nil
	if e.wave != nil {
		return
	}
	m.idleFrom = 0
	if home, ok := c.moves.homes[m.Name]; ok && home == e.pool {
		c.unmove(m)
	}
}

const (
	// goneAfter and goneMisses are for how long, and in how many lists, a
	// machine must be missing before it counts as gone for good.
	goneAfter  = 12 * time.Second
	goneMisses = 4
)

// gone reports whether the machine has left for good.
func (c *Core) gone(m *machine) bool {
	return !m.present && m.misses >= goneMisses && c.now-m.missing >= goneAfter
}
