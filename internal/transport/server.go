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
	// maxRequestBody is the body size in bytes above which a request is rejected without being
	// read.
	maxRequestBody = 4 * protocol.MaxBody
	// readTimeout limits the time to read a request and the wait for the next one on a
	// connection.
	readTimeout  = 75 * time.Second
	writeTimeout = 10 * time.Second
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Loop           *Loop
	Controller     *coordination.Controller
	Limiter        *Limiter
	Metrics        *Metrics
	MaxConnections int // maximum open connections
}

// Server is the HTTP interface for users, agents and operators.
type Server struct {
	ServerConfig
	app            *fiber.App
	publicListener *Listener
}

// NewServer returns the Server of a controller with all its routes.
func NewServer(config ServerConfig) *Server {
	server := &Server{ServerConfig: config, publicListener: &Listener{}}
	server.Metrics.RegisterConnections("public", server.publicListener)
	server.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		CaseSensitive:         true,
		BodyLimit:             maxRequestBody,
		Concurrency:           server.MaxConnections,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           readTimeout,
		ErrorHandler:          answerError,
	})
	server.app.Use(server.shedConnections)
	server.app.Post("/hello", server.agentHeartbeat)
	server.app.Get("/healthz", server.healthz)
	server.app.Post("/submissions", server.withLimiter(classSubmit, server.submit))
	server.app.Get("/submissions/:id", server.withLimiter(classStatus, server.status))
	server.app.Post("/submissions/:id/withdraw", server.withLimiter(classCancel, server.cancel))
	server.app.Get("/autoscaler/status", server.autoscalerStatus)
	server.app.Get("/autoscaler/history", server.autoscalerHistory)
	server.app.Get("/metrics", server.Metrics.handler)
	return server
}

// answerError answers a request for which routing or a handler returned an error.
func answerError(ctx *fiber.Ctx, err error) error {
	status := http.StatusInternalServerError
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		status = fiberErr.Code
	}
	if status == http.StatusRequestEntityTooLarge {
		status = http.StatusBadRequest // users do not retry a 400, unlike any other error status
	}
	return writeAnswer(ctx, api.FromError(&api.StatusError{Status: status, Cause: err}))
}

// Serve answers requests until Shutdown. It must be called only once.
func (s *Server) Serve(listener net.Listener) error {
	s.publicListener.Listener = listener
	return s.app.Listener(s.publicListener)
}

// Shutdown closes the listener and waits at most the given time for requests in progress.
func (s *Server) Shutdown(wait time.Duration) error { return s.app.ShutdownWithTimeout(wait) }

// shedConnections closes each connection after its answer while too many are open. The number
// rises when the other controllers fail and all their agents and users connect to this one.
func (s *Server) shedConnections(ctx *fiber.Ctx) error {
	err := ctx.Next()
	if !keepAliveAllowed(s.publicListener.OpenCount(), s.MaxConnections) {
		ctx.Context().SetConnectionClose()
	}
	return err
}
