package transport

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
)

// handler answers a request by calling reply, at once or later. The context belongs to the
// request: what is used later must be copied.
type handler func(ctx *fiber.Ctx, reply func(api.Answer))

// limited puts the Limiter before a user's request.
func (s *Server) limited(class requestClass, handle handler) fiber.Handler {
	return func(ctx *fiber.Ctx) error {
		release, admitted := s.Limiter.acquire(class)
		if !admitted {
			s.Metrics.shed.WithLabelValues(class.String()).Inc()
			return send(ctx, api.FromError(&api.OverloadError{Class: class.String()}))
		}
		began := time.Now()
		answer := await(func(reply func(api.Answer)) { handle(ctx, reply) })
		release()
		s.Metrics.requests.WithLabelValues(class.String(), strconv.Itoa(answer.Status)).Observe(time.Since(began).Seconds())
		return send(ctx, answer)
	}
}

func (s *Server) submit(ctx *fiber.Ctx, reply func(api.Answer)) {
	body := append([]byte(nil), ctx.Body()...)
	s.post(reply, func() { s.Controller.Submit(body, reply) })
}

func (s *Server) status(ctx *fiber.Ctx, reply func(api.Answer)) {
	id := jobID(ctx)
	s.post(reply, func() { s.Controller.Status(id, reply) })
}

func (s *Server) cancel(ctx *fiber.Ctx, reply func(api.Answer)) {
	id := jobID(ctx)
	s.post(reply, func() { s.Controller.Cancel(id, reply) })
}

// jobID is the job that a request's path names.
func jobID(ctx *fiber.Ctx) string { return strings.Clone(ctx.Params("id")) }

// agentHeartbeat answers an agent's heartbeat. It is not limited: an agent that gets no
// answer loses its tasks.
func (s *Server) agentHeartbeat(ctx *fiber.Ctx) error {
	heartbeat, err := protocol.ParseAgentHeartbeat(ctx.Body())
	if err != nil {
		s.Metrics.malformedHeartbeats.Inc()
		return send(ctx, api.FromError(err))
	}
	began := time.Now()
	answer := await(func(reply func(api.Answer)) {
		s.post(reply, func() { s.Controller.OnAgentHeartbeat(heartbeat, reply) })
	})
	elapsed := time.Since(began).Seconds()
	if answer.Status == http.StatusOK {
		s.Metrics.heartbeats.Observe(elapsed)
	} else {
		s.Metrics.requests.WithLabelValues(heartbeatLabel, strconv.Itoa(answer.Status)).Observe(elapsed)
		ctx.Context().SetConnectionClose() // it goes to another controller now
	}
	return send(ctx, answer)
}

// healthz tells the load balancer whether users' requests may come here.
func (s *Server) healthz(ctx *fiber.Ctx) error {
	return send(ctx, s.ask(func() api.Answer {
		if !s.Controller.Healthy() {
			return api.FromError(api.ErrUnhealthy)
		}
		return api.OK(nil)
	}))
}

// autoscalerStatus tells operators how the autoscaler stands, as this controller sees it.
func (s *Server) autoscalerStatus(ctx *fiber.Ctx) error {
	return send(ctx, s.ask(func() api.Answer {
		status, _ := s.Controller.Autoscaler()
		return api.OK(status)
	}))
}

// autoscalerHistory tells operators what the autoscaler last decided.
func (s *Server) autoscalerHistory(ctx *fiber.Ctx) error {
	return send(ctx, s.ask(func() api.Answer {
		_, decisions := s.Controller.Autoscaler()
		return api.OK(decisions)
	}))
}
