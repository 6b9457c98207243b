package node

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const metricsInterval = time.Second

// Metrics is the process's metrics scope and its page in the usual text form.
type Metrics struct {
	Scope  tally.Scope
	Page   http.Handler
	closer io.Closer
}

// NewMetrics returns metrics with a registry of their own.
func NewMetrics(role string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "bramleyspool",
		Tags:            map[string]string{"role": role},
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
	}, metricsInterval)
	return &Metrics{Scope: scope, Page: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), closer: closer}
}

// Close stops the reporting of metrics.
func (m *Metrics) Close() {
	_ = m.closer.Close()
}
