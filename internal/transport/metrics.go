package transport

import (
	"github.com/gofiber/fiber/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Metrics are what a node exports for Prometheus.
type Metrics struct {
	registry *prometheus.Registry
	requests *prometheus.HistogramVec
	reports  prometheus.Observer // of requests, those that come hundreds of times a second
	shed     *prometheus.CounterVec
	refused  prometheus.Counter
	handler  fiber.Handler
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
	}
	m.reports = m.requests.WithLabelValues("report", "200")
	m.registry.MustRegister(m.requests, m.shed, m.refused, collectors.NewGoCollector(),
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

// Connections exports how many connections a client has open.
func (m *Metrics) Connections(kind string, c *Client) { m.connections(kind, c) }

func (m *Metrics) serve(c *fiber.Ctx) error { return m.handler(c) }
