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

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// nowhere is an address at which nobody listens.
const nowhere = "127.0.0.1:1"

// runLoop runs a loop until the test ends.
func runLoop(tb testing.TB) *Loop {
	tb.Helper()
	loop := NewLoop()
	go loop.Run()
	tb.Cleanup(loop.Close)
	return loop
}

// listen opens a listener on a free port, or the given address, until the test ends.
func listen(tb testing.TB, addr string) net.Listener {
	tb.Helper()
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = ln.Close() }) // most tests close it themselves
	return ln
}

const freePort = "127.0.0.1:0"

// unreachableBackend makes calls to services that are away.
func unreachableBackend(loop *Loop, metrics *Metrics) *Backend {
	client := NewClient(ClientConfig{PerHost: 4, Total: 32, Idle: time.Second})
	return NewBackend(BackendConfig{
		Loop:        loop,
		Sockets:     SplitSockets(200, 0),
		Metrics:     metrics,
		KVClient:    &protocol.KVClient{HTTP: client, Addr: nowhere, Timeout: time.Second},
		CloudClient: &protocol.CloudClient{HTTP: client, Addr: nowhere, Timeout: time.Second},
		AgentClient: &protocol.AgentClient{HTTP: client, Timeout: time.Second},
	})
}

// soleController is the configuration of a controller without peers or services.
func soleController(loop *Loop) coordination.Config {
	return coordination.Config{
		Settings: &config.Settings{Controller: "a", Cluster: config.Cluster{
			Teams:   []config.Team{{Name: "red"}},
			Agents:  config.Agents{HeartbeatSeconds: 3, LeaseSeconds: 30, CancelSeconds: 60},
			KVStore: config.KVStore{RequestsPerSecond: 10, WritesPerSecond: 10, ValueKiB: 8, TransactionOperations: 8},
		}},
		Options: config.DefaultOptions(), Clock: loop, Log: quiet, Rand: rand.New(rand.NewPCG(1, 1)),
	}
}

// serve runs a server and returns its address. shutdown ends it and checks that it ends well;
// the end of the test does so otherwise.
func serve(tb testing.TB, server *Server) (addr string, shutdown func()) {
	tb.Helper()
	ln := listen(tb, freePort)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ln) }()
	shutdown = sync.OnceFunc(func() {
		if err := server.Shutdown(time.Second); err != nil {
			tb.Error(err)
		}
		if err := <-ended; err != nil {
			tb.Error(err)
		}
	})
	tb.Cleanup(shutdown)
	return ln.Addr().String(), shutdown
}
