package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Config describes the deployment of a case.
type Config struct {
	Nodes    int
	NodeZone []string
	Zones    []string
	Teams    []Team
	Types    []MachineType
	ReportS  float64
	LeaseS   float64
	CancelS  float64
	Store    StoreLimits
	CloudRPS float64
	ListLagS float64
	Capacity int
	Pools    func(build, yard string, loaner bool) int // nil: no limit but Capacity
	Boot     func() time.Duration
	LogLevel string
	Extra    string // appended to the settings
}

// Team is a team with its quota.
type Team struct {
	Name      string
	CPUs, Max float64
}

func (c *Config) lease() time.Duration { return time.Duration(c.LeaseS * float64(time.Second)) }

// Cluster is a small deployment with real controllers.
type Cluster struct {
	cfg   Config
	rec   *Recorder
	store *Store
	cloud *Cloud
	nodes []*Node
	links map[[2]int]*Link
	check *Checker
	dir   string
	bin   string
	// onCommand is called with each direct command that reaches a worker.
	onCommand func(w *Worker, body []byte)
	// onAnswer is called with each answer that a worker gets to a report.
	onAnswer func(w *Worker, node, status int, sent time.Time, tasks int)
}

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

var cluster *Cluster

func exit(code int) {
	if cluster != nil {
		for _, n := range cluster.nodes {
			n.Kill()
		}
		if cluster.dir != "" && os.Getenv("KEEP") == "" {
			os.RemoveAll(cluster.dir)
		}
	}
	os.Exit(code)
}

func itoa(i int) string    { return strconv.Itoa(i) }
func utoa(u uint64) string { return strconv.FormatUint(u, 10) }

// freePorts finds ports below the range from which the system takes those of outgoing connections.
func freePorts(n int) (ports []string) {
	for len(ports) < n {
		addr := fmt.Sprintf("127.0.0.1:%d", 12000+rand.Intn(18000))
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			continue
		}
		l.Close()
		ports = append(ports, addr)
	}
	return ports
}

func newCluster(cfg Config, record string) *Cluster {
	rec := newRecorder(record)
	c := &Cluster{cfg: cfg, rec: rec, links: map[[2]int]*Link{}}
	cluster = c
	root := os.Getenv("ROOT")
	c.bin = filepath.Join(root, "target", "rockrun")
	dir, err := os.MkdirTemp("", "rockrun-review-")
	must(err)
	c.dir = dir
	c.store = newStore(rec, cfg.Store)
	c.cloud = newCloud(c)
	c.check = newChecker(c)
	ports := freePorts(2 * cfg.Nodes)
	for i := range cfg.Nodes {
		c.nodes = append(c.nodes, &Node{c: c, index: i, name: fmt.Sprintf("rockhost-%d", i), public: ports[2*i]})
	}
	for i, n := range c.nodes {
		var b strings.Builder
		fmt.Fprintf(&b, "node_name = %q\narea = %q\npublic_addr = %q\npeer_bind = %q\n", n.name, cfg.NodeZone[i], n.public, ports[2*i+1])
		for j, o := range c.nodes {
			if j == i {
				continue
			}
			link := newLink(c, i, j, ports[2*j+1])
			c.links[[2]int{i, j}] = link
			fmt.Fprintf(&b, "\n[[siblings]]\nnode_name = %q\narea = %q\naddress = %q\n", o.name, cfg.NodeZone[j], link.addr)
		}
		fmt.Fprintf(&b, "\n[external]\ncloud = %q\nstate = %q\n", c.cloud.Serve(), c.store.Serve(i))
		fmt.Fprintf(&b, "\n[cluster]\ninitial_size = %d\nzones = [", cfg.Nodes)
		for k, z := range cfg.Zones {
			if k > 0 {
				b.WriteString(", ")
			}
			fmt.Fprintf(&b, "%q", z)
		}
		b.WriteString("]\nclock_off_ms = 25.0\n")
		for _, t := range cfg.Teams {
			fmt.Fprintf(&b, "\n[[cluster.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.Name, t.CPUs, t.Max)
		}
		fmt.Fprintf(&b, "\n[cluster.workers]\nreport_s = %.2f\nlease_s = %.2f\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = %.2f\n", cfg.ReportS, cfg.LeaseS, cfg.CancelS)
		fmt.Fprintf(&b, "\n[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", cfg.Store.RPS, cfg.Store.WriteRPS, cfg.Store.ValueKB, cfg.Store.Ops)
		fmt.Fprintf(&b, "\n[cluster.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", cfg.CloudRPS, cfg.ListLagS)
		fmt.Fprintf(&b, "\n[cluster.limits]\ncores = 0.12\nmem_mb = 125.0\nfd_limit = 1500\n%s", cfg.Extra)
		n.settings = filepath.Join(dir, n.name+".toml")
		must(os.WriteFile(n.settings, []byte(b.String()), 0o644))
	}
	return c
}

func (c *Cluster) nodeIndex(name string) int {
	for i, n := range c.nodes {
		if n.name == name {
			return i
		}
	}
	return -1
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

// Leader returns the index of the leader in the records, or -1.
func (c *Cluster) Leader() int {
	data, ok := c.store.Get("r/leader")
	if !ok {
		return -1
	}
	return c.nodeIndex(field(data, "node"))
}

// Holder returns the index of the controller that holds a shard, or -1.
func (c *Cluster) Holder(shard int) int {
	data, ok := c.store.Get("r/g/" + itoa(shard))
	if !ok {
		return -1
	}
	return c.nodeIndex(field(data, "node"))
}

// CopyLogs copies the controllers' logs beside the record when LOGS is set.
func (c *Cluster) CopyLogs(to string) {
	for _, n := range c.nodes {
		in, err := os.Open(filepath.Join(c.dir, n.name+".log"))
		if err != nil {
			continue
		}
		out, _ := os.Create(filepath.Join(to, n.name+".log"))
		io.Copy(out, in)
		out.Close()
		in.Close()
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
