// Command rockrun is a cluster scheduler: one controller of a service that
// takes jobs from users, rents machines and runs the jobs' tasks on them.
package main

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"rockrun/internal/config"
	"rockrun/internal/coordination"
	"rockrun/internal/protocol"
	"rockrun/internal/transport"
)

const version = "0.2.0"

type cli struct {
	Config  string           `help:"Platform settings (TOML)." placeholder:"FILE" required:""`
	Options string           `help:"Operators' options (HCL)." placeholder:"FILE"`
	Version kong.VersionFlag `help:"Print the version."`

	Serve serveCmd `cmd:"" default:"1" help:"Serve (the default)."`
	Check checkCmd `cmd:"" help:"Check both files without serving, show the limits in force and warn of small ones."`
}

type serveCmd struct{}

type checkCmd struct{}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("rockrun"), kong.Description("A cluster scheduler."), kong.Vars{"version": version})
	ctx.FatalIfErrorf(ctx.Run(&c))
}

func (c *cli) load() (*config.Settings, config.Options, error) {
	s, err := config.LoadSettings(c.Config)
	if err != nil {
		return nil, config.Options{}, err
	}
	o, err := config.LoadOptions(c.Options)
	return s, o, err
}

// Run checks the files.
func (*checkCmd) Run(c *cli) error {
	s, o, err := c.load()
	if err != nil {
		return err
	}
	for _, w := range s.Warnings(o) {
		fmt.Printf("warning: %s: %s\n", w.Field, w.Why)
	}
	fmt.Printf("ok: node %s of %d, %d teams, block lease %s\n",
		s.Node, len(s.Siblings)+1, len(s.Cluster.Teams), o.BlockLease(s.Cluster.Workers))
	limits := s.Cluster.State.Limits()
	fmt.Printf("limits in force: %g requests and %g writes a second, values of %d bytes, %d changes a transaction\n",
		limits.RequestRate, limits.WriteRate, limits.ValueBytes, limits.Changes)
	return nil
}

// Run serves until the process is told to end.
func (*serveCmd) Run(c *cli) error {
	s, o, err := c.load()
	if err != nil {
		return err
	}
	log := logger()
	runtime.GOMAXPROCS(1)
	if mb := s.Cluster.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * 0.7 * (1 << 20)))
	}
	debug.SetGCPercent(200)

	public, err := net.Listen("tcp4", s.PublicAddr)
	if err != nil {
		return fmt.Errorf("listen for users and workers: %w", err)
	}
	peer, err := net.Listen("tcp4", s.PeerAddr)
	if err != nil {
		return fmt.Errorf("listen for controllers: %w", err)
	}

	loop := transport.NewLoop()
	limit := s.Cluster.Limits.Sockets
	if limit == 0 {
		limit = 4096
	}
	sockets := transport.SplitSockets(limit, len(s.Siblings))
	for _, w := range s.Warnings(o) {
		log.Warn("limit likely to be too small", "field", w.Field, "why", w.Why)
	}
	outside := transport.NewClient(sockets.State, sockets.State+sockets.Cloud, 20*time.Second)
	// Tasks follow one another on a machine every quarter of a minute or so, and a
	// connection made anew costs three times the command itself. Above three
	// quarters of their part of the sockets connections are closed at once.
	toWorkers := transport.NewClient(2, sockets.Workers, 20*time.Second)
	limiter := transport.NewLimiter(4, 200)
	metrics := transport.NewMetrics(limiter)
	metrics.Connections("workers", toWorkers)
	metrics.Connections("services", outside)
	metrics.Limits(s.Cluster.Limits.Cores, s.Cluster.Limits.MemoryMB)
	back := transport.NewBackend(loop, sockets, metrics,
		&protocol.StateClient{HTTP: outside, Addr: s.External.State, Timeout: 2 * time.Second},
		&protocol.CloudClient{HTTP: outside, Addr: s.External.Cloud, Timeout: 5 * time.Second},
		&protocol.WorkerClient{HTTP: toWorkers, Timeout: 2 * time.Second})
	addrs := map[string]string{}
	for _, p := range s.Siblings {
		addrs[p.Node] = p.Address
	}
	node := coordination.New(coordination.Config{
		Settings: s, Options: o, Clock: loop, Log: log,
		State: transport.StateCalls{Backend: back}, Cloud: transport.CloudCalls{Backend: back},
		Workers: transport.WorkerCalls{Backend: back}, Peers: transport.NewPeerCalls(loop, addrs),
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	metrics.Node(node.Stats)
	server := transport.NewServer(loop, node, limiter, metrics, sockets.Public)

	go loop.Run()
	loop.Post(node.Start)
	go transport.ServePeers(peer, sockets.Peers, loop, node.OnPeer, log)

	ended := make(chan error, 1)
	go func() { ended <- server.Serve(public) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-ended:
		return fmt.Errorf("serve: %w", err)
	case <-stop:
	}
	log.Info("ending")
	gone := make(chan struct{})
	loop.Post(func() { node.Stop(func() { close(gone) }) })
	select {
	case <-gone:
	case <-time.After(3 * time.Second):
	}
	err = server.Shutdown(3 * time.Second)
	peer.Close()
	loop.Close()
	return err
}

func logger() *slog.Logger {
	level := slog.LevelInfo
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "error":
		level = slog.LevelError
	case "warn":
		level = slog.LevelWarn
	case "debug":
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}
