package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections from one controller to another. It can refuse them, or hold
// back what is sent.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	refuse   bool // connections are reset
	hold     bool // nothing is delivered while this is set
	conns    map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// set changes how the proxy treats connections. Refusing also resets the open ones.
func (p *proxy) set(refuse, hold bool) {
	p.mu.Lock()
	p.refuse, p.hold = refuse, hold
	if refuse {
		for conn := range p.conns {
			_ = conn.Close()
		}
	}
	p.mu.Unlock()
}

func (p *proxy) state() (refuse, hold bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refuse, p.hold
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if refuse, _ := p.state(); refuse {
			_ = conn.Close()
			continue
		}
		go p.forward(conn)
	}
}

func (p *proxy) forward(conn net.Conn) {
	defer conn.Close()
	target, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		return
	}
	defer target.Close()
	p.mu.Lock()
	p.conns[conn], p.conns[target] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			for n > 0 {
				if _, hold := p.state(); !hold {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pipe(target, conn)
	go pipe(conn, target)
	<-done
	p.mu.Lock()
	delete(p.conns, conn)
	delete(p.conns, target)
	p.mu.Unlock()
}
