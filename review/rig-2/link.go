package main

import (
	"net"
	"sync"
	"time"
)

// Link is a proxy from one controller to another.
type Link struct {
	c        *Cluster
	from, to int
	addr     string
	target   string
	mu       sync.Mutex
	cut      bool
	refuse   bool
	conns    map[net.Conn]bool
}

func newLink(c *Cluster, from, to int, target string) *Link {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	link := &Link{c: c, from: from, to: to, addr: l.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go link.serve(conn)
		}
	}()
	return link
}

func (l *Link) serve(in net.Conn) {
	l.mu.Lock()
	if l.refuse {
		l.mu.Unlock()
		in.Close()
		return
	}
	l.mu.Unlock()
	out, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil {
		in.Close()
		return
	}
	l.mu.Lock()
	l.conns[in], l.conns[out] = true, true
	l.mu.Unlock()
	go l.pipe(in, out)
	l.pipe(out, in)
	l.mu.Lock()
	delete(l.conns, in)
	delete(l.conns, out)
	l.mu.Unlock()
}

func (l *Link) pipe(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for {
			l.mu.Lock()
			cut := l.cut
			l.mu.Unlock()
			if !cut {
				break
			}
			time.Sleep(10 * time.Millisecond) // held back
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	from.Close()
	to.Close()
}

// CutPeers cuts a controller from all others, or heals that. Packets are held back.
func (c *Cluster) CutPeers(node int, on bool) {
	c.rec.Log("fault node %d cut from its siblings: %v", node, on)
	for key, l := range c.links {
		if key[0] == node || key[1] == node {
			l.mu.Lock()
			l.cut = on
			l.mu.Unlock()
		}
	}
}

// RefusePeers makes the connections between a controller and the others fail.
func (c *Cluster) RefusePeers(node int, on bool) {
	c.rec.Log("fault node %d connections with its siblings are reset: %v", node, on)
	for key, l := range c.links {
		if key[0] == node || key[1] == node {
			l.mu.Lock()
			l.refuse = on
			if on {
				for conn := range l.conns {
					conn.Close()
				}
			}
			l.mu.Unlock()
		}
	}
}
