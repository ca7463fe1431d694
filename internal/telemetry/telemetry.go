// Package telemetry measures a program with OpenTelemetry and serves the
// measures at /metrics.
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

// Telemetry holds one program's instruments. Its methods may be called concurrently.
type Telemetry struct {
	Meter    metric.Meter
	provider *sdk.MeterProvider
	registry *prometheus.Registry
	reasons  metric.Int64Counter
	times    metric.Float64Histogram
	// named and counted hold the attributes of what is measured often.
	named   map[string]metric.MeasurementOption
	counted sync.Map
}

// timeBounds are the histogram's bounds in seconds.
var timeBounds = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60, 300}

// New returns the instruments of the named program.
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
		metric.WithExplicitBucketBoundaries(timeBounds...))
	if err != nil {
		return nil, errors.Wrap(err, "histogram")
	}
	t := &Telemetry{Meter: meter, provider: provider, registry: registry, reasons: reasons, times: times,
		named: map[string]metric.MeasurementOption{}}
	for _, n := range Times {
		t.named[n.Name] = timeName(n.Name)
	}
	return t, nil
}

// Handler serves the measures in Prometheus' text form.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Count adds n to the counter of a kind (refusal, retry, loss) and reason.
func (t *Telemetry) Count(kind, reason string, n int64) {
	key := [2]string{kind, reason}
	opt, ok := t.counted.Load(key)
	if !ok {
		opt = metric.WithAttributeSet(attribute.NewSet(attribute.String("kind", kind), attribute.String("reason", reason)))
		t.counted.Store(key, opt)
	}
	t.reasons.Add(context.Background(), n, opt.(metric.MeasurementOption))
}

// Observe adds a duration to the histogram of the name.
func (t *Telemetry) Observe(name string, d time.Duration) {
	opt, ok := t.named[name]
	if !ok {
		opt = timeName(name)
	}
	t.times.Record(context.Background(), d.Seconds(), opt)
}

func timeName(name string) metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(attribute.String("name", name)))
}

// Watched is a node's state, read when the measures are.
type Watched struct {
	// Ages returns how long ago each view was read.
	Ages  func() map[string]time.Duration
	Holds func() bool
	Ready func() bool
}

// Watch serves a node's state as gauges.
func (t *Telemetry) Watch(w Watched) error {
	ages, err := t.Meter.Float64ObservableGauge("mimosaspool_view_age_seconds", metric.WithDescription("Ages of views."), metric.WithUnit("s"))
	if err != nil {
		return errors.Wrap(err, "gauge")
	}
	holds, err := t.Meter.Int64ObservableGauge("mimosaspool_holds_right", metric.WithDescription("1 on the holder of the right to place."))
	if err != nil {
		return errors.Wrap(err, "gauge")
	}
	ready, err := t.Meter.Int64ObservableGauge("mimosaspool_ready", metric.WithDescription("1 while callers can be served."))
	if err != nil {
		return errors.Wrap(err, "gauge")
	}
	_, err = t.Meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for view, age := range w.Ages() {
			o.ObserveFloat64(ages, age.Seconds(), metric.WithAttributes(attribute.String("view", view)))
		}
		o.ObserveInt64(holds, toInt(w.Holds()))
		o.ObserveInt64(ready, toInt(w.Ready()))
		return nil
	}, ages, holds, ready)
	return errors.Wrap(err, "gauges")
}

func toInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// Close flushes and stops the instruments.
func (t *Telemetry) Close() error { return errors.WithStack(t.provider.Shutdown(context.Background())) }
