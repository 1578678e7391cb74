package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
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
	Pools    func(build string) int // machines of a type in each zone, of each kind; nil: no limit but Capacity
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

// failure is a reason for which a case can't run.
type failure struct{ cause error }

// must ends the case with exit code 2 where an error keeps it from running.
func must(err error) {
	if err != nil {
		panic(failure{err})
	}
}

// Close ends all controllers and removes the temporary folder.
func (c *Cluster) Close() {
	for _, n := range c.nodes {
		n.Kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.dir)
	}
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
