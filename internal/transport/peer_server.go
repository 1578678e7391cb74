package transport

import (
	"encoding/gob"
	"errors"
	"io"
	"log/slog"
	"net"
	"time"

	"rockrun/internal/protocol"
)

// The link between controllers uses gob over TCP, with one connection for each direction and
// one request at a time on each connection.
const (
	// peerIdleTimeout is how long a connection may stay open without a request.
	peerIdleTimeout = 30 * time.Second
	// peerAnswerTimeout is how long a request may wait for the controller's answer.
	peerAnswerTimeout = 4 * time.Second
	// maxPeerMessageBytes limits the size of a message, so that invalid input cannot exhaust
	// memory.
	maxPeerMessageBytes = 4 << 20
	// acceptRetryDelay is the delay after a failed accept. It prevents a busy loop while the
	// listener keeps failing.
	acceptRetryDelay = 50 * time.Millisecond
)

// Reasons for closing a connection of a peer.
var (
	errLoopQueueFull = errors.New("event loop queue is full")
	errAnswerTimeout = errors.New("controller did not answer in time")
)

// PeerHandler answers a request of another controller. It runs on the loop. It calls reply
// once, before or after it returns.
type PeerHandler func(request protocol.PeerRequest, reply func(protocol.PeerAnswer))

// PeerServerConfig configures a PeerServer.
type PeerServerConfig struct {
	MaxConnections int // maximum open connections; further ones are closed at once
	Loop           *Loop
	Handle         PeerHandler
	Log            *slog.Logger
}

// PeerServer answers requests of other controllers.
type PeerServer struct{ PeerServerConfig }

// NewPeerServer returns a PeerServer.
func NewPeerServer(config PeerServerConfig) *PeerServer { return &PeerServer{config} }

// Serve accepts connections until the listener is closed. Connections that are still open then
// are closed when the peer closes its side, or after peerIdleTimeout without a request.
func (s *PeerServer) Serve(listener net.Listener) {
	slots := make(chan struct{}, s.MaxConnections)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.Log.Warn("peer connection accept failed", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				s.serveConn(conn)
				<-slots
			}()
		default:
			s.closeConn(conn, nil)
		}
	}
}

func (s *PeerServer) serveConn(conn net.Conn) { s.closeConn(conn, s.serveRequests(conn)) }

// closeConn closes a connection and logs the reason, if any.
func (s *PeerServer) closeConn(conn net.Conn, reason error) {
	s.Log.Debug("peer connection closed", "err", errors.Join(reason, conn.Close()))
}

// serveRequests answers requests until the connection fails, and returns the reason.
func (s *PeerServer) serveRequests(conn net.Conn) error {
	limitedReader := &io.LimitedReader{R: conn}
	decoder, encoder := gob.NewDecoder(limitedReader), gob.NewEncoder(conn)
	for {
		if err := conn.SetDeadline(time.Now().Add(peerIdleTimeout)); err != nil {
			return err
		}
		limitedReader.N = maxPeerMessageBytes
		var request protocol.PeerRequestWire
		if err := decoder.Decode(&request); err != nil {
			return err
		}
		answer, err := s.answerRequest(request.Request())
		if err != nil {
			return err
		}
		if err := encoder.Encode(answer.Wire()); err != nil {
			return err
		}
	}
}

// answerRequest runs the handler for one request on the loop and waits for the answer.
func (s *PeerServer) answerRequest(request protocol.PeerRequest) (protocol.PeerAnswer, error) {
	answers := make(chan protocol.PeerAnswer, 1)
	posted := s.Loop.TryPost(func() {
		s.Handle(request, func(answer protocol.PeerAnswer) { answers <- answer })
	})
	if !posted {
		return protocol.PeerAnswer{}, errLoopQueueFull
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-time.After(peerAnswerTimeout):
		return protocol.PeerAnswer{}, errAnswerTimeout
	}
}
