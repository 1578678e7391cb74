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

// heartbeatLabel is the label of agent heartbeats among requests.
const heartbeatLabel = "report"

// Metrics are what a controller exports for Prometheus. They may be counted from any
// goroutine; what is registered is registered before Serve.
type Metrics struct {
	registry *prometheus.Registry
	handler  fiber.Handler

	requests            *prometheus.HistogramVec
	heartbeats          prometheus.Observer // of requests, those that come hundreds of times a second
	shed                *prometheus.CounterVec
	malformedHeartbeats prometheus.Counter

	commands     *prometheus.CounterVec
	transactions *prometheus.CounterVec
	changes      prometheus.Counter
}

// NewMetrics makes a registry of its own; there is no global one.
func NewMetrics(limiter *Limiter) *Metrics {
	metrics := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rockrun_request_duration_seconds", Help: "Time to answer a request, by kind and status.",
			Buckets: []float64{.001, .005, .02, .1, .5, 1, 2, 5},
		}, []string{"kind", "status"}),
		shed:                counterVec("rockrun_requests_shed_total", "Requests refused because too many were in progress.", "kind"),
		malformedHeartbeats: counter("rockrun_reports_refused_total", "Worker reports that could not be read."),
		commands:            counterVec("rockrun_commands_total", "Direct commands to workers, by result.", "result"),
		transactions:        counterVec("rockrun_transactions_total", "Transactions of the state service, by result.", "result"),
		changes:             counter("rockrun_changes_total", "Changes of records that were read."),
	}
	metrics.heartbeats = metrics.requests.WithLabelValues(heartbeatLabel, "200")
	metrics.registry.MustRegister(metrics.requests, metrics.shed, metrics.malformedHeartbeats, metrics.commands, metrics.transactions, metrics.changes,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	metrics.gauge("rockrun_requests_limit", "Present bound on user requests in progress.", nil,
		func() float64 { return float64(limiter.Limit()) })
	export := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(metrics.registry, promhttp.HandlerOpts{}))
	metrics.handler = func(ctx *fiber.Ctx) error {
		export(ctx.Context())
		return nil
	}
	return metrics
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func counterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
}

// gauge exports a value that is read when asked for.
func (m *Metrics) gauge(name, help string, labels prometheus.Labels, value func() float64) {
	opts := prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels}
	m.registry.MustRegister(prometheus.NewGaugeFunc(opts, value))
}

// Connections exports how many connections of a kind are open.
func (m *Metrics) Connections(kind string, connections interface{ Open() int }) {
	m.gauge("rockrun_connections", "Open connections, by kind.", prometheus.Labels{"kind": kind},
		func() float64 { return float64(connections.Open()) })
}

// Limits exports what the machine allows, beside what the process uses; 0 where that is not
// known.
func (m *Metrics) Limits(cores, memoryMB float64) {
	for name, value := range map[string]float64{"cores": cores, "memory_bytes": memoryMB * (1 << 20)} {
		m.gauge("rockrun_limit_"+name, "What the settings allow the process; 0: not said.", nil,
			func() float64 { return value })
	}
}

// Controller exports a controller's counts. It calls stats on other goroutines.
func (m *Metrics) Controller(stats func() coordination.Stats) {
	total := func(name, help string, count func(coordination.Stats) uint64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
			func() float64 { return float64(count(stats())) }))
	}
	present := func(name, help string, value func(coordination.Stats) int64) {
		m.gauge(name, help, nil, func() float64 { return float64(value(stats())) })
	}
	total("rockrun_passes_total", "Passes over all that the controller holds.",
		func(s coordination.Stats) uint64 { return s.Passes })
	total("rockrun_jobs_released_total", "Jobs of the controller's homes that could start since all that they need was done.",
		func(s coordination.Stats) uint64 { return s.JobsReleased })
	total("rockrun_jobs_cancelled_with_another_total", "Jobs of the controller's homes that were cancelled with one that they need.",
		func(s coordination.Stats) uint64 { return s.JobsCancelledByDependency })
	present("rockrun_jobs_waiting", "Unfinished jobs of the controller's homes that wait for others.",
		func(s coordination.Stats) int64 { return s.JobsAwaitingDependencies })
	present("rockrun_term", "Highest term that the controller has read.",
		func(s coordination.Stats) int64 { return int64(s.Snapshot.Term) })
	present("rockrun_leader", "1 while the controller leads in that term.",
		func(s coordination.Stats) int64 { return boolGauge(s.Snapshot.Leading) })
	present("rockrun_job_shards_held", "Job shards that the controller holds.",
		func(s coordination.Stats) int64 { return int64(s.Snapshot.JobShards) })
	present("rockrun_view_revision", "Revision of the store up to which the controller has read.",
		func(s coordination.Stats) int64 { return int64(s.Snapshot.Revision) })
	present("rockrun_view_staleness_milliseconds", "Time since the controller's view is known to have held everything durable.",
		func(s coordination.Stats) int64 { return s.Snapshot.Staleness.Milliseconds() })
	present("rockrun_oversized_values", "Values the controller writes that are over the limit in force and not yet split.",
		func(s coordination.Stats) int64 { return s.OversizedValues })
}

// boolGauge is the value of a gauge that says yes or no.
func boolGauge(yes bool) int64 {
	if yes {
		return 1
	}
	return 0
}

// resultLabel is the label of how a call to the outside ended.
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
