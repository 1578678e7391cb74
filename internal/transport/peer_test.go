package transport

import (
	"errors"
	"net"
	"testing"

	"rockrun/internal/protocol"
)

// servePeers answers heartbeats at an address with the next term.
func servePeers(t *testing.T, loop *Loop, addr string) net.Listener {
	t.Helper()
	ln := listen(t, addr)
	server := NewPeerServer(PeerServerConfig{Connections: 8, Loop: loop, Log: quiet,
		Handle: func(request protocol.PeerRequest, reply func(protocol.PeerAnswer)) {
			term := request.Heartbeat.Term + 1
			reply(protocol.PeerAnswer{Reply: &protocol.PeerHeartbeatReply{Leader: true, Term: term, Shards: []int{2}}})
		}})
	go server.Serve(ln)
	return ln
}

// heartbeatTo sends a heartbeat to a controller and waits for the answer.
func heartbeatTo(calls *PeerCalls, controller string) (protocol.PeerAnswer, error) {
	type outcome struct {
		answer protocol.PeerAnswer
		err    error
	}
	outcomes := make(chan outcome, 1)
	request := protocol.PeerRequest{Heartbeat: &protocol.PeerHeartbeat{
		Controller: "a", Term: 6, Machines: []protocol.MachineStatus{{Name: "m-1"}},
	}}
	calls.SendRequest(controller, request, func(answer protocol.PeerAnswer, err error) { outcomes <- outcome{answer, err} })
	o := <-outcomes
	return o.answer, o.err
}

// TestPeerLink sends requests over real sockets.
func TestPeerLink(t *testing.T) {
	loop := runLoop(t)
	ln := servePeers(t, loop, freePort)
	calls := NewPeerCalls(loop, map[string]string{"b": ln.Addr().String()})
	for range 3 {
		answer, err := heartbeatTo(calls, "b")
		if err != nil || answer.Reply == nil || answer.Reply.Term != 7 || len(answer.Reply.Shards) != 1 {
			t.Fatalf("%+v, %v", answer.Reply, err)
		}
	}
	if _, err := heartbeatTo(calls, "c"); !errors.Is(err, protocol.ErrNotExecuted) {
		t.Errorf("an unknown controller: %v", err)
	}
	// Nonsense on the link ends that connection and nothing else.
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
	if _, err := heartbeatTo(calls, "b"); err != nil {
		t.Errorf("after nonsense on another connection: %v", err)
	}
}

// TestPeerLinkIsBusy: while a request to a controller is under way another one is refused.
func TestPeerLinkIsBusy(t *testing.T) {
	loop := runLoop(t)
	silent := listen(t, freePort) // takes connections and never answers
	calls := NewPeerCalls(loop, map[string]string{"b": silent.Addr().String()})
	first := make(chan error, 1)
	calls.SendRequest("b", protocol.PeerRequest{}, func(_ protocol.PeerAnswer, err error) { first <- err })
	if _, err := heartbeatTo(calls, "b"); !errors.Is(err, protocol.ErrNotExecuted) {
		t.Errorf("a second request: %v", err)
	}
	if err := <-first; err == nil || errors.Is(err, protocol.ErrNotExecuted) {
		t.Errorf("the first request: %v", err)
	}
}
