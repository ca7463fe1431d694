package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/mimosaspool/mimosaspool/internal/routing"
	"github.com/mimosaspool/mimosaspool/internal/telemetry"
)

// metrics counts what callers were told and what it took.
type metrics struct {
	tel      *telemetry.Telemetry
	requests metric.Int64Counter
	duration metric.Float64Histogram
	bytes    metric.Int64Counter
	byEnd    map[routing.Outcome]metric.AddOption
	// told holds the counts already passed on.
	told map[routing.Counter]int64
}

func newMetrics(tel *telemetry.Telemetry) (*metrics, error) {
	m := &metrics{tel: tel, told: map[routing.Counter]int64{}, byEnd: map[routing.Outcome]metric.AddOption{}}
	var err error
	if m.requests, err = tel.Meter.Int64Counter("mimosaspool_requests", metric.WithDescription("Ended requests by outcome.")); err != nil {
		return nil, errors.Wrap(err, "counter")
	}
	m.duration, err = tel.Meter.Float64Histogram("mimosaspool_request_duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's headers to its end."),
		metric.WithExplicitBucketBoundaries(.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60))
	if err != nil {
		return nil, errors.Wrap(err, "histogram")
	}
	m.bytes, err = tel.Meter.Int64Counter("mimosaspool_cross_region_bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes of requests and answers that crossed between regions."))
	if err != nil {
		return nil, errors.Wrap(err, "counter")
	}
	for o, name := range map[routing.Outcome]string{
		routing.OutcomeAnswered: outcomeAnswered, routing.OutcomeNotRun: outcomeNotRun, routing.OutcomeUnknown: outcomeUnknown,
	} {
		m.byEnd[o] = metric.WithAttributeSet(attribute.NewSet(attribute.String("outcome", name)))
	}
	return m, nil
}

func (m *metrics) ended(o routing.Outcome) { m.requests.Add(context.Background(), 1, m.byEnd[o]) }

func (m *metrics) took(d time.Duration) { m.duration.Record(context.Background(), d.Seconds()) }

func (m *metrics) crossed(n int64) { m.bytes.Add(context.Background(), n) }

func (m *metrics) badHeader() { m.tel.Count("refusal", "bad-header", 1) }

// publish passes on what the core has counted since the last time.
func (m *metrics) publish(counts map[routing.Counter]int64) {
	for c, n := range counts {
		if more := n - m.told[c]; more > 0 {
			m.tel.Count(string(c.Kind), string(c.Reason), more)
			m.told[c] = n
		}
	}
}
