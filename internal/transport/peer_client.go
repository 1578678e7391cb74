package transport

import (
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"rockrun/internal/protocol"
)

// peerTimeout bounds opening a connection to a controller and an exchange on it: a peer that
// does not answer costs its callers no more.
const peerTimeout = time.Second

// PeerCalls sends requests to other controllers. It implements membership.Peers.
type PeerCalls struct {
	loop  *Loop
	links map[string]*peerLink // by controller
}

// NewPeerCalls makes links to the given addresses, by controller.
func NewPeerCalls(loop *Loop, addrs map[string]string) *PeerCalls {
	p := &PeerCalls{loop: loop, links: map[string]*peerLink{}}
	for controller, addr := range addrs {
		p.links[controller] = &peerLink{addr: addr, pool: newCallPool(loop, 1)}
	}
	return p
}

// SendRequest implements membership.Peers. While a request to a controller is under way another one
// to it is refused, so that no queue of them builds up.
func (p *PeerCalls) SendRequest(controller string, request protocol.PeerRequest, done func(protocol.PeerAnswer, error)) {
	link := p.links[controller]
	if link == nil {
		err := fmt.Errorf("%w: no controller %s", protocol.ErrNotExecuted, controller)
		go p.loop.Post(func() { done(protocol.PeerAnswer{}, err) })
		return
	}
	start(link.pool, func() (protocol.PeerAnswer, error) { return link.exchange(request) }, done)
}

// peerLink is the connection to one controller. Its pool has one slot, so that one goroutine
// at a time uses it.
type peerLink struct {
	addr string
	pool callPool
	conn *peerConn // nil: not open
}

// exchange sends a request and reads its answer, opening the connection if need be. After an
// error the connection is closed: what comes later on it would answer the wrong request.
func (l *peerLink) exchange(request protocol.PeerRequest) (protocol.PeerAnswer, error) {
	if l.conn == nil {
		conn, err := dialPeer(l.addr)
		if err != nil {
			return protocol.PeerAnswer{}, fmt.Errorf("peer: %w", err)
		}
		l.conn = conn
	}
	answer, err := l.conn.exchange(request)
	if err != nil {
		err = fmt.Errorf("peer: %w", errors.Join(err, l.conn.Close()))
		l.conn = nil
	}
	return answer, err
}

// peerConn is an open connection to a controller. The gob streams last as long as it does.
type peerConn struct {
	net.Conn
	encoder *gob.Encoder
	decoder *gob.Decoder
	limited *io.LimitedReader // what the decoder reads
}

func dialPeer(addr string) (*peerConn, error) {
	conn, err := net.DialTimeout("tcp4", addr, peerTimeout)
	if err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: conn}
	return &peerConn{Conn: conn, encoder: gob.NewEncoder(conn), decoder: gob.NewDecoder(limited), limited: limited}, nil
}

func (c *peerConn) exchange(request protocol.PeerRequest) (protocol.PeerAnswer, error) {
	if err := c.SetDeadline(time.Now().Add(peerTimeout)); err != nil {
		return protocol.PeerAnswer{}, err
	}
	c.limited.N = maxPeerMessage
	if err := c.encoder.Encode(request.Wire()); err != nil {
		return protocol.PeerAnswer{}, err
	}
	var answer protocol.PeerAnswerWire
	if err := c.decoder.Decode(&answer); err != nil {
		return protocol.PeerAnswer{}, err
	}
	return answer.Answer(), nil
}
