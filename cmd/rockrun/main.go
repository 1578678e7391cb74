// Command rockrun runs one controller of a cluster scheduler. The controllers accept jobs from
// users, create machines at a cloud and run the jobs' tasks on the machines.
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

// Settings of the Go runtime that keep a controller within its share of a machine.
const (
	// memoryShare is the share of the memory limit in the settings that Go's runtime may use.
	memoryShare = 0.7
	// gcPercent is the heap growth, in percent, between two garbage collections.
	gcPercent = 200
)

// cli holds the flags and commands of the command line.
type cli struct {
	Config  string           `help:"Platform settings (TOML)." placeholder:"FILE" required:""`
	Options string           `help:"Operators' options (HCL)." placeholder:"FILE"`
	Version kong.VersionFlag `help:"Print the version."`

	Serve serveCmd `cmd:"" default:"1" help:"Serve (the default)."`
	Check checkCmd `cmd:"" help:"Check both files without serving, show the limits in force and warn of small ones."`
}

// serveCmd implements "rockrun serve".
type serveCmd struct{}

// checkCmd implements "rockrun check".
type checkCmd struct{}

func main() {
	var args cli
	ctx := kong.Parse(&args, kong.Name("rockrun"), kong.Description("A cluster scheduler."), kong.Vars{"version": version})
	ctx.FatalIfErrorf(ctx.Run(&args))
}

// loadFiles reads the settings and the options.
func (c *cli) loadFiles() (*config.Settings, config.Options, error) {
	settings, err := config.LoadSettings(c.Config)
	if err != nil {
		return nil, config.Options{}, err
	}
	options, err := config.LoadOptions(c.Options)
	return settings, options, err
}

// Run checks both files and prints warnings and the limits in force.
func (*checkCmd) Run(args *cli) error {
	settings, options, err := args.loadFiles()
	if err != nil {
		return err
	}
	for _, field := range settings.IgnoredFields {
		fmt.Printf("warning: %s: unknown, ignored; names are case-sensitive\n", field)
	}
	for _, w := range settings.Warnings(options) {
		fmt.Printf("warning: %s: %s\n", w.Field, w.Reason)
	}
	fmt.Printf("ok: node %s of %d, %d teams, block lease %s\n",
		settings.Controller, len(settings.Peers)+1, len(settings.Cluster.Teams), options.ShardLease(settings.Cluster.Agents))
	limits := settings.Cluster.KVStore.Limits()
	fmt.Printf("limits in force: %g requests and %g writes a second, values of %d bytes, %d changes a transaction\n",
		limits.RequestRate, limits.WriteRate, limits.ValueBytes, limits.Operations)
	return nil
}

// Run serves until the process receives SIGTERM or SIGINT.
func (*serveCmd) Run(args *cli) error {
	settings, options, err := args.loadFiles()
	if err != nil {
		return err
	}
	log := newLogger()
	limitRuntime(settings.Cluster.ProcessLimits.MemoryMB)
	publicListener, err := net.Listen("tcp4", settings.PublicAddr)
	if err != nil {
		return fmt.Errorf("listen for users and agents: %w", err)
	}
	peerListener, err := net.Listen("tcp4", settings.PeerAddr)
	if err != nil {
		return fmt.Errorf("listen for controllers: %w", err)
	}
	for _, field := range settings.IgnoredFields {
		log.Warn("setting ignored", "field", field)
	}
	for _, w := range settings.Warnings(options) {
		log.Warn("limit likely to be too small", "field", w.Field, "why", w.Reason)
	}
	p := newProcess(settings, options, log)
	p.start(peerListener)
	return p.serveUntilStopped(publicListener, peerListener)
}

// limitRuntime limits Go's runtime to one processor and, if the settings have a memory limit,
// to memoryShare of it.
func limitRuntime(memoryMB float64) {
	runtime.GOMAXPROCS(1)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * memoryShare * (1 << 20)))
	}
	debug.SetGCPercent(gcPercent)
}

// newLogger returns a logger whose level is set by the environment variable LOG_LEVEL; the
// default is info.
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
