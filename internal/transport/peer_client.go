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

// peerTimeout limits the time to open a connection to a peer and the time of an exchange on it,
// so that a peer that does not answer delays its callers no longer.
const peerTimeout = time.Second

// PeerClient sends requests to other controllers. It implements membership.Peers.
type PeerClient struct {
	loop  *Loop
	links map[string]*peerLink // by controller name
}

// NewPeerClient returns a PeerClient for controllers at the given addresses, by name.
func NewPeerClient(loop *Loop, addrs map[string]string) *PeerClient {
	p := &PeerClient{loop: loop, links: map[string]*peerLink{}}
	for controller, addr := range addrs {
		p.links[controller] = &peerLink{addr: addr, pool: newCallPool(loop, 1)}
	}
	return p
}

// SendRequest implements membership.Peers. While a request to a controller is in progress, further
// requests to that controller fail at once, so that they do not queue up.
func (p *PeerClient) SendRequest(controller string, request protocol.PeerRequest, done func(protocol.PeerAnswer, error)) {
	link := p.links[controller]
	if link == nil {
		err := fmt.Errorf("%w: unknown controller %s", protocol.ErrNotExecuted, controller)
		go p.loop.Post(func() { done(protocol.PeerAnswer{}, err) })
		return
	}
	startCall(link.pool, func() (protocol.PeerAnswer, error) { return link.exchange(request) }, done)
}

// peerLink is the outbound link to one controller. Its pool has one slot, so that only one
// goroutine at a time uses the link.
type peerLink struct {
	addr string
	pool callPool
	conn *peerConn // nil while not open
}

// exchange sends a request and reads its answer. It opens the connection if it is not open.
// After an error it closes the connection, because a late answer on that connection would be
// read as the answer to the next request.
func (l *peerLink) exchange(request protocol.PeerRequest) (protocol.PeerAnswer, error) {
	if l.conn == nil {
		conn, err := dialPeer(l.addr)
		if err != nil {
			return protocol.PeerAnswer{}, fmt.Errorf("connect to peer: %w", err)
		}
		l.conn = conn
	}
	answer, err := l.conn.exchange(request)
	if err != nil {
		err = fmt.Errorf("peer request to %s: %w", l.addr, errors.Join(err, l.conn.Close()))
		l.conn = nil
	}
	return answer, err
}

// peerConn is an open connection to a controller. Its gob encoder and decoder are used for the
// lifetime of the connection.
type peerConn struct {
	net.Conn
	encoder       *gob.Encoder
	decoder       *gob.Decoder
	limitedReader *io.LimitedReader // the decoder's input; limits the size of each answer
}

func dialPeer(addr string) (*peerConn, error) {
	conn, err := net.DialTimeout("tcp4", addr, peerTimeout)
	if err != nil {
		return nil, err
	}
	limitedReader := &io.LimitedReader{R: conn}
	return &peerConn{Conn: conn, encoder: gob.NewEncoder(conn), decoder: gob.NewDecoder(limitedReader), limitedReader: limitedReader}, nil
}

func (c *peerConn) exchange(request protocol.PeerRequest) (protocol.PeerAnswer, error) {
	if err := c.SetDeadline(time.Now().Add(peerTimeout)); err != nil {
		return protocol.PeerAnswer{}, err
	}
	c.limitedReader.N = maxPeerMessageBytes
	if err := c.encoder.Encode(request.Wire()); err != nil {
		return protocol.PeerAnswer{}, err
	}
	var answer protocol.PeerAnswerWire
	if err := c.decoder.Decode(&answer); err != nil {
		return protocol.PeerAnswer{}, err
	}
	return answer.Answer(), nil
}
