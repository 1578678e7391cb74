package transport

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination"
	"rockrun/internal/protocol"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// unreachableAddr is an address on which no process listens.
const unreachableAddr = "127.0.0.1:1"

// runLoop runs a loop until the test ends.
func runLoop(tb testing.TB) *Loop {
	tb.Helper()
	loop := NewLoop()
	go loop.Run()
	tb.Cleanup(loop.Close)
	return loop
}

// listen opens a listener on an address until the test ends.
func listen(tb testing.TB, addr string) net.Listener {
	tb.Helper()
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = ln.Close() }) // most tests close it themselves
	return ln
}

// ephemeralAddr is a local address with a free port that the system chooses.
const ephemeralAddr = "127.0.0.1:0"

// unreachableBackend returns a Backend whose services are unreachable.
func unreachableBackend(loop *Loop, metrics *Metrics) *Backend {
	client := NewClient(ClientConfig{MaxConnectionsPerHost: 4, MaxConnections: 32, IdleTimeout: time.Second})
	return NewBackend(BackendConfig{
		Loop:        loop,
		Sockets:     SplitSockets(200, 0),
		Metrics:     metrics,
		KVClient:    &protocol.KVClient{HTTP: client, Addr: unreachableAddr, Timeout: time.Second},
		CloudClient: &protocol.CloudClient{HTTP: client, Addr: unreachableAddr, Timeout: time.Second},
		AgentClient: &protocol.AgentClient{HTTP: client, Timeout: time.Second},
	})
}

// singleControllerConfig returns the configuration of a controller without peers or services.
func singleControllerConfig(loop *Loop) coordination.Config {
	return coordination.Config{
		Settings: &config.Settings{Controller: "a", Cluster: config.Cluster{
			Teams:   []config.Team{{Name: "red"}},
			Agents:  config.Agents{HeartbeatSeconds: 3, LeaseSeconds: 30, CancelSeconds: 60},
			KVStore: config.KVStore{RequestsPerSecond: 10, WritesPerSecond: 10, ValueKiB: 8, TransactionOperations: 8},
		}},
		Options: config.DefaultOptions(), Clock: loop, Log: discardLog, Rand: rand.New(rand.NewPCG(1, 1)),
	}
}

// serve runs a server and returns its address. shutdown stops the server and checks for errors;
// it is called at the end of the test if the test did not call it.
func serve(tb testing.TB, server *Server) (addr string, shutdown func()) {
	tb.Helper()
	ln := listen(tb, ephemeralAddr)
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	shutdown = sync.OnceFunc(func() {
		if err := server.Shutdown(time.Second); err != nil {
			tb.Error(err)
		}
		if err := <-served; err != nil {
			tb.Error(err)
		}
	})
	tb.Cleanup(shutdown)
	return ln.Addr().String(), shutdown
}
