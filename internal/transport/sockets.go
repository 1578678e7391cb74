package transport

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// Sockets divides the sockets that a process may open among their uses. The key-value store,
// the cloud and the peers have reserved parts, which the other uses cannot exhaust. Of the
// remaining sockets a quarter is for commands to agents, and the rest is for the users, agents
// and operators that connect to the public address.
type Sockets struct {
	Public  int
	Agents  int
	KVStore int
	Cloud   int
	Peers   int // inbound connections; one outbound connection per peer is not included
}

const (
	reservedSockets          = 16 // listeners, standard streams, the poller
	maxKVStoreSockets        = 64 // an eighth of the limit where that is less
	minKVStoreSockets        = 8
	cloudSockets             = 8
	socketsPerPeer           = 4
	sparePeerSockets         = 8
	minAgentAndPublicSockets = 64
	minAgentSockets          = 16
)

// SplitSockets divides a limit on open files for a given number of peers. Each use gets a
// minimum even if the limit is too small for all of them.
func SplitSockets(limit, peers int) Sockets {
	sockets := Sockets{Cloud: cloudSockets, Peers: socketsPerPeer*peers + sparePeerSockets}
	sockets.KVStore = min(maxKVStoreSockets, max(limit/8, minKVStoreSockets))
	remaining := max(limit-reservedSockets-sockets.KVStore-sockets.Cloud-sockets.Peers-peers, minAgentAndPublicSockets)
	sockets.Agents = max(remaining/4, minAgentSockets)
	sockets.Public = remaining - sockets.Agents
	return sockets
}

// errTooManyConnections means that a connection was not opened because of the connection limit.
var errTooManyConnections = errors.New("too many connections open")

// keepAliveAllowed reports whether connections may stay open between requests, which they may
// while at most three quarters of the limit are open. Above that, each connection is closed
// after its answer. A new handshake costs more than an idle connection, as long as idle
// connections do not use up the sockets.
func keepAliveAllowed(open, limit int) bool { return open <= limit*3/4 }

// connectionGauge counts the open connections of one kind. It is safe for concurrent use.
type connectionGauge struct{ open atomic.Int64 }

// OpenCount returns the number of connections that are open now.
func (g *connectionGauge) OpenCount() int { return int(g.open.Load()) }

// track counts a connection as open until the returned connection is closed.
func (g *connectionGauge) track(conn net.Conn) net.Conn {
	g.open.Add(1)
	return &countedConn{Conn: conn, onClose: sync.OnceFunc(func() { g.open.Add(-1) })}
}

// countedConn is a connection that is counted by a connectionGauge.
type countedConn struct {
	net.Conn
	onClose func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// Listener counts the open connections that it has accepted.
type Listener struct {
	net.Listener
	connectionGauge
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.track(conn), nil
}
