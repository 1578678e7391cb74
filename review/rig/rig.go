package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settings are those of a small deployment: three controllers of ezo-boards.
type settings struct {
	report, lease, cancel float64
	rps, writeRPS         float64
	valueKB, txnOps       int
	cloudRPS, listLag     float64
	capacity              int
}

func smallDeployment() settings {
	return settings{report: 3, lease: 30, cancel: 60, rps: 200, writeRPS: 80, valueKB: 8, txnOps: 32, cloudRPS: 4, listLag: 5, capacity: 24}
}

type team struct {
	name         string
	cpus, cpuMax float64
}

var teams = []team{{"sakhli", 64, 160}, {"ubani", 56, 176}, {"mtsvane", 64, 176}, {"kari", 56, 136}}

var zones = []string{"batumi", "isani", "mtkvari", "vake"}

// node is a controller and its process.
type node struct {
	name, public, peer string
	config             string
	process            *exec.Cmd
	exited             chan struct{}
	expectExit         bool
	oldProgram         string
	reserved           []net.Listener // its ports, until it starts for the first time
}

// rig is a small deployment: controllers as processes, and stand-ins for all that is around them.
type rig struct {
	mu       sync.Mutex
	rec      *recorder
	set      settings
	root     string
	folder   string // temporary
	nodes    []*node
	links    map[[2]int]*proxy // from one controller to another
	store    *store
	cloud    *cloud
	jobs     map[string]*jobSpec // what users uploaded, by id
	check    *checker
	run      []string // the command of the deploy file
	onAnswer func(w *worker, node int, sent time.Time, baton uint64)
	crashed  []string

	oversized    int // messages to workers over the limit of 64 KiB
	largest      int // the largest of them
	largeReports int // reports of workers over that limit
}

// maxMessage is the limit of PROTOCOL for request bodies and for a line of a response.
const maxMessage = 64 << 10

// noteOversized counts a message to a worker that is over the limit; rig.mu must be held.
func (r *rig) noteOversized(size int) {
	r.oversized++
	r.largest = max(r.largest, size)
}

// waitFor waits until a condition holds.
func (r *rig) waitFor(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

func (r *rig) seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func listen() net.Listener {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return listener
}

// reservePort listens on a port, to keep it until a controller takes it. The port is below those that
// the system gives to outgoing connections, so that none of these takes it in between.
func reservePort() net.Listener {
	const first, count = 12_000, 18_000
	for {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(count)))
		if err == nil {
			return listener
		}
	}
}

// newRig prepares a deployment with the given number of controllers.
func newRig(root string, rec *recorder, set settings, controllers int) (*rig, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &rig{rec: rec, set: set, root: root, folder: folder, links: map[[2]int]*proxy{}, jobs: map[string]*jobSpec{}}
	r.check = newChecker(r)
	if r.run, err = deployCommand(root); err != nil {
		return nil, err
	}
	for i := range controllers {
		reserved := []net.Listener{reservePort(), reservePort()}
		r.nodes = append(r.nodes, &node{
			name: fmt.Sprintf("rockhost-%d", i), public: reserved[0].Addr().String(), peer: reserved[1].Addr().String(), reserved: reserved,
		})
	}
	for i := range r.nodes {
		for j := range r.nodes {
			if i != j {
				if r.links[[2]int{i, j}], err = newProxy(r.nodes[j].peer); err != nil {
					return nil, err
				}
			}
		}
	}
	r.store = newStore(set.rps, set.writeRPS, set.valueKB, set.txnOps)
	r.cloud = &cloud{
		rig: r, machines: map[string]*hostEntry{}, asks: map[string][]string{}, capacity: set.capacity, boot: time.Second,
		requests: bucket{set.cloudRPS, 2 * set.cloudRPS, time.Now()}, lag: r.seconds(set.listLag),
		types: []machineType{
			{Name: "kvari-small", CPUs: 4, RAM: 32, Cache: 70, Fetch: 2, Hourly: 0.36, MarketPrice: 0.13, Boot: 2, Zones: zones},
			{Name: "kvari-large", CPUs: 32, RAM: 256, Cache: 30, Fetch: 4, Hourly: 2.67, MarketPrice: 0.92, Boot: 2, Zones: zones},
		},
	}
	cloudListener := listen()
	go func() { _ = http.Serve(cloudListener, r.cloud.handler()) }()
	for i, n := range r.nodes {
		storeListener := listen()
		go func() { _ = http.Serve(storeListener, r.store.handler(i)) }()
		n.config = filepath.Join(folder, n.name+".toml")
		text := r.settingsOf(i, cloudListener.Addr().String(), storeListener.Addr().String())
		if err := os.WriteFile(n.config, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// deployCommand returns the command that starts a controller, from the deploy file.
func deployCommand(root string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, found := strings.CutPrefix(line, "run = "); found {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New("the deploy file has no run command")
}

func (r *rig) settingsOf(i int, cloud, state string) string {
	var b strings.Builder
	n := r.nodes[i]
	fmt.Fprintf(&b, "node_name = %q\narea = \"mtkvari\"\npublic_addr = %q\npeer_bind = %q\n", n.name, n.public, n.peer)
	for j, other := range r.nodes {
		if j != i {
			fmt.Fprintf(&b, "\n[[siblings]]\nnode_name = %q\narea = \"mtkvari\"\naddress = %q\n", other.name, r.links[[2]int{i, j}].addr())
		}
	}
	fmt.Fprintf(&b, "\n[external]\ncloud = %q\nstate = %q\n", cloud, state)
	fmt.Fprintf(&b, "\n[cluster]\ninitial_size = %d\nzones = [\"batumi\", \"isani\", \"mtkvari\", \"vake\"]\nclock_off_ms = 25.0\n", len(r.nodes))
	for _, t := range teams {
		fmt.Fprintf(&b, "\n[[cluster.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.name, t.cpus, t.cpuMax)
	}
	fmt.Fprintf(&b, "\n[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = %.1f\n", r.set.report, r.set.lease, r.set.cancel)
	fmt.Fprintf(&b, "\n[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %d.0\ntxn_ops = %d\n", r.set.rps, r.set.writeRPS, r.set.valueKB, r.set.txnOps)
	fmt.Fprintf(&b, "\n[cluster.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", r.set.cloudRPS, r.set.listLag)
	fmt.Fprint(&b, "\n[cluster.limits]\ncores = 0.12\nmem_mb = 125.0\nfd_limit = 1500\n")
	return b.String()
}

// startNode starts a controller's process.
func (r *rig) startNode(i int) error {
	n := r.nodes[i]
	logFile, err := os.OpenFile(filepath.Join(r.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	program := r.run[0]
	if n.oldProgram != "" { // a version before, for the search only
		program = n.oldProgram
	}
	if !filepath.IsAbs(program) {
		program = filepath.Join(r.root, program)
	}
	command := exec.Command(program, append(append([]string{}, r.run[1:]...), n.config)...)
	command.Dir, command.Stderr, command.Stdout = r.root, logFile, logFile
	command.Env = append(os.Environ(), "LOG_LEVEL=debug")
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	for _, listener := range n.reserved {
		_ = listener.Close()
	}
	n.reserved = nil
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited, n.expectExit = command, exited, false
	r.rec.add("rig: %s started, process %d", n.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		r.mu.Lock()
		if !n.expectExit {
			r.crashed = append(r.crashed, fmt.Sprintf("%s: %v", n.name, err))
			r.rec.add("rig: %s ended by itself: %v", n.name, err)
		}
		r.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (r *rig) startAll() error {
	for i := range r.nodes {
		if err := r.startNode(i); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a controller's process.
func (r *rig) signal(i int, s syscall.Signal) {
	r.rec.add("rig: %s gets signal %v", r.nodes[i].name, s)
	_ = r.nodes[i].process.Process.Signal(s)
}

// end ends a controller's process with a signal and waits until it has ended.
func (r *rig) end(i int, s syscall.Signal) {
	r.mu.Lock()
	r.nodes[i].expectExit = true
	r.mu.Unlock()
	r.signal(i, s)
	<-r.nodes[i].exited
	r.rec.add("rig: %s has ended", r.nodes[i].name)
}

// close ends everything that the rig started.
func (r *rig) close(keep bool) {
	for _, n := range r.nodes {
		if n.process != nil {
			r.mu.Lock()
			n.expectExit = true
			r.mu.Unlock()
			_ = n.process.Process.Signal(syscall.SIGCONT)
			_ = n.process.Process.Kill()
			<-n.exited
		}
	}
	if !keep {
		_ = os.RemoveAll(r.folder)
	}
}

// cutPeers refuses the connections between a controller and the others, in both directions.
func (r *rig) cutPeers(i int, on bool) {
	for pair, link := range r.links {
		if pair[0] == i || pair[1] == i {
			link.set(on, false)
		}
	}
}
