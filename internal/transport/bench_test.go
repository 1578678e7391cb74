package transport

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination"
	"rockrun/internal/protocol"
)

// serveMachines runs a server whose controller holds a shard with machines, and returns its
// address.
func serveMachines(tb testing.TB, machines int) string {
	tb.Helper()
	loop := runLoop(tb)
	cluster := newGrantingCluster(loop, machines)
	controller := coordination.New(coordination.Config{
		Settings: &config.Settings{Controller: "a", Peers: []config.Peer{{Controller: "b"}}, Cluster: config.Cluster{
			Teams:   []config.Team{{Name: "red"}},
			Agents:  config.Agents{HeartbeatSeconds: 6, LeaseSeconds: 30, CancelSeconds: 60},
			KVStore: config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 80, ValueKiB: 8, TransactionOperations: 32},
		}},
		Options: config.DefaultOptions(), Clock: loop, Log: discardLog, Store: cluster, Agents: cluster, Peers: cluster,
		Rand: rand.New(rand.NewPCG(1, 1)),
	})
	limiter := NewLimiter(4, 100)
	server := NewServer(ServerConfig{
		Loop: loop, Controller: controller, Limiter: limiter, Metrics: NewMetrics(limiter), MaxConnections: 1000,
	})
	loop.Post(controller.Start)
	addr, _ := serve(tb, server)
	return addr
}

func machineName(i int) string { return fmt.Sprintf("m-%06d", i) }

// heartbeatBody returns an encoded agent heartbeat with a number of running tasks.
func heartbeatBody(machine string, sequence, tasks int) []byte {
	heartbeat := protocol.AgentHeartbeat{
		Machine: machine, Address: "10.1.0.1:9000", MachineType: "small", Zone: "z",
		Epoch: 1, Sequence: uint64(sequence), FencingToken: grantToken,
	}
	for i := range tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: protocol.TaskName("run-000412", i), Attempt: 17<<40 + uint64(i), State: protocol.TaskRunning})
	}
	data, err := json.Marshal(heartbeat)
	if err != nil {
		panic(err) // cannot happen: a heartbeat always encodes
	}
	return data
}

// agentConn is an agent's connection to a controller.
type agentConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialAgent(tb testing.TB, addr string) *agentConn {
	tb.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() }) // already closed if the heartbeat was rejected
	return &agentConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// exchange sends a heartbeat, reads the whole answer and returns its status.
func (c *agentConn) exchange(tb testing.TB, body []byte) (status string) {
	tb.Helper()
	head := fmt.Appendf(nil, "POST /hello HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
	if _, err := c.Write(append(head, body...)); err != nil {
		tb.Fatal(err)
	}
	length := 0
	for first := true; ; first = false {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			tb.Fatal(err)
		}
		if first {
			status = strings.Fields(line)[1]
		}
		if value, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			length, _ = strconv.Atoi(strings.TrimSpace(value)) // written by the server under test
		}
		if line == "\r\n" {
			break
		}
	}
	if _, err := io.CopyN(io.Discard, c.reader, int64(length)); err != nil {
		tb.Fatal(err)
	}
	return status
}

// heartbeatSender opens a connection on which a machine's heartbeats are answered with status
// 200, and returns a function that sends the n-th heartbeat on that connection.
func heartbeatSender(tb testing.TB, addr string) func(n int) {
	tb.Helper()
	conn := dialUntilAccepted(tb, addr)
	// Each sequence number is patched into the same body, so that the benchmark measures
	// the server and not the encoding of heartbeats.
	body := heartbeatBody(machineName(3), 1_000_000, 4)
	at := bytes.Index(body, []byte("1000000"))
	return func(n int) {
		copy(body[at:], strconv.Itoa(1_000_000+n%8_000_000))
		if status := conn.exchange(tb, body); status != "200" {
			tb.Fatalf("status %s", status)
		}
	}
}

// dialUntilAccepted opens connections until a heartbeat on one of them is answered with status
// 200, because the controller needs some time to acquire its shard.
func dialUntilAccepted(tb testing.TB, addr string) *agentConn {
	tb.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for sequence := 1; ; sequence++ {
		conn := dialAgent(tb, addr)
		if conn.exchange(tb, heartbeatBody(machineName(3), sequence, 0)) == "200" {
			return conn
		}
		if err := conn.Close(); err != nil {
			tb.Error(err)
		}
		if time.Now().After(deadline) {
			tb.Fatal("no heartbeat was answered with status 200 within 10 s")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// BenchmarkHeartbeat measures one agent heartbeat over a connection that stays open, from the
// socket through the controller and back.
func BenchmarkHeartbeat(b *testing.B) {
	send := heartbeatSender(b, serveMachines(b, 1000))
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		send(n)
	}
}

// BenchmarkCommand measures a command to an agent and its answer, over a connection that stays
// open, and over new connections because the limit is too low to keep one open.
func BenchmarkCommand(b *testing.B) {
	body := heartbeatBody("m-1", 1, 4)
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	ln := listen(b, ephemeralAddr)
	go answerConnections(ln, answer)
	grace := 0.0
	request := protocol.CommandRequest{FencingToken: grantToken, Epoch: 1, Commands: []protocol.Command{
		{Verb: protocol.VerbStop, Task: "run-1/0", Attempt: 1, GraceSeconds: &grace},
	}}
	// With a limit of 1 an open connection is above three quarters of the limit, so the next
	// command on it closes it.
	for name, limit := range map[string]int{"open": 16, "new": 1} {
		b.Run(name, func(b *testing.B) {
			agent := protocol.AgentClient{
				HTTP: NewClient(ClientConfig{MaxConnectionsPerHost: 2, MaxConnections: limit, IdleTimeout: time.Minute}), Timeout: time.Second,
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, done, err := agent.Execute(ln.Addr().String(), request); err != nil || !done {
					b.Fatal(done, err)
				}
			}
		})
	}
}

// answerConnections sends the same answer to every request on every connection until the
// listener is closed.
func answerConnections(ln net.Listener, answer []byte) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go answerConn(conn, answer)
	}
}

// answerConn answers each request on a connection. A request is expected to arrive in one read.
func answerConn(conn net.Conn, answer []byte) {
	buffer := make([]byte, 4096)
	for {
		if _, err := conn.Read(buffer); err != nil {
			break
		}
		if _, err := conn.Write(answer); err != nil {
			break
		}
	}
	_ = conn.Close() // the client has closed its side
}
