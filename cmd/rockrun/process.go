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

// defaultSockets is split where the settings give no limit.
const defaultSockets = 4096

// Bounds on calls to the outside, from when they are sent to when their answer counts as
// lost, and on connections that stay open without a call.
const (
	storeTimeout = 2 * time.Second
	cloudTimeout = 5 * time.Second
	agentTimeout = 2 * time.Second
	idleTimeout  = 20 * time.Second
)

// connectionsPerAgent is how many connections to one agent may be open at a time.
const connectionsPerAgent = 2

// Bounds on the users' requests in progress.
const (
	minRequests = 4
	maxRequests = 200
)

// shutdownStep bounds each of the two steps of a graceful end: handing over, and answering
// the requests under way.
const shutdownStep = 3 * time.Second

// process is one controller with all that connects it to the outside.
type process struct {
	log        *slog.Logger
	loop       *transport.Loop
	controller *coordination.Controller
	server     *transport.Server
	peers      *transport.PeerServer
}

func newProcess(settings *config.Settings, options config.Options, log *slog.Logger) *process {
	loop := transport.NewLoop()
	sockets := splitSockets(settings)
	limiter := transport.NewLimiter(minRequests, maxRequests)
	metrics := transport.NewMetrics(limiter)
	metrics.Limits(settings.Cluster.ProcessLimits.Cores, settings.Cluster.ProcessLimits.MemoryMB)
	backend := newBackend(settings, loop, sockets, metrics)
	controller := coordination.New(coordination.Config{
		Settings: settings,
		Options:  options,
		Clock:    loop,
		Log:      log,
		Store:    backend.KVStore,
		Cloud:    backend.Cloud,
		Agents:   backend.Agents,
		Peers:    transport.NewPeerCalls(loop, peerAddresses(settings)),
		Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	metrics.Controller(controller.Stats)
	return &process{
		log:        log,
		loop:       loop,
		controller: controller,
		server: transport.NewServer(transport.ServerConfig{
			Loop: loop, Controller: controller, Limiter: limiter, Metrics: metrics, Sockets: sockets.Public,
		}),
		peers: transport.NewPeerServer(transport.PeerServerConfig{
			Connections: sockets.Peers, Loop: loop, Handle: controller.OnPeer, Log: log,
		}),
	}
}

func splitSockets(settings *config.Settings) transport.Sockets {
	limit := settings.Cluster.ProcessLimits.Sockets
	if limit == 0 {
		limit = defaultSockets
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

// newBackend makes the clients of the key-value store, the cloud and the agents.
func newBackend(settings *config.Settings, loop *transport.Loop, sockets transport.Sockets, metrics *transport.Metrics) *transport.Backend {
	services := transport.NewClient(transport.ClientConfig{
		PerHost: sockets.KVStore, Total: sockets.KVStore + sockets.Cloud, Idle: idleTimeout,
	})
	// Tasks follow one another on a machine every quarter of a minute or so, and a
	// connection made anew costs three times the command itself. Above three
	// quarters of their part of the sockets connections are closed at once.
	agents := transport.NewClient(transport.ClientConfig{
		PerHost: connectionsPerAgent, Total: sockets.Agents, Idle: idleTimeout,
	})
	metrics.Connections("workers", agents)
	metrics.Connections("services", services)
	return transport.NewBackend(transport.BackendConfig{
		Loop:        loop,
		Sockets:     sockets,
		Metrics:     metrics,
		KVClient:    &protocol.KVClient{HTTP: services, Addr: settings.External.KVStore, Timeout: storeTimeout},
		CloudClient: &protocol.CloudClient{HTTP: services, Addr: settings.External.Cloud, Timeout: cloudTimeout},
		AgentClient: &protocol.AgentClient{HTTP: agents, Timeout: agentTimeout},
	})
}

// start begins to follow the records and to answer the other controllers. The loop ends with
// serveUntilStopped, the peer server when its listener is closed there.
func (p *process) start(peers net.Listener) {
	go p.loop.Run()
	p.loop.Post(p.controller.Start)
	go p.peers.Serve(peers)
}

// serveUntilStopped answers users and agents until the process is told to end.
func (p *process) serveUntilStopped(public, peers net.Listener) error {
	stopped, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer release()
	served := make(chan error, 1)
	go func() { served <- p.server.Serve(public) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-stopped.Done():
	}
	p.log.Info("ending")
	p.handOver()
	err := p.server.Shutdown(shutdownStep)
	if closeErr := peers.Close(); closeErr != nil && !errors.Is(closeErr, net.ErrClosed) {
		p.log.Warn("peer listener not closed", "err", closeErr)
	}
	p.loop.Close()
	return err
}

// handOver has the controller give up its shards and the leadership, and waits for it.
func (p *process) handOver() {
	done := make(chan struct{})
	p.loop.Post(func() { p.controller.Stop(func() { close(done) }) })
	select {
	case <-done:
	case <-time.After(shutdownStep):
	}
}
