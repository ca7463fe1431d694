package upkeep

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
)

// phase is the progress of an operation.
type phase int

const (
	// evacuating: the machine's worker is being evacuated.
	evacuating phase = iota
	// recording: the intent to send an order is being written to the store.
	recording
	// ready: the order may be sent.
	ready
	// ordered: the order was sent and has no answer yet.
	ordered
	// unavailable: the order was executed and the machine isn't back yet.
	unavailable
)

// operation is the maintenance of a machine for a wave, or its move to a pool if
// wave is nil.
type operation struct {
	wave  *wave
	pool  string
	phase phase
	// worker and born identify the worker incarnation that the order ends.
	worker     string
	born       int64
	began      time.Duration
	evacuateBy time.Duration
	// outcomeUnknown is set if an order had no answer: it may have been executed.
	outcomeUnknown bool
	// recordNumber is the number of the record that must be in the store before the
	// order is sent.
	recordNumber int64
	// retryAt is when the order may be sent again after failed attempts.
	retryAt   time.Duration
	attempts  int
	startedAt time.Duration
	// firstWorker is the worker that the first order was to end.
	firstWorker string
	// endedWorker and endedBorn identify the incarnation that the earliest order that
	// may have been executed was to end; empty if a previous leader has sent it. Only
	// that incarnation has certainly ended once an order is answered with OK, since
	// the platform gives the same answer if the machine has already returned.
	endedWorker string
	endedBorn   int64
	// seenAway is set if a list has shown the machine as not up since startedAt.
	seenAway bool
}

const (
	// minOrderBackoff is the shortest delay before an order is sent again.
	minOrderBackoff = 500 * time.Millisecond
	// evacuationTimeout is how long after its deadline an evacuation is given up, so
	// that another machine of the wave can proceed.
	evacuationTimeout = 20 * time.Second
	// busyRetryDelay is the delay before an operation starts again on a machine that
	// was busy or could not be evacuated; invalidRetryDelay is the delay after an
	// order that can never be executed.
	busyRetryDelay, invalidRetryDelay = 3 * time.Second, 30 * time.Second
	// returnSlack is added to twice the expected duration of an operation. After
	// that, a machine that is listed as up counts as back in any case.
	returnSlack = 10 * time.Second
)

// mayBeDown reports whether the machine is, or may be, down because of the operation.
func (op *operation) mayBeDown() bool {
	return op != nil && (op.outcomeUnknown || op.phase == ordered || op.phase == unavailable)
}

// beginOperation starts an operation with the evacuation of the machine's worker.
func (c *Core) beginOperation(m *machine, op *operation) {
	op.began = c.now
	m.operation = op
	c.startEvacuation(m)
}

func (c *Core) startEvacuation(m *machine) {
	op := m.operation
	op.phase, op.worker, op.born = evacuating, m.Worker, c.born[m.Worker]
	if op.worker != "" {
		c.emit(Evacuate{Worker: op.worker, Deadline: op.evacuateBy})
	}
}

// abort ends an operation without effect.
func (c *Core) abort(m *machine) {
	if op := m.operation; op != nil && op.worker != "" {
		c.emit(EndEvacuation{Worker: op.worker})
	}
	m.operation = nil
}

// advance takes the next step of a machine's operation.
func (c *Core) advance(m *machine) {
	op := m.operation
	if op == nil {
		return
	}
	if op.phase < ordered && m.Worker != op.worker && m.listed {
		if op.worker != "" {
			c.emit(EndEvacuation{Worker: op.worker})
		}
		c.startEvacuation(m) // another incarnation must be evacuated
	}
	if op.phase < ordered && m.listed && op.worker != "" && c.born[op.worker] != 0 {
		op.born = c.born[op.worker]
	}
	evacuated := op.worker == "" || c.dispatcher.Evacuated(op.worker)
	switch {
	case op.phase < ordered && !op.outcomeUnknown && c.now > max(op.evacuateBy, op.began)+evacuationTimeout:
		c.count("clearing-given-up")
		c.postpone(m, busyRetryDelay)
	case op.phase == evacuating && evacuated && m.listed && (op.outcomeUnknown || c.canOrder(m)):
		op.phase, op.recordNumber = recording, c.records.nextNumber()
		c.recordIntent(m)
	case op.phase == recording && c.records.writtenNumber >= op.recordNumber:
		op.phase = ready
	}
	if op.phase == ready && evacuated && m.operation == op {
		c.sendOrder(m)
	}
}

// recordIntent schedules a record of the order that will be sent.
func (c *Core) recordIntent(m *machine) {
	op := m.operation
	if op.wave != nil {
		c.records.waves[op.wave.Number] = true
	} else if home, ok := c.moves.homePools[m.Name]; ok {
		c.records.homePools[m.Name] = home
	}
}

// canOrder reports whether an order for the machine can be executed: the machine is
// up or, for a move, powered off in a standby pool.
func (c *Core) canOrder(m *machine) bool {
	return m.State == worker.MachineUp || m.operation.wave == nil && m.State == worker.MachineDown && c.pools[m.Pool].Standby
}

func (c *Core) sendOrder(m *machine) {
	op := m.operation
	if !c.canSendOrder() || c.now < op.retryAt || !m.listed {
		return
	}
	if !op.outcomeUnknown && !c.canOrder(m) {
		return
	}
	if op.firstWorker == "" {
		op.firstWorker = op.worker
	}
	if !op.outcomeUnknown {
		op.endedWorker, op.endedBorn = op.worker, op.born
	}
	if op.wave != nil && !c.mayGoDown(op.wave, m) {
		return
	}
	op.phase = ordered
	c.limitOrderRate()
	if op.wave != nil {
		c.count("upkeep-ordered")
		c.emit(OrderMaintenance{Machine: m.Name, Wave: op.wave.Number})
		return
	}
	c.count("move-ordered")
	c.emit(OrderMove{Machine: m.Name, Pool: op.pool})
}

// handleAnswer processes the result of an order.
func (c *Core) handleAnswer(ev OrderAnswered) {
	m := c.machine(ev.Machine)
	op := m.operation
	if op == nil || op.phase != ordered {
		return
	}
	op.phase = ready
	op.attempts++
	op.retryAt = c.now + min(minOrderBackoff<<min(op.attempts-1, 8), maxOrderBackoff)
	switch ev.Code {
	case worker.MachineOK:
		c.markStarted(m)
	case worker.MachineUnanswered:
		c.count("order-unanswered")
		op.outcomeUnknown = true
	case worker.MachineRefused:
		c.count("order-refused")
	case worker.MachineFenced:
		c.count("order-fenced")
		c.fencedUntil = c.now + fencedPause
	case worker.MachineBusy:
		c.count("order-busy")
		if !op.outcomeUnknown {
			c.postpone(m, busyRetryDelay)
		}
	case worker.MachineInvalid:
		c.count("order-wrong")
		if op.wave != nil && op.outcomeUnknown && op.firstWorker != "" && m.Worker != "" && m.Worker != op.firstWorker {
			c.markStarted(m) // the list shows that the order was executed
			m.operation = nil
			return
		}
		if op.wave == nil {
			c.moves.invalid[moveKey{m.Name, op.pool}] = true
			c.forgetHomePool(m)
		}
		c.postpone(m, invalidRetryDelay)
	}
}

// markStarted records that the machine's maintenance or move has certainly begun.
func (c *Core) markStarted(m *machine) {
	op := m.operation
	op.phase, op.outcomeUnknown, op.startedAt = unavailable, false, c.now
	if op.endedWorker != "" {
		c.emit(IncarnationEnded{Worker: op.endedWorker, Born: op.endedBorn})
	}
	if op.worker != "" {
		c.emit(EndEvacuation{Worker: op.worker})
	}
	if op.wave != nil {
		op.wave.started[m.Name] = true
		c.records.waves[op.wave.Number] = true
	}
}

// postpone ends an operation; it may start again after the pause.
func (c *Core) postpone(m *machine, delay time.Duration) {
	op := m.operation
	c.abort(m)
	if w := op.wave; w != nil {
		w.retryAt[m.Name] = c.now + delay
		c.records.waves[w.Number] = true
		return
	}
	c.moves.retryAt[m.Name] = c.now + delay
	c.forgetHomePool(m)
}

// reconcile compares an operation with a list that was requested at the given time.
func (c *Core) reconcile(m *machine, requestedAt time.Duration) {
	op := m.operation
	if op == nil {
		return
	}
	if !m.listed {
		if op.phase != ordered && c.isGone(m) {
			c.abort(m)
		}
		return
	}
	duration := c.settings.MoveTime
	if op.wave != nil {
		duration = c.settings.MaintenanceTime
		if op.outcomeUnknown && m.State == worker.MachineMaintenance {
			if op.phase == ordered {
				return // the answer is still pending
			}
			c.markStarted(m)
			op.seenAway = true
		}
	} else if op.outcomeUnknown && op.phase != ordered && m.Pool == op.pool {
		c.markStarted(m)
	}
	if op.phase != unavailable || requestedAt < op.startedAt {
		return
	}
	if op.wave == nil && m.Pool == op.pool && m.State != worker.MachineMoving && c.pools[op.pool].Standby {
		c.complete(m) // the machine is powered off
		return
	}
	if m.State != worker.MachineUp {
		op.seenAway = true
		return
	}
	newIncarnation := m.Worker != op.worker || c.born[m.Worker] > op.born && op.born != 0
	if op.seenAway || newIncarnation || c.now-op.startedAt > 2*duration+returnSlack {
		c.complete(m)
	}
}

// complete ends an operation whose machine is back.
func (c *Core) complete(m *machine) {
	op := m.operation
	m.operation = nil
	if op.wave != nil {
		return
	}
	m.idleSince = 0
	if home, ok := c.moves.homePools[m.Name]; ok && home == op.pool {
		c.forgetHomePool(m)
	}
}

const (
	// goneAfter and goneMisses are the time for which, and the number of consecutive
	// lists in which, a machine must be missing before it counts as removed.
	goneAfter  = 12 * time.Second
	goneMisses = 4
)

// isGone reports whether the machine has been removed permanently.
func (c *Core) isGone(m *machine) bool {
	return !m.listed && m.missedLists >= goneMisses && c.now-m.missingSince >= goneAfter
}
