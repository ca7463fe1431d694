// Package telemetry records a program's metrics with OpenTelemetry and serves them
// for /metrics.
package telemetry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Telemetry holds the instruments of one program. Its methods may be called concurrently.
type Telemetry struct {
	Meter    metric.Meter
	provider *sdk.MeterProvider
	registry *prometheus.Registry
	reasons  metric.Int64Counter
	times    metric.Float64Histogram
	// timeOptions and reasonOptions cache the attribute sets of frequent
	// measurements.
	timeOptions   map[string]metric.MeasurementOption
	reasonOptions sync.Map
}

// timeBucketSeconds are the bucket boundaries of the time histogram, in seconds.
var timeBucketSeconds = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60, 300}

// New creates the instruments of the named program.
func New(program string) (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Wrap(err, "metrics exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	meter := provider.Meter("github.com/mimosaspool/mimosaspool/" + program)
	reasons, err := meter.Int64Counter("mimosaspool_reasons", metric.WithDescription("Refusals, retries and losses by kind and reason."))
	if err != nil {
		return nil, errors.Wrap(err, "counter")
	}
	times, err := meter.Float64Histogram("mimosaspool_time_seconds", metric.WithDescription("Times by name."), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(timeBucketSeconds...))
	if err != nil {
		return nil, errors.Wrap(err, "histogram")
	}
	t := &Telemetry{Meter: meter, provider: provider, registry: registry, reasons: reasons, times: times,
		timeOptions: map[string]metric.MeasurementOption{}}
	for _, n := range Times {
		t.timeOptions[n.Name] = timeOption(n.Name)
	}
	return t, nil
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Count adds n to the counter of a kind (refusal, retry, loss) and reason.
func (t *Telemetry) Count(kind, reason string, n int64) {
	key := [2]string{kind, reason}
	opt, ok := t.reasonOptions.Load(key)
	if !ok {
		opt = metric.WithAttributeSet(attribute.NewSet(attribute.String("kind", kind), attribute.String("reason", reason)))
		t.reasonOptions.Store(key, opt)
	}
	t.reasons.Add(context.Background(), n, opt.(metric.MeasurementOption))
}

// Observe records a duration in the time histogram under the given name.
func (t *Telemetry) Observe(name string, d time.Duration) {
	opt, ok := t.timeOptions[name]
	if !ok {
		opt = timeOption(name)
	}
	t.times.Record(context.Background(), d.Seconds(), opt)
}

func timeOption(name string) metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(attribute.String("name", name)))
}

// NodeState gives access to a node's state. Its functions are called on each scrape.
type NodeState struct {
	// ViewAges returns how long ago each view was last read, by the name of the view.
	ViewAges func() map[string]time.Duration
	IsLeader func() bool
	IsReady  func() bool
}

// RegisterNodeGauges registers gauges for a node's state.
func (t *Telemetry) RegisterNodeGauges(state NodeState) error {
	ages, err := t.Meter.Float64ObservableGauge("mimosaspool_view_age_seconds", metric.WithDescription("Ages of views."), metric.WithUnit("s"))
	if err != nil {
		return errors.Wrap(err, "gauge")
	}
	isLeader, err := t.Meter.Int64ObservableGauge("mimosaspool_holds_right", metric.WithDescription("1 on the holder of the right to place."))
	if err != nil {
		return errors.Wrap(err, "gauge")
	}
	ready, err := t.Meter.Int64ObservableGauge("mimosaspool_ready", metric.WithDescription("1 while callers can be served."))
	if err != nil {
		return errors.Wrap(err, "gauge")
	}
	_, err = t.Meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for view, age := range state.ViewAges() {
			o.ObserveFloat64(ages, age.Seconds(), metric.WithAttributes(attribute.String("view", view)))
		}
		o.ObserveInt64(isLeader, boolToInt(state.IsLeader()))
		o.ObserveInt64(ready, boolToInt(state.IsReady()))
		return nil
	}, ages, isLeader, ready)
	return errors.Wrap(err, "gauges")
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// Close flushes the metrics and shuts the instruments down.
func (t *Telemetry) Close() error { return errors.WithStack(t.provider.Shutdown(context.Background())) }
