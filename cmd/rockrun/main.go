// Command rockrun is a cluster scheduler: one controller of a service that
// takes jobs from users, rents machines and runs the jobs' tasks on them.
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

// Bounds that keep a controller within its part of a machine.
const (
	// memoryShare of what the settings allow is left to Go's heap.
	memoryShare = 0.7
	// gcPercent is by how much the heap grows between two collections.
	gcPercent = 200
)

// cli is the command line.
type cli struct {
	Config  string           `help:"Platform settings (TOML)." placeholder:"FILE" required:""`
	Options string           `help:"Operators' options (HCL)." placeholder:"FILE"`
	Version kong.VersionFlag `help:"Print the version."`

	Serve serveCmd `cmd:"" default:"1" help:"Serve (the default)."`
	Check checkCmd `cmd:"" help:"Check both files without serving, show the limits in force and warn of small ones."`
}

// serveCmd is the command that serves.
type serveCmd struct{}

// checkCmd is the command that checks the files.
type checkCmd struct{}

func main() {
	var args cli
	ctx := kong.Parse(&args, kong.Name("rockrun"), kong.Description("A cluster scheduler."), kong.Vars{"version": version})
	ctx.FatalIfErrorf(ctx.Run(&args))
}

// load reads both files.
func (c *cli) load() (*config.Settings, config.Options, error) {
	settings, err := config.LoadSettings(c.Config)
	if err != nil {
		return nil, config.Options{}, err
	}
	options, err := config.LoadOptions(c.Options)
	return settings, options, err
}

// Run checks the files.
func (*checkCmd) Run(args *cli) error {
	settings, options, err := args.load()
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
func (*serveCmd) Run(args *cli) error {
	settings, options, err := args.load()
	if err != nil {
		return err
	}
	log := newLogger()
	boundRuntime(settings.Cluster.ProcessLimits.MemoryMB)
	public, err := net.Listen("tcp4", settings.PublicAddr)
	if err != nil {
		return fmt.Errorf("listen for users and agents: %w", err)
	}
	peers, err := net.Listen("tcp4", settings.PeerAddr)
	if err != nil {
		return fmt.Errorf("listen for controllers: %w", err)
	}
	for _, w := range settings.Warnings(options) {
		log.Warn("limit likely to be too small", "field", w.Field, "why", w.Why)
	}
	p := newProcess(settings, options, log)
	p.start(peers)
	return p.serveUntilStopped(public, peers)
}

// boundRuntime keeps Go's runtime to one processor and, if the settings say so, to the memory
// allowed.
func boundRuntime(memoryMB float64) {
	runtime.GOMAXPROCS(1)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * memoryShare * (1 << 20)))
	}
	debug.SetGCPercent(gcPercent)
}

// newLogger makes the logger, whose level the environment's LOG_LEVEL gives.
func newLogger() *slog.Logger {
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
