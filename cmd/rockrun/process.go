package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os/signal"
	"syscall"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination"
	"rockrun/internal/protocol"
	"rockrun/internal/transport"
)

// defaultSocketLimit is the socket limit that applies if the settings give none.
const defaultSocketLimit = 4096

// Timeouts of calls to the key-value store, the cloud and the agents, from sending the request
// until the answer counts as lost, and the time that an idle connection stays open.
const (
	storeTimeout = 2 * time.Second
	cloudTimeout = 5 * time.Second
	agentTimeout = 2 * time.Second
	idleTimeout  = 20 * time.Second
)

// connectionsPerAgent is the maximum number of open connections to one agent.
const connectionsPerAgent = 2

// Bounds of the adaptive limit on user requests in progress.
const (
	minInFlightRequests = 4
	maxInFlightRequests = 200
)

// shutdownStepTimeout bounds each of the two steps of a graceful shutdown: the handover, and
// answering the requests in progress.
const shutdownStepTimeout = 3 * time.Second

// process is one controller with its event loop, its servers and its clients.
type process struct {
	log        *slog.Logger
	loop       *transport.Loop
	controller *coordination.Controller
	server     *transport.Server
	peerServer *transport.PeerServer
}

func newProcess(settings *config.Settings, options config.Options, log *slog.Logger) *process {
	loop := transport.NewLoop()
	sockets := splitSockets(settings)
	limiter := transport.NewLimiter(minInFlightRequests, maxInFlightRequests)
	metrics := transport.NewMetrics(limiter)
	metrics.RegisterLimits(settings.Cluster.ProcessLimits.Cores, settings.Cluster.ProcessLimits.MemoryMB)
	backend := newBackend(settings, loop, sockets, metrics)
	controller := coordination.New(coordination.Config{
		Settings: settings,
		Options:  options,
		Clock:    loop,
		Log:      log,
		Store:    backend.KVStore,
		Cloud:    backend.Cloud,
		Agents:   backend.Agents,
		Peers:    transport.NewPeerClient(loop, peerAddresses(settings)),
		Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	metrics.RegisterController(controller.Stats)
	return &process{
		log:        log,
		loop:       loop,
		controller: controller,
		server: transport.NewServer(transport.ServerConfig{
			Loop: loop, Controller: controller, Limiter: limiter, Metrics: metrics, MaxConnections: sockets.Public,
		}),
		peerServer: transport.NewPeerServer(transport.PeerServerConfig{
			MaxConnections: sockets.Peers, Loop: loop, Handle: controller.OnPeerRequest, Log: log,
		}),
	}
}

func splitSockets(settings *config.Settings) transport.Sockets {
	limit := settings.Cluster.ProcessLimits.Sockets
	if limit == 0 {
		limit = defaultSocketLimit
	}
	return transport.SplitSockets(limit, len(settings.Peers))
}

func peerAddresses(settings *config.Settings) map[string]string {
	addrs := map[string]string{}
	for _, peer := range settings.Peers {
		addrs[peer.Controller] = peer.Address
	}
	return addrs
}

// newBackend returns the clients of the key-value store, the cloud and the agents.
func newBackend(settings *config.Settings, loop *transport.Loop, sockets transport.Sockets, metrics *transport.Metrics) *transport.Backend {
	services := transport.NewClient(transport.ClientConfig{
		MaxConnectionsPerHost: sockets.KVStore, MaxConnections: sockets.KVStore + sockets.Cloud, IdleTimeout: idleTimeout,
	})
	// Connections to agents stay open: a machine gets a new task about every 15 s, and
	// opening a connection costs three times as much as the command itself. While more
	// than three quarters of the agents' sockets are open, connections are closed after
	// each answer.
	agents := transport.NewClient(transport.ClientConfig{
		MaxConnectionsPerHost: connectionsPerAgent, MaxConnections: sockets.Agents, IdleTimeout: idleTimeout,
	})
	metrics.RegisterConnections("workers", agents)
	metrics.RegisterConnections("services", services)
	return transport.NewBackend(transport.BackendConfig{
		Loop:        loop,
		Sockets:     sockets,
		Metrics:     metrics,
		KVClient:    &protocol.KVClient{HTTP: services, Addr: settings.External.KVStore, Timeout: storeTimeout},
		CloudClient: &protocol.CloudClient{HTTP: services, Addr: settings.External.Cloud, Timeout: cloudTimeout},
		AgentClient: &protocol.AgentClient{HTTP: agents, Timeout: agentTimeout},
	})
}

// start starts the event loop, the controller and the peer server. serveUntilStopped ends the
// loop, and ends the peer server by closing its listener.
func (p *process) start(peerListener net.Listener) {
	go p.loop.Run()
	p.loop.Post(p.controller.Start)
	go p.peerServer.Serve(peerListener)
}

// serveUntilStopped serves users and agents until the process receives SIGTERM or SIGINT, and
// then shuts down gracefully. It returns early if the server fails.
func (p *process) serveUntilStopped(publicListener, peerListener net.Listener) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	served := make(chan error, 1)
	go func() { served <- p.server.Serve(publicListener) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve users and agents: %w", err)
	case <-ctx.Done():
	}
	p.log.Info("shutdown started")
	p.handOver()
	err := p.server.Shutdown(shutdownStepTimeout)
	if closeErr := peerListener.Close(); closeErr != nil && !errors.Is(closeErr, net.ErrClosed) {
		p.log.Warn("peer listener close failed", "err", closeErr)
	}
	p.loop.Close()
	return err
}

// handOver makes the controller release its shards and the leadership, and waits until that is
// done, but no longer than shutdownStepTimeout.
func (p *process) handOver() {
	done := make(chan struct{})
	p.loop.Post(func() { p.controller.Stop(func() { close(done) }) })
	select {
	case <-done:
	case <-time.After(shutdownStepTimeout):
	}
}
