// Command rockrun is a cluster scheduler: one controller of a service that
// takes jobs from users, creates machines and runs the jobs' tasks on them.
package main

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"

	"rockrun/internal/config"
)

const version = "0.2.0"

// The garbage collector runs when the heap has grown by gcPercent, and more often where
// memory would exceed memoryTarget of what the settings allow.
const (
	gcPercent    = 200
	memoryTarget = 0.7
)

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
	settings, options, err := c.load()
	if err != nil {
		return err
	}
	for _, w := range settings.Warnings(options) {
		fmt.Printf("warning: %s: %s\n", w.Field, w.Why)
	}
	fmt.Printf("ok: node %s of %d, %d teams, block lease %s\n",
		settings.Controller, len(settings.Peers)+1, len(settings.Cluster.Teams), options.ShardLease(settings.Cluster.Agents))
	limits := settings.Cluster.KVStore.Limits()
	fmt.Printf("limits in force: %g requests and %g writes a second, values of %d bytes, %d changes a transaction\n",
		limits.RequestRate, limits.WriteRate, limits.ValueBytes, limits.Operations)
	return nil
}

// Run serves until the process is told to end.
func (*serveCmd) Run(c *cli) error {
	settings, options, err := c.load()
	if err != nil {
		return err
	}
	log := logger()
	runtime.GOMAXPROCS(1)
	if mb := settings.Cluster.ProcessLimits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * memoryTarget * (1 << 20)))
	}
	debug.SetGCPercent(gcPercent)

	public, err := net.Listen("tcp4", settings.PublicAddr)
	if err != nil {
		return fmt.Errorf("listen for users and agents: %w", err)
	}
	peer, err := net.Listen("tcp4", settings.PeerAddr)
	if err != nil {
		return fmt.Errorf("listen for controllers: %w", err)
	}

	for _, w := range settings.Warnings(options) {
		log.Warn("limit likely to be too small", "field", w.Field, "why", w.Why)
	}
	running := newProcess(settings, options, log)
	running.start(peer, log)
	return running.serveUntilStopped(public, peer, log)
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
