// Package observe provides the logger and the metrics of an instance.
package observe

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

const reportEvery = time.Second

// Logger returns a logger that writes JSON lines to w, at level info if the level is not a known one.
func Logger(w io.Writer, level, instance, zone string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("instance", instance).Str("zone", zone).Logger()
}

// Metrics is a tally scope with a scrape handler in the Prometheus text format.
type Metrics struct {
	scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics returns the metrics of an instance, tagged with its ID and availability zone.
func NewMetrics(instance, zone string) *Metrics {
	reg := prometheus.NewRegistry()
	rep := promreporter.NewReporter(promreporter.Options{Registerer: reg, Gatherer: reg})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "ledgemount",
		Tags:                   map[string]string{"instance": instance, "zone": zone},
		CachedReporter:         rep,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	return &Metrics{scope: scope, handler: rep.HTTPHandler(), closer: closer}
}

// Scope returns the scope in which metrics are created.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler returns the handler for Prometheus scrapes.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close flushes the metrics and stops reporting them.
func (m *Metrics) Close() error { return m.closer.Close() }
