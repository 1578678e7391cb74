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

// Metrics are what a node exports for Prometheus.
type Metrics struct {
	registry *prometheus.Registry
	requests *prometheus.HistogramVec
	reports  prometheus.Observer // of requests, those that come hundreds of times a second
	shed     *prometheus.CounterVec
	refused  prometheus.Counter
	handler  fiber.Handler

	commands     *prometheus.CounterVec
	transactions *prometheus.CounterVec
	changes      prometheus.Counter
}

// NewMetrics makes a registry of its own; there is no global one.
func NewMetrics(limiter *Limiter) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rockrun_request_duration_seconds", Help: "Time to answer a request, by kind and status.",
			Buckets: []float64{.001, .005, .02, .1, .5, 1, 2, 5},
		}, []string{"kind", "status"}),
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rockrun_requests_shed_total", Help: "Requests refused because too many were in progress.",
		}, []string{"kind"}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rockrun_reports_refused_total", Help: "Worker reports that could not be read.",
		}),
		commands: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rockrun_commands_total", Help: "Direct commands to workers, by result.",
		}, []string{"result"}),
		transactions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rockrun_transactions_total", Help: "Transactions of the state service, by result.",
		}, []string{"result"}),
		changes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rockrun_changes_total", Help: "Changes of records that were read.",
		}),
	}
	m.reports = m.requests.WithLabelValues("report", "200")
	m.registry.MustRegister(m.requests, m.shed, m.refused, m.commands, m.transactions, m.changes,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "rockrun_requests_limit", Help: "Present bound on user requests in progress.",
		}, func() float64 { return float64(limiter.Limit()) }))
	h := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	m.handler = func(c *fiber.Ctx) error {
		h(c.Context())
		return nil
	}
	return m
}

// connections exports how many connections of a kind are open.
func (m *Metrics) connections(kind string, g interface{ Open() int }) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rockrun_connections", Help: "Open connections, by kind.", ConstLabels: prometheus.Labels{"kind": kind},
	}, func() float64 { return float64(g.Open()) }))
}

// Limits exports what the machine allows, beside what the process uses.
func (m *Metrics) Limits(cores, memoryMB float64) {
	for name, value := range map[string]float64{"cores": cores, "memory_bytes": memoryMB * (1 << 20)} {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "rockrun_limit_" + name, Help: "What the settings allow the process; 0: not said.",
		}, func() float64 { return value }))
	}
}

// Node exports a node's counts.
func (m *Metrics) Controller(stats func() coordination.Stats) {
	counter := func(name, help string, count func(coordination.Stats) uint64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
			func() float64 { return float64(count(stats())) }))
	}
	gauge := func(name, help string, value func(coordination.Stats) int64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help},
			func() float64 { return float64(value(stats())) }))
	}
	counter("rockrun_passes_total", "Passes over all that the controller holds.",
		func(s coordination.Stats) uint64 { return s.Passes })
	counter("rockrun_jobs_released_total", "Jobs of the controller's homes that could start since all that they need was done.",
		func(s coordination.Stats) uint64 { return s.JobsReleased })
	counter("rockrun_jobs_cancelled_with_another_total", "Jobs of the controller's homes that were cancelled with one that they need.",
		func(s coordination.Stats) uint64 { return s.JobsCancelledByDependency })
	gauge("rockrun_jobs_waiting", "Unfinished jobs of the controller's homes that wait for others.",
		func(s coordination.Stats) int64 { return s.JobsAwaitingDependencies })
	gauge("rockrun_oversized_values", "Values the controller writes that are over the limit in force and not yet split.",
		func(s coordination.Stats) int64 { return s.OversizedValues })
}

// result names how a call to the outside ended.
func result(err error) string {
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

// Connections exports how many connections a client has open.
func (m *Metrics) Connections(kind string, c *Client) { m.connections(kind, c) }

func (m *Metrics) serve(c *fiber.Ctx) error { return m.handler(c) }
