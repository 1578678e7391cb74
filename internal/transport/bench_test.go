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
	"rockrun/internal/storage"
)

// granted is a state service and a leader that let a node hold one home with a
// number of machines, and nothing ever changes after that.
type granted struct {
	loop   *Loop
	items  []protocol.KeyValue
	events []protocol.Event
}

func (g *granted) put(key string, record any) {
	g.items = append(g.items, protocol.KeyValue{Key: key, Value: storage.Encode(record), Version: uint64(len(g.items) + 1)})
}

func (g *granted) Get(_ string, done func(protocol.KeyValue, bool, error)) {
	done(protocol.KeyValue{}, false, nil)
}

func (g *granted) List(_, _ string, done func(protocol.KeyValuePage, error)) {
	g.loop.After(0, func() { done(protocol.KeyValuePage{Items: g.items, Revision: uint64(len(g.items))}, nil) })
}

func (g *granted) Commit(_ protocol.Transaction, done func(uint64, error)) {
	done(0, protocol.ErrConflict)
}
func (g *granted) OpenLease(_ time.Duration, done func(uint64, error)) {
	done(0, protocol.ErrNotExecuted)
}
func (g *granted) RenewLease(_ uint64, done func(error))                                { done(nil) }
func (g *granted) RevokeLease(_ uint64, done func(error))                               { done(nil) }
func (g *granted) MachineTypes(func(protocol.MachineTypeCatalogue, error))              {}
func (g *granted) CreateMachines(protocol.CreateMachinesRequest, func([]string, error)) {}
func (g *granted) DeleteMachines([]string, func(error))                                 {}
func (g *granted) Watch(_ string, after uint64, wait time.Duration, done func(protocol.Changes, error)) {
	if len(g.events) > 0 {
		wait = 0
	}
	g.loop.After(wait, func() {
		c := protocol.Changes{Revision: after, Events: g.events}
		if len(g.events) > 0 {
			c.Revision = g.events[len(g.events)-1].Version
		}
		g.events = nil
		done(c, nil)
	})
}

func (g *granted) Execute(string, protocol.CommandRequest, func(*protocol.AgentHeartbeat, bool, error)) {
}

// Ask implements coordination.Peers: the first heartbeat tells the incarnation that
// the grant must name.
func (g *granted) Ask(_ string, r protocol.PeerRequest, done func(protocol.PeerAnswer, error)) {
	if r.Heartbeat == nil {
		return
	}
	if len(g.items) > 0 && g.items[len(g.items)-1].Key != "granted" {
		g.items = append(g.items, protocol.KeyValue{Key: "granted"})
		rec := storage.GrantRecord{Controller: "a", Incarnation: r.Heartbeat.Incarnation, FencingToken: 1 << 44}
		g.events = []protocol.Event{{Put: storage.GrantKey(0), Value: storage.Encode(rec), Version: 1000}}
	}
	reply := &protocol.PeerHeartbeatReply{Leader: true, Term: 1, SentAt: r.Heartbeat.SentAt, Shards: []int{0}}
	g.loop.After(0, func() { done(protocol.PeerAnswer{Reply: reply}, nil) })
}

// holding starts a server whose node holds machines, and returns its address.
func holding(tb testing.TB, machines int) string {
	loop := NewLoop()
	g := &granted{loop: loop}
	g.put(storage.KeyLeader, storage.LeaderRecord{Controller: "b", Incarnation: 1, Term: 1})
	g.put(storage.KeyTerm, storage.TermRecord{Term: 1})
	g.put(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 1})
	g.put(storage.KeyMachineTypes, protocol.MachineTypeCatalogue{Types: []protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 32, Zones: []string{"z"}}}})
	for i := 0; i < machines; i += 50 {
		rec := storage.MachineGroupRecord{Type: "small", Zone: "z"}
		for j := i; j < min(i+50, machines); j++ {
			rec.Machines = append(rec.Machines, storage.MachineEntry{Name: machineName(j), Address: "10.1.0.1:9000"})
		}
		g.put(storage.MachineGroupKey(strconv.Itoa(i)), rec)
	}
	node := coordination.New(coordination.Config{
		Settings: &config.Settings{Controller: "a", Peers: []config.Peer{{Controller: "b"}}, Cluster: config.Cluster{
			Teams:   []config.Team{{Name: "red"}},
			Agents:  config.Agents{HeartbeatSeconds: 6, LeaseSeconds: 30, CancelSeconds: 60},
			KVStore: config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 80, ValueKiB: 8, TransactionOperations: 32},
		}},
		Options: config.DefaultOptions(), Clock: loop, Log: quiet, Store: g, Agents: g, Peers: g,
		Rand: rand.New(rand.NewPCG(1, 1)),
	})
	limiter := NewLimiter(4, 100)
	server := NewServer(loop, node, limiter, NewMetrics(limiter), 1000)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	go loop.Run()
	loop.Post(node.Start)
	go func() { _ = server.Serve(ln) }()
	tb.Cleanup(func() {
		ln.Close()
		loop.Close()
	})
	return ln.Addr().String()
}

func machineName(i int) string { return fmt.Sprintf("m-%06d", i) }

// reportBody is a worker's report with so many running tasks.
func reportBody(machine string, seq, tasks int) []byte {
	r := protocol.AgentHeartbeat{Machine: machine, Address: "10.1.0.1:9000", MachineType: "small", Zone: "z", Epoch: 1, Sequence: uint64(seq), FencingToken: 1 << 44}
	for i := range tasks {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: protocol.TaskName("run-000412", i), Attempt: 17<<40 + uint64(i), State: protocol.TaskRunning})
	}
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // it is our own
	}
	return data
}

// exchange sends a request over a connection and reads the answer.
func exchange(tb testing.TB, conn net.Conn, in *bufio.Reader, body []byte) (status string) {
	req := fmt.Appendf(nil, "POST /hello HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
	if _, err := conn.Write(append(req, body...)); err != nil {
		tb.Fatal(err)
	}
	length := 0
	for first := true; ; first = false {
		line, err := in.ReadString('\n')
		if err != nil {
			tb.Fatal(err)
		}
		if first {
			status = strings.Fields(line)[1]
		}
		if v, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			length, _ = strconv.Atoi(strings.TrimSpace(v)) // the server's own
		}
		if line == "\r\n" {
			break
		}
	}
	if _, err := io.CopyN(io.Discard, in, int64(length)); err != nil {
		tb.Fatal(err)
	}
	return status
}

// reporter opens a connection on which reports of a machine are answered 200.
func reporter(tb testing.TB, addr string) func(seq int) {
	var conn net.Conn
	var in *bufio.Reader
	seq := 0
	for deadline := time.Now().Add(10 * time.Second); ; {
		var err error
		if conn, err = net.Dial("tcp4", addr); err != nil {
			tb.Fatal(err)
		}
		in = bufio.NewReader(conn)
		seq++
		if exchange(tb, conn, in, reportBody(machineName(3), seq, 0)) == "200" {
			break
		}
		conn.Close()
		if time.Now().After(deadline) {
			tb.Fatal("no report is answered 200")
		}
		time.Sleep(50 * time.Millisecond)
	}
	tb.Cleanup(func() { conn.Close() })
	// The sequence numbers are patched into one body, so that what is measured is
	// the server's work.
	body := reportBody(machineName(3), 1_000_000, 4)
	at := bytes.Index(body, []byte("1000000"))
	return func(n int) {
		copy(body[at:], strconv.Itoa(1_000_000+n%8_000_000))
		if s := exchange(tb, conn, in, body); s != "200" {
			tb.Fatalf("status %s", s)
		}
	}
}

// BenchmarkReport is one worker's report over a connection that stays open, from
// the socket through the node and back.
func BenchmarkReport(b *testing.B) {
	report := reporter(b, holding(b, 1000))
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		report(n)
	}
}

// BenchmarkCommand is a command to a worker and its answer, over a connection that
// stays open and over one made for it.
func BenchmarkCommand(b *testing.B) {
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		len(reportBody("m-1", 1, 4)), reportBody("m-1", 1, 4))
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buf := make([]byte, 4096)
				for {
					if _, err := conn.Read(buf); err != nil { // a request comes in one piece
						return
					}
					if _, err := conn.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	grace := 0.0
	o := protocol.CommandRequest{FencingToken: 1 << 44, Epoch: 1, Commands: []protocol.Command{{Verb: protocol.VerbStop, Task: "run-1/0", Attempt: 1, GraceSeconds: &grace}}}
	for name, limit := range map[string]int{"open": 16, "new": 1} { // above three quarters of the limit connections are closed
		b.Run(name, func(b *testing.B) {
			w := protocol.AgentClient{HTTP: NewClient(2, limit, time.Minute), Timeout: time.Second}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok, err := w.Execute(ln.Addr().String(), o); err != nil || !ok {
					b.Fatal(ok, err)
				}
			}
		})
	}
}
