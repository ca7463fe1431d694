package noded

import (
	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/console"
	"github.com/mimosaspool/mimosaspool/internal/intake"
)

// handed logs what became of an operator's job, as of a caller's.
func (d *daemon) handed(h console.Handed) {
	kind := "job"
	if h.Cancel {
		kind = "cancel"
	} else {
		d.telemetry.Observe("accept", h.Took)
	}
	switch h.Outcome.Code {
	case intake.OK:
		kind += "-accepted"
	case intake.OutcomeUnknown:
		kind += "-unknown"
	default:
		kind += "-refused"
	}
	f := logrus.Fields{"kind": kind, "took_ms": h.Took.Milliseconds(), "job": h.Job, "queue": h.Queue,
		"outcome": h.Outcome.Code.String(), "by": "operator"}
	if age := d.node.JobsViewAge(); age >= 0 {
		f["age_ms"] = age.Milliseconds()
	}
	if h.Outcome.Reason != "" {
		f["reason"] = h.Outcome.Reason
	}
	d.log.WithFields(f).Info("request")
}
