package transport

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v2"

	"rockrun/internal/coordination"
	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
)

const (
	// maxRequestBody is the body from which requests are not even read.
	maxRequestBody = 4 * protocol.MaxBody
	// readTimeout bounds the wait for the next request on a connection.
	readTimeout  = 75 * time.Second
	writeTimeout = 10 * time.Second
)

// ServerConfig is what a Server is made of.
type ServerConfig struct {
	Loop       *Loop
	Controller *coordination.Controller
	Limiter    *Limiter
	Metrics    *Metrics
	Sockets    int // open connections, at most
}

// Server is the HTTP interface for users, agents and operators.
type Server struct {
	ServerConfig
	app    *fiber.App
	public *Listener
}

// NewServer makes the interface of a controller.
func NewServer(config ServerConfig) *Server {
	server := &Server{ServerConfig: config, public: &Listener{}}
	server.Metrics.Connections("public", server.public)
	server.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             maxRequestBody,
		Concurrency:           server.Sockets,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           readTimeout,
		ErrorHandler:          answerError,
	})
	server.app.Use(server.shedConnections)
	server.app.Post("/hello", server.agentHeartbeat)
	server.app.Get("/healthz", server.healthz)
	server.app.Post("/submissions", server.limited(classSubmit, server.submit))
	server.app.Get("/submissions/:id", server.limited(classStatus, server.status))
	server.app.Post("/submissions/:id/withdraw", server.limited(classCancel, server.cancel))
	server.app.Get("/autoscaler/status", server.autoscalerStatus)
	server.app.Get("/autoscaler/history", server.autoscalerHistory)
	server.app.Get("/metrics", server.Metrics.handler)
	return server
}

// answerError answers a request that no handler answered.
func answerError(ctx *fiber.Ctx, err error) error {
	status := http.StatusInternalServerError
	var routing *fiber.Error
	if errors.As(err, &routing) {
		status = routing.Code
	}
	if status == http.StatusRequestEntityTooLarge {
		status = http.StatusBadRequest // which users do not repeat, unlike any other
	}
	return send(ctx, api.FromError(&api.StatusError{Status: status, Cause: err}))
}

// Serve answers requests until Shutdown. It is called once.
func (s *Server) Serve(listener net.Listener) error {
	s.public.Listener = listener
	return s.app.Listener(s.public)
}

// Shutdown closes the listener and waits for the requests under way.
func (s *Server) Shutdown(wait time.Duration) error { return s.app.ShutdownWithTimeout(wait) }

// shedConnections closes connections after their answers while there are too many of them: a
// controller that is left alone gets all agents and users of the others.
func (s *Server) shedConnections(ctx *fiber.Ctx) error {
	err := ctx.Next()
	if !mayKeepOpen(s.public.Open(), s.Sockets) {
		ctx.Context().SetConnectionClose()
	}
	return err
}
