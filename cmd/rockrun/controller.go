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

// controller is one controller's parts, put together.
type controller struct {
	loop    *transport.Loop
	node    *coordination.Controller
	server  *transport.Server
	sockets transport.Sockets
}

// defaultSockets is split where the settings give no limit.
const defaultSockets = 4096

// Bounds on calls to the outside, from when they are sent to when their answer counts as
// lost, and on connections that stay open without a call.
const (
	stateTimeout  = 2 * time.Second
	cloudTimeout  = 5 * time.Second
	workerTimeout = 2 * time.Second
	idleTimeout   = 20 * time.Second
)

func newController(s *config.Settings, o config.Options, log *slog.Logger) *controller {
	loop := transport.NewLoop()
	limit := s.Cluster.ProcessLimits.Sockets
	if limit == 0 {
		limit = defaultSockets
	}
	sockets := transport.SplitSockets(limit, len(s.Peers))
	outside := transport.NewClient(sockets.KVStore, sockets.KVStore+sockets.Cloud, idleTimeout)
	// Tasks follow one another on a machine every quarter of a minute or so, and a
	// connection made anew costs three times the command itself. Above three
	// quarters of their part of the sockets connections are closed at once.
	toWorkers := transport.NewClient(2, sockets.Agents, idleTimeout)
	limiter := transport.NewLimiter(4, 200)
	metrics := transport.NewMetrics(limiter)
	metrics.Connections("workers", toWorkers)
	metrics.Connections("services", outside)
	metrics.Limits(s.Cluster.ProcessLimits.Cores, s.Cluster.ProcessLimits.MemoryMB)
	back := transport.NewBackend(loop, sockets, metrics,
		&protocol.KVClient{HTTP: outside, Addr: s.External.KVStore, Timeout: stateTimeout},
		&protocol.CloudClient{HTTP: outside, Addr: s.External.Cloud, Timeout: cloudTimeout},
		&protocol.AgentClient{HTTP: toWorkers, Timeout: workerTimeout})
	addrs := map[string]string{}
	for _, p := range s.Peers {
		addrs[p.Controller] = p.Address
	}
	node := coordination.New(coordination.Config{
		Settings: s, Options: o, Clock: loop, Log: log,
		Store: transport.KVStoreCalls{Backend: back}, Cloud: transport.CloudCalls{Backend: back},
		Agents: transport.AgentCalls{Backend: back}, Peers: transport.NewPeerCalls(loop, addrs),
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	metrics.Controller(node.Stats)
	server := transport.NewServer(loop, node, limiter, metrics, sockets.Public)
	return &controller{loop: loop, node: node, server: server, sockets: sockets}
}

// start begins to follow the records and to answer the other controllers.
func (c *controller) start(peer net.Listener, log *slog.Logger) {
	go c.loop.Run()
	c.loop.Post(c.node.Start)
	go transport.ServePeers(peer, c.sockets.Peers, c.loop, c.node.OnPeer, log)
}

// endsWithin bounds the two steps of a graceful end: handing over, and answering the
// requests under way.
const endsWithin = 3 * time.Second

// serveUntilStopped answers users and workers until the process is told to end.
func (c *controller) serveUntilStopped(public, peer net.Listener, log *slog.Logger) error {
	ended := make(chan error, 1)
	go func() { ended <- c.server.Serve(public) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-ended:
		return fmt.Errorf("serve: %w", err)
	case <-stop:
	}
	log.Info("ending")
	gone := make(chan struct{})
	c.loop.Post(func() { c.node.Stop(func() { close(gone) }) })
	select {
	case <-gone:
	case <-time.After(endsWithin):
	}
	err := c.server.Shutdown(endsWithin)
	peer.Close()
	c.loop.Close()
	return err
}
