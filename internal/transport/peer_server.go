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

// The link between controllers: gob over TCP, one connection a direction, one request at a
// time on it.
const (
	// peerIdle is how long a connection may stay without a request.
	peerIdle = 30 * time.Second
	// peerAnswerTime is how long a request may wait for the controller.
	peerAnswerTime = 4 * time.Second
	// maxPeerMessage bounds a message in bytes, so that nonsense costs no memory.
	maxPeerMessage = 4 << 20
	// acceptPause keeps a listener that fails from failing all the time.
	acceptPause = 50 * time.Millisecond
)

// Why a connection of a peer is closed.
var (
	errLoopBusy = errors.New("too busy")
	errNoAnswer = errors.New("no answer in time")
)

// PeerHandler answers a request of another controller. It runs on the loop; reply may be
// called later, once.
type PeerHandler func(request protocol.PeerRequest, reply func(protocol.PeerAnswer))

// PeerServerConfig is what a PeerServer is made of.
type PeerServerConfig struct {
	Connections int // open at a time, at most; more are closed at once
	Loop        *Loop
	Handle      PeerHandler
	Log         *slog.Logger
}

// PeerServer answers other controllers.
type PeerServer struct{ PeerServerConfig }

// NewPeerServer makes a server.
func NewPeerServer(config PeerServerConfig) *PeerServer { return &PeerServer{config} }

// Serve accepts connections until the listener is closed. Connections that are open then
// end with their peers, or once they have been idle for peerIdle.
func (s *PeerServer) Serve(listener net.Listener) {
	slots := make(chan struct{}, s.Connections)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.Log.Warn("peer connection not accepted", "err", err)
			time.Sleep(acceptPause)
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

func (s *PeerServer) serveConn(conn net.Conn) { s.closeConn(conn, s.answerAll(conn)) }

// closeConn closes a connection that ended for a reason, if any.
func (s *PeerServer) closeConn(conn net.Conn, reason error) {
	s.Log.Debug("peer connection ended", "err", errors.Join(reason, conn.Close()))
}

// answerAll answers requests until the connection fails, and says why it did.
func (s *PeerServer) answerAll(conn net.Conn) error {
	limited := &io.LimitedReader{R: conn}
	decoder, encoder := gob.NewDecoder(limited), gob.NewEncoder(conn)
	for {
		if err := conn.SetDeadline(time.Now().Add(peerIdle)); err != nil {
			return err
		}
		limited.N = maxPeerMessage
		var request protocol.PeerRequestWire
		if err := decoder.Decode(&request); err != nil {
			return err
		}
		answer, err := s.answer(request.Request())
		if err != nil {
			return err
		}
		if err := encoder.Encode(answer.Wire()); err != nil {
			return err
		}
	}
}

// answer has the controller answer one request.
func (s *PeerServer) answer(request protocol.PeerRequest) (protocol.PeerAnswer, error) {
	answers := make(chan protocol.PeerAnswer, 1)
	posted := s.Loop.TryPost(func() {
		s.Handle(request, func(answer protocol.PeerAnswer) { answers <- answer })
	})
	if !posted {
		return protocol.PeerAnswer{}, errLoopBusy
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-time.After(peerAnswerTime):
		return protocol.PeerAnswer{}, errNoAnswer
	}
}
