package schedulerd

import (
	"context"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/metric"

	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
	"github.com/mimosaspool/mimosaspool/internal/telemetry"
)

// gauge is a measure of the daemon's published state.
type gauge struct {
	name, description string
	read              func(status) int64
}

var gauges = []gauge{
	{"mimosaspool_ready", "1 when the configuration is known here.", func(s status) int64 { return flag(s.ready) }},
	{"mimosaspool_leader", "1 when this scheduler holds its domain's term.", func(s status) int64 { return flag(s.leader) }},
	{"mimosaspool_log_position", "Log offset that this scheduler needs next.", func(s status) int64 { return s.next }},
	{"mimosaspool_endpoints", "Runners in the directory for the domain's entries.", func(s status) int64 { return int64(len(s.dir.Endpoints)) }},
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// observe measures what a daemon publishes.
func observe(t *telemetry.Telemetry, d *Daemon) error {
	for _, g := range gauges {
		_, err := t.Meter.Int64ObservableGauge(g.name, metric.WithDescription(g.description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				s, _ := d.snapshot()
				o.Observe(g.read(s))
				return nil
			}))
		if err != nil {
			return errors.Wrap(err, g.name)
		}
	}
	return nil
}

// count passes on what the core's counters have grown by.
func (d *Daemon) count() {
	for reason, n := range d.core.Counters() {
		d.countUp(kindOfReason(reason), reason, n)
	}
	if n := int64(d.core.MalformedRecords()); n > d.counted[recordMalformed] {
		d.opt.Logger.WithField("position", d.core.NextOffset()).Warn("a malformed record was passed over")
		d.countUp("refusal", recordMalformed, n)
	}
}

// The reasons of calls that got no answer that counts.
const (
	reasonLog       = "log-unanswered"
	reasonHosts     = "hosts-unanswered"
	reasonTenure    = "tenure-unanswered"
	reasonPeer      = "heartbeat-unanswered"
	reasonMalformed = "reply-malformed"
)

// unanswered counts a call that failed. Without a reason it counts only what
// makes no sense, since the core counts the rest.
func (d *Daemon) unanswered(reason string, err error) {
	switch {
	case errors.Is(err, platform.ErrMalformed):
		d.opt.Count("retry", reasonMalformed, 1)
	case reason != "" && !errors.Is(err, context.Canceled):
		d.opt.Count("retry", reason, 1)
	}
}

// recordMalformed is the reason of records that could not be decoded.
const recordMalformed = "record-malformed"

func (d *Daemon) countUp(kind, reason string, n int64) {
	if d.counted == nil {
		d.counted = scheduler.Counters{}
	}
	if grown := n - d.counted[reason]; grown > 0 {
		d.opt.Count(kind, reason, grown)
		d.counted[reason] = n
	}
}

// reasonKinds tells which of the core's reasons are not refusals.
var reasonKinds = map[string]string{
	"task-lost": "loss", "task-failed": "loss", "start-lost": "retry", "write-failed": "retry", "gang-torn": "retry",
	"quarantined": "quarantine", "preempted": "preemption",
	"task-moved": "drain", "stop-overdue": "drain",
	"append-failed": "retry", "stale-reply": "retry", "tenure-unconfirmed": "retry", "tenure-lost": "loss", "yielded": "loss", "fenced": "loss",
}

func kindOfReason(reason string) string {
	if k, ok := reasonKinds[reason]; ok {
		return k
	}
	return "refusal"
}
