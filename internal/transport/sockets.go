package transport

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// Sockets splits what a process may open by what it is for. The key-value store, the cloud
// and the other controllers get what they need whatever else happens; of the rest a quarter
// is for commands to agents and the remainder for who comes to the public address.
type Sockets struct {
	Public  int
	Agents  int
	KVStore int
	Cloud   int
	Peers   int // connections of other controllers; as many go out as there are peers
}

const (
	ownSockets     = 16 // listeners, standard streams, the poller
	kvStoreSockets = 64 // at most; an eighth of the limit where that is less
	minKVSockets   = 8
	cloudSockets   = 8
	socketsPerPeer = 4
	sparePeers     = 8
	minRest        = 64
	minAgents      = 16
)

// SplitSockets splits a limit on open files for a number of other controllers. A limit too
// small for everything still leaves each a few.
func SplitSockets(limit, peers int) Sockets {
	s := Sockets{Cloud: cloudSockets, Peers: socketsPerPeer*peers + sparePeers}
	s.KVStore = min(kvStoreSockets, max(limit/8, minKVSockets))
	rest := max(limit-ownSockets-s.KVStore-s.Cloud-s.Peers-peers, minRest)
	s.Agents = max(rest/4, minAgents)
	s.Public = rest - s.Agents
	return s
}

// errSockets says that a connection was not opened since there are too many.
var errSockets = errors.New("too many connections open")

// mayKeepOpen reports whether there is so much room that connections may stay open between
// requests. Above that mark each is closed after its answer: one more handshake costs more
// than an open connection, until there are no more of them.
func mayKeepOpen(open, limit int) bool { return open <= limit*3/4 }

// connectionGauge counts open connections of one kind. It may be used from any goroutine.
type connectionGauge struct{ open atomic.Int64 }

// Open is how many are open now.
func (g *connectionGauge) Open() int { return int(g.open.Load()) }

// track counts a connection until it is closed.
func (g *connectionGauge) track(conn net.Conn) net.Conn {
	g.open.Add(1)
	return &countedConn{Conn: conn, done: sync.OnceFunc(func() { g.open.Add(-1) })}
}

// countedConn is a connection that a connectionGauge counts.
type countedConn struct {
	net.Conn
	done func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.done()
	return c.Conn.Close()
}

// Listener counts the connections that it has accepted.
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
