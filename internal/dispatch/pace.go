package dispatch

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
)

const (
	fullPace = 100
	// paceEvery is how often a filler's pace may change.
	paceEvery = 600 * time.Millisecond
	// paceStep is by how much a pace rises, in percent.
	paceStep = 25
	// tightShare and easyShare are the shares of a target above which fillers
	// are slowed and below which they may speed up.
	tightShare, easyShare = 0.85, 0.6
)

// pace is the share at which a run works.
type pace struct {
	// percent is the share in force, wanted the one ordered.
	percent, wanted int
	at              time.Duration
	out             bool
}

// watched reports whether a worker's figures are wanted often.
func (h *host) watched() bool { return h.serving > 0 && h.fill > 0 }

// paceFillers slows fillers that disturb serving tasks on the same worker.
func (c *Core) paceFillers(h *host) {
	if !h.watched() {
		return
	}
	worst := 0.0
	for _, r := range h.sortedRuns() {
		if r.task == nil || r.task.step.def.TargetMillis == 0 || r.load < 0 || r.state != running {
			continue
		}
		worst = max(worst, r.load/float64(r.task.step.def.TargetMillis))
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
	if p.out || c.now-p.at < paceEvery {
		return
	}
	want := p.percent
	switch {
	case worst > 1:
		want = p.percent / 4
	case worst > tightShare:
		want = p.percent / 2
	case worst < easyShare:
		want = min(fullPace, p.percent+paceStep)
	}
	if want == p.percent {
		return
	}
	p.wanted, p.out, p.at = want, true, c.now
	c.emit(PaceTask{Life: r.host.life, Pace: worker.Pace{Order: c.orderTo(r.host), Task: r.id, Run: r.number, Percent: want}})
}

func (c *Core) paceAnswered(ev PaceAnswered) {
	r := c.answered(ev.Code, ev.Worker, ev.Life, ev.Task, ev.Run)
	if r == nil {
		return
	}
	r.pace.out = false
	if ev.Code == worker.OK {
		c.heard(r.host)
		r.pace.percent = ev.Percent
	}
}
