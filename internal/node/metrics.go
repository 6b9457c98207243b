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

// metricsInterval is the time between two updates of the metrics page.
const metricsInterval = time.Second

// Metrics holds the process's metrics scope and the handler of its page in the Prometheus text
// format.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics with a new registry. All metrics have the tag role.
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
	return &Metrics{Scope: scope, Handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), closer: closer}
}

// Close stops the updates of the metrics page.
func (m *Metrics) Close() {
	_ = m.closer.Close()
}
