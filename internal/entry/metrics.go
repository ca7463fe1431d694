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

// metrics records request outcomes, durations and cross-region traffic.
type metrics struct {
	tel              *telemetry.Telemetry
	requests         metric.Int64Counter
	duration         metric.Float64Histogram
	crossRegionBytes metric.Int64Counter
	byOutcome        map[routing.Outcome]metric.AddOption
	// published holds the counts as of the last publish.
	published map[routing.Counter]int64
}

func newMetrics(tel *telemetry.Telemetry) (*metrics, error) {
	m := &metrics{tel: tel, published: map[routing.Counter]int64{}, byOutcome: map[routing.Outcome]metric.AddOption{}}
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
	m.crossRegionBytes, err = tel.Meter.Int64Counter("mimosaspool_cross_region_bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes of requests and answers that crossed between regions."))
	if err != nil {
		return nil, errors.Wrap(err, "counter")
	}
	for o, name := range map[routing.Outcome]string{
		routing.OutcomeAnswered: outcomeAnswered, routing.OutcomeNotRun: outcomeNotRun, routing.OutcomeUnknown: outcomeUnknown,
	} {
		m.byOutcome[o] = metric.WithAttributeSet(attribute.NewSet(attribute.String("outcome", name)))
	}
	return m, nil
}

func (m *metrics) requestEnded(o routing.Outcome) {
	m.requests.Add(context.Background(), 1, m.byOutcome[o])
}

func (m *metrics) observeDuration(d time.Duration) {
	m.duration.Record(context.Background(), d.Seconds())
}

func (m *metrics) addCrossRegionBytes(n int64) { m.crossRegionBytes.Add(context.Background(), n) }

func (m *metrics) countBadHeader() { m.tel.Count("refusal", "bad-header", 1) }

// publish adds what the core has counted since the last call.
func (m *metrics) publish(counts map[routing.Counter]int64) {
	for c, n := range counts {
		if delta := n - m.published[c]; delta > 0 {
			m.tel.Count(string(c.Kind), string(c.Reason), delta)
			m.published[c] = n
		}
	}
}
