package transport

import (
	"errors"
	"net"
	"testing"

	"rockrun/internal/protocol"
)

// servePeers runs a PeerServer at an address that answers each heartbeat with the next term.
func servePeers(t *testing.T, loop *Loop, addr string) net.Listener {
	t.Helper()
	ln := listen(t, addr)
	server := NewPeerServer(PeerServerConfig{MaxConnections: 8, Loop: loop, Log: discardLog,
		Handle: func(request protocol.PeerRequest, reply func(protocol.PeerAnswer)) {
			term := request.Heartbeat.Term + 1
			reply(protocol.PeerAnswer{Reply: &protocol.PeerHeartbeatReply{Leader: true, Term: term, Shards: []int{2}}})
		}})
	go server.Serve(ln)
	return ln
}

// sendPeerHeartbeat sends a heartbeat to a controller and waits for the answer.
func sendPeerHeartbeat(client *PeerClient, controller string) (protocol.PeerAnswer, error) {
	type outcome struct {
		answer protocol.PeerAnswer
		err    error
	}
	outcomes := make(chan outcome, 1)
	request := protocol.PeerRequest{Heartbeat: &protocol.PeerHeartbeat{
		Controller: "a", Term: 6, Machines: []protocol.MachineStatus{{Name: "m-1"}},
	}}
	client.SendRequest(controller, request, func(answer protocol.PeerAnswer, err error) { outcomes <- outcome{answer, err} })
	o := <-outcomes
	return o.answer, o.err
}

// TestPeerLink checks requests between controllers over real sockets, to a known and an unknown
// controller, and after invalid data on another connection.
func TestPeerLink(t *testing.T) {
	loop := runLoop(t)
	ln := servePeers(t, loop, ephemeralAddr)
	client := NewPeerClient(loop, map[string]string{"b": ln.Addr().String()})
	for range 3 {
		answer, err := sendPeerHeartbeat(client, "b")
		if err != nil || answer.Reply == nil || answer.Reply.Term != 7 || len(answer.Reply.Shards) != 1 {
			t.Fatalf("%+v, %v", answer.Reply, err)
		}
	}
	if _, err := sendPeerHeartbeat(client, "c"); !errors.Is(err, protocol.ErrNotExecuted) {
		t.Errorf("unknown controller: error %v, want %v", err, protocol.ErrNotExecuted)
	}
	// Invalid data closes the connection on which it arrives and does not affect others.
	conn, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\n\r\n\x00\xff\xff")); err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
	if _, err := sendPeerHeartbeat(client, "b"); err != nil {
		t.Errorf("after invalid data on another connection: %v", err)
	}
}

// TestPeerClientRejectsConcurrentRequest checks that a request to a controller fails at once while
// another request to that controller is in progress.
func TestPeerClientRejectsConcurrentRequest(t *testing.T) {
	loop := runLoop(t)
	unresponsive := listen(t, ephemeralAddr) // accepts connections and never answers
	client := NewPeerClient(loop, map[string]string{"b": unresponsive.Addr().String()})
	first := make(chan error, 1)
	client.SendRequest("b", protocol.PeerRequest{}, func(_ protocol.PeerAnswer, err error) { first <- err })
	if _, err := sendPeerHeartbeat(client, "b"); !errors.Is(err, protocol.ErrNotExecuted) {
		t.Errorf("second request: error %v, want %v", err, protocol.ErrNotExecuted)
	}
	if err := <-first; err == nil || errors.Is(err, protocol.ErrNotExecuted) {
		t.Errorf("first request: error %v, want a timeout", err)
	}
}
