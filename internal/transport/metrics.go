package transport

import (
	"errors"

	"github.com/gofiber/fiber/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"rockrun/internal/coordination"
	"rockrun/internal/protocol"
)

// heartbeatLabel is the kind of agent heartbeats in the request metrics.
const heartbeatLabel = "report"

// Metrics are the Prometheus metrics of a controller. They may be updated from any goroutine.
// All of them are registered before Server.Serve.
type Metrics struct {
	registry *prometheus.Registry
	handler  fiber.Handler

	requests            *prometheus.HistogramVec
	heartbeats          prometheus.Observer // accepted heartbeats in requests; cached, since hundreds arrive per second
	requestsShed        *prometheus.CounterVec
	malformedHeartbeats prometheus.Counter

	commands     *prometheus.CounterVec
	transactions *prometheus.CounterVec
	changes      prometheus.Counter
}

// NewMetrics returns Metrics with their own registry. The global one is not used.
func NewMetrics(limiter *Limiter) *Metrics {
	metrics := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rockrun_request_duration_seconds", Help: "Time to answer a request, by kind and status.",
			Buckets: []float64{.001, .005, .02, .1, .5, 1, 2, 5},
		}, []string{"kind", "status"}),
		requestsShed:        newCounterVec("rockrun_requests_shed_total", "Requests refused because too many were in progress.", "kind"),
		malformedHeartbeats: newCounter("rockrun_reports_refused_total", "Worker reports that could not be read."),
		commands:            newCounterVec("rockrun_commands_total", "Direct commands to workers, by result.", "result"),
		transactions:        newCounterVec("rockrun_transactions_total", "Transactions of the state service, by result.", "result"),
		changes:             newCounter("rockrun_changes_total", "Changes of records that were read."),
	}
	metrics.heartbeats = metrics.requests.WithLabelValues(heartbeatLabel, "200")
	metrics.registry.MustRegister(metrics.requests, metrics.requestsShed, metrics.malformedHeartbeats, metrics.commands, metrics.transactions, metrics.changes,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	metrics.registerGauge("rockrun_requests_limit", "Present bound on user requests in progress.", nil,
		func() float64 { return float64(limiter.Limit()) })
	export := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(metrics.registry, promhttp.HandlerOpts{}))
	metrics.handler = func(ctx *fiber.Ctx) error {
		export(ctx.Context())
		return nil
	}
	return metrics
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func newCounterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
}

// registerGauge exports a value that is read at each scrape.
func (m *Metrics) registerGauge(name, help string, labels prometheus.Labels, value func() float64) {
	opts := prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels}
	m.registry.MustRegister(prometheus.NewGaugeFunc(opts, value))
}

// RegisterConnections exports the number of open connections of a kind.
func (m *Metrics) RegisterConnections(kind string, connections interface{ OpenCount() int }) {
	m.registerGauge("rockrun_connections", "Open connections, by kind.", prometheus.Labels{"kind": kind},
		func() float64 { return float64(connections.OpenCount()) })
}

// RegisterLimits exports the resource limits of the process from the settings, for comparison
// with its usage. A value of 0 means that the limit is not set.
func (m *Metrics) RegisterLimits(cores, memoryMB float64) {
	for name, value := range map[string]float64{"cores": cores, "memory_bytes": memoryMB * (1 << 20)} {
		m.registerGauge("rockrun_limit_"+name, "What the settings allow the process; 0: not said.", nil,
			func() float64 { return value })
	}
}

// RegisterController exports a controller's counters and gauges. It calls stats from other
// goroutines than the loop.
func (m *Metrics) RegisterController(stats func() coordination.Stats) {
	registerCounter := func(name, help string, count func(coordination.Stats) uint64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
			func() float64 { return float64(count(stats())) }))
	}
	registerIntGauge := func(name, help string, value func(coordination.Stats) int64) {
		m.registerGauge(name, help, nil, func() float64 { return float64(value(stats())) })
	}
	registerCounter("rockrun_passes_total", "Passes over all that the controller holds.",
		func(s coordination.Stats) uint64 { return s.Passes })
	registerCounter("rockrun_commands_deferred_total", "Commands to workers that did not fit into a message and were sent with a later one.",
		func(s coordination.Stats) uint64 { return s.CommandsDeferred })
	registerCounter("rockrun_jobs_released_total", "Jobs of the controller's homes that could start since all that they need was done.",
		func(s coordination.Stats) uint64 { return s.JobsReleased })
	registerCounter("rockrun_jobs_cancelled_with_another_total", "Jobs of the controller's homes that were cancelled with one that they need.",
		func(s coordination.Stats) uint64 { return s.JobsCancelledByDependency })
	registerIntGauge("rockrun_jobs_waiting", "Unfinished jobs of the controller's homes that wait for others.",
		func(s coordination.Stats) int64 { return s.JobsAwaitingDependencies })
	registerIntGauge("rockrun_term", "Highest term that the controller has read.",
		func(s coordination.Stats) int64 { return int64(s.Snapshot.Term) })
	registerIntGauge("rockrun_leader", "1 while the controller leads in that term.",
		func(s coordination.Stats) int64 { return boolGauge(s.Snapshot.Leading) })
	registerIntGauge("rockrun_job_shards_held", "Job shards that the controller holds.",
		func(s coordination.Stats) int64 { return int64(s.Snapshot.JobShards) })
	registerIntGauge("rockrun_view_revision", "Revision of the store up to which the controller has read.",
		func(s coordination.Stats) int64 { return int64(s.Snapshot.Revision) })
	registerIntGauge("rockrun_view_staleness_milliseconds", "Time since the controller's view is known to have held everything durable.",
		func(s coordination.Stats) int64 { return s.Snapshot.Staleness.Milliseconds() })
	registerIntGauge("rockrun_oversized_values", "Values the controller writes that are over the limit in force and not yet split.",
		func(s coordination.Stats) int64 { return s.OversizedValues })
}

// boolGauge returns the value of a gauge for a condition: 1 for true, 0 for false.
func boolGauge(value bool) int64 {
	if value {
		return 1
	}
	return 0
}

// resultLabel returns the metrics label for the result of an outbound call.
func resultLabel(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, protocol.ErrConflict):
		return "conflict"
	case errors.Is(err, protocol.ErrRejected):
		return "rejected"
	case errors.Is(err, protocol.ErrRateLimited):
		return "too_many"
	case errors.Is(err, protocol.ErrNotExecuted):
		return "refused"
	}
	return "unknown"
}
