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

// handler answers a request by calling reply, before or after it returns. The context is
// reused after the request is answered, so data that the controller may use later must be
// copied.
type handler func(ctx *fiber.Ctx, reply func(api.Answer))

// withLimiter returns a handler that applies the Limiter to user requests of a class and
// measures their duration.
func (s *Server) withLimiter(class requestClass, handle handler) fiber.Handler {
	return func(ctx *fiber.Ctx) error {
		release, admitted := s.Limiter.acquire(class)
		if !admitted {
			s.Metrics.requestsShed.WithLabelValues(class.String()).Inc()
			return writeAnswer(ctx, api.FromError(&api.OverloadError{Class: class.String()}))
		}
		startedAt := time.Now()
		answer := awaitAnswer(func(reply func(api.Answer)) { handle(ctx, reply) })
		release()
		s.Metrics.requests.WithLabelValues(class.String(), strconv.Itoa(answer.Status)).Observe(time.Since(startedAt).Seconds())
		return writeAnswer(ctx, answer)
	}
}

func (s *Server) submit(ctx *fiber.Ctx, reply func(api.Answer)) {
	body := append([]byte(nil), ctx.Body()...)
	s.dispatch(reply, func() { s.Controller.Submit(body, reply) })
}

func (s *Server) status(ctx *fiber.Ctx, reply func(api.Answer)) {
	id := jobID(ctx)
	s.dispatch(reply, func() { s.Controller.Status(id, reply) })
}

func (s *Server) cancel(ctx *fiber.Ctx, reply func(api.Answer)) {
	id := jobID(ctx)
	s.dispatch(reply, func() { s.Controller.Cancel(id, reply) })
}

// jobID returns a copy of the job ID in the request path.
func jobID(ctx *fiber.Ctx) string { return strings.Clone(ctx.Params("id")) }

// agentHeartbeat answers an agent's heartbeat. Heartbeats bypass the Limiter, because an agent
// that gets no answer loses its tasks.
func (s *Server) agentHeartbeat(ctx *fiber.Ctx) error {
	heartbeat, err := protocol.ParseAgentHeartbeat(ctx.Body())
	if err != nil {
		s.Metrics.malformedHeartbeats.Inc()
		return writeAnswer(ctx, api.FromError(err))
	}
	startedAt := time.Now()
	answer := awaitAnswer(func(reply func(api.Answer)) {
		s.dispatch(reply, func() { s.Controller.OnAgentHeartbeat(heartbeat, reply) })
	})
	elapsed := time.Since(startedAt).Seconds()
	if answer.Status == http.StatusOK {
		s.Metrics.heartbeats.Observe(elapsed)
	} else {
		s.Metrics.requests.WithLabelValues(heartbeatLabel, strconv.Itoa(answer.Status)).Observe(elapsed)
		ctx.Context().SetConnectionClose() // the agent sends its next heartbeat to another controller
	}
	return writeAnswer(ctx, answer)
}

// healthz tells the load balancer whether to send user requests to this controller.
func (s *Server) healthz(ctx *fiber.Ctx) error {
	return writeAnswer(ctx, s.query(func() api.Answer {
		if !s.Controller.Healthy() {
			return api.FromError(api.ErrUnhealthy)
		}
		return api.OK(nil)
	}))
}

// autoscalerStatus answers operators with the autoscaler status in this controller's view.
func (s *Server) autoscalerStatus(ctx *fiber.Ctx) error {
	return writeAnswer(ctx, s.query(func() api.Answer {
		status, _ := s.Controller.Autoscaler()
		return api.OK(status)
	}))
}

// autoscalerHistory answers operators with the autoscaler's latest decisions.
func (s *Server) autoscalerHistory(ctx *fiber.Ctx) error {
	return writeAnswer(ctx, s.query(func() api.Answer {
		_, decisions := s.Controller.Autoscaler()
		return api.OK(decisions)
	}))
}
