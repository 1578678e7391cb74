package transport

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// Sockets splits what a process may open by what it is for. The state service,
// the cloud and the other controllers get what they need whatever else happens;
// of the rest a quarter is for commands to workers and the remainder for who
// comes to the public address.
type Sockets struct {
	Public  int
	Agents  int
	KVStore int
	Cloud   int
	Peers   int // connections of other controllers; as many go out as there are peers
}

// SplitSockets splits a limit on open files for a number of other controllers.
// A limit too small for everything still leaves each a few.
func SplitSockets(limit, peers int) Sockets {
	const own = 16 // listeners, standard streams, the poller
	s := Sockets{KVStore: 64, Cloud: 8, Peers: 4*peers + 8}
	s.KVStore = min(s.KVStore, max(limit/8, 8))
	rest := max(limit-own-s.KVStore-s.Cloud-s.Peers-peers, 64)
	s.Agents = max(rest/4, 16)
	s.Public = rest - s.Agents
	return s
}

// gauge counts open connections of one kind.
type gauge struct{ open atomic.Int64 }

// Open is how many are open now.
func (g *gauge) Open() int { return int(g.open.Load()) }

// track counts a connection until it is closed.
func (g *gauge) track(c net.Conn) net.Conn {
	g.open.Add(1)
	return &countedConn{Conn: c, done: sync.OnceFunc(func() { g.open.Add(-1) })}
}

type countedConn struct {
	net.Conn
	done func()
}

func (c *countedConn) Close() error {
	c.done()
	return c.Conn.Close()
}

// Listener counts the connections that it has accepted.
type Listener struct {
	net.Listener
	gauge
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.track(c), nil
}

var errSockets = errors.New("too many connections open")

// keep reports whether there is so much room that connections may stay open
// between requests. Above that mark each is closed after its answer: a shake of
// hands more is dearer than an open connection, until there are no more of them.
func keep(open, limit int) bool { return open <= limit*3/4 }
