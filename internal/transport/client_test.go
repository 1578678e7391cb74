package transport

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"rockrun/internal/protocol"
)

// TestMalformedAnswers checks that a malformed answer of the key-value store, the cloud or an
// agent is an error for every kind of call, although its status is 200.
func TestMalformedAnswers(t *testing.T) {
	const wrongRevision = `{"epoch":"x"}`
	for _, answer := range []string{"", "nonsense", "{", `[1]`, wrongRevision, `{"epoch":-1,"permit":-1,"hosts":1,"builds":1,"items":1,"stamp":"x","shift":"y"}`} {
		t.Run(answer, func(t *testing.T) {
			addr := serveAnswer(t, answer)
			for name, call := range blockingCalls(addr) {
				if answer == wrongRevision && (name == "machine types" || name == "list machines") {
					continue // decodes as a valid empty list
				}
				if err := call(); err == nil {
					t.Errorf("%s accepted a malformed answer", name)
				}
			}
		})
	}
}

// serveAnswer runs a server that sends the same answer to every request until the test ends, and
// returns its address.
func serveAnswer(t *testing.T, answer string) (addr string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) }))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// blockingCalls returns one call of each kind to an address, by name.
func blockingCalls(addr string) map[string]func() error {
	client := NewClient(ClientConfig{MaxConnectionsPerHost: 4, MaxConnections: 32, IdleTimeout: time.Second})
	store := &protocol.KVClient{HTTP: client, Addr: addr, Timeout: time.Second}
	cloud := &protocol.CloudClient{HTTP: client, Addr: addr, Timeout: time.Second}
	agent := &protocol.AgentClient{HTTP: client, Timeout: time.Second}
	return map[string]func() error{
		"get":             func() error { _, _, err := store.Get("k"); return err },
		"list":            func() error { _, err := store.List("r/", ""); return err },
		"commit":          func() error { _, err := store.Commit(protocol.Transaction{}); return err },
		"open lease":      func() error { _, err := store.OpenLease(time.Second); return err },
		"watch":           func() error { _, err := store.Watch("r/", 1, 0); return err },
		"machine types":   func() error { _, err := cloud.MachineTypes(); return err },
		"create machines": func() error { _, err := cloud.CreateMachines(protocol.CreateMachinesRequest{}); return err },
		"list machines":   func() error { _, err := cloud.ListMachines(); return err },
		"commands":        func() error { _, _, err := agent.Execute(addr, protocol.CommandRequest{}); return err },
	}
}

// TestClientConnectionLimit checks that a client that calls three times as many servers as its
// connection limit reaches all of them, stays within the limit, and keeps connections open.
func TestClientConnectionLimit(t *testing.T) {
	const limit = 16
	client := NewClient(ClientConfig{MaxConnectionsPerHost: 2, MaxConnections: limit, IdleTimeout: 20 * time.Second})
	for i := range 3 * limit {
		addr := serveAnswer(t, "")
		status, _, err := client.Call(http.MethodPost, addr, "/commands", []byte("{}"), time.Second)
		if err != nil || status != http.StatusOK {
			t.Fatalf("server %d: %d, %v", i, status, err)
		}
		if open := client.OpenCount(); open > limit {
			t.Fatalf("%d connections open, limit %d", open, limit)
		}
	}
	if open := client.OpenCount(); open < limit/2 {
		t.Errorf("only %d connections stayed open", open)
	}
}
