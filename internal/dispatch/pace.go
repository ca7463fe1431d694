package dispatch

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
)

const (
	fullPace = 100
	// paceInterval is the least time between two changes of a filler's pace.
	paceInterval = 600 * time.Millisecond
	// paceStep is the increment by which a pace rises, in percent.
	paceStep = 25
	// slowDownShare and speedUpShare are the fractions of a latency target above
	// which fillers are slowed and below which they may speed up.
	slowDownShare, speedUpShare = 0.85, 0.6
)

// pace is the fraction of full speed at which a run works.
type pace struct {
	// percent is the pace in force, wanted the one that was ordered.
	percent, wanted int
	orderedAt       time.Duration
	inFlight        bool
}

// watchesLatency reports whether the worker's latency figures are needed often.
func (h *host) watchesLatency() bool { return h.servingRuns > 0 && h.fillerMilliCPU > 0 }

// paceFillers slows fillers that disturb serving tasks on the same worker.
func (c *Core) paceFillers(h *host) {
	if !h.watchesLatency() {
		return
	}
	worst := 0.0
	for _, r := range h.sortedRuns() {
		if r.task == nil || r.task.step.def.TargetLatencyMillis == 0 || r.latencyMillis < 0 || r.state != running {
			continue
		}
		worst = max(worst, r.latencyMillis/float64(r.task.step.def.TargetLatencyMillis))
	}
	for _, r := range h.sortedRuns() {
		if r.task == nil || !r.task.step.def.Filler || r.state != running {
			continue
		}
		c.paceRun(r, worst)
	}
}

func (c *Core) paceRun(r *run, worst float64) {
	p := &r.pace
	if p.inFlight || c.now-p.orderedAt < paceInterval {
		return
	}
	want := p.percent
	switch {
	case worst > 1:
		want = p.percent / 4
	case worst > slowDownShare:
		want = p.percent / 2
	case worst < speedUpShare:
		want = min(fullPace, p.percent+paceStep)
	}
	if want == p.percent {
		return
	}
	p.wanted, p.inFlight, p.orderedAt = want, true, c.now
	c.emit(PaceTask{Incarnation: r.host.incarnation, Pace: worker.Throttle{Order: c.orderFor(r.host), Task: r.taskID, Run: r.number, Percent: want}})
}

func (c *Core) paceAnswered(ev PaceAnswered) {
	r := c.answeredRun(ev.Code, ev.Worker, ev.Incarnation, ev.Task, ev.Run)
	if r == nil {
		return
	}
	r.pace.inFlight = false
	if ev.Code == worker.OK {
		c.recordContact(r.host)
		r.pace.percent = ev.Percent
	}
}
