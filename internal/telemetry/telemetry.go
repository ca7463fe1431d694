// Package telemetry measures a program with OpenTelemetry and serves the
// measures at /metrics.
package telemetry

import (
	"context"
	"net/http"
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
}

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
	times, err := meter.Float64Histogram("mimosaspool_time_seconds", metric.WithDescription("Times by name."), metric.WithUnit("s"))
	if err != nil {
		return nil, errors.Wrap(err, "histogram")
	}
	return &Telemetry{Meter: meter, provider: provider, registry: registry, reasons: reasons, times: times}, nil
}

// Handler serves the measures in Prometheus' text form.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Count adds n to the counter of a kind (refusal, retry, loss) and reason.
func (t *Telemetry) Count(kind, reason string, n int64) {
	t.reasons.Add(context.Background(), n, metric.WithAttributes(attribute.String("kind", kind), attribute.String("reason", reason)))
}

// Observe adds a duration to the histogram of the name.
func (t *Telemetry) Observe(name string, d time.Duration) {
	t.times.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("name", name)))
}

// Close flushes and stops the instruments.
func (t *Telemetry) Close() error { return errors.WithStack(t.provider.Shutdown(context.Background())) }
