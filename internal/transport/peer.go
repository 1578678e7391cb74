package transport

import (
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"rockrun/internal/protocol"
)

// The link between controllers: gob over TCP, one connection a direction, one
// request at a time on it. A peer that does not answer costs its callers no
// more than peerTimeout, and a queue of requests never builds up.
const (
	peerTimeout = time.Second
	peerIdle    = 30 * time.Second
	peerMessage = 4 << 20
)

// PeerHandler answers a message; reply may be called later, once.
type PeerHandler func(r protocol.PeerRequest, reply func(protocol.PeerAnswer))

// ServePeers accepts connections of other controllers, at most so many at a time,
// until ln is closed.
func ServePeers(ln net.Listener, most int, loop *Loop, handle PeerHandler, log *slog.Logger) {
	slots := make(chan struct{}, most)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			log.Warn("accept peer", "err", err)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				defer conn.Close()
				log.Debug("peer connection ended", "err", servePeer(conn, loop, handle))
			}()
		default:
			conn.Close()
		}
	}
}

// servePeer answers messages until the connection fails, and says why it did.
func servePeer(conn net.Conn, loop *Loop, handle PeerHandler) error {
	limit := &io.LimitedReader{R: conn}
	dec, enc := gob.NewDecoder(limit), gob.NewEncoder(conn)
	for {
		if err := conn.SetDeadline(time.Now().Add(peerIdle)); err != nil {
			return err
		}
		limit.N = peerMessage
		var request protocol.PeerRequestWire
		if err := dec.Decode(&request); err != nil {
			return err
		}
		answer := make(chan protocol.PeerAnswer, 1)
		if !loop.TryPost(func() { handle(request.Request(), func(a protocol.PeerAnswer) { answer <- a }) }) {
			return errors.New("too busy")
		}
		select {
		case a := <-answer:
			if err := enc.Encode(a.Wire()); err != nil {
				return err
			}
		case <-time.After(4 * time.Second):
			return errors.New("no answer in time")
		}
	}
}

// PeerCalls sends messages to other controllers.
type PeerCalls struct {
	loop  *Loop
	links map[string]*peerLink
}

type peerLink struct {
	addr string
	busy chan struct{}
	conn net.Conn
	enc  *gob.Encoder
	dec  *gob.Decoder
	lim  *io.LimitedReader
}

// NewPeerCalls makes links to the given addresses, by controller.
func NewPeerCalls(loop *Loop, addrs map[string]string) *PeerCalls {
	p := &PeerCalls{loop: loop, links: map[string]*peerLink{}}
	for node, addr := range addrs {
		p.links[node] = &peerLink{addr: addr, busy: make(chan struct{}, 1)}
	}
	return p
}

// Ask implements coordination.Peers. While a message to a controller is under
// way another one to it is refused.
func (p *PeerCalls) Ask(node string, r protocol.PeerRequest, done func(protocol.PeerAnswer, error)) {
	l := p.links[node]
	fail := func(err error) { go p.loop.Post(func() { done(protocol.PeerAnswer{}, err) }) }
	if l == nil {
		fail(fmt.Errorf("%w: no controller %s", protocol.ErrNotExecuted, node))
		return
	}
	select {
	case l.busy <- struct{}{}:
		go func() {
			a, err := l.ask(r)
			<-l.busy
			p.loop.Post(func() { done(a, err) })
		}()
	default:
		fail(fmt.Errorf("%w: link to %s busy", protocol.ErrNotExecuted, node))
	}
}

// ask makes one exchange on the link's connection, opening it if need be.
func (l *peerLink) ask(r protocol.PeerRequest) (a protocol.PeerAnswer, err error) {
	if l.conn == nil {
		conn, err := net.DialTimeout("tcp4", l.addr, peerTimeout)
		if err != nil {
			return a, fmt.Errorf("peer: %w", err)
		}
		l.conn = conn
		l.lim = &io.LimitedReader{R: conn}
		l.enc, l.dec = gob.NewEncoder(conn), gob.NewDecoder(l.lim)
	}
	defer func() {
		if err != nil {
			l.conn.Close()
			l.conn = nil
		}
	}()
	if err = l.conn.SetDeadline(time.Now().Add(peerTimeout)); err != nil {
		return a, err
	}
	l.lim.N = peerMessage
	if err = l.enc.Encode(r.Wire()); err != nil {
		return a, fmt.Errorf("peer: %w", err)
	}
	var answer protocol.PeerAnswerWire
	if err = l.dec.Decode(&answer); err != nil {
		return a, fmt.Errorf("peer: %w", err)
	}
	return answer.Answer(), nil
}
