package main

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination"
	"rockrun/internal/protocol"
	"rockrun/internal/transport"
)

// process is a controller and what connects it with the outside, put together.
type process struct {
	loop       *transport.Loop
	controller *coordination.Controller
	server     *transport.Server
	sockets    transport.Sockets
}

// defaultSockets is split where the settings give no limit.
const defaultSockets = 4096

// Bounds within which the limit on requests in progress adapts.
const (
	minRequests = 4
	maxRequests = 200
)

// Bounds on calls to the outside, from when they are sent to when their answer counts as
// lost, and on connections that stay open without a call.
const (
	storeTimeout = 2 * time.Second
	cloudTimeout = 5 * time.Second
	agentTimeout = 2 * time.Second
	idleTimeout  = 20 * time.Second
)

func newProcess(settings *config.Settings, options config.Options, log *slog.Logger) *process {
	loop := transport.NewLoop()
	limit := settings.Cluster.ProcessLimits.Sockets
	if limit == 0 {
		limit = defaultSockets
	}
	sockets := transport.SplitSockets(limit, len(settings.Peers))
	serviceHTTP := transport.NewClient(sockets.KVStore, sockets.KVStore+sockets.Cloud, idleTimeout)
	// Tasks follow one another on a machine every quarter of a minute or so, and a
	// connection made anew costs three times the command itself. Above three
	// quarters of their part of the sockets connections are closed at once.
	agentHTTP := transport.NewClient(2, sockets.Agents, idleTimeout)
	limiter := transport.NewLimiter(minRequests, maxRequests)
	metrics := transport.NewMetrics(limiter)
	metrics.Connections("workers", agentHTTP)
	metrics.Connections("services", serviceHTTP)
	metrics.Limits(settings.Cluster.ProcessLimits.Cores, settings.Cluster.ProcessLimits.MemoryMB)
	backend := transport.NewBackend(loop, sockets, metrics,
		&protocol.KVClient{HTTP: serviceHTTP, Addr: settings.External.KVStore, Timeout: storeTimeout},
		&protocol.CloudClient{HTTP: serviceHTTP, Addr: settings.External.Cloud, Timeout: cloudTimeout},
		&protocol.AgentClient{HTTP: agentHTTP, Timeout: agentTimeout})
	addresses := map[string]string{}
	for _, peer := range settings.Peers {
		addresses[peer.Controller] = peer.Address
	}
	controller := coordination.New(coordination.Config{
		Settings: settings, Options: options, Clock: loop, Log: log,
		Store: transport.KVStoreCalls{Backend: backend}, Cloud: transport.CloudCalls{Backend: backend},
		Agents: transport.AgentCalls{Backend: backend}, Peers: transport.NewPeerCalls(loop, addresses),
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	metrics.Controller(controller.Stats)
	server := transport.NewServer(loop, controller, limiter, metrics, sockets.Public)
	return &process{loop: loop, controller: controller, server: server, sockets: sockets}
}

// start begins to follow the records and to answer the other controllers.
func (p *process) start(peer net.Listener, log *slog.Logger) {
	go p.loop.Run()
	p.loop.Post(p.controller.Start)
	go transport.ServePeers(peer, p.sockets.Peers, p.loop, p.controller.OnPeer, log)
}

// endsWithin bounds the two steps of a graceful end: handing over, and answering the
// requests under way.
const endsWithin = 3 * time.Second

// serveUntilStopped answers users and agents until the process is told to end.
func (p *process) serveUntilStopped(public, peer net.Listener, log *slog.Logger) error {
	ended := make(chan error, 1)
	go func() { ended <- p.server.Serve(public) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-ended:
		return fmt.Errorf("serve: %w", err)
	case <-stop:
	}
	log.Info("ending")
	gone := make(chan struct{})
	p.loop.Post(func() { p.controller.Stop(func() { close(gone) }) })
	select {
	case <-gone:
	case <-time.After(endsWithin):
	}
	err := p.server.Shutdown(endsWithin)
	peer.Close()
	p.loop.Close()
	return err
}
