package transport

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination"
)

// TestSplitSockets: the parts never sum above the limit, from the smallest
// machine that can work at all to a large one.
func TestSplitSockets(t *testing.T) {
	for _, peers := range []int{0, 2, 4, 6, 20} {
		for _, limit := range []int{400, 1290, 4233, 100_000} {
			s := SplitSockets(limit, peers)
			if sum := s.Public + s.Agents + s.KVStore + s.Cloud + s.Peers + peers; sum >= limit {
				t.Errorf("%d sockets and %d peers: %+v sums to %d", limit, peers, s, sum)
			}
			if s.Public < limit/3 || s.Agents < limit/10 {
				t.Errorf("%d sockets and %d peers: %+v", limit, peers, s)
			}
		}
	}
}

// TestManyConnections: many more clients than there are sockets, all keeping
// their connections open, are all answered, and those that hold one idle don't
// keep others out.
func TestManyConnections(t *testing.T) {
	const sockets, clients = 20, 100
	loop := NewLoop()
	go loop.Run()
	defer loop.Close()
	node := coordination.New(coordination.Config{
		Settings: &config.Settings{Controller: "a", Cluster: config.Cluster{
			Agents: config.Agents{HeartbeatSeconds: 3, LeaseSeconds: 30, CancelSeconds: 60}, KVStore: config.KVStore{RequestsPerSecond: 10, WritesPerSecond: 10, ValueKiB: 8, TransactionOperations: 8},
		}},
		Options: config.DefaultOptions(), Clock: loop, Log: quiet, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	limiter := NewLimiter(4, 100)
	server := NewServer(loop, node, limiter, NewMetrics(limiter), sockets)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ln) }()
	closing := 0
	for i := range clients {
		conn, err := net.DialTimeout("tcp4", ln.Addr().String(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, "GET /autoscaler/nothing HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("client %d: %v", i, err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusNotFound {
			t.Errorf("client %d: %d", i, resp.StatusCode)
		}
		if resp.Close {
			closing++
		}
		if open := server.public.Open(); open > sockets {
			t.Errorf("%d connections open", open)
		}
	}
	if closing < clients-sockets || closing == clients {
		t.Errorf("%d of %d were closed", closing, clients)
	}
	if err := server.Shutdown(time.Second); err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestManyServers: a client that speaks to many more machines than it has
// sockets reaches all and stays within its limit.
func TestManyServers(t *testing.T) {
	const limit = 16
	client := NewClient(2, limit, 20*time.Second)
	for i := range 3 * limit {
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		defer s.Close()
		if status, _, err := client.Call(http.MethodPost, s.Listener.Addr().String(), "/commands", []byte("{}"), time.Second); err != nil || status != http.StatusOK {
			t.Fatalf("server %d: %d, %v", i, status, err)
		}
		if open := client.Open(); open > limit {
			t.Fatalf("%d connections open", open)
		}
	}
	if open := client.Open(); open < limit/2 {
		t.Errorf("only %d connections were kept", open)
	}
}
