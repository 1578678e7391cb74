package transport

import (
	"encoding/json"
	"errors"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"rockrun/internal/coordination"
	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
)

// answerTime is how long a request may wait for the node: users wait 5 s at
// most, workers 4 s.
const answerTime = 3500 * time.Millisecond

// Server is the HTTP interface for users, workers and operators.
type Server struct {
	app        *fiber.App
	loop       *Loop
	controller *coordination.Controller
	limiter    *Limiter
	metrics    *Metrics
	sockets    int
	public     *Listener
}

// NewServer makes the interface of a node, with at most so many connections.
func NewServer(loop *Loop, node *coordination.Controller, limiter *Limiter, metrics *Metrics, sockets int) *Server {
	s := &Server{loop: loop, controller: node, limiter: limiter, metrics: metrics, sockets: sockets, public: &Listener{}}
	metrics.connections("public", s.public)
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             4 * protocol.MaxBody,
		Concurrency:           sockets,
		ReadTimeout:           75 * time.Second,
		WriteTimeout:          10 * time.Second,
		IdleTimeout:           75 * time.Second,
		ErrorHandler: func(c *fiber.Ctx, err error) error {
			status := http.StatusInternalServerError
			var e *fiber.Error
			if errors.As(err, &e) {
				status = e.Code
			}
			if status == http.StatusRequestEntityTooLarge {
				status = http.StatusBadRequest
			}
			return send(c, api.FromError(&api.StatusError{Status: status, Cause: err}))
		},
	})
	s.app.Use(s.shedConnections)
	s.app.Post("/hello", s.agentHeartbeat)
	s.app.Get("/healthz", s.healthz)
	s.app.Post("/submissions", s.limited(classSubmit, func(c *fiber.Ctx, reply func(api.Answer)) {
		body := append([]byte(nil), c.Body()...)
		s.post(reply, func() { node.Submit(body, reply) })
	}))
	s.app.Get("/submissions/:id", s.limited(classStatus, func(c *fiber.Ctx, reply func(api.Answer)) {
		id := string(append([]byte(nil), c.Params("id")...))
		s.post(reply, func() { node.Status(id, reply) })
	}))
	s.app.Post("/submissions/:id/withdraw", s.limited(classWithdraw, func(c *fiber.Ctx, reply func(api.Answer)) {
		id := string(append([]byte(nil), c.Params("id")...))
		s.post(reply, func() { node.Cancel(id, reply) })
	}))
	s.app.Get("/autoscaler/status", s.operator(func(n *coordination.Controller) any { st, _ := n.Autoscaler(); return st }))
	s.app.Get("/autoscaler/history", s.operator(func(n *coordination.Controller) any { _, h := n.Autoscaler(); return h }))
	s.app.Get("/metrics", s.metrics.serve)
	return s
}

// Serve answers requests until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.public.Listener = ln
	return s.app.Listener(s.public)
}

// Shutdown finishes the requests under way.
func (s *Server) Shutdown(wait time.Duration) error { return s.app.ShutdownWithTimeout(wait) }

// thin closes connections after their answers while there are too many of them:
// a controller that is left alone gets all workers and users of the others.
func (s *Server) shedConnections(c *fiber.Ctx) error {
	err := c.Next()
	if !keep(s.public.Open(), s.sockets) {
		c.Context().SetConnectionClose()
	}
	return err
}

// post hands a request to the node, or tells the sender to come back when the
// node's queue is full.
func (s *Server) post(reply func(api.Answer), f func()) {
	if !s.loop.TryPost(f) {
		reply(busy())
	}
}

func busy() api.Answer { return api.FromError(&api.RetryLaterError{Reason: api.ErrBusy}) }

// wait runs a request and waits for its answer.
func wait(run func(reply func(api.Answer))) api.Answer {
	got := make(chan api.Answer, 1)
	run(func(a api.Answer) {
		select {
		case got <- a:
		default:
		}
	})
	timer := time.NewTimer(answerTime)
	defer timer.Stop()
	select {
	case a := <-got:
		return a
	case <-timer.C:
		return busy()
	}
}

func send(c *fiber.Ctx, a api.Answer) error {
	if a.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	c.Status(a.Status)
	if a.Body == nil {
		return nil
	}
	data, err := json.Marshal(a.Body)
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(data)
}

// limited puts the adaptive limit before a user's request.
func (s *Server) limited(class class, run func(*fiber.Ctx, func(api.Answer))) fiber.Handler {
	return func(c *fiber.Ctx) error {
		release, ok := s.limiter.acquire(class)
		if !ok {
			s.metrics.shed.WithLabelValues(class.String()).Inc()
			return send(c, api.FromError(&api.OverloadError{Class: class.String()}))
		}
		began := time.Now()
		a := wait(func(reply func(api.Answer)) { run(c, reply) })
		release()
		s.metrics.requests.WithLabelValues(class.String(), strconv.Itoa(a.Status)).Observe(time.Since(began).Seconds())
		return send(c, a)
	}
}

func (s *Server) agentHeartbeat(c *fiber.Ctx) error {
	r, err := protocol.ParseAgentHeartbeat(c.Body())
	if err != nil {
		s.metrics.refused.Inc()
		return send(c, api.FromError(err))
	}
	began := time.Now()
	a := wait(func(reply func(api.Answer)) {
		s.post(reply, func() { s.controller.OnAgentHeartbeat(r, reply) })
	})
	if a.Status == http.StatusOK {
		s.metrics.reports.Observe(time.Since(began).Seconds())
	} else {
		s.metrics.requests.WithLabelValues("report", strconv.Itoa(a.Status)).Observe(time.Since(began).Seconds())
	}
	if a.Status != http.StatusOK {
		c.Context().SetConnectionClose() // it goes to another controller now
	}
	return send(c, a)
}

func (s *Server) healthz(c *fiber.Ctx) error {
	a := wait(func(reply func(api.Answer)) {
		s.post(reply, func() {
			if s.controller.Healthy() {
				reply(api.OK(nil))
			} else {
				reply(api.FromError(api.ErrUnhealthy))
			}
		})
	})
	return send(c, a)
}

// operator answers from the node's own view.
func (s *Server) operator(view func(*coordination.Controller) any) fiber.Handler {
	return func(c *fiber.Ctx) error {
		return send(c, wait(func(reply func(api.Answer)) {
			s.post(reply, func() { reply(api.OK(view(s.controller))) })
		}))
	}
}
