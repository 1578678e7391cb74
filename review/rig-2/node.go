package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Node is one controller process.
type Node struct {
	c        *Cluster
	index    int
	name     string
	public   string
	settings string
	cmd      *exec.Cmd
	log      *os.File
	mu       sync.Mutex
	running  bool
	planned  bool // an end that the case wants
	held     bool // stopped by the case
}

// Start starts the process of a controller.
func (n *Node) Start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.running {
		return
	}
	if n.log == nil {
		f, err := os.Create(filepath.Join(n.c.dir, n.name+".log"))
		must(err)
		n.log = f
	}
	n.cmd = exec.Command(n.c.bin, "--config", n.settings)
	n.cmd.Stderr = n.log
	n.cmd.Stdout = n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	level := n.c.cfg.LogLevel
	if level == "" {
		level = "info"
	}
	n.cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
	must(n.cmd.Start())
	n.running, n.planned, n.held = true, false, false
	n.c.rec.Log("node %d started", n.index)
	cmd := n.cmd
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		if n.cmd == cmd {
			n.running = false
		}
		if !n.planned {
			n.c.rec.Broken("ended", "node %d ended by itself: %v", n.index, err)
		}
		n.mu.Unlock()
	}()
}

// Kill kills the process.
func (n *Node) Kill() {
	n.mu.Lock()
	cmd := n.cmd
	if cmd == nil || !n.running {
		n.mu.Unlock()
		return
	}
	n.planned = true
	n.running = false
	n.mu.Unlock()
	n.c.rec.Log("fault node %d killed", n.index)
	cmd.Process.Kill()
	time.Sleep(20 * time.Millisecond)
}

// Signal sends a signal to the process.
func (n *Node) Signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.running {
		n.c.rec.Log("fault node %d gets signal %v", n.index, sig)
		n.held = sig == syscall.SIGSTOP || n.held && sig != syscall.SIGCONT
		if sig == syscall.SIGTERM {
			n.planned = true
		}
		n.cmd.Process.Signal(sig)
	}
}

// RSS returns the resident memory of the process in MB.
func (n *Node) RSS() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.running {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, rss float64
	fmt.Sscan(string(data), &size, &rss)
	return rss * float64(os.Getpagesize()) / (1 << 20)
}

// Throttle lets the process run for a share, in percent, of each 40 ms.
func (n *Node) Throttle(share int, end time.Time) {
	const period = 40 * time.Millisecond
	on := period * time.Duration(share) / 100
	for time.Now().Before(end) {
		n.quiet(syscall.SIGSTOP)
		time.Sleep(period - on)
		n.mu.Lock()
		held := n.held
		n.mu.Unlock()
		if !held {
			n.quiet(syscall.SIGCONT)
		}
		time.Sleep(on)
	}
	n.quiet(syscall.SIGCONT)
}

func (n *Node) quiet(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.running {
		n.cmd.Process.Signal(sig)
	}
}
